"""The write-ahead log of a dispatcher: its entries, their framing, and the recovery from them at start-up. No I/O."""

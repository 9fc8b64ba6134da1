"""The write-ahead log of a dispatcher: its entries, their framing, and the recovery at start-up. No I/O."""

"""What a dispatcher remembers: the entries of its record, their framing, and what a start makes of them. No I/O."""

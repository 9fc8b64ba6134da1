"""Membership of the dispatchers: SWIM with Lifeguard. No I/O: time, datagrams and randomness are values."""

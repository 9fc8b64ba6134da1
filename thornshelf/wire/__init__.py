"""Incremental parsers and encoders of the protocols, without sockets or a clock.

All parsers raise ``WireError`` for malformed input.
"""

"""Pure incremental parsers and encoders: no sockets, no clock, one error type."""

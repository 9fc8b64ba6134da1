"""Frontends: the listeners that clients connect to, for JSON lines and gRPC."""

"""Frontends: the sides of the dispatcher that clients connect to, in JSON lines and gRPC."""

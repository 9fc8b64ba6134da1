"""Fronts: the platform's JSON lines and gRPC, both on the same core."""

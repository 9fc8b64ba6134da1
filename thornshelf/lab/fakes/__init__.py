"""Fake clients and nodes of all wire forms, for tests and experiments."""

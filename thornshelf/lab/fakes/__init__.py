"""Fake clients, nodes and network links for tests and experiments."""

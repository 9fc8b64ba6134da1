"""Experiments with fake clients and nodes on loopback, and the testbeds that they use."""

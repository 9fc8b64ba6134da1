"""Connections to nodes, one module for each wire form."""

"""Connections to nodes: sending attempts and reading reports, in each wire format."""

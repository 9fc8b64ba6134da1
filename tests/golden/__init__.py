"""Samples of every wire and stored format with their expected bytes, to detect accidental format changes."""

"""Samples of every wire and stored format, with the bytes that they were written as, so that a renaming shows."""

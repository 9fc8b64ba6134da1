"""Admission control: rate limits, known sources, reserved connections, descriptors and overload.

The modules do no I/O and read no clock: callers pass the time in microseconds.
"""

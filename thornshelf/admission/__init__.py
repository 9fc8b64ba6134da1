"""Admission control: rate limits, known sources, reserved connections, descriptors and overload. No I/O."""

"""Translates between wire formats and protocol generations, and tracks idempotency keys. No I/O."""

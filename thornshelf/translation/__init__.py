"""Translation between wire formats and protocol generations, and the idempotency keys in use. No I/O."""

"""Retry policy: retry budgets, jitter for Retry-After waits, and the queue of waiting requests. No I/O."""

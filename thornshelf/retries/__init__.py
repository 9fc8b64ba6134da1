"""Retry budgets, jitter for Retry-After waits, and a deadline-ordered queue of requests; free of I/O."""

"""The shell: SQL over the tables of dispatchers, executed in the operator's own process."""

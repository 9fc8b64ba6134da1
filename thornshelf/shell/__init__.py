"""The shell: SQL over the tables of dispatchers, in the operator's own process."""

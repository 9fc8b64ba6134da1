"""Group membership of the dispatchers, by SWIM with Lifeguard. Sans-I/O: callers pass in time and randomness."""

"""The adapter between the simulator's line protocol and the placer."""

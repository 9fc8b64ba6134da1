"""A dispatcher's state as tables, and queries on them that are served in small steps. Does no I/O."""

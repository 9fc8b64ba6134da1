"""A dispatcher's state as tables, and the queries on them, served in slices. No I/O."""

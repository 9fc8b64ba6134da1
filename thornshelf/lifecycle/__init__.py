"""The lifecycle of a dispatcher process: signals, graceful shutdown, graceful restart and socket hand-over."""

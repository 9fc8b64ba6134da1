"""The life of a dispatcher's process: signals, graceful shutdown, graceful restart and the hand-over of sockets."""

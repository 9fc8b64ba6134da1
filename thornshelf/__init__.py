"""thornshelf: a dispatcher on sockets round the decision module ``glenshift``."""

"""thornshelf: a dispatcher on sockets round the decision module ``thornshelf.placement``."""

__version__ = "0.3.0"

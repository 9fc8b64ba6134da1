"""thornshelf: a network dispatcher that places tasks on nodes by the decision module ``thornshelf.placement``."""

__version__ = "0.3.0"

"""glenshift: the decisions of a scheduler placing long-lived tasks on a cluster's machines."""

from glenshift.brain import Placer
from glenshift.interface import Settings

__all__ = ["Placer", "Settings"]

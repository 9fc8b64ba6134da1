"""thornshelf.placement: the decisions of a scheduler placing long-lived tasks on a cluster's machines."""

from thornshelf.placement.interface import Settings
from thornshelf.placement.placer import Placer

__all__ = ["Placer", "Settings"]

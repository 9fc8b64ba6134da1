"""Chooses the nodes that one dispatcher holds: those of its zone, and spare nodes of others if these are too few.

Does no I/O.
"""

from thornshelf.subsetting.config import SubsetConfig as SubsetConfig
from thornshelf.subsetting.spare_demand import RequestCounts as RequestCounts
from thornshelf.subsetting.subset import Subset as Subset

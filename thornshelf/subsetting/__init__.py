"""Which of all nodes one dispatcher holds: those of its zone, and spare ones while these are too few. No I/O."""

from thornshelf.subsetting.config import SubsetConfig as SubsetConfig
from thornshelf.subsetting.spare_demand import RequestCounts as RequestCounts
from thornshelf.subsetting.subset import Subset as Subset

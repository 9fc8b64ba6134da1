"""Which of all nodes one dispatcher holds: its own zone's, and some of the others' while that is short. No I/O."""

from thornshelf.subsetting.config import SubsetConfig as SubsetConfig
from thornshelf.subsetting.subset import RequestCounts as RequestCounts
from thornshelf.subsetting.subset import Subset as Subset

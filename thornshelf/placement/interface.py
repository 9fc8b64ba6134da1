"""The public names of ``thornshelf.placement`` under their former module name."""

from thornshelf.placement import *  # noqa: F403

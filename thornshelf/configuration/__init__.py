"""Reads and validates a dispatcher's configuration and applies its defaults.

``read_config`` reads the platform's environment variables and JSON file, and the operator's TOML file if one is
given. Errors name the invalid key. The modules that decode the operator's file are imported only if there is one.
"""

from thornshelf.configuration.model import Config as Config
from thornshelf.configuration.model import GrpcConfig as GrpcConfig
from thornshelf.configuration.model import ZoneSubsetConfig as ZoneSubsetConfig
from thornshelf.configuration.reader import read_config as read_config
from thornshelf.errors import ConfigError as ConfigError

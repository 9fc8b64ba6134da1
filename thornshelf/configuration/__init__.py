"""A dispatcher's configuration: read, checked and given defaults here, and nowhere else.

``read_config`` reads the variables and the JSON file of the platform, and the operator's TOML file where one is
named. Errors name the key at fault. Modules of the operator's file are loaded only where there is one.
"""

from thornshelf.configuration.model import Config as Config
from thornshelf.configuration.model import GrpcConfig as GrpcConfig
from thornshelf.configuration.model import ZoneSubsetConfig as ZoneSubsetConfig
from thornshelf.configuration.reader import read_config as read_config
from thornshelf.errors import ConfigError as ConfigError

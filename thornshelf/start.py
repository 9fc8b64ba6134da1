"""Start a dispatcher by the platform's variables and an operator's file, and serve until told to end."""

from __future__ import annotations

import os
import sys

from thornshelf.configuration import Config, ConfigError, read_config
from thornshelf.service import Service


def serve(operator_file: str | None) -> int:
    """The exit code: 2 for a configuration that can't be used."""

    def read() -> Config:
        return read_config(os.environ, operator_file)

    try:
        service = Service(read(), reread=read)
    except ConfigError as fault:
        print(f"thornshelf: {fault} [{fault.code}]", file=sys.stderr)
        return 2
    service.run()
    return 0

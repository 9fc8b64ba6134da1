"""``python -m thornshelf [OPERATOR_FILE]``: one dispatcher, configured by the platform's variables."""

from __future__ import annotations

import os
import sys

from thornshelf.config import Config, ConfigError, read_config
from thornshelf.service import Service


def main() -> int:
    """Serve until told to end."""
    operator_file = sys.argv[1] if len(sys.argv) > 1 else None

    def read() -> Config:
        return read_config(os.environ, operator_file)

    try:
        service = Service(read(), reread=read)
    except ConfigError as fault:
        print(f"thornshelf: {fault}", file=sys.stderr)
        return 2
    service.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())

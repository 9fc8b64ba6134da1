"""``python -m thornshelf [OPERATOR_FILE]``: one dispatcher, configured by the platform's variables."""

from __future__ import annotations

import os
import sys

from thornshelf.config import ConfigError, read_config
from thornshelf.service import Service


def main() -> int:
    """Serve until told to end."""
    try:
        service = Service(read_config(os.environ, sys.argv[1] if len(sys.argv) > 1 else None))
    except ConfigError as fault:
        print(f"thornshelf: {fault}", file=sys.stderr)
        return 2
    service.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())

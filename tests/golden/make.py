"""Write all files of expected bytes anew, by the code as it is now: ``python -m tests.golden.make``."""

from __future__ import annotations

from tests.golden.formats import FORMATS

if __name__ == "__main__":
    for one in FORMATS:
        one.write()
        print(one.file, len(one.samples))

"""Rewrites all data files with the bytes that the current code encodes: ``python -m tests.golden.make``."""

from __future__ import annotations

from tests.golden.formats import FORMATS

if __name__ == "__main__":
    for form in FORMATS:
        form.write()
        print(form.file, len(form.samples))

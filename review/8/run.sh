#!/bin/sh
# TROUBLE=0 plays the case without the disruption.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}" PYTHONPATH=review:. exec .venv/bin/python -B review/8/case.py

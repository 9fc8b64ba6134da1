#!/bin/sh
cd "$(dirname "$0")/../.." && PYTHONPATH=review:. exec .venv/bin/python -B review/10/case.py

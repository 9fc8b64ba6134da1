#!/bin/sh
cd "$(dirname "$0")/../.." && PYTHONPATH=review:. exec .venv/bin/python -B review/6/case.py

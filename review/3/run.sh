#!/bin/sh
# Plays the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. What was sent, answered and run is written to record.txt in this folder.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
test -x .venv/bin/python || { echo "there is no .venv: run the deploy file's build first"; exit 2; }
exec .venv/bin/python -B "$folder/case.py"

#!/bin/sh
# Run after the build of the deploy file. A dispatcher with an operator's file (cases 6 and 9) needs what the project
# declares beside requirements.txt. The stand-ins are Python modules that are run as they are.
set -e
cd "$(dirname "$0")/.."
.venv/bin/pip -q install '.[lab]'

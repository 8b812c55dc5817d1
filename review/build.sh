#!/usr/bin/env bash
# Checks the stand-ins of the cases: they are Python and need no library.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q review

#!/bin/sh
# Builds the stand-ins of review/6 and later; they need Python's standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins2

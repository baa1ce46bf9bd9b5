#!/bin/sh
# Compiles the stand-ins of the cases; they use nothing but Python's own library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q sitekit

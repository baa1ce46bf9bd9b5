#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the daemon: stand-ins of one module
# that needs the standard library only, compiled here so that a mistake shows before a run.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins-3 1[1-5]

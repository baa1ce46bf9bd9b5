#!/bin/sh
# Installs the daemon and its dependencies under target/deps and compiles them to bytecode, so that
# the first start need not do it.
set -eu
cd "$(dirname "$0")/.."
python3 -m pip install --quiet --disable-pip-version-check --upgrade --target target/deps \
    --requirement deploy/requirements.txt
for library in core httpio routing balance shards gateway; do
    cp -R "libs/$library/src/." target/deps/
done
cp -R platform/src/. target/deps/
python3 -m compileall -q target/deps

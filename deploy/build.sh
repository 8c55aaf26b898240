#!/bin/sh
# Installs the dependencies and the package under target/ and precompiles them:
# machines mount the repository read-only and start processes often.
set -eu
if [ ! target/deps/.ready -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check \
        --target target/deps --requirement deploy/requirements.txt
    ln -s ../../src/radishlanding target/deps/radishlanding
    python3 -m compileall -q target/deps >/dev/null
    touch target/deps/.ready
fi
python3 -m compileall -q src

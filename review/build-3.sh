#!/bin/sh
# Prepares the stand-ins of the scripts of review 3: they are Python, run with
# the packages that the build of the deploy file has put under target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -S -c "import review.kit3"

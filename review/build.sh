#!/bin/sh
# Precompiles the stand-ins of the cases; the deploy build has to come first.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -S -m compileall -q review tests/standin
PYTHONPATH=target/deps:. python3 -S -c "import review.harness"

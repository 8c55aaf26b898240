#!/bin/sh
# Prepares the stand-ins of cases 6 to 10: those of this folder and the
# project's own. They need the dependencies of deploy/build.sh, and no more.
set -eu
cd "$(dirname "$0")/.."
[ -e target/deps/.ready ] || sh deploy/build.sh
python3 -m compileall -q review/kit2.py review/runner2.py \
    review/6 review/7 review/8 review/9 review/10 tests/standin
PYTHONPATH=target/deps:. python3 -S -c "import review.kit2"

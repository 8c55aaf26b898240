#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.."
PYTHONPATH=target/deps:. exec python3 -S review/3/case.py

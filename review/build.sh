#!/bin/sh
# The stand-ins of the cases are Python programs of review/lib; check that they compile.
cd "$(dirname "$0")" && exec python3 -m compileall -q lib 1 2 3 4 5

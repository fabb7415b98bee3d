#!/bin/sh
# Checks that the stand-ins of the cases 7 to 10 can be used; they need no build.
cd "$(dirname "$0")/.." || exit 1
test -d target/deps || { echo "target/deps is missing: run the build of the deploy file"; exit 1; }
PYTHONPATH=review/kit2:review/kit3 PYTHONDONTWRITEBYTECODE=1 python3 -c "
import sys
assert sys.version_info >= (3, 11), sys.version
import deployment, executors, http_server, store
import rig
"

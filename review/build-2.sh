#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the gateway. Their stand-ins are review/stage2.py
# and the case.py of each folder: Python with the standard library alone, run by the Python of the deploy
# file's own build. There is nothing to compile; this checks that each of them compiles.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "the build of the deploy file comes first" >&2; exit 2; }
for case in review/stage2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
    test ! -e "$case" || .venv/bin/python -m py_compile "$case"
done

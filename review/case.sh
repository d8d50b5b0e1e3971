#!/bin/sh
# Runs the case in the folder given: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "no .venv: build first" >&2; exit 2; }
rm -f "review/$1/record.txt"
.venv/bin/python -B "review/$1/case.py"
code=$?
tail -n 1 "review/$1/record.txt" | grep -q "case: exit $code\$" || exit 2
exit "$code"

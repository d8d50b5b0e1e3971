#!/bin/sh
# Builds every stand-in that the cases start: they are Python of the standard library, run by the deploy
# file's own environment.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review otterglade/standins

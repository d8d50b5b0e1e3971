#!/bin/sh
exec "$(dirname "$0")/../case.sh" 3

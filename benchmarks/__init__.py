"""Measurements as ratios within one run; each file is a command with `--quick`."""

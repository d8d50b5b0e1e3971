"""Versioned distribution of configuration: one writer, relays, subscribers, and proof of what is in force.

Everything here is free of I/O, clocks and threads: each class is a function of messages and time. The
carriers stand in `otterglade/gateway/distribution/`. See docs/design-distribution.md.
"""

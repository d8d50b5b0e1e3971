"""Versioned distribution of configuration: one writer, relays, subscribers, and acknowledgements.

Nothing in this package does I/O, reads a clock or starts a thread: messages and the current time are passed
in. The transport is in `otterglade/gateway/distribution/`. See docs/design-distribution.md.
"""

"""Carriers of configuration distribution: sockets, disks and threads around `core/distribution`."""

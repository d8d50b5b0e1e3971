"""The daemon: decision loop, fronts, clients of hosts and registry, lifecycle."""

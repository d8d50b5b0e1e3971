"""Ports on loopback that are known before their processes start."""

from __future__ import annotations

import random
import socket
from collections.abc import Collection

FIRST_PORT = 10_000
LAST_PORT = 32_000
"""Below the range from which the system gives ports to clients, so that a machine that restarts finds its
port free."""


def free_ports(count: int, taken: Collection[int] = ()) -> list[int]:
    """Ports on which nothing listens now, for TCP and UDP; none of those that are `taken`."""
    source = random.Random()  # several fleets may start at once: they must not try the same ones
    found: list[int] = []
    while len(found) < count:
        port = source.randrange(FIRST_PORT, LAST_PORT)
        if port not in found and port not in taken and _is_free(port):
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    try:
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram,
        ):
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            stream.bind(("127.0.0.1", port))
            datagram.bind(("127.0.0.1", port))
    except OSError:
        return False
    return True

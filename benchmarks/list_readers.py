"""Gateways that follow a registry's list of hosts, many in one process, for `benchmarks.distribution`.

python -m benchmarks.list_readers HOST:PORT COUNT FIRST: prints, each second, how many lists were read.
"""

from __future__ import annotations

import os
import sys
import threading
import time

from otterglade.gateway.fleet import HostList
from otterglade.gateway.registry import RegistryClient
from otterglade.obs.logs import logger

WAIT_SECONDS = 30.0
RETRY_SECONDS = 0.5
REPORT_SECONDS = 1.0


class Counter:
    """How many lists all readers have taken."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.lists = 0

    def add(self, listed: HostList) -> None:
        """One more."""
        with self._lock:
            self.lists += 1


def fail(name: str, error: BaseException) -> None:
    """End the process where a thread fails: its figures would be of fewer readers."""
    print(f"{name}: {error!r}", file=sys.stderr, flush=True)
    os._exit(1)


def main() -> None:
    """Read until the process is ended."""
    host, _, port = sys.argv[1].rpartition(":")
    count, first = int(sys.argv[2]), int(sys.argv[3])
    counter = Counter()
    for number in range(first, first + count):
        client = RegistryClient(
            (host, int(port)),
            name=f"reader-{number}",
            wait=WAIT_SECONDS,
            retry=RETRY_SECONDS,
            on_list=counter.add,
            log=logger("error"),
            on_failure=fail,
            seed=number,
        )
        client.start()
    while True:
        print(counter.lists, flush=True)
        time.sleep(REPORT_SECONDS)


if __name__ == "__main__":
    main()

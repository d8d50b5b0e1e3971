"""Follows the registry's host list with blocking queries, as common key-value registries offer them.

`GET /v1/hosts?index=N&wait=S` is answered at once if the list is newer than index N, else when it changes,
after S seconds at the latest.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable

from ..net.http import Client, ExchangeError
from ..net.threads import Failure, spawn
from ..obs.logs import Log
from .fleet import HostList, HostListError, decode_host_list


class RegistryClient:
    """Calls `on_list` with each new host list, on a thread of its own."""

    def __init__(
        self, address: tuple[str, int], *, name: str, wait: float, retry: float,
        on_list: Callable[[HostList], None], log: Log, on_failure: Failure, seed: int,
    ) -> None:  # fmt: skip
        """`wait`: seconds that a blocking query may wait. `retry`: seconds before the first retry; the delay
        doubles up to ten times that, with a random factor of 0.5 to 1.5. `on_list`: called on the client's
        thread.
        """
        self._client = Client(address, connect_limit=2.0)
        self._name, self._wait, self._retry_seconds = name, wait, retry
        self._on_list, self._log, self._on_failure = on_list, log, on_failure
        self._random = random.Random(seed)
        self._stop = threading.Event()
        self.last_answer_at: float | None = None
        """Monotonic time of the last valid response."""

    def start(self) -> None:
        """Begin to follow the list; failures of the thread go to `on_failure`."""
        spawn("registry", self._follow, self._on_failure)

    def stop(self) -> None:
        """End the thread; a blocking query in progress still runs to its end."""
        self._stop.set()

    def _follow(self) -> None:
        index, failures = -1, 0
        while not self._stop.is_set():
            try:
                listed = self._fetch(index)
            except (ExchangeError, HostListError) as error:
                if self._stop.is_set():
                    return
                failures += 1
                if failures == 1:
                    self._log.warning("registry_lost", cause=str(error))
                wait = self._retry_seconds * min(2.0 ** (failures - 1), 10.0)
                self._stop.wait(wait * (0.5 + self._random.random()))
                index = -1  # read the whole list: the index may be invalid after a restart of the registry
                continue
            if self._stop.is_set():
                return
            if failures:
                self._log.info("registry_back", failures=failures, index=listed.index)
            failures, self.last_answer_at = 0, time.monotonic()
            if listed.index != index:
                index = listed.index
                self._on_list(listed)

    def _fetch(self, index: int) -> HostList:
        target = f"/v1/hosts?index={index}&wait={self._wait:g}&client={self._name}".encode()
        response = self._client.exchange(b"GET", target, deadline=time.monotonic() + self._wait + 5.0)
        if response.status != 200:
            raise HostListError(f"the registry responded with status {response.status}")
        return decode_host_list(response.body)

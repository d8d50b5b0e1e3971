"""A registry of hosts with blocking reads, whose changes can be late and which can be away, on command.

GET /v1/hosts?index=N&wait=S&client=NAME    the list, held back until it is newer than N
PUT /v1/hosts/ID                            a host's entry, as JSON
DELETE /v1/hosts/ID
POST /control                               {"kind": "outage" | "late", "seconds": S, "value": V}
"""

from __future__ import annotations

import threading
import time
import urllib.parse
from pathlib import Path
from typing import Any

import msgspec

from ..net.http import Exchange, Timeouts, serve
from ..net.listener import Address, Listener, bind_socket
from ..net.stream import Stream
from ..net.threads import Failure
from ..wire import http1
from .host import Fault
from .record import Record

FULL = http1.response(503, body=b"too many connections\n", keep_alive=False)


class StandInRegistry:
    """`late`: seconds until a change is seen by readers."""

    def __init__(
        self, on_failure: Failure, record: Path | None = None, port: int = 0, late: float = 0.0
    ) -> None:
        self.record = Record(record)
        self._lock = threading.Condition()
        self._versions: list[tuple[float, int, bytes, dict[int, str]]] = [(0.0, 1, self._encoded(1, {}), {})]
        """When seen, index, list, state of each host."""
        self._hosts: dict[int, dict[str, Any]] = {}
        self._late = late
        self._away_until = 0.0
        self.listener = Listener(
            bind_socket(("127.0.0.1", port)), self._serve, budget=4096, busy_response=FULL,
            on_failure=on_failure, name="registry",
        )  # fmt: skip

    def start(self) -> None:
        self.listener.start()

    @staticmethod
    def _encoded(index: int, hosts: dict[int, dict[str, Any]]) -> bytes:
        return msgspec.json.encode({"index": index, "hosts": list(hosts.values())})

    def _serve(self, stream: Stream, peer: Address, first: bytes) -> None:
        serve(stream, peer, self._handle, Timeouts(idle=120.0), first=first)

    def _handle(self, exchange: Exchange) -> bytes | None:
        path, _, query = exchange.request.target.decode("ascii").partition("?")
        method = exchange.request.method
        if path == "/control" and method == b"POST":
            fault = msgspec.json.decode(exchange.body, type=Fault)
            self.record.write("fault", kind=fault.kind, seconds=fault.seconds, value=fault.value)
            with self._lock:
                if fault.kind == "outage":
                    self._away_until = time.monotonic() + fault.seconds
                elif fault.kind == "late":
                    self._late = fault.value
                self._lock.notify_all()
            return exchange.reply(204)
        if path.startswith("/v1/hosts/") and method in (b"PUT", b"DELETE"):
            return self._change(exchange, int(path.rsplit("/", 1)[1]))
        if path == "/v1/hosts" and method == b"GET":
            return self._read(exchange, dict(urllib.parse.parse_qsl(query)))
        return exchange.reply(404)

    def _change(self, exchange: Exchange, number: int) -> bytes:
        with self._lock:
            if exchange.request.method == b"DELETE":
                self._hosts.pop(number, None)
            else:
                self._hosts[number] = msgspec.json.decode(exchange.body)
            index = self._versions[-1][1] + 1
            states = {k: v["state"] for k, v in self._hosts.items()}
            seen = max(time.monotonic() + self._late, self._versions[-1][0])
            self._versions.append((seen, index, self._encoded(index, self._hosts), states))
            del self._versions[:-1000]
            self.record.write("change", index=index, host=number, state=states.get(number, "gone"))
            self._lock.notify_all()
        return exchange.reply(200, body=b"%d\n" % index)

    def _read(self, exchange: Exchange, given: dict[str, str]) -> bytes | None:
        index, wait = int(given.get("index", "-1")), float(given.get("wait", "0"))
        deadline = time.monotonic() + min(wait, 60.0)
        with self._lock:
            while True:
                now = time.monotonic()
                if now < self._away_until:
                    return None  # away: the connection breaks
                seen = [x for x in self._versions if x[0] <= now][-1]
                if seen[1] != index or now >= deadline:
                    break
                coming = [x[0] for x in self._versions if x[0] > now]
                until = min([deadline, *coming[:1]])
                self._lock.wait(min(0.25, max(0.001, until - now)))
        # Noted before it is sent: from here on the reader may act on it.
        self.record.write("told", client=given.get("client", ""), index=seen[1], states=seen[3])
        return exchange.reply(200, [(b"Content-Type", b"application/json")], seen[2])

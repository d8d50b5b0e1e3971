"""A TCP proxy between zones and control machines that loses exchanges and cuts zones off.

One listening port stands for each pair of a zone and a control machine. A lost exchange is one whose
connection is closed, either before its request is passed on or when its answer comes. A zone that is cut off
is one whose bytes lie in the kernel until it is joined again, as they do where a network drops packets and
TCP sends them anew.

python -m otterglade.lab.hollow.proxy SPEC.json: says on standard output when it is ready, and obeys commands
on standard input, a line of JSON each.
"""

from __future__ import annotations

import contextlib
import os
import random
import selectors
import socket
import sys
from pathlib import Path

import msgspec

from ...net.threads import spawn

PIECE_BYTES = 64 * 1024
BACKLOG = 1024


class Route(msgspec.Struct, frozen=True):
    """Where a zone reaches a control machine, and where that really is."""

    zone: str
    port: int
    target_zone: str
    target_port: int

    def is_cut(self, zones: tuple[str, ...]) -> bool:
        """Whether exactly one end stands in one of these zones."""
        return (self.zone in zones) != (self.target_zone in zones)


class ProxySpec(msgspec.Struct, frozen=True):
    """What a proxy process is started with."""

    routes: tuple[Route, ...]
    seed: int


class ProxyCommand(msgspec.Struct, frozen=True):
    """What is done to connections from now on."""

    lost: float = 0.0
    """Share of exchanges that are lost."""
    cut: tuple[str, ...] = ()
    """Zones that are cut off."""


class ProxyReady(msgspec.Struct, frozen=True):
    """Said once all ports listen."""

    ready: bool = True


class _Flow:
    """One direction of a connection: what is read here goes to the other side."""

    __slots__ = ("other", "pending", "request", "route", "socket")

    def __init__(self, sock: socket.socket, route: Route, request: bool) -> None:
        self.socket, self.route, self.request = sock, route, request
        self.other: _Flow
        self.pending = b""
        """Read from the other side, not taken by this socket yet."""


class _Pair(msgspec.Struct):
    """The state of a connection's present exchange."""

    asking: bool = False
    """The latest bytes came from the client."""
    lose_answer: bool = False


class Proxy:
    """Forwards bytes in one thread; `command` may be called from another."""

    def __init__(self, spec: ProxySpec) -> None:
        """Listen on all ports. Raises OSError."""
        self._random = random.Random(spec.seed)
        self._selector = selectors.DefaultSelector()
        self._faults = ProxyCommand()
        self._commands: list[ProxyCommand] = []
        self._flows: set[_Flow] = set()
        self._pairs: dict[_Flow, _Pair] = {}
        self._wake_read, self._wake = socket.socketpair()
        self._selector.register(self._wake_read, selectors.EVENT_READ, None)
        self.lost = 0
        """Exchanges lost so far."""
        for route in spec.routes:
            listener = socket.create_server(("127.0.0.1", route.port), backlog=BACKLOG)
            listener.setblocking(False)
            self._selector.register(listener, selectors.EVENT_READ, route)

    def command(self, command: ProxyCommand) -> None:
        """Have other faults from now on."""
        self._commands.append(command)
        self._wake.send(b"x")

    def run(self) -> None:
        """Forward until the process ends."""
        while True:
            for key, events in self._selector.select():
                if key.data is None:
                    self._obey()
                elif isinstance(key.data, Route):
                    self._accept(key.fileobj, key.data)  # type: ignore[arg-type]
                elif key.data in self._flows:
                    self._serve(key.data, events)

    def _obey(self) -> None:
        self._wake_read.recv(64)
        while self._commands:
            self._faults = self._commands.pop(0)
        for flow in self._flows:
            self._watch(flow)

    def _accept(self, listener: socket.socket, route: Route) -> None:
        with contextlib.suppress(BlockingIOError):
            client, _ = listener.accept()
            self._connect(client, route)

    def _connect(self, client: socket.socket, route: Route) -> None:
        """Connect on loopback, where that takes no time, so that it may block; a refusal is passed on."""
        try:
            server = socket.create_connection(("127.0.0.1", route.target_port), timeout=1.0)
        except OSError:
            client.close()
            return
        flows = _Flow(client, route, request=True), _Flow(server, route, request=False)
        flows[0].other, flows[1].other = flows[1], flows[0]
        pair = _Pair()
        for flow in flows:
            flow.socket.setblocking(False)
            flow.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._flows.add(flow)
            self._pairs[flow] = pair
            self._selector.register(flow.socket, selectors.EVENT_READ, flow)
            self._watch(flow)

    def _watch(self, flow: _Flow) -> None:
        """Wait for what this flow can do now: nothing while its zone is cut off."""
        events = 0
        if not flow.route.is_cut(self._faults.cut):
            events |= selectors.EVENT_READ if not flow.other.pending else 0
            events |= selectors.EVENT_WRITE if flow.pending else 0
        registered = flow.socket in self._selector.get_map()
        if not events and registered:
            self._selector.unregister(flow.socket)
        elif events and registered:
            self._selector.modify(flow.socket, events, flow)
        elif events:
            self._selector.register(flow.socket, events, flow)

    def _serve(self, flow: _Flow, events: int) -> None:
        try:
            if events & selectors.EVENT_WRITE:
                self._flush(flow)
            if events & selectors.EVENT_READ:
                self._forward(flow)
        except BlockingIOError:
            return
        except OSError:
            self._close(flow)

    def _forward(self, flow: _Flow) -> None:
        data = flow.socket.recv(PIECE_BYTES)
        if not data or self._loses(flow):
            self._close(flow)
            return
        target = flow.other
        sent = 0
        with contextlib.suppress(BlockingIOError):
            sent = target.socket.send(data)
        if sent < len(data):
            target.pending = data[sent:]
            self._watch(target)
            self._watch(flow)

    def _flush(self, flow: _Flow) -> None:
        sent = flow.socket.send(flow.pending)
        flow.pending = flow.pending[sent:]
        if not flow.pending:
            self._watch(flow)
            self._watch(flow.other)

    def _loses(self, flow: _Flow) -> bool:
        """Whether the connection is closed now; drawn once for each exchange."""
        pair = self._pairs[flow]
        if flow.request == pair.asking:
            return False  # more bytes of the same message
        pair.asking = flow.request
        if not flow.request:
            return pair.lose_answer
        lost = self._random.random() < self._faults.lost
        lose_request = lost and self._random.random() < 0.5
        pair.lose_answer = lost and not lose_request
        self.lost += lost
        return lose_request

    def _close(self, flow: _Flow) -> None:
        for each in (flow, flow.other):
            self._flows.discard(each)
            self._pairs.pop(each, None)
            if each.socket in self._selector.get_map():
                self._selector.unregister(each.socket)
            each.socket.close()


def main() -> None:
    """Run a proxy until its standard input ends."""
    spec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=ProxySpec)
    proxy = Proxy(spec)

    def failed(name: str, error: BaseException) -> None:
        print(f"{name}: {error!r}", file=sys.stderr, flush=True)
        os._exit(1)

    spawn("proxy", proxy.run, failed)
    print(msgspec.json.encode(ProxyReady()).decode(), flush=True)
    for line in sys.stdin:
        proxy.command(msgspec.json.decode(line, type=ProxyCommand))


if __name__ == "__main__":
    main()

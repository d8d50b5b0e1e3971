"""Links between gateways that a script commands: datagrams lost, late, doubled, cut one way.

Each gateway's script names, for every other, an address of this relay; who sent a datagram is read from its
seal, as a gateway's own port is the system's choice and changes with each start.
"""

from __future__ import annotations

import heapq
import itertools
import random
import selectors
import socket
import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..core.fleet.messages import DatagramCodec, DatagramError
from ..net.threads import Failure, spawn

Address = tuple[str, int]
LOOK = 0.02
"""Seconds between two looks at what is due, at most."""


@dataclass(slots=True)
class Faults:
    """What happens to datagrams; shares from 0 to 1, seconds. Draws from a seed; the system's timing is its
    own."""

    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0
    """Up to so much, drawn evenly: messages overtake one another."""
    cut: set[tuple[str, str]] = field(default_factory=set)
    """From, to: nothing passes."""


def both_ways(some: Iterable[str], others: Iterable[str]) -> set[tuple[str, str]]:
    """From each of one group to each of the other, and back."""
    return {way for a, b in itertools.product(some, others) for way in ((a, b), (b, a))}


class Links:
    """One socket for each gateway, to which the others send; passes on to where that one speaks from."""

    def __init__(self, names: Iterable[str], seal: DatagramCodec, seed: int, on_failure: Failure) -> None:
        """Raises OSError."""
        self._seal, self._random, self._on_failure = seal, random.Random(seed), on_failure
        self._selector = selectors.DefaultSelector()
        self._sockets: dict[str, socket.socket] = {}
        for name in names:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind(("127.0.0.1", 0))
            sock.setblocking(False)
            self._sockets[name] = sock
            self._selector.register(sock, selectors.EVENT_READ, name)
        self._names: dict[Address, str] = {}
        self._speaks: dict[str, list[Address]] = {}
        """Where a name was last heard from: two places, as two processes may have it."""
        self._queue: list[tuple[float, int, str, str, bytes]] = []
        self._order = itertools.count()
        self._lock = threading.Lock()
        self._faults = Faults()
        self._ended = threading.Event()
        self.passed = self.lost = 0

    @property
    def members(self) -> dict[str, str]:
        """What the scripts name: each gateway's address here."""
        return {x: "{}:{}".format(*y.getsockname()) for x, y in self._sockets.items()}

    def start(self) -> None:
        spawn("links", self._run, self._on_failure)

    def command(self, **faults: object) -> None:
        """Set some of the faults; the others stay."""
        with self._lock:
            for name, value in faults.items():
                if name not in Faults.__slots__:
                    raise ValueError(f"links: found {name!r}; known are {', '.join(Faults.__slots__)}")
                setattr(self._faults, name, value)

    def part(self, some: Iterable[str], others: Iterable[str]) -> None:
        """Cut between two groups, both ways, beside what is cut already."""
        self.sever(both_ways(some, others))

    def sever(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Cut these ways, from one to another, beside what is cut already."""
        with self._lock:
            self._faults.cut |= {*pairs}

    def mend(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Let these ways pass again."""
        with self._lock:
            self._faults.cut -= {*pairs}

    def heal(self) -> None:
        with self._lock:
            self._faults = Faults()

    def stop(self) -> None:
        self._ended.set()

    def _run(self) -> None:
        while not self._ended.is_set():
            wait = LOOK if not self._queue else max(0.0, min(LOOK, self._queue[0][0] - time.monotonic()))
            for ready, _ in self._selector.select(wait):
                self._read(str(ready.data))
            now = time.monotonic()
            while self._queue and self._queue[0][0] <= now:
                _, _, sender, to, data = heapq.heappop(self._queue)
                self._pass(sender, to, data)
        for sock in self._sockets.values():
            sock.close()
        self._selector.close()

    def _read(self, to: str) -> None:
        while True:
            try:
                data, source = self._sockets[to].recvfrom(2048)
            except BlockingIOError:
                return
            except ConnectionError:
                continue  # a gateway that is down: told by the kernel for a datagram sent earlier
            sender = self._names.get(source)
            if sender is None:
                try:
                    sender = self._seal.decode(data).sender
                except DatagramError:
                    continue
                self._names[source] = sender
                self._speaks[sender] = [*self._speaks.get(sender, ()), source][-2:]
            with self._lock:
                faults = self._faults
                drop = (sender, to) in faults.cut or self._random.random() < faults.lost
                copies = 0 if drop else 1 + (self._random.random() < faults.doubled)
                waits = [self._random.random() * faults.late for _ in range(copies)]
            self.lost += not copies
            now = time.monotonic()
            for wait in waits:
                heapq.heappush(self._queue, (now + wait, next(self._order), sender, to, data))

    def _pass(self, sender: str, to: str, data: bytes) -> None:
        for where in self._speaks.get(to, ()):  # nobody, where it has not spoken yet
            try:
                self._sockets[sender].sendto(data, where)
                self.passed += 1
            except OSError:
                self.lost += 1

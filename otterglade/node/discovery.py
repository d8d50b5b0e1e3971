"""The name service, asked over UDP again and again: one list at a time, never an older one.

An event counts as told at the latest 1.5 s after it happened, however answers fare, so it is asked often
enough that two answers in a row may be lost.

Serials are compared as RFC 1982 says. A lower one is an older list for good, also after a new configuration:
the numbers go on. One list without any host may be an odd answer, and would end every session: it is
believed once the answer to another question says so too.
"""

from __future__ import annotations

import os
import socket
from collections import OrderedDict
from collections.abc import Callable

from ..net.reactor import Address, Reactor
from ..wire import dns

NAME = "_api._tcp.svc.local"
EVERY = 0.3
"""Seconds between two questions that are answered well."""
AGAIN = 0.15
"""Seconds until the next question where an answer was none, or has not come."""
KEPT = 8
"""Questions whose answers are still read: an answer may come after the next question."""
READS = 32
"""Datagrams read in one turn; the others wait for the next, behind everyone else."""


def newer(serial: int, held: int) -> bool:
    """Whether a serial follows the one held, in 32 bits (RFC 1982, section 3.2)."""
    return 0 < (serial - held) % (1 << 32) < 1 << 31


class Discovery:
    """Asks, and hands on each newer list. `told` gets it; `say` a line for the log."""

    def __init__(
        self,
        reactor: Reactor,
        resolver: Address,
        serial: int,
        told: Callable[[dns.HostList], None],
        say: Callable[[str], None],
    ) -> None:
        self._reactor, self._told, self._say = reactor, told, say
        self.serial = serial
        self._resolver = resolver
        self._sock: socket.socket | None = None
        self._asked: OrderedDict[int, None] = OrderedDict()
        self._same = b""
        self._emptied = False
        """A newer list without any host was heard once, and another question asked."""
        self._due = 0.0
        self._answered = True
        self._failing = False
        self._open()
        self._ask()

    def move(self, resolver: Address) -> None:
        """The name service answers at another address from now on; the old one's answers are not read."""
        self._resolver = resolver
        self._open()
        self._ask()

    def _open(self) -> None:
        """A socket for the resolver's address; where there is none, the next question tries again."""
        if self._sock is not None:  # closed first: its descriptor is the new one's where there are no others
            self._reactor.forget(self._sock.fileno())
            self._sock.close()
            self._sock = None
        sock = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.connect(self._resolver)  # the kernel drops what comes from anywhere else
            self._reactor.watch(sock.fileno(), self._ready)
        except OSError as error:
            if sock is not None:
                sock.close()
            self._fails(f"can't be asked: {error}")
            return
        self._sock = sock
        self._asked.clear()

    def ask(self) -> None:
        """Ask now, beside the usual questions."""
        if self._sock is None:
            self._open()  # forgets what was asked before
        if self._sock is None:
            return
        number = int.from_bytes(os.urandom(2), "big")
        self._asked[number] = None
        while len(self._asked) > KEPT:
            self._asked.popitem(last=False)
        try:
            self._sock.send(dns.query(number, NAME))
        except OSError as error:
            self._fails(f"can't be asked: {error}")

    def _ask(self) -> None:
        now = self._reactor.clock()
        self._answered = False
        self.ask()
        self._next(now + AGAIN)

    def _next(self, when: float) -> None:
        self._due = when
        self._reactor.at(when, lambda: self._ask() if self._due == when else None)

    def _ready(self, events: int) -> None:
        for _ in range(READS):
            if self._sock is None:
                return
            try:
                data = self._sock.recv(dns.ANSWER_MOST + 1)
            except BlockingIOError:
                return
            except OSError as error:
                self._fails(f"can't be reached: {error}")
                return
            self._heard(data)

    def _heard(self, data: bytes) -> None:
        number = int.from_bytes(data[:2], "big")
        if number not in self._asked:
            return
        if data[2:] == self._same:  # the list that is held already: not read a second time
            self._well(number)
            return
        try:
            found = dns.read(data, number, NAME)
        except dns.DnsError as error:
            self._fails(f"{type(error).__name__}: {error}")
            return
        if found.serial == self.serial:
            self._same = data[2:]
        elif not newer(found.serial, self.serial):
            self._fails(f"an older list: {found.serial}, held is {self.serial}")
            return
        elif not found.hosts and not self._emptied:
            del self._asked[number]  # the same answer, come twice, must not confirm itself
            self._emptied = True
            self._fails("a list without any host")
            self.ask()
            return
        self._emptied = False
        self._well(number)
        if found.serial != self.serial:
            self.serial, self._same = found.serial, data[2:]
            self._told(found)

    def _well(self, number: int) -> None:
        del self._asked[number]
        if self._failing:
            self._failing = False
            self._say("name service: answers again")
        if not self._answered:
            self._answered = True
            self._next(self._reactor.clock() + EVERY)

    def _fails(self, why: str) -> None:
        if not self._failing:
            self._failing = True
            self._say(f"name service: {why}")

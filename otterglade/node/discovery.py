"""Host discovery: polls the name service over UDP and passes on each newer list.

An event counts as announced at most 1.5 s after it happened, even if answers are lost, so the polling
interval allows for two lost answers in a row.

Serials are compared according to RFC 1982. A lower one always belongs to an older list, also after a new
configuration, as the numbers continue. A list without hosts may be a faulty answer and would end every
session: it is applied only when the answer to another query confirms it. So is the late answer to a query
that many others have followed, unless answers have taken as long before (`pending_queries.py`).
"""

from __future__ import annotations

import os
import socket
from collections.abc import Callable

from ..net.reactor import Address, Reactor
from ..wire import dns
from .pending_queries import PendingQueries, Query

SERVICE_NAME = "_api._tcp.svc.local"
QUERY_INTERVAL_SECONDS = 0.3
"""Seconds between two queries when the answers are good."""
SLOW_QUERY_INTERVAL_SECONDS = 0.2
"""The same when good answers take long: they come at irregular times, and a gap of 1.5 s would be too
long."""
RETRY_INTERVAL_SECONDS = 0.15
"""Seconds until the next query after an invalid answer, or without one that was to be expected by then."""
MAX_DATAGRAMS = 32
"""Datagrams read in one iteration of the event loop; further ones wait for the next."""


def is_newer(serial: int, current: int) -> bool:
    """Whether a serial follows the current one, in 32 bits (RFC 1982, section 3.2)."""
    return 0 < (serial - current) % (1 << 32) < 1 << 31


class Discovery:
    """Polls the name service from its creation on.

    `on_list` gets each newer list, `log` lines for the log; `serial`: of the list already known.
    """

    def __init__(
        self,
        reactor: Reactor,
        resolver: Address,
        serial: int,
        on_list: Callable[[dns.HostList], None],
        log: Callable[[str], None],
    ) -> None:
        self._reactor, self._on_list, self._log = reactor, on_list, log
        self.serial = serial
        self._resolver = resolver
        self._sock: socket.socket | None = None
        self._pending_queries = PendingQueries()
        self._list_query = Query(0, 0.0)
        """The query whose answer was the current list."""
        self._unconfirmed: dns.HostList | None = None
        """The last list of a late answer, which another answer has to confirm."""
        self._answer_took = 0.0
        """Seconds that the last answer took."""
        self._last_answer_at = 0.0
        self._current_answer = b""
        self._empty_list_seen = False
        """A newer list without hosts was received once, and another query was sent to confirm it."""
        self._next_query_at = 0.0
        self._answered = True
        self._failing = False
        self._open()
        self._scheduled_query()

    def change_resolver(self, resolver: Address) -> None:
        """Use another address of the name service; answers from the old one are ignored."""
        if resolver != self._resolver:
            self._resolver = resolver
            self._open()
        self._scheduled_query()

    def _open(self) -> None:
        """Open a socket for the resolver's address; if that fails, the next query tries again."""
        if self._sock is not None:  # closed first: its descriptor may be the only one left for the new socket
            self._reactor.unwatch(self._sock.fileno())
            self._sock.close()
            self._sock = None
        sock = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.connect(self._resolver)  # the kernel drops datagrams from other addresses
            self._reactor.watch(sock.fileno(), self._on_readable)
        except OSError as error:
            if sock is not None:
                sock.close()
            self._report_failure(f"can't be asked: {error}")
            return
        self._sock = sock
        self._pending_queries.clear()
        self._unconfirmed, self._empty_list_seen = None, False
        self._answer_took = 0.0

    def query(self) -> None:
        """Send a query now, in addition to the periodic ones."""
        if self._sock is None:
            self._open()  # clears the pending queries
        if self._sock is None:
            return
        query_id = int.from_bytes(os.urandom(2), "big")
        self._pending_queries.add(query_id, self._reactor.clock())
        try:
            self._sock.send(dns.build_query(query_id, SERVICE_NAME))
        except OSError as error:
            self._report_failure(f"can't be asked: {error}")

    def _scheduled_query(self) -> None:
        now = self._reactor.clock()
        self._answered = False
        self.query()
        self._schedule_query(now + self._retry_seconds(now))

    def _retry_seconds(self, now: float) -> float:
        """Seconds until the next query if no answer comes."""
        return SLOW_QUERY_INTERVAL_SECONDS if self._is_slow(now) else RETRY_INTERVAL_SECONDS

    def _is_slow(self, now: float) -> bool:
        """Whether answers keep coming and take long, perhaps because the service is crowded: that an answer
        is missing is no reason to ask at once."""
        is_answering = now - self._last_answer_at <= QUERY_INTERVAL_SECONDS + RETRY_INTERVAL_SECONDS
        return is_answering and self._answer_took > RETRY_INTERVAL_SECONDS

    def _schedule_query(self, due_at: float) -> None:
        self._next_query_at = due_at
        self._reactor.call_at(
            due_at, lambda: self._scheduled_query() if self._next_query_at == due_at else None
        )

    def _on_readable(self, events: int) -> None:
        for _ in range(MAX_DATAGRAMS):
            if self._sock is None:
                return
            try:
                data = self._sock.recv(dns.MAX_ANSWER_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as error:
                self._report_failure(f"can't be reached: {error}")
                return
            self._handle_answer(data)

    def _handle_answer(self, data: bytes) -> None:
        query_id = int.from_bytes(data[:2], "big")
        query = self._pending_queries.find(query_id, self._reactor.clock())
        if query is None:
            return
        if data[2:] == self._current_answer:  # the current list again: not parsed a second time
            self._mark_answered(query_id, query)
            return
        try:
            found = dns.parse_answer(data, query_id, SERVICE_NAME)
        except dns.DnsError as error:
            self._report_failure(f"{type(error).__name__}: {error}")
            return
        if found.serial == self.serial:
            self._current_answer = data[2:]
            self._mark_answered(query_id, query)
        elif is_newer(found.serial, self.serial):
            self._handle_newer_list(found, query_id, query, data)
        elif query.number <= self._list_query.number:  # answers to earlier queries may overtake each other
            self._mark_answered(query_id, query)
        else:
            self._report_failure(f"an older list: {found.serial}, held is {self.serial}")

    def _handle_newer_list(self, found: dns.HostList, query_id: int, query: Query, data: bytes) -> None:
        """Apply a newer list, unless another answer has to confirm it."""
        if not found.hosts and not self._empty_list_seen:
            self._pending_queries.remove(query_id)  # a duplicate of the same answer must not confirm itself
            self._empty_list_seen = True
            self._report_failure("a list without any host")
            self.query()
            return
        is_credible = self._pending_queries.is_credible(query, self._reactor.clock())
        self._mark_answered(query_id, query)
        if found.hosts and not is_credible and found != self._unconfirmed:
            self._unconfirmed = found
            return
        self.serial, self._current_answer, self._list_query = found.serial, data[2:], query
        self._unconfirmed = None
        self._on_list(found)

    def _mark_answered(self, query_id: int, query: Query) -> None:
        self._last_answer_at = self._reactor.clock()
        self._pending_queries.answer(query_id, query, self._last_answer_at)
        self._empty_list_seen = False
        self._answer_took = self._last_answer_at - query.sent_at
        if self._failing:
            self._failing = False
            self._log("name service: answers again")
        if not self._answered and not self._is_slow(self._last_answer_at):
            self._answered = True
            self._schedule_query(self._last_answer_at + QUERY_INTERVAL_SECONDS)

    def _report_failure(self, reason: str) -> None:
        if not self._failing:
            self._failing = True
            self._log(f"name service: {reason}")

"""The door: a burst of silent clients, half heads, ends in the middle, stops."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from otterglade.net.http import Exchange, Timeouts, serve
from otterglade.net.listener import Listener, bound
from otterglade.net.stream import Stream
from otterglade.wire import http1

from .house import BOUND, until

BUSY, LATE = b"busy", b"late"
ASK = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class Door:
    """A listener that answers every request with "ok"."""

    def __init__(self, budget: int = 3000, idle: float = 60.0, head: float = 5.0) -> None:
        self.failures: list[BaseException] = []
        self.listener = Listener(
            bound(("127.0.0.1", 0)), self._serve, budget=budget, busy=BUSY, late=LATE, idle=idle, head=head,
            on_failure=lambda name, error: self.failures.append(error), whole=http1.head_is_whole,
        )  # fmt: skip
        self.listener.start()
        self.socks: list[socket.socket] = []

    def _serve(self, stream: Stream, peer: tuple[str, int], first: bytes) -> None:
        serve(stream, peer, self._handle, Timeouts(), first=first)

    def _handle(self, exchange: Exchange) -> bytes:
        return exchange.reply(200, body=b"ok")

    def come(self, said: bytes = b"") -> socket.socket:
        sock = socket.create_connection(self.listener.address, timeout=BOUND)
        sock.sendall(said)
        self.socks.append(sock)
        return sock

    def close(self) -> None:
        for sock in self.socks:
            sock.close()
        self.listener.stop_accepting()
        self.listener.abort_all()
        assert self.listener.wait_empty(time.monotonic() + BOUND)
        assert not self.failures


@pytest.fixture
def door() -> Iterator[Door]:
    made = Door()
    yield made
    made.close()


def test_a_burst_that_says_nothing_whole_costs_no_threads_and_holds_nobody_up(door: Door) -> None:
    for _ in range(400):
        door.come(b"GET /wat")
    until(lambda: len(door.listener.porch._started) == 400)
    assert door.listener.threads == 0
    assert door.come(ASK).recv(999).startswith(b"HTTP/1.1 200")
    assert door.listener.threads == 1
    assert door.listener.connections == 401


def test_a_head_cut_anywhere_is_answered_once_it_is_whole(door: Door) -> None:
    for cut in range(len(ASK)):
        sock = door.come(ASK[:cut])
        sock.sendall(ASK[cut:])
        assert sock.recv(999).startswith(b"HTTP/1.1 200")
        sock.sendall(ASK)  # the connection goes on
        assert sock.recv(999).startswith(b"HTTP/1.1 200")


def test_two_requests_at_once_get_two_answers(door: Door) -> None:
    sock, data = door.come(ASK + ASK), b""
    while data.count(b"HTTP/1.1 200") < 2:
        piece = sock.recv(999)
        assert piece
        data += piece


def test_what_can_never_be_a_head_is_refused_without_waiting_for_more(door: Door) -> None:
    assert door.come(b"x" * 20000).recv(999).startswith(b"HTTP/1.1 4")
    assert door.come(b"nonsense\r\n\r\n").recv(999).startswith(b"HTTP/1.1 400")


def test_those_who_leave_silently_or_in_the_middle_are_let_go(door: Door) -> None:
    for said in (b"", b"GET / HT"):
        door.come(said).close()
        sock = door.come(said)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        sock.close()  # a reset
    until(lambda: not door.listener.connections)


def test_slow_heads_are_told_and_silent_ones_closed() -> None:
    door = Door(idle=0.2, head=0.1)
    try:
        assert door.come(b"GET").recv(99) == LATE
        assert door.come().recv(99) == b""
        assert (door.listener.late, door.listener.turned_away) == (1, 0)
    finally:
        door.close()


def test_a_stop_serves_whoever_has_begun_to_ask_and_refuses_who_comes(door: Door) -> None:
    half, silent = door.come(ASK[:9]), door.come()
    until(lambda: len(door.listener.porch._started) == 1 and door.listener.porch.count == 2)
    door.listener.stop_accepting()
    assert silent.recv(99) == b""
    with pytest.raises(ConnectionRefusedError):
        door.come()
    half.sendall(ASK[9:])
    assert half.recv(999).startswith(b"HTTP/1.1 200")


def test_over_the_budget_the_oldest_silent_one_goes() -> None:
    door = Door(budget=2)
    try:
        first, second = door.come(), door.come()
        until(lambda: door.listener.porch.count == 2)
        third = door.come(ASK)
        assert first.recv(99) == BUSY
        assert third.recv(999).startswith(b"HTTP/1.1 200")
        assert door.come(ASK).recv(999).startswith(b"HTTP/1.1 200")
        assert second.recv(99) == BUSY
        assert door.listener.turned_away == 2
        refused = door.come()
        with suppress(ConnectionResetError):
            assert refused.recv(99) == BUSY
    finally:
        door.close()


@given(st.lists(st.sampled_from([b"a", b"\r\n", b"\n", b"\r", b": "]), max_size=20))
def test_the_end_of_a_head_is_seen_however_it_is_cut(pieces: list[bytes]) -> None:
    data, seen = bytearray(), False
    for piece in pieces:
        before = len(data)
        data += piece
        seen = seen or http1.head_is_whole(data, before)
    assert seen == (b"\n\r\n" in data or b"\n\n" in data)

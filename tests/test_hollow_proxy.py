"""The proxy of hollow fleets: passes bytes on, loses exchanges, cuts zones off and joins them again."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator

import pytest

from otterglade.lab.hollow.ports import free_ports
from otterglade.lab.hollow.proxy import Proxy, ProxyCommand, ProxySpec, Route

QUIET_SECONDS = 0.3
"""For which nothing may come from a zone that is cut off."""
ANSWER_SECONDS = 10.0


class EchoServer:
    """Answers each piece with the same bytes."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        self.requests = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._echo, args=(connection,), daemon=True).start()

    def _echo(self, connection: socket.socket) -> None:
        try:
            while data := connection.recv(65536):
                self.requests += 1
                connection.sendall(data)
        except OSError:
            return  # the proxy has closed it

    def close(self) -> None:
        """Refuse connections from now on; a plain close would leave the one that `accept` waits for."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


class Passage:
    """A proxy between zones a and b and a server in zone b."""

    def __init__(self) -> None:
        self.server = EchoServer()
        self.ports = dict(zip("ab", free_ports(2), strict=True))
        routes = tuple(Route(zone, port, "b", self.server.port) for zone, port in self.ports.items())
        self.proxy = Proxy(ProxySpec(routes, seed=1))
        threading.Thread(target=self.proxy.run, daemon=True).start()

    def connect(self, zone: str) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.ports[zone]), timeout=ANSWER_SECONDS)


@pytest.fixture
def passage() -> Iterator[Passage]:
    made = Passage()
    yield made
    with contextlib.suppress(OSError):  # the test has closed it
        made.server.close()


def exchange(client: socket.socket, data: bytes = b"ping") -> bytes:
    """Send, and read as many bytes; fewer where the connection was closed."""
    try:
        client.sendall(data)
        answer = b""
        while len(answer) < len(data) and (piece := client.recv(65536)):
            answer += piece
    except ConnectionError:
        return b""
    return answer


def test_bytes_pass_in_both_directions(passage: Passage) -> None:
    with passage.connect("a") as client:
        assert exchange(client) == b"ping"
        large = bytes(range(256)) * 8192
        received = threading.Thread(target=client.sendall, args=(large,))
        received.start()
        answer = b""
        while len(answer) < len(large):
            answer += client.recv(65536)
        received.join()
        assert answer == large


def test_a_share_of_exchanges_is_lost_before_and_after_the_server(passage: Passage) -> None:
    passage.proxy.command(ProxyCommand(lost=0.5))
    answered = 0
    for _ in range(60):
        with passage.connect("a") as client:
            answered += exchange(client) == b"ping"
    assert 15 <= answered <= 45
    assert answered < passage.server.requests < 60, "some requests came whose answers were lost"
    assert passage.proxy.lost == 60 - answered


def test_a_kept_connection_loses_single_exchanges(passage: Passage) -> None:
    passage.proxy.command(ProxyCommand(lost=1.0))
    with passage.connect("a") as client:
        assert exchange(client) == b""
    passage.proxy.command(ProxyCommand())
    with passage.connect("a") as client:
        assert [exchange(client) for _ in range(20)] == [b"ping"] * 20


def test_a_zone_that_is_cut_off_hears_nothing_until_it_is_joined(passage: Passage) -> None:
    with passage.connect("a") as outside, passage.connect("b") as inside:
        assert exchange(outside) == exchange(inside) == b"ping"
        passage.proxy.command(ProxyCommand(cut=("b",)))
        assert exchange(inside) == b"ping", "within the zone nothing is cut"
        outside.sendall(b"ping")
        outside.settimeout(QUIET_SECONDS)
        with pytest.raises(TimeoutError):
            outside.recv(10)
        with passage.connect("a") as late:
            late.settimeout(QUIET_SECONDS)
            late.sendall(b"pong")
            with pytest.raises(TimeoutError):
                late.recv(10)
            passage.proxy.command(ProxyCommand())
            outside.settimeout(ANSWER_SECONDS)
            late.settimeout(ANSWER_SECONDS)
            assert outside.recv(10) == b"ping"
            assert late.recv(10) == b"pong"


def test_a_server_that_is_down_closes_the_connection(passage: Passage) -> None:
    passage.server.close()
    with passage.connect("a") as client:
        assert exchange(client) == b""

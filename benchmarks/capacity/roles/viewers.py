"""Viewers at one real gateway process: connections held, and CPU of set-ups, redirects and reloads.

CPU time is the gateway process's own, from /proc; hosts and players are other processes.
"""

from __future__ import annotations

import functools
import socket
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path

from ... import setups
from ...common import SPAWN, Roomy, address_of, many_files, process_figures, roomy
from ...memory import hold
from ...reloads import whole
from ..model import CONTROL_LIMITS, ONE_CORE, Charge, Experiment, Metric, Reading, Resource, Role, Row
from ..size import KB, MB, Size

NAME = "viewers"
KIB = 1024.0
HOSTS = 3
TITLES = 12
"""As many as the set-ups ask for."""
AT_ONCE = 32
"""Connections on which a request is out at the same time."""
LIMITS = "fetch_gap = 600.0, connections = 20000, idle = 600.0"
IDLE_SECONDS = 3.0
SETUP_THREADS = 4
WITHIN = 120.0
CONNECTION = "`net/listener.py`: a thread a connection that has asked"
FRONT = "`gateway/front.py`, `gateway/sessions.py`: one interpreter lock"


def _metric(name: str, what: str, unit: str, variable: str = "connections") -> Metric:
    return Metric(NAME, name, what, unit, variable)


MEMORY = _metric("memory", "resident memory of the process", "B")
THREADS = _metric("threads", "threads of the process", "threads")
REST_CPU = _metric("rest_cpu", "CPU with connections at rest", "% of a core")
SETUP_CPU = _metric("setup_cpu", "CPU of set-ups", "CPU s", "set-ups")
REDIRECT_CPU = _metric("redirect_cpu", "CPU of segment redirects", "CPU s", "redirects")
RELOAD_CPU = _metric("reload_cpu", "CPU of playlist reloads", "CPU s", "reloads")
REDIRECT_BYTES = _metric("redirect_bytes", "bytes of requests and answers for segments", "B", "redirects")


@dataclass(frozen=True, slots=True)
class House:
    """A gateway process among hosts that answer at once."""

    address: tuple[str, int]
    pid: int

    def cpu(self) -> float:
        """CPU seconds in all, in steps of ten milliseconds."""
        return process_figures(self.pid)["cpu_s"]

    def fine_cpu(self) -> float:
        """CPU seconds of the threads that run now, to the nanosecond."""
        tasks = Path(f"/proc/{self.pid}/task").glob("*/schedstat")
        return sum(int(x.read_text().split()[0]) for x in tasks) / 1e9


@contextmanager
def house() -> Iterator[House]:
    many_files()
    with tempfile.TemporaryDirectory() as folder:
        stage = Roomy(roomy(LIMITS, hosts=HOSTS, racks=1, titles=TITLES), Path(folder))
        try:
            stage.start()
            gateway = stage.gateways[0]
            yield House(address_of(gateway.address), gateway.child.pid)
        finally:
            stage.stop()


def play_connections(connections: int) -> tuple[Reading, ...]:
    """Players that have got a playlist each and keep their connections."""
    with house() as at:
        ready, go = SPAWN.Queue(), SPAWN.Queue()
        child = SPAWN.Process(target=hold, args=(at.address, connections, ready, go))
        child.start()
        assert ready.get(timeout=WITHIN) == connections
        time.sleep(0.5)
        began, before = time.monotonic(), at.fine_cpu()
        time.sleep(IDLE_SECONDS)
        rest = (at.fine_cpu() - before) / (time.monotonic() - began)
        figures = process_figures(at.pid)
        go.put(None)
        child.join()
    return (
        Reading(MEMORY, connections, figures["rss_kib"] * KIB),
        Reading(THREADS, connections, figures["threads"]),
        Reading(REST_CPU, connections, 100.0 * rest),
    )


def _received(sock: socket.socket) -> bytes:
    """One answer without a body, or one whose length `Content-Length` tells."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += sock.recv(65536)
    head, _, body = data.partition(b"\r\n\r\n")
    lengths = [x for x in head.lower().split(b"\r\n") if x.startswith(b"content-length:")]
    missing = int(lengths[0].partition(b":")[2]) - len(body) if lengths else 0
    while missing > 0:
        piece = sock.recv(65536)
        data, missing = data + piece, missing - len(piece)
    return data


def _request(path: bytes) -> bytes:
    return b"GET %b HTTP/1.1\r\nHost: gateway\r\nUser-Agent: player/1.0\r\nAccept: */*\r\n\r\n" % path


def _round(socks: list[socket.socket], request: bytes, status: bytes) -> int:
    """Bytes of one exchange over each connection, all out at once."""
    for sock in socks:
        sock.sendall(request)
    answers = [_received(sock) for sock in socks]
    assert all(status in x.partition(b"\r\n")[0] for x in answers), answers[0]
    return sum(len(x) + len(request) for x in answers)


def _repeated(at: House, request: bytes, count: int, status: bytes) -> tuple[float, int]:
    """CPU seconds of the gateway and bytes of so many equal exchanges."""
    with ExitStack() as stack:
        socks = [stack.enter_context(socket.create_connection(at.address)) for _ in range(AT_ONCE)]
        for sock in socks:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        _round(socks, request, status)
        before, passed = at.cpu(), 0
        for done in range(0, count, AT_ONCE):
            passed += _round(socks[: count - done], request, status)
        return at.cpu() - before, passed


def play_requests(count: int) -> tuple[Reading, ...]:
    """So many reloads, and so many segments, of one session."""
    with house() as at:
        playlist = _request(b"/watch/film/job-0.m3u8?viewer=one")
        text = whole(at.address, playlist)
        segment = next(x for x in text.splitlines() if x.startswith(b"/s/"))
        reload_cpu, _ = _repeated(at, playlist, count, b" 200 ")
        redirect_cpu, passed = _repeated(at, _request(segment), count, b" 302 ")
    return (
        Reading(RELOAD_CPU, count, reload_cpu),
        Reading(REDIRECT_CPU, count, redirect_cpu),
        Reading(REDIRECT_BYTES, count, passed),
    )


def play_setups(count: int) -> tuple[Reading, ...]:
    """So many new viewers, a few at once."""
    with house() as at:
        setups.measure([at.address], SETUP_THREADS * TITLES, SETUP_THREADS, 0)
        before = at.cpu()
        took = setups.measure([at.address], count, SETUP_THREADS, 1)
        spent = at.cpu() - before
    assert len(took) == count, f"{len(took)} of {count} set-ups were answered"
    return (Reading(SETUP_CPU, count, spent),)


def rows(size: Size) -> tuple[Row, ...]:
    viewers, a_core = size.viewers, 100.0
    row = functools.partial(Row, Resource.CPU)
    return (
        Row(Resource.STATE, "threads", THREADS, viewers, 1.0, "-", "threads", CONNECTION),
        Row(Resource.MEMORY, "process at rest, no viewers", MEMORY, 0.0, 1 / MB, "B to MB", "MB",
            "the interpreter and its modules", CONTROL_LIMITS[Resource.MEMORY], charged=Charge.CONTROL),
        Row(Resource.MEMORY, "process with its viewers", MEMORY, viewers, 1 / MB, "B to MB", "MB",
            CONNECTION),
        row("process at rest, no viewers", REST_CPU, 0.0, 1.0, "-", "% of a core",
            "`gateway/daemon.py`: the sweep", CONTROL_LIMITS[Resource.CPU], charged=Charge.CONTROL),
        row("connections at rest", REST_CPU, viewers, 1.0, "-", "% of a core", CONNECTION),
        row("segment redirects", REDIRECT_CPU, size.segments, a_core,
            f"{size.segments:,.0f} in a second, s to %", "% of a core", FRONT, ONE_CORE, Charge.VIEWERS),
        row("playlist reloads, all live", RELOAD_CPU, size.segments, a_core,
            "one a segment, s to %", "% of a core", FRONT, ONE_CORE),
        row("set-ups, few sessions held", SETUP_CPU, 60 * size.setups, a_core / 60,
            f"{60 * size.setups:,.0f} in a minute, s to %", "% of a core",
            "`gateway/front.py`, `core/session_manager.py`, `gateway/hosts.py`", ONE_CORE, Charge.VIEWERS),
        Row(Resource.MESSAGES, "segment requests and redirects", REDIRECT_BYTES, size.segments, 1 / KB,
            "in a second, B to KB", "KB/s", FRONT),
    )  # fmt: skip


ROLE = Role(
    NAME, "Gateway, viewers: connections and requests",
    (
        Experiment((MEMORY, THREADS, REST_CPU), play_connections, (100, 200, 400, 800), (20, 40)),
        Experiment(
            (RELOAD_CPU, REDIRECT_CPU, REDIRECT_BYTES),
            play_requests,
            (2_000, 4_000, 8_000, 16_000),
            (200, 400),
        ),
        Experiment((SETUP_CPU,), play_setups, (100, 200, 400, 800), (20, 40)),
    ),
    rows,
)  # fmt: skip

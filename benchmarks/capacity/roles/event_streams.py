"""Event streams of hosts in one gateway: a thread and a connection a host, the shipped `HostClient`.

The hosts are hollow: one process answers for all of them and sends each stream a note of load as often as a
real host does.
"""

from __future__ import annotations

import os
import selectors
import socket
import time
from collections.abc import Callable
from typing import Any, cast

from otterglade.core import messages as d
from otterglade.core.policy import Controller
from otterglade.core.session_manager import SessionManager
from otterglade.gateway.fleet import RegistryClock, decode_host_list, server_list
from otterglade.gateway.hosts import HostClient
from otterglade.gateway.loop import Loop
from otterglade.obs.logs import logger
from otterglade.wire import http1, sse

from ...common import SPAWN, many_files, process_figures
from .. import sites
from ..model import CONTROL_LIMITS, Charge, Experiment, Metric, Reading, Resource, Role, Row
from ..size import KB, MB, Size
from .host_list import TERMS

NAME = "event_streams"
MECHANISM = "`gateway/hosts.py`: a thread and a connection a host"
NOTE_INTERVAL = 2.0
"""Seconds between two notes of a host: the default of `reports.note_interval`."""
KEEP_ALIVE_INTERVAL = 1.0
"""Seconds between two signs of life, at most, by the host protocol."""
MEASURED = 4.0
STARTED_WITHIN = 30.0


def metric(name: str, what: str, unit: str) -> Metric:
    return Metric(NAME, name, what, unit, "hosts")


MEMORY = metric("memory", "memory of the streams", "B")
THREADS = metric("threads", "threads of the streams", "threads")
CPU = metric("cpu", "CPU with a note of each host every 2 s", "% of a core")
BYTES = metric("bytes", "bytes received", "B/s")


def serve_hosts(ready: Any) -> None:
    """Answer for all hosts until killed."""
    many_files()
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    ready.put(listener.getsockname()[1])
    selector = selectors.DefaultSelector()
    selector.register(listener, selectors.EVENT_READ)
    head = http1.stream_head(200, [(b"Content-Type", b"text/event-stream"), (b"Host-Epoch", b"e")])
    note = http1.chunk(sse.event("load", '{"streams":412.0,"x0":0.52,"x1":0.47}', 17))
    alive = http1.chunk(sse.KEEP_ALIVE)
    streams: list[socket.socket] = []
    turns, next_at = 0, time.monotonic()
    while True:
        for key, _ in selector.select(max(0.0, next_at - time.monotonic())):
            if key.fileobj is listener:
                selector.register(listener.accept()[0], selectors.EVENT_READ)
                continue
            stream = cast(socket.socket, key.fileobj)
            selector.unregister(stream)
            if stream.recv(65536):
                stream.sendall(head)
                streams.append(stream)
        if time.monotonic() >= next_at:
            next_at += KEEP_ALIVE_INTERVAL
            turns += 1
            noted = turns % round(NOTE_INTERVAL / KEEP_ALIVE_INTERVAL) == 0
            for stream in streams:
                stream.sendall(note if noted else alive)


class InlineLoop:
    """In place of the decision loop: runs each input at once, on the thread that hands it in."""

    def __init__(self, manager: SessionManager) -> None:
        self.session_manager = manager

    def put(self, act: Callable[[SessionManager, float], list[d.Order]]) -> None:
        act(self.session_manager, time.monotonic())


def play(hosts: int) -> tuple[Reading, ...]:
    many_files()
    ready = SPAWN.Queue()
    server = SPAWN.Process(target=serve_hosts, args=(ready,))
    server.start()
    try:
        address = f"127.0.0.1:{ready.get(timeout=STARTED_WITHIN)}"
        return _followed(hosts, address)
    finally:
        server.kill()
        server.join()


def _followed(hosts: int, address: str) -> tuple[Reading, ...]:
    settings = sites.settings(hosts)
    manager = SessionManager(settings, Controller(settings, 1), TERMS, {"title": d.TitleLocation(0, 3)})
    listed = decode_host_list(sites.encoded(sites.host_entries(hosts, address)))
    manager.start(time.monotonic())
    manager.update_servers(time.monotonic(), server_list(listed, RegistryClock.now()))
    failures: list[tuple[str, BaseException]] = []
    client = HostClient(
        gateway="gateway-0", epoch="0badcafe", classes=("film",),
        loop=lambda: cast(Loop, InlineLoop(manager)), connect=5.0, silence=10.0, setups=16,
        log=logger("error"), on_failure=lambda name, error: failures.append((name, error)), seed=1,
    )  # fmt: skip
    before = process_figures(os.getpid())
    client.update(listed.hosts)
    deadline = time.monotonic() + STARTED_WITHIN
    while len(client.epochs) < hosts and time.monotonic() < deadline:
        time.sleep(0.05)
    assert len(client.epochs) == hosts, f"{len(client.epochs)} of {hosts} streams came up"
    time.sleep(NOTE_INTERVAL)
    after = process_figures(os.getpid())
    began, spent = time.monotonic(), time.process_time()
    time.sleep(MEASURED)
    cpu = (time.process_time() - spent) / (time.monotonic() - began)
    assert not failures, failures
    notes = len(http1.chunk(sse.event("load", '{"streams":412.0,"x0":0.52,"x1":0.47}', 17))) / NOTE_INTERVAL
    idle = len(http1.chunk(sse.KEEP_ALIVE)) * (1 / KEEP_ALIVE_INTERVAL - 1 / NOTE_INTERVAL)
    return (
        Reading(MEMORY, hosts, 1024.0 * (after["rss_kib"] - before["rss_kib"])),
        Reading(THREADS, hosts, after["threads"] - before["threads"]),
        Reading(CPU, hosts, 100.0 * cpu),
        Reading(BYTES, hosts, hosts * (notes + idle)),
    )


def rows(size: Size) -> tuple[Row, ...]:
    hosts = float(size.media_hosts)
    return (
        Row(Resource.STATE, "threads and connections", THREADS, hosts, 1.0, "-", "threads", MECHANISM),
        Row(Resource.MEMORY, "streams", MEMORY, hosts, 1 / MB, "B to MB", "MB", MECHANISM,
            CONTROL_LIMITS[Resource.MEMORY], charged=Charge.CONTROL),
        Row(Resource.MESSAGES, "notes and signs of life", BYTES, hosts, 1 / KB, "B to KB", "KB/s", MECHANISM,
            CONTROL_LIMITS[Resource.MESSAGES], charged=Charge.CONTROL),
        Row(Resource.CPU, "notes and signs of life", CPU, hosts, 1.0, "-", "% of a core", MECHANISM,
            CONTROL_LIMITS[Resource.CPU], charged=Charge.CONTROL),
    )  # fmt: skip


ROLE = Role(
    NAME, "Gateway, control: event streams of hosts",
    (Experiment((MEMORY, THREADS, CPU, BYTES), play, (50, 100, 200, 400), (10, 20)),),
    rows,
)  # fmt: skip

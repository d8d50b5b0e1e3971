"""Stand-ins for the second review: name service, media hosts, viewers and the start of gateways.

All of it follows the platform's page PROTOCOL.md and uses the standard library alone. One asyncio loop plays
every outside party; the gateways are processes of their own, started with `run` of deploy/balancer.toml.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
SLACK = 0.05
"""Seconds by which every time limit is longer on sockets (PROTOCOL.md, 'The rules on sockets')."""
TITLE = b"7f3a9c21e0b4d655"
OFFER = b"9d41c07a5be2f318\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"


class CannotRunError(Exception):
    """The case could not be played; the text says why."""


# Messages


@dataclass
class Message:
    """One RTSP message; field names are in lower case, `status` is 0 for a request."""

    method: str
    target: str
    status: int
    fields: dict[str, str]
    body: bytes

    @property
    def session(self) -> str:
        """The session id, or an empty text."""
        return self.fields.get("session", "")

    @property
    def cseq(self) -> str:
        """The sequence number, or an empty text."""
        return self.fields.get("cseq", "")


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """The next message of a connection; None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, sep, value = line.partition(":")
            if sep:
                fields[name.lower()] = value.strip()
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first = lines[0].split(" ")
    if first[0].startswith("RTSP/"):
        return Message("", "", int(first[1]), fields, body)
    return Message(first[0], first[1], 0, fields, body)


def encode(first: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """A message as bytes."""
    lines = [first, *(f"{name}: {value}" for name, value in fields.items()), f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def answer_to(message: Message, status: int, body: bytes = b"", **more: str) -> bytes:
    """The answer to a request."""
    fields = {"CSeq": message.cseq or "0", "Session": message.session, **more}
    return encode(f"RTSP/1.0 {status} -", fields, body)


def teardown(session: str, cause: int | None = None) -> bytes:
    """A TEARDOWN; without a cause it takes a pending set-up back."""
    fields = {"CSeq": "2", "Session": session}
    if cause is not None:
        fields["Reason"] = f"cause={cause}"
    return encode("TEARDOWN rtsp://media/exchange RTSP/1.0", fields)


def set_up(
    session: str, tier: str, deadline: float, hint: float = 8.2, title: bytes = TITLE, copies: int = 3,
    more: str = "",
) -> bytes:  # fmt: skip
    """A viewer's set-up; `deadline` and `hint` in seconds, `more`: further attributes."""
    fields = {
        "CSeq": "1",
        "Session": session,
        "X-Tier": tier,
        "X-Deadline": f"{deadline * 1000:.0f}",
        "Expected-Ms": f"{hint * 1000:.1f}",
        "X-Attrs": f"home:0;copies:{copies};top:2;viewer:{os.urandom(8).hex()}{more}",
    }
    return encode(f"SETUP rtsp://media/{title.decode()} RTSP/1.0", fields, OFFER)


# Record


class Record:
    """`record.txt` of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.started = time.time()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.time() - self.started:8.3f} {text}\n")

    def close(self) -> None:
        """Write all of it to the file."""
        self._file.close()


# Name service


class NameService(asyncio.DatagramProtocol):
    """Answers each query with the whole list as it is when the answer is sent."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.serial = 1
        self.hosts: dict[str, Host] = {}
        self.delay = 0.0
        """Seconds from a query to its answer."""
        self.silent = False
        self.told: dict[int, float] = {}
        """When the first answer with this serial, or a later one, was sent (Unix seconds)."""
        self.address = ("127.0.0.1", 0)
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self._transport = transport
        self.address = transport.get_extra_info("sockname")[:2]

    def publish(self, text: str) -> int:
        """An event of the list has happened; returns its number."""
        self.serial += 1
        self.record(f"list: event {self.serial}: {text}")
        return self.serial

    def datagram_received(self, data: bytes, peer: tuple[str, int]) -> None:
        """Answer a query, later if the service is slow."""
        if self.delay > 0:
            asyncio.get_running_loop().call_later(self.delay, self._answer, data, peer)
        else:
            self._answer(data, peer)

    def _answer(self, query: bytes, peer: tuple[str, int]) -> None:
        if self.silent or self._transport is None:
            return
        self._transport.sendto(self._encode(query), peer)
        now = time.time()
        for serial in range(self.serial, 1, -1):
            if serial in self.told:
                break
            self.told[serial] = now

    def _encode(self, query: bytes) -> bytes:
        listed = [x for x in self.hosts.values() if x.state != "left"]
        out = bytearray(query[:2] + struct.pack("!HHHHH", 0x8400, 1, len(listed), 1, 2 * len(listed)))
        out += query[12:]
        owners = []
        for host in listed:
            out += struct.pack("!HHHIH", 0xC00C, 33, 1, 0, 0)
            size_at = len(out) - 2
            priority = 1 if host.state == "leaving" else 0
            out += struct.pack("!HHH", priority, int(10 * host.weight), host.address[1])
            owners.append(0xC000 | len(out))
            out += b"".join(bytes((len(x),)) + x.encode() for x in (host.name, host.zone, "hosts")) + b"\0"
            out[size_at : size_at + 2] = struct.pack("!H", len(out) - size_at - 2)
        names = b"\2ns\5local\0\4root\5local\0" + struct.pack("!IIIII", self.serial, 1, 1, 1, 1)
        out += struct.pack("!HHHIH", 0xC00C, 6, 1, 0, len(names)) + names
        for owner, host in zip(owners, listed, strict=True):
            out += struct.pack("!HHHIH", owner, 1, 1, 0, 4) + socket.inet_aton(host.address[0])
            texts = [b"kind=std", b"cell=%d" % host.cell, b"started=%d" % host.started_ms]
            data = b"".join(bytes((len(x),)) + x for x in texts)
            out += struct.pack("!HHHIH", owner, 16, 1, 0, len(data)) + data
        return bytes(out)

    def known(self) -> dict[str, object]:
        """The events of the start, as in the configuration."""
        instances = [
            {
                "instanceId": x.name,
                "hostPort": f"{x.address[0]}:{x.address[1]}",
                "zone": x.zone,
                "machineType": "std",
                "cell": x.cell,
                "lifecycle": x.state,
                "weight": x.weight,
                "startedAtMs": x.started_ms,
            }
            for x in self.hosts.values()
            if x.state != "left"
        ]
        topology = {"generation": 1, "reset": True, "instances": instances}
        return {"offset": self.serial, "batch": [{"offset": self.serial, "topology": topology}]}

    def close(self) -> None:
        """Stop answering."""
        if self._transport is not None:
            self._transport.close()


# Media hosts


@dataclass
class Arrival:
    """A set-up that has arrived whole at a media host."""

    session: str
    host: str
    at: float


class Host:
    """A media host: accepts set-ups after `work` seconds and ends each session after `length` seconds."""

    def __init__(
        self,
        record: Record,
        name: str,
        cell: int,
        work: float = 0.02,
        length: float = 8.0,
        weight: float = 1.0,
    ) -> None:
        self.record, self.name, self.cell, self.work, self.length = record, name, cell, work, length
        self.weight, self.zone, self.state, self.started_ms = weight, "east", "active", 0
        self.address = ("127.0.0.1", 0)
        self.arrivals: list[Arrival] = []
        self.hears = True
        """Whether it sends the free answer to a TEARDOWN ('release heard')."""
        self._runs = asyncio.Event()
        self._runs.set()
        self.playing: dict[str, Link] = {}
        """Sessions that stand here, and the connections of their set-ups."""
        self.released: dict[str, float] = {}
        """Sessions that the gateway has released, and when."""
        self.on_setup: Callable[[Link, Message], Awaitable[bool]] | None = None
        """Called for each set-up; returns whether it was dealt with."""
        self.on_end: Callable[[str], object] = lambda session: None
        """Called for each session that has come to its end here."""
        self.links: list[Link] = []
        self._owed: dict[str, int] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen: on a free port at first, later on the same one."""
        self._server = await asyncio.start_server(self._serve, *self.address, backlog=512)
        self.address = self._server.sockets[0].getsockname()[:2]

    def spawn(self, work: Awaitable[None]) -> None:
        """Run something beside the rest, until the host ends."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = Link(self, writer)
        self.links.append(link)
        await self._runs.wait()
        for session, cause in self._owed.items():
            link.send(teardown(session, cause))
        self._owed.clear()
        while (message := await read_message(reader)) is not None:
            await self._runs.wait()
            if not link.forgotten:
                await self._handle(link, message)
        link.closed = True
        if link in self.links:
            self.links.remove(link)
        for session in list(link.pending):
            link.pending.pop(session).cancel()
        with contextlib.suppress(OSError):
            writer.close()

    async def _handle(self, link: Link, message: Message) -> None:
        if message.method == "SETUP":
            self.arrivals.append(Arrival(message.session, self.name, time.time()))
            self.record(f"{self.name}: set-up {message.session} {message.fields.get('x-tier')} arrived")
            if self.on_setup is not None and await self.on_setup(link, message):
                return
            link.pending[message.session] = asyncio.ensure_future(self.accept(link, message))
        elif message.method == "TEARDOWN":
            pending = link.pending.pop(message.session, None)
            if pending is not None:
                pending.cancel()
            for other in self.links:
                other.pending.pop(message.session, None)
            if self.hears:
                link.send(answer_to(message, 200))
            if pending is not None:
                self.record(f"{self.name}: {message.session} given up by the gateway")
            self._release(link, message.session)
        elif message.method == "REDIRECT":
            self._release(link, message.session)
        elif message.method == "OPTIONS":
            use = f"{min(1.0, len(self.playing) / 300.0):.3f}"
            link.send(answer_to(message, 200, **{"X-Gauges": f"x0:{use};x1:{use}"}))

    def _release(self, link: Link, session: str) -> None:
        """The gateway has released a session: it is over, and its release has cause 31."""
        if self.playing.pop(session, None) is not None:
            self.released[session] = time.time()
            self.record(f"{self.name}: {session} released by the gateway")
            link.send(teardown(session, 31))
            self._owed[session] = 31

    async def refuse_connections(self) -> None:
        """Take no further connection; those that are open go on. `open` takes them again."""
        self.record(f"{self.name}: refuses further connections")
        if self._server is not None:
            self._server.close()
            self._server = None

    def hang(self) -> None:
        """The process stands still: nothing is read or sent, and its kernel goes on."""
        self.record(f"{self.name}: stands still with {len(self.playing)} sessions")
        self._runs.clear()

    def resume(self) -> None:
        """It goes on with all that came meanwhile."""
        self.record(f"{self.name}: goes on")
        self._runs.set()

    def forget_connections(self) -> None:
        """Forget the connections that are idle: they stay open, and nothing passes on them any more."""
        idle = [x for x in self.links if not x.pending]
        self.record(f"{self.name}: forgets {len(idle)} idle connections")
        for link in idle:
            link.forgotten = True

    async def accept(self, link: Link, message: Message) -> None:
        """Accept a set-up: the session stands."""
        await asyncio.sleep(self.work)
        await self._runs.wait()
        link.pending.pop(message.session, None)
        self.play(message.session, link)
        link.send(answer_to(message, 200, description(self.name, message.session)))

    def play(self, session: str, link: Link | None, length: float | None = None) -> None:
        """A session stands here, for the usual length."""
        if link is not None:
            self.playing[session] = link
        else:
            self.playing[session] = Link(self, None)
        self.record(f"{self.name}: {session} stands")
        self.spawn(self._end_later(session, self.length if length is None else length))

    async def _end_later(self, session: str, length: float) -> None:
        await asyncio.sleep(length)
        await self._runs.wait()
        if session in self.playing:
            self.end(session, 16)

    def end(self, session: str, cause: int) -> None:
        """A session is over: tell it on its connection, or on any open one, and on the next one."""
        link = self.playing.pop(session)
        self.on_end(session)
        self.record(f"{self.name}: {session} is over, cause {cause}")
        if link.closed:
            link = next((x for x in self.links if not x.closed), link)
        link.send(teardown(session, cause))
        self._owed[session] = cause

    async def crash(self) -> None:
        """The process dies: its connections are reset and its sessions are cut."""
        self.record(f"{self.name}: crashes with {len(self.playing)} sessions")
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in list(self._tasks):
            task.cancel()
        for link in list(self.links):
            link.reset()
        self.links.clear()
        self.playing.clear()
        self._owed.clear()

    async def close(self) -> None:
        """End it after a run."""
        for task in list(self._tasks):
            task.cancel()
        if self._server is not None:
            self._server.close()
        for link in list(self.links):
            link.reset()


class Link:
    """One connection of a media host."""

    def __init__(self, host: Host, writer: asyncio.StreamWriter | None) -> None:
        self.host, self.writer, self.closed, self.forgotten = host, writer, writer is None, False
        self.pending: dict[str, asyncio.Future[None]] = {}

    def send(self, data: bytes) -> None:
        """Send, unless the connection has ended or is of no further use."""
        if self.writer is None or self.closed or self.forgotten:
            return
        if not self.writer.is_closing():
            self.writer.write(data)

    def reset(self) -> None:
        """Reset the connection."""
        self.closed = True
        for future in self.pending.values():
            future.cancel()
        if self.writer is not None:
            sock = self.writer.get_extra_info("socket")
            if sock is not None:
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.writer.transport.abort()


def description(host: str, session: str) -> bytes:
    """The description that a media host gives for a session; it names both."""
    tail = "".join(re.findall("[0-9a-f]", host.encode().hex()))[-6:].rjust(6, "0")
    return f"{session[:10]}{tail}\r\nc=IN IP4 127.0.0.1\r\nm=audio 33319 RTP/AVP 0 8 99\r\n".encode()


# Viewers


@dataclass
class Request:
    """One set-up of a viewer, and what came of it (Unix seconds)."""

    session: str
    tier: str
    sent_at: float
    deadline: float
    answers: list[tuple[float, int]] = field(default_factory=list)
    releases: list[tuple[float, int]] = field(default_factory=list)
    gave_up: bool = False
    connection_lost_at: float | None = None
    done: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def status(self) -> int:
        """The status of the first final answer; 0: none came."""
        return self.answers[0][1] if self.answers else 0


class Front:
    """One connection of the viewers to a gateway."""

    def __init__(self, record: Record, name: str, requests: dict[str, Request]) -> None:
        self.record, self.name, self.requests = record, name, requests
        self.mine: set[str] = set()
        self.tests: dict[str, asyncio.Future[int]] = {}
        self.closed = False
        self.opened_at = self.closed_at = float("inf")
        self.writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None

    async def open(self, address: tuple[str, int]) -> None:
        """Connect to a gateway."""
        reader, self.writer = await asyncio.open_connection(*address)
        self.opened_at = time.time()
        self._task = asyncio.create_task(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        while (message := await read_message(reader)) is not None:
            self._handle(message)
        self.closed, self.closed_at = True, time.time()
        self.record(f"{self.name}: closed by the gateway")
        for session in self.mine:
            request = self.requests[session]
            if not request.answers:
                request.connection_lost_at = time.time()
                request.done.set()

    def _handle(self, message: Message) -> None:
        now = time.time()
        if message.status and message.session in self.tests:
            self.tests.pop(message.session).set_result(message.status)
            return
        request = self.requests.get(message.session)
        if request is None:
            return
        if message.status >= 200 and message.cseq == "1":
            request.answers.append((now, message.status))
            self.record(f"viewer: {request.session} answered {message.status}")
            request.done.set()
        elif message.method == "TEARDOWN":
            cause = int(message.fields.get("reason", "cause=0").rpartition("=")[2])
            request.releases.append((now, cause))
            self.record(f"viewer: {request.session} released, cause {cause}")
            self.send(answer_to(message, 200))

    def send(self, data: bytes) -> None:
        """Send bytes to the gateway."""
        if self.writer is not None and not self.closed:
            self.writer.write(data)

    def ask(self, tier: str, deadline: float, **more: object) -> Request:
        """Send a new set-up."""
        session = os.urandom(8).hex()
        request = Request(session, tier, time.time(), deadline)
        self.requests[session] = request
        self.mine.add(session)
        self.record(f"viewer: {session} {tier} asks on {self.name}, deadline {deadline:.3f}")
        self.send(set_up(session, tier, deadline, **more))  # type: ignore[arg-type]
        return request

    def hand_over(self, session: str, tier: str, host: str, **more: object) -> Request:
        """Hand over a session that plays at a media host."""
        request = Request(session, tier, time.time(), 3.0)
        self.requests[session] = request
        self.record(f"viewer: {session} {tier} handed over on {self.name}, at {host}")
        self.send(set_up(session, tier, 3.0, more=f";at:{host}", **more))  # type: ignore[arg-type]
        return request

    def leave(self, request: Request) -> None:
        """Give a set-up up, or end a session."""
        request.gave_up = True
        self.record(f"viewer: {request.session} leaves, on {self.name}")
        self.send(teardown(request.session))

    async def test(self) -> int:
        """Send a test; returns its status."""
        session = os.urandom(8).hex()
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.tests[session] = future
        fields = {"CSeq": "3", "Session": session}
        self.send(encode("OPTIONS rtsp://media/ping RTSP/1.0", fields))
        return await asyncio.wait_for(future, 10.0)

    def close(self) -> None:
        """Close the connection."""
        if self._task is not None:
            self._task.cancel()
        if self.writer is not None:
            self.writer.close()


# Gateways


def settings(**changes: object) -> dict[str, object]:
    """Settings of a small deployment, with a class that may be repeated and a paid one.

    `changes`: values by path, with two underscores between the names.
    """
    base: dict[str, object] = {
        "bounds": {"cancelling": True, "connect_timeout": 250.0, "idle_close": 15000.0, "max_attempts": 3,
                   "max_retry_after": 1000.0, "probes": True, "retry_after": True, "second_copies": False},
        "classes": [
            {"name": "timelapse", "goal_time": 1500.0, "hard_limit": 5000.0, "idempotency": "idempotent",
             "points": 1.0, "stream": True},
            {"name": "sign-off", "goal_time": 1000.0, "hard_limit": 3000.0, "idempotency": "at_most_once",
             "points": 2.0, "stream": True},
        ],
        "contract": {"cold": 12000.0, "counted_over": 5000.0, "extra_ratio": 0.2, "fall": 3000.0,
                     "free_resends": 3.0, "overload_factor": 3.0, "start_capacity": 0.4,
                     "stop_sending_within": 250.0, "grace_to_answer": 500.0},
        "discovery": "push", "family": "streams",
        "family_info": {"cells": 3, "class_live": [False, False], "class_scale": [1.0, 1.2],
                        "kind_slots": [300], "ladder_kb": [200.0, 350.0, 580.0],
                        "ladder_worth": [0.2, 0.6, 1.0], "lowest_rung": [0, 1], "links_kb": 2400000.0,
                        "rack_link_kb": 0.0, "refuses_from": 1.0, "reports_every": 0.0, "seats": [0, 0],
                        "see": 430.0, "shared_adds": 1.0, "shelves": 1, "stall": 7.0, "switch_cost_s": 0.4,
                        "top_by_class": [2, 2], "weight_kb": 200000.0},
        "layers": ["video-fleet"], "localities": ["east"], "me": 0, "n_instances": 1,
        "over_share_worth": 1.0, "report": {"how": "pull", "names": ["x0", "x1"]}, "shapes": ["std"],
        "tariffs": {"moves": 0.2, "probe": 0.01, "late_fail": 0.05}, "tenants": [], "weights": "rough",
        "zone": 0,
    }  # fmt: skip
    for path, value in changes.items():
        at = base
        *above, last = path.split("__")
        for name in above:
            at = at[name]  # type: ignore[assignment]
        at[last] = value
    return base


class Gateway:
    """One gateway: the program of the deploy file, with the environment that DEPLOY.md describes."""

    def __init__(self, stage: Stage, name: str, given: dict[str, object], sockets: int = 1024) -> None:
        self.stage, self.name, self.given, self.sockets = stage, name, given, sockets
        self.folder = stage.folder / name
        self.folder.mkdir()
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address: tuple[str, int] = free.getsockname()
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> Front:
        """Start it and wait until it has passed a test; returns the connection of the test."""
        names = self.stage.names
        config = {
            "name": self.name,
            "listen": f"{self.address[0]}:{self.address[1]}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "resolver": f"{names.address[0]}:{names.address[1]}",
            "known": names.known(),
            "settings": self.given,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        scratch = self.folder / f"tmp-{time.time():.6f}"
        scratch.mkdir()
        environment = {
            **os.environ,
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": config["listen"],
            "BALANCER_CONFIG": str(path),
            "TMPDIR": str(scratch),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=environment, stdout=log, stderr=log
            )  # fmt: skip
        self.stage.record(f"{self.name}: started")
        until = time.time() + 30.0
        while True:
            front = self.stage.front(f"{self.name}/test")
            try:
                await front.open(self.address)
                break
            except OSError:
                if time.time() > until or self.process.returncode is not None:
                    raise CannotRunError(f"{self.name} does not start: {self.log()}") from None
                await asyncio.sleep(0.02)
        if await front.test() != 200:
            raise CannotRunError(f"{self.name} did not pass its test")
        self.stage.record(f"{self.name}: ready")
        return front

    async def connect(self, count: int) -> list[Front]:
        """Open connections of viewers to it."""
        fronts = [self.stage.front(f"{self.name}/{n}") for n in range(count)]
        for front in fronts:
            await front.open(self.address)
        return fronts

    def signal(self, number: int) -> None:
        """Send a signal to the program."""
        if self.process is not None and self.process.returncode is None:
            self.stage.record(f"{self.name}: gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    def log(self) -> str:
        """What it wrote."""
        return (self.folder / "log").read_text(errors="replace")

    def crashed(self) -> bool:
        """Whether it has ended."""
        return self.process is not None and self.process.returncode is not None

    async def end(self) -> None:
        """Kill the program."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


class Stage:
    """Everything that one run of a case needs."""

    def __init__(self, case: Path) -> None:
        self.record = Record(case)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.names = NameService(self.record)
        self.requests: dict[str, Request] = {}
        self.gateways: list[Gateway] = []
        self._fronts: list[Front] = []

    async def host(self, name: str, cell: int, listed: bool = True, **more: float) -> Host:
        """Start a media host; `listed`: as part of the list of the start, or of its next event."""
        host = Host(self.record, name, cell, **more)
        await host.open()
        if listed:
            self.names.hosts[name] = host
        return host

    def gateway(self, name: str, given: dict[str, object], **more: int) -> Gateway:
        """A gateway that is not started yet."""
        gateway = Gateway(self, name, given, **more)
        self.gateways.append(gateway)
        return gateway

    def front(self, name: str) -> Front:
        """A connection of viewers that is not open yet."""
        front = Front(self.record, name, self.requests)
        self._fronts.append(front)
        return front

    async def close(self) -> None:
        """End every process and party of the run."""
        for gateway in self.gateways:
            await gateway.end()
            self.record(f"log of {gateway.name}:\n{gateway.log()}")
        for front in self._fronts:
            front.close()
        for host in self.names.hosts.values():
            await host.close()
        self.names.close()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(case: str, play: Callable[[Stage], Awaitable[int]], limit: float = 110.0) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

    async def main() -> int:
        stage = Stage(Path(case).resolve().parent)
        await stage.names.open()
        try:
            return await asyncio.wait_for(play(stage), limit)
        except (CannotRunError, TimeoutError) as error:
            stage.record(f"can't run: {error!r}")
            print(f"can't run: {error!r}", file=sys.stderr)
            return NOT_RUN
        finally:
            await stage.close()

    if not (ROOT / ".venv/bin/python").exists():
        print("can't run: the build of the deploy file is missing", file=sys.stderr)
        sys.exit(NOT_RUN)
    code = NOT_RUN
    try:
        code = asyncio.run(main())
    except Exception as error:  # a fault of the script is no finding
        print(f"can't run: {error!r}", file=sys.stderr)
    print({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "could not run"}[code])
    sys.exit(code)

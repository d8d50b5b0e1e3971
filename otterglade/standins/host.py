"""A media host after `docs/host-protocol.md`, with the troubles that real ones have, on command.

Its link, and its rack's uplink, give what they have: where more is asked, every session gets the same share
of its rate. A host that has just started takes set-ups at a pace that climbs; sent too many, it falls and
stays down. Every set-up and release is noted in its ledger, the record file.
"""

from __future__ import annotations

import mmap
import os
import random
import struct
import threading
import time
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from ..net.http import Exchange, Timeouts, serve
from ..net.listener import Address, Listener, bind_socket
from ..net.stream import Stream
from ..net.threads import Failure, spawn
from ..wire import http1, orca, sse
from . import titles as t
from .record import Heart, Record

FULL = http1.response(503, body=b"too many connections\n", keep_alive=False)
RUNS_NOT = (b"Setup-Ran", b"no")
NOTES = 2000  # events kept for gateways that reconnect
TIMED = frozenset({"hang", "answer_lost", "slow", "late", "refuse", "half", "garbage", "endless"})
"""Faults that last for a time; the others are `crash` and `drain`."""
RACK_SLOTS = 64  # hosts that a rack's file has room for


class HostSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A host as the stage sets it up; rates in kB a second, times in seconds."""

    id: int
    name: str
    ladder: tuple[float, ...]
    scales: dict[str, float]
    """For each class: its rates over the ladder's."""
    titles: tuple[t.TitleSpec, ...]
    cells: int
    cell: int
    link: float
    slots: int
    rack_file: str = ""
    """Where the hosts of a rack tell each other what is asked of them; empty: the rack has no uplink."""
    rack_place: int = 0
    uplink: float = 0.0
    refuses_from: float = 0.0
    cold: float = 0.0
    start_capacity: float = 1.0
    overload_factor: float = 3.0
    fall: float = 3.0
    started_cold: bool = False
    segment: float = 1.0
    """Seconds of a segment."""
    setup_time: float = 0.005
    idle: float = 8.0
    """Seconds without a fetch after which a session is over."""
    report_every: float = 0.3
    """Seconds for which a load reading is the same."""
    note_delay: float = 0.1
    note_interval: float = 1.0
    """Seconds between notes of load; 0: none."""
    reports: tuple[str, ...] = ("streams", "x0", "x1")
    by_probe: bool = False
    port: int = 0
    record: str = ""
    seed: int = 0


class Fault(msgspec.Struct, frozen=True):
    """A command of the stage."""

    kind: str
    seconds: float = 0.0
    value: float = 0.0


class SetupBody(msgspec.Struct, frozen=True):
    viewer: str
    session_class: str = msgspec.field(name="class")
    title: str
    rung: int
    paid: bool
    gateway: str


class ClaimBody(msgspec.Struct, frozen=True):
    """A claim by the host protocol: what another claimant is told of it."""

    viewer: str
    session_class: str = msgspec.field(name="class")
    title: str
    setup: str
    server: int
    epoch: str = ""
    rung: int = 0
    top: int = 0
    seen: bool = False
    replaces: tuple[str, ...] = ()


CLAIMS_FOR = 600.0
"""Seconds for which a claim is kept."""
MOST_CLAIMS = 100_000


class RungBody(msgspec.Struct, frozen=True):
    rung: int
    order: int


@dataclass(slots=True)
class Playing:
    setup: str
    body: SetupBody
    owner: str
    """The gateway's name: who is told of it."""
    run: str
    """The gateway's run that has it, NAME.EPOCH: a release by another one is too late."""
    """The gateway in whose stream it is told."""
    rung: int
    order: int = 0
    seen: float = 0.0


@dataclass(slots=True)
class Feed:
    """What a gateway is told, with numbers to resume from."""

    events: deque[tuple[int, float, bytes]] = field(default_factory=lambda: deque(maxlen=NOTES))
    last: int = 0
    was_short: bool = False


class Rack:
    """What is asked of each host of a rack, in a file that all of them map."""

    def __init__(self, path: str, place: int) -> None:
        size = RACK_SLOTS * 16
        if not os.path.exists(path) or os.path.getsize(path) < size:
            with open(path, "ab") as file:
                file.truncate(size)
        with open(path, "r+b") as file:
            self._map = mmap.mmap(file.fileno(), size)
        self._place = place * 16

    def tell(self, asked: float) -> None:
        struct.pack_into("<dd", self._map, self._place, asked, time.monotonic())

    def asked(self) -> float:
        """By all hosts that have told within three seconds: a dead one asks nothing."""
        now = time.monotonic()
        pairs = struct.iter_unpack("<dd", self._map[:])
        return float(sum(asked for asked, at in pairs if now - at < 3.0))


class MediaHost:
    """One host. `start` returns once it listens."""

    def __init__(self, spec: HostSpec, on_failure: Failure) -> None:
        self.spec = spec
        self.record = Record(Path(spec.record) if spec.record else None)
        self._on_failure = on_failure
        self._heart = Heart(time.monotonic())
        self._random = random.Random(spec.seed)
        self._epoch = f"{os.getpid()}-{time.monotonic_ns()}"
        self._began = time.monotonic()
        self._lock = threading.Condition()
        self._sessions: dict[str, Playing] = {}
        self._released: deque[str] = deque(maxlen=10_000)
        self._ran: deque[str] = deque(maxlen=10_000)
        self._feeds: dict[str, Feed] = {}
        self._claims: dict[tuple[str, str, str], tuple[float, ClaimBody]] = {}
        self._arrivals: deque[float] = deque()
        self._titles = {x.name: x for x in spec.titles if (spec.cell - x.home) % spec.cells < x.holders}
        self._rack = Rack(spec.rack_file, spec.rack_place) if spec.rack_file else None
        self._until: dict[str, tuple[float, float]] = {}
        self._draining = self._fallen = False
        self._reading: tuple[float, dict[str, float]] = (-1.0, {})
        self.listener = Listener(
            bind_socket(("127.0.0.1", spec.port)), self._serve, budget=4096, busy_response=FULL,
            on_failure=on_failure, name=f"host-{spec.id}",
        )  # fmt: skip

    def start(self) -> None:
        # First of all that it notes: the referee parts one process of a host from the next by it.
        self.record.write("up", host=self.spec.id, cold=self.spec.started_cold, port=self.listener.address[1])
        self.listener.start()
        spawn("clock", self._clock, self._on_failure)
        spawn("heart", self._heart.run, self._on_failure)

    def _serve(self, stream: Stream, peer: Address, first: bytes) -> None:
        serve(stream, peer, self._handle, Timeouts(), first=first)

    # Faults

    def _fault(self, kind: str) -> float | None:
        """The value of a fault that is in force."""
        until, value = self._until.get(kind, (0.0, 0.0))
        return value if time.monotonic() < until else None

    def _control(self, exchange: Exchange) -> bytes:
        fault = msgspec.json.decode(exchange.body, type=Fault)
        self.record.write(
            "fault", host=self.spec.id, kind=fault.kind, seconds=fault.seconds, value=fault.value
        )
        if fault.kind == "crash":
            os._exit(9)
        if fault.kind == "drain":
            with self._lock:
                self._draining = True
        elif fault.kind in TIMED:
            self._until[fault.kind] = (time.monotonic() + fault.seconds, fault.value)
        else:
            return exchange.reply(400, body=f"kind: found {fault.kind!r}\n".encode())
        return exchange.reply(204)

    def _hang(self) -> None:
        while self._fault("hang") is not None or self._fallen:
            time.sleep(0.02)

    # Requests

    def _handle(self, exchange: Exchange) -> bytes | None:
        path, _, query = exchange.request.target.decode("ascii").partition("?")
        parts = path.strip("/").split("/")
        method = exchange.request.method
        if path == "/control" and method == b"POST":
            return self._control(exchange)
        came = time.monotonic()
        self._hang()
        if parts[0] == "sessions" and len(parts) == 2 and method == b"PUT":
            return self._set_up(exchange, parts[1], came)
        if parts[0] == "sessions" and len(parts) == 2 and method == b"GET":
            return self._fate(exchange, parts[1])
        if parts[0] == "sessions" and len(parts) == 2 and method == b"DELETE":
            return self._release(exchange, parts[1])
        if parts[0] == "sessions" and len(parts) == 3 and method == b"PUT":
            return self._set_rung(exchange, parts[1])
        if path == "/claims" and method in (b"PUT", b"DELETE"):
            return self._claim(exchange)
        if path == "/load":
            return exchange.reply(204, [(orca.HEADER, orca.write(self._load()))])
        if path == "/events":
            self._events(exchange, query.partition("gateway=")[2])
            return None
        if parts[0] == "titles" and len(parts) in (3, 4):
            return self._media(exchange, parts[1:], query.partition("setup=")[2])
        return exchange.reply(404, body=b"unknown path\n")

    def _refuse(self, exchange: Exchange, setup: str, body: SetupBody, cause: str) -> bytes:
        self._ledger("setup", setup, body, ran=False, cause=cause)
        return exchange.reply(503, [RUNS_NOT, *self._report()], cause.encode() + b"\n")

    def _ledger(self, event: str, setup: str, body: SetupBody, **fields: Any) -> None:
        self.record.write(
            event, host=self.spec.id, setup=setup, viewer=body.viewer, cls=body.session_class,
            title=body.title, paid=body.paid, gateway=body.gateway, **fields,
        )  # fmt: skip

    def _claim(self, exchange: Exchange) -> bytes:
        """Keep one claim for a viewer's session, for as long as paid sessions are unsure."""
        try:
            claim = msgspec.json.decode(exchange.body, type=ClaimBody)
        except msgspec.MsgspecError as error:
            return exchange.reply(400, body=f"{error}\n".encode())
        key, now = (claim.viewer, claim.session_class, claim.title), time.monotonic()
        with self._lock:
            at, known = self._claims.get(key, (-CLAIMS_FOR, None))
            mine = known is not None and (known.setup == claim.setup or known.setup in claim.replaces)
            if exchange.request.method == b"DELETE":
                if known is not None and known.setup == claim.setup:
                    del self._claims[key]
                return exchange.reply(204)
            if known is not None and not mine and now - at < CLAIMS_FOR:
                self.record.write("contested", host=self.spec.id, setup=claim.setup, by=known.setup)
                return exchange.reply(409, body=msgspec.json.encode(known))
            self._claims.pop(key, None)
            self._claims[key] = (now, claim)
            while len(self._claims) > MOST_CLAIMS:
                del self._claims[next(iter(self._claims))]
        return exchange.reply(204)

    def _set_up(self, exchange: Exchange, setup: str, came: float) -> bytes | None:
        """`came`: when it was read; the record also says by how much sooner it may have been there."""
        try:
            body = msgspec.json.decode(exchange.body, type=SetupBody)
        except msgspec.MsgspecError as error:
            return exchange.reply(400, body=f"{error}\n".encode())
        within = float(exchange.request.get(b"setup-within") or 0.0)
        late = self._heart.late(came) + time.monotonic() - came
        self._ledger("asked", setup, body, rung=body.rung, within=within, late=late)
        if not self._paced():
            self._hang()
        if body.title not in self._titles or body.session_class not in self.spec.scales:
            self._ledger("setup", setup, body, ran=False, cause="unknown title or class")
            return exchange.reply(404, [RUNS_NOT])
        if not 0 <= body.rung < len(self.spec.ladder):
            return exchange.reply(400, body=b"rung: not on the ladder\n")
        time.sleep(self.spec.setup_time * (1.0 + (self._fault("slow") or 0.0)))
        with self._lock:
            if setup in self._sessions:
                self._ledger("setup", setup, body, ran=False, cause="repeat")
                return exchange.reply(200, self._report())
            if setup in self._released:
                return self._refuse(exchange, setup, body, "released before it came")
            if self._draining:
                return self._refuse(exchange, setup, body, "draining")
            full = self.spec.refuses_from and self._asked() >= self.spec.refuses_from * self._link()
            if len(self._sessions) >= self.spec.slots or full or self._fault("refuse") is not None:
                return self._refuse(exchange, setup, body, "full")
            owner = body.gateway
            playing = Playing(setup, body, owner, setup.rsplit(".", 2)[0], body.rung, seen=time.monotonic())
            self._sessions[setup] = playing
            self._ran.append(setup)
            self._feeds.setdefault(owner, Feed())
        self._ledger("setup", setup, body, ran=True, rung=body.rung)
        return self._answer(exchange, setup, exchange.reply(201, self._report()))

    def _answer(self, exchange: Exchange, setup: str, answer: bytes) -> bytes | None:
        """The answer of a set-up that ran, unless a fault spoils it."""
        lost = self._fault("answer_lost")
        if lost is not None and self._random.random() < lost:
            self.record.write("lost", host=self.spec.id, setup=setup)
            while exchange.stream.receive(60.0):
                pass  # silence until the other side gives up
            return None
        if self._fault("half") is not None:
            exchange.stream.send(answer[: len(answer) // 2], 5.0)
            return None
        if self._fault("garbage") is not None:
            exchange.stream.send(b"\0\1\2 no answer at all\r\n\r\n", 5.0)
            return None
        if self._fault("endless") is not None:
            exchange.stream.send(b"HTTP/1.1 201 Created\r\n", 5.0)
            for n in range(100_000):
                exchange.stream.send(b"X-%d: y\r\n" % n, 5.0)
            return None
        return answer

    def _fate(self, exchange: Exchange, setup: str) -> bytes:
        """What became of a key: plays, ended, or never ran, and then never will."""
        epoch = (b"Host-Epoch", self._epoch.encode())
        with self._lock:
            playing = self._sessions.get(setup)
            taker = (exchange.request.get(b"taken-by") or b"").decode("ascii", "replace")
            if playing is not None:
                status, fields = 200, [epoch]
                if taker and taker != playing.run:
                    owner = taker.rpartition(".")[0]
                    if owner != playing.owner:
                        self._tell(playing.owner, "ended", {"setup": setup, "cause": "taken over"})
                    playing.owner, playing.run = owner, taker
                    playing.seen = time.monotonic()
            elif setup in self._ran:
                status, fields = 410, [epoch]
            else:
                self._released.append(setup)
                status, fields = 404, [epoch, RUNS_NOT]
        self.record.write("fate", host=self.spec.id, setup=setup, status=status)
        return exchange.reply(status, fields)

    def _release(self, exchange: Exchange, setup: str) -> bytes:
        """End a session, unless another gateway, or a later run of this one, has taken it over since."""
        by = (exchange.request.get(b"gateway") or b"").decode("ascii", "replace")
        with self._lock:
            playing = self._sessions.get(setup)
            if playing is not None and by and playing.run != by:
                return exchange.reply(204)
        self._end(setup, "released", tell=False)
        return exchange.reply(204)

    def _set_rung(self, exchange: Exchange, setup: str) -> bytes:
        body = msgspec.json.decode(exchange.body, type=RungBody)
        with self._lock:
            playing = self._sessions.get(setup)
            if playing is None:
                return exchange.reply(404)
            if body.order > playing.order:
                playing.order, playing.rung = body.order, body.rung
        self._ledger("rung", setup, playing.body, rung=body.rung, order=body.order)
        return exchange.reply(204)

    def _end(self, setup: str, cause: str, tell: bool) -> None:
        with self._lock:
            self._released.append(setup)
            playing = self._sessions.pop(setup, None)
            if playing is not None:
                if tell:
                    self._tell(playing.owner, "ended", {"setup": setup, "cause": cause})
                self._ledger("end", setup, playing.body, cause=cause)

    def _media(self, exchange: Exchange, parts: list[str], setup: str) -> bytes:
        title = self._titles.get(parts[0])
        if title is None:
            return exchange.reply(404, body=b"unknown title\n")
        if parts[1:] == ["index.m3u8"]:
            return exchange.reply(200, body=t.multivariant(self.spec.ladder).encode())
        name = parts[-1].partition(".")[0]
        rung = int(parts[1].partition(".")[0]) if parts[1].partition(".")[0].isdigit() else -1
        if parts[2:] == ["init.mp4"] and title.maps and 0 <= rung < len(self.spec.ladder):
            return exchange.reply(200, body=t.initialisation(title.name, rung))
        if not 0 <= rung < len(self.spec.ladder) or not name.isdigit():
            return exchange.reply(404, body=b"unknown rung or number\n")
        if len(parts) == 2:
            return exchange.reply(200, body=t.media(title, rung, self.spec.segment).encode())
        with self._lock:
            playing = self._sessions.get(setup)
            if playing is not None:
                playing.seen = time.monotonic()
                playing.rung = rung  # what is fetched is what is asked of the link
        if playing is None:
            self.record.write("stray", host=self.spec.id, setup=setup, title=title.name)
            return exchange.reply(403, body=b"no such session here\n")
        share = self._share()
        if share < 0.98:
            time.sleep(self.spec.segment * min(4.0, 1.0 / max(share, 0.05)))
        self._ledger("segment", setup, playing.body, rung=rung, number=int(name), share=round(share, 3))
        size = int(self.spec.ladder[rung] * 1000 * self.spec.segment)
        return exchange.reply(200, body=t.segment(title.name, rung, int(name), size))

    # Load

    def _link(self) -> float:
        return self.spec.link / (1.0 + (self._fault("slow") or 0.0))

    def _asked(self) -> float:
        ladder, scales = self.spec.ladder, self.spec.scales
        return sum(ladder[x.rung] * scales[x.body.session_class] for x in list(self._sessions.values()))

    def _uplink_use(self) -> float:
        if self._rack is None or self.spec.uplink <= 0:
            return 0.0
        return self._rack.asked() / self.spec.uplink

    def _share(self) -> float:
        return min(1.0, 1.0 / max(self._asked() / self._link(), self._uplink_use(), 1e-9))

    def _load(self) -> dict[str, float]:
        at, figures = self._reading
        now = time.monotonic()
        if now - at >= self.spec.report_every + (self._fault("late") or 0.0):
            figures = {
                "streams": float(len(self._sessions)), "x0": self._asked() / self._link(),
                "x1": self._uplink_use(),
            }  # fmt: skip
            self._reading = (now, figures)
        return {k: v for k, v in figures.items() if k in self.spec.reports}

    def _report(self) -> list[tuple[bytes, bytes]]:
        return [] if self.spec.by_probe else [(orca.HEADER, orca.write(self._load()))]

    def _paced(self) -> bool:
        """Count a set-up that came while cold; False: it was one too many, and the host has fallen."""
        spec, now = self.spec, time.monotonic()
        age = now - self._began
        if not spec.started_cold or age >= spec.cold:
            return True
        with self._lock:
            self._arrivals.append(now)
            while self._arrivals[0] < now - spec.fall:
                self._arrivals.popleft()
            warm = spec.start_capacity + (1.0 - spec.start_capacity) * age / spec.cold
            most = spec.overload_factor * spec.slots / spec.cold * warm * spec.fall
            if len(self._arrivals) > max(1.0, most) and not self._fallen:
                self._fallen = True
                self.record.write("fallen", host=spec.id, arrivals=len(self._arrivals), most=most)
        return not self._fallen

    # Events

    def _tell(self, owner: str, kind: str, data: dict[str, Any], late: float = 0.0) -> None:
        """Under the lock."""
        feed = self._feeds.setdefault(owner, Feed())
        feed.last += 1
        event = sse.event(kind, msgspec.json.encode(data).decode(), feed.last)
        feed.events.append((feed.last, time.monotonic() + late, event))
        self._lock.notify_all()

    def _events(self, exchange: Exchange, owner: str) -> None:
        """Tell a gateway, until its connection breaks."""
        stream = exchange.stream
        resume = exchange.request.get(b"last-event-id") or b""
        fields = [(b"Content-Type", b"text/event-stream"), (b"Host-Epoch", self._epoch.encode())]
        stream.send(http1.stream_head(200, fields), 5.0)
        with self._lock:
            feed = self._feeds.setdefault(owner, Feed())
            sent = int(resume) if resume.isdigit() else feed.last
        alive = time.monotonic()
        while True:
            self._hang()
            now = time.monotonic()
            with self._lock:
                due = [x for x in feed.events if x[0] > sent and x[1] <= now]
                if not due:
                    self._lock.wait(0.05)
            if due:
                sent = due[-1][0]
                stream.send(http1.chunk(b"".join(x[2] for x in due)), 5.0)
            elif now - alive > 0.5:
                alive = now
                stream.send(http1.chunk(sse.KEEP_ALIVE), 5.0)

    def _clock(self) -> None:
        """Once in a while: notes of short delivery and of load, sessions that nobody fetches any more."""
        noted = time.monotonic()
        told = 0.0
        while True:
            time.sleep(0.1)
            if self._fault("hang") is not None or self._fallen:
                continue
            now = time.monotonic()
            if self._rack is not None:
                self._rack.tell(self._asked())
            for playing in list(self._sessions.values()):
                if now - playing.seen > self.spec.idle:
                    self._end(playing.setup, "nobody fetches", tell=True)
            late = self.spec.note_delay + (self._fault("late") or 0.0)
            if now - told >= 1.0:
                told = now
                share = self._share()
                with self._lock:
                    owners = {x.owner for x in self._sessions.values()}
                    for owner in owners:
                        feed = self._feeds.setdefault(owner, Feed())
                        if share < 0.98 or feed.was_short:
                            self._tell(owner, "delivery", {"share": round(share, 4)}, late)
                        feed.was_short = share < 0.98
            if self.spec.note_interval and now - noted >= self.spec.note_interval:
                noted = now
                load = self._load()
                with self._lock:
                    for owner in {x.owner for x in self._sessions.values()}:
                        self._tell(owner, "load", load, late)

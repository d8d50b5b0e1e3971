"""Media hosts of a run: they answer set-ups as their temper says, and fail in ways that the run chooses."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from ...referee.platform_records import Attempt, Records, SessionEnd
from ...wire import rtsp
from .links import Link
from .plan import Kind, Plan, Temper, Way
from .ports import Address, Port

EXCHANGE = b"rtsp://media/exchange"
CAUSE_DONE, CAUSE_CUT = 16, 41
WORK_SECONDS = 0.008
"""Mean time for a set-up."""
SECOND_ANSWER_SECONDS = 0.005
HOLD_SECONDS = (0.5, 6.0)
"""Range of the lengths of sessions."""
LATE_SECONDS = (0.01, 0.3)
"""Range of the times by which an answer misses its deadline."""
CROSSING_SECONDS = 0.1
"""Seconds in which the end of a connection may cross what was written on it."""
IDLE_CHECK_SECONDS = 0.1
NOISE = b"\x07\xff no protocol \r\n\r\n\x00"


@dataclass(slots=True, eq=False)
class Standing:
    """A session that plays."""

    session: bytes
    gateway: int
    link: Link


@dataclass(slots=True, eq=False)
class Pending:
    """A set-up without an end."""

    attempt: Attempt
    link: Link
    time_out: float


class PlatformHost:
    """One media host, with an address for each gateway."""

    def __init__(
        self, name: str, plan: Plan, records: Records, addresses: list[Address], chance: random.Random
    ) -> None:
        """`addresses`: one for each gateway; port 0 lets the system choose. Raises OSError."""
        self.name, self._plan, self._records, self._chance = name, plan, records, chance
        self.temper: Temper = plan.temper
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[Any]] = set()
        self.links: list[Link] = []
        self._pending: dict[bytes, Pending] = {}
        self._standing: dict[bytes, Standing] = {}
        self._untold: list[SessionEnd] = []
        """Ends to tell, or to tell again, on the next connection."""
        self._cut: set[int] = set()
        self._spoilt: set[Link] = set()
        """Connections on which bytes were sent that are no RTSP: nothing behind them can be read."""
        self.is_dead = self._is_gone = False
        self.ports = [Port(x, self._acceptor(n), self._loop) for n, x in enumerate(addresses)]
        self._start(self._close_idle_links())

    @property
    def addresses(self) -> tuple[Address, ...]:
        """The address for each gateway."""
        return tuple(x.address for x in self.ports)

    def _acceptor(self, gateway: int) -> Any:
        def accept(sock: socket.socket) -> None:
            link = Link(self, random.Random(self._chance.random()), self._plan_has_pieces)
            link.gateway = gateway
            self._start(self._connect(link, sock))

        return accept

    async def _connect(self, link: Link, sock: socket.socket) -> None:
        await self._loop.connect_accepted_socket(lambda: link, sock=sock)
        self.links.append(link)
        if link.gateway in self._cut:
            link.hold()
            return
        await self._tell_ends(link)

    @property
    def _plan_has_pieces(self) -> bool:
        return Kind.PIECES in self._plan.kinds

    def _start(self, work: Coroutine[Any, Any, Any]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _close_idle_links(self) -> None:
        while not self.is_dead:
            await asyncio.sleep(IDLE_CHECK_SECONDS)
            now = time.time()
            for link in list(self.links):
                busy = any(x.link is link for x in self._pending.values())
                if (
                    not busy
                    and not link.is_held
                    and not link.is_of_no_use
                    and now - link.used_at >= self._plan.idle_close
                ):
                    link.close()

    # What gateways send

    def message_received(self, link: Link, message: rtsp.Message, begun_at: float) -> None:
        """Act on a message of a gateway."""
        if self._is_gone:
            return
        if message.method == b"SETUP":
            attempt = Attempt(message.session, self.name, link.gateway, begun_at, time.time())
            self._records.attempts.append(attempt)
            time_out = int(message.fields.get(b"x-deadline", b"0")) / 1000.0
            pending = self._pending[message.session] = Pending(attempt, link, time_out)
            self._start(self._answer(pending, message))
        elif message.method == b"TEARDOWN":
            self._give_up(message.session)
            fields = [(b"CSeq", b"2"), (b"Session", message.session)]
            self._start(link.write(rtsp.response(200, fields)))
        elif message.method == b"REDIRECT":
            self._give_up(message.session)
        elif message.method == b"OPTIONS":
            fields = [(b"CSeq", b"3"), (b"Session", message.session), (b"X-Gauges", b"x0:0.2;x1:0.1")]
            self._start(link.write(rtsp.response(200, fields)))

    def _give_up(self, session: bytes) -> None:
        pending = self._pending.pop(session, None)
        if pending is not None:
            pending.attempt.ended_at = min(pending.attempt.ended_at, time.time())
        self._standing.pop(session, None)

    def unreadable(self, link: Link) -> None:
        """Close a connection that brings what is no RTSP."""
        link.close()

    def link_ended(self, link: Link) -> None:
        """The set-ups that are open on a closed connection are given up."""
        if link in self.links:
            self.links.remove(link)
        self._spoilt.discard(link)
        for session in [x for x, y in self._pending.items() if y.link is link]:
            self._give_up(session)

    # Set-ups

    async def _answer(self, pending: Pending, message: rtsp.Message) -> None:
        attempt, link, session = pending.attempt, pending.link, message.session
        way = self.temper.way(self._chance.random())
        await asyncio.sleep(self._chance.expovariate(1.0 / WORK_SECONDS))
        if self._pending.get(session) is not pending or self.is_dead:
            return
        fields = [(b"CSeq", b"1"), (b"Session", session)]
        if way is Way.HANG:
            return
        if way is Way.LATE:
            await asyncio.sleep(pending.time_out + self._chance.uniform(*LATE_SECONDS))
            if self._pending.get(session) is not pending:
                return
        if way in (Way.REFUSE, Way.FAIL):
            attempt.never_ran = way is Way.REFUSE
            await self._end_attempt(pending, rtsp.response(453 if way is Way.REFUSE else 500, fields))
        elif way is Way.RESET:
            link.reset()
        elif way is Way.BREAK_OFF:
            await self._end_attempt(pending, rtsp.response(200, fields, self._describe())[:-20])
            link.close()
        elif way is Way.SPOIL:
            whole = rtsp.response(200, fields, self._describe())
            spoilt = self._chance.choice(
                (NOISE + whole, whole[:-9] + b"\r\n", whole.replace(b": ", b":: ", 1))
            )
            self._spoilt.add(link)
            await self._end_attempt(pending, spoilt)
        else:
            await self._accept(pending, fields, way)

    def _describe(self) -> bytes:
        return (
            b"%016x\r\nc=IN IP4 10.251.16.84\r\nm=audio 33319 RTP/AVP 0 8 99\r\n"
            % self._chance.getrandbits(64)
        )

    async def _end_attempt(self, pending: Pending, answer: bytes) -> None:
        await pending.link.write(answer)
        if self._pending.get(pending.attempt.session) is pending:
            del self._pending[pending.attempt.session]
            pending.attempt.ended_at = time.time()

    async def _accept(self, pending: Pending, fields: list[tuple[bytes, bytes]], way: Way) -> None:
        attempt, link = pending.attempt, pending.link
        attempt.description = self._describe()
        answer = rtsp.response(200, fields, attempt.description)
        standing = self._standing[attempt.session] = Standing(attempt.session, attempt.gateway, link)
        if way is Way.LOSE:
            self._lose(link)
        else:
            await self._end_attempt(pending, answer)
        self._start(self._hold(standing))
        if way is Way.REPEAT:
            await asyncio.sleep(SECOND_ANSWER_SECONDS)
            await link.write(answer)
        elif way is Way.CLOSE:
            link.close()

    def _lose(self, link: Link) -> None:
        """Let nothing arrive on a connection any more: its set-ups have run, and their answers are lost."""
        link.is_of_no_use = True
        now = time.time()
        for session in [x for x, y in self._pending.items() if y.link is link]:
            attempt = self._pending.pop(session).attempt
            attempt.ended_at = min(attempt.ended_at, now)

    async def _hold(self, standing: Standing) -> None:
        await asyncio.sleep(self._chance.uniform(*HOLD_SECONDS))
        if self._standing.get(standing.session) is standing and not self.is_dead:
            del self._standing[standing.session]
            await self._end_session(standing)

    async def _end_session(self, standing: Standing) -> None:
        """Release a session on the connection of its set-up, else on any, and again on the next one."""
        end = SessionEnd(standing.session, self.name, standing.gateway, time.time())
        self._records.ends.append(end)
        self._untold.append(end)
        usable = [x for x in self.links if x.gateway == standing.gateway and not x.ended and not x.is_held]
        if usable:
            await self._tell_end(standing.link if standing.link in usable else usable[0], end)

    async def _tell_ends(self, link: Link) -> None:
        """Repeat the releases that were sent on earlier connections, or on none."""
        mine = [x for x in self._untold if x.gateway == link.gateway]
        self._untold = [x for x in self._untold if x.gateway != link.gateway]
        await asyncio.gather(*(self._tell_end(link, x) for x in mine))

    async def _tell_end(self, link: Link, end: SessionEnd) -> None:
        fields = [(b"CSeq", b"2"), (b"Session", end.session), (b"Reason", b"cause=%d" % CAUSE_DONE)]
        written = await link.write(rtsp.request(b"TEARDOWN", EXCHANGE, fields))
        arrives = not (link in self._spoilt or link.is_held or link.is_of_no_use)
        told_at = time.time()
        await asyncio.sleep(CROSSING_SECONDS)
        if written and arrives and not link.ended:  # else its gateway may have closed it before it arrived
            end.told_at = min(end.told_at, told_at)
        elif end not in self._untold:
            self._untold.append(end)

    # Faults

    def cut(self, gateway: int) -> None:
        """Cut the host off from a gateway: nothing it says arrives, and no connection comes up."""
        self._cut.add(gateway)
        self.ports[gateway].block()
        for link in self.links:
            if link.gateway == gateway:
                link.hold()

    def heal(self, gateway: int) -> None:
        """End such a cut."""
        if self._is_gone:
            return
        self._cut.discard(gateway)
        if not self.is_dead:
            self.ports[gateway].unblock()
            self._start(self._let_go(gateway))

    async def _let_go(self, gateway: int) -> None:
        held = [x for x in self.links if x.gateway == gateway]
        for link in held:
            link.let_go()
        for link in [x for x in held if not x.ended][:1]:
            await self._tell_ends(link)

    def block_new(self, gateway: int) -> None:
        """Let new connections of a gateway come up late, once `heal` is called."""
        self.ports[gateway].block()

    def reset_all(self) -> None:
        """Reset all connections, also under set-ups that have begun."""
        for link in list(self.links):
            link.reset()

    def vanish(self) -> None:
        """The machine is gone: its connections stay open and silent, new ones never come up."""
        self._is_gone = True
        self._lose_sessions()
        for gateway in range(len(self.ports)):
            self.cut(gateway)

    def die(self) -> None:
        """The process is gone: its connections are reset, new ones are refused."""
        if self.is_dead:
            return
        self.is_dead = True
        self._lose_sessions()
        for port in self.ports:
            port.close()
        self.reset_all()
        for task in list(self._tasks):
            task.cancel()

    def _lose_sessions(self) -> None:
        now = time.time()
        for session in list(self._pending):
            self._give_up(session)
        self._records.ends += [
            SessionEnd(x.session, self.name, x.gateway, now) for x in self._standing.values()
        ]
        self._standing.clear()

"""Viewers' connections: what they ask is checked here and handed on, what they are owed goes back.

A connection carries many sessions, and a session that stands may be ended on any connection. Bounds: a
connection with no session on it is closed after a while, one that sends what can't be read is told so and
closed, and where there are too many, the one that has had nothing on it for the longest goes first. Where
none may be closed, newcomers wait in the kernel. What the kernel holds unread is read before any such close.
"""

from __future__ import annotations

import itertools
import socket
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..core import interface as api
from ..net.reactor import Address, Channel, Listener, Reactor
from ..wire import rtsp
from . import messages

MESSAGES = 1
"""Messages of one connection handled in a turn: set-ups are dear, and with sixteen of each of a hundred
connections a turn took over a second."""
AHEAD_MOST = 1 << 18
"""Bytes of a connection looked through for what takes a set-up back before it is read."""
SILENT_FOR = 2.0
"""Seconds for which a connection may say nothing, or leave a message half said, before it is closed."""
IDLE_FOR = 6.0
"""The same for one that has had a session or a test on it: viewers close theirs after 4 s."""
ERRORS_MOST = 4
"""Messages of one connection that mean nothing, before it is closed."""
TAKEN_BACK_KEPT = 1024
"""Ids of no known session for which a TEARDOWN came: its set-up may still wait on another connection."""
OPEN_MOST = 256
"""Set-ups open on one connection; one more is refused."""
HANDED_OVER_MOST = 8192
"""Sessions handed over since the start. They come when a gateway starts and nobody has to answer for them, so
nothing else bounds what one peer at full speed could make a gateway hold."""
SETTLED = 0.1
"""Seconds for which a connection that is new, or on which something was told, is not closed to make room: its
first request is still on its way, and one that crosses the close resets it, with what is not read yet."""
FULL_FOR = 0.5
"""Seconds for which newcomers wait for a connection that has nothing unread; then the one that asked for
nothing for the longest goes, or clients that never pause would keep all others out."""
HEADROOM = 12
"""Descriptors given back at their end, so that hosts can still be connected to."""
UNSAID_FOR = 8.0
"""Seconds for which a release is owed that no connection was open for."""


class Owner(Protocol):
    """Who is told what viewers ask."""

    def asked(self, client: ClientSession, request: api.SessionRequest, playing_at: str | None) -> None: ...
    def left(self, client: ClientSession) -> None: ...


@dataclass(slots=True, eq=False)
class ClientSession:
    """A viewer's session, from its set-up on."""

    session: bytes
    viewer: Viewer | None
    class_no: bytes
    title: str
    description: bytes
    number: int = 0
    open: bool = True
    """Its set-up has no answer yet."""


class Viewer:
    """One connection."""

    def __init__(self, frontend: Frontend, sock: socket.socket) -> None:
        self.frontend = frontend
        self.number = next(frontend.numbers)
        self.reader = rtsp.Reader()
        self.open: dict[bytes, ClientSession] = {}
        self.standing: dict[bytes, ClientSession] = {}
        self.errors = 0
        self.useful = False
        self.quiet_since = frontend.reactor.clock()
        """When it last said or was told something."""
        self.asked_at = 0.0
        """When it last sent a set-up."""
        self.channel = Channel(frontend.reactor, sock, self)

    def connected(self) -> None:
        """Newcomers are connected when they come."""

    def heard(self, data: bytes) -> bool:
        self.quiet_since = self.frontend.reactor.clock()
        try:
            return self.reader.several(data, MESSAGES, self._one)
        except rtsp.RtspError as error:
            self.frontend.unreadable(self, str(error))
            return False

    def _one(self, message: rtsp.Message) -> bool:
        self.frontend.message(self, message)
        return not self.channel.closed and self in self.frontend.viewers

    def ended(self, cause: str) -> None:
        self.frontend.ended(self)


class Frontend:
    """The listening socket and all that came in by it."""

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        owner: Owner,
        settings: api.Settings,
        classes: tuple[str, ...],
        most: Callable[[], int],
        say: Callable[[str], None],
    ) -> None:
        """`most`: connections that may be held now. Raises OSError where the address can't be had."""
        self.reactor, self.owner, self.settings = reactor, owner, settings
        self.classes, self._most, self.say = classes, most, say
        self.refusing = False
        """No set-up is handed on any more: the process is about to end."""
        self._full_since: float | None = None
        self._descriptors_most: int | None = None
        """Connections for which descriptors were enough, where they came to their end."""
        self.viewers: dict[Viewer, None] = {}
        self.sessions: dict[bytes, ClientSession] = {}
        self.handed_over = 0
        self.numbers = itertools.count()
        self._taken_back: OrderedDict[bytes, int] = OrderedDict()
        """Ids of sessions that nobody knew when they were taken back, and the number of the connection."""
        self._said: set[str] = set()
        """Reasons that are in the log already."""
        self._unsaid: dict[bytes, tuple[bytes, float]] = {}
        """Releases for which no viewer's connection was open, and until when they are owed."""
        self.listener = Listener(reactor, address, self._newcomer, self._full, self._make_room)

    # Connections

    def _newcomer(self, sock: socket.socket) -> None:
        try:
            viewer = Viewer(self, sock)
        except OSError as error:
            self.say(f"a connection can't be watched: {error}")
            return
        self.viewers[viewer] = None
        self._full_since = None

    @property
    def _held(self) -> int:
        """Descriptors of viewers' connections."""
        return len(self.viewers) + self.reactor.finishing

    def _full(self) -> bool:
        most = self._most()
        if self._descriptors_most is not None:
            most = min(most, self._descriptors_most)
        return self._held >= most

    def _make_room(self, short: bool = False) -> bool:
        """Close what matters least: never useful and quiet for longest, then just quiet, then what has but
        sessions that stand, as these belong to no connection. False: there is no room yet.

        `short`: descriptors are at their end, and some are kept free from now on.
        """
        if short:
            self._say_once("no descriptor is left for a connection")
            self._descriptors_most = max(1, self._held - HEADROOM)
        now = self.reactor.clock()
        free = [x for x in self.viewers if not x.open and not x.channel.unsent]
        settled = [x for x in free if now - x.quiet_since >= SETTLED]
        settled.sort(key=lambda x: (bool(x.standing), x.useful, x.quiet_since))
        closed = False
        for viewer in settled:
            if not self._full():
                break
            if not viewer.channel.unread():
                self._close(viewer)
                closed = True
        if self._full_since is None:
            self._full_since = now
        if not closed and free and now - self._full_since >= FULL_FOR:
            self._close(min(free, key=lambda x: x.asked_at))
            closed = True
        return closed and (short or not self._full())

    def _close(self, viewer: Viewer, last: bytes = b"") -> None:
        """Close a connection from here, after a last word if there is one."""
        if last:
            viewer.channel.send(last)
        if last or not self._full():
            viewer.channel.finish()
        else:
            viewer.channel.close()
        self.ended(viewer)

    def ended(self, viewer: Viewer) -> None:
        """A connection is no more: its open set-ups are given up, what stands goes on."""
        if self.viewers.pop(viewer, False) is False:
            return
        for client in list(viewer.open.values()):
            client.viewer = None
            self.owner.left(client)
        for client in viewer.standing.values():
            client.viewer = None
        viewer.open.clear()
        viewer.standing.clear()
        self.listener.resume()

    # The end of the process

    def owes(self) -> bool:
        """Whether an end of the process would cut what is owed: bytes of viewers that nobody has read, what
        they have not been given whole, a last word on its way, a release, newcomers that wait for room.
        Releases that wait are said, if there is anyone to say them to."""
        self._say_unsaid(last=True)
        return (
            bool(self._unsaid and self.viewers)
            or self.listener.paused
            or self.reactor.finishing > 0
            or any(x.channel.unsent or x.channel.unread() for x in self.viewers)
        )

    def stop_listening(self) -> bool:
        """Take whom the kernel holds, then listen no more; False: there is no room for some yet."""
        if not self.listener.closed and self.listener.take_rest():
            self.listener.close()
        return self.listener.closed

    def finish(self) -> None:
        """Shut every connection for writing, after all that was told. What comes is read and thrown away
        until the channel is closed: bytes that nobody reads would reset it, and destroy what was told."""
        self.listener.close()
        for viewer in list(self.viewers):
            viewer.channel.finish()
            self.ended(viewer)

    def _say_once(self, text: str) -> None:
        if text not in self._said:
            self._said.add(text)
            self.say(text)

    def unreadable(self, viewer: Viewer, why: str) -> None:
        self._say_once(f"a viewer's bytes can't be read: {why}")
        self._close(viewer, messages.answer(400))

    def sweep(self) -> None:
        """Close connections on which nothing has happened for too long."""
        now = self.reactor.clock()
        for viewer in list(self.viewers):
            quiet = now - viewer.quiet_since
            if quiet <= SILENT_FOR or viewer.open:
                continue
            half = viewer.reader.held > 0
            idle = not viewer.standing and (not viewer.useful or quiet > IDLE_FOR)
            # A late turn: what it has to say may be in the kernel since long.
            if not (half or idle) or viewer.channel.unread():
                continue
            if half:
                self.unreadable(viewer, "half a message")
            else:
                self._close(viewer)
        if self._descriptors_most is not None:  # others may have given theirs back
            self._descriptors_most += 1
            if self._descriptors_most >= self._most():
                self._descriptors_most = None
        if self._held > self._most():
            self._make_room()  # hosts took more than their part since
        self._say_unsaid()

    def _for_all(self, last: bool = False) -> Viewer | None:
        """A connection for what belongs to none: one that viewers use, at the end also one that asked."""
        used = (x for x in self.viewers if x.useful or (last and x.asked_at))
        return next((x for x in used if not x.channel.closed), None)

    def _say_unsaid(self, last: bool = False) -> None:
        """Releases that wait for a connection go out on one, or are owed no longer."""
        viewer, now = self._for_all(last), self.reactor.clock()
        for session, (wire, until) in list(self._unsaid.items()):
            if viewer is not None:
                viewer.channel.send(wire)
            if viewer is not None or until < now:
                del self._unsaid[session]

    # What viewers say

    def message(self, viewer: Viewer, message: rtsp.Message) -> None:
        if message.method == b"SETUP":
            self._set_up(viewer, message)
        elif message.method == b"TEARDOWN":
            client = self.sessions.get(message.session)
            if client is not None:
                viewer.channel.send(messages.answer(200, message))
                self.owner.left(client)
            elif message.session:
                self._taken_back[message.session] = viewer.number
                if len(self._taken_back) > TAKEN_BACK_KEPT:
                    self._taken_back.popitem(last=False)
        elif message.method == b"OPTIONS":
            viewer.useful = True
            viewer.channel.send(messages.answer(200, message))
        elif not message.status:
            self._mean_nothing(viewer, message, "method")

    def _mean_nothing(self, viewer: Viewer, message: rtsp.Message, why: str) -> None:
        self._say_once(f"a request is not taken: {why}")
        viewer.errors += 1
        if viewer.errors >= ERRORS_MOST:
            self._close(viewer, messages.answer(400, message))
        else:
            viewer.channel.send(messages.answer(400, message))

    def _set_up(self, viewer: Viewer, message: rtsp.Message) -> None:
        session = message.session
        viewer.asked_at = self.reactor.clock()
        if not session:
            self._mean_nothing(viewer, message, "Session: can't be read")
            return
        try:
            request, playing_at = messages.set_up(message, self.classes, self.settings)
        except messages.BadRequestError as error:
            self._mean_nothing(viewer, message, str(error))
            return
        known = self.sessions.get(session)
        if known is not None:
            if playing_at is None:
                self._doubled(viewer, message, known)
            return
        if playing_at is not None:
            self.handed_over += 1
            if self.handed_over > HANDED_OVER_MOST:
                self._mean_nothing(viewer, message, "X-Attrs: too many handed over")
                return
        class_no = message.fields[b"x-tier"]
        # What plays already is never set up: its description, of up to 16 KiB, is not kept.
        description = message.body if playing_at is None else b""
        client = ClientSession(session, viewer, class_no, request.title, description)
        # Behind a TEARDOWN on its own connection it is a new set-up, and is owed an answer.
        if playing_at is None and self._taken_back.pop(session, viewer.number) != viewer.number:
            return
        if playing_at is None and self.has_left(client):
            return  # taken back already: the module is not even asked
        self.sessions[session] = client
        if playing_at is None:
            if self.refusing or len(viewer.open) >= OPEN_MOST:
                del self.sessions[session]
                viewer.channel.send(messages.refused(session, self.settings.note_delay))
                return
            viewer.open[session] = client
        else:
            client.open = False
            viewer.useful = True
            viewer.standing[session] = client
        self.owner.asked(client, request, playing_at)

    def _doubled(self, viewer: Viewer, message: rtsp.Message, known: ClientSession) -> None:
        """A second set-up under one id: who sent both is told so and closed, and gets neither."""
        if known.viewer is viewer and known.open:
            self.unreadable(viewer, "two requests under one id")
        else:
            self._mean_nothing(viewer, message, "Session: of another request")

    def has_left(self, client: ClientSession) -> bool:
        """Whether nobody waits for a session's answer: its connection has ended, or what has come on it
        and is not read yet takes the set-up back. Read in its turn, either would be seen after hundreds of
        other messages, or after the host's event at hand."""
        viewer = client.viewer
        if viewer is None:
            return True
        ahead, ended = viewer.channel.ahead(AHEAD_MOST)
        return ended or viewer.reader.cancels(client.session, ahead)

    # What viewers are told

    def served(self, client: ClientSession, description: bytes) -> bool:
        """The session stands; False: its viewer can't be told."""
        viewer = client.viewer
        if viewer is None or viewer.channel.closed:
            return False
        client.open = False
        viewer.open.pop(client.session, None)
        viewer.standing[client.session] = client
        viewer.useful = True
        self._told(viewer)
        viewer.channel.send(messages.served(client.session, description))
        return True

    def _told(self, viewer: Viewer) -> None:
        """Something is told on a connection, and a set-up on it may be over."""
        viewer.quiet_since = self.reactor.clock()
        if not viewer.open:
            self.listener.resume()

    def turned_away(self, client: ClientSession, wire: bytes) -> None:
        """The final answer where the session does not stand."""
        client.open = False
        if client.viewer is not None:
            client.viewer.open.pop(client.session, None)
            self._told(client.viewer)
            client.viewer.channel.send(wire)

    def tell(self, client: ClientSession, wire: bytes) -> None:
        """A release or a move: on the session's own connection, else on any that viewers use."""
        viewer = client.viewer
        if viewer is None or viewer.channel.closed:
            viewer = self._for_all()
        if viewer is not None:
            self._told(viewer)
            viewer.channel.send(wire)
        else:
            self._unsaid[client.session] = (wire, self.reactor.clock() + UNSAID_FOR)

    def forget(self, client: ClientSession) -> None:
        """Nothing of this session is left."""
        if self.sessions.get(client.session) is client:
            del self.sessions[client.session]
        if client.viewer is not None:
            client.viewer.open.pop(client.session, None)
            client.viewer.standing.pop(client.session, None)
            self._told(client.viewer)

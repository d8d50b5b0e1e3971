"""Viewers' connections: checks and passes on their requests, and sends them answers and releases.

A connection carries many sessions, and an established session may be ended on any connection. Limits: a
connection without a session is closed after a while, one that sends malformed data gets an error and is
closed, and when there are too many, the one that has been idle for the longest is closed first. When none may
be closed, new connections wait in the kernel's backlog. Unread input is read before any such close.
"""

from __future__ import annotations

import itertools
import socket
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

from ..core import interface as api
from ..core.buffer_budget import DESCRIPTION_COPIES, BufferBudget
from ..net.reactor import Address, Channel, Listener, Reactor
from ..wire import rtsp
from . import messages

MAX_MESSAGES = 1
"""Messages of one connection handled in one iteration of the event loop: set-ups are expensive, and with
sixteen of each of a hundred connections an iteration took over a second."""
SILENCE_SECONDS = 2.0
"""Seconds without input, or with a partial message, after which a connection is closed."""
IDLE_SECONDS = 6.0
"""The same in seconds for a connection that has had a session or a test: viewers close theirs after 4 s."""
MAX_ERRORS = 4
"""Invalid messages on one connection after which it is closed."""
MAX_EARLY_TEARDOWNS = 1024
"""Remembered TEARDOWNs of unknown sessions: the set-up may still be unread on another connection."""
MAX_PENDING_SETUPS = 256
"""Unanswered set-ups on one connection; further ones are refused."""
MAX_HANDED_OVER = 8192
"""Sessions handed over since the start. Hand-overs arrive when a gateway starts and get no answer, so nothing
else limits the memory that one peer at full speed could make a gateway use."""
SETTLING_SECONDS = 0.1
"""Seconds for which a connection that is new, or on which something was sent, is not closed to make room: a
request may be in flight, and one that crosses the close resets the connection and discards unread data."""
FULL_SECONDS = 0.5
"""Seconds for which new connections wait until one without unread input can be closed. After that the
connection whose last set-up is the oldest is closed, as clients that never pause would otherwise keep all
others out."""
DESCRIPTOR_HEADROOM = 12
"""Descriptors freed when none is left, so that connections to hosts remain possible."""
MIN_EVICTED_BYTES = 1024
"""Bytes that a connection must hold to be closed for the memory that they take."""
PARTIAL_REQUEST_SECONDS = 1.0
"""Seconds since its last byte for which a shutdown waits for the rest of a request."""
CROSSING_SECONDS = 0.25
"""Seconds before the end of a viewer's connection within which a release on it may have crossed the end."""
MAX_RECENT_RELEASES = 64
"""Releases remembered per connection."""
PENDING_RELEASE_SECONDS = 8.0
"""Seconds for which a release is kept when no viewer's connection is open for it."""
LAST_CHANCE_SECONDS = 1.0
"""Seconds before that time runs out in which a release is sent on a connection that was only tested."""


class Owner(Protocol):
    """Receives the viewers' requests."""

    def may_have_run(self, session: bytes) -> bool:
        """Whether an earlier set-up with this session id may have run."""
        ...

    def session_requested(
        self, client: ClientSession, request: api.SessionRequest, playing_at: str | None
    ) -> None:
        """A viewer asked for a session, or handed over one that plays at the host `playing_at`."""
        ...

    def viewer_left(self, client: ClientSession) -> None:
        """A viewer withdrew its request or left its session."""
        ...


@dataclass(slots=True, eq=False)
class ClientSession:
    """A viewer's session, from its set-up on; `number` is the core's number of the request."""

    session: bytes
    viewer: ViewerConnection | None
    class_no: bytes
    title: str
    description: bytes
    number: int = 0
    is_pending: bool = True
    """Whether its set-up has no answer yet."""


class Trust(IntEnum):
    """What shows that a connection belongs to the viewers and not to a stranger.

    That it asked for something, even validly, shows nothing: a stranger does so as well, and is told of other
    viewers' sessions if their releases are sent to it. Media hosts know which requests they can use: they
    answer 500 to the others.
    """

    NONE = 0
    TESTED = 1
    """It has sent a test, as the platform's front does, and nothing unusable."""
    CONSIDERED = 2
    """Media hosts had no room for its set-ups, and found none unusable."""
    HANDED_OVER = 3
    """Its sessions were set up through another gateway."""
    SERVED = 4
    """A session was set up for it."""


class ViewerConnection:
    """One viewer's connection; handler of its channel."""

    def __init__(self, frontend: Frontend, sock: socket.socket) -> None:
        self.frontend = frontend
        self.number = next(frontend.connection_numbers)
        self.reader = rtsp.Reader()
        self.pending: dict[bytes, ClientSession] = {}
        self.established: dict[bytes, ClientSession] = {}
        self.recent_releases: OrderedDict[bytes, tuple[bytes, float]] = OrderedDict()
        """Releases that were sent and not acknowledged, and when, by session; oldest first."""
        self.error_count = 0
        self.was_used = False
        self.was_tested = self.was_served = False
        """Whether it has sent an OPTIONS request; whether a set-up of it was answered with a session."""
        self.held_bytes = 0
        """Bytes of input and output that it holds, as last counted."""
        self.is_input_known = True
        """Whether all that had arrived was read when a set-up of it was last checked."""
        self.host_refusals = self.host_errors = 0
        """Attempts of its set-ups that a media host had no room for, or could not use."""
        self.last_activity_at = frontend.reactor.clock()
        """When something was last received or sent."""
        self.last_setup_at = 0.0
        """When the last set-up was received; 0: none was."""
        self.channel = Channel(frontend.reactor, sock, self)

    @property
    def trust(self) -> Trust:
        """How likely a message for another connection's session reaches its viewer here."""
        if self.was_served:
            return Trust.SERVED
        if self.established:
            return Trust.HANDED_OVER
        if self.host_errors or self.error_count:
            return Trust.NONE
        if self.host_refusals:
            return Trust.CONSIDERED
        return Trust.TESTED if self.was_tested else Trust.NONE

    def connection_made(self) -> None:
        """Accepted connections are established from the start."""

    def data_received(self, data: bytes) -> bool:
        """Handle the messages in `data`; returns whether more are buffered."""
        self.last_activity_at = self.frontend.reactor.clock()
        try:
            more = self.reader.read_messages(data, MAX_MESSAGES, self._handle_message)
        except rtsp.RtspError as error:
            self.frontend.close_malformed(self, str(error))
            return False
        self.frontend.count_buffers(self)
        return more

    def _handle_message(self, message: rtsp.Message) -> bool:
        self.frontend.handle_message(self, message)
        return not self.channel.closed and self in self.frontend.viewers

    def connection_lost(self, cause: str) -> None:
        """Report the end of the connection to the frontend."""
        self.frontend.viewer_disconnected(self)
        self.frontend.repeat_releases(self)


class Frontend:
    """The listening socket, the viewers' connections and their sessions."""

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        owner: Owner,
        settings: api.Settings,
        classes: tuple[str, ...],
        max_viewers: Callable[[], int],
        memory_bytes: int,
        log: Callable[[str], None],
    ) -> None:
        """`max_viewers`: returns the maximum of connections now; `memory_bytes`: memory limit of the process.
        Raises OSError if the address can't be bound."""
        self.reactor, self.owner, self.settings = reactor, owner, settings
        self.classes, self._max_viewers, self.log = classes, max_viewers, log
        self.budget = BufferBudget(memory_bytes)
        self.refusing = False
        """Whether all set-ups are refused because the process is about to exit."""
        self._full_since: float | None = None
        self._descriptor_limit: int | None = None
        """Limit of connections after the process ran out of descriptors; None: no such limit."""
        self.viewers: dict[ViewerConnection, None] = {}
        self.sessions: dict[bytes, ClientSession] = {}
        self.handed_over_count = 0
        self.connection_numbers = itertools.count()
        self._early_teardowns: OrderedDict[bytes, int] = OrderedDict()
        """Ids of TEARDOWNs for unknown sessions, with the number of the connection that sent them."""
        self._logged: set[str] = set()
        """Texts that were logged already."""
        self._pending_releases: dict[bytes, tuple[bytes, float]] = {}
        """Messages that no viewer's connection was open for, and until when they are kept, by session."""
        self.listener = Listener(reactor, address, self._accept, self._is_full, self._make_room)

    # Connections

    def _accept(self, sock: socket.socket) -> None:
        try:
            viewer = ViewerConnection(self, sock)
        except OSError as error:
            self.log(f"a connection can't be watched: {error}")
            return
        self.viewers[viewer] = None
        self._full_since = None

    @property
    def _connection_count(self) -> int:
        """Descriptors used by viewers' connections."""
        return len(self.viewers) + self.reactor.finishing_count

    def _is_full(self) -> bool:
        max_viewers = self._max_viewers()
        if self._descriptor_limit is not None:
            max_viewers = min(max_viewers, self._descriptor_limit)
        return self._connection_count >= max_viewers

    def _make_room(self, out_of_descriptors: bool = False) -> bool:
        """Close idle connections until there is room; False: there is none yet.

        The order is: never used, used, with established sessions (which belong to no connection); within
        each, the longest idle first. `out_of_descriptors`: no descriptor is left, and some are kept free from
        now on.
        """
        if out_of_descriptors:
            self._log_once("no descriptor is left for a connection")
            self._descriptor_limit = max(1, self._connection_count - DESCRIPTOR_HEADROOM)
        now = self.reactor.clock()
        candidates = [x for x in self.viewers if not x.pending and not x.channel.unsent_bytes]
        settled = [x for x in candidates if now - x.last_activity_at >= SETTLING_SECONDS]
        settled.sort(key=lambda x: (bool(x.established), x.trust, x.was_used, x.last_activity_at))
        closed = False
        for viewer in settled:
            if not self._is_full():
                break
            if not viewer.channel.has_unread_input():
                self._close(viewer)
                closed = True
        if self._full_since is None:
            self._full_since = now
        if not closed and candidates and now - self._full_since >= FULL_SECONDS:
            self._close(min(candidates, key=lambda x: x.last_setup_at))
            closed = True
        return closed and (out_of_descriptors or not self._is_full())

    def _close(self, viewer: ViewerConnection, last_message: bytes = b"") -> None:
        """Close a connection, after sending `last_message` if there is one."""
        if last_message:
            viewer.channel.send(last_message)
        if last_message or not self._is_full():
            viewer.channel.finish()
        else:
            viewer.channel.close()
        self.viewer_disconnected(viewer)

    def viewer_disconnected(self, viewer: ViewerConnection) -> None:
        """A connection ended: its pending set-ups are withdrawn, its established sessions continue."""
        if self.viewers.pop(viewer, False) is False:
            return
        for client in list(viewer.pending.values()):
            client.viewer = None
            self._drop_description(client)
            self.owner.viewer_left(client)
        for client in viewer.established.values():
            client.viewer = None
        viewer.pending.clear()
        viewer.established.clear()
        viewer.reader.clear()
        self.budget.change(-viewer.held_bytes)
        viewer.held_bytes = 0
        self.listener.resume()

    # Memory

    def count_buffers(self, viewer: ViewerConnection) -> None:
        """Count the bytes that a connection holds, and close others if all of them hold too many."""
        if viewer not in self.viewers:
            return
        held_bytes = viewer.reader.buffered_bytes + viewer.channel.unsent_bytes
        self.budget.change(held_bytes - viewer.held_bytes)
        viewer.held_bytes = held_bytes
        if self.budget.excess_bytes:
            self._free_buffers()

    def _free_buffers(self) -> None:
        """Close connections that hold many bytes and no open set-up: the least trusted first, and of equals
        the one that holds most."""
        self._log_once("the connections of viewers hold too much memory")
        candidates = [x for x in self.viewers if not x.pending and x.held_bytes >= MIN_EVICTED_BYTES]
        candidates.sort(key=lambda x: (x.trust, -x.held_bytes))
        for viewer in candidates:
            if not self.budget.excess_bytes:
                return
            if viewer.channel.unsent_bytes:  # it does not read
                viewer.channel.close()
                self.viewer_disconnected(viewer)
            else:
                self._close(viewer, messages.status_response(413))

    def _keep_description(self, client: ClientSession, description: bytes) -> None:
        client.description = description
        self.budget.change(DESCRIPTION_COPIES * len(description))

    def _drop_description(self, client: ClientSession) -> None:
        """No attempt of a session will be sent any more."""
        self.budget.change(-DESCRIPTION_COPIES * len(client.description))
        client.description = b""

    def _read_ahead(self, viewer: ViewerConnection) -> bool:
        """Read what a viewer has sent meanwhile; returns whether it has ended its connection."""
        buffered_bytes = viewer.reader.buffered_bytes
        arrived = viewer.channel.read_ahead(self.budget.max_input(buffered_bytes) - buffered_bytes)
        viewer.is_input_known = arrived.complete
        if arrived.data:
            viewer.reader.feed(arrived.data)
            self.reactor.defer(viewer.channel)
        return arrived.ended

    # Shutdown of the process

    def has_pending_output(self) -> bool:
        """Whether exiting now would lose something: unread bytes of viewers, unsent data, connections that
        are still being closed, pending releases, new connections that wait for room. Pending releases are
        sent if there is a connection for them."""
        self._send_pending_releases(is_last_chance=True)
        return (
            bool(self._pending_releases and self.viewers)
            or self.listener.paused
            or self.reactor.finishing_count > 0
            or any(x.channel.unsent_bytes or x.channel.has_unread_input() for x in self.viewers)
        )

    def stop_listening(self) -> bool:
        """Accept the connections in the backlog, then close the listener; False: some have no room yet."""
        if not self.listener.closed and self.listener.accept_pending():
            self.listener.close()
        return self.listener.closed

    def finish_settled(self) -> None:
        """Shut down each connection on which nothing is pending, unread or unsent, and no request is being
        written. A set-up that crosses the close is sent once more by its viewer."""
        now = self.reactor.clock()
        for viewer in list(self.viewers):
            if not (viewer.pending or viewer.channel.unsent_bytes or viewer.channel.has_unread_input()):
                partial = viewer.reader.buffered_bytes > 0
                if not partial or now - viewer.last_activity_at > PARTIAL_REQUEST_SECONDS:
                    viewer.channel.finish()
                    self.viewer_disconnected(viewer)

    def finish(self) -> None:
        """Answer what has arrived on every connection, and shut it for writing after the data queued. Later
        input is read and discarded until the channel is closed: unread bytes would reset the connection and
        discard the data sent."""
        self.listener.close()
        for viewer in list(self.viewers):
            viewer.channel.read_rest()
            viewer.channel.finish()
            self.viewer_disconnected(viewer)

    def _log_once(self, text: str) -> None:
        if text not in self._logged:
            self._logged.add(text)
            self.log(text)

    def close_malformed(self, viewer: ViewerConnection, reason: str) -> None:
        """Answer malformed input with status 400 and close the connection."""
        self._log_once(f"a viewer's bytes can't be read: {reason}")
        self._close(viewer, messages.status_response(400))

    def maintain(self) -> None:
        """Close connections that have been idle for too long, and send or drop pending releases."""
        now = self.reactor.clock()
        for viewer in list(self.viewers):
            self.count_buffers(viewer)
            quiet = now - viewer.last_activity_at
            if quiet <= SILENCE_SECONDS or viewer.pending:
                continue
            partial = viewer.reader.buffered_bytes > 0
            idle = not viewer.established and (not viewer.was_used or quiet > IDLE_SECONDS)
            # The event loop may be late: input may have been waiting in the kernel for a while.
            if not (partial or idle) or viewer.channel.has_unread_input():
                continue
            if partial:
                self.close_malformed(viewer, "half a message")
            else:
                self._close(viewer)
        if self._descriptor_limit is not None:  # other processes may have freed some
            self._descriptor_limit += 1
            if self._descriptor_limit >= self._max_viewers():
                self._descriptor_limit = None
        if self._connection_count > self._max_viewers():
            self._make_room()  # connections to hosts may exceed their share
        self._send_pending_releases()

    def _shared_connection(self, least: Trust = Trust.CONSIDERED) -> ViewerConnection | None:
        """The most trusted connection for messages without one of their own, the oldest of equals. Not one
        that its viewer has closed, even if that is unread. None: there is none with the `least` trust, and
        what is to be sent waits for one."""
        candidates = [x for x in self.viewers if x.trust >= least and not x.channel.peer_closed()]
        return max(candidates, key=lambda x: x.trust, default=None)

    def _send_pending_releases(self, is_last_chance: bool = False) -> None:
        """Send the pending releases if a connection is open for them, and drop those that have expired."""
        if not self._pending_releases:
            return
        viewer, now = self._shared_connection(Trust.TESTED), self.reactor.clock()
        is_trusted = viewer is not None and viewer.trust >= Trust.CONSIDERED
        for session, (message, expires_at) in list(self._pending_releases.items()):
            may_send = is_trusted or is_last_chance or now > expires_at - LAST_CHANCE_SECONDS
            if viewer is not None and may_send:
                self._send_release(viewer, session, message)
            elif now <= expires_at:
                continue
            del self._pending_releases[session]

    # Requests of viewers

    def handle_message(self, viewer: ViewerConnection, message: rtsp.Message) -> None:
        """Dispatch a viewer's message; of responses only the acknowledgement of a release counts."""
        if message.method == b"SETUP":
            self._handle_setup(viewer, message)
        elif message.method == b"TEARDOWN":
            client = self.sessions.get(message.session)
            if client is not None:
                viewer.channel.send(messages.status_response(200, message))
                self.owner.viewer_left(client)
            elif message.session:
                self._early_teardowns[message.session] = viewer.number
                if len(self._early_teardowns) > MAX_EARLY_TEARDOWNS:
                    self._early_teardowns.popitem(last=False)
        elif message.method == b"OPTIONS":
            viewer.was_used = viewer.was_tested = True
            viewer.channel.send(messages.status_response(200, message))
        elif not message.status:
            self._reject_request(viewer, message, "method")
        elif message.fields.get(b"cseq") == b"2":
            viewer.recent_releases.pop(message.session, None)

    def _reject_request(self, viewer: ViewerConnection, message: rtsp.Message, reason: str) -> None:
        self._log_once(f"a request is not taken: {reason}")
        viewer.error_count += 1
        if viewer.error_count >= MAX_ERRORS:
            self._close(viewer, messages.status_response(400, message))
        else:
            viewer.channel.send(messages.status_response(400, message))

    def _handle_setup(self, viewer: ViewerConnection, message: rtsp.Message) -> None:
        session = message.session
        viewer.last_setup_at = self.reactor.clock()
        if not session:
            self._reject_request(viewer, message, "Session: can't be read")
            return
        try:
            request, playing_at = messages.parse_setup(message, self.classes, self.settings)
        except messages.BadRequestError as error:
            self._reject_request(viewer, message, str(error))
            return
        known = self.sessions.get(session)
        if known is not None:
            if playing_at is None:
                self._reject_duplicate(viewer, message, known)
            return
        if playing_at is not None:
            self.handed_over_count += 1
            if self.handed_over_count > MAX_HANDED_OVER:
                self._reject_request(viewer, message, "X-Attrs: too many handed over")
                return
        if playing_at is None and self.owner.may_have_run(session):
            # Its client left and came again: a refusal would say that it never ran.
            viewer.channel.send(messages.setup_failed(session))
            return
        class_no = message.fields[b"x-tier"]
        client = ClientSession(session, viewer, class_no, request.title, b"")
        # After a TEARDOWN on the same connection it is a new set-up, which needs an answer.
        if playing_at is None and self._early_teardowns.pop(session, viewer.number) != viewer.number:
            return
        if playing_at is None and self.has_left(client):
            return  # withdrawn already: the core gets no request
        self.sessions[session] = client
        if playing_at is None:
            if self._must_refuse(viewer, message.body):
                del self.sessions[session]
                viewer.channel.send(messages.setup_refused(session, self.settings.note_delay))
                return
            self._keep_description(client, message.body)
            viewer.pending[session] = client
        else:
            client.is_pending = False
            viewer.was_used = True
            viewer.established[session] = client
        self.owner.session_requested(client, request, playing_at)

    def _must_refuse(self, viewer: ViewerConnection, description: bytes) -> bool:
        """Whether a set-up can't be taken: too many on its connection, perhaps with the end of the client
        behind them, too much memory held, or too late before the exit."""
        return (
            self.refusing
            or not viewer.is_input_known
            or len(viewer.pending) >= MAX_PENDING_SETUPS
            or not self.budget.admits(description)
        )

    def _reject_duplicate(
        self, viewer: ViewerConnection, message: rtsp.Message, known: ClientSession
    ) -> None:
        """Reject a second set-up with a known session id. If both came on one connection, it is closed."""
        if known.viewer is viewer and known.is_pending:
            self.close_malformed(viewer, "two requests under one id")
        else:
            self._reject_request(viewer, message, "Session: of another request")

    def has_left(self, client: ClientSession) -> bool:
        """Whether a session's viewer has left: its connection ended, or its unread input holds a TEARDOWN of
        the set-up. In the usual order this would be read only after hundreds of other messages, or after the
        host's event that is being handled."""
        viewer = client.viewer
        if viewer is None:
            return True
        ended = self._read_ahead(viewer)
        return ended or viewer.reader.contains_teardown(client.session)

    # Messages to viewers

    def confirm_session(self, client: ClientSession, description: bytes) -> bool:
        """Answer a set-up with the host's description; False: the viewer's connection is gone."""
        viewer = client.viewer
        if viewer is None or viewer.channel.peer_closed():
            return False
        client.is_pending = False
        self._drop_description(client)
        viewer.pending.pop(client.session, None)
        viewer.established[client.session] = client
        viewer.was_used = viewer.was_served = True
        self._note_activity(viewer)
        viewer.channel.send(messages.setup_succeeded(client.session, description))
        self._send_pending_releases()  # they may have waited for a connection of a viewer
        return True

    def note_host_refusal(self, client: ClientSession, usable: bool) -> None:
        """A media host refused a set-up. `usable`: for want of room, else because it can't use it."""
        if client.viewer is not None:
            client.viewer.host_refusals += usable
            client.viewer.host_errors += not usable

    def _note_activity(self, viewer: ViewerConnection) -> None:
        """Note that something is sent on a connection; without pending set-ups it may be closed to make
        room."""
        viewer.last_activity_at = self.reactor.clock()
        if not viewer.pending:
            self.listener.resume()

    def reject_setup(self, client: ClientSession, message: bytes) -> None:
        """Send the final answer of a set-up that failed or was refused."""
        client.is_pending = False
        self._drop_description(client)
        if client.viewer is not None:
            client.viewer.pending.pop(client.session, None)
            self._note_activity(client.viewer)
            client.viewer.channel.send(message)

    def send_to_viewer(self, client: ClientSession, message: bytes) -> None:
        """Send a release or a redirect on the session's own connection, else on any in use, else later."""
        viewer = client.viewer
        if viewer is None or viewer.channel.peer_closed():  # what is sent on a closing one is lost
            viewer = self._shared_connection()
        if viewer is not None:
            self._note_activity(viewer)
            self._send_release(viewer, client.session, message)
        else:
            self._defer_release(client.session, message)

    def _send_release(self, viewer: ViewerConnection, session: bytes, message: bytes) -> None:
        viewer.channel.send(message)
        viewer.recent_releases[session] = (message, self.reactor.clock())
        if len(viewer.recent_releases) > MAX_RECENT_RELEASES:
            viewer.recent_releases.popitem(last=False)

    def _defer_release(self, session: bytes, message: bytes) -> None:
        self._pending_releases[session] = (message, self.reactor.clock() + PENDING_RELEASE_SECONDS)

    def repeat_releases(self, ended: ViewerConnection) -> None:
        """Send the releases that may have crossed the end of a viewer's connection on another one."""
        since = self.reactor.clock() - CROSSING_SECONDS
        for session, (message, sent_at) in ended.recent_releases.items():
            if sent_at >= since:
                self._defer_release(session, message)
        self._send_pending_releases()

    def forget_session(self, client: ClientSession) -> None:
        """Remove a session that has ended."""
        self._drop_description(client)
        if self.sessions.get(client.session) is client:
            del self.sessions[client.session]
        if client.viewer is not None:
            client.viewer.pending.pop(client.session, None)
            client.viewer.established.pop(client.session, None)
            self._note_activity(client.viewer)

"""One connection to a media host: reads its messages and passes them on to `hosts.py`."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..core.connection_health import UnansweredRequests
from ..core.outcomes import Phase
from ..net.reactor import Channel
from ..wire import rtsp

if TYPE_CHECKING:
    from .hosts import Host

CLOSE_SECONDS = 0.6
"""Seconds to wait for a host's close of a connection that was closed from here: either may take 0.25 s."""
MAX_MESSAGES = 32
"""Messages of one connection that are handled in one iteration of the event loop."""
PARTIAL_MESSAGE_SECONDS = 0.25
"""Seconds to wait for the rest of a partial message. A message that is shorter than its length says would
swallow what follows it: releases of other sessions would be read as part of its body."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to set up a session at a host; `number`: the core's number of the request."""

    number: int
    attempt: int
    session: bytes
    message: bytes
    link: Link | None = None
    offset: int = 0
    """Bytes that were queued on its connection before it."""
    queued_at: float = 0.0
    """When it was queued on its connection (seconds of the reactor's clock)."""
    resent: bool = False


class Link:
    """One connection to a host; handler of its channel."""

    def __init__(self, host: Host, timeout: float) -> None:
        """Raises OSError if the connection can't be started. `timeout`: seconds for connecting."""
        self.host = host
        self.reader = rtsp.Reader()
        self.attempts: dict[bytes, Attempt] = {}
        self.recent_sessions: OrderedDict[bytes, None] = OrderedDict()
        """Session ids of the set-ups sent on this connection, oldest first."""
        self.probes: dict[bytes, float] = {}
        self.draining = False
        """Accepts nothing new; closed once nothing depends on it."""
        self.connected_at: float | None = None
        self.last_used_at = host.pool.reactor.clock()
        """When something was last sent: the host's timeout for idle connections may start here."""
        self.partial_since: float | None = None
        self.unanswered = UnansweredRequests(host.pool.answered_kinds)
        self.opened_at = self.last_received_at = self.last_used_at
        self.is_suspect = False
        """Whether an answer is missing and nothing was received since: it may be of no further use."""
        self.is_retired = False
        """Whether its writing side is closed, and the host's close is awaited."""
        self.channel = Channel.open(host.pool.reactor, host.address, self, timeout)

    def send(self, data: bytes) -> None:
        """Queue bytes and note the time of use."""
        self.last_used_at = self.host.pool.reactor.clock()
        self.channel.send(data)

    def connection_made(self) -> None:
        """Report to the host that the connection is established."""
        self.connected_at = self.last_received_at = self.host.pool.reactor.clock()
        self.host.link_connected(self)

    @property
    def is_usable(self) -> bool:
        """Whether messages may be sent on it."""
        return self.channel.is_connected and not (self.channel.closed or self.draining or self.is_suspect)

    @property
    def is_reusable(self) -> bool:
        """Whether a new set-up can be sent without crossing anything: the host's close of an idle connection,
        unread bytes, a partial message, or data that the host does not read."""
        now, channel = self.host.pool.reactor.clock(), self.channel
        if (
            now - self.last_used_at >= self.host.pool.reuse_seconds
            or self.reader.buffered_bytes
            or channel.unsent_bytes
        ):
            return False
        return not channel.is_stale()

    def data_received(self, data: bytes) -> bool:
        """Handle the messages in `data`; returns whether more are buffered."""
        self.last_received_at = self.host.last_received_at = self.host.pool.reactor.clock()
        self.host.failing_since, self.is_suspect = None, False
        try:
            more = self.reader.read_messages(data, MAX_MESSAGES, self._handle_message)
        except rtsp.RtspError as error:
            self.host.link_malformed(self, str(error))
            return False
        if not more and not self.channel.closed:
            self._watch_partial_message()
        return more

    def _handle_message(self, message: rtsp.Message) -> bool:
        self.partial_since = None
        self.host.handle_message(self, message)
        return not self.channel.closed

    def _watch_partial_message(self) -> None:
        """Start the timeout for the rest of a partial message."""
        reactor = self.host.pool.reactor
        if self.reader.buffered_bytes and self.partial_since is None:
            self.partial_since = reactor.clock()
            reactor.call_at(self.partial_since + PARTIAL_MESSAGE_SECONDS, self._partial_message_timed_out)

    def _partial_message_timed_out(self) -> None:
        since, now = self.partial_since, self.host.pool.reactor.clock()
        if not self.channel.closed and since is not None and now - since >= PARTIAL_MESSAGE_SECONDS:
            self.host.link_malformed(self, "a message that stops short")

    def retire(self) -> None:
        """Close the writing side: the host's own close then proves that all it has written has arrived. If it
        does not come within `CLOSE_SECONDS`, the connection is closed without that proof."""
        self.is_retired = self.draining = True
        if self.channel.unsent_bytes:
            self.host.link_not_closed(self)
            return
        self.channel.end_writing()
        reactor = self.host.pool.reactor
        reactor.call_at(reactor.clock() + CLOSE_SECONDS, lambda: self.host.link_not_closed(self))

    def connection_lost(self, cause: str) -> None:
        """Report the end of the connection to the host."""
        self.host.link_lost(self, cause)

    def phase(self, attempt: Attempt) -> Phase:
        """How far an attempt of this connection got: not connected, unsent, or (partly) sent."""
        if not self.channel.is_connected:
            return Phase.CONNECT
        return Phase.SENT if self.channel.bytes_sent > attempt.offset else Phase.UNSENT

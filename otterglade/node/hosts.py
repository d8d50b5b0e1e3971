"""Connections to media hosts: set-ups, established sessions, load probes and detection of lost hosts.

A malformed answer makes its connection unusable, also for the other set-ups pending on it. A set-up therefore
gets a connection of its own while descriptors allow, and probes, rung changes and releases use another one,
the host's control connection. Established sessions belong to the host and not to a connection: messages about
them are accepted on any connection of the host.

These hosts speak RTSP to the platform's gateway process (`node/`); `gateway/hosts.py` is the HTTP client
of the other gateway process (`gateway/`). Both run the placement of `core/policy.py`.
"""

from __future__ import annotations

import math
import os
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..core import interface as api
from ..core.connection_health import AnsweredKinds, RepeatSchedule, RequestKind
from ..core.outcomes import FailureKind, Phase, outcome_of_failure
from ..net.reactor import Address, Reactor
from ..wire import rtsp
from . import messages
from .host_links import Attempt, Link

MAX_IDLE_LINKS = 2
"""Idle connections kept open per host in addition to its control connection."""
IDLE_SECONDS = 3.0
"""Seconds after which further idle connections are closed."""
SILENCE_SECONDS = 2.5
"""Seconds without a byte from a host with sessions, after which a new connection checks whether it is alive:
a machine that disappeared sends nothing, and its sessions must be released within 8 s."""
FAILING_SECONDS = 2.5
"""Seconds without a successful connection after which the sessions of a silent host count as lost."""
RECONNECT_SECONDS = 0.3
"""Seconds between two connection attempts to a failing host."""
LATE_ANSWER_SECONDS = 1.0
"""Seconds for which a late answer to a cancelled set-up is expected, to release the session it reports."""
CROSSING_SECONDS = 0.25
"""Seconds that a message and the answer that crosses it may be on their way."""
MAX_REMEMBERED = 1024
"""Entries kept per host in each of: cancelled set-ups, pending releases, ended sessions, early rungs."""
IDLE_CLOSE_MARGIN_SECONDS = 1.0
"""Seconds before a host closes an idle connection during which nothing more is sent on it: a message and the
close each take up to 0.25 s on the network, and the event loop of either end may be late by as much. A
message that crosses the close is accepted by the kernel and then reset, which leaves it unknown whether a
paid set-up ran."""
MAX_RECENT_SESSIONS = 64
"""Session ids remembered per connection after their set-up ended: a duplicate answer may come some
milliseconds late, and a further attempt has the same id."""
END_MEMORY_SECONDS = 30.0
"""Seconds for which the end or the rung of a session is remembered: its hand-over may arrive some seconds
after another gateway's failure. Session ids are never reused, so the value only bounds memory."""
PENDING_RELEASE_SECONDS = 8.0
"""Seconds for which connections are opened only to send releases; after that the session counts as ended by
the rules."""


class Owner(Protocol):
    """Receives the events of the media hosts, and is consulted before a new set-up is sent."""

    def is_wanted(self, number: int) -> bool:
        """Whether the viewer of request `number` still waits for its set-up."""

    def session_established(self, number: int, attempt: int, description: bytes) -> None:
        """A host accepted an attempt; `description` is the body of its response."""
        ...

    def attempt_ended(self, number: int, attempt: int, outcome: api.Outcome, load: api.Load | None) -> None:
        """An attempt, or the session that it established, ended; `load`: reported with the end, if any."""
        ...

    def note_received(self, server: int, number: int | None, message: rtsp.Message) -> None:
        """A host sent an ANNOUNCE; `number`: the session that it names, None: an unknown one."""
        ...

    def rung_reported(self, number: int, rung: int) -> None:
        """A rung was reported before the hand-over of its session."""
        ...

    def probe_answered(self, server: int, outcome: api.Outcome, took: float, load: api.Load | None) -> None:
        """A load probe ended after `took` seconds."""
        ...


@dataclass(frozen=True, slots=True)
class EstablishedSession:
    """A session that plays at a host."""

    number: int
    attempt: int
    established_at: float


@dataclass(frozen=True, slots=True)
class SentRung:
    """A rung that was sent for a session, which wants no answer; `sent_at`: seconds."""

    number: int
    link: Link
    sent_at: float


class Host:
    """One media host: its connections, pending attempts and established sessions."""

    def __init__(self, pool: HostPool, number: int, name: str, address: Address) -> None:
        self.pool, self.number, self.name, self.address = pool, number, name, address
        self.started = 0.0
        self.is_unlisted = False
        """Whether the current host list no longer contains it."""
        self.draining = False
        self.links: list[Link] = []
        self.control: Link | None = None
        self._successor: Link | None = None
        """Takes the place of the control connection of a silent host once it is established."""
        self.attempts: dict[bytes, Attempt] = {}
        self.established: dict[bytes, EstablishedSession] = {}
        self.cancelled: OrderedDict[bytes, float] = OrderedDict()
        """Cancelled set-ups and the times of cancellation: a late positive answer to one is released."""
        self.pending_releases: dict[bytes, float] = {}
        """Releases to send on the next established connection, and since when they are pending."""
        self.pending_rungs: dict[bytes, int] = {}
        """Rungs to send again on the next established connection."""
        self.unacknowledged_releases: OrderedDict[bytes, tuple[Link, float]] = OrderedDict()
        """Releases that were sent and not yet answered, and since when they are due: they may not have
        arrived."""
        self.repeats = RepeatSchedule()
        self.not_closed_at: float | None = None
        """When a suspect connection was closed without proof that the host knows: it may still report there
        what concerns the sessions of that time."""
        self.ended_sessions: OrderedDict[bytes, tuple[float, api.Outcome]] = OrderedDict()
        """Ended sessions, the time and the outcome: a host reports an end again on its next connection, and
        the hand-over of a session may come after its end."""
        self.early_rungs: OrderedDict[bytes, tuple[float, int]] = OrderedDict()
        """Rungs reported for unknown sessions, and when: a host reports them as soon as a connection is
        established, while hand-overs are still being read."""
        self.rungs: dict[bytes, SentRung] = {}
        """The last rung sent for each session: its connection may not have delivered it."""
        self.last_received_at = pool.reactor.clock()
        self.failing_since: float | None = None
        """Since when no connection could be established; None: the last one could."""
        self.retry_at = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether the host has neither pending attempts nor sessions."""
        return not (self.attempts or self.established)

    # Set-ups

    def may_send(self, attempt: Attempt) -> bool:
        """Whether a set-up may be sent to this host now. Checked before its first byte is sent: by the time a
        connection is established, the host may be draining or the viewer may have left."""
        return not self.is_unlisted and not self.draining and self.pool.owner.is_wanted(attempt.number)

    def start_attempt(self, attempt: Attempt) -> None:
        """Send an attempt; the owner is notified of its success or end."""
        self.attempts[attempt.session] = attempt
        link = self._select_link(attempt.session) if self.may_send(attempt) else None
        if link is None:
            # Not allowed any more, or no descriptor is available: nothing was sent.
            self.pool.reactor.call_soon(lambda: self._report_unsent(attempt))
            return
        self.cancelled.pop(attempt.session, None)
        self.pending_releases.pop(attempt.session, None)
        self.unacknowledged_releases.pop(attempt.session, None)
        attempt.link, attempt.offset, attempt.queued_at = (
            link,
            link.channel.bytes_queued,
            self.pool.reactor.clock(),
        )
        link.attempts[attempt.session] = attempt
        link.unanswered.add(attempt.session, RequestKind.SETUP, attempt.queued_at)
        link.recent_sessions[attempt.session] = None
        if len(link.recent_sessions) > MAX_RECENT_SESSIONS:
            link.recent_sessions.popitem(last=False)
        link.send(attempt.message)

    def _report_unsent(self, attempt: Attempt) -> None:
        if self.attempts.get(attempt.session) is attempt and attempt.link is None:
            self._finish_attempt(attempt, api.Outcome.SKIPPED)

    def _withdraw_unsent(self, link: Link) -> None:
        """End attempts of which no byte was sent and that may not be sent any more. Queued bytes can only be
        withdrawn by closing the connection, which ends its other attempts as well."""
        unsent = [
            x for x in link.attempts.values() if link.phase(x) is not Phase.SENT and not self.may_send(x)
        ]
        for attempt in unsent:
            del link.attempts[attempt.session]
        if unsent:
            self._close_link(link, FailureKind.BROKEN)
        for attempt in unsent:
            self._finish_attempt(attempt, api.Outcome.SKIPPED)

    def withdraw_unsent_attempts(self) -> None:
        """End all unsent attempts as never run, because the host drains or is gone. Waiting for a connection
        that is established late, and for a second one after it, could exceed the
        grace period of the drain."""
        for link in list(self.links):
            self._withdraw_unsent(link)

    def _select_link(self, session: bytes) -> Link | None:
        usable = [x for x in self.links if x.is_usable and session not in x.recent_sessions]
        for link in usable:
            if link is not self.control and not link.attempts and not link.probes and link.is_reusable:
                return link
        if len(self.links) < self.pool.max_links_per_host() and self.pool.has_room():
            opened = self._open_link()
            if opened is not None:
                return opened
        return (
            min((x for x in usable if x.is_reusable), key=lambda x: len(x.attempts), default=None)
            or self._open_link()
        )

    def _open_link(self) -> Link | None:
        try:
            link = Link(self, self.pool.connect_timeout)
        except OSError as error:
            self.pool.log(f"{self.name}: can't connect: {error}")
            return None
        self.links.append(link)
        return link

    def cancel_attempt(self, session: bytes, late: bool) -> None:
        """Cancel an attempt; the owner is notified of its end. `late`: its time is up, else the viewer
        left."""
        attempt = self.attempts.get(session)
        if attempt is None:
            return
        link = attempt.link
        failure = FailureKind.TIMED_OUT if late else FailureKind.CANCELLED
        if link is None or link.channel.closed:
            self._finish_attempt(attempt, outcome_of_failure(Phase.CONNECT, failure))
            return
        phase = link.phase(attempt)
        outcome = outcome_of_failure(phase, failure)
        del link.attempts[session]
        if phase is Phase.SENT:
            link.send(messages.teardown(session, None))
            link.unanswered.cancel(session, self.pool.reactor.clock(), late)
            self.cancelled[session] = self.pool.reactor.clock()
            if len(self.cancelled) > MAX_REMEMBERED:
                self.cancelled.popitem(last=False)
        if late:
            link.draining = True  # no answer came: the connection may be unusable
        # A message behind unsent bytes can't cancel them: closing the connection does, which ends the other
        # attempts on it as well.
        if link.channel.unsent_bytes:
            self._close_link(link, FailureKind.BROKEN)
        self._finish_attempt(attempt, outcome)

    def _finish_attempt(self, attempt: Attempt, outcome: api.Outcome, load: api.Load | None = None) -> None:
        if self.attempts.get(attempt.session) is attempt:
            del self.attempts[attempt.session]
            self.rungs.pop(attempt.session, None)
        if attempt.link is not None:
            attempt.link.attempts.pop(attempt.session, None)
        self.pool.owner.attempt_ended(attempt.number, attempt.attempt, outcome, load)

    # Established sessions

    def add_session(self, session: bytes, established: EstablishedSession) -> None:
        """Track an established session and keep a control connection for it."""
        self.established[session] = established
        self.ensure_control()

    def take_over(self, session: bytes, established: EstablishedSession) -> None:
        """Track a session that was set up through another gateway; its end or its rung may have been reported
        before."""
        self.add_session(session, established)
        if session in self.ended_sessions:
            del self.established[session]
            _, outcome = self.ended_sessions[session]
            self.pool.owner.attempt_ended(established.number, established.attempt, outcome, None)
        elif session in self.early_rungs:
            _, rung = self.early_rungs.pop(session)
            self.pool.owner.rung_reported(established.number, rung)

    def end_session(self, session: bytes, message: bytes | None = None) -> None:
        """Release a session, or what may be left of one. It stays tracked until the host confirms the end.
        `message`: the message to send, by default a TEARDOWN."""
        if not self._send_or_defer_release(session, message):
            self.ensure_control()

    def _send_or_defer_release(self, session: bytes, message: bytes | None = None) -> bool:
        """Send a release; False: no connection is established, and it is sent on the next one."""
        self._remember_end(session, api.Outcome.CANCELLED)
        link = self._message_link()
        if link is not None:
            self._send_release(link, session, message)
        else:
            self._defer_release(session, self.pool.reactor.clock())
        return link is not None

    def _send_release(
        self, link: Link, session: bytes, message: bytes | None = None, since: float | None = None
    ) -> None:
        """Send a release. `message`: one that wants no answer, by default a TEARDOWN; `since`: when it became
        due, if it is sent again."""
        link.send(message or messages.teardown(session, 31))
        if message is None:
            link.unanswered.add(session, RequestKind.RELEASE, link.last_used_at)
        self.unacknowledged_releases[session] = link, link.last_used_at if since is None else since
        self.unacknowledged_releases.move_to_end(session)
        if len(self.unacknowledged_releases) > MAX_REMEMBERED:
            self.unacknowledged_releases.popitem(last=False)

    def _defer_release(self, session: bytes, since: float) -> None:
        if len(self.pending_releases) < MAX_REMEMBERED:
            self.pending_releases[session] = since

    def forget_pending_releases(self) -> None:
        """Drop the releases meant for a previous process of the host, so that they don't reach the new
        one."""
        self.pending_releases.clear()
        self.cancelled.clear()

    def forget_session(self, session: bytes) -> None:
        """Stop tracking a session."""
        self.established.pop(session, None)
        self.rungs.pop(session, None)

    def set_rung(self, session: bytes, number: int) -> None:
        """Send a rung for a session, on the connection of its set-up if that is pending."""
        attempt = self.attempts.get(session)
        link = attempt.link if attempt is not None else self._message_link()
        if link is None and attempt is None:
            self.ensure_control()
            link = self.control
        if link is not None:
            link.send(messages.set_rung(session, number))
            self.rungs[session] = SentRung(number, link, link.last_used_at)

    def _message_link(self) -> Link | None:
        """The connection for messages that belong to no particular one; None: there is none."""
        usable = [x for x in self.links if x.is_usable and not self._may_be_closed(x)]
        if self.control in usable:
            return self.control
        return next(iter(usable), None)

    def _may_be_closed(self, link: Link) -> bool:
        """Whether the host may be closing a link as idle: a release that crosses the close would be lost."""
        return self.pool.reactor.clock() - link.last_used_at >= self.pool.reuse_seconds

    def ensure_control(self) -> None:
        """Open a control connection if there is none that is usable."""
        control = self.control
        if (
            control is not None
            and self._may_be_closed(control)
            and not control.probes
            and not control.attempts
        ):
            control.draining, self.control = True, None
        now = self.pool.reactor.clock()
        if self.is_replaced or now < self.retry_at:
            return
        if self.control is None:
            self.control = self._open_link()
        elif not self.control.is_usable and now >= self.repeats.next_at and self._all_connected():
            self._open_link()  # takes its place once it is established

    def _all_connected(self) -> bool:
        return all(x.channel.is_connected for x in self.links)

    @property
    def is_replaced(self) -> bool:
        """Whether another host has this address now, so that connections would not reach this one."""
        return self.is_unlisted and self.pool.is_address_reused(self)

    def has_unsettled_sessions(self, now: float) -> bool:
        """As in `HostPool.has_unsettled_sessions`."""
        cancelled = next(reversed(self.cancelled.values()), -math.inf)
        deferred = max(self.pending_releases.values(), default=-math.inf)
        return (
            now - cancelled < CROSSING_SECONDS
            or now - deferred < self.pool.connect_timeout + CROSSING_SECONDS
        )

    # Load probes

    def probe(self) -> None:
        """Request the host's load; the owner gets the result."""
        now = self.pool.reactor.clock()
        self.ensure_control()
        link = self.control
        if link is None:
            self.pool.reactor.call_soon(
                lambda: self.pool.owner.probe_answered(self.number, api.Outcome.REFUSED, 0.0, None)
            )
            return
        session = os.urandom(8).hex().encode("ascii")
        link.probes[session] = now
        link.unanswered.add(session, RequestKind.PROBE, now)
        link.send(messages.load_probe(session))
        self.pool.reactor.call_at(
            now + self.pool.connect_timeout, lambda: self._probe_timed_out(link, session)
        )

    def _probe_timed_out(self, link: Link, session: bytes) -> None:
        sent_at = link.probes.pop(session, None)
        if sent_at is not None:
            took = self.pool.reactor.clock() - sent_at
            outcome = api.Outcome.TIMED_OUT if link.channel.is_connected else api.Outcome.REFUSED
            self.pool.owner.probe_answered(self.number, outcome, took, None)

    # Messages received

    def handle_message(self, link: Link, message: rtsp.Message) -> None:
        """Dispatch a message of the host."""
        if message.status:
            self._handle_response(link, message)
        elif message.method == b"TEARDOWN":
            self._handle_teardown(message)
        elif message.method == b"ANNOUNCE":
            self._handle_announce(message)

    def _handle_response(self, link: Link, message: rtsp.Message) -> None:
        session, status = message.session, message.status
        if status < 200:
            return
        link.unanswered.answer(session)
        if message.fields.get(b"cseq") == b"2":
            self.unacknowledged_releases.pop(session, None)
        sent_at = link.probes.pop(session, None)
        if sent_at is not None:
            took = self.pool.reactor.clock() - sent_at
            outcome = api.Outcome.DONE if status == 200 else api.Outcome.ERROR
            self.pool.owner.probe_answered(self.number, outcome, took, messages.parse_load(message))
            return
        attempt = link.attempts.get(session)
        if attempt is None or message.fields.get(b"cseq") != b"1":
            # An unknown id, a duplicate, or a late answer to a cancelled set-up: only the last is acted on.
            if status == 200 and message.fields.get(b"cseq") == b"1" and session in self.cancelled:
                del self.cancelled[session]
                self.end_session(session)
            return
        if status != 200:
            outcome = messages.OUTCOME_BY_STATUS.get(status, api.Outcome.ERROR)
            self._finish_attempt(attempt, outcome, messages.parse_load(message))
        elif not rtsp.is_description(message.body) or not link.reader.rest_is_plausible():
            self.link_malformed(link, "an answer whose description is not whole")
        else:
            del link.attempts[session], self.attempts[session]
            self.add_session(
                session, EstablishedSession(attempt.number, attempt.attempt, self.pool.reactor.clock())
            )
            self.pool.owner.session_established(attempt.number, attempt.attempt, message.body)

    def _handle_teardown(self, message: rtsp.Message) -> None:
        session, cause = message.session, message.cause or 0
        self.unacknowledged_releases.pop(session, None)
        for link in self.links:
            link.unanswered.discard(session)
        attempt, established = self.attempts.get(session), self.established.pop(session, None)
        outcome, load = messages.OUTCOME_BY_CAUSE.get(cause, api.Outcome.RESET), messages.parse_load(message)
        if established is not None:
            self._remember_end(session, outcome)
            self.pool.owner.attempt_ended(established.number, established.attempt, outcome, load)
        elif attempt is None:
            self._remember_end(session, outcome)
        elif session not in self.ended_sessions or cause not in messages.OUTCOME_BY_CAUSE:
            # Otherwise it repeats, on a new connection, the end of an earlier session with this id.
            self._finish_attempt(attempt, api.Outcome.RESET, load)

    def _handle_announce(self, message: rtsp.Message) -> None:
        established = self.established.get(message.session)
        if established is None:
            self._store_early_rung(message)
        elif isinstance(messages.parse_note(message, self.number), int):
            self.rungs.pop(message.session, None)  # the host has it, or has chosen another since
        self.pool.owner.note_received(self.number, established.number if established else None, message)

    def _store_early_rung(self, message: rtsp.Message) -> None:
        """Store the rung of an unknown session, as its hand-over may not have been read yet."""
        rung = messages.parse_note(message, self.number)
        if isinstance(rung, int) and message.session and message.session not in self.ended_sessions:
            self.early_rungs[message.session] = self.pool.reactor.clock(), rung
            self.early_rungs.move_to_end(message.session)
            if len(self.early_rungs) > MAX_REMEMBERED:
                self.early_rungs.popitem(last=False)

    def _remember_end(self, session: bytes, outcome: api.Outcome) -> None:
        if session:
            self.ended_sessions[session] = self.pool.reactor.clock(), outcome
            self.ended_sessions.move_to_end(session)
            if len(self.ended_sessions) > MAX_REMEMBERED:
                self.ended_sessions.popitem(last=False)

    # Connection state

    def link_connected(self, link: Link) -> None:
        """Send the pending releases on a connection that was just established."""
        self.failing_since, self.retry_at = None, 0.0
        self.last_received_at = self.pool.reactor.clock()
        self._withdraw_unsent(link)
        if link.channel.closed:
            return
        self.repeats.connection_established(link.opened_at)
        if link is self._successor and self.control is not None:
            self.control.draining, self.control.last_used_at = True, self.last_received_at
            self.control = link
        elif self.control is not None and not self.control.is_usable and not link.attempts:
            self.control = link
        self._send_pending()

    def link_malformed(self, link: Link, reason: str) -> None:
        """Close a connection with unreadable bytes or an incomplete answer: nothing on it can be trusted."""
        self.pool.log(f"{self.name}: {reason}")
        self._close_link(link, FailureKind.MALFORMED)
        self._send_pending()
        self._report_loss()

    def link_not_closed(self, link: Link) -> None:
        """Close a retired connection whose host did not close it in time."""
        if link.channel.closed:
            return
        self._close_link(link, FailureKind.BROKEN)
        self._send_pending()
        if link.is_suspect:
            self.not_closed_at = self.pool.reactor.clock()
            self._report_loss(suspected=True)

    def _report_loss(self, suspected: bool = False) -> None:
        """The host may have reported something on a connection that has ended without delivering it.
        `suspected`: for a while already."""
        now = self.pool.reactor.clock()
        if suspected:
            self.repeats.report_suspicion(now)
        else:
            self.repeats.report_loss(now)
        self._open_due_link(now)

    def _open_due_link(self, now: float) -> None:
        """Open a connection on which the host repeats what it could not deliver, if one is due."""
        if not self.established:
            self.repeats.reset()
            self.not_closed_at = None
            return
        still_losing = any(x.is_suspect for x in self.links) or self._may_report_on_closed_link()
        is_due = now >= max(self.repeats.due_at(still_losing), self.retry_at)
        if is_due and not self.is_replaced and self._all_connected():
            link = self._open_link()
            self.control = self.control or link

    def _may_report_on_closed_link(self) -> bool:
        """Whether a session stands from a time when the host may not have known of a connection's close."""
        oldest = next(iter(self.established.values()), None)
        return oldest is not None and oldest.established_at <= (self.not_closed_at or -math.inf)

    def link_lost(self, link: Link, cause: str) -> None:
        """Handle the end of a connection; `cause` as in `Handler.connection_lost`."""
        failure = {"refused": FailureKind.REFUSED, "timed out": FailureKind.TIMED_OUT}.get(
            cause, FailureKind.BROKEN
        )
        was_connected, was_suspect = link.channel.is_connected, link.is_suspect
        self._close_link(link, failure)
        if was_connected:
            self._send_pending()
            if cause == "reset" or was_suspect:
                self._report_loss(suspected=was_suspect)
            elif not self.is_idle:
                self.ensure_control()
            return
        now = self.pool.reactor.clock()
        self.retry_at = now + RECONNECT_SECONDS
        open_links = [x for x in self.links if x.channel.is_connected and not x.is_retired]
        # A listed host may refuse a further connection and go on with those that it has: the connections of a
        # process that has died are reset. A host that is no longer listed is gone, though its last
        # connections may be closed later or never.
        if cause == "refused" and (self.is_unlisted or not open_links):
            self.close()
            self.mark_lost("takes no connections", silent=False)
        elif not open_links or now - self.last_received_at > SILENCE_SECONDS:
            self.failing_since = now if self.failing_since is None else self.failing_since
            if cause == "refused" and self.pool.may_probe:
                self._check_open_link(self.control if self.control in open_links else open_links[0])

    def _check_open_link(self, link: Link | None) -> None:
        """Ask a host that refuses connections for a sign of life on one that is open."""
        if link is not None:
            session = os.urandom(8).hex().encode("ascii")
            link.unanswered.add(session, RequestKind.PROBE, self.pool.reactor.clock())
            link.send(messages.load_probe(session))

    def _close_link(self, link: Link, failure: FailureKind, resend: bool = True) -> None:
        """Close a connection, or account for one that ended.

        `resend`: unsent attempts may be sent on another connection; not if the host is lost or has moved, as
        that would reach another host, or none.
        """
        link.channel.close()
        self._remove_link(link)
        self._end_link_attempts(link, failure, resend)

    def _end_link_attempts(self, link: Link, failure: FailureKind, resend: bool) -> None:
        """End the attempts and probes of a closed connection."""
        attempts, probes = list(link.attempts.values()), list(link.probes.values())
        link.attempts.clear()
        link.probes.clear()
        now = self.pool.reactor.clock()
        for attempt in attempts:
            phase = link.phase(attempt)
            if phase is Phase.SENT and (failure is FailureKind.MALFORMED or link.reader.buffered_bytes):
                phase = Phase.ANSWER
            if phase is Phase.UNSENT and resend and not attempt.resent:
                # The connection ended before a byte of this set-up was sent: send the same attempt once more.
                attempt.resent, attempt.link = True, None
                self.start_attempt(attempt)
                continue
            if phase is Phase.ANSWER or phase is Phase.SENT:
                self._send_or_defer_release(attempt.session)  # it may have set up a session
            self._finish_attempt(attempt, outcome_of_failure(phase, failure))
        self._repeat_messages(link)
        self._release_cancelled_setups(link)
        link.reader.clear()  # the link is remembered for a while with the rungs and releases sent on it
        outcome = outcome_of_failure(Phase.SENT if link.channel.is_connected else Phase.CONNECT, failure)
        for sent_at in probes:
            self.pool.owner.probe_answered(self.number, outcome, now - sent_at, None)

    def _repeat_messages(self, link: Link) -> None:
        """Note the releases and rungs as pending that may not have arrived on a connection."""
        now = self.pool.reactor.clock()
        for session, (sent_on, since) in list(self.unacknowledged_releases.items()):
            if sent_on is link:
                del self.unacknowledged_releases[session]
                if now - since < PENDING_RELEASE_SECONDS:
                    self._defer_release(session, since)
        for session, rung in self.rungs.items():
            if rung.link is link and rung.sent_at >= link.last_received_at - CROSSING_SECONDS:
                self.pending_rungs[session] = rung.number

    def _release_cancelled_setups(self, link: Link) -> None:
        """Note releases as pending of what cancelled set-ups may have left at the host, if it may not have
        read the cancellations."""
        for session in link.unanswered.cancelled_setups():
            link.unanswered.discard(session)
            if session not in self.attempts and session not in self.established:
                self._remember_end(session, api.Outcome.CANCELLED)
                self._defer_release(session, self.pool.reactor.clock())

    def _send_pending(self) -> None:
        """Send the pending releases and rungs, if there is a connection for them."""
        if not (self.pending_releases or self.pending_rungs):
            return
        link = self._message_link()
        if link is None:
            return
        releases, self.pending_releases = self.pending_releases, {}
        for session, since in releases.items():
            self._send_release(link, session, since=since)
        rungs, self.pending_rungs = self.pending_rungs, {}
        for session, number in rungs.items():
            if session in self.established:
                self.set_rung(session, number)

    def _remove_link(self, link: Link) -> None:
        if link in self.links:
            self.links.remove(link)
        if self.control is link:
            self.control = None

    def mark_lost(self, reason: str, silent: bool) -> None:
        """End all sessions of a host whose process is gone, or presumed gone.

        `silent`: it may only be unreachable, so releases are kept for it.
        """
        self.failing_since = None
        sessions, self.established = self.established, {}
        if sessions:
            self.pool.log(f"{self.name}: {reason}: {len(sessions)} sessions are over")
        for session, established in sessions.items():
            if silent:
                self._defer_release(session, self.pool.reactor.clock())  # it may only have been unreachable
            self.pool.owner.attempt_ended(established.number, established.attempt, api.Outcome.RESET, None)

    def handle_restart(self, since: float) -> None:
        """End everything older than the start `since` (Unix seconds) that the host list reports: sessions,
        and attempts on connections to the old process, also if its machine disappeared without closing
        them."""
        still_pending = {x: sent_at for x, sent_at in self.pending_releases.items() if sent_at >= since}
        old = [x for x in self.links if x.connected_at is not None and x.connected_at < since]
        for link in old:
            self._remove_link(link)
        for link in old:
            self._close_link(link, FailureKind.BROKEN, resend=False)
        self.forget_pending_releases()
        self.pending_releases.update(still_pending)
        for session, established in list(self.established.items()):
            if established.established_at < since:
                del self.established[session]
                self.pool.owner.attempt_ended(
                    established.number, established.attempt, api.Outcome.RESET, None
                )

    def close(self) -> None:
        """Close all connections; unsent attempts end and are not sent again."""
        links, self.links, self.control = self.links, [], None
        for link in links:
            self._close_link(link, FailureKind.BROKEN, resend=False)

    # Periodic maintenance

    def maintain(self, now: float) -> None:
        """Expire remembered entries, close idle connections, and check a silent host that has sessions."""
        while self.cancelled and next(iter(self.cancelled.values())) < now - LATE_ANSWER_SECONDS:
            self.cancelled.popitem(last=False)
        while self.ended_sessions and next(iter(self.ended_sessions.values()))[0] < now - END_MEMORY_SECONDS:
            self.ended_sessions.popitem(last=False)
        while self.early_rungs and next(iter(self.early_rungs.values()))[0] < now - END_MEMORY_SECONDS:
            self.early_rungs.popitem(last=False)
        while (
            self.unacknowledged_releases
            and next(iter(self.unacknowledged_releases.values()))[1] < now - PENDING_RELEASE_SECONDS
        ):
            self.unacknowledged_releases.popitem(last=False)
        self._find_suspect_links(now)
        self._close_idle_links(now)
        self._send_pending()
        if self.pending_releases and max(self.pending_releases.values()) > now - PENDING_RELEASE_SECONDS:
            self.ensure_control()
        if self.is_idle:
            self._open_due_link(now)
            return
        if self.is_replaced:
            self.close()
            self.mark_lost("another host has its address", silent=False)
        elif self.failing_since is not None and now - self.failing_since > FAILING_SECONDS:
            self.close()
            self.mark_lost("has been silent", silent=True)
        elif self.control is None:
            self.ensure_control()
        elif now - self.last_received_at > SILENCE_SECONDS and now >= self.retry_at and self._all_connected():
            self.retry_at = now + RECONNECT_SECONDS
            self._successor = self._open_link()
        else:
            self._open_due_link(now)

    def _find_suspect_links(self, now: float) -> None:
        """Use connections no more on which an answer is missing, except for their own set-ups."""
        for link in self.links:
            is_overdue = link.unanswered.is_overdue(now, link.last_received_at)
            if is_overdue and not link.is_suspect and link.channel.is_connected:
                link.is_suspect = True
                self._repeat_messages(link)
                self.repeats.report_suspicion(now)
            if link.is_suspect and not link.attempts:
                link.draining = True

    def _close_idle_links(self, now: float) -> None:
        idle_links = 0
        for link in list(self.links):
            may_be_closed = self._may_be_closed(link)
            if link.is_retired:
                continue
            if (
                link.attempts
                or link.probes
                or now - link.last_used_at < LATE_ANSWER_SECONDS
                or (link is self.control and not may_be_closed)
            ):
                continue
            idle_links += not link.draining
            if (
                may_be_closed
                or link.draining
                or (idle_links > MAX_IDLE_LINKS and now - link.last_used_at > IDLE_SECONDS)
            ):
                if link.channel.is_stale() or link.reader.buffered_bytes:
                    continue  # read it first: it may be the only report of a session's end
                if link.is_suspect:
                    self._release_cancelled_setups(link)
                if self.established:
                    link.retire()
                else:  # no report can be on its way
                    link.channel.close()
                    self._remove_link(link)


class HostPool:
    """All media hosts by the core's host numbers, with the shared limit of connections."""

    def __init__(
        self,
        reactor: Reactor,
        owner: Owner,
        connect_timeout: float,
        links: int,
        log: Callable[[str], None],
        idle_close: float = 0.0,
        may_probe: bool = False,
    ) -> None:
        """`links`: maximum of connections to all hosts; `idle_close`: seconds after which a host closes an
        idle connection, 0: never; `connect_timeout`: seconds; `log` gets lines for the log; `may_probe`:
        whether hosts take load probes."""
        self.reactor, self.owner, self.connect_timeout = reactor, owner, connect_timeout
        self._max_links, self.log, self.may_probe = links, log, may_probe
        self.reuse_seconds = (
            max(idle_close - IDLE_CLOSE_MARGIN_SECONDS, idle_close / 2) if idle_close > 0 else math.inf
        )
        """Seconds for which an idle connection is reused."""
        self.answered_kinds = AnsweredKinds()
        self.by_number: dict[int, Host] = {}
        self._number_by_address: dict[Address, int] = {}

    def max_links_per_host(self) -> int:
        """Each host's share of the connections, at least 2."""
        return max(2, self._max_links // max(1, len(self.by_number)))

    def link_count(self) -> int:
        """Number of connections to all hosts."""
        return sum(len(x.links) for x in self.by_number.values())

    def has_room(self) -> bool:
        """Whether the limit allows another connection."""
        return self.link_count() < self._max_links

    def has_unsettled_sessions(self, now: float) -> bool:
        """Whether a host may still accept a cancelled set-up, or a release waits for a connection that may
        come up. What takes longer is left to the host, which ends the set-ups of a closed connection."""
        return any(x.has_unsettled_sessions(now) for x in self.by_number.values())

    def is_address_reused(self, host: Host) -> bool:
        """Whether the current list gives the host's address to another host."""
        return self._number_by_address.get(host.address, host.number) != host.number

    def apply_host_list(self, hosts: dict[int, tuple[str, Address, float, bool]]) -> None:
        """Apply the current list, by host number: name, address, start (Unix seconds, 0: long ago),
        draining."""
        self._number_by_address = {address: number for number, (_, address, _, _) in hosts.items()}
        for number, host in self.by_number.items():
            if number not in hosts:
                host.is_unlisted = True
                host.last_received_at = 0.0  # check at once whether it still accepts connections
        for number, (name, address, started, draining) in hosts.items():
            host = self.by_number.get(number) or Host(self, number, name, address)
            self.by_number[number] = host
            host.is_unlisted, host.draining = False, draining
            if host.address != address:
                host.address = address  # first: attempts that end with the old one must not be resent there
                host.close()
                host.mark_lost("has another address", silent=False)
                host.forget_pending_releases()
                host.retry_at = 0.0
            if started > host.started:
                host.started = started
                host.handle_restart(started)
        for host in list(self.by_number.values()):
            if host.is_unlisted or host.draining:
                host.withdraw_unsent_attempts()
        self.maintain()

    def maintain(self) -> None:
        """Run the maintenance of each host and remove hosts that are gone and idle."""
        now = self.reactor.clock()
        for number, host in list(self.by_number.items()):
            host.maintain(now)
            if host.is_unlisted and host.is_idle:
                host.close()
                del self.by_number[number]

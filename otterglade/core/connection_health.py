"""Which connections to a media host may be of no further use, and when the host is due a new one. No I/O.

A lost answer leaves its connection open, and nothing arrives on it any more. The media host goes on to report
the ends of sessions there, and repeats them only on the next connection that is opened to it (protocol page,
"Gateways to media hosts"). What arrives on another connection of the host proves nothing for this one, so
each connection is judged by itself.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum, auto

UNANSWERED_SECONDS = 0.4
"""Seconds without an answer, and without any byte on its connection, after which a request makes the
connection suspect."""
NEXT_CONNECTION_SECONDS = 1.0
"""Least seconds between two connections that are opened only because connections became suspect: hosts accept
few."""
REPEAT_SECONDS = 3.0
"""Seconds between two connections while reports may still be lost. An end must be passed on within 8 s: the
rest is for connections that fail."""
MAX_UNANSWERED = 1024
"""Requests remembered per connection."""


class RequestKind(Enum):
    """The messages to a media host that may be answered."""

    SETUP = auto()
    PROBE = auto()
    RELEASE = auto()
    CANCELLATION = auto()
    """The TEARDOWN of a set-up that has no answer yet."""


class AnsweredKinds:
    """The kinds of requests that hosts are known to answer; a missing answer to others is no evidence."""

    def __init__(self) -> None:
        self._kinds = {RequestKind.SETUP, RequestKind.PROBE}

    def note(self, kind: RequestKind) -> None:
        """A host answered a request of this kind."""
        self._kinds.add(kind)

    def __contains__(self, kind: RequestKind) -> bool:
        return kind in self._kinds


@dataclass(frozen=True, slots=True)
class UnansweredRequest:
    """A request without an answer; `sent_at`: seconds."""

    kind: RequestKind
    sent_at: float
    is_cancelled: bool = False
    """Whether it is a set-up that was cancelled, so that the TEARDOWN has no answer either."""


class UnansweredRequests:
    """The unanswered requests of one connection, by session, oldest first."""

    def __init__(self, answered_kinds: AnsweredKinds) -> None:
        self._answered_kinds = answered_kinds
        self._requests: OrderedDict[bytes, UnansweredRequest] = OrderedDict()

    def add(self, session: bytes, kind: RequestKind, now: float) -> None:
        """A request was sent."""
        self._add(session, UnansweredRequest(kind, now))

    def _add(self, session: bytes, request: UnansweredRequest) -> None:
        self._requests[session] = request
        self._requests.move_to_end(session)
        if len(self._requests) > MAX_UNANSWERED:
            self._requests.popitem(last=False)

    def cancel(self, session: bytes, now: float, late: bool) -> None:
        """A set-up was cancelled by a TEARDOWN. `late`: its time was up, so that its answer was due."""
        request = self._requests.get(session)
        if request is not None and (late or now - request.sent_at > UNANSWERED_SECONDS):
            self._requests[session] = UnansweredRequest(request.kind, request.sent_at, True)
            return
        self._add(session, UnansweredRequest(RequestKind.CANCELLATION, now, True))

    def answer(self, session: bytes) -> None:
        """A request was answered on this connection."""
        request = self._requests.pop(session, None)
        if request is not None:
            self._answered_kinds.note(request.kind)

    def discard(self, session: bytes) -> None:
        """No answer is expected any more."""
        self._requests.pop(session, None)

    def cancelled_setups(self) -> list[bytes]:
        """Sessions whose set-up was cancelled; whether the host has read that is unknown."""
        return [
            session
            for session, request in self._requests.items()
            if request.is_cancelled and request.kind in self._answered_kinds
        ]

    def is_overdue(self, now: float, last_received_at: float) -> bool:
        """Whether an answer is missing, and nothing was received since: bytes prove the connection."""
        if now - last_received_at <= UNANSWERED_SECONDS:
            return False
        oldest = next((x for x in self._requests.values() if x.kind in self._answered_kinds), None)
        return oldest is not None and now - oldest.sent_at > UNANSWERED_SECONDS


class RepeatSchedule:
    """When a host is due a new connection, on which it repeats the reports that may have been lost."""

    def __init__(self) -> None:
        self._opened_at = -math.inf
        self._lost_until = -math.inf
        self._due_at = math.inf

    def report_loss(self, now: float) -> None:
        """Reports were lost, on a connection that has ended since."""
        self._lost_until = now
        self._due_at = min(self._due_at, now)

    def report_suspicion(self, now: float) -> None:
        """Reports may have been lost on a connection that became suspect."""
        self._lost_until = now
        self._due_at = min(self._due_at, max(now, self.next_at))

    def connection_established(self, opened_at: float) -> None:
        """A connection that was opened at `opened_at` was established: reports of before are repeated."""
        self._opened_at = max(self._opened_at, opened_at)
        if opened_at >= self._lost_until:
            self._due_at = math.inf

    def due_at(self, still_losing: bool) -> float:
        """When the next connection is due; infinite: none is. `still_losing`: reports may be lost now."""
        return min(self._due_at, self._opened_at + REPEAT_SECONDS) if still_losing else self._due_at

    @property
    def next_at(self) -> float:
        """When a connection may be opened again because another one became suspect."""
        return self._opened_at + NEXT_CONNECTION_SECONDS

    def reset(self) -> None:
        """Nothing is missing any more: the host has no sessions."""
        self._lost_until, self._due_at = -math.inf, math.inf

"""What a failed exchange with a host proves about the set-up that it carried, as one table.

A paid set-up must not be retried or reported as refused if it may have run. So an outcome counts as "never
ran" only if no byte of the request can have arrived, or if the host says so itself.
"""

from __future__ import annotations

from enum import Enum

from .interface import Outcome


class Phase(Enum):
    """How far an exchange with a host had got when it failed."""

    CONNECT = "connecting"
    UNSENT = "connected, not one byte of the request taken by the kernel"
    SENT = "some byte of the request taken by the kernel"
    ANSWER = "some byte of the answer read"


class FailureKind(Enum):
    """Why an exchange failed."""

    REFUSED = "refused"
    TIMED_OUT = "timed out"
    BROKEN = "broken"
    """The connection was reset or closed, or the host is unreachable."""
    MALFORMED = "garbage"
    """The answer is not valid, or exceeds a limit of the reader."""
    CANCELLED = "cancelled"


OUTCOMES: dict[tuple[Phase, FailureKind], Outcome] = {
    # Not connected: no byte of the request can have arrived. A handshake that completes after the time-out
    # finds a closed socket, never a request.
    (Phase.CONNECT, FailureKind.REFUSED): Outcome.REFUSED,
    (Phase.CONNECT, FailureKind.TIMED_OUT): Outcome.REFUSED,
    (Phase.CONNECT, FailureKind.BROKEN): Outcome.REFUSED,
    (Phase.CONNECT, FailureKind.CANCELLED): Outcome.SKIPPED,
    # Connected, but the kernel accepted no byte of the request: nothing can have arrived either.
    (Phase.UNSENT, FailureKind.BROKEN): Outcome.REFUSED,
    (Phase.UNSENT, FailureKind.TIMED_OUT): Outcome.REFUSED,
    (Phase.UNSENT, FailureKind.CANCELLED): Outcome.SKIPPED,
    # The host may have got the request and acted on it, and only the answer may be lost.
    (Phase.SENT, FailureKind.BROKEN): Outcome.RESET,
    (Phase.SENT, FailureKind.TIMED_OUT): Outcome.TIMED_OUT,
    (Phase.SENT, FailureKind.MALFORMED): Outcome.ERROR,
    (Phase.SENT, FailureKind.CANCELLED): Outcome.CANCELLED,
    # A partial answer proves that the host got the request, but not what it did.
    (Phase.ANSWER, FailureKind.BROKEN): Outcome.RESET,
    (Phase.ANSWER, FailureKind.TIMED_OUT): Outcome.TIMED_OUT,
    (Phase.ANSWER, FailureKind.MALFORMED): Outcome.ERROR,
    (Phase.ANSWER, FailureKind.CANCELLED): Outcome.CANCELLED,
}


def outcome_of_failure(phase: Phase, trouble: FailureKind) -> Outcome:
    """Outcome of an attempt without a complete answer; a pair that is not listed proves nothing: ERROR."""
    return OUTCOMES.get((phase, trouble), Outcome.ERROR)


def outcome_of_response(status: int, never_ran: bool) -> Outcome:
    """Outcome of an attempt with a complete answer of this status.

    `never_ran`: whether the answer states that the set-up was not started. A 503 without that statement may
    come from an intermediary after the host has acted, so it proves nothing.
    """
    if status in (200, 201):
        return Outcome.DONE
    if status in (410, 503) and never_ran:
        return Outcome.BUSY
    return Outcome.ERROR

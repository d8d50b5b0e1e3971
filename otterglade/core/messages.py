"""Messages between the session manager and its gateway: requests, limits, verdicts and orders.

Times are seconds on the monotonic clock, durations are seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .attempts import AttemptRecord, AttemptState
from .attempts import Key as Key


@dataclass(frozen=True, slots=True)
class TitleLocation:
    """Cells that hold a title: `holders` consecutive ones from `home`."""

    home: int
    holders: int


@dataclass(frozen=True, slots=True)
class SessionLimits:
    """Limits and durations that a deployment sets for the session manager."""

    patience: tuple[float, ...]
    """Seconds after which a viewer gives up, by class number."""
    answer_margin: float
    """Seconds by which the answer precedes that."""
    max_sessions: int
    """Further sessions are refused."""
    unsure_for: float = 600.0
    """Seconds for which a paid session whose set-up may have run is remembered, so that its viewer is not
    charged twice."""
    max_unsure: int = 100_000
    """Paid sessions remembered that way; beyond, the oldest are dropped."""
    registrar_count: int = 0
    """Hosts at which a paid attempt is claimed before it is sent; 0 for none."""
    durable: bool = False
    """Whether paid attempts are recorded before they are sent: `CommitAttempt` in place of `SetUp`."""


@dataclass(frozen=True, slots=True)
class ViewerRequest:
    """A viewer's request for a session; `waiter` is the number that the reply carries."""

    waiter: int
    key: Key
    top: int
    """Highest rung that the viewer can use."""
    hint: float | None = None
    """Estimated viewing time in seconds."""


@dataclass(frozen=True, slots=True)
class SessionView:
    """Snapshot of a playing session for the front ends, published at each change."""

    key: Key
    session: int
    attempt: int
    server: int
    rung: int
    top: int
    """Highest rung that the viewer can use."""
    moving: bool = False
    """Its host drains: call `request_move` before the next segment."""


# Verdicts and orders for the gateway


@dataclass(frozen=True, slots=True)
class Playing:
    """The session is playing."""

    view: SessionView


@dataclass(frozen=True, slots=True)
class Refused:
    """The session was refused and nothing ran."""

    retry_after: float
    """Seconds after which the viewer may ask again."""
    cause: str


@dataclass(frozen=True, slots=True)
class Failed:
    """The session could not be set up, or may have run without an answer."""

    cause: str


Verdict = Playing | Refused | Failed


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer a waiting request."""

    waiter: int
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class SetUp:
    """Set up a session at a host, then call `attempt_ended` once."""

    session: int
    attempt: int
    server: int
    key: Key
    rung: int
    paid: bool
    until: float
    """Time at which the attempt times out."""


@dataclass(frozen=True, slots=True)
class CommitAttempt:
    """Record a paid attempt on disk, then call `attempt_committed`; no byte of it is sent before."""

    setup: SetUp
    top: int


@dataclass(frozen=True, slots=True)
class RetrySpent:
    """Record that a retry is sent; carried out before the attempt itself."""

    number: int
    """Number of the retry, counted across restarts."""


@dataclass(frozen=True, slots=True)
class AttemptStateChanged:
    """Record the new state of a committed attempt."""

    session: int
    attempt: int
    state: AttemptState


@dataclass(frozen=True, slots=True)
class QueryAttempt:
    """Ask a host about a set-up of another gateway or of an earlier run, then call `attempt_resolved`."""

    record: AttemptRecord
    claimed: bool = False
    """Whether it is known from its claim; if not, from the signed address that its viewer sent."""


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an open attempt and close its connection."""

    session: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Release:
    """End a session at its host, or drop an attempt whose answer is no longer wanted."""

    session: int
    attempt: int
    server: int


@dataclass(frozen=True, slots=True)
class ChangeRung:
    """Send a new rung to a session's host."""

    session: int
    attempt: int
    server: int
    rung: int
    sequence: int
    """Increases with each change, as two of them may arrive out of order."""


@dataclass(frozen=True, slots=True)
class RequestLoad:
    """Probe a host's load, then call `probe_answered`."""

    server: int


class TimerKind(Enum):
    """What a timer is for; the token's meaning depends on it."""

    MODULE = "module"
    """Set by the placement module, with its own token."""
    ATTEMPT = "attempt"
    """Time-out of an attempt; the token is the session number."""
    DEADLINE = "deadline"
    """Deadline of a session's waiting requests; the token is the session number."""
    MOVE = "move"
    """Retry of a refused move; the token is the session number."""
    RECOVERY = "finding"
    """Deadline of a request that waits for an attempt's state; the token is the waiter."""


@dataclass(frozen=True, slots=True)
class Timer:
    """Call `timer_fired` with this at time `due_at`."""

    due_at: float
    kind: TimerKind
    token: int
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class Publish:
    """Make a session's new view known to the front ends."""

    view: SessionView


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Remove an ended session from the front ends."""

    key: Key
    session: int
    resumable: bool
    """Whether the viewer's next fetch may set it up again, as it is free of charge."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a structured log line."""

    level: str
    event: str
    fields: tuple[tuple[str, object], ...] = ()


Order = (
    Reply | SetUp | CommitAttempt | RetrySpent | AttemptStateChanged | QueryAttempt | CancelAttempt | Release
    | ChangeRung | RequestLoad | Timer | Publish | Withdraw | LogLine
)  # fmt: skip

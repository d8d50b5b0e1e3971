"""A session in the session manager, and its phases."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .messages import Key, SessionView


class Phase(Enum):
    """Phase of a session; the transitions are in `sessions.py`."""

    PLACING = "placing"
    PLAYING = "playing"
    ENDED = "ended"


@dataclass(slots=True, eq=False)
class ManagedSession:
    """A session with its viewers' waiting requests. Times are monotonic seconds."""

    number: int
    key: Key
    paid: bool
    deadline: float
    """When the waiting viewers get an answer at the latest."""
    top: int
    """Highest rung that the viewer can use."""
    phase: Phase = Phase.PLACING
    waiters: list[int] = field(default_factory=list)
    attempts: int = 0
    """Attempts so far; they are numbered from 0."""
    attempt_out: int | None = None
    """Number of the open attempt, if any."""
    sent: bool = True
    """Whether the open attempt has been sent; if not, it is being recorded."""
    committed: int | None = None
    """Number of the last attempt that is on disk."""
    viewer_informed: bool = False
    """Whether a viewer was answered that it is playing. A paid session that ends before that was charged
    for nothing."""
    sent_at: float = 0.0
    attempt_deadline: float = 0.0
    server: int = -1
    rung: int = 0
    rung_sent: int = 0
    """Rung that was last sent to the host."""
    rung_sequence: int = 0
    """Number of the last rung change sent."""
    may_have_run: bool = False
    """Whether a failed attempt may have run at its host."""
    moving: bool = False
    """Whether it may move to another host at the next segment."""
    replaces: ManagedSession | None = None
    """The playing session that this one is to replace, in a move."""
    replacement: ManagedSession | None = None
    """The session that is to replace this one, in a move."""

    def view(self) -> SessionView:
        """Snapshot of the session for the front ends."""
        attempt = max(0, self.attempts - 1)
        return SessionView(self.key, self.number, attempt, self.server, self.rung, self.top, self.moving)

"""How long before a viewer gives up an answer is sent: the stated margin, plus more while timers fire late.

On an overloaded machine the decision loop wakes late, and so does the thread that writes the answer: an
answer decided at the stated margin reaches a viewer that has left. The delay with which timers fire measures
this without extra clock reads, as each timer has its due time. The recent delay is added to the margin twice,
since the answer waits for as many wake-ups on its way as the timer did.
"""

from __future__ import annotations

import math

HALF_LIFE_SECONDS = 5.0
"""Time in which the weight of an observed delay halves."""
LATENESS_FACTOR = 2.0
MAX_PATIENCE_SHARE = 0.25
"""Most of the viewer's patience that is reserved for lateness: one long stall of the process must not reject
viewers that could be served in time."""


class AnswerMargin:
    """The largest observed timer delay, decaying exponentially."""

    def __init__(self) -> None:
        self._lateness, self._observed_at = 0.0, 0.0

    def lateness(self, now: float) -> float:
        """Expected delay of a timer in seconds."""
        return self._lateness * math.exp2((self._observed_at - now) / HALF_LIFE_SECONDS)

    def record_timer(self, now: float, due: float) -> None:
        """Record that a timer that was due at `due` fires now."""
        if now - due > self.lateness(now):
            self._lateness, self._observed_at = now - due, now

    def reserved_seconds(self, now: float, stated: float, patience: float) -> float:
        """Seconds of a viewer's patience to reserve for sending the answer; never less than `stated`."""
        return max(stated, min(stated + LATENESS_FACTOR * self.lateness(now), MAX_PATIENCE_SHARE * patience))

"""Session ids of set-ups that may have run at a media host, remembered for a while. No I/O, no clock.

Every set-up has a new id. One that comes again, as its client has left and sends it on another connection,
must not run a second time, and whether the first one ran can't be known once it was given up.
"""

from __future__ import annotations

from collections import OrderedDict

MEMORY_SECONDS = 60.0
"""Seconds for which an id is remembered."""
MAX_USED_IDS = 8192
"""Ids remembered at most."""


class UsedSessionIds:
    """The ids of set-ups that may have run, with the time of their end, oldest first."""

    def __init__(self) -> None:
        self._ended_at: OrderedDict[bytes, float] = OrderedDict()

    def add(self, now: float, session: bytes) -> None:
        """A set-up that may have run is finished; `now`: seconds."""
        self._ended_at[session] = now
        self._ended_at.move_to_end(session)
        if len(self._ended_at) > MAX_USED_IDS:
            self._ended_at.popitem(last=False)

    def may_have_run(self, now: float, session: bytes) -> bool:
        """Whether a set-up with this id may have run; `now`: seconds."""
        ended_at = self._ended_at.get(session)
        return ended_at is not None and now - ended_at <= MEMORY_SECONDS

    def expire(self, now: float) -> None:
        """Forget the ids whose time is over; `now`: seconds."""
        while self._ended_at and now - next(iter(self._ended_at.values())) > MEMORY_SECONDS:
            self._ended_at.popitem(last=False)

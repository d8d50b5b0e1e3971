"""Hand-overs of sessions at media hosts that the host list does not contain yet.

The list may arrive after the hand-over. Releasing such a session at once would end one that plays, and its
host would keep it.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from ..core import interface as api
from .frontend import ClientSession

MAX_WAIT_SECONDS = 1.7
"""Seconds for which a hand-over waits for its host. A list arrives at most 1.5 s after its event, and a
hand-over is due 0.2 s later. No longer, as most unlisted hosts have left, and their sessions must be released
within 8 s of an end that may have occurred while this gateway was down."""
MAX_PENDING = 512
"""Hand-overs that may wait: any peer can send one, and it may name a host that never exists."""


@dataclass(slots=True, eq=False)
class HandOver:
    """A hand-over that waits for its host to be listed."""

    client: ClientSession
    request: api.SessionRequest
    host: str
    expires_at: float
    viewer_left: bool = False
    """Whether its viewer has ended the session, which then is released at its host."""


class PendingHandOvers:
    """The waiting hand-overs by session id."""

    def __init__(self) -> None:
        self._pending: dict[bytes, HandOver] = {}

    def add(self, now: float, client: ClientSession, request: api.SessionRequest, host: str) -> bool:
        """Add a hand-over; `now`: seconds. False: too many are waiting."""
        if len(self._pending) >= MAX_PENDING and client.session not in self._pending:
            return False
        self._pending[client.session] = HandOver(client, request, host, now + MAX_WAIT_SECONDS)
        return True

    def viewer_left(self, client: ClientSession) -> bool:
        """Note that a viewer ended a session; False: its hand-over is not waiting."""
        pending = self._pending.get(client.session)
        if pending is None or pending.client is not client:
            return False
        pending.viewer_left = True
        return True

    def take_listed(self, hosts: Collection[str]) -> list[HandOver]:
        """Remove and return the hand-overs whose host is among the listed `hosts`."""
        return self._remove([x for x in self._pending.values() if x.host in hosts])

    def take_expired(self, now: float) -> list[HandOver]:
        """Remove and return the hand-overs whose waiting time is over."""
        return self._remove([x for x in self._pending.values() if x.expires_at <= now])

    def _remove(self, removed: list[HandOver]) -> list[HandOver]:
        for pending in removed:
            del self._pending[pending.client.session]
        return removed

"""Logging of refused proposals, with the full reasons that are fetched by digest from the task's owner."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from .admissions import DECISION_TIMEOUT_SECONDS
from .content_store import ContentStore
from .editions import FORCED, NO_EDITION, Edition, Refusal
from .log_buffer import LogBuffer


@dataclass(slots=True)
class PendingReason:
    """A refusal whose reason is being fetched, or has been logged."""

    refusal: Refusal
    expires_at: float
    """When it is logged without the reason; infinity: it has been logged."""
    owner: str


class RefusalReasons:
    """Refusals listed in the rollout state; each is logged once."""

    def __init__(self, own_region: bytes, content: ContentStore, log_buffer: LogBuffer) -> None:
        self._own_region, self._content, self._log_buffer = own_region, content, log_buffer
        self._pending: dict[Edition, PendingReason] = {}
        self.last: dict[str, object] = {}
        """Log fields of the refusal logged last."""

    def digests(self) -> set[str]:
        """Return the digests of the reasons' texts."""
        return {x.refusal.reason_digest.hex() for x in self._pending.values()}

    def update(self, now: float, refusals: Iterable[Refusal], owner: str) -> None:
        """Take over the refusals of a new state; their reasons are fetched from `owner`."""
        named: set[Edition] = set()
        for refusal in refusals:
            edition = refusal.region, refusal.edition
            named.add(edition)
            pending = self._pending.get(edition)
            if pending is None or pending.refusal.sequence < refusal.sequence:
                self._pending[edition] = PendingReason(refusal, now + DECISION_TIMEOUT_SECONDS, owner)
        self._pending = {x: y for x, y in self._pending.items() if x in named}
        self.log_ready(now)

    def log_ready(self, now: float) -> None:
        """Log the refusals whose reason has arrived or has timed out; fetch the reasons of the others."""
        for edition, pending in self._pending.items():
            if pending.expires_at == math.inf:
                continue
            digest = pending.refusal.reason_digest.hex()
            text = self._content.get(digest)
            if text is None and now < pending.expires_at and pending.refusal.reason_digest != NO_EDITION:
                self._content.fetch(digest, (pending.owner,))
                continue
            pending.expires_at = math.inf
            self.last = {
                "edition": edition[1].hex(),
                "kind": pending.refusal.kind,
                "why": "reason not available" if text is None else text.decode(errors="replace"),
                "own": edition[0] == self._own_region,
            }
            event = "routes_forced" if pending.refusal.kind == FORCED else "routes_refused"
            self._log_buffer.add("warning", event, **self.last)

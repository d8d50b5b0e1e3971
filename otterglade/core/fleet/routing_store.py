"""The routing rules known to this gateway, by digest: which are on disk, and their decoded form."""

from __future__ import annotations

from .actions import DeleteRoutingPart, StoreRoutingPart
from .content_store import ContentStore
from .route_checks import Check
from .routing import Routing, RoutingError, decode_routing

Action = StoreRoutingPart | DeleteRoutingPart | Check


class RoutingStore:
    """Routing rules by digest. Actions that write or delete them are appended to `outbox`."""

    def __init__(self, content: ContentStore, outbox: list[Action]) -> None:
        self._content, self._outbox = content, outbox
        self.durable: set[str] = set()
        """Digests of the rules on disk."""
        self._writing: set[str] = set()
        self._decoded: dict[str, Routing] = {}

    def restore(self, data: bytes) -> None:
        """Load rules that are on disk. Raises ValueError if they are too large or the store is full."""
        self.durable.add(self._content.add(data))

    def write_finished(self, digest: str, durable: bool) -> None:
        """Record the result of a write; a failed one is repeated when `write` is called next."""
        self._writing.discard(digest)
        if durable:
            self.durable.add(digest)

    def get(self, digest: str) -> Routing | None:
        """Return decoded rules; None if they are absent, unreadable, or not in canonical form."""
        data = self._content.get(digest)
        if data is not None and digest not in self._decoded:
            try:
                routing = decode_routing(data)
            except RoutingError:
                return None
            if routing.digest == digest:
                self._decoded[digest] = routing
        return self._decoded.get(digest)

    def write(self, digest: str) -> None:
        """Write rules to disk if they are available, and neither on disk nor being written."""
        data = self._content.get(digest)
        if data is not None and digest not in self.durable | self._writing:
            self._writing.add(digest)
            self._outbox.append(StoreRoutingPart(digest, data))

    def retain(self, editions: set[str], texts: set[str]) -> None:
        """Drop all content but these editions and texts, and delete other rules from disk."""
        self._content.retain(editions | texts)
        self._decoded = {x: y for x, y in self._decoded.items() if x in editions}
        for digest in sorted(self.durable - editions):
            self.durable.discard(digest)
            self._outbox.append(DeleteRoutingPart(digest))

"""Reads accepted revisions straight from the voters, independent of the shipped subscriber.

What it finds is the reference that gateways' records are judged against.
"""

from __future__ import annotations

import threading

from ...core.distribution.items import ItemStore
from ...core.distribution.messages import (
    MessageError,
    PartAnswer,
    PartRequest,
    ReadAnswer,
    ReadRequest,
    Transfer,
)
from ...core.distribution.revision import GENESIS, Delta, RevisionId, Snapshot
from ...core.distribution.transfer import Download, decode_delta, decode_snapshot
from ...gateway.distribution.envelope import Envelope
from ...gateway.distribution.exchange import Carrier, CarryError
from ...net.threads import Failure, spawn

WAIT_SECONDS = 4.0
MARGIN_SECONDS = 4.0
"""Beyond the wait, for an answer to come."""
RETRY_SECONDS = 0.5


class AcceptedRevisions:
    """The digests of accepted revisions, gathered from any number of observers."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._roots: dict[RevisionId, bytes] = {}
        self.contradictions: list[str] = []
        """Revisions that two voters gave different contents; the list stays empty where voters agree."""

    def add(self, revision: RevisionId, root: bytes) -> None:
        """Note one."""
        with self._lock:
            known = self._roots.setdefault(revision, root)
            if known != root:
                self.contradictions.append(f"{revision}: {known.hex()} and {root.hex()}")

    def roots(self) -> dict[RevisionId, bytes]:
        """All of them."""
        with self._lock:
            return dict(self._roots)


class Observer:
    """Follows one voter from a thread of its own."""

    def __init__(
        self, name: str, address: str, envelope: Envelope, accepted: AcceptedRevisions,
        on_failure: Failure,
    ) -> None:  # fmt: skip
        self._name, self._accepted, self._on_failure = name, accepted, on_failure
        self._carrier = Carrier(address, envelope)
        self._stop = threading.Event()
        self._in_force, self._root = GENESIS, ItemStore().root

    def start(self) -> None:
        """Begin to read."""
        spawn(f"observer-{self._name}", self._follow, self._on_failure)

    def stop(self) -> None:
        """End after the read that is under way."""
        self._stop.set()

    def _follow(self) -> None:
        while not self._stop.is_set():
            try:
                self._read()
            except (CarryError, MessageError):
                self._stop.wait(RETRY_SECONDS)

    def _read(self) -> None:
        request = ReadRequest(f"observer-{self._name}", "observer", self._in_force, self._root, WAIT_SECONDS)
        answer = self._carrier.exchange(request, ReadAnswer, WAIT_SECONDS + MARGIN_SECONDS).message
        if answer.delta is not None:
            self._take(answer.delta)
        elif answer.transfer is not None:
            self._take(self._fetch(answer.transfer))

    def _take(self, content: Delta | Snapshot) -> None:
        revision = content.target if isinstance(content, Delta) else content.revision
        self._in_force, self._root = revision, content.root
        self._accepted.add(revision, content.root)

    def _fetch(self, transfer: Transfer) -> Delta | Snapshot:
        download = Download(transfer)
        while not download.is_complete:
            request = PartRequest(f"observer-{self._name}", transfer.digest, download.next_offset)
            part = self._carrier.exchange(request, PartAnswer, MARGIN_SECONDS).message
            if not part.data:
                raise MessageError("the voter does not hold the transfer any more")
            download.add_part(part)
        return decode_snapshot(download.data()) if transfer.is_snapshot else decode_delta(download.data())

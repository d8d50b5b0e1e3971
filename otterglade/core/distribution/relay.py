"""The server side of a control machine (a voter or a relay): answers reads and tracks acknowledgements.

A read that finds no later revision is blocked: `Relay.read` returns a `HoldRead`, and the transport repeats
the call with the same request when the head has changed or the deadline has passed. Answers are cached per
requested base, so that many subscribers at the same revision cost one coalescing and one encoding.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection
from dataclasses import dataclass

import msgspec

from .acknowledgement import Acknowledgements
from .log import RevisionLog
from .messages import (
    MAX_COUNTED_REVISIONS,
    MAX_INLINE_BYTES,
    MAX_NAME_BYTES,
    MAX_REASON_BYTES,
    MAX_STRAGGLERS,
    MessageError,
    PartAnswer,
    PartRequest,
    ReadAnswer,
    ReadRequest,
    Report,
    Transfer,
)
from .revision import DIGEST_BYTES, Delta, RevisionError, RevisionId, Snapshot
from .transfer import TransferStore, encode_delta, encode_snapshot

MAX_WAIT_SECONDS = 30.0
"""Upper limit of the time that a read is blocked, regardless of what it requests."""
MAX_CACHED_ANSWERS = 32
"""Answers cached for other readers at the same revision."""
SNAPSHOT_REUSE_SECONDS = 60.0
"""How long a snapshot is reused after the head has advanced; its reader fetches a delta afterwards."""

_AnswerKey = tuple[RevisionId, bytes]
"""The requested base and its root digest."""


@dataclass(frozen=True, slots=True)
class HoldRead:
    """Block the read until the head changes, at most until this time."""

    deadline: float


@dataclass(frozen=True, slots=True)
class _SnapshotOffer:
    """The snapshot that was offered last."""

    transfer: Transfer
    made_at: float


class Relay:
    """Serves the revisions in a log to subscribers, and counts what they have in force."""

    def __init__(
        self,
        name: str,
        log: RevisionLog,
        acknowledgements: Acknowledgements | None = None,
        transfers: TransferStore | None = None,
    ) -> None:
        self.name, self.log = name, log
        self.acknowledgements = acknowledgements or Acknowledgements()
        self.transfers = transfers if transfers is not None else TransferStore()
        self._answers: OrderedDict[_AnswerKey, ReadAnswer] = OrderedDict()
        """Least recently used first; cleared when the head changes."""
        self._snapshot_offer: _SnapshotOffer | None = None

    # Log

    def append(self, delta: Delta) -> None:
        """Append a revision; the transport then repeats `read` for each blocked read.

        Raises as `RevisionLog.append` does.
        """
        self.log.append(delta)
        self._answers.clear()

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the log by a snapshot.

        Raises as `RevisionLog.reset` does, and RevisionError if the snapshot is not later than the head.
        """
        if snapshot.revision <= self.log.head:
            raise RevisionError(f"snapshot of {snapshot.revision}; head: {self.log.head}")
        self.log.reset(snapshot)
        self._answers.clear()
        self._snapshot_offer = None

    # Requests

    def read(
        self, now: float, request: ReadRequest, received_at: float | None = None
    ) -> ReadAnswer | HoldRead:
        """Answer a read, or block it.

        `received_at` is when a blocked read was received; None if it has just been received. Raises
        MessageError if the request is out of bounds.
        """
        check_read_request(request)
        head = self.log.head
        self.acknowledgements.record_read(now, request, head)
        known = _latest_known(request)
        if head > known:
            return self._build_answer(now, request, known)
        deadline = (now if received_at is None else received_at) + min(
            max(request.wait, 0.0), MAX_WAIT_SECONDS
        )
        return HoldRead(deadline) if now < deadline else ReadAnswer(head)

    def read_part(self, now: float, request: PartRequest) -> PartAnswer:
        """Return a part of a transfer. Raises MessageError if the request is out of bounds."""
        _check_name(request.name)
        if len(request.digest) != DIGEST_BYTES:
            raise MessageError(f"part of a transfer with a digest of {len(request.digest)} bytes")
        self.acknowledgements.record_activity(now, request.name)
        return self.transfers.read_part(now, request)

    def subscriber_disconnected(self, name: str, run: str) -> None:
        """Handle the end of a subscriber's connection, see `Acknowledgements.remove_subscriber`."""
        self.acknowledgements.remove_subscriber(name, run)

    def report(self, now: float, excluded: Collection[str] = ()) -> Report:
        """Return the report of all subscribers below, except those below the relays named in `excluded`."""
        return self.acknowledgements.report(now, self.log.head, excluded)

    def tick(self, now: float) -> None:
        """Expire transfers and silent subscribers; to be called about once a second."""
        self.transfers.tick(now)
        self.acknowledgements.tick(now)

    # Answers

    def _build_answer(self, now: float, request: ReadRequest, known: RevisionId) -> ReadAnswer:
        if request.wants_snapshot:
            return self._snapshot_answer(now, known, compacted=False)
        key = (request.in_force, request.root)
        answer = self._answers.get(key)
        if answer is not None and self._is_available(answer):
            self._answers.move_to_end(key)
            return answer
        delta = self.log.delta_since(request.in_force, request.root)
        if delta is None:
            return self._snapshot_answer(now, known, compacted=True)
        answer = self._answers[key] = self._delta_answer(now, delta)
        if len(self._answers) > MAX_CACHED_ANSWERS:
            self._answers.popitem(last=False)
        return answer

    def _is_available(self, answer: ReadAnswer) -> bool:
        return answer.transfer is None or answer.transfer.digest in self.transfers

    def _delta_answer(self, now: float, delta: Delta) -> ReadAnswer:
        if len(msgspec.msgpack.encode(delta)) <= MAX_INLINE_BYTES:
            return ReadAnswer(delta.target, delta=delta)
        transfer = self.transfers.add(now, encode_delta(delta), delta.target, is_snapshot=False)
        return ReadAnswer(delta.target, transfer=transfer)

    def _snapshot_answer(self, now: float, known: RevisionId, compacted: bool) -> ReadAnswer:
        offer = self._snapshot_offer
        if offer is None or not self._is_reusable(now, offer, known):
            data = encode_snapshot(self.log.snapshot())
            transfer = self.transfers.add(now, data, self.log.head, is_snapshot=True)
            offer = self._snapshot_offer = _SnapshotOffer(transfer, now)
        return ReadAnswer(self.log.head, transfer=offer.transfer, compacted=compacted)

    def _is_reusable(self, now: float, offer: _SnapshotOffer, known: RevisionId) -> bool:
        """Whether it is still stored, later than what the reader has, and within the history of deltas."""
        target = offer.transfer.target
        return (
            offer.transfer.digest in self.transfers
            and target > known
            and target >= self.log.compacted_before()
            and now - offer.made_at < SNAPSHOT_REUSE_SECONDS
        )


def _latest_known(request: ReadRequest) -> RevisionId:
    """Return the latest revision that the sender has applied or rejected."""
    if request.rejection is None:
        return request.in_force
    return max(request.in_force, request.rejection.revision)


def check_read_request(request: ReadRequest) -> None:
    """Raises MessageError if a field is out of bounds."""
    _check_name(request.name)
    _check_name(request.run)
    if len(request.root) != DIGEST_BYTES:
        raise MessageError(f"read with a digest of {len(request.root)} bytes; allowed: {DIGEST_BYTES}")
    if not math.isfinite(request.wait):
        raise MessageError(f"read with a wait of {request.wait} s")
    if request.report is not None:
        _check_report(request.report)


def _check_report(report: Report) -> None:
    if len(report.counts) > MAX_COUNTED_REVISIONS or len(report.stragglers) > MAX_STRAGGLERS:
        raise MessageError(
            f"report of {len(report.counts)} revisions and {len(report.stragglers)} stragglers;"
            f" allowed: {MAX_COUNTED_REVISIONS} and {MAX_STRAGGLERS}"
        )
    numbers = [
        report.subscribers,
        report.older,
        report.behind,
        *(count.subscribers for count in report.counts),
    ]
    if min(numbers) < 0:
        raise MessageError(f"report with a count of {min(numbers)}")
    for straggler in report.stragglers:
        _check_name(straggler.name)
        if len(straggler.reason.encode()) > MAX_REASON_BYTES or not math.isfinite(straggler.behind_s):
            raise MessageError(f"report: straggler {straggler.name} with a reason or time out of bounds")


def _check_name(name: str) -> None:
    length = len(name.encode())
    if not 1 <= length <= MAX_NAME_BYTES:
        raise MessageError(f"name of {length} bytes; allowed: 1 to {MAX_NAME_BYTES}")

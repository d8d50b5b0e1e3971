"""The server side of any control machine: what each read is answered with, and who has acknowledged what.

A read that finds nothing later is held: `Relay.read` returns a `Wait`, and the carrier asks again with the
same request when the head has changed, or when the wait is over. Answers are made once per revision asked
from, so that many subscribers at the same revision cost one coalescing and one encoding.
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
    INLINE_BYTES,
    NAME_BYTES,
    REASON_BYTES,
    REVISIONS,
    STRAGGLERS,
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

MOST_WAIT = 30.0
"""Seconds for which a read is held, whatever it asks for."""
MOST_ANSWERS = 32
"""Answers kept for the next reader at the same revision."""
SNAPSHOT_REUSE_SECONDS = 60.0
"""For which a snapshot is offered again after the head has gone on: its reader then gets a delta."""

_AnswerKey = tuple[RevisionId, bytes]
"""The revision asked from, and its digest."""


@dataclass(frozen=True, slots=True)
class Wait:
    """Hold the read until the head changes, at most until this time."""

    until: float


@dataclass(frozen=True, slots=True)
class _Offer:
    """The latest snapshot that was offered."""

    transfer: Transfer
    made_at: float


class Relay:
    """One control machine's answers."""

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
        """From the head as it is now."""
        self._offer: _Offer | None = None

    # What is held

    def append(self, delta: Delta) -> None:
        """Hold a later revision; the carrier then asks again for each read that it holds. Raises as
        `RevisionLog.append`."""
        self.log.append(delta)
        self._answers.clear()

    def reset(self, snapshot: Snapshot) -> None:
        """Hold this revision in place of all others. Raises as `RevisionLog.reset`, and RevisionError for one
        that is not later than the head."""
        if snapshot.revision <= self.log.head:
            raise RevisionError(f"snapshot of {snapshot.revision}; held: {self.log.head}")
        self.log.reset(snapshot)
        self._answers.clear()
        self._offer = None

    # What is asked

    def read(self, now: float, request: ReadRequest, came_at: float | None = None) -> ReadAnswer | Wait:
        """Answer a read, or hold it. `came_at`: when it came, where it has been held since; None: just now.

        Raises MessageError for a request out of bounds.
        """
        check_read(request)
        head = self.log.head
        self.acknowledgements.read(now, request, head)
        known = _known(request)
        if head > known:
            return self._later(now, request, known)
        until = (now if came_at is None else came_at) + min(max(request.wait, 0.0), MOST_WAIT)
        return Wait(until) if now < until else ReadAnswer(head)

    def part(self, now: float, request: PartRequest) -> PartAnswer:
        """Answer with a part of a transfer. Raises MessageError for a request out of bounds."""
        _check_name(request.name)
        if len(request.digest) != DIGEST_BYTES:
            raise MessageError(f"part of a transfer with a digest of {len(request.digest)} bytes")
        self.acknowledgements.touch(now, request.name)
        return self.transfers.part(now, request)

    def gone(self, name: str, run: str) -> None:
        """A subscriber's connection has ended."""
        self.acknowledgements.gone(name, run)

    def report(self, now: float, without: Collection[str] = ()) -> Report:
        """What all subscribers below act upon, but for those below the relays named; see
        `Acknowledgements.report`."""
        return self.acknowledgements.report(now, self.log.head, without)

    def tick(self, now: float) -> None:
        """Forget what has not been used for long; to be called about once a second."""
        self.transfers.tick(now)
        self.acknowledgements.tick(now)

    # Answers

    def _later(self, now: float, request: ReadRequest, known: RevisionId) -> ReadAnswer:
        if request.whole:
            return self._whole(now, known, compacted=False)
        key = (request.in_force, request.root)
        answer = self._answers.get(key)
        if answer is not None and self._stands(answer):
            self._answers.move_to_end(key)
            return answer
        delta = self.log.since(request.in_force, request.root)
        if delta is None:
            return self._whole(now, known, compacted=True)
        answer = self._answers[key] = self._of_delta(now, delta)
        if len(self._answers) > MOST_ANSWERS:
            self._answers.popitem(last=False)
        return answer

    def _stands(self, answer: ReadAnswer) -> bool:
        return answer.transfer is None or answer.transfer.digest in self.transfers

    def _of_delta(self, now: float, delta: Delta) -> ReadAnswer:
        if len(msgspec.msgpack.encode(delta)) <= INLINE_BYTES:
            return ReadAnswer(delta.target, delta=delta)
        transfer = self.transfers.offer(now, encode_delta(delta), delta.target, whole=False)
        return ReadAnswer(delta.target, transfer=transfer)

    def _whole(self, now: float, known: RevisionId, compacted: bool) -> ReadAnswer:
        offer = self._offer
        if offer is None or not self._reusable(now, offer, known):
            data = encode_snapshot(self.log.snapshot())
            transfer = self.transfers.offer(now, data, self.log.head, whole=True)
            offer = self._offer = _Offer(transfer, now)
        return ReadAnswer(self.log.head, transfer=offer.transfer, compacted=compacted)

    def _reusable(self, now: float, offer: _Offer, known: RevisionId) -> bool:
        """Whether it is still here, of use to this reader, and history goes on from it."""
        target = offer.transfer.target
        return (
            offer.transfer.digest in self.transfers
            and target > known
            and target >= self.log.compacted_before()
            and now - offer.made_at < SNAPSHOT_REUSE_SECONDS
        )


def _known(request: ReadRequest) -> RevisionId:
    """The latest revision that the sender needs not be told of: applied, or found to be unusable."""
    if request.rejection is None:
        return request.in_force
    return max(request.in_force, request.rejection.revision)


def check_read(request: ReadRequest) -> None:
    """Raises MessageError where a field is out of bounds."""
    _check_name(request.name)
    _check_name(request.run)
    if len(request.root) != DIGEST_BYTES:
        raise MessageError(f"read with a digest of {len(request.root)} bytes; allowed: {DIGEST_BYTES}")
    if not math.isfinite(request.wait):
        raise MessageError(f"read that waits {request.wait} s")
    if request.report is not None:
        _check_report(request.report)


def _check_report(report: Report) -> None:
    if len(report.counts) > REVISIONS or len(report.stragglers) > STRAGGLERS:
        raise MessageError(
            f"report of {len(report.counts)} revisions and {len(report.stragglers)} stragglers;"
            f" allowed: {REVISIONS} and {STRAGGLERS}"
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
        if len(straggler.reason.encode()) > REASON_BYTES or not math.isfinite(straggler.behind_s):
            raise MessageError(f"report: straggler {straggler.name} with a reason or time out of bounds")


def _check_name(name: str) -> None:
    length = len(name.encode())
    if not 1 <= length <= NAME_BYTES:
        raise MessageError(f"name of {length} bytes; allowed: 1 to {NAME_BYTES}")

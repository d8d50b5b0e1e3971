"""State and reports of the task `routes`: which editions of each region may be active, and what is proposed.

An edition is one version of a region's routing rules. A region is identified by four bytes of a digest of its
name, an edition by the digest of its rules: so the state of two dozen regions fits what voters store, and the
merged report of any number of gateways fits a datagram.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from itertools import pairwise

import msgspec

from .routing import DIGEST_BYTES

KEY_BYTES = 4
"""Length of the key of a region's or gateway's name."""
ENTRY_BYTES = KEY_BYTES + DIGEST_BYTES
MAX_REGIONS = 24
"""Regions with an admitted edition that fit a task's state."""
MAX_SUPERSEDED_PER_REGION = 2
"""Superseded editions of one region that some gateway may still use."""
MAX_SUPERSEDED = 10
"""The same, of all regions together."""
MAX_REFUSALS = 3
"""Refusals in the state; above it the oldest is dropped, and proposers that have not seen it are refused
again."""
MAX_PROPOSALS = 3
"""Proposals in a report; the smallest come first, the others once these have ended."""
MAX_KIND_LENGTH = 24
"""Characters of a refusal's kind."""
FORCED = "forced"
NO_EDITION, MIXED_EDITIONS = bytes(DIGEST_BYTES), b"\xff" * DIGEST_BYTES
"""Digests that stand for no edition, and for several."""

Edition = tuple[bytes, bytes]
"""The region's key and the edition's digest."""


def name_key(region: str) -> bytes:
    """Return KEY_BYTES bytes that identify the name of a region or gateway."""
    return hashlib.blake2b(region.encode(), digest_size=KEY_BYTES, person=b"otter-region").digest()


def gateway_fingerprint(gateway: str) -> int:
    """Return 64 bits for a gateway's name.

    Reports add them up modulo 2**64: two sets of gateways with equal size and sum are the same set, but for a
    chance of 2**-64. By counts alone, a gateway counted twice would stand in for a missing one.
    """
    digest = hashlib.blake2b(gateway.encode(), digest_size=8, person=b"otter-counted").digest()
    return int.from_bytes(digest, "big")


class EditionStage(Enum):
    """Stage of an edition as one gateway knows it."""

    ABSENT = "absent"
    PROPOSED = "proposed"
    WITHDRAWN = "withdrawn"
    REFUSED = "refused"
    ROLLING = "rolling"
    """Admitted; another edition of the region may still be active."""
    STANDING = "standing"
    """Admitted, and the only active edition of its region."""
    OLD = "old"
    """Superseded; it may still be active."""


class EditionEvent(Enum):
    """What moves an edition to another stage."""

    PROPOSED = "proposed by a script"
    WITHDRAWN = "its proposers want another, or are not heard"
    REFUSED = "refused"
    ADMITTED = "admitted, others may be acted on"
    SETTLED = "nothing else is acted on"
    SUPERSEDED = "another is admitted after it"
    FORGOTTEN = "the state no longer names it"


_A, _P, _W, _X, _R, _S, _O = EditionStage
_ROWS: dict[EditionStage, tuple[EditionStage | None, ...]] = {
    # For each stage, the stage after each event: one column for each member of EditionEvent, in its order
    # (PROPOSED, WITHDRAWN, REFUSED, ADMITTED, SETTLED, SUPERSEDED, FORGOTTEN). None: impossible, for the
    # reason in UNREACHABLE. A gateway may have missed any number of states, so events from the state are
    # possible in any stage; events from a script are not.
    _A: (_P, None, _X, _R, _S, _O, None),
    _P: (_P, _W, _X, _R, _S, _O, _P),
    _W: (_P, None, _X, _R, _S, _O, _A),
    _X: (_P, None, _X, _R, _S, _O, _A),
    _R: (None, None, _X, None, _S, _O, _A),
    _S: (None, None, _X, _R, None, _O, _A),
    _O: (_P, None, _X, _R, _S, None, _A),
}
TRANSITIONS: dict[tuple[EditionStage, EditionEvent], EditionStage] = {
    (stage, event): after
    for stage, row in _ROWS.items()
    for event, after in zip(EditionEvent, row, strict=True)
    if after is not None
}
UNREACHABLE: dict[tuple[EditionStage, EditionEvent], str] = {
    **{(x, EditionEvent.WITHDRAWN): "only a proposed edition is withdrawn" for x in (_A, _W, _X, _R, _S, _O)},
    (_A, EditionEvent.FORGOTTEN): "an edition that the state does not list is not removed from it",
    (_R, EditionEvent.ADMITTED): "an unchanged entry of the state is no event",
    (_S, EditionEvent.SETTLED): "an unchanged entry of the state is no event",
    (_O, EditionEvent.SUPERSEDED): "an unchanged entry of the state is no event",
    **{
        (x, EditionEvent.PROPOSED): "an admitted edition is active and is not proposed again"
        for x in (_R, _S)
    },
}


class Refusal(msgspec.Struct, frozen=True, array_like=True):
    """A refused proposal, or a forced one with its conflict."""

    region: bytes
    edition: bytes
    sequence: int
    """Of the state that first listed it: a proposal raised later is checked anew."""
    kind: str
    """Kind of the conflict; FORCED: the edition was admitted nevertheless, and is logged like a refusal."""
    reason_digest: bytes = NO_EDITION
    """Digest of the full reason, with a request that shows the conflict."""


class _PackedState(msgspec.Struct, frozen=True, array_like=True):
    sequence: int
    newest: bytes
    superseded: bytes
    refusals: tuple[Refusal, ...] = ()


class EditionsError(ValueError):
    """Bytes that are not a valid rollout state or report."""


@dataclass(frozen=True, slots=True)
class RolloutState:
    """The state of the task."""

    sequence: int = 0
    """Incremented by each change."""
    newest: Mapping[bytes, bytes] = field(default_factory=dict)
    """By region, the edition admitted last."""
    superseded: Mapping[bytes, tuple[bytes, ...]] = field(default_factory=dict)
    """By region, older editions that some gateway may still use, the oldest first."""
    refusals: tuple[Refusal, ...] = ()
    """The latest ones, the oldest first."""

    def pack(self) -> bytes:
        """Return the state's binary form."""
        return msgspec.msgpack.encode(
            _PackedState(
                self.sequence,
                b"".join(x + self.newest[x] for x in sorted(self.newest)),
                b"".join(x + y for x in sorted(self.superseded) for y in self.superseded[x]),
                self.refusals,
            )
        )

    @staticmethod
    def unpack(state: bytes) -> RolloutState:
        """Decode a state; empty bytes are the initial one. Raises EditionsError if it is malformed."""
        if not state:
            return RolloutState()
        try:
            packed = msgspec.msgpack.decode(state, type=_PackedState)
        except msgspec.MsgspecError as error:
            raise EditionsError(f"state: {error}") from error
        superseded: dict[bytes, tuple[bytes, ...]] = {}
        for region, edition in _entries(packed.superseded):
            superseded[region] = (*superseded.get(region, ()), edition)
        return RolloutState(packed.sequence, dict(_entries(packed.newest)), superseded, packed.refusals)

    def possibly_active(self, region: bytes) -> tuple[bytes, ...]:
        """Return the editions that gateways of a region may use, the oldest first."""
        newest = self.newest.get(region)
        return () if newest is None else (*self.superseded.get(region, ()), newest)

    def all_possibly_active(self) -> tuple[Edition, ...]:
        """Return the editions of all regions that may be active."""
        return tuple((x, y) for x in sorted(self.newest) for y in self.possibly_active(x))

    def with_admitted(self, region: bytes, edition: bytes) -> RolloutState:
        """Return the state with a new edition; the one before may be active until all gateways have
        reported."""
        before = tuple(x for x in self.possibly_active(region) if x != edition)
        superseded = {**self.superseded, region: before} if before else {**self.superseded}
        refusals = tuple(x for x in self.refusals if (x.region, x.edition) != (region, edition))
        return replace(
            self, sequence=self.sequence + 1, newest={**self.newest, region: edition}, superseded=superseded,
            refusals=refusals,
        )  # fmt: skip

    def with_refusal(self, region: bytes, edition: bytes, kind: str, reason_digest: bytes) -> RolloutState:
        """Return the state with a refusal, which replaces an earlier one of the same edition."""
        sequence = self.sequence + 1
        others = tuple(x for x in self.refusals if (x.region, x.edition) != (region, edition))
        refusal = Refusal(region, edition, sequence, kind[:MAX_KIND_LENGTH], reason_digest)
        return replace(self, sequence=sequence, refusals=(*others, refusal)[-MAX_REFUSALS:])

    def with_settled(self, region: bytes) -> RolloutState:
        """Return the state in which only the newest edition of a region may be active."""
        superseded = {x: y for x, y in self.superseded.items() if x != region}
        return replace(self, sequence=self.sequence + 1, superseded=superseded)

    def events(self) -> dict[Edition, tuple[EditionEvent, int]]:
        """Return the event that the state implies for each listed edition, with a refusal's sequence or 0.

        The sequence tells a repeated refusal from the one before.
        """
        found = {(x.region, x.edition): (EditionEvent.REFUSED, x.sequence) for x in self.refusals}
        for region, newest in self.newest.items():
            for edition in self.superseded.get(region, ()):
                found.setdefault((region, edition), (EditionEvent.SUPERSEDED, 0))
            found[region, newest] = (
                EditionEvent.ADMITTED if region in self.superseded else EditionEvent.SETTLED,
                0,
            )
        return found


def _entries(data: bytes) -> list[Edition]:
    if len(data) % ENTRY_BYTES:
        raise EditionsError(f"expected a multiple of {ENTRY_BYTES} bytes, found {len(data)}")
    return [
        (data[x : x + KEY_BYTES], data[x + KEY_BYTES : x + ENTRY_BYTES])
        for x in range(0, len(data), ENTRY_BYTES)
    ]


@dataclass(frozen=True, slots=True, order=True)
class Proposal:
    """A gateway's request to admit an edition."""

    region: bytes
    edition: bytes
    """MIXED_EDITIONS: no new edition, but an operator's command to disregard the region's unreachable
    gateways."""
    base: bytes
    """The region's newest edition when the proposal was raised; it is void once another is admitted."""
    after_refusal: int
    """The highest sequence of a refusal known to the proposer; only later refusals answer the proposal."""
    proposer: bytes
    """Key of the name of the gateway to fetch the edition from."""
    forced: bool = False
    """An operator's command to admit it despite conflicts."""

    SIZE = KEY_BYTES + 2 * DIGEST_BYTES + 4 + KEY_BYTES

    def pack(self) -> bytes:
        """Return the proposal's binary form of SIZE bytes."""
        after_refusal = (self.forced << 31 | min(self.after_refusal, 2**31 - 1)).to_bytes(4, "big")
        return self.region + self.edition + self.base + after_refusal + self.proposer

    @staticmethod
    def unpack(data: bytes) -> Proposal:
        """Decode SIZE bytes."""
        ends = (
            0,
            KEY_BYTES,
            ENTRY_BYTES,
            ENTRY_BYTES + DIGEST_BYTES,
            ENTRY_BYTES + DIGEST_BYTES + 4,
            Proposal.SIZE,
        )
        region, edition, base, after_refusal, proposer = (data[x:y] for x, y in pairwise(ends))
        number = int.from_bytes(after_refusal, "big")
        return Proposal(region, edition, base, number & 2**31 - 1, proposer, number >> 31 == 1)

    @property
    def key(self) -> tuple[bytes, bytes, bytes]:
        """Region, edition and base: what proposals of several gateways for one change have in common."""
        return self.region, self.edition, self.base


class _PackedReport(msgspec.Struct, frozen=True, array_like=True):
    gateway_count: int
    min_sequence: int
    fingerprint_sum: bytes
    active: bytes
    proposals: bytes


@dataclass(frozen=True, slots=True)
class EditionReport:
    """Active editions and proposals of one gateway, or merged from many."""

    gateway_count: int = 0
    fingerprint_sum: int = 0
    """Sum of `gateway_fingerprint` modulo 2**64; 0 also if regions had to be left out."""
    min_sequence: int = 0
    """The lowest sequence of a state that any of the gateways has applied: a report older than the last
    admission says nothing about editions in use since."""
    active: Mapping[bytes, bytes] = field(default_factory=dict)
    """By region, the edition that all reporting gateways use; NO_EDITION, or MIXED_EDITIONS if they
    differ."""
    proposals: tuple[Proposal, ...] = ()

    def pack(self) -> bytes:
        """Return the report's binary form, with MAX_REGIONS regions at most."""
        listed = sorted(self.active)
        active = b"".join(x + self.active[x] for x in listed[:MAX_REGIONS])
        # A report with regions left out must not count as one of the whole fleet.
        fingerprint_sum = self.fingerprint_sum if len(listed) <= MAX_REGIONS else 0
        proposals = b"".join(x.pack() for x in self.proposals)
        return msgspec.msgpack.encode(
            _PackedReport(
                self.gateway_count, self.min_sequence, fingerprint_sum.to_bytes(8, "big"), active, proposals
            )
        )

    @staticmethod
    def unpack(data: bytes) -> EditionReport:
        """Decode a report. Raises EditionsError if it is malformed."""
        try:
            packed = msgspec.msgpack.decode(data, type=_PackedReport)
        except msgspec.MsgspecError as error:
            raise EditionsError(f"report: {error}") from error
        size = Proposal.SIZE
        if len(packed.proposals) % size or packed.gateway_count < 0 or len(packed.fingerprint_sum) != 8:
            raise EditionsError("report: a field has the wrong length")
        listed = [packed.proposals[x : x + size] for x in range(0, len(packed.proposals), size)]
        fingerprint_sum = int.from_bytes(packed.fingerprint_sum, "big")
        proposals = tuple(map(Proposal.unpack, listed))
        return EditionReport(
            packed.gateway_count,
            fingerprint_sum,
            packed.min_sequence,
            dict(_entries(packed.active)),
            proposals,
        )


def merge_edition_reports(reports: Iterable[EditionReport]) -> EditionReport:
    """Merge reports; their order makes no difference."""
    gateway_count = fingerprint_sum = 0
    min_sequence: int | None = None
    is_complete = True
    active: dict[bytes, bytes] = {}
    proposals: dict[tuple[bytes, bytes, bytes], Proposal] = {}
    for report in reports:
        gateway_count, fingerprint_sum = (
            gateway_count + report.gateway_count,
            (fingerprint_sum + report.fingerprint_sum) % 2**64,
        )
        if report.gateway_count:
            min_sequence = (
                report.min_sequence if min_sequence is None else min(min_sequence, report.min_sequence)
            )
        is_complete = is_complete and (report.fingerprint_sum > 0 or report.gateway_count == 0)
        for region, edition in report.active.items():
            active[region] = edition if active.get(region, edition) == edition else MIXED_EDITIONS
        for proposal in report.proposals:
            known = proposals.get(proposal.key, proposal)
            after_refusal, proposer = (
                max(known.after_refusal, proposal.after_refusal),
                min(known.proposer, proposal.proposer),
            )
            forced = known.forced or proposal.forced
            proposals[proposal.key] = replace(
                proposal, after_refusal=after_refusal, proposer=proposer, forced=forced
            )
    listed = sorted(proposals.values())[:MAX_PROPOSALS]
    return EditionReport(
        gateway_count, fingerprint_sum if is_complete else 0, min_sequence or 0, active, tuple(listed)
    )

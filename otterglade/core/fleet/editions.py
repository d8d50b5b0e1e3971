"""What the duty `routes` keeps and tells: which editions of each region may be acted on, how an edition comes
and goes, and what gateways propose.

A region is named by four bytes of a digest of its name, an edition by its own digest: so the state of two
dozen regions fits what voters hold whole, and the sum of any number of gateways fits a datagram.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from itertools import pairwise

import msgspec

from .routing import DIGEST_BYTES

KEY = 4
"""Bytes of a region's key."""
ENTRY = KEY + DIGEST_BYTES
MOST_REGIONS = 24
"""With an admitted edition: what a duty's state has room for."""
MOST_OLDER = 2
"""Older editions of one region that some gateway may still act on."""
MOST_OLDER_IN_ALL = 10
"""Of all regions together."""
MOST_REFUSALS = 3
"""Told at once; the one before is forgotten, and its proposers, if they have not heard, are refused again."""
MOST_PROPOSALS = 3
"""In a sum; the smallest come first, the others when these have ended."""
MOST_KIND = 24
"""Letters of a refusal's kind."""
FORCED = "forced"
NONE, MIXED = bytes(DIGEST_BYTES), b"\xff" * DIGEST_BYTES
"""No edition; several."""

Edition = tuple[bytes, bytes]
"""Region's key and digest."""


def key_of(region: str) -> bytes:
    return hashlib.blake2b(region.encode(), digest_size=KEY, person=b"otter-region").digest()


def mark_of(gateway: str) -> int:
    """What a gateway adds to the marks of those counted, modulo 2**64: two sets of one size and one sum are
    one set, but by a chance of 2**-64. Counts alone would take one counted twice for one that is missing."""
    digest = hashlib.blake2b(gateway.encode(), digest_size=8, person=b"otter-counted").digest()
    return int.from_bytes(digest, "big")


class Stage(Enum):
    """Of an edition, as one gateway knows it."""

    ABSENT = "absent"
    PROPOSED = "proposed"
    WITHDRAWN = "withdrawn"
    REFUSED = "refused"
    ROLLING = "rolling"
    """Admitted; another may still be acted on."""
    STANDING = "standing"
    """Admitted, and nothing else of its region is acted on."""
    OLD = "old"
    """Another was admitted after it; it may still be acted on."""


class Event(Enum):
    ASKED = "proposed by a script"
    TAKEN_BACK = "its proposers want another, or are not heard"
    REFUSED = "refused"
    ADMITTED = "admitted, others may be acted on"
    SETTLED = "nothing else is acted on"
    FOLLOWED = "another is admitted after it"
    FORGOTTEN = "the state no longer names it"


_A, _P, _W, _X, _R, _S, _O = Stage
_ROWS: dict[Stage, tuple[Stage | None, ...]] = {
    # In the order of Event. None: can't happen, with the reason below. A gateway may have missed any number
    # of states, so what the state says leads anywhere; what a script says is bound to what went before.
    _A: (_P, None, _X, _R, _S, _O, None),
    _P: (_P, _W, _X, _R, _S, _O, _P),
    _W: (_P, None, _X, _R, _S, _O, _A),
    _X: (_P, None, _X, _R, _S, _O, _A),
    _R: (None, None, _X, None, _S, _O, _A),
    _S: (None, None, _X, _R, None, _O, _A),
    _O: (_P, None, _X, _R, _S, None, _A),
}
NEXT: dict[tuple[Stage, Event], Stage] = {
    (stage, event): after
    for stage, row in _ROWS.items()
    for event, after in zip(Event, row, strict=True)
    if after is not None
}
UNREACHABLE: dict[tuple[Stage, Event], str] = {
    **{(x, Event.TAKEN_BACK): "only what is proposed is taken back" for x in (_A, _W, _X, _R, _S, _O)},
    (_A, Event.FORGOTTEN): "what the state does not name it does not forget",
    (_R, Event.ADMITTED): "what the state says again is no event",
    (_S, Event.SETTLED): "what the state says again is no event",
    (_O, Event.FOLLOWED): "what the state says again is no event",
    **{(x, Event.ASKED): "what is admitted is acted on: nothing is left to propose" for x in (_R, _S)},
}


class Refusal(msgspec.Struct, frozen=True, array_like=True):
    region: bytes
    edition: bytes
    number: int
    """Of the state that it came with: a proposal raised after it is judged anew."""
    kind: str
    """Of the conflict; FORCED: no refusal, but told as one is."""
    more: bytes = NONE
    """Digest of the whole reason, with the request that shows it."""


class _Packed(msgspec.Struct, frozen=True, array_like=True):
    number: int
    newest: bytes
    older: bytes
    refusals: tuple[Refusal, ...] = ()


class EditionsError(ValueError):
    """Bytes that are no state or no sum of this program."""


@dataclass(frozen=True, slots=True)
class Book:
    """The state of the duty."""

    number: int = 0
    """Counts its changes."""
    newest: Mapping[bytes, bytes] = field(default_factory=dict)
    """By region, what was admitted last."""
    older: Mapping[bytes, tuple[bytes, ...]] = field(default_factory=dict)
    """By region, what some gateway may still act on, the oldest first."""
    refusals: tuple[Refusal, ...] = ()
    """The last ones, the oldest first."""

    def pack(self) -> bytes:
        return msgspec.msgpack.encode(
            _Packed(
                self.number,
                b"".join(x + self.newest[x] for x in sorted(self.newest)),
                b"".join(x + y for x in sorted(self.older) for y in self.older[x]),
                self.refusals,
            )
        )

    @staticmethod
    def unpack(state: bytes) -> Book:
        """Empty bytes are a state in which nothing was ever admitted. Raises EditionsError."""
        if not state:
            return Book()
        try:
            packed = msgspec.msgpack.decode(state, type=_Packed)
        except msgspec.MsgspecError as error:
            raise EditionsError(f"state: {error}") from error
        older: dict[bytes, tuple[bytes, ...]] = {}
        for region, edition in _entries(packed.older):
            older[region] = (*older.get(region, ()), edition)
        return Book(packed.number, dict(_entries(packed.newest)), older, packed.refusals)

    def may(self, region: bytes) -> tuple[bytes, ...]:
        """What gateways of a region may act on."""
        newest = self.newest.get(region)
        return () if newest is None else (*self.older.get(region, ()), newest)

    def acted_on(self) -> tuple[Edition, ...]:
        """All editions that may be acted on, anywhere."""
        return tuple((x, y) for x in sorted(self.newest) for y in self.may(x))

    def admits(self, region: bytes, edition: bytes) -> Book:
        """One more is admitted. The one before may be acted on until every gateway is heard not to."""
        before = tuple(x for x in self.may(region) if x != edition)
        older = {**self.older, region: before} if before else {**self.older}
        refusals = tuple(x for x in self.refusals if (x.region, x.edition) != (region, edition))
        return replace(
            self, number=self.number + 1, newest={**self.newest, region: edition}, older=older,
            refusals=refusals,
        )  # fmt: skip

    def refuses(self, region: bytes, edition: bytes, kind: str, more: bytes) -> Book:
        number = self.number + 1
        others = tuple(x for x in self.refusals if (x.region, x.edition) != (region, edition))
        told = Refusal(region, edition, number, kind[:MOST_KIND], more)
        return replace(self, number=number, refusals=(*others, told)[-MOST_REFUSALS:])

    def settles(self, region: bytes) -> Book:
        """Nothing but the newest is acted on in a region."""
        older = {x: y for x, y in self.older.items() if x != region}
        return replace(self, number=self.number + 1, older=older)

    def events(self) -> dict[Edition, tuple[Event, int]]:
        """What the state says of each edition it names; with a refusal's number, as it may be told anew."""
        found = {(x.region, x.edition): (Event.REFUSED, x.number) for x in self.refusals}
        for region, newest in self.newest.items():
            for edition in self.older.get(region, ()):
                found.setdefault((region, edition), (Event.FOLLOWED, 0))
            found[region, newest] = (Event.ADMITTED if region in self.older else Event.SETTLED, 0)
        return found


def _entries(data: bytes) -> list[Edition]:
    if len(data) % ENTRY:
        raise EditionsError(f"entries of {ENTRY} bytes: {len(data)} bytes")
    return [(data[x : x + KEY], data[x + KEY : x + ENTRY]) for x in range(0, len(data), ENTRY)]


@dataclass(frozen=True, slots=True, order=True)
class Proposal:
    """What a gateway asks for."""

    region: bytes
    edition: bytes
    """MIXED: nothing new, but to forget what unheard gateways of the region may act on: a person's word."""
    base: bytes
    """What the gateway acted on when it was raised: it is admitted against nothing else."""
    after: int
    """The highest number of a refusal that it comes after."""
    by: bytes
    """Key of the gateway's name: whom to fetch it from."""
    forced: bool = False
    """A person's word that it is to be admitted in spite of conflicts."""

    SIZE = KEY + 2 * DIGEST_BYTES + 4 + KEY

    def pack(self) -> bytes:
        after = (self.forced << 31 | min(self.after, 2**31 - 1)).to_bytes(4, "big")
        return self.region + self.edition + self.base + after + self.by

    @staticmethod
    def unpack(data: bytes) -> Proposal:
        ends = (0, KEY, ENTRY, ENTRY + DIGEST_BYTES, ENTRY + DIGEST_BYTES + 4, Proposal.SIZE)
        region, edition, base, after, by = (data[x:y] for x, y in pairwise(ends))
        number = int.from_bytes(after, "big")
        return Proposal(region, edition, base, number & 2**31 - 1, by, number >> 31 == 1)

    @property
    def subject(self) -> tuple[bytes, bytes, bytes]:
        return self.region, self.edition, self.base


class _Told(msgspec.Struct, frozen=True, array_like=True):
    count: int
    seen: int
    marks: bytes
    acts: bytes
    proposals: bytes


@dataclass(frozen=True, slots=True)
class Sum:
    """What gateways act on and propose: of one, or of many joined."""

    count: int = 0
    marks: int = 0
    """Of those counted, see `mark_of`; 0 also where not all could be told."""
    seen: int = 0
    """The lowest number of a state that any of them goes by: a sum that is older than the last admission
    tells nothing of what is acted on since."""
    acts: Mapping[bytes, bytes] = field(default_factory=dict)
    """By region, the one edition that those heard act on; NONE, or MIXED."""
    proposals: tuple[Proposal, ...] = ()

    def pack(self) -> bytes:
        listed = sorted(self.acts)
        acts = b"".join(x + self.acts[x] for x in listed[:MOST_REGIONS])
        # With regions left out nobody may take the sum for one of all.
        marks = self.marks if len(listed) <= MOST_REGIONS else 0
        proposals = b"".join(x.pack() for x in self.proposals)
        return msgspec.msgpack.encode(_Told(self.count, self.seen, marks.to_bytes(8, "big"), acts, proposals))

    @staticmethod
    def unpack(data: bytes) -> Sum:
        """Raises EditionsError."""
        try:
            told = msgspec.msgpack.decode(data, type=_Told)
        except msgspec.MsgspecError as error:
            raise EditionsError(f"sum: {error}") from error
        size = Proposal.SIZE
        if len(told.proposals) % size or told.count < 0 or len(told.marks) != 8:
            raise EditionsError("sum: cut")
        listed = [told.proposals[x : x + size] for x in range(0, len(told.proposals), size)]
        marks = int.from_bytes(told.marks, "big")
        proposals = tuple(map(Proposal.unpack, listed))
        return Sum(told.count, marks, told.seen, dict(_entries(told.acts)), proposals)


def joined(sums: Iterable[Sum]) -> Sum:
    """Several as one, in whatever order they come."""
    count = marks = 0
    seen: int | None = None
    whole = True
    acts: dict[bytes, bytes] = {}
    proposals: dict[tuple[bytes, bytes, bytes], Proposal] = {}
    for one in sums:
        count, marks = count + one.count, (marks + one.marks) % 2**64
        if one.count:
            seen = one.seen if seen is None else min(seen, one.seen)
        whole = whole and (one.marks > 0 or one.count == 0)
        for region, edition in one.acts.items():
            acts[region] = edition if acts.get(region, edition) == edition else MIXED
        for proposal in one.proposals:
            held = proposals.get(proposal.subject, proposal)
            after, by = max(held.after, proposal.after), min(held.by, proposal.by)
            forced = held.forced or proposal.forced
            proposals[proposal.subject] = replace(proposal, after=after, by=by, forced=forced)
    listed = sorted(proposals.values())[:MOST_PROPOSALS]
    return Sum(count, marks if whole else 0, seen or 0, acts, tuple(listed))

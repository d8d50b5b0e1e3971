"""Claims of paid attempts at hosts, which let gateways that do not communicate detect each other's set-ups.

They prevent a double charge: a viewer's paid set-up is in progress or playing at one gateway, that gateway
crashes or the viewer goes to another one, which does not know of it and charges again. So before any byte of
a paid attempt is sent, it is claimed at registrars: hosts of the title that every gateway computes alike from
viewer, class and title (rendezvous hashing, Thaler and Ravishankar 1998). A registrar keeps one claim per
viewer's session and answers a second claimant with the set-up key of the first; the claimant then queries the
host of that key, as after a crash, and applies `attempts.resolve_attempt`. With two registrars, one may be
down or have lost its claims; if none is available, the attempt is not sent.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from .attempts import AttemptRecord, AttemptState, Key
from .messages import SetUp

MAX_SETTLED_SESSIONS = 50_000
"""Sessions whose settled set-ups are remembered; a claim of a dropped one costs one query to its host."""


def registrar_cells(key: Key, cells: Iterable[int], count: int) -> list[int]:
    """The `count` cells, of those that hold a title, with the highest weights for a viewer's session."""

    def weight(cell: int) -> bytes:
        text = f"{cell}\0{key[1]}\0{key[2]}\0{key[0]}".encode()
        return hashlib.blake2b(text, digest_size=8, person=b"otter-claims").digest()

    return sorted(cells, key=weight, reverse=True)[:count]


class Claim(msgspec.Struct, frozen=True):
    """A claim as sent to a registrar and returned by it, in JSON; the field names are its keys."""

    viewer: str
    session_class: str = msgspec.field(name="class")
    title: str
    setup: str
    server: int
    epoch: str = ""
    rung: int = 0
    top: int = 0
    seen: bool = False
    """Whether its viewer was answered that it is playing; after that, its end is no loss to the viewer."""
    replaces: tuple[str, ...] = ()
    """Set-up keys of the same session that are settled: this claim replaces theirs."""

    def to_record(self, class_no: int, recorded_at: float) -> AttemptRecord:
        """The record of the claimed attempt, for a query to its host; `recorded_at` is Unix time."""
        state = AttemptState.RAN if self.seen else AttemptState.BEGUN
        key = (self.viewer, class_no, self.title)
        return AttemptRecord(
            self.setup, state, recorded_at, key, self.server, self.epoch, self.rung, self.top
        )


def claim_from_record(record: AttemptRecord, session_class: str, replaces: tuple[str, ...]) -> Claim:
    """The claim of an attempt, which replaces those of the set-up keys in `replaces`."""
    viewer, _, title = record.key
    return Claim(
        viewer, session_class, title, record.setup, record.server, record.epoch, record.rung, record.top,
        record.state is AttemptState.RAN, replaces,
    )  # fmt: skip


@dataclass(slots=True)
class PendingAttempt:
    """A paid attempt that waits for the disk and its registrars before it is sent."""

    setup: SetUp
    record: AttemptRecord
    registrars_pending: set[int]
    """Server numbers of the registrars that have not answered."""
    written: bool = False
    """Whether its record is durable."""
    grants: int = 0
    """Registrars that have granted the claim."""
    conflicting: AttemptRecord | None = None
    """Another gateway's attempt at the same session, from a registrar or a witness."""

    @property
    def is_settled(self) -> bool:
        """Whether the record is durable and all registrars have answered."""
        return self.written and not self.registrars_pending


class SettledSetups:
    """The latest settled set-up keys per session, whose claims a new claim replaces.

    Bounded: keeps eight keys per session and the last `MAX_SETTLED_SESSIONS` sessions.
    """

    def __init__(self) -> None:
        self._keys: OrderedDict[Key, tuple[str, ...]] = OrderedDict()

    def add(self, key: Key, setup: str) -> None:
        """Remember that a set-up of a session is settled."""
        known = self._keys.pop(key, ())
        self._keys[key] = (*known, setup)[-8:] if setup not in known else known
        if len(self._keys) > MAX_SETTLED_SESSIONS:
            self._keys.popitem(last=False)

    def setups_for(self, key: Key) -> tuple[str, ...]:
        """Return the settled set-up keys of a session, oldest first."""
        return self._keys.get(key, ())

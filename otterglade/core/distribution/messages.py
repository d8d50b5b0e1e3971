"""What subscribers, relays, voters and the writer say to one another, each a body of an HTTP exchange.

A subscriber is whoever reads: a gateway, a relay, a voter that is not the writer. `POST /v1/revisions/read`
carries a ReadRequest and is answered with a ReadAnswer, at once where the server holds a later revision than
the one asked from, otherwise when it does, at the latest after `wait` seconds (a blocking read, as the
registry's). The request is the acknowledgement as well: `in_force` is what the sender acts upon.
"""

from __future__ import annotations

import msgspec

from .revision import Change, Delta, RevisionId

INLINE_BYTES = 16 * 1024
"""Bytes of an encoded delta that is sent within the answer; a larger one goes in parts."""
PART_BYTES = 16 * 1024
"""Bytes of one part of a transfer at most."""
NAME_BYTES = 100
"""Bytes of the name of a gateway or control machine at most, as in the script."""
REASON_BYTES = 200
"""Bytes of the reason for a revision that was not applied; longer ones are cut."""
STRAGGLERS = 16
"""Subscribers behind that a report names at most."""
REVISIONS = 8
"""Revisions that a report counts one by one, the latest; older ones count together."""


class Rejection(msgspec.Struct, frozen=True, array_like=True):
    """A revision that a subscriber could not apply; it goes on with the one in force."""

    revision: RevisionId
    reason: str


class Straggler(msgspec.Struct, frozen=True, array_like=True):
    """A subscriber that does not act on the revision that its relay holds."""

    name: str
    in_force: RevisionId
    behind_s: float
    """Seconds since its relay has held a later revision."""
    reason: str = ""
    """Why it could not apply it; empty: it has not said."""


class Count(msgspec.Struct, frozen=True, array_like=True):
    """How many subscribers act upon a revision."""

    revision: RevisionId
    subscribers: int


class Report(msgspec.Struct, frozen=True, array_like=True):
    """What all subscribers below a relay act upon, added up; its size does not grow with their number."""

    subscribers: int = 0
    counts: tuple[Count, ...] = ()
    """The REVISIONS latest, latest first."""
    older: int = 0
    """Subscribers on still older revisions."""
    behind: int = 0
    """Subscribers that do not act on what their relay holds."""
    stragglers: tuple[Straggler, ...] = ()
    """Those longest behind, STRAGGLERS at most."""


class ReadRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for what came after a revision, and acknowledges the one in force."""

    name: str
    run: str
    """Drawn anew at each start of the sender."""
    in_force: RevisionId
    """Applied: the sender acts upon it, and on nothing older any more."""
    root: bytes
    """Digest of the sender's mapping at `in_force`."""
    wait: float
    """Seconds for which the answer may wait for a later revision."""
    rejection: Rejection | None = None
    """The latest revision that the sender could not apply."""
    report: Report | None = None
    """Of a relay or voter: those below it. None: a gateway."""
    whole: bool = False
    """Asks for a snapshot: the digest of what a delta led to did not fit."""


class Transfer(msgspec.Struct, frozen=True, array_like=True):
    """A delta or snapshot too large for one answer: to be fetched in parts."""

    digest: bytes
    """Of the bytes of all parts, in order."""
    size: int
    """Bytes of all parts."""
    target: RevisionId
    whole: bool
    """Whether it is a snapshot; otherwise a delta from the revision asked from."""


class ReadAnswer(msgspec.Struct, frozen=True, array_like=True):
    """What came after the revision asked from."""

    revision: RevisionId
    """The latest that the server holds."""
    delta: Delta | None = None
    transfer: Transfer | None = None
    """At most one of the two; with none of them there is nothing later."""
    compacted: bool = False
    """Whether history since the revision asked from is gone, so that the transfer is a snapshot."""


class PartRequest(msgspec.Struct, frozen=True, array_like=True):
    """`POST /v1/revisions/part`: bytes of a transfer from an offset on."""

    name: str
    digest: bytes
    offset: int


class PartAnswer(msgspec.Struct, frozen=True, array_like=True):
    """PART_BYTES at most; empty data: the server does not hold that transfer (any more)."""

    digest: bytes
    offset: int
    data: bytes


class StoreRequest(msgspec.Struct, frozen=True, array_like=True):
    """`POST /v1/revisions/store`, writer to voter: keep this revision's content durably before it is put to
    the vote. It is not accepted yet: nobody may act upon it or pass it on."""

    writer: str
    delta: Delta
    proposals: tuple[str, ...] = ()
    """Those that the delta is made of, so that a later writer knows them as well."""


class StoreAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Whether the content is durable at the voter."""

    voter: str
    target: RevisionId
    root: bytes
    stored: bool
    reason: str = ""
    """Why not, e.g. the voter does not hold the base: then it reads first."""


class ProposeRequest(msgspec.Struct, frozen=True, array_like=True):
    """`POST /v1/revisions/propose`, a person's tool to any control machine: changes to be made.

    Answered when a majority of voters has accepted a revision that has them, or with the reason why not. Sent
    again with the same `proposal` it is not applied twice while the writer remembers it.
    """

    proposal: str
    """Drawn by the proposer, names this proposal."""
    changes: tuple[Change, ...]


class ProposeAnswer(msgspec.Struct, frozen=True, array_like=True):
    """What became of a proposal."""

    proposal: str
    accepted: bool
    revision: RevisionId | None = None
    reason: str = ""
    writer: str = ""
    """Whom to ask instead, where this control machine is not the writer and knows who is."""


class MessageError(ValueError):
    """Bytes that are no message of this kind, or out of its bounds."""

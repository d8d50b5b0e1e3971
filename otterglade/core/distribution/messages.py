"""Messages between subscribers, relays, voters and the writer, each the body of an HTTP request or response.

A subscriber is any reader: a gateway, a relay, or a voter that is not the writer. `POST /v1/revisions/read`
carries a ReadRequest and is answered with a ReadAnswer: immediately if the server has a later revision than
the requested base, otherwise as soon as it has one, at the latest after `wait` seconds (a blocking read, as
the registry's). The request is also the acknowledgement: `in_force` is the revision that the sender applies.
"""

from __future__ import annotations

import msgspec

from .revision import Change, Delta, RevisionId

MAX_INLINE_BYTES = 16 * 1024
"""Largest encoded delta that is sent inline in an answer; larger ones are fetched in parts."""
MAX_PART_BYTES = 16 * 1024
"""Maximum size of one part of a transfer."""
MAX_NAME_BYTES = 100
"""Maximum size of the name of a gateway or control machine; the script has the same limit."""
MAX_REASON_BYTES = 200
"""Maximum size of the reason why a revision was not applied; longer ones are truncated."""
MAX_STRAGGLERS = 16
"""Maximum number of stragglers that a report names."""
MAX_COUNTED_REVISIONS = 8
"""Latest revisions that a report counts individually; older ones are counted together."""


class Rejection(msgspec.Struct, frozen=True, array_like=True):
    """A revision that a subscriber could not apply; it keeps the one in force."""

    revision: RevisionId
    reason: str


class Straggler(msgspec.Struct, frozen=True, array_like=True):
    """A subscriber whose revision in force differs from the head of its relay."""

    name: str
    in_force: RevisionId
    behind_s: float
    """Seconds since its relay received a later revision."""
    reason: str = ""
    """Why it could not apply the later revision; empty: not reported."""


class SubscriberCount(msgspec.Struct, frozen=True, array_like=True):
    """The number of subscribers that have a revision in force."""

    revision: RevisionId
    subscribers: int


class Report(msgspec.Struct, frozen=True, array_like=True):
    """The revisions in force at all subscribers below a relay, aggregated to a bounded size."""

    subscribers: int = 0
    counts: tuple[SubscriberCount, ...] = ()
    """For the MAX_COUNTED_REVISIONS latest revisions, latest first."""
    older: int = 0
    """Subscribers on older revisions."""
    behind: int = 0
    """Subscribers whose revision in force differs from the head of their relay."""
    stragglers: tuple[Straggler, ...] = ()
    """The subscribers longest behind, at most MAX_STRAGGLERS."""


class ReadRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests the changes after a revision, and acknowledges the revision in force."""

    name: str
    run: str
    """Random, new at each start of the sender."""
    in_force: RevisionId
    """The revision that the sender has applied; it will not go back to an older one."""
    root: bytes
    """Digest of the sender's mapping at `in_force`."""
    wait: float
    """Seconds that the server may delay the answer until there is a later revision."""
    rejection: Rejection | None = None
    """The latest revision that the sender could not apply."""
    report: Report | None = None
    """From a relay or voter: the report of the subscribers below it. None: a gateway."""
    wants_snapshot: bool = False
    """Requests a snapshot, after content that did not match its digest or base."""


class Transfer(msgspec.Struct, frozen=True, array_like=True):
    """A delta or snapshot that is too large for one answer and is fetched in parts."""

    digest: bytes
    """Digest of the concatenated parts."""
    size: int
    """Bytes of all parts together."""
    target: RevisionId
    is_snapshot: bool
    """Whether it is a snapshot; otherwise it is a delta from the requested base."""


class ReadAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The changes after the requested base."""

    revision: RevisionId
    """The latest revision of the server."""
    delta: Delta | None = None
    transfer: Transfer | None = None
    """At most one of `delta` and `transfer` is set; none if there is no later revision."""
    compacted: bool = False
    """Whether the history since the requested base is compacted, so that the transfer is a snapshot."""


class PartRequest(msgspec.Struct, frozen=True, array_like=True):
    """`POST /v1/revisions/part`: requests the bytes of a transfer from an offset."""

    name: str
    digest: bytes
    offset: int


class PartAnswer(msgspec.Struct, frozen=True, array_like=True):
    """At most MAX_PART_BYTES of a transfer; empty data: the server does not have that transfer (any more)."""

    digest: bytes
    offset: int
    data: bytes


class StoreRequest(msgspec.Struct, frozen=True, array_like=True):
    """`POST /v1/revisions/store`, writer to voter: store this revision's content durably before the vote.

    The revision is not accepted yet: the voter must neither apply it nor pass it on.
    """

    writer: str
    delta: Delta
    proposals: tuple[str, ...] = ()
    """Names of the proposals in the delta, so that a later writer recognizes them as well."""


class StoreAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Reports whether the content is durable at the voter."""

    voter: str
    target: RevisionId
    root: bytes
    stored: bool
    reason: str = ""
    """Why it is not stored, e.g. the voter does not have the base and has to read it first."""


class ProposeRequest(msgspec.Struct, frozen=True, array_like=True):
    """`POST /v1/revisions/propose`, operator's tool to any control machine: requests changes.

    It is answered when a majority of voters has accepted a revision with the changes, or with the reason why
    not. Sent again with the same `proposal`, it is not applied twice while the writer remembers it.
    """

    proposal: str
    """Unique name of this proposal, chosen by the proposer."""
    changes: tuple[Change, ...]


class ProposeAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The outcome of a proposal."""

    proposal: str
    accepted: bool
    revision: RevisionId | None = None
    reason: str = ""
    writer: str = ""
    """The writer to ask instead, if this control machine is not the writer and knows it."""


class MessageError(ValueError):
    """Bytes that do not decode to the expected message, or a field that is out of bounds."""

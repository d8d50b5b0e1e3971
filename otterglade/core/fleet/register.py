"""Replicated register of a leader task: its owner and state, stored by a few voters without a log.

CASPaxos (Rystsov 2018) with ballots as in Paxos (Lamport 1998, 2001): a value counts once a majority of the
configured voters has accepted it. A proposer first obtains promises of a higher ballot from a majority, reads
the values they have accepted, and continues from the highest. A ballot that has won carries one value after
another, each with a version `(term, number)`; the next one only after a majority has accepted the one before.

Leases are enforced by the voters: one that has accepted a value from an owner, or renewed its lease, promises
nothing to other gateways for the lease's duration; one that has (re)started promises nothing for as long, as
it doesn't know which leases it granted before. Only clock rates are trusted, within
`LeaseTiming.clock_drift`; clocks of different machines are never compared.

This module has the values, records, requests and replies of the protocol; the voter is in `acceptor.py`, the
candidate and owner in `proposer.py`.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

import msgspec

Ballot = tuple[int, str, str]
"""Counter, name and run of the proposer: two processes with the same name never share a ballot."""
NO_BALLOT: Ballot = (0, "", "")
ValueVersion = tuple[int, int]
"""Term and number of a value."""
MAX_COUNTER = 1 << 53
"""Bound of ballot counters and terms: larger ones are invalid, as one at the limit would
leave no higher ballot to other proposers."""


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Intervals and timeouts of the protocol, in seconds, and sizes of the tree."""

    period: float = 0.5
    """Between two reports to the gateway above, two lease renewals, or two decisions."""
    lease: float = 2.0
    """For which a voter promises nothing to gateways other than the owner."""
    order_lifetime: float = 1.5
    """For which an order holds, counted from the report that it answers."""
    clock_drift: float = 0.05
    """Fraction by which the owner shortens the lease and its successor lengthens the quiet period: it covers
    two clocks whose rates are each off by half of it."""
    answer_timeout: float = 0.3
    """After which an unanswered report goes to another gateway, and for which a promise holds off other
    candidates."""
    retry_interval: float = 0.1
    """After which a request is repeated to voters that have not replied."""
    round_timeout: float = 1.0
    """For which a candidate waits for promises of a majority, unless their disks are still writing."""
    rank_delay: float = 0.1
    """Between the candidacies of one rank and the next."""
    fan_out: int = 8
    """Gateways that report directly to one gateway in the tree."""
    max_guest_reports: int = 8
    """Reports accepted in addition from gateways that aren't children, as their path to the parent is cut."""

    @property
    def owner_lease(self) -> float:
        """Seconds of the lease on the owner's clock, counted from the sending of the request."""
        return self.lease * (1.0 - self.clock_drift)

    @property
    def quiet_period(self) -> float:
        """Seconds for which a new owner changes nothing: longer than any order of its predecessor holds."""
        return self.order_lifetime / (1.0 - self.clock_drift)


@dataclass(frozen=True, slots=True)
class Voters:
    """A configured set of voters, with the number that an operator gave it."""

    names: tuple[str, ...]
    number: int = 1
    previous: tuple[str, ...] = ()
    """The set with the next lower number, while it may still count."""
    forced: str = ""
    """Operator's reason for ignoring the previous set, whose majority is permanently lost."""

    def __post_init__(self) -> None:
        if not self.names or self.number < 1:
            raise ValueError(f"voters: found {list(self.names)}, number {self.number}; allowed: some, from 1")

    @property
    def all(self) -> tuple[str, ...]:
        """Names of all voters to be asked, the previous set included unless the change is forced."""
        return tuple(sorted({*self.names, *(() if self.forced else self.previous)}))

    def is_joint(self, settled: int) -> bool:
        """Return whether a quorum needs both sets; `settled` is the number that both have accepted under."""
        return bool(self.previous) and not self.forced and settled < self.number

    def has_quorum(self, names: Collection[str], settled: int) -> bool:
        """Return whether these are a majority of the voters and, while it counts, of the previous set.

        It is always a majority of the configured voters, not of those that replied.
        """
        voter_sets = (self.names, self.previous) if self.is_joint(settled) else (self.names,)
        return all(sum(x in names for x in voter_set) > len(voter_set) // 2 for voter_set in voter_sets)

    def refusal(self, settled: int) -> str:
        """Return why this set can't continue from a value settled under number `settled`; empty if it can."""
        if settled > self.number:
            return f"voters number {settled} is in force; this gateway's script has {self.number}"
        follows = self.is_joint(settled) and settled in (0, self.number - 1)
        if self.forced or follows or settled == self.number or (settled == 0 and self.number == 1):
            return ""
        return (
            f"voters number {self.number} can't follow {settled}: one was skipped, or voters_before left out"
        )


class StoredValue(msgspec.Struct, frozen=True, array_like=True):
    """The value of a register."""

    term: int
    owner: str
    run: str
    number: int
    state: bytes
    voters_number: int
    """The highest set of voters that majorities of both sets have accepted under."""
    forced: str = ""
    """Operator's reason, if that number was forced."""

    @property
    def version(self) -> ValueVersion:
        """Term and number; rises with each value of a register."""
        return self.term, self.number


class VoteQuestion(Enum):
    """Kinds of requests to a voter."""

    PRE_VOTE = "would"
    """Whether the voter would promise; binds neither side (pre-vote: Ongaro 2014, section 9.6)."""
    PREPARE = "prepare"
    ACCEPT = "accept"
    RENEW = "renew"
    READ = "read"
    """Request for its record, by a voter that may have lost its own."""
    HAND_OVER = "yours"
    """To the successor at a planned stop: the value that names it as owner is being sent to the voters."""


class VoteRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request to a voter."""

    task_name: str
    question: VoteQuestion
    ballot: Ballot
    voters_number: int
    """Of the sender's set of voters."""
    value: StoredValue | None = None


class VoteResult(Enum):
    """Outcomes of a request to a voter."""

    YES = "yes"
    NO = "no"
    WRITING = "writes"
    """Its disk is still writing: neither a result yet nor a failure to reply."""
    ABSTAINS = "abstains"


class VoteReply(msgspec.Struct, frozen=True, array_like=True):
    """A voter's reply."""

    task_name: str
    question: VoteQuestion
    result: VoteResult
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: StoredValue | None = None
    """Sent only with a promise and in a reply to READ."""
    settled_number: int = 0
    version: ValueVersion = (0, 0)
    """Of the value it has accepted."""
    binding_seconds: float = 0.0
    """Seconds for which it will promise nothing."""
    voters_number: int = 0
    """The highest set of voters that it has accepted under."""
    highest_term: int = 0
    """The highest term of an order that this gateway has applied."""
    reason: str = ""


class VoterRecord(msgspec.Struct, frozen=True, array_like=True, tag="voter"):
    """Log record with a voter's promise and accepted value of a task; the last one counts."""

    task_name: str
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: StoredValue | None = None
    voters_number: int = 0
    """The highest set of voters that it has accepted under."""
    doubtful: bool = False
    """Its log may have lost records: it votes again once it has read the others' records."""

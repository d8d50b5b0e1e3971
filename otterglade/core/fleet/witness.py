"""Witnesses: replicas of paid attempts' records on other gateways, for when the hosts have lost all claims.

In a power loss hosts forget their claims (`core/claims.py`). If gateway A had a paid set-up in progress and
its viewer then comes to gateway B, B's claim is granted by registrars that remember nothing, and the viewer
is charged twice, whether A returns early, late or never. A paid attempt is therefore also claimed at
witnesses before its first byte is sent: a few gateways that all gateways derive alike from viewer, class and
title by rendezvous hashing (Thaler and Ravishankar 1998). Each writes the claim to its disk before it
replies, and a majority has to grant it. Two majorities share a member (Gifford 1979), so of two attempts at
one session the later one learns of the earlier one, whichever gateways are unavailable.

A grant by witnesses is necessary, never sufficient: registrars and the gateway's own log are asked as
before, and a refusal by any of the three is enough. A witness abstains if it may have lost records: its disk
is empty, outdated or not writable.
"""

from __future__ import annotations

import hashlib
import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from ..attempts import AttemptState
from ..claims import Claim
from .messages import MAX_BODY_BYTES

MAX_CLAIMS = 100_000
"""A witness with this many claims abstains, as dropping one would lose a record."""

EXPIRY_CHECKS_PER_CLAIM = 4
"""Oldest claims of each state that are checked for expiry with each new claim; bounds its cost."""

SessionKey = tuple[str, str, str]
"""Viewer, class and title: identifies a session on all gateways."""


def session_key(claim: Claim) -> SessionKey:
    """Key of the session that a claim is for."""
    return (claim.viewer, claim.session_class, claim.title)


def select_witnesses(key: SessionKey, gateways: Iterable[str], count: int) -> list[str]:
    """Witnesses of a session: the `count` gateways with the highest hash weights, highest first."""

    def weight(gateway: str) -> bytes:
        text = "\0".join((gateway, *key)).encode()
        return hashlib.blake2b(text, digest_size=8, person=b"otter-witness").digest()

    return sorted(gateways, key=weight, reverse=True)[:count]


class ClaimState(Enum):
    """State of a session at a witness; the values are stored in its log."""

    NONE = "nothing"
    BEGUN = "begun"
    """An attempt that may be running."""
    SEEN = "seen"
    """The session is playing, and its viewer was answered."""


class ClaimEvent(Enum):
    """What a claim or a settlement means for the recorded claim of its session."""

    CLAIMED = "claimed, nothing stands or the same set-up"
    REPLACED = "claimed, by one that knows the one that stands to be settled"
    CONTESTED = "claimed, by one that does not"
    SEEN = "its viewer was told that it plays"
    ENDED = "nothing of it matters any more"
    UNRELATED = "word of a set-up that does not stand"
    EXPIRED = "as old as stated"


_N, _B, _S = ClaimState
TRANSITIONS: dict[tuple[ClaimState, ClaimEvent], ClaimState] = {
    (_N, ClaimEvent.CLAIMED): _B,
    (_N, ClaimEvent.UNRELATED): _N,
    (_B, ClaimEvent.CLAIMED): _B,  # the reply was lost, and the claim is repeated
    (_B, ClaimEvent.REPLACED): _B,
    (_B, ClaimEvent.CONTESTED): _B,  # unchanged: the claimant gets the recorded claim
    (_B, ClaimEvent.SEEN): _S,
    (_B, ClaimEvent.ENDED): _N,
    (_B, ClaimEvent.UNRELATED): _B,
    (_B, ClaimEvent.EXPIRED): _N,
    (_S, ClaimEvent.CLAIMED): _S,  # a late duplicate changes nothing
    (_S, ClaimEvent.REPLACED): _B,
    (_S, ClaimEvent.CONTESTED): _S,
    (_S, ClaimEvent.SEEN): _S,
    (_S, ClaimEvent.ENDED): _N,
    (_S, ClaimEvent.UNRELATED): _S,
    (_S, ClaimEvent.EXPIRED): _N,
}
UNREACHABLE: dict[tuple[ClaimState, ClaimEvent], str] = {
    (_N, x): "no claim is recorded that the event could refer to"
    for x in (
        ClaimEvent.REPLACED,
        ClaimEvent.CONTESTED,
        ClaimEvent.SEEN,
        ClaimEvent.ENDED,
        ClaimEvent.EXPIRED,
    )
}


class WitnessReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply of a witness to a claim."""

    setup: str
    granted: bool
    abstain_reason: str = ""
    """Why the witness abstains; empty: it doesn't."""
    conflicting_claim: Claim | None = None
    """Recorded claim of another attempt."""
    write_pending: bool = False
    """The record is being written: neither a decision nor a missing reply."""


class ClaimSettlement(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of a claimed set-up: its viewer has seen it (`seen`), or it has ended."""

    viewer: str
    session_class: str
    title: str
    setup: str
    seen: bool


class WitnessRecord(msgspec.Struct, frozen=True, array_like=True):
    """Record of a witness's log: the state of a session from this record on."""

    claim: Claim
    state: str


class WitnessError(ValueError):
    """A log record that cannot be decoded."""


@dataclass(slots=True)
class WitnessedClaim:
    """A recorded claim with its state."""

    claim: Claim
    state: ClaimState
    recorded_at: float
    """On this run's clock. Records of an earlier run count from the start of this one, so they are kept
    longer, never shorter, whatever the wall clock says."""


class Witness:
    """Claims of other gateways recorded at this one. A reply may be sent once its record is durable."""

    def __init__(self, unsure_for: float, seen_for: float) -> None:
        """Seconds for which a claim is kept in state BEGUN (`unsure_for`) and SEEN (`seen_for`)."""
        self._retention = {ClaimState.BEGUN: unsure_for, ClaimState.SEEN: seen_for}
        self.claims: dict[SessionKey, WitnessedClaim] = {}
        self._by_age: dict[ClaimState, dict[SessionKey, None]] = {x: {} for x in self._retention}
        """Keys by state, the longest in that state first. The states expire after different times, so one
        order for all would not be an order by expiry."""
        self._pending: set[str] = set()
        """Set-ups whose record is being written. A repeated claim is not granted before the record is
        durable, as a power loss could still undo it."""
        self.abstain_reason = ""
        """Why this witness abstains; empty: it doesn't."""
        self.appended = 0

    def restore(self, records: Iterable[bytes], now: float) -> None:
        """Applies the records of the log in their order. Raises WitnessError."""
        for data in records:
            try:
                record = msgspec.msgpack.decode(data, type=WitnessRecord)
                state = ClaimState(record.state)
            except (msgspec.MsgspecError, ValueError) as error:
                raise WitnessError(f"unreadable witness record: {error}") from error
            if state is ClaimState.NONE:
                self._forget(session_key(record.claim))
            else:
                self._store(WitnessedClaim(record.claim, state, now))

    def handle_claim(self, now: float, claim: Claim) -> tuple[WitnessReply, bytes | None]:
        """Reply to a claim, and the record to make durable before it is sent; None: nothing has changed.

        Call `record_written` or `record_failed` for each record.
        """
        if self.abstain_reason:
            return WitnessReply(claim.setup, False, self.abstain_reason), None
        key = session_key(claim)
        self._expire(now, key)
        recorded = self.claims.get(key)
        if recorded is None or recorded.claim.setup == claim.setup:
            event = ClaimEvent.CLAIMED
        elif recorded.claim.setup in claim.replaces:
            event = ClaimEvent.REPLACED
        else:
            event = ClaimEvent.CONTESTED
        if recorded is None and len(self.claims) >= MAX_CLAIMS:
            return WitnessReply(claim.setup, False, f"{MAX_CLAIMS} claims kept already"), None
        after = TRANSITIONS[ClaimState.NONE if recorded is None else recorded.state, event]
        if event is ClaimEvent.CONTESTED:
            assert recorded is not None, "only a recorded claim can conflict"
            return WitnessReply(claim.setup, False, conflicting_claim=recorded.claim), None
        if recorded is not None and event is ClaimEvent.CLAIMED:
            write_pending = claim.setup in self._pending
            return WitnessReply(claim.setup, not write_pending, write_pending=write_pending), None
        self._pending.add(claim.setup)
        own_claim = msgspec.structs.replace(claim, replaces=())
        self._store(WitnessedClaim(own_claim, after, now))
        return WitnessReply(claim.setup, True), self._encode_record(own_claim, after)

    def record_written(self, setup: str) -> None:
        """The record of a set-up's claim is durable."""
        self._pending.discard(setup)

    def record_failed(self, setup: str, reason: str) -> None:
        """The record of a set-up's claim could not be written: drops the claim; the witness abstains."""
        self._pending.discard(setup)
        for key in [x for x, y in self.claims.items() if y.claim.setup == setup]:
            self._forget(key)
        self.abstain_reason = reason

    def settle_claim(self, now: float, settlement: ClaimSettlement) -> bytes | None:
        """Applies the outcome of a set-up; returns the record to write, for which no reply waits."""
        key = (settlement.viewer, settlement.session_class, settlement.title)
        recorded = self.claims.get(key)
        if recorded is None or recorded.claim.setup != settlement.setup:
            event = ClaimEvent.UNRELATED
        else:
            event = ClaimEvent.SEEN if settlement.seen else ClaimEvent.ENDED
        before = ClaimState.NONE if recorded is None else recorded.state
        after = TRANSITIONS[before, event]
        if recorded is None or after is before:
            return None
        claim = msgspec.structs.replace(recorded.claim, seen=after is ClaimState.SEEN)
        if after is ClaimState.NONE:
            self._forget(key)
        else:
            self._store(WitnessedClaim(claim, after, now))
        return self._encode_record(claim, after)

    def _store(self, recorded: WitnessedClaim) -> None:
        """Records a claim as the latest in its state."""
        key = session_key(recorded.claim)
        self._forget(key)
        self.claims[key] = recorded
        self._by_age[recorded.state][key] = None

    def _forget(self, key: SessionKey) -> None:
        recorded = self.claims.pop(key, None)
        if recorded is not None:
            del self._by_age[recorded.state][key]

    def _expire(self, now: float, requested: SessionKey) -> None:
        """Drops expired claims: that of the requested session, and the oldest of each state. More are checked
        than a claim adds, so that none stays for ever."""
        for state, order in self._by_age.items():
            for key in (requested, *itertools.islice(order, EXPIRY_CHECKS_PER_CLAIM)):
                if key not in order or now - self.claims[key].recorded_at <= self._retention[state]:
                    continue
                if TRANSITIONS[state, ClaimEvent.EXPIRED] is ClaimState.NONE:
                    self._forget(key)

    def _encode_record(self, claim: Claim, state: ClaimState) -> bytes:
        self.appended += 1
        return msgspec.msgpack.encode(WitnessRecord(claim, state.value))

    def wants_snapshot(self) -> bool:
        """Whether the log has grown so far beyond the recorded claims that it should be compacted."""
        return self.appended > 1000 + 4 * len(self.claims)

    def snapshot(self) -> list[bytes]:
        """Records of all claims, to replace the log."""
        self.appended = 0
        return [msgspec.msgpack.encode(WitnessRecord(x.claim, x.state.value)) for x in self.claims.values()]


class PollVerdict(Enum):
    """Result of a poll of witnesses."""

    GRANTED = "granted"
    CONTESTED = "contested"
    NO_MAJORITY = "no majority could be had"


@dataclass(slots=True)
class WitnessPoll:
    """Request of one attempt to its witnesses; each replies once or counts as not answering."""

    claim: Claim
    witnesses: tuple[str, ...]
    resend_at: float = 0.0
    """Time of the next claim message to witnesses without a reply."""
    reply_deadline: float = 0.0
    """Time at which witnesses without any reply count as not answering."""
    final_deadline: float = 0.0
    """Time until which witnesses that are writing the record may answer; the viewer waits no longer."""
    pending_writes: set[str] = field(default_factory=set)
    granted: set[str] = field(default_factory=set)
    refused: dict[str, str] = field(default_factory=dict)
    """Reason of each witness that abstained, refused or did not answer."""
    conflicting_claim: Claim | None = None

    def __post_init__(self) -> None:
        """Drops the oldest set-ups from `claim.replaces` until the claim fits into a datagram.

        A witness then reports a dropped one as a conflict, which costs one more request. A claim that is too
        long would reach no witness, and its viewer would be rejected.
        """
        while self.claim.replaces and len(msgspec.msgpack.encode(self.claim)) > MAX_BODY_BYTES:
            self.claim = msgspec.structs.replace(self.claim, replaces=self.claim.replaces[1:])

    @property
    def majority(self) -> int:
        """Number of grants that are needed."""
        return len(self.witnesses) // 2 + 1

    @property
    def unanswered(self) -> list[str]:
        """Witnesses that have neither granted nor refused."""
        return [x for x in self.witnesses if x not in self.granted and x not in self.refused]

    @property
    def verdict(self) -> PollVerdict | None:
        """Result so far; None: not decided yet. A single report of a conflicting claim decides."""
        if self.conflicting_claim is not None:
            return PollVerdict.CONTESTED
        if len(self.granted) >= self.majority:
            return PollVerdict.GRANTED
        short = len(self.granted) + len(self.unanswered) < self.majority
        return PollVerdict.NO_MAJORITY if short else None

    def record_reply(self, witness: str, reply: WitnessReply) -> bool:
        """Applies a witness's reply; returns whether it was expected and decides for that witness."""
        if witness not in self.unanswered or reply.setup != self.claim.setup:
            return False
        if reply.write_pending:
            self.pending_writes.add(witness)
            return False
        if reply.granted:
            self.granted.add(witness)
        else:
            self.refused[witness] = reply.abstain_reason or "another claim is recorded"
            # A claim whose session was not seen to play takes precedence, as the safer case.
            if reply.conflicting_claim is not None and (
                self.conflicting_claim is None or not reply.conflicting_claim.seen
            ):
                self.conflicting_claim = reply.conflicting_claim
        return True

    def expire_unanswered(self, now: float) -> None:
        """Counts witnesses without a reply as not answering; those that are writing have until
        `final_deadline`."""
        for witness in self.unanswered:
            if witness not in self.pending_writes:
                self.refused[witness] = "no answer"
            elif now >= self.final_deadline:
                self.refused[witness] = "its disk write timed out"
        self.reply_deadline = max(self.reply_deadline, self.final_deadline)


SEEN_BY_ATTEMPT_STATE = {AttemptState.RAN: True, AttemptState.NEVER_RAN: False, AttemptState.ENDED: False}
"""Attempt states that are reported to witnesses, with the value of `ClaimSettlement.seen`. An attempt that
may have run stays claimed, as does one that another gateway has taken over."""

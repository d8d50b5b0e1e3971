"""Records of paid attempts, and their recovery after a crash of the gateway.

They prevent a double charge: the gateway crashes between the first byte of a set-up and its answer, the
viewer asks again with the same key, and a second set-up is sent although the first one ran. So an attempt is
on disk before it is sent, its new state is recorded once it is known, and the attempts that are open at a
start are resolved by asking their hosts before their viewers are answered.

The table `TRANSITIONS` lists the state changes of an attempt; each is one record.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

import msgspec

from . import interface as api

Key = tuple[str, int, str]
"""Identifies a viewer's session: viewer, class number, title."""


class AttemptState(Enum):
    """State of a paid attempt; the values are stored."""

    BEGUN = "begun"
    """Recorded, and possibly sent."""
    NEVER_RAN = "never ran"
    """It is certain that it did not run."""
    RAN = "ran"
    """It ran, and its viewer was answered that it is playing."""
    ENDED = "over"
    """Its session has ended after the viewer was answered."""
    UNSURE = "unsure"
    """It may have run without the viewer's knowledge."""
    TAKEN_OVER = "taken over"
    """Another gateway has taken over its session, which is still playing."""


class HostAnswer(Enum):
    """A host's answer about a set-up key."""

    PLAYING = "plays"
    """The session is playing."""
    NEVER_RAN = "never"
    """It never ran and never will: when asked, the host marks the key as refused."""
    ENDED = "ended"
    """It ran and has ended."""
    NO_ANSWER = "silent"
    """No answer, or an inconclusive one."""
    HOST_RESTARTED = "restarted"
    """The host has restarted since: nothing runs there any more, and whether it ran is unknown."""


class AttemptRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record of the attempts' log. Times are Unix seconds, as the monotonic clock restarts at a
    reboot."""

    setup: str
    """The set-up key at its host, never used twice."""
    state: AttemptState
    recorded_at: float
    key: Key
    server: int
    epoch: str = ""
    """Epoch of the host process that it was sent to; empty if unknown."""
    rung: int = 0
    top: int = 0


class AttemptRecordError(ValueError):
    """Bytes that are not a record of the attempts' log."""


def encode(record: AttemptRecord) -> bytes:
    """Encode a record as MessagePack."""
    return msgspec.msgpack.encode(record)


def decode(data: bytes) -> AttemptRecord:
    """Decode a record. Raises AttemptRecordError."""
    try:
        return msgspec.msgpack.decode(data, type=AttemptRecord)
    except msgspec.MsgspecError as error:
        raise AttemptRecordError(f"record of the attempts' log: {error}") from error


TRANSITIONS: dict[AttemptState, frozenset[AttemptState]] = {
    # On disk, and perhaps sent. RAN once its viewer is answered; a session that ends before that is UNSURE,
    # or ENDED where its viewer's signed address proves that it was playing (`resolve_resumed`).
    AttemptState.BEGUN: frozenset({
        AttemptState.NEVER_RAN, AttemptState.RAN, AttemptState.UNSURE, AttemptState.TAKEN_OVER,
        AttemptState.ENDED,
    }),
    # It plays and its viewer knows: a start finds it again, another gateway may take it over, or it ends.
    AttemptState.RAN: frozenset({AttemptState.RAN, AttemptState.ENDED, AttemptState.TAKEN_OVER}),
    # It may have run without its viewer's knowledge: only time changes that.
    AttemptState.UNSURE: frozenset(),
    # Nothing of it matters any more: the table has dropped it.
    AttemptState.NEVER_RAN: frozenset(),
    AttemptState.ENDED: frozenset(),
    AttemptState.TAKEN_OVER: frozenset(),
}  # fmt: skip
"""States that may follow each state. The state-space search (`otterglade/explore/`) checks each recorded
change against it."""

FORGOTTEN_STATES = {AttemptState.NEVER_RAN, AttemptState.ENDED, AttemptState.TAKEN_OVER}
"""States whose attempts are dropped from the table."""


class AttemptTable:
    """All attempts that may still affect a viewer, by set-up key."""

    def __init__(self, unsure_for: float) -> None:
        """`unsure_for`: seconds for which an unsure attempt prevents a new charge to its viewer."""
        self._unsure_for = unsure_for
        self.records: dict[str, AttemptRecord] = {}
        self.appended_records = 0
        """Records appended to the log since the last snapshot."""

    def add(self, record: AttemptRecord) -> bytes:
        """Apply a record to the table, and return its bytes for the log."""
        self._apply(record)
        self.appended_records += 1
        return encode(record)

    def _apply(self, record: AttemptRecord) -> None:
        if record.state in FORGOTTEN_STATES:
            self.records.pop(record.setup, None)
        else:
            self.records[record.setup] = record

    def change_state(self, setup: str, state: AttemptState, now: float) -> bytes | None:
        """Change an attempt's state; returns the bytes for the log, or None for an unknown attempt."""
        record = self.records.get(setup)
        if record is None:
            return None
        return self.add(msgspec.structs.replace(record, state=state, recorded_at=now))

    def restore(self, data_records: Iterable[bytes]) -> None:
        """Apply the records of a log in order. Raises AttemptRecordError."""
        for data in data_records:
            self._apply(decode(data))

    def prune(self, now: float) -> None:
        """Drop attempts that have been unsure for `unsure_for` seconds. `now` is Unix time.

        If the wall clock is set back, records lie in the future and are kept, which is safe; if it is set
        far ahead, they are dropped early.
        """
        for setup, record in list(self.records.items()):
            if record.state is AttemptState.UNSURE and now - record.recorded_at > self._unsure_for:
                del self.records[setup]

    def snapshot(self, now: float) -> list[bytes]:
        """Return the records that a new start needs, in place of all earlier ones. `now` is Unix time."""
        self.prune(now)
        self.appended_records = 0
        return [encode(x) for x in self.records.values()]

    def wants_snapshot(self) -> bool:
        """Whether the log has grown well beyond the size of the table."""
        return self.appended_records > 1000 + 4 * len(self.records)

    def in_state(self, *states: AttemptState) -> list[AttemptRecord]:
        """Return the attempts that are in one of the states."""
        return [x for x in self.records.values() if x.state in states]


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """An attempt whose state is being queried."""

    record: AttemptRecord
    query_count: int = 0
    give_up_at: float = 0.0
    """Monotonic time after which its host is no longer asked."""


@dataclass(frozen=True, slots=True)
class Resolution:
    """Resolved state of an attempt, and what happens to its session at the host."""

    state: AttemptState
    release: bool = False
    """Whether the host should end what it may have of it."""
    adopt: bool = False
    """Whether the session is playing and this gateway takes it over."""
    resumed: bool = False
    """Whether it was queried because a viewer sent its signed address, not because a log had it open."""


def interpret_answer(record: AttemptRecord, status: int, never_ran: bool, epoch: str) -> HostAnswer:
    """Interpret a host's HTTP status for a set-up key.

    A host that has restarted has lost its records: its "never ran" proves nothing about its earlier run.
    """
    if status == 200:
        return HostAnswer.PLAYING
    if not record.epoch or epoch != record.epoch:
        return HostAnswer.HOST_RESTARTED if status in (404, 410) else HostAnswer.NO_ANSWER
    if status == 404 and never_ran:
        return HostAnswer.NEVER_RAN
    return HostAnswer.ENDED if status == 410 else HostAnswer.NO_ANSWER


def resolve_attempt(attempt: OpenAttempt, answer: HostAnswer, now: float) -> Resolution | None:
    """Resolve an open attempt from its host's answer; None if the host has to be asked again.

    Of a BEGUN attempt nothing is known. A RAN one was playing when the gateway stopped, and the host answers
    whether it still is. What stays unknown until `give_up_at` is unsure if its viewer may never have been
    answered, and ended if it was playing: that viewer may ask for a new session.
    """
    played = attempt.record.state is AttemptState.RAN
    if answer is HostAnswer.PLAYING:
        return Resolution(AttemptState.RAN, adopt=True)
    if answer is HostAnswer.NEVER_RAN:
        # A host loses its record of a session that was playing only by a restart, which ended the session.
        return Resolution(AttemptState.ENDED if played else AttemptState.NEVER_RAN)
    if answer is HostAnswer.ENDED:
        # Unless it was playing, its viewer was charged without seeing it and must not be charged again.
        return Resolution(AttemptState.ENDED if played else AttemptState.UNSURE)
    if answer is HostAnswer.HOST_RESTARTED:
        return Resolution(AttemptState.ENDED if played else AttemptState.UNSURE)
    if now < attempt.give_up_at:
        return None
    return Resolution(AttemptState.ENDED if played else AttemptState.UNSURE, release=True)


class AttemptRecovery:
    """The attempts that were open at the start, until each is resolved.

    It does no I/O: the caller queries the hosts of `unresolved` and passes the answers to `record_answer`.
    """

    def __init__(self, records: Iterable[AttemptRecord], now: float, patience: float) -> None:
        """`patience`: seconds for which hosts are asked, from monotonic time `now`."""
        self.open = {x.setup: OpenAttempt(x, give_up_at=now + patience) for x in records}
        self.resolved_counts: dict[AttemptState, int] = {}

    def is_resolving(self, key: Key) -> bool:
        """Whether an attempt at a viewer's session is still unresolved."""
        return any(x.record.key == key for x in self.open.values())

    def unresolved(self) -> list[AttemptRecord]:
        """Return the attempts to query now, and again after each inconclusive answer."""
        return [x.record for x in self.open.values()]

    def record_answer(
        self, setup: str, answer: HostAnswer, now: float
    ) -> tuple[AttemptRecord, Resolution] | None:
        """Apply a host's answer; returns the resolved attempt, or None for an inconclusive or late answer."""
        attempt = self.open.get(setup)
        if attempt is None:
            return None
        resolution = resolve_attempt(attempt, answer, now)
        if resolution is None:
            self.open[setup] = replace(attempt, query_count=attempt.query_count + 1)
            return None
        del self.open[setup]
        self.resolved_counts[resolution.state] = self.resolved_counts.get(resolution.state, 0) + 1
        return attempt.record, resolution


def resolve_resumed(answer: HostAnswer) -> Resolution:
    """Resolve a session whose viewer sent its signed address, which proves that it was playing once.

    So any answer but PLAYING means that it has ended; it is never unsure.
    """
    is_playing = answer is HostAnswer.PLAYING
    return Resolution(AttemptState.RAN if is_playing else AttemptState.ENDED, adopt=is_playing, resumed=True)


def state_after_outcome(outcome: api.Outcome) -> AttemptState:
    """State to record after an attempt's outcome."""
    if outcome is api.Outcome.DONE:
        return AttemptState.RAN
    return AttemptState.NEVER_RAN if outcome in api.NEVER_RAN else AttemptState.UNSURE

"""A reader of revisions: a gateway, a relay, or a voter that is not the writer.

It has one exchange pending at a time: a blocking read, or a part of a transfer. It applies revisions
atomically, never one older than the revision in force, and only after verifying the digest of the result.
After any failure it keeps the revision in force, waits (exponential backoff with full jitter) and asks
another control machine: a voter or a relay, both of which answer reads. TRANSITIONS is the table of its
states and events.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from .items import DigestError, ItemStore, build_store
from .log import GapError
from .messages import (
    MAX_INLINE_BYTES,
    MAX_PART_BYTES,
    MAX_REASON_BYTES,
    MessageError,
    PartAnswer,
    PartRequest,
    ReadAnswer,
    ReadRequest,
    Rejection,
    Report,
)
from .pacing import Backoff, TokenBucket
from .placement import ControlMachine, rank_machines
from .revision import GENESIS, Change, Delta, RevisionError, RevisionId, Snapshot
from .transfer import Download, decode_delta, decode_snapshot

EXCHANGE_OVERHEAD_BYTES = 1024
"""Bytes of an exchange besides the delta or part: HTTP headers, envelope, and the request."""
MAX_PART_ATTEMPTS = 3
"""Consecutive failures after which a transfer is resumed at another control machine."""

Content = Delta | Snapshot


@dataclass(frozen=True, slots=True)
class SubscriberTiming:
    """Intervals, timeouts and rate limit of a subscriber; in seconds unless stated otherwise."""

    spacing: float = 2.0
    """From an applied revision to the next read, so that changes coalesce."""
    wait: float = 3.0
    """For which the server may block a read. A lost exchange costs `wait` and `grace` the first time and
    `grace` each consecutive time, each with a backoff: four consecutive losses, the spacing and the time to
    the relay have to stay below the 18 s in which a change has to be in force."""
    grace: float = 2.0
    """Timeout of a part, and of a read in addition to `wait`: ten times the round trip between regions."""
    initial_backoff: float = 0.5
    """Maximum delay after a first failure; doubles with each consecutive one."""
    max_backoff: float = 8.0
    """Maximum delay after any failure."""
    return_after: float = 30.0
    """Until the first-ranked control machine is tried again."""
    bytes_per_second: float = 10_000.0
    """Average bytes received per second."""
    burst_bytes: float = 32.0 * 1024
    """Bytes received at once after an idle time."""


RELAY_TIMING = SubscriberTiming(
    spacing=0.1, wait=2.0, grace=3.0, bytes_per_second=4_000_000.0, burst_bytes=1024.0 * 1024
)
"""Of relays and voters: short intervals, as they forward revisions and reports of subscribers."""


@dataclass(frozen=True, slots=True)
class SendRead:
    """Send a ReadRequest and return the answer or failure with its `read_id`."""

    read_id: int
    machine: ControlMachine
    request: ReadRequest
    timeout: float


@dataclass(frozen=True, slots=True)
class FetchPart:
    """Send a PartRequest and return the answer or failure with its `read_id`."""

    read_id: int
    machine: ControlMachine
    request: PartRequest
    timeout: float


@dataclass(frozen=True, slots=True)
class Apply:
    """Put this revision in force; the next read acknowledges it."""

    revision: RevisionId
    changes: tuple[Change, ...]
    is_snapshot: bool
    """Whether `changes` are all items; otherwise they apply to the previous revision."""


@dataclass(frozen=True, slots=True)
class Persist:
    """Write this content to disk, to be passed as `restored` at the next start."""

    content: Content


Action = SendRead | FetchPart | Apply | Persist
ContentValidator = Callable[[Content, ItemStore], str]
"""Validates a revision, given the current mapping; returns the reason to reject it, or an empty text."""


def accept_all(content: Content, store: ItemStore) -> str:
    """Accept any revision."""
    return ""


class State(Enum):
    """State of a subscriber."""

    WAITING = "no exchange is out; the next is a read"
    READING = "a read is out"
    PAUSED = "a transfer is under way, no part is out"
    FETCHING = "a part is out"


class Event(Enum):
    """Event that changes the state of a subscriber."""

    READ = "a read goes out"
    ANSWERED = "an answer without a transfer came"
    TRANSFER_OFFERED = "an answer with a transfer came"
    PART_REQUESTED = "a part is asked for"
    PART_RECEIVED = "a part came, others are missing"
    PART_FAILED = "a part did not come, and is tried again"
    TRANSFER_COMPLETED = "the last part came"
    FAILED = "the exchange failed, or what it brought can't be used"
    MACHINES_CHANGED = "other control machines are to be read from"


TRANSITIONS: dict[tuple[State, Event], State] = {
    (State.WAITING, Event.READ): State.READING,
    (State.WAITING, Event.MACHINES_CHANGED): State.WAITING,
    (State.READING, Event.ANSWERED): State.WAITING,
    (State.READING, Event.TRANSFER_OFFERED): State.PAUSED,
    (State.READING, Event.FAILED): State.WAITING,
    (State.READING, Event.MACHINES_CHANGED): State.WAITING,
    (State.PAUSED, Event.PART_REQUESTED): State.FETCHING,
    (State.PAUSED, Event.MACHINES_CHANGED): State.WAITING,
    (State.FETCHING, Event.PART_RECEIVED): State.PAUSED,
    (State.FETCHING, Event.PART_FAILED): State.PAUSED,
    (State.FETCHING, Event.TRANSFER_COMPLETED): State.WAITING,
    (State.FETCHING, Event.FAILED): State.WAITING,
    (State.FETCHING, Event.MACHINES_CHANGED): State.WAITING,
}
"""Any other combination of state and event is impossible."""


@dataclass(frozen=True, slots=True)
class _Exchange:
    read_id: int
    sent_at: float
    deadline: float


class Subscriber:
    """Reads revisions; its owner, a single thread, executes the actions in order and reports the results."""

    def __init__(
        self,
        name: str,
        run: str,
        machines: Sequence[ControlMachine],
        region: str,
        zone: str,
        now: float,
        seed: int,
        timing: SubscriberTiming | None = None,
        restored: Snapshot | None = None,
        validate: ContentValidator = accept_all,
    ) -> None:
        """`restored` is what an earlier run persisted. Raises DigestError or RevisionError if that is bad."""
        self.name, self.run = name, run
        self._region, self._zone = region, zone
        self._timing = timing or SubscriberTiming()
        self._validate = validate
        self._random = random.Random(seed)
        self._bucket = TokenBucket(self._timing.bytes_per_second, self._timing.burst_bytes, now)
        self._backoff = self._new_backoff()
        self._part_backoff = self._new_backoff()
        self.in_force = GENESIS if restored is None else restored.revision
        """The revision that is applied."""
        self.store = ItemStore() if restored is None else build_store(restored.items, restored.root)
        """The mapping at `in_force`; callers must not modify it."""
        self.stale_refused = 0
        """Offers of a revision not later than the one in force."""
        self.mismatches = 0
        """Contents discarded because base, digest or encoding was wrong."""
        self.rejection: Rejection | None = None
        """The latest revision that `validate` rejected."""
        self.report: Report | None = None
        """Set by a relay before `tick`: the report of the subscribers below it."""
        self.last_failure = ""
        """Reason of the latest failure, for operators."""
        self._ranked_machines: list[ControlMachine] = rank_machines(name, region, zone, machines)
        self._machine_index = 0
        self._retry_first_at = math.inf
        self._has_answered = False
        """Whether the current control machine has answered; until then its reads don't block."""
        self._state = State.WAITING
        self._exchange: _Exchange | None = None
        self._exchanges = 0
        self._requested_from = self.in_force
        """`in_force` when the latest read was sent."""
        self._next_at = now + self._random.uniform(0.0, self._timing.spacing)
        self._download: Download | None = None
        self._wants_snapshot = False
        """Whether the next read requests a snapshot."""

    def _new_backoff(self) -> Backoff:
        return Backoff(self._timing.initial_backoff, self._timing.max_backoff, self._random)

    @property
    def relay(self) -> str:
        """Name of the control machine that is read from; empty if there is none."""
        return self._ranked_machines[self._machine_index].name if self._ranked_machines else ""

    @property
    def state(self) -> State:
        """The current state, for operators and tests."""
        return self._state

    def set_machines(self, now: float, machines: Sequence[ControlMachine]) -> None:
        """Replace the control machines to read from, possibly by none; abandons a pending exchange."""
        self._ranked_machines = rank_machines(self.name, self._region, self._zone, machines)
        self._machine_index, self._retry_first_at, self._has_answered = 0, math.inf, False
        self._exchange, self._download = None, None
        self._transition(Event.MACHINES_CHANGED)
        self._next_at = now

    def adopt(self, content: Content) -> None:
        """Apply a revision that was not read, e.g. a voter's own candidate that was accepted.

        Raises GapError if it does not follow the revision in force, DigestError or RevisionError if it is
        invalid.
        """
        target = _target(content)
        if target <= self.in_force:
            raise GapError(f"revision {target}; in force: {self.in_force}")
        self._install(content, self._check_content(content))

    # Time

    def due(self) -> float:
        """Return the time at which `tick` has something to do; infinity if there is none."""
        if self._exchange is not None:
            return self._exchange.deadline
        return self._next_at if self._ranked_machines else math.inf

    def tick(self, now: float) -> list[Action]:
        """Time out the pending exchange, or start the next one if it is due."""
        if self._exchange is not None:
            if now >= self._exchange.deadline:
                self._fail(now, "timed out")
            return []
        if not self._ranked_machines or now < self._next_at:
            return []
        if self._state is State.PAUSED:
            return self._ask_part(now)
        return self._ask_read(now)

    def _may_receive(self, now: float, size: int) -> bool:
        """Whether the rate limit allows `size` bytes now; otherwise postpone the next exchange."""
        wait = self._bucket.seconds_until(now, size + EXCHANGE_OVERHEAD_BYTES)
        if wait > 0:
            self._next_at = now + wait
        return wait <= 0

    def _ask_read(self, now: float) -> list[Action]:
        if not self._may_receive(now, MAX_INLINE_BYTES):
            return []
        if now >= self._retry_first_at:
            self._machine_index, self._retry_first_at, self._has_answered = 0, math.inf, False
        self._transition(Event.READ)
        self._requested_from = self.in_force
        request = ReadRequest(
            self.name,
            self.run,
            self.in_force,
            self.store.root,
            self._timing.wait if self._has_answered else 0.0,
            self.rejection,
            self.report,
            self._wants_snapshot,
        )
        timeout = request.wait + self._timing.grace
        return [
            SendRead(
                self._start_exchange(now, timeout),
                self._ranked_machines[self._machine_index],
                request,
                timeout,
            )
        ]

    def _ask_part(self, now: float) -> list[Action]:
        assert self._download is not None, "a transfer is in progress"
        if not self._may_receive(now, MAX_PART_BYTES):
            return []
        self._transition(Event.PART_REQUESTED)
        request = PartRequest(self.name, self._download.transfer.digest, self._download.next_offset)
        timeout = self._timing.grace
        return [
            FetchPart(
                self._start_exchange(now, timeout),
                self._ranked_machines[self._machine_index],
                request,
                timeout,
            )
        ]

    def _start_exchange(self, now: float, timeout: float) -> int:
        self._exchanges += 1
        self._exchange = _Exchange(self._exchanges, now, now + timeout)
        return self._exchanges

    def _transition(self, event: Event) -> None:
        self._state = TRANSITIONS[self._state, event]

    # Answers

    def receive_answer(
        self, now: float, read_id: int, answer: ReadAnswer | PartAnswer, size: int
    ) -> list[Action]:
        """Handle the answer of an exchange, `size` bytes in total; ignored if it is no longer pending."""
        self._bucket.spend(now, size)
        exchange = self._exchange
        if exchange is None or exchange.read_id != read_id:
            return []
        match self._state, answer:
            case State.READING, ReadAnswer():
                return self._handle_read_answer(now, exchange, answer)
            case State.FETCHING, PartAnswer():
                return self._handle_part(now, answer)
        self._fail(now, f"unexpected {type(answer).__name__}")
        return []

    def exchange_failed(self, now: float, read_id: int, reason: str) -> list[Action]:
        """Handle an exchange that timed out, was refused, or returned an unreadable answer."""
        if self._exchange is not None and self._exchange.read_id == read_id:
            self._fail(now, reason)
        return []

    def _fail(self, now: float, reason: str) -> None:
        """Retry later: a part first at the same control machine, anything else at the next one."""
        if self._state is not State.FETCHING or self._part_backoff.failures + 1 >= MAX_PART_ATTEMPTS:
            self._switch_machine(now, reason)
            return
        self._exchange = None
        self.last_failure = reason
        self._transition(Event.PART_FAILED)
        self._next_at = now + self._part_backoff.next_delay()

    def _switch_machine(self, now: float, reason: str) -> None:
        """Read from the next control machine, after a backoff."""
        timed_out = self._exchange is not None and now >= self._exchange.deadline
        self._exchange = None
        self.last_failure = reason
        self._transition(Event.FAILED)
        self._part_backoff.reset()
        self._has_answered = False
        self._next_at = now + self._backoff.next_delay()
        self._machine_index = self._index_after(timed_out)
        self._retry_first_at = now + self._timing.return_after if self._machine_index else math.inf

    def _index_after(self, timed_out: bool) -> int:
        """Return the index of the next machine by rank; after a timeout, of the next in another zone, if any.

        A timeout may mean that the zone is disconnected with all its machines.
        """
        count = len(self._ranked_machines)
        zone = self._ranked_machines[self._machine_index].zone
        following = [(self._machine_index + step) % count for step in range(1, count + 1)]
        others = [index for index in following if self._ranked_machines[index].zone != zone]
        return others[0] if timed_out and others else following[0]

    def _discard_content(self, now: float, reason: str) -> None:
        """Discard unusable content, and request a snapshot from another machine."""
        self.mismatches += 1
        self._wants_snapshot, self._download = True, None
        self._switch_machine(now, reason)

    def _handle_read_answer(self, now: float, exchange: _Exchange, answer: ReadAnswer) -> list[Action]:
        self._has_answered = True
        offered = answer.delta or answer.transfer
        if offered is None or self.in_force != self._requested_from:
            self._finish_exchange(Event.ANSWERED, max(now, exchange.sent_at + self._timing.spacing))
            return []
        if answer.delta is not None and answer.transfer is not None:
            self._fail(now, f"answer of {answer.revision} with both a delta and a transfer")
        elif not self._is_later(offered.target):
            self._fail(
                now, f"offered {offered.target}, which is rejected or not later than {self.in_force} in force"
            )
        elif answer.delta is not None:
            return self._apply_content(now, answer.delta)
        elif answer.transfer is not None:
            self._start_transfer(now, answer)
        return []

    def _is_later(self, target: RevisionId) -> bool:
        """Whether `target` is later than the revision in force and the one rejected."""
        if target <= self.in_force:
            self.stale_refused += 1
            return False
        return self.rejection is None or target > self.rejection.revision

    def _finish_exchange(self, event: Event, next_at: float) -> None:
        """Complete an exchange successfully; the next one starts at `next_at`."""
        self._transition(event)
        self._exchange = None
        self._backoff.reset()
        self._next_at = next_at

    def _start_transfer(self, now: float, answer: ReadAnswer) -> None:
        assert answer.transfer is not None, "checked by the caller"
        try:
            download = Download(answer.transfer)
        except MessageError as error:
            self._fail(now, str(error))
            return
        if self._download is None or self._download.transfer != answer.transfer:
            self._download = download
        self._transition(Event.TRANSFER_OFFERED)
        self._exchange = None
        self._next_at = now

    def _handle_part(self, now: float, part: PartAnswer) -> list[Action]:
        assert self._download is not None, "a transfer is in progress"
        if not part.data:
            self._download = None
            self._switch_machine(now, "the transfer has expired at the server")
            return []
        try:
            self._download.add_part(part)
        except MessageError as error:
            self._fail(now, str(error))
            return []
        self._part_backoff.reset()
        if not self._download.is_complete:
            self._transition(Event.PART_RECEIVED)
            self._exchange = None
            self._next_at = now
            return []
        return self._finish_transfer(now, self._download)

    def _finish_transfer(self, now: float, download: Download) -> list[Action]:
        self._download = None
        if self.in_force != self._requested_from:
            self._finish_exchange(Event.TRANSFER_COMPLETED, now + self._timing.spacing)
            return []
        try:
            data = download.data()
            content: Content = decode_snapshot(data) if download.transfer.is_snapshot else decode_delta(data)
        except (DigestError, MessageError) as error:
            self._discard_content(now, str(error))
            return []
        target = _target(content)
        if target != download.transfer.target:
            self._discard_content(now, f"transfer of {target}; announced: {download.transfer.target}")
            return []
        if self._is_later(target):
            return self._apply_content(now, content)
        self._switch_machine(
            now, f"transferred {target}, which is rejected or not later than {self.in_force} in force"
        )
        return []

    # Applying

    def _apply_content(self, now: float, content: Content) -> list[Action]:
        """Apply a later revision atomically, unless it is invalid or rejected."""
        try:
            store = self._check_content(content)
        except (DigestError, GapError, RevisionError) as error:
            self._discard_content(now, str(error))
            return []
        event = Event.ANSWERED if self._state is State.READING else Event.TRANSFER_COMPLETED
        self._finish_exchange(event, now + self._timing.spacing)
        self._wants_snapshot = False
        reason = self._validate(content, self.store)
        if reason:
            self._reject(content, reason)
            return []
        self._install(content, store)
        if isinstance(content, Delta):
            return [Apply(self.in_force, content.changes, is_snapshot=False), Persist(content)]
        return [Apply(self.in_force, content.items, is_snapshot=True), Persist(content)]

    def _check_content(self, content: Content) -> ItemStore:
        """Return the mapping of a snapshot, or the one that a delta applies to.

        Raises GapError, DigestError or RevisionError if the content can't be applied.
        """
        if isinstance(content, Snapshot):
            return build_store(content.items, content.root)
        if content.base != self.in_force or content.base_root != self.store.root:
            raise GapError(
                f"delta from {content.base} ({content.base_root.hex()}); in force: {self.in_force}"
            )
        root = self.store.root_after(content.changes)
        if root != content.root:
            raise DigestError(f"{content.target} with digest {root.hex()}; announced: {content.root.hex()}")
        return self.store

    def _install(self, content: Content, store: ItemStore) -> None:
        if isinstance(content, Delta):
            store.apply(content.changes)
        self.store = store
        self.in_force = _target(content)
        if self.rejection is not None and self.rejection.revision <= self.in_force:
            self.rejection = None

    def _reject(self, content: Content, reason: str) -> None:
        truncated = reason.encode()[:MAX_REASON_BYTES].decode(errors="ignore")
        self.rejection = Rejection(_target(content), truncated)


def _target(content: Content) -> RevisionId:
    return content.target if isinstance(content, Delta) else content.revision

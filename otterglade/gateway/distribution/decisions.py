"""The decision thread of a control machine, on which every event and every due time is handled in turn."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

import msgspec

from ...core.distribution.items import DigestError
from ...core.distribution.log import GapError
from ...core.distribution.messages import MessageError, ProposeAnswer, Report
from ...core.distribution.placement import ControlMachine, rank_machines
from ...core.distribution.relay import Relay
from ...core.distribution.revision import Delta, RevisionError, Snapshot
from ...net.threads import Failure, spawn
from ...obs.logs import Log
from .client import SubscriberClient
from .config import ControlConfig, control_machine
from .events import (
    CandidateStored,
    ContentRead,
    Event,
    EventQueue,
    PartAsked,
    PeerMessage,
    ProposeAsked,
    ReadAsked,
    ReaderGone,
    StatusAsked,
    StopAsked,
    StoreAnswered,
    StoreAsked,
    VoteWritten,
)
from .files import RevisionFiles
from .readers import Readers
from .service import Service
from .status import ControlStatus, Role, report_status
from .voter import ConfigurationVoter

REPORT_SECONDS = 0.25
"""Between two reports of what those below act upon."""
HOUSEKEEPING_SECONDS = 1.0
HAND_OVER_SECONDS = 2.0
"""For the duty to go to another voter when this machine stops."""
LEAST_WAIT_SECONDS = 0.001
"""Between two rounds, so that a due time that does not pass makes no busy loop."""


class Decisions:
    """Belongs to its own thread, but for `start`, `closed` and `report`."""

    def __init__(
        self,
        config: ControlConfig,
        relay: Relay,
        files: RevisionFiles,
        events: EventQueue,
        service: Service,
        make_client: Callable[[], SubscriberClient],
        log: Log,
        on_failure: Failure,
        damaged: str = "",
    ) -> None:
        """`make_client`: makes what reads from other machines, from the relay's head on; started here."""
        self._config, self._relay, self._files = config, relay, files
        self._events, self._service, self._make_client = events, service, make_client
        self._log, self._on_failure, self._damaged = log, on_failure, damaged
        self.voter: ConfigurationVoter | None = None
        """Set before `start`; None: this machine does not vote."""
        self._machines = [control_machine(x) for x in config.machines if x.voter and x.name != config.name]
        """Voters beside this one."""
        self._readers = Readers(relay)
        self._client = make_client()
        self._read_from: list[ControlMachine] = []
        self._report = Report()
        self._report_at = self._housekeeping_at = 0.0
        self._stop_by: float | None = None
        self._done = False
        self._ended = threading.Event()

    def start(self) -> None:
        """Begin to decide."""
        spawn("decisions", self._run, self._on_failure)

    def closed(self, limit: float) -> bool:
        """Wait, at most `limit` seconds, until the thread has ended."""
        return self._ended.wait(limit)

    def report(self) -> Report:
        """What those below act upon, for the machine that this one reads from; from any thread."""
        return self._report

    def publish(self, now: float, delta: Delta) -> None:
        """Hold an accepted revision whose content was stored here as a candidate, and tell the readers."""
        self._relay.append(delta)
        self._files.accept(delta.target, delta.root)
        self._client.took(delta)
        self._held_later(now)

    def _run(self) -> None:
        try:
            self._client.start()
            while not self._done:
                self._round()
        finally:
            self._client.stop()
            self._readers.end()
            self._ended.set()

    def _round(self) -> None:
        """What waits first, then what is due: after a pause of the process, an answer that came in time is
        not taken for one that did not come."""
        wait = self._due() - time.monotonic()
        event = self._events.take(max(LEAST_WAIT_SECONDS, wait))
        if event is not None:
            self._handle(time.monotonic(), event)
        for _ in range(self._events.waiting):
            event = self._events.take(0.0)
            if event is not None:
                self._handle(time.monotonic(), event)
        self._tick(time.monotonic())

    def _due(self) -> float:
        times = [self._report_at, self._housekeeping_at, self._readers.due()]
        if self.voter is not None:
            times.append(self.voter.due())
        return min(times)

    def _tick(self, now: float) -> None:
        self._readers.tick(now)
        if self.voter is not None:
            self.voter.tick(now)
        self._follow(now)
        if now >= self._report_at:
            self._report_at = now + REPORT_SECONDS
            self._report = self._report_now(now)
        if now >= self._housekeeping_at:
            self._housekeeping_at = now + HOUSEKEEPING_SECONDS
            self._relay.tick(now)
        if self._stop_by is not None:
            self._end_if_handed_over(now, self._stop_by)

    # Whom to read from

    def _follow(self, now: float) -> None:
        """Read from the right machines, as far as they have changed."""
        wanted = self._machines if self.voter is None else self._sources(now, self.voter)
        if wanted != self._read_from:
            self._read_from = wanted
            self._client.set_machines(wanted)

    def _sources(self, now: float, voter: ConfigurationVoter) -> list[ControlMachine]:
        """A voter reads from the writer, so that reports go up to it and never around in a ring; from any
        other voter only where content is missing here and there is no other writer to have it from."""
        owner, _ = voter.member.owner(now)
        if owner and owner != self._config.name:
            return [x for x in self._machines if x.name == owner]
        return [] if voter.work.caught_up else self._machines

    def _report_now(self, now: float) -> Report:
        """What this machine tells the one that it reads from: nothing where that one is not the writer."""
        if self.voter is not None and len(self._read_from) != 1:
            return Report()
        return self._relay.report(now)

    # Events

    def _handle(self, now: float, event: Event) -> None:
        match event:
            case ReadAsked():
                self._readers.read(now, event)
            case ReaderGone():
                self._readers.gone(event)
            case PartAsked():
                self._part(now, event)
            case ContentRead():
                self._content(now, event)
            case ProposeAsked():
                self._propose(now, event)
            case StatusAsked(slot):
                slot.tell(msgspec.json.encode(self._status(now)))
            case StopAsked():
                self._stop(now)
            case _:
                self._handle_as_voter(now, event)

    def _handle_as_voter(self, now: float, event: Event) -> None:
        voter = self.voter
        if voter is None:
            if isinstance(event, StoreAsked):
                event.slot.refuse("not a voter")
            return
        match event:
            case PeerMessage(message):
                voter.received(now, message)
            case VoteWritten(token, trouble):
                voter.written(now, token, trouble)
            case StoreAsked():
                voter.store(now, event)
            case CandidateStored() | StoreAnswered():
                voter.stored(now, event)

    def _part(self, now: float, asked: PartAsked) -> None:
        try:
            asked.slot.tell(self._relay.read_part(now, asked.request))
        except MessageError as error:
            asked.slot.refuse(str(error))

    def _propose(self, now: float, asked: ProposeAsked) -> None:
        if self.voter is not None:
            self.voter.propose(now, asked)
            return
        me = self._config.me
        nearest = rank_machines(asked.request.proposal, me.region, me.zone, self._machines)[0]
        answer = ProposeAnswer(asked.request.proposal, False, None, "not a voter", nearest.address)
        asked.slot.tell(answer)

    def _stop(self, now: float) -> None:
        self._stop_by = now + HAND_OVER_SECONDS
        if self.voter is not None:
            self.voter.hand_over(now)

    def _end_if_handed_over(self, now: float, stop_by: float) -> None:
        voter = self.voter
        if voter is None:
            self._done = True
        elif voter.member.handed_over(now) or now >= stop_by:
            voter.end(now)
            self._done = True

    # What is held

    def _content(self, now: float, read: ContentRead) -> None:
        """An accepted revision came from another machine; the slot is told when it is durable."""
        content = read.content
        target = content.target if isinstance(content, Delta) else content.revision
        if target <= self._relay.log.head:  # a voter's own candidate was accepted meanwhile
            read.slot.tell("")
            return
        try:
            held = self._hold(content)
        except (GapError, DigestError, RevisionError) as error:
            self._log.error("content_does_not_fit", revision=str(target), cause=str(error))
            read.slot.tell(str(error))
            self._read_anew()
            return
        self._files.store_accepted(held, read.slot.tell)
        self._held_later(now)

    def _hold(self, content: Delta | Snapshot) -> Delta | Snapshot:
        """What is held of it: a delta that began before the head goes on from the head, as it names every
        key that has changed since. Raises GapError, DigestError, RevisionError."""
        if isinstance(content, Snapshot):
            self._relay.reset(content)
            return content
        log = self._relay.log
        if content.base < log.head:
            content = msgspec.structs.replace(content, base=log.head, base_root=log.root)
        self._relay.append(content)
        return content

    def _read_anew(self) -> None:
        """Let another client begin at the relay's head."""
        self._client.stop()
        self._client = self._make_client()
        self._read_from = []
        self._client.start()

    def _held_later(self, now: float) -> None:
        """The head has changed."""
        log = self._relay.log
        self._log.info("revision", head=str(log.head), root=log.root.hex(), keys=len(log.store))
        self._readers.wake(now)
        if self._files.wants_snapshot():
            self._files.compact(self._relay.log.snapshot())

    # For operators

    def _status(self, now: float) -> ControlStatus:
        log, subscriber, voter = self._relay.log, self._client.subscriber, self.voter
        head = str(log.head)
        owner, term = ("", log.head.term) if voter is None else voter.member.owner(now)
        sent = 0 if voter is None else voter.bytes_out
        return ControlStatus(
            name=self._config.name,
            role=self._role(now),
            term=term or log.head.term,
            writer=owner,
            head=head,
            root=log.root.hex(),
            keys=len(log.store),
            reads_from=subscriber.relay,
            readers=self._readers.connected,
            waiting=self._readers.waiting,
            report=report_status(self._relay.report(now), head),
            bytes_in=self._service.bytes_in + self._client.bytes_in,
            bytes_out=self._service.bytes_out + self._client.bytes_out + sent,
            requests=self._service.requests,
            refused=self._service.refused,
            stale_refused=subscriber.stale_refused,
            misfits=subscriber.mismatches,
            last_failure=subscriber.last_failure,
            damaged=self._damaged,
            voting=None if voter is None else self._voting(now, voter),
        )

    def _voting(self, now: float, voter: ConfigurationVoter) -> dict[str, object]:
        work = voter.work.status()
        return {
            **voter.member.status(now),
            "accepted": str(work.accepted),
            "queued": work.queued,
            "draft": None if work.draft is None else str(work.draft),
            "stored_by": work.stored_by,
            "trouble": work.error,
        }

    def _role(self, now: float) -> Role:
        if self.voter is None:
            return Role.RELAY
        return Role.WRITER if self.voter.member.owner(now)[0] == self._config.name else Role.VOTER

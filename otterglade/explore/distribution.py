"""A small world around the shipped code of the distribution: voters, one relay, two gateways, a network.

What is decided is decided by `core/distribution/`, fed through its own entrances. What is modelled is what
surrounds it: messages that are lost, late, doubled; processes killed, stopped, cut off; disks; and a register
that keeps the contract of duties (one owner by term, a state accepted by a majority before anybody is told).

Left alone the world takes its steps in one order (`distribution_acts.py`): messages first come first served,
then what processes do by themselves, then what comes of waiting. Every other act departs from that order at a
cost. So a search with few departures visits whole stories, and not just their beginnings (delay-bounded
scheduling, Emmi, Qadeer and Rakamarić 2011). Time stands still but for what waits: the entrances are called
at the time at which there is something to do.
"""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass, field

import msgspec

from ..core.distribution.items import DigestError, ItemStore
from ..core.distribution.log import GapError, RevisionLog
from ..core.distribution.messages import (
    PartAnswer,
    PartRequest,
    ProposeRequest,
    ReadAnswer,
    ReadRequest,
    StoreAnswer,
    StoreRequest,
)
from ..core.distribution.placement import ControlMachine
from ..core.distribution.relay import HoldRead, Relay
from ..core.distribution.revision import Change, Delta, Head, RevisionError, Snapshot
from ..core.distribution.subscriber import Action as ReaderAction
from ..core.distribution.subscriber import (
    Apply,
    FetchPart,
    Persist,
    SendRead,
    State,
    Subscriber,
    SubscriberTiming,
    accept_all,
)
from ..core.distribution.writer import (
    CONFIGURATION_TASK,
    ConfigurationTask,
    ContentMissing,
    PersistCandidate,
    ProposalAccepted,
    ProposalRefused,
    ProposalUnknown,
    Publish,
    SendStoreAnswer,
    SendStoreRequest,
)
from ..core.distribution.writer import Action as WriterAction
from ..core.fleet.leader_task import TaskOrder
from .distribution_checks import Checker
from .world import BrokenError

NOW = 0.0
"""The time at which everything happens that does not wait."""
FOREVER = 1e9
REGISTER = "register"
"""Destination of votes."""
TIMING = SubscriberTiming(
    spacing=0.0,
    initial_backoff=0.0,
    max_backoff=0.0,
    return_after=FOREVER,
    bytes_per_second=1e15,
    burst_bytes=1e15,
)
MOST_QUIET_STEPS = 600
"""Of a fair run: all must be well by then."""
UNWANTED = b"unwanted"
"""A value against which the last gateway is."""


@dataclass(frozen=True, slots=True)
class Scope:
    """Sizes, and how many departures of each kind a story has at most."""

    voters: int = 3
    gateways: int = 2
    proposals: int = 2
    unwanted: int = 0
    """Whether the first proposal is one that a gateway rejects."""
    settled: int = 1
    """Whether the story begins when all readers wait; otherwise with the start of all processes."""
    horizon: int = 1000
    """Steps after which nothing departs any more."""
    faults: int = 1
    """Departures of all kinds together."""
    lost: int = 1
    late: int = 1
    doubled: int = 1
    damaged: int = 1
    """Messages whose content is another one than was sent."""
    kills: int = 1
    empty: int = 1
    """Kills of the relay that take its disk too."""
    stops: int = 1
    cuts: int = 1
    replaced: int = 1
    lapsed: int = 1
    early: int = 1
    """Proposals made before the one before is answered, or asked again before all is at rest."""
    renewed: int = 1
    """Renewals of the latest order, to all voters, at any time."""
    decided: int = 1
    """Looks of an owner at its draft before other messages arrive."""
    expired: int = 1
    """Proposals whose time is over."""


KINDS = (
    "lost", "late", "doubled", "damaged", "kills", "empty", "stops", "cuts", "replaced", "lapsed", "early",
    "renewed", "decided", "expired",
)  # fmt: skip

NO_FAULTS = dict.fromkeys(KINDS, 0)
"""For scopes that allow but a few kinds."""

Act = tuple[str | int, ...]
NEXT: Act = ("next",)


@dataclass(frozen=True, slots=True)
class Question:
    """A reader's request, from one of its runs."""

    read_id: int
    life: int
    request: ReadRequest | PartRequest


@dataclass(frozen=True, slots=True)
class Reply:
    """What a reader is answered."""

    read_id: int
    life: int
    answer: ReadAnswer | PartAnswer


Body = Question | Reply | StoreRequest | StoreAnswer | ProposeRequest | TaskOrder


@dataclass(slots=True)
class Flight:
    """A message under way."""

    sender: str
    to: str
    body: Body
    late: bool = False
    """Put aside, until nothing else is left to do or it is let go."""


@dataclass(slots=True)
class Process:
    """A voter, relay or gateway, with its disk."""

    name: str
    life: int = 0
    runs: bool = False
    stopped: bool = False
    cut: bool = False
    subscriber: Subscriber | None = None
    relay: Relay | None = None
    work: ConfigurationTask | None = None
    sources: tuple[str, ...] = ()
    exchange: int = 0
    """The reader's exchange that is out; 0: none."""
    held: list[tuple[str, Question]] = field(default_factory=list)
    """Reads that wait for a later revision, with who asks."""
    owns: TaskOrder | None = None
    """The latest order of the term in which this voter believes to be the owner."""
    voting: TaskOrder | None = None
    """What it has put to the vote, and has not heard of again."""
    considered: tuple[object, ...] = ()
    """What the owner has decided upon last: its order, its draft, and who holds the draft."""
    disk_log: Snapshot | None = None
    unsynced: Snapshot | None = None
    """Held, and not on disk yet."""
    disk_candidates: list[StoreRequest] = field(default_factory=list)
    fence: TaskOrder | None = None
    """The latest order obeyed; on disk."""

    @property
    def hears(self) -> bool:
        return self.runs and not self.stopped and not self.cut

    @property
    def acts(self) -> bool:
        return self.runs and not self.stopped


@dataclass(frozen=True, slots=True)
class Asked:
    """Where a proposal is waited for."""

    voter: str
    life: int


def rejects_unwanted(content: Delta | Snapshot, store: ItemStore) -> str:
    """Of the last gateway: against one value."""
    changes = content.changes if isinstance(content, Delta) else content.items
    return "unwanted" if any(change.value == UNWANTED for change in changes) else ""


class World:
    """Voters v0…, the relay r, gateways g0…"""

    def __init__(self, scope: Scope) -> None:
        self.scope = scope
        self.voters = tuple(f"v{n}" for n in range(scope.voters))
        self.gateways = tuple(f"g{n}" for n in range(scope.gateways))
        self.processes = {name: Process(name) for name in (*self.voters, "r", *self.gateways)}
        self.flights: list[Flight] = []
        self.spent: dict[str, int] = {}
        self.steps = 0
        self.checker = Checker()
        self.orders: list[TaskOrder] = [TaskOrder(CONFIGURATION_TASK, 1, 0, "v0", b"", FOREVER)]
        """What the register has accepted, in order."""
        self.votes: list[TaskOrder] = []
        """Put to the vote after the latest of them: a new owner may find one of these, or none."""
        self.owner_life = 1
        """Run of the owner that the register knows."""
        self.proposed = 0
        self.asked: dict[str, Asked] = {}
        """Proposals without a last answer; empty voter: to be asked again."""
        self.attempts: dict[str, int] = {}
        """How often each proposal was sent."""
        for process in self.processes.values():
            self.start(process)
        self.tell_all()

    # Processes

    def start(self, process: Process) -> None:
        """From what is on its disk."""
        process.life += 1
        process.runs, process.stopped, process.held = True, False, []
        process.owns = process.voting = None
        process.sources, process.exchange = (), 0
        process.subscriber = self._reader(process, process.disk_log)
        if process.name in self.gateways:
            self._check_recovered(process)
            self._read_from(process, ("r",))
            return
        process.relay = Relay(process.name, RevisionLog())
        if process.disk_log is not None:
            process.relay.reset(process.disk_log)
        if process.name in self.voters:
            self._start_voter(process, process.relay)
        else:
            self._read_from(process, self.voters)

    def _reader(self, process: Process, held: Snapshot | None) -> Subscriber:
        accepts = rejects_unwanted if process.name == self.gateways[-1] else accept_all
        run = f"{process.name}-{process.life}"
        return Subscriber(process.name, run, [], "r", "z", NOW, 0, TIMING, held, accepts)

    def _check_recovered(self, process: Process) -> None:
        applied = self.checker.applied.get(process.name)
        if applied is not None and process.subscriber is not None:
            assert process.subscriber.in_force == applied[-1], "a gateway's disk is written before it acts"

    def _start_voter(self, process: Process, relay: Relay) -> None:
        process.work = ConfigurationTask(process.name, self.voters, relay.log, NOW)
        for request in process.disk_candidates:
            process.work.restore_candidate(request)
        if process.fence is not None:
            process.work.restore_order(NOW, process.fence)
        self.after(process)

    def kill(self, process: Process, synced: bool) -> None:
        """What is not on disk is lost; connections end. `synced`: the last revision held is on disk."""
        if synced and process.unsynced is not None:
            self._sync(process)
        for other in self.processes.values():
            other.held = [one for one in other.held if one[0] != process.name]
            if other.runs and other.relay is not None and process.subscriber is not None:
                other.relay.subscriber_disconnected(process.name, process.subscriber.run)
        process.runs = process.stopped = False
        process.subscriber = process.relay = process.work = process.unsynced = None
        process.held, process.owns, process.voting = [], None, None
        process.considered = ()
        for proposal, asked in self.asked.items():
            if asked.voter == process.name:
                self.asked[proposal] = Asked("", 0)

    def _sync(self, process: Process) -> None:
        snapshot = process.unsynced
        assert snapshot is not None, "asked by the caller"
        process.disk_log, process.unsynced = snapshot, None
        kept = [one for one in process.disk_candidates if one.delta.target > snapshot.revision]
        process.disk_candidates = kept

    def _read_from(self, process: Process, names: tuple[str, ...]) -> None:
        if process.sources == names or process.subscriber is None:
            return
        process.sources, process.exchange = names, 0
        machines = [ControlMachine(name, f"{name}:1", "r", "z", name != "r") for name in names]
        process.subscriber.set_machines(NOW, machines)

    def after(self, process: Process) -> None:
        """What a voter does after each event; nothing for others."""
        work = process.work
        if work is None:
            return
        self._carry(process, work.drain_actions())
        if work.due() <= NOW:
            self._carry(process, work.tick(NOW))
        owner = "" if process.fence is None else process.fence.owner
        others = tuple(name for name in self.voters if name != process.name)
        if owner and owner != process.name:
            self._read_from(process, (owner,))
        else:
            self._read_from(process, () if work.caught_up else others)

    def tick(self, process: Process, now: float) -> None:
        """A voter's time has come."""
        assert process.work is not None, "a voter"
        self._carry(process, process.work.tick(now))
        self.after(process)

    # The register

    def vote(self, process: Process) -> None:
        """The owner decides, and puts it to the vote; a vote that was not heard of is put again."""
        process.considered = considered(process)
        order = process.voting
        if order is None:
            order = self._decided(process)
        if order is None:
            return
        process.voting = order
        last = self.orders[-1]
        if order not in self.votes and (order.term, order.number) == (last.term, last.number + 1):
            self.votes.append(order)
        self.flights.append(Flight(process.name, REGISTER, order))

    def _decided(self, process: Process) -> TaskOrder | None:
        stands = process.owns
        assert process.work is not None and stands is not None, "it owns"
        state = process.work.decide(NOW, stands.state, b"")
        if state == stands.state:
            return None
        return TaskOrder(CONFIGURATION_TASK, stands.term, stands.number + 1, process.name, state, FOREVER)

    def _register_hears(self, order: TaskOrder) -> None:
        last = self.orders[-1]
        able = sum(self.processes[name].hears for name in self.voters)
        if (order.term, order.number) == (last.term, last.number + 1) and able > len(self.voters) // 2:
            self._accept(order)

    def _accept(self, order: TaskOrder) -> None:
        self.checker.accept(order.state, self._durable_at(order.state), len(self.voters))
        self.orders.append(order)
        self.votes = []
        self.tell_all()

    def _durable_at(self, state: bytes) -> int:
        if not state:
            return len(self.voters)
        head = Head.unpack(state)
        return sum(self._keeps(self.processes[name], head) for name in self.voters)

    def _keeps(self, process: Process, head: Head) -> bool:
        """Whether a voter has a content on disk, or a later one."""
        identity = (head.revision, head.root)
        drafted = self.checker.drafted.get(identity)
        later = process.disk_log is not None and process.disk_log.revision >= head.revision
        return later or any(one.delta == drafted for one in process.disk_candidates)

    def tell_all(self) -> None:
        """The latest order goes to all voters."""
        for name in self.voters:
            self.tell(name)

    def tell(self, name: str) -> None:
        """The latest order goes to a voter."""
        self.flights.append(Flight(REGISTER, name, self.orders[-1]))

    def replace(self, owner: str, adopted: bool) -> None:
        """Another owner, in a later term. `adopted`: it finds what was under vote at a minority."""
        last = self.orders[-1]
        state = self.votes[-1].state if adopted and self.votes else last.state
        self.owner_life = self.processes[owner].life
        self._accept(TaskOrder(CONFIGURATION_TASK, last.term + 1, 0, owner, state, FOREVER))

    def _obey(self, process: Process, order: TaskOrder) -> None:
        work = process.work
        if work is None or (process.fence is not None and order.version < process.fence.version):
            return
        process.fence = order
        mine = order.owner == process.name
        if mine and (order.term < self.orders[-1].term or self.owner_life == process.life):
            process.owns = order
        elif not mine:
            process.owns = None
        if process.voting is not None and process.voting.version <= order.version:
            process.voting = None
        work.apply_order(NOW, order)

    # Proposals

    def change_of(self, number: int) -> Change:
        """What a proposal makes; each its own key."""
        value = UNWANTED if number == 0 and self.scope.unwanted else b"v"
        return Change(f"setting/p{number}", value)

    def propose(self, number: int, voter: str) -> None:
        """A proposal goes to a voter."""
        proposal = f"p{number}"
        self.asked[proposal] = Asked(voter, self.processes[voter].life)
        self.attempts[proposal] = self.attempts.get(proposal, 0) + 1
        request = ProposeRequest(proposal, (self.change_of(number),))
        self.flights.append(Flight("proposer", voter, request))

    def _told(self, action: ProposalAccepted | ProposalRefused | ProposalUnknown) -> None:
        proposal = action.proposal
        key = self.change_of(int(proposal[1:])).key
        if proposal not in self.asked:
            if isinstance(action, ProposalAccepted):
                self.checker.told_accepted(proposal, key, action.revision)
            return
        match action:
            case ProposalAccepted(_, revision):
                del self.asked[proposal]
                self.checker.told_accepted(proposal, key, revision)
            case ProposalRefused() if self.attempts[proposal] > 1:
                # It says nothing of the attempts before, of which nobody knows: the proposer asks again.
                self.asked[proposal] = Asked("", 0)
            case ProposalRefused():
                del self.asked[proposal]
                self.checker.told_refused(proposal, key)
            case ProposalUnknown():
                self.asked[proposal] = Asked("", 0)

    # Actions

    def _carry(self, process: Process, actions: list[WriterAction]) -> None:
        for action in actions:
            match action:
                case SendStoreRequest(voter, request):
                    self.checker.draft(request.delta)
                    self.flights.append(Flight(process.name, voter, request))
                case PersistCandidate(request, reply):
                    self._keep(process, request, reply)
                case SendStoreAnswer(writer, answer):
                    self.flights.append(Flight(process.name, writer, answer))
                case Publish(delta):
                    self._publish(process, delta)
                case ProposalAccepted() | ProposalRefused() | ProposalUnknown():
                    self._told(action)
                case ContentMissing():
                    pass

    def _keep(self, process: Process, request: StoreRequest, reply: StoreAnswer) -> None:
        self.checker.draft(request.delta)
        if request not in process.disk_candidates:
            process.disk_candidates.append(request)
        self.flights.append(Flight(process.name, request.writer, reply))

    def _publish(self, process: Process, delta: Delta) -> None:
        assert process.relay is not None and process.subscriber is not None, "it runs"
        process.relay.append(delta)
        with suppress(GapError):  # it was read meanwhile, or will be
            process.subscriber.adopt(delta)
        self._held_later(process)

    def _held_later(self, process: Process) -> None:
        """The head of a control machine has changed."""
        assert process.relay is not None, "a control machine"
        log = process.relay.log
        self.checker.held(process.name, log.head, log.root)
        if process.unsynced is not None:
            self._sync(process)
        process.unsynced = log.snapshot()
        waiting, process.held = process.held, []
        for reader, question in waiting:
            self._answer(process, reader, question)

    def _hold(self, process: Process, content: Delta | Snapshot) -> None:
        """A control machine has read a revision."""
        assert process.relay is not None, "a control machine"
        log = process.relay.log
        target = content.target if isinstance(content, Delta) else content.revision
        if target <= log.head:
            return
        try:
            self._go_on(process.relay, content)
        except (DigestError, GapError, RevisionError):
            self._read_anew(process)
            return
        self._held_later(process)
        self._sync(process)  # a reader waits until it is durable
        self.after(process)

    def _go_on(self, relay: Relay, content: Delta | Snapshot) -> None:
        """A delta that began before the head goes on from the head."""
        if isinstance(content, Snapshot):
            relay.reset(content)
            return
        if content.base < relay.log.head:
            content = msgspec.structs.replace(content, base=relay.log.head, base_root=relay.log.root)
        relay.append(content)

    def _read_anew(self, process: Process) -> None:
        """Another reader begins at the relay's head."""
        assert process.relay is not None, "a control machine"
        process.subscriber = self._reader(process, process.relay.log.snapshot())
        sources, process.sources = process.sources, ()
        self._read_from(process, sources)

    # Readers

    def read(self, process: Process) -> None:
        """A reader does what is due."""
        subscriber = process.subscriber
        assert subscriber is not None, "it runs"
        if process.relay is not None:
            subscriber.report = process.relay.report(NOW, self.voters if process.work is not None else ())
            if process.work is None:
                self.checker.reports(process.name, subscriber.report, len(self.gateways))
        self._do(process, subscriber.tick(NOW))

    def _do(self, process: Process, actions: list[ReaderAction]) -> None:
        for action in actions:
            match action:
                case SendRead(read_id, machine, request) | FetchPart(read_id, machine, request):
                    process.exchange = read_id
                    if isinstance(request, ReadRequest) and process.relay is None:
                        self.checker.acknowledges(request)
                    question = Question(read_id, process.life, request)
                    self.flights.append(Flight(process.name, machine.name, question))
                case Apply(revision):
                    if process.relay is None and process.subscriber is not None:
                        self.checker.applies(process.name, revision, process.subscriber.store)
                case Persist(content):
                    self._persist(process, content)

    def _persist(self, process: Process, content: Delta | Snapshot) -> None:
        if process.relay is not None:
            self._hold(process, content)
            return
        assert process.subscriber is not None, "it runs"
        store = process.subscriber.store
        process.disk_log = Snapshot(process.subscriber.in_force, store.root, store.changes())

    def fail(self, process: Process) -> None:
        """An exchange has brought nothing in time."""
        assert process.subscriber is not None, "it runs"
        read_id, process.exchange = process.exchange, 0
        for other in self.processes.values():
            other.held = [one for one in other.held if one[0] != process.name]
        self._do(process, process.subscriber.exchange_failed(NOW, read_id, "no answer in time"))

    def _answer(self, server: Process, reader: str, question: Question) -> None:
        assert server.relay is not None, "a control machine"
        request = question.request
        answer: ReadAnswer | PartAnswer | HoldRead
        if isinstance(request, PartRequest):
            answer = server.relay.read_part(NOW, request)
        else:
            answer = server.relay.read(NOW, request)
        if isinstance(answer, HoldRead):
            server.held.append((reader, question))
            return
        if isinstance(answer, ReadAnswer):
            self.checker.served(server.name, answer)
        if server.work is None:
            report = server.relay.report(NOW)
            self.checker.reports(server.name, report, len(self.gateways))
        self.flights.append(Flight(server.name, reader, Reply(question.read_id, question.life, answer)))

    # Messages

    def deliver(self, flight: Flight) -> None:
        """A message arrives; one for a process that is down or cut off is lost."""
        cut = self.processes.get(flight.sender)
        if cut is not None and cut.cut:
            return
        if flight.to == REGISTER:
            assert isinstance(flight.body, TaskOrder), "a vote"
            self._register_hears(flight.body)
            return
        process = self.processes[flight.to]
        if process.hears:
            self._arrive(process, flight)
            self.after(process)
        elif isinstance(flight.body, ProposeRequest):
            self.asked[flight.body.proposal] = Asked("", 0)

    def _arrive(self, process: Process, flight: Flight) -> None:
        match flight.body:
            case Question() as question if process.relay is not None:
                self._answer(process, flight.sender, question)
            case Reply(read_id, life, answer):
                if life == process.life and process.subscriber is not None:
                    if read_id == process.exchange:
                        process.exchange = 0
                    self._do(process, process.subscriber.receive_answer(NOW, read_id, answer, 0))
            case TaskOrder() as order:
                self._obey(process, order)
            case body if process.work is not None:
                self._arrive_at_voter(process, process.work, body)

    def _arrive_at_voter(self, process: Process, work: ConfigurationTask, body: Body) -> None:
        match body:
            case StoreRequest():
                self._carry(process, work.store_candidate(NOW, body))
            case StoreAnswer():
                self._carry(process, work.handle_store_answer(NOW, body))
            case ProposeRequest():
                self._carry(process, work.propose(NOW, body))

    # For the judgement at rest

    def check_rest(self) -> None:
        """Nothing is left to do and nothing fails: all act upon the head, and all proposers know."""
        head, root = self.checker.line[-1]
        unwanted = any(UNWANTED in content.values() for content in self.checker.contents.values())
        for name in self.gateways:
            subscriber = self.processes[name].subscriber
            assert subscriber is not None, "it runs"
            if unwanted and name == self.gateways[-1]:
                continue
            if (subscriber.in_force, subscriber.store.root) != (head, root):
                raise BrokenError("progress", f"{name} acts upon {subscriber.in_force}; accepted: {head}")
        if self.asked:
            raise BrokenError("progress", f"nobody tells what became of {', '.join(self.asked)}")


def considered(process: Process) -> tuple[object, ...]:
    """What an owner's decision depends on; empty: there is nothing to decide."""
    if process.work is None or process.owns is None:
        return ()
    status = process.work.status()
    if status.draft is None:
        return ()
    return process.owns.version, status.draft, status.stored_by


def idle(process: Process) -> bool:
    """Whether a reader has something to do by itself."""
    subscriber = process.subscriber
    if subscriber is None or not process.acts or not process.sources:
        return False
    return subscriber.state in (State.WAITING, State.PAUSED)

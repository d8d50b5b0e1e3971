"""UDP exchange between gateways: carries out the actions of `core/fleet` and stores what it has to remember.

One thread reads datagrams, authenticates them and queues them; all else runs on the decision loop. A flood is
dropped before authentication: each sender has a token bucket, and the number of datagrams that wait for the
loop is bounded, so that players never wait behind them.
"""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import Any

import msgspec

from ..config.schema import TOKEN_LIFE, Peers
from ..config.script import address
from ..core import messages
from ..core.attempts import AttemptRecord
from ..core.fleet.actions import (
    DeleteRoutingPart,
    PollFinished,
    SendMessage,
    StoreRoutingPart,
    WriteTaskRecord,
    WriteWitnessRecord,
)
from ..core.fleet.fleet import Action, FleetAgent
from ..core.fleet.leader_task import LeaderTask, TaskOrder
from ..core.fleet.leader_task_records import TaskRecordError
from ..core.fleet.leader_tasks import LeaderTasks
from ..core.fleet.member_state import MemberState
from ..core.fleet.members import Members
from ..core.fleet.messages import MAX_DATAGRAM_BYTES, DatagramCodec, DatagramError, Message
from ..core.fleet.proposer_stages import Stage
from ..core.fleet.recovery import FleetRecovery, RecoveryEvent, RecoveryPhase, StartKind, classify_start
from ..core.fleet.register import Voters
from ..core.fleet.route_checks import Check
from ..core.fleet.router import Router
from ..core.fleet.routes import RoutingTask
from ..core.fleet.routing import Routing
from ..core.fleet.trust import StoredItem, is_used
from ..core.fleet.witness import Witness, WitnessError, WitnessPoll
from ..core.session_manager import SessionManager
from ..net.threads import Failure, spawn
from ..net.workers import Workers
from ..obs.logs import Log as Logger
from ..store.disk import Disk
from ..store.log import DamagedError, Log
from . import identity
from .leader_task_log import LOG_UNUSABLE, LeaderTaskLog
from .leader_tasks import LoggedLeaderTask, LoggedRoutingTask, RoutingPartFiles
from .loop import Loop
from .rate_limit import SenderRateLimit

SENDER_DATAGRAMS_PER_SECOND = 200.0
"""Rate limit of one sender address, which is also its largest burst: twenty times what a member sends."""
MAX_QUEUED_DATAGRAMS = 64
"""Limit of datagrams that wait for the decision loop; more are dropped."""
RECOVERY_CHECK_SECONDS = 0.25
"""Interval of the checks of recovery's progress."""
HOST_RUN_TIMEOUT_SECONDS = 0.6
"""How long recovery waits for the hosts' event streams to name their runs; hosts that have not by then don't
count for the kind of start."""
MIN_ALARM_DELAY_SECONDS = 0.005
"""Least delay of the next alarm, so that a due time in the past doesn't make the loop spin."""


class PeerClient:
    """A gateway's membership in the fleet: socket, witness log, leader tasks and recovery.

    Call `open` before the decision loop runs and `start` after. Methods that take the session manager run on
    the loop.
    """

    def __init__(
        self,
        config: Peers,
        *,
        name: str,
        run: str,
        folder: Path,
        codec: DatagramCodec,
        seed: int,
        abstain_seconds: float,
        loop: Callable[[], Loop],
        witness_poll_ended: Callable[[SessionManager, float, str], list[messages.Order]],
        attempts_resolved: Callable[[], bool],
        host_run_ids: Mapping[int, str],
        log: Logger,
        on_failure: Failure,
        disk: Disk | None = None,
        leader_tasks: Iterable[LeaderTask] = (),
        routing: Routing | None = None,
        router: Router | None = None,
    ) -> None:
        """Bind the socket. Raises OSError if the address can't be bound.

        `run`: identifier of this process's run. `abstain_seconds`: how long a witness or voter that may have
        forgotten abstains. `witness_poll_ended`: called with the set-up key when an attempt's witnesses have
        decided. `attempts_resolved`: whether the state of every attempt that was open at the start is known.
        `host_run_ids`: the hosts' present runs by host number, updated by the owner. `leader_tasks`: those
        that the script configures. `routing` and `router`: the script's routing and what applies the admitted
        editions; None if there is none.
        """
        self._config, self._name, self._run, self._folder = config, name, run, folder
        self._codec, self._seed, self._abstain_seconds = codec, seed, abstain_seconds
        self._loop, self._witness_poll_ended, self._log = loop, witness_poll_ended, log
        self._attempts_resolved, self._host_run_ids = attempts_resolved, host_run_ids
        self._on_failure, self._disk = on_failure, disk
        self.extra_leader_tasks: list[LeaderTask] = [*leader_tasks]
        """Leader tasks besides routing; `open` reads the list."""
        self._routing, self._router = routing, router
        self._part_files = RoutingPartFiles(folder / "routes", log, on_failure)
        self._checks = Workers("conflicts", 1, on_failure, min_threads=1)
        self._addresses = {x: address(y, f"peers.members.{x}") for x, y in config.members.items()}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._socket.bind(address(config.listen, "peers.listen"))
        except OSError:
            self._socket.close()
            raise
        self._identity_writer = Workers("identity", 1, on_failure, min_threads=1)
        self._identity_lock = threading.Lock()
        self._witness = Witness(abstain_seconds, TOKEN_LIFE)
        self._witness_log: Log | None = None
        self._task_log: LeaderTaskLog | None = None
        self._handing_over = False
        self._handed_over = threading.Event()
        """Set when a requested hand-over ends: no task is owned here, or no peer is alive to take one."""
        self._identity = identity.Identity()
        self.fleet: FleetAgent | None = None
        self.fleet_recovery: FleetRecovery | None = None
        self.ready = threading.Event()
        """Set when every peer has been met or the wait for them has timed out."""
        self._abstain_until = 0.0
        self._queued_count = self._processed_count = 0
        """Datagrams queued for the loop, and processed on it. Each counter has one writing thread: a counter
        changed by two would lose updates, and in the end every datagram would be dropped for good."""
        self._stopped = False
        self._alarm_due_at = float("inf")
        self.received_count = self.sent_count = self.sent_bytes = self.rate_limited_count = 0
        self.rejected_counts: dict[str, int] = {}
        """Datagrams that failed authentication or decoding, by reason."""
        self._earlier_host_runs: dict[int, str] = {}
        """Run of each host known to an earlier run of this gateway, then to this one, by host number."""

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that the socket is bound to."""
        host, port = self._socket.getsockname()
        return host, port

    # Start

    def open(self, now: float) -> None:
        """Make the next boot number durable and read the stored claims and task records.

        Raises OSError or identity.IdentityError. A log that can't be used makes this gateway abstain instead.
        """
        found = identity.load(self._folder)
        self._identity = msgspec.structs.replace(found, boot=found.boot + 1)
        identity.save(self._folder, self._identity)
        self._earlier_host_runs = {int(x): y for x, y in found.hosts.items()}
        self.fleet_recovery = FleetRecovery(now, self._seed)
        if found.forgetful:
            self._abstain_as_witness(now, "what it witnessed may be forgotten")
        try:
            self._folder.joinpath("witness").mkdir(exist_ok=True)
            self._witness_log, records = Log.open(self._folder / "witness", self._on_failure, disk=self._disk)
            self._witness.restore((*records.snapshot, *records.records), now)
        except (OSError, DamagedError, WitnessError) as error:
            self._witness.abstain_reason = f"the witness log can't be used: {error}"
            self._log.error("witness_unusable", cause=str(error))
        self._create_fleet(now, self._open_task_log())
        if found.forgetful:
            self._abstain_from_votes("what it promised may be forgotten")
        self._log.info(
            "peers_open",
            boot=self._identity.boot,
            witnessed=len(self._witness.claims),
            forgetful=found.forgetful,
        )

    def _create_fleet(self, now: float, votes: Iterable[bytes]) -> None:
        """Create the fleet agent of the present boot. `votes`: the records of the leader task log."""
        config = self._config
        members = Members(
            self._name,
            self._identity.boot,
            self._run,
            self._addresses,
            now,
            self._seed + self._identity.boot,
            min_boots=self._identity.others,
        )
        leader_tasks, routes = None, self._create_routing_task(members, now)
        if config.voters:
            tasks = [LoggedLeaderTask(x, self._log) for x in self.extra_leader_tasks]
            if routes is not None:
                tasks.append(LoggedRoutingTask(routes, self._log))
            voters = Voters(config.voters, config.voters_number, config.voters_before, config.voters_forced)
            leader_tasks = LeaderTasks(members, voters, tasks, now, self._seed + 1)
            try:
                leader_tasks.restore(votes, now)
            except TaskRecordError as error:
                leader_tasks.abstains = f"the leader task log can't be used: {error}"
                self._log.error("duties_unusable", cause=str(error))
            if self._task_log is None or not self._task_log.usable:
                leader_tasks.abstains = "the leader task log can't be used"
        if routes is not None and self._routing is not None:
            routes.propose(now, self._routing, start=True)
        self.fleet = FleetAgent(
            members, self._witness, self._addresses, config.witnesses, leader_tasks, routes
        )

    def _create_routing_task(self, members: Members, now: float) -> RoutingTask | None:
        region = None if self._routing is None else self._routing.region
        if region is None or self._router is None:
            return None
        if not self._config.voters:
            self._log.warning("routes_unvoted", region=region.name, cause="peers.voters is empty")
            return None
        routes = RoutingTask(region, members, self._router, now, self._seed + 4)
        routes.restore(self._part_files.load())
        return routes

    def _open_task_log(self) -> tuple[bytes, ...]:
        """Open the leader task log and return its records. Without it this gateway can't vote, nor store the
        orders that it applies."""
        if not self._config.voters:
            return ()
        self._task_log = LeaderTaskLog.open(self._folder, self._log, self._on_failure, self._disk)
        return self._task_log.records

    def _abstain_as_witness(self, now: float, reason: str) -> None:
        self._witness.abstain_reason = reason
        self._abstain_until = now + self._abstain_seconds

    def start(self) -> None:
        """Begin to send and receive, and to run the phases of recovery."""
        spawn("peers", self._read, self._on_failure)

        def begin(manager: SessionManager, now: float) -> list[messages.Order]:
            manager.fleet_recovery = self.fleet_recovery
            self.handle_recovery_event(manager, now, RecoveryEvent.STORE_READ)
            self._check_recovery(manager, now)
            return self._execute(manager, now, [])

        self._loop().put(begin)

    def stop(self) -> None:
        """Have the loop announce the stop to the peers, close the logs and close the socket."""
        self._stopped = True

        def leave(manager: SessionManager, now: float) -> list[messages.Order]:
            assert self.fleet is not None, "opened before"
            for message in self.fleet.members.leave(now):
                self._send(message)
            for log in (self._witness_log, self._task_log):
                if log is not None:
                    log.close()
            self._socket.close()
            return []

        self._loop().put(leave)

    def hand_over(self, limit: float) -> bool:
        """Hand the leader tasks owned here to another gateway before a planned stop.

        Waits at most `limit` seconds; returns whether the hand-over completed. Not to be called on the loop.
        """

        def hand_over_tasks(manager: SessionManager, now: float) -> list[messages.Order]:
            assert self.fleet is not None, "opened before"
            if self.fleet.leader_tasks is None:
                self._handed_over.set()
                return []
            self._handing_over = True
            return self._execute(manager, now, [*self.fleet.leader_tasks.hand_over(now)])

        self._loop().put(hand_over_tasks)
        return self._handed_over.wait(limit)

    def wait_closed(self, deadline: float) -> None:
        """Wait until all queued writes are done, or until the monotonic `deadline`.

        A process that still wrote after releasing the lock of its folder could overwrite the boot number of
        the next run.
        """
        waits = [self._identity_writer.wait_idle, self._part_files.wait_idle]
        waits += [x.wait_closed for x in (self._witness_log, self._task_log) if x is not None]
        for wait in waits:
            wait(max(0.0, deadline - time.monotonic()))

    # The reading thread

    def _read(self) -> None:
        rate_limit = SenderRateLimit(SENDER_DATAGRAMS_PER_SECOND)
        while not self._stopped:
            try:
                data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                if self._stopped:
                    return
                continue  # the kernel reports a peer's closed port; the failure detector finds it by silence
            if (
                not rate_limit.allow(sender, time.monotonic())
                or self._queued_count - self._processed_count >= MAX_QUEUED_DATAGRAMS
            ):
                self.rate_limited_count += 1
                continue
            try:
                message = self._codec.decode(data)
            except DatagramError as error:
                self.rejected_counts[str(error)[:40]] = self.rejected_counts.get(str(error)[:40], 0) + 1
                continue
            self.received_count += 1
            self._queued_count += 1
            self._loop().put(self._process(message))

    def _process(self, message: Message) -> Callable[[SessionManager, float], list[messages.Order]]:
        """Return the loop's input that passes a datagram to the fleet agent."""

        def process(manager: SessionManager, now: float) -> list[messages.Order]:
            self._processed_count += 1
            assert self.fleet is not None, "opened before"
            return self._execute(manager, now, self.fleet.receive(now, message))

        return process

    @property
    def start_kind(self) -> StartKind | None:
        """The kind of this start (new disk, all restarted, ...); None until it is classified."""
        return None if self.fleet_recovery is None else self.fleet_recovery.start_kind

    # On the loop

    def _execute(self, manager: SessionManager, now: float, actions: list[Action]) -> list[messages.Order]:
        """Carry out the fleet agent's actions; return the orders of the session manager that result."""
        orders: list[messages.Order] = []
        for action in actions:
            match action:
                case SendMessage(message):
                    self._send(message)
                case WriteWitnessRecord():
                    orders += self._write_witness_record(manager, now, action)
                case PollFinished(setup):
                    orders += self._witness_poll_ended(manager, now, setup)
                case WriteTaskRecord():
                    orders += self._write_task_record(manager, now, action)
                case StoreRoutingPart(digest, data):
                    self._part_files.write(digest, data, self._routing_part_stored)
                case DeleteRoutingPart(digest):
                    self._part_files.delete(digest)
                case Check():
                    self._run_check(action)
        self._handle_member_changes(manager, now)
        self._log_task_changes(now)
        self._schedule_alarm(now)
        return orders

    def _send(self, message: Message) -> None:
        try:
            data = self._codec.encode(message)
            self.sent_bytes += self._socket.sendto(data, self._addresses[message.receiver])
            self.sent_count += 1
        except (OSError, ValueError) as error:
            self._log.debug("peer_unsent", to=message.receiver, cause=str(error))

    def _write_witness_record(
        self, manager: SessionManager, now: float, write: WriteWitnessRecord
    ) -> list[messages.Order]:
        assert self.fleet is not None, "opened before"
        if write.record is None:
            return self._execute(manager, now, self.fleet.witness_record_written(now, write))
        if self._witness_log is None:
            return self._execute(
                manager,
                now,
                self.fleet.witness_record_written(now, write, self._witness.abstain_reason or "no log"),
            )

        def done(error: OSError | None) -> None:
            error_text = "" if error is None else f"claims can't be recorded: {error}"
            self._loop().put(
                lambda manager, now: self._witness_record_written(manager, now, write, error_text)
            )

        self._witness_log.append(write.record, done)
        if self._witness.wants_snapshot():
            self._witness_log.compact(self._witness.snapshot())
        return []

    def _witness_record_written(
        self, manager: SessionManager, now: float, write: WriteWitnessRecord, error_text: str
    ) -> list[messages.Order]:
        assert self.fleet is not None, "opened before"
        if error_text:
            self._log.error("witness_unusable", cause=error_text)
        return self._execute(manager, now, self.fleet.witness_record_written(now, write, error_text))

    def _write_task_record(
        self, manager: SessionManager, now: float, write: WriteTaskRecord
    ) -> list[messages.Order]:
        """Make a record of the leader tasks durable, then report it to them."""
        assert self.fleet is not None and self.fleet.leader_tasks is not None, "the record is theirs"
        leader_tasks = self.fleet.leader_tasks
        if self._task_log is None or not self._task_log.usable:
            return self._execute(manager, now, [*leader_tasks.record_written(now, write.token, LOG_UNUSABLE)])

        def written(error_text: str) -> None:
            self._loop().put(
                lambda manager, now: self._task_record_written(manager, now, leader_tasks, write, error_text)
            )

        self._task_log.write(now, leader_tasks, write, written)
        return []

    def _task_record_written(
        self,
        manager: SessionManager,
        now: float,
        leader_tasks: LeaderTasks,
        write: WriteTaskRecord,
        error_text: str,
    ) -> list[messages.Order]:
        assert self.fleet is not None, "opened before"
        if error_text:
            self._log.error("duties_unusable", cause=error_text)
        if leader_tasks is not self.fleet.leader_tasks:
            return []  # of this run's first boot number, which no peer accepted
        return self._execute(manager, now, [*leader_tasks.record_written(now, write.token, error_text)])

    def _routing_part_stored(self, digest: str, error_text: str) -> None:
        """Report to the routing task that a part is on disk, or the error; on the writing thread."""

        def stored(manager: SessionManager, now: float) -> list[messages.Order]:
            if self.routes is not None:
                self.routes.stored(now, digest, error_text)
            return self._execute(manager, now, [])

        self._loop().put(stored)

    def _run_check(self, check: Check) -> None:
        """Check a proposed routing on a worker thread, as it may take long, and report the verdict."""

        def run() -> None:
            verdict = check.run()

            def checked(manager: SessionManager, now: float) -> list[messages.Order]:
                if self.routes is not None:
                    self.routes.checked(now, check.token, verdict)
                return []

            self._loop().put(checked)

        self._checks.submit(run)

    @property
    def routes(self) -> RoutingTask | None:
        """The leader task that rolls out routing editions; None if the script has no region or no voters."""
        return None if self.fleet is None else self.fleet.routes

    def propose_routing(self, now: float, routing: Routing, config: Peers) -> None:
        """Apply the routing and peers blocks of a reloaded script; on the loop."""
        self._routing = routing
        forget_reason = config.routes_forget if config.routes_forget != self._config.routes_forget else ""
        self._config = config
        if self.routes is None:
            return
        if forget_reason:
            self._log.warning("routes_forget", why=forget_reason)
            self.routes.forget_unreachable(now)
        self.routes.propose(now, routing, forced=config.routes_forced)

    def order_in_force(self, task_name: str, now: float) -> TaskOrder | None:
        """Return the order of a leader task in force here, or None; on the loop."""
        leader_tasks = None if self.fleet is None else self.fleet.leader_tasks
        return None if leader_tasks is None else leader_tasks.order_in_force(task_name, now)

    def _log_task_changes(self, now: float) -> None:
        """Log changes of routing and of the tasks' owners, and notice the end of a hand-over."""
        assert self.fleet is not None, "opened before"
        leader_tasks = self.fleet.leader_tasks
        if leader_tasks is None:
            return
        for line in () if self.routes is None else self.routes.drain_lines():
            getattr(self._log, line.level)(line.event, t=now, **dict(line.fields))
        for change in leader_tasks.drain_changes():
            self._log.info(
                "duty_turn", duty=change.task_name, what=change.event, term=change.term, why=change.reason
            )
        if self._handing_over and not self._handed_over.is_set():
            statuses: Any = leader_tasks.status(now)["duties"]
            stages = [x["stage"] for x in statuses.values()]
            if not self.fleet.members.live_peers() or all(x == Stage.IDLE.value for x in stages):
                self._handed_over.set()

    def _schedule_alarm(self, now: float) -> None:
        """Schedule a tick for when the fleet agent is due, unless an earlier one is scheduled."""
        assert self.fleet is not None, "opened before"
        due = max(self.fleet.due(), now + MIN_ALARM_DELAY_SECONDS)
        if due < self._alarm_due_at and not self._stopped:
            self._alarm_due_at = due
            self._loop().call_at(due, self._alarm_fired)

    def _alarm_fired(self, manager: SessionManager, now: float) -> list[messages.Order]:
        self._alarm_due_at = float("inf")
        if self._stopped:
            return []
        assert self.fleet is not None, "opened before"
        return self._execute(manager, now, self.fleet.tick(now))

    def poll_witnesses(self, manager: SessionManager, now: float, poll: WitnessPoll) -> list[messages.Order]:
        """Ask an attempt's witnesses to grant its claim."""
        assert self.fleet is not None, "opened before"
        return self._execute(manager, now, self.fleet.start_poll(now, poll))

    def attempt_state_changed(
        self, manager: SessionManager, now: float, entry: AttemptRecord, session_class: str
    ) -> list[messages.Order]:
        """Report an attempt's new state to its witnesses."""
        assert self.fleet is not None, "opened before"
        return self._execute(manager, now, self.fleet.attempt_state_changed(now, entry, session_class))

    def _handle_member_changes(self, manager: SessionManager, now: float) -> None:
        """Log changed peers, and act on a later boot of this name or on the last peer met."""
        assert self.fleet is not None, "opened before"
        members = self.fleet.members
        changes = members.drain_changes()
        for change in changes:
            level = "warning" if change.after in (MemberState.SUSPECT, MemberState.DEAD) else "info"
            getattr(self._log, level)(
                "peer",
                peer=change.name,
                before=change.before.value,
                after=change.after.value,
                why=change.reason,
            )
        if members.conflicting_boot >= members.boot:
            self._handle_later_boot(manager, now, members)
        elif all(x.state is not MemberState.UNKNOWN for x in members.peers.values()):
            self.handle_recovery_event(manager, now, RecoveryEvent.PEERS_MET)
        if any(x.after is MemberState.ALIVE for x in changes):
            self._save_peer_boots(members)

    def _handle_later_boot(self, manager: SessionManager, now: float, members: Members) -> None:
        """Peers know a later boot of this gateway's name.

        If no peer has accepted a message of this run, the disk is old or empty: this run takes a later boot
        number and abstains. Otherwise another process uses the name, and this one stands aside.
        """
        if members.accepted_by_peer:
            if (
                self.fleet_recovery is not None
                and self.fleet_recovery.phase is not RecoveryPhase.STANDING_ASIDE
            ):
                self._log.error("superseded", t=now, boot=members.boot, later=members.conflicting_boot)
                self.handle_recovery_event(manager, now, RecoveryEvent.SUPERSEDED)
            return
        before = self._identity
        self._identity = msgspec.structs.replace(before, boot=members.conflicting_boot + 1, forgetful=True)
        if not self._save_identity():  # a boot number that isn't durable may be used twice: stay unaccepted
            self._identity = before
            return
        self._log.warning("old_disk", boot=members.boot, known=members.conflicting_boot)
        if not is_used(StoredItem.WITNESSED_CLAIMS, StartKind.NEW_DISK):
            self._abstain_as_witness(
                now, "its disk is older than its name: what it witnessed may be forgotten"
            )
        leader_tasks = None if self.fleet is None else self.fleet.leader_tasks
        self._create_fleet(now, () if leader_tasks is None else leader_tasks.snapshot())
        assert self.fleet is not None, "just made"
        if not is_used(StoredItem.VOTES, StartKind.NEW_DISK):
            self._abstain_from_votes("its disk is older than its name: what it promised may be forgotten")
            self._abstain_until = now + self._abstain_seconds
        self.fleet.members.phase = members.phase

    def _abstain_from_votes(self, reason: str) -> None:
        """Stop voting, as the disk may have lost votes, and discard the routing edition restored from it.

        The edition may have been given up since; none is in force until an order arrives.
        """
        assert self.fleet is not None, "opened before"
        if self.fleet.leader_tasks is not None:
            self.fleet.leader_tasks.abstains = reason
        if self.fleet.routes is not None:
            self.fleet.routes.discard_recalled_state()

    def _save_peer_boots(self, members: Members) -> None:
        """Store the highest boot numbers of the peers for the next run."""
        others = {x.name: x.known_boot for x in members.peers.values() if x.known_boot}
        if others == self._identity.others:
            return
        self._identity = msgspec.structs.replace(self._identity, others=others)
        self._submit_identity_save()

    def _submit_identity_save(self) -> None:
        """Write the identity on a worker thread, as a disk may be slow.

        If the write is lost, the next run accepts a peer's old run until it learns of the new one, and
        takes known hosts for new.
        """

        def save() -> None:
            self._save_identity()

        if not self._stopped:  # after a stop the folder may belong to another run
            self._identity_writer.submit(save)

    def _save_identity(self) -> bool:
        try:
            with self._identity_lock:  # of two concurrent writes the older one must not be the last
                identity.save(self._folder, self._identity)
        except OSError as error:
            self._log.warning("identity_not_kept", cause=str(error))
            return False
        return True

    # Recovery

    def handle_recovery_event(self, manager: SessionManager, now: float, event: RecoveryEvent) -> None:
        """Pass an event to recovery, and log the new phase if it moves on."""
        assert self.fleet_recovery is not None, "opened before"
        if self.fleet_recovery.handle_event(now, event):
            self._phase_changed(manager, now)

    def _check_recovery(self, manager: SessionManager, now: float) -> list[messages.Order]:
        """Check time limits: of recovery's phases, and of abstaining after a loss of memory."""
        if self._stopped:
            return []
        assert self.fleet_recovery is not None, "opened before"
        if self.fleet_recovery.tick(now):
            self._phase_changed(manager, now)
        if self._abstain_until and now >= self._abstain_until:
            self._abstain_until, self._witness.abstain_reason = 0.0, ""
            if self.fleet is not None and self.fleet.leader_tasks is not None:
                self.fleet.leader_tasks.abstains = ""
            self._identity = msgspec.structs.replace(self._identity, forgetful=False)
            self._submit_identity_save()
        if self.fleet_recovery.phase is RecoveryPhase.ATTEMPTS and self._is_resolved(manager, now):
            self.handle_recovery_event(manager, now, RecoveryEvent.ATTEMPTS_RESOLVED)
        self._save_host_runs()
        self._loop().call_at(now + RECOVERY_CHECK_SECONDS, self._check_recovery)
        return []

    def _phase_changed(self, manager: SessionManager, now: float) -> None:
        """Classify the start anew, announce the phase to peers and log it."""
        assert self.fleet_recovery is not None and self.fleet is not None, "opened before"
        recovery, members = self.fleet_recovery, self.fleet.members
        if recovery.phase is not RecoveryPhase.PEERS:
            self.ready.set()
        alive = [x for x in members.peers.values() if x.last_heard_at > 0 and x.state is MemberState.ALIVE]
        ages = {x.name: now - x.started_at for x in alive}
        conflicting_boot = members.boot - 1 if self._identity.forgetful else 0
        recovery.start_kind = classify_start(
            members.boot,
            conflicting_boot,
            ages,
            now - members.started_at,
            self._host_restarts(),
            recovery.timeouts,
        )
        members.phase = recovery.phase.value
        left, seconds, reason = recovery.history[-1]
        self._log.info(
            "phase",
            left=left.value,
            after_s=round(seconds, 3),
            why=reason,
            phase=recovery.phase.value,
            start=recovery.start_kind.value,
        )

    def _host_restarts(self) -> tuple[int, int]:
        """Count the hosts whose run both an earlier run of this gateway and this one know, and the restarted
        ones of them."""
        both = [x for x in self._earlier_host_runs if x in self._host_run_ids]
        return len(both), sum(self._earlier_host_runs[x] != self._host_run_ids[x] for x in both)

    def _is_resolved(self, manager: SessionManager, now: float) -> bool:
        """Whether all open attempts are resolved and the hosts have named their runs or had time to."""
        if not self._attempts_resolved() or self.fleet_recovery is None:
            return False
        known, _ = self._host_restarts()
        return (
            known == len(self._earlier_host_runs)
            or now - self.fleet_recovery.phase_started_at > HOST_RUN_TIMEOUT_SECONDS
        )

    def _save_host_runs(self) -> None:
        """Store the hosts' runs for the next run, which tells by them, not by a clock, whether the hosts lost
        power too."""
        run_ids = {**self._earlier_host_runs, **self._host_run_ids}
        if (
            run_ids == self._earlier_host_runs
            or self.fleet_recovery is None
            or self.fleet_recovery.phase is not RecoveryPhase.SERVICE
        ):
            return
        self._earlier_host_runs = run_ids
        self._identity = msgspec.structs.replace(
            self._identity, hosts={str(x): y for x, y in run_ids.items()}
        )
        self._submit_identity_save()

    def status(self) -> dict[str, object]:
        """Return this gateway's view of the fleet for `/status`; read without a lock, so perhaps stale."""
        if self.fleet is None or self.fleet_recovery is None:
            return {}
        members, now = self.fleet.members, time.monotonic()
        return {
            "boot": members.boot,
            "phase": self.fleet_recovery.phase.value,
            "since_s": round(now - self.fleet_recovery.phase_started_at, 3),
            "start": None if self.fleet_recovery.start_kind is None else self.fleet_recovery.start_kind.value,
            "steps": [
                {"phase": x.value, "seconds": round(y, 3), "ended_by": z}
                for x, y, z in list(self.fleet_recovery.history)
            ],
            "turned_away": self.fleet_recovery.turned_away,
            "health": members.health_score,
            "abstains": self._witness.abstain_reason,
            "witnessed": len(self._witness.claims),
            "polls": self.fleet.poll_count,
            "unwitnessed": self.fleet.unwitnessed,
            "sent": self.sent_count,
            "sent_bytes": self.sent_bytes,
            "received": self.received_count,
            "flooded": self.rate_limited_count,
            "dropped": dict(members.dropped) | dict(self.rejected_counts),
            **({} if self.fleet.leader_tasks is None else {"duties": self.fleet.leader_tasks.status(now)}),
            "peers": {
                x.name: {
                    "standing": x.state.value,
                    "since_s": round(now - x.changed_at, 3),
                    "why": x.reason,
                    "boot": x.version[0],
                    "phase": x.phase,
                    "heard_s": round(now - x.last_heard_at, 3) if x.run_id and x.last_heard_at > 0 else None,
                }
                for x in list(members.peers.values())
            },
        }

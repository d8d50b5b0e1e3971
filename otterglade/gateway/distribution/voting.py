"""A voter's part in settling who writes: datagrams, membership, and the duty `configuration`.

One thread reads datagrams and checks their seals; everything else is called on the decision thread.
"""

from __future__ import annotations

import contextlib
import math
import socket
import threading
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from ...config.script import address as parse_address
from ...core.fleet.actions import SendMessage, WriteTaskRecord
from ...core.fleet.leader_task import LeaderTask
from ...core.fleet.leader_task_records import TaskRecordError
from ...core.fleet.leader_tasks import LeaderTasks
from ...core.fleet.member_state import MemberState
from ...core.fleet.members import Members
from ...core.fleet.messages import MAX_DATAGRAM_BYTES, DatagramCodec, DatagramError, Kind, Message
from ...core.fleet.proposer_stages import Stage
from ...core.fleet.register import LeaseTiming, Voters
from ...net.threads import Failure, spawn
from ...net.workers import Workers
from ...obs.logs import Log as Logger
from ...store.disk import Disk
from .. import identity
from ..leader_task_log import LOG_UNUSABLE, LeaderTaskLog
from ..leader_tasks import LoggedLeaderTask
from ..rate_limit import SenderRateLimit
from .config import ControlConfig
from .events import EventQueue, PeerMessage, VoteWritten

DUTY = "configuration"
DATAGRAMS_PER_SECOND = 200.0
"""Of one address, with as many at once."""
MOST_REASONS = 32
"""Kinds of refused datagrams that are counted one by one."""
DOUBT_LEASES = 2.0
"""Leases for which a voter whose disk is older than its name does not vote: by then nothing that it may have
promised is in use."""
DUTY_KINDS = (Kind.VOTE, Kind.VOTE_REPLY, Kind.REPORT, Kind.ORDER)


def pace_of(lease: float) -> LeaseTiming:
    """The pace of the duty for this lease: the standard one, stretched or shortened as a whole."""
    standard = LeaseTiming()
    scale = lease / standard.lease
    return LeaseTiming(
        period=standard.period * scale,
        lease=lease,
        order_lifetime=standard.order_lifetime * scale,
        clock_drift=standard.clock_drift,
        answer_timeout=standard.answer_timeout * scale,
        retry_interval=standard.retry_interval * scale,
        round_timeout=standard.round_timeout * scale,
        rank_delay=standard.rank_delay * scale,
    )


class VotingMember:
    """Membership and the duty of one voter. `open` before `start`; `tick` when `due`."""

    def __init__(
        self,
        config: ControlConfig,
        work: LeaderTask,
        *,
        run: str,
        seed: int,
        events: EventQueue,
        log: Logger,
        on_failure: Failure,
        disk: Disk | None = None,
        superseded: Callable[[], None] = lambda: None,
    ) -> None:
        """`superseded`: called when another process is found to have this name. Raises OSError where the
        address can't be had."""
        self._config, self._run, self._seed = config, run, seed
        self._work = LoggedLeaderTask(work, log)
        self._events, self._log, self._on_failure, self._disk = events, log, on_failure, disk
        self._superseded = superseded
        self._folder = Path(config.folder)
        self._seal = DatagramCodec(config.key_bytes, config.sign_with)
        self._addresses = {x.name: parse_address(x.peer_address, x.name) for x in config.voters}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._socket.bind(parse_address(config.peer_listen or config.me.peer_address, "peer_listen"))
        except OSError:
            self._socket.close()
            raise
        self._identity = identity.Identity()
        self._saving = threading.Lock()
        self._saves = Workers("identity", 1, on_failure, min_threads=1)
        self._duty_log = LeaderTaskLog(None, (), log)
        self._members = self._new_members(0.0)
        self._duties = self._new_duties(0.0)
        self._doubt_until = 0.0
        self._stopping = self._is_superseded = False
        self._reader_ended = threading.Event()
        self.received_datagrams = self.sent_datagrams = self.sent_bytes = self.flooded = 0
        self.refused_datagrams: dict[str, int] = {}

    # Start and stop

    def open(self, now: float) -> None:
        """Count this start, durably, and read what was voted. Raises OSError, identity.IdentityError."""
        found = identity.load(self._folder)
        self._identity = msgspec.structs.replace(found, boot=found.boot + 1)
        identity.save(self._folder, self._identity)
        self._duty_log = LeaderTaskLog.open(self._folder, self._log, self._on_failure, self._disk)
        self._members = self._new_members(now)
        self._duties = self._new_duties(now)
        try:
            self._duties.restore(self._duty_log.records, now)
        except TaskRecordError as error:
            self._duties.abstains = f"the log of duties can't be used: {error}"
            self._log.error("duties_unusable", cause=str(error))
        if not self._duty_log.usable:
            self._duties.abstains = "its log of duties can't be used"
        elif found.forgetful:
            self._doubt(now)

    def _new_members(self, now: float) -> Members:
        boot = self._identity.boot
        floors = self._identity.others
        seed = self._seed + boot
        return Members(self._config.name, boot, self._run, self._addresses, now, seed, min_boots=floors)

    def _new_duties(self, now: float) -> LeaderTasks:
        config = self._config
        names = tuple(x.name for x in config.voters)
        voters = Voters(names, config.voters_number, config.voters_before, config.voters_forced)
        pace = pace_of(config.lease_s)
        return LeaderTasks(self._members, voters, [self._work], now, self._seed + 1, pace)

    def start(self) -> None:
        """Begin to listen."""
        spawn("voters", self._read, self._on_failure)

    def hand_over(self, now: float) -> None:
        """This machine stops as planned: what it owns goes to another voter."""
        self._carry(now, self._duties.hand_over(now))

    def handed_over(self, now: float) -> bool:
        """Whether it owns nothing any more, or nobody is there to take it over."""
        return not self._members.live_peers() or self._stage(now) == Stage.IDLE.value

    def stop(self, now: float) -> None:
        """Say that this machine leaves, and listen no longer."""
        self._stopping = True
        for message in self._members.leave(now):
            self._send(message)
        with contextlib.suppress(OSError):  # not connected; it wakes the reading thread all the same
            self._socket.shutdown(socket.SHUT_RDWR)

    def closed(self, limit: float) -> bool:
        """Write what is on its way to the disk, and let the address go, within `limit` seconds for each of
        three steps."""
        saved = self._saves.wait_idle(limit)
        self._duty_log.close()
        written = self._duty_log.wait_closed(limit)
        return self._reader_ended.wait(limit) and written and saved

    # The reading thread

    def _read(self) -> None:
        try:
            self._read_all()
        finally:
            self._socket.close()
            self._reader_ended.set()

    def _read_all(self) -> None:
        rate_limit = SenderRateLimit(DATAGRAMS_PER_SECOND)
        while not self._stopping:
            try:
                data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                continue  # a closed port of a peer, told by the kernel: its silence says the same
            if not rate_limit.allow(sender, time.monotonic()):
                self.flooded += 1
                continue
            try:
                message = self._seal.decode(data)
            except DatagramError as error:
                self._refuse(str(error))
                continue
            self.received_datagrams += 1
            if not self._events.offer(PeerMessage(message)):
                self.flooded += 1

    def _refuse(self, reason: str) -> None:
        if reason in self.refused_datagrams or len(self.refused_datagrams) < MOST_REASONS:
            self.refused_datagrams[reason] = self.refused_datagrams.get(reason, 0) + 1

    # On the decision thread

    def due(self) -> float:
        """When `tick` has something to do next."""
        return min(self._members.due(), self._duties.due(), self._doubt_until or math.inf)

    def tick(self, now: float) -> None:
        """Do what is due."""
        for message in self._members.tick(now):
            self._send(message)
        if self._doubt_until and now >= self._doubt_until:
            self._end_doubt()
        self._carry(now, self._duties.tick(now))

    def received(self, now: float, message: Message) -> None:
        """A datagram whose seal was good."""
        heard = self._members.receive(now, message)
        for answer in heard.replies:
            self._send(answer)
        if heard.accepted and message.kind in DUTY_KINDS:
            self._carry(now, self._duties.receive(now, message))
        self._changed(now)

    def written(self, now: float, token: int, trouble: str) -> None:
        """A record of the duty is durable, or `trouble` says why it can't be."""
        if trouble:
            self._log.error("duties_unusable", cause=trouble)
        self._carry(now, self._duties.record_written(now, token, trouble))

    def _carry(self, now: float, out: Sequence[SendMessage | WriteTaskRecord]) -> None:
        for action in out:
            if isinstance(action, SendMessage):
                self._send(action.message)
            else:
                self._write(now, action)
        self._changed(now)

    def _send(self, message: Message) -> None:
        try:
            data = self._seal.encode(message)
            self.sent_bytes += self._socket.sendto(data, self._addresses[message.receiver])
            self.sent_datagrams += 1
        except (OSError, ValueError) as error:
            self._log.debug("peer_unsent", to=message.receiver, cause=str(error))

    def _write(self, now: float, write: WriteTaskRecord) -> None:
        def written(trouble: str) -> None:
            self._events.put(VoteWritten(write.token, trouble))

        if not self._duty_log.usable:
            written(LOG_UNUSABLE)
            return
        self._duty_log.write(now, self._duties, write, written)

    def _changed(self, now: float) -> None:
        """Tell the log what has changed, and look whether this name is another's."""
        changes = self._members.drain_changes()
        for change in changes:
            away = change.after in (MemberState.SUSPECT, MemberState.DEAD)
            tell = self._log.warning if away else self._log.info
            tell("peer", peer=change.name, standing=change.after.value, why=change.reason)
        for turn in self._duties.drain_changes():
            self._log.info("duty_turn", duty=turn.task_name, what=turn.event, term=turn.term, why=turn.reason)
        if self._members.conflicting_boot >= self._members.boot:
            self._behind(now)
        if any(x.after is MemberState.ALIVE for x in changes):
            self._keep_others()

    def _behind(self, now: float) -> None:
        """Others know a later start of this name: an old disk, or another process with the name."""
        if self._is_superseded:
            return
        if self._members.accepted_by_peer:
            self._is_superseded = True
            self._duties.abstains = "another process has its name"
            self._log.error("superseded", boot=self._members.boot, later=self._members.conflicting_boot)
            self._superseded()
            return
        before = self._identity
        self._identity = msgspec.structs.replace(
            before, boot=self._members.conflicting_boot + 1, forgetful=True
        )
        if not self._save():  # a count that is not on disk may be used twice
            self._identity = before
            return
        cause = "the disk is older than what other voters know of this machine; it does not vote for a time"
        self._log.warning(
            "old_disk", boot=self._members.boot, known=self._members.conflicting_boot, cause=cause
        )
        self._members = self._duties.members = self._new_members(now)
        self._doubt(now)

    def _doubt(self, now: float) -> None:
        self._duties.abstains = "its disk is older than its name: what it promised may be forgotten"
        self._doubt_until = now + DOUBT_LEASES * self._config.lease_s

    def _end_doubt(self) -> None:
        """Vote again once the other voters have told what they have."""
        self._doubt_until = 0.0
        self._duties.abstains = ""
        self._save_behind(msgspec.structs.replace(self._identity, forgetful=False))

    def _keep_others(self) -> None:
        """Keep the highest starts of other voters, for the next run."""
        others = {x.name: x.known_boot for x in self._members.peers.values() if x.known_boot}
        if others != self._identity.others and not self._stopping:
            self._save_behind(msgspec.structs.replace(self._identity, others=others))

    def _save_behind(self, new: identity.Identity) -> None:
        """Keep it without holding up the decision thread."""
        self._identity = new
        self._saves.submit(lambda: self._log.debug("identity_kept", kept=self._save()))

    def _save(self) -> bool:
        """Keep the identity as it is now; whether it is durable."""
        try:
            with self._saving:  # of two at once the older must not come last
                identity.save(self._folder, self._identity)
        except OSError as error:
            self._log.warning("identity_not_kept", cause=str(error))
            return False
        return True

    # What is known

    def owner(self, now: float) -> tuple[str, int]:
        """Whose order holds here now, and its term; an empty name: nobody's."""
        order = self._duties.order_in_force(DUTY, now)
        return ("", 0) if order is None else (order.owner, order.term)

    def _stage(self, now: float) -> str:
        duties: Any = self._duties.status(now)["duties"]
        return str(duties[DUTY]["stage"])

    def status(self, now: float) -> dict[str, object]:
        """This voter's view, for operators."""
        return {
            "boot": self._members.boot,
            "peers": {x.name: x.state.value for x in self._members.peers.values()},
            "sent": self.sent_datagrams,
            "sent_bytes": self.sent_bytes,
            "received": self.received_datagrams,
            "flooded": self.flooded,
            "refused": dict(self._members.dropped) | dict(self.refused_datagrams),
            **self._duties.status(now),
        }

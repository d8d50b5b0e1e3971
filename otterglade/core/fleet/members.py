"""Membership and failure detection: the state of every configured gateway as seen from this one.

The protocol is SWIM (Das, Gupta, Motivala 2002): each interval one member is pinged, in a shuffled order. If
it does not answer, a few others ping it on request; if that fails too, it is suspect, and dead once the
suspicion expires unrefuted. Updates are piggybacked on these messages, the least transmitted ones first, so
that the cost for a gateway does not grow with the fleet.

Lifeguard (Dadgar, Phillips, Currey 2018) adds local health: a gateway that receives no answers, was itself
suspected or was paused probes more slowly before it suspects others, and a suspicion that no other member
shares lasts longer. The halves of a fleet merge again after a partition, because dead members are pinged at
times and each message carries two updates in rotation over all members.

The set of members is configured, and bounds the size of every table; only their states are found out here.
Membership is advisory: no safety property depends on it. A state only makes a gateway wait, choose which
gateway to ask, or report.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from .member_state import NEWER_EVENTS, TRANSITIONS, MemberEvent, MemberState, MemberVersion, classify_update
from .messages import MAX_MESSAGE_BYTES, Kind, MembershipUpdate, Message, ReplayWindow

MAX_MEMBERS = 4096
"""Configured gateways, this one included."""
MAX_PENDING_PROBES = 64
"""Probes in flight beyond which indirect-ping requests are dropped; a requester whose helpers stay silent
lowers its own local health."""
MAX_HEALTH_SCORE = 8
"""Worst local health score: the probe interval is then nine times as long."""


@dataclass(frozen=True, slots=True)
class MembershipTiming:
    """Intervals, time-outs and counts of the membership protocol; times in seconds."""

    probe_interval: float = 1.0
    """Between two probes by this gateway."""
    probe_timeout: float = 0.4
    """For a direct answer; the rest of the interval is left for indirect pings."""
    indirect_probes: int = 3
    """Members asked to ping a target that did not answer."""
    max_updates: int = 16
    """New updates on a message, in addition to two in rotation. Enough that no refutation is delayed in a
    fleet that starts all at once, when everything is new."""
    retransmit_multiplier: int = 4
    """An update is sent this often, times the decimal logarithm of the fleet's size."""
    suspicion_multiplier: float = 4.0
    """Shortest suspicion in probe intervals, times the same logarithm; it lasts six times as long while no
    other member shares it."""
    max_introductions: int = 3
    """Members in state UNKNOWN that are pinged in an interval."""
    dead_probe_intervals: int = 5
    """Probe intervals between two pings of a dead member."""


@dataclass(slots=True)
class Peer:
    """A configured member as seen from this gateway. Times are on this gateway's clock."""

    name: str
    state: MemberState = MemberState.UNKNOWN
    version: MemberVersion = (0, 0)
    run_id: str = ""
    changed_at: float = 0.0
    """Time of the last change of `state`."""
    reason: str = "not heard of yet"
    """Why `state` changed, for logs and `/status`."""
    suspected_by: set[str] = field(default_factory=set)
    last_heard_at: float = -math.inf
    """Time of the last accepted message of this run."""
    started_at: float = 0.0
    """Start of its run, from the age that the peer states."""
    phase: str = ""
    """Recovery phase that the peer states."""
    min_boot: int = 0
    """Highest boot of the peer known to an earlier run of this gateway; older boots are rejected."""
    replay_window: ReplayWindow = field(default_factory=ReplayWindow)
    hello_sent_at: float = -math.inf

    @property
    def known_boot(self) -> int:
        """Highest boot of the peer known here."""
        return max(self.min_boot, self.version[0])


@dataclass(frozen=True, slots=True)
class MemberStateChange:
    """A change of a member's state, for logs and for code that waits for it."""

    name: str
    before: MemberState
    after: MemberState
    reason: str


@dataclass(frozen=True, slots=True)
class ReceiveResult:
    """Outcome of a received message."""

    accepted: bool
    """The sender, run and sequence number were valid, so the body counts, even if updates on the message were
    ignored."""
    replies: list[Message]


@dataclass(slots=True)
class _Probe:
    """A ping that has not been answered yet."""

    target: str
    expires_at: float
    periodic: bool = False
    """The probe of the current interval, as opposed to an introduction or a ping for another member."""
    indirect_sent: bool = False
    nack_count: int = 0
    helper_count: int = 0
    requester: str = ""
    requester_probe_id: int = 0
    """Member that requested this indirect ping, and its own identifier of the probe."""


class Members:
    """Membership as seen by one gateway.

    Call `tick` at the time that `due` gives and `receive` for each message; both return messages to send.
    """

    def __init__(
        self,
        name: str,
        boot: int,
        run_id: str,
        peers: Iterable[str],
        now: float,
        seed: int,
        timing: MembershipTiming | None = None,
        min_boots: Mapping[str, int] | None = None,
    ) -> None:
        """`boot` counts this gateway's starts from 1 and is durable before it is used here. `min_boots` holds
        the highest boot of each peer that an earlier run knew. Raises ValueError if there are too many
        members."""
        self.name, self.boot, self.incarnation, self.run_id = name, boot, 0, run_id
        min_boots = min_boots or {}
        self.peers = {
            x: Peer(x, changed_at=now, min_boot=min_boots.get(x, 0)) for x in sorted(peers) if x != name
        }
        if len(self.peers) >= MAX_MEMBERS:
            raise ValueError(f"peers.members: found {len(self.peers)}; allowed: under {MAX_MEMBERS}")
        self.timing = timing or MembershipTiming()
        self.started_at = now
        self.health_score = 0
        """Local health: 0 is healthy, MAX_HEALTH_SCORE the worst."""
        self.phase = ""
        """Recovery phase of this gateway, sent with each message."""
        self.conflicting_boot = 0
        """Boot of another process with this name that peers know, at or above this run's; 0: none known."""
        self.accepted_by_peer = False
        """Whether a peer has accepted a message of this run."""
        self.changes: list[MemberStateChange] = []
        self.dropped: dict[str, int] = {}
        """Ignored messages and updates by reason; the reasons are keys in `/status`."""
        self._suspects: set[str] = set()
        self._random = random.Random(seed)
        self._last_sequence, self._last_probe_id = 0, 0
        self._probes: dict[int, _Probe] = {}
        self._probe_order: list[str] = []
        self._transmissions: dict[str, int] = {}
        """How often the update about each member was sent since it last changed."""
        self._rotation = 0
        self._probe_intervals = 0
        self._next_probe_at = now + self._random.random() * self.timing.probe_interval
        self._leaving = False

    # Queries

    def state_of(self, name: str) -> MemberState:
        """State of a member; this gateway itself is always ALIVE. Raises KeyError for an unknown name."""
        return MemberState.ALIVE if name == self.name else self.peers[name].state

    def live_peers(self) -> list[str]:
        """Names of alive and suspect peers: a suspicion alone is no reason to skip a member."""
        return [x.name for x in self.peers.values() if x.state in (MemberState.ALIVE, MemberState.SUSPECT)]

    def due(self) -> float:
        """Time at which `tick` next has something to do."""
        times = [self._next_probe_at, *(x.expires_at for x in self._probes.values())]
        if self._suspects:
            size = self._live_size()
            times += [self._suspicion_expires_at(self.peers[x], size) for x in self._suspects]
        return min(times)

    def _live_size(self) -> int:
        """Number of live members, this gateway included."""
        return len(self.live_peers()) + 1

    def drain_changes(self) -> list[MemberStateChange]:
        """Returns and clears the state changes since the last call."""
        changes, self.changes = self.changes, []
        return changes

    def create_message(
        self,
        kind: Kind,
        receiver: str,
        now: float,
        request_id: int = 0,
        target: str = "",
        body: bytes = b"",
    ) -> Message:
        """Creates a message of this run with the next sequence number.

        As many updates as fit are added; with a long body or long names an unlimited number of them would
        exceed the datagram.
        """
        self._last_sequence += 1
        peer = self.peers[receiver]
        bare = Message(
            kind,
            self.name,
            self.boot,
            self.incarnation,
            self.run_id,
            self._last_sequence,
            receiver,
            peer.run_id,
            now - self.started_at,
            request_id,
            target,
            peer.known_boot,
            self.phase,
            body=body,
        )
        # An array header of up to two more bytes counts the updates.
        room = MAX_MESSAGE_BYTES - len(msgspec.msgpack.encode(bare)) - 2
        return msgspec.structs.replace(bare, updates=self._select_updates(receiver, room))

    def leave(self, now: float) -> list[Message]:
        """Announces the shutdown of this gateway to a few peers, which gossip it."""
        self._leaving = True
        peers = self.live_peers()
        receivers = self._random.sample(peers, min(len(peers), 2 * self.timing.indirect_probes))
        return [self.create_message(Kind.LEAVE, x, now) for x in receivers]

    # Timers

    def tick(self, now: float) -> list[Message]:
        """Handles due probe time-outs and suspicions, and starts a probe interval if it is time."""
        out: list[Message] = []
        delay = now - self._next_probe_at
        if delay > self.timing.probe_interval:
            self._handle_pause(delay)
        for probe_id, probe in list(self._probes.items()):
            if now >= probe.expires_at:
                out += self._handle_timeout(now, probe_id, probe)
        size = self._live_size()
        for name in sorted(self._suspects):
            peer = self.peers[name]
            if now >= self._suspicion_expires_at(peer, size):
                suspecting = ", ".join(sorted(peer.suspected_by))
                self._transition(
                    now,
                    peer,
                    MemberEvent.SUSPICION_EXPIRED,
                    peer.version,
                    f"did not refute the suspicion of {suspecting}",
                )
        if now >= self._next_probe_at:
            out += self._start_interval(now)
        return out

    def _handle_pause(self, seconds: float) -> None:
        """Discards pending probes and extends suspicions after this process did not run for a time.

        Answers and refutations may be waiting unread. Without this a gateway that was stopped for ten seconds
        would declare the members that it had just probed dead.
        """
        self._adjust_health(1)
        self._probes = {}
        for name in self._suspects:
            self.peers[name].changed_at += seconds

    def _adjust_health(self, delta: int) -> None:
        self.health_score = max(0, min(MAX_HEALTH_SCORE, self.health_score + delta))

    def _start_interval(self, now: float) -> list[Message]:
        self._probe_intervals += 1
        slowdown = 1 + self.health_score
        self._next_probe_at = now + self.timing.probe_interval * slowdown
        out: list[Message] = []
        target = self._next_target()
        if target is not None:
            out.append(self._ping(now, target, self.timing.probe_timeout * slowdown, periodic=True))
        unknown = [x.name for x in self.peers.values() if x.state is MemberState.UNKNOWN]
        dead = [x.name for x in self.peers.values() if x.state is MemberState.DEAD]
        targets = self._random.sample(unknown, min(len(unknown), self.timing.max_introductions))
        if dead and self._probe_intervals % self.timing.dead_probe_intervals == 0:
            targets.append(self._random.choice(dead))
        return out + [self._ping(now, x, self.timing.probe_timeout * slowdown) for x in targets]

    def _next_target(self) -> str | None:
        """Next member of a shuffled round; bounds the time until each is probed (SWIM, section 4.3)."""
        while True:
            if not self._probe_order:
                self._probe_order = self.live_peers()
                self._random.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            name = self._probe_order.pop()
            if self.peers[name].state in (MemberState.ALIVE, MemberState.SUSPECT):
                return name

    def _ping(self, now: float, target: str, timeout: float, **fields: object) -> Message:
        self._last_probe_id += 1
        self._probes[self._last_probe_id] = _Probe(target, now + timeout, **fields)  # type: ignore[arg-type]
        return self.create_message(Kind.PING, target, now, request_id=self._last_probe_id)

    def _handle_timeout(self, now: float, probe_id: int, probe: _Probe) -> list[Message]:
        if probe.requester:
            del self._probes[probe_id]
            return [
                self.create_message(
                    Kind.NACK,
                    probe.requester,
                    now,
                    request_id=probe.requester_probe_id,
                    target=probe.target,
                )
            ]
        if not probe.periodic:
            del self._probes[probe_id]
            return []
        others = [x for x in self.live_peers() if x != probe.target and self.peers[x].run_id]
        if not probe.indirect_sent and others:
            helpers = self._random.sample(others, min(len(others), self.timing.indirect_probes))
            probe.indirect_sent, probe.helper_count = True, len(helpers)
            probe.expires_at = max(now, self._next_probe_at - 0.05 * self.timing.probe_interval)
            second_ping = self.create_message(Kind.PING, probe.target, now, request_id=probe_id)
            return [
                second_ping,
                *(
                    self.create_message(Kind.PING_REQ, x, now, request_id=probe_id, target=probe.target)
                    for x in helpers
                ),
            ]
        del self._probes[probe_id]
        # Missing nacks suggest that this gateway itself is cut off. They cost one point of local health for a
        # probe, not one each: with a third of all messages lost, probing would come to a halt otherwise.
        self._adjust_health(int(2 * probe.nack_count < probe.helper_count or not probe.helper_count))
        peer = self.peers[probe.target]
        peer.suspected_by.add(self.name)
        self._transition(now, peer, MemberEvent.PROBE_TIMED_OUT, peer.version, f"did not answer {self.name}")
        return []

    def _suspicion_expires_at(self, peer: Peer, size: int) -> float:
        """End of a suspicion in a fleet of `size` members; each member that shares it shortens it (Lifeguard,
        section IV-B)."""
        shortest = self.timing.suspicion_multiplier * max(1.0, math.log10(size)) * self.timing.probe_interval
        longest = 6.0 * shortest
        expected = max(1, min(3, size - 2))
        share = math.log(max(1, len(peer.suspected_by))) / math.log(expected + 1)
        return peer.changed_at + max(shortest, longest - (longest - shortest) * share)

    # Incoming messages

    def receive(self, now: float, message: Message) -> ReceiveResult:
        """Handles an authenticated message.

        A message that is rejected changes nothing but the counters in `dropped`; at most a HELLO answers it.
        """
        peer = self.peers.get(message.sender)
        if message.receiver != self.name:
            return self._reject("misrouted")
        if message.sender == self.name:
            if message.run_id != self.run_id:
                self.conflicting_boot = max(self.conflicting_boot, message.boot)
            return self._reject("own name")
        if peer is None:
            return self._reject("stranger")
        if message.boot < peer.known_boot or (
            message.boot == peer.version[0] and peer.run_id and message.run_id != peer.run_id
        ):
            return self._reject("old run", self._hello(now, peer, message))
        if message.receiver_run_id != self.run_id:
            return self._reject("meant for another run", self._hello(now, peer, message))
        if message.run_id != peer.run_id:
            peer.replay_window = ReplayWindow()
        if not peer.replay_window.accept(message.sequence):
            return self._reject("repeated")
        self._learn_sender(now, peer, message)
        for update in message.updates:
            self._apply_update(now, update)
        return ReceiveResult(True, self._reply(now, peer, message))

    def _reject(self, reason: str, replies: Iterable[Message] = ()) -> ReceiveResult:
        self.count_dropped(reason)
        return ReceiveResult(False, [*replies])

    def count_dropped(self, reason: str) -> list[Message]:
        """Counts an ignored message or update by reason. Returns no messages, for handlers to pass on."""
        self.dropped[reason] = self.dropped.get(reason, 0) + 1
        return []

    def _hello(self, now: float, peer: Peer, message: Message) -> list[Message]:
        """Tells a sender this run and the boot of its own that is known here. Rate-limited, as anyone may
        replay a message."""
        if now - peer.hello_sent_at < self.timing.probe_timeout or message.kind is Kind.HELLO:
            return []
        peer.hello_sent_at = now
        self._last_sequence += 1
        # A known boot equal to the sender's tells it that another process has its name. If this gateway knows
        # no run of the sender, only a boot from its earlier run's disk, that may be the sender's own boot:
        # sending it back would make the sender stand aside for good because this gateway was restarted. A
        # sender that does not know this run yet is starting itself and has to learn if its boot was used.
        other_run = (peer.run_id or not message.receiver_run_id) and peer.run_id != message.run_id
        known_boot = (
            peer.known_boot
            if peer.known_boot > message.boot or (peer.known_boot == message.boot and other_run)
            else 0
        )
        return [
            Message(
                Kind.HELLO,
                self.name,
                self.boot,
                self.incarnation,
                self.run_id,
                self._last_sequence,
                peer.name,
                message.run_id,
                run_age=now - self.started_at,
                known_boot=known_boot,
                phase=self.phase,
            )
        ]

    def _learn_sender(self, now: float, peer: Peer, message: Message) -> None:
        version = (message.boot, message.incarnation)
        new_run_reason = "met" if not peer.run_id else "restarted"
        reason = "refuted" if message.run_id == peer.run_id else new_run_reason
        peer.run_id, peer.last_heard_at, peer.phase = message.run_id, now, message.phase
        peer.started_at = now - max(0.0, message.run_age)
        state = MemberState.LEFT if message.kind is Kind.LEAVE else MemberState.ALIVE
        reason = "announced its shutdown" if state is MemberState.LEFT else reason
        if message.kind is Kind.HELLO:
            if message.known_boot >= self.boot:
                self.conflicting_boot = max(self.conflicting_boot, message.known_boot)
        else:
            self.accepted_by_peer = True
        self._transition(now, peer, classify_update(peer.version, state, version), version, reason)

    def _apply_update(self, now: float, update: MembershipUpdate) -> None:
        """Applies a piggybacked update about a member, or about this gateway."""
        try:
            state = MemberState(update.state)
        except ValueError:
            self.count_dropped("unknown standing")
            return
        version = (update.boot, update.incarnation)
        if update.name == self.name:
            self._refute(state, version)
            return
        peer = self.peers.get(update.name)
        if peer is None or state is MemberState.UNKNOWN or update.boot < 1:
            self.count_dropped("word about nobody")
            return
        if update.boot < peer.min_boot:
            self.count_dropped("old run")
            return
        event = classify_update(peer.version, state, version)
        if event in NEWER_EVENTS:
            peer.suspected_by = set()
            if update.boot > peer.version[0]:
                # Another member has seen the peer's new run first.
                peer.run_id, peer.replay_window = update.run_id, ReplayWindow()
        is_new_report = (
            update.reported_by not in peer.suspected_by
            and len(peer.suspected_by) < self.timing.indirect_probes
        )
        if (
            state is MemberState.SUSPECT
            and event is not MemberEvent.STALE
            and update.reported_by in (*self.peers, self.name)
        ):
            peer.suspected_by.add(update.reported_by)
            if event is MemberEvent.SUSPECT_SAME and is_new_report and peer.state is MemberState.SUSPECT:
                # A further suspecting member shortens the suspicion, so it is gossiped as well.
                self._transmissions[peer.name] = 0
        self._transition(
            now, peer, event, version, f"{state.value}, reported by {update.reported_by or 'the fleet'}"
        )

    def _refute(self, state: MemberState, version: MemberVersion) -> None:
        """Refutes a claim about this gateway with a higher incarnation. A higher boot in the claim belongs to
        another process with this name."""
        if version[0] > self.boot:
            self.conflicting_boot = max(self.conflicting_boot, version[0])
        elif version[0] < self.boot or version[1] < self.incarnation or state is MemberState.ALIVE:
            return
        elif not self._leaving:
            self.incarnation = version[1] + 1
            self._transmissions[self.name] = 0
            self._adjust_health(1)

    def _transition(
        self, now: float, peer: Peer, event: MemberEvent, version: MemberVersion, reason: str
    ) -> None:
        before = peer.state
        after = TRANSITIONS[before, event]
        if event in NEWER_EVENTS:
            peer.version = version
            self._transmissions[peer.name] = 0
        if after is before:
            return
        peer.state, peer.changed_at, peer.reason = after, now, reason
        (self._suspects.add if after is MemberState.SUSPECT else self._suspects.discard)(peer.name)
        if after in (MemberState.ALIVE, MemberState.LEFT):
            peer.suspected_by = set()
        self._transmissions[peer.name] = 0
        self.changes.append(MemberStateChange(peer.name, before, after, reason))

    def _reply(self, now: float, peer: Peer, message: Message) -> list[Message]:
        match message.kind:
            case Kind.PING:
                return [self.create_message(Kind.ACK, peer.name, now, request_id=message.request_id)]
            case Kind.PING_REQ:
                if message.target not in self.peers or len(self._probes) >= MAX_PENDING_PROBES:
                    return self.count_dropped("asked too much")
                timeout = self.timing.probe_timeout
                return [
                    self._ping(
                        now,
                        message.target,
                        timeout,
                        requester=peer.name,
                        requester_probe_id=message.request_id,
                    )
                ]
            case Kind.ACK | Kind.NACK:
                return self._handle_answer(now, message)
            case Kind.HELLO if peer.state in (MemberState.ALIVE, MemberState.SUSPECT):
                # The peer's run is known now: a pending probe of it is repeated for this run.
                probe_ids = [n for n, x in self._probes.items() if x.target == peer.name]
                return [self.create_message(Kind.PING, peer.name, now, request_id=n) for n in probe_ids[:1]]
        return []

    def _handle_answer(self, now: float, message: Message) -> list[Message]:
        probe = self._probes.get(message.request_id)
        target = message.target or message.sender
        if probe is None or probe.target != target or (message.target and not probe.periodic):
            return self.count_dropped("answers nothing")
        if message.kind is Kind.NACK:
            probe.nack_count += 1
            return []
        del self._probes[message.request_id]
        if probe.periodic:
            self._adjust_health(-1)
        if probe.requester:
            return [
                self.create_message(
                    Kind.ACK, probe.requester, now, request_id=probe.requester_probe_id, target=target
                )
            ]
        return []

    # Piggybacked updates

    def _select_updates(self, receiver: str, room: int) -> tuple[MembershipUpdate, ...]:
        """Updates of at most `room` bytes: what the receiver has to refute, then the least transmitted ones,
        then two in rotation. An update that does not fit does not count as transmitted."""
        size = len(self.peers) + 1
        limit = math.ceil(self.timing.retransmit_multiplier * max(1.0, math.log10(size)))
        updates: dict[str, MembershipUpdate] = {}

        def put(name: str) -> bool:
            nonlocal room
            update = self._update_about(name)
            length = len(msgspec.msgpack.encode(update))
            if length <= room:
                room -= length
                updates[name] = update
            return name in updates

        receiving_peer = self.peers[receiver]
        if receiving_peer.state in (MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT):
            put(receiver)  # so that it can refute at once (Lifeguard's buddy system)
        pending = sorted(
            (x for x in self._transmissions if x != receiver), key=lambda x: (self._transmissions[x], x)
        )
        for name in pending[: self.timing.max_updates]:
            if put(name):
                self._transmissions[name] += 1
                if self._transmissions[name] >= limit:
                    del self._transmissions[name]
        known = [
            x.name for x in self.peers.values() if x.state is not MemberState.UNKNOWN and x.name != receiver
        ]
        for _ in range(min(2, len(known))):
            name = known[(self._rotation + 1) % len(known)]
            if name in updates or put(name):
                self._rotation += 1
        return tuple(updates.values())

    def _update_about(self, name: str) -> MembershipUpdate:
        if name == self.name:
            return MembershipUpdate(name, MemberState.ALIVE.value, self.boot, self.incarnation, self.run_id)
        peer = self.peers[name]
        reported_by = ""
        if peer.state is MemberState.SUSPECT and peer.suspected_by:
            reported_by = self.name if self.name in peer.suspected_by else min(peer.suspected_by)
        return MembershipUpdate(name, peer.state.value, *peer.version, peer.run_id, reported_by)

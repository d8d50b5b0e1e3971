"""A mesh of gateways' real membership code in simulated time: messages lost, late, doubled, cut one way.

Draws come from one seed, so the same seed gives the same story. The seal is the real one, and bytes are
counted as they would go out.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..core.fleet.members import Members, MembershipTiming, MemberStateChange
from ..core.fleet.messages import DatagramCodec, Message
from .agenda import Agenda

CODEC = DatagramCodec({"mesh": b"k" * 32}, "mesh")


@dataclass(slots=True)
class Links:
    """What happens to messages; shares from 0 to 1, seconds."""

    lost: float = 0.0
    doubled: float = 0.0
    late: tuple[float, float] = (0.001, 0.01)
    cut: set[tuple[str, str]] = field(default_factory=set)
    """From, to: nothing passes."""

    def part(self, some: Iterable[str], others: Iterable[str]) -> None:
        """Cut both ways between two groups."""
        for a, b in itertools.product(some, others):
            self.cut |= {(a, b), (b, a)}


@dataclass(slots=True)
class Seat:
    """A place in the mesh: the process that runs there, if one does, and what lies in its socket."""

    members: Members | None
    boot: int = 1
    stopped: list[Message] | None = None
    life: int = 0


class Mesh(Agenda):
    """`run(until)`; between two of them the caller commands links and processes."""

    def __init__(
        self,
        names: Iterable[str],
        seed: int,
        links: Links | None = None,
        timing: MembershipTiming | None = None,
    ) -> None:
        super().__init__()
        self.random, self.links, self.timing = random.Random(seed), links or Links(), timing
        self.bytes = self.messages = 0
        self.changes: list[tuple[float, str, MemberStateChange]] = []
        """When, at whom, what."""
        self.tape: list[Message] | None = None
        """Messages that went out, where they are kept."""
        self.seats = {x: Seat(None, boot=0) for x in names}
        for name in self.seats:
            self.start(name)

    def of(self, name: str) -> Members:
        members = self.seats[name].members
        assert members is not None, f"{name} does not run"
        return members

    # Processes

    def start(self, name: str, boot: int | None = None) -> None:
        """A start, with the next boot, or with one that an old disk or an empty one has."""
        seat = self.seats[name]
        seat.boot = seat.boot + 1 if boot is None else boot
        seat.life += 1
        run = f"{name}-{seat.life}"
        seat.members = Members(
            name, seat.boot, run, self.seats, self.now, self.random.getrandbits(48), self.timing
        )
        self._alarm(name, seat.members)

    def kill(self, name: str) -> None:
        self.seats[name].members = None

    def stop(self, name: str) -> None:
        self.seats[name].stopped = []

    def go_on(self, name: str) -> None:
        """What lay in the socket is read, after the alarm that is overdue."""
        seat = self.seats[name]
        waiting, seat.stopped = seat.stopped or [], None
        assert seat.members is not None, "was not killed"
        self._tick(name, seat.members)
        for message in waiting:
            self._arrive(message)

    def leave(self, name: str) -> None:
        members = self.of(name)
        self.send(members.leave(self.now))
        self.kill(name)

    # Time and messages

    def _alarm(self, name: str, members: Members) -> None:
        due = members.due()
        self.at(max(self.now, due), lambda: self._tick(name, members, due))

    def _tick(self, name: str, members: Members, due: float | None = None) -> None:
        seat = self.seats[name]
        if (
            seat.members is not members
            or seat.stopped is not None
            or (due is not None and members.due() != due)
        ):
            return
        self.send(members.tick(self.now))
        self._changed(name, members)
        self._alarm(name, members)

    def send(self, messages: Iterable[Message]) -> None:
        for message in messages:
            self.bytes += len(CODEC.encode(message))
            self.messages += 1
            if self.tape is not None:
                self.tape.append(message)
            if (message.sender, message.receiver) in self.links.cut or self.random.random() < self.links.lost:
                continue
            for _ in range(1 + (self.random.random() < self.links.doubled)):
                self.deliver(message, self.random.uniform(*self.links.late))

    def deliver(self, message: Message, late: float) -> None:
        self.at(self.now + late, lambda: self._arrive(message))

    def _arrive(self, message: Message) -> None:
        seat = self.seats.get(message.receiver)
        if seat is None or seat.members is None:
            return
        if seat.stopped is not None:
            seat.stopped.append(message)
            return
        before = seat.members.due()
        self.send(seat.members.receive(self.now, message).replies)
        self._changed(message.receiver, seat.members)
        if seat.members.due() != before:
            self._alarm(message.receiver, seat.members)

    def _changed(self, name: str, members: Members) -> None:
        self.changes += [(self.now, name, x) for x in members.drain_changes()]

"""What threads hand to a control machine's decision thread, and how they wait for its reply."""

from __future__ import annotations

import queue
import threading
from dataclasses import dataclass
from typing import Generic, TypeVar

from ...core.distribution.messages import (
    PartAnswer,
    PartRequest,
    ProposeAnswer,
    ProposeRequest,
    ReadAnswer,
    ReadRequest,
    StoreAnswer,
    StoreRequest,
)
from ...core.distribution.revision import Delta, Snapshot
from ...core.fleet.messages import Message

MOST_WAITING = 4096
"""Events of other machines that wait for the decision thread at most; more are turned away."""

Reply = TypeVar("Reply")


class ReplySlot(Generic[Reply]):
    """Where one thread waits for the decision thread's reply; the first reply counts."""

    __slots__ = ("_ready", "abandoned", "reason", "reply")

    def __init__(self) -> None:
        self._ready = threading.Event()
        self.reply: Reply | None = None
        """None once it is told: there is no reply to be had here now."""
        self.reason = ""
        """Why there is none."""
        self.abandoned = False
        """Nobody waits any more."""

    def tell(self, reply: Reply) -> None:
        """Wake the thread that waits."""
        if not self._ready.is_set():
            self.reply = reply
            self._ready.set()

    def refuse(self, reason: str) -> None:
        """Wake the thread that waits: there is no reply here, another machine may have one."""
        if not self._ready.is_set():
            self.reason = reason
            self._ready.set()

    def wait(self, seconds: float) -> bool:
        """Whether it was told within so many seconds."""
        return self._ready.wait(seconds)


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A datagram of another voter whose seal was good."""

    message: Message


@dataclass(frozen=True, slots=True)
class VoteWritten:
    """A record of a duty is durable, or `trouble` says why it is not."""

    token: int
    trouble: str


@dataclass(frozen=True, slots=True)
class ReadAsked:
    """A reader asks for what came after a revision."""

    request: ReadRequest
    connection: int
    slot: ReplySlot[ReadAnswer]


@dataclass(frozen=True, slots=True)
class ReaderGone:
    """The connection of a reader has ended."""

    name: str
    run: str
    connection: int


@dataclass(frozen=True, slots=True)
class PartAsked:
    """A reader asks for a part of a transfer."""

    request: PartRequest
    slot: ReplySlot[PartAnswer]


@dataclass(frozen=True, slots=True)
class StoreAsked:
    """The writer asks this voter to store a candidate."""

    request: StoreRequest
    slot: ReplySlot[StoreAnswer]


@dataclass(frozen=True, slots=True)
class CandidateStored:
    """This machine's own candidate, which it drafted as the writer, is durable here or can't be."""

    answer: StoreAnswer


@dataclass(frozen=True, slots=True)
class StoreAnswered:
    """What another voter said to this writer's request."""

    answer: StoreAnswer


@dataclass(frozen=True, slots=True)
class ProposeAsked:
    """A person's tool proposes changes."""

    request: ProposeRequest
    slot: ReplySlot[ProposeAnswer]


@dataclass(frozen=True, slots=True)
class ContentRead:
    """An accepted revision was read from another machine; `slot` is told when it is durable, or why not."""

    content: Delta | Snapshot
    slot: ReplySlot[str]


@dataclass(frozen=True, slots=True)
class StatusAsked:
    """Somebody asks how this machine stands; the reply is JSON."""

    slot: ReplySlot[bytes]


@dataclass(frozen=True, slots=True)
class StopAsked:
    """Hand over what this machine owns, and end."""


Event = (
    PeerMessage
    | VoteWritten
    | ReadAsked
    | ReaderGone
    | PartAsked
    | StoreAsked
    | CandidateStored
    | StoreAnswered
    | ProposeAsked
    | ContentRead
    | StatusAsked
    | StopAsked
)


class EventQueue:
    """Events in the order in which they were handed in, from any thread."""

    def __init__(self, most: int = MOST_WAITING) -> None:
        self._queue: queue.SimpleQueue[Event] = queue.SimpleQueue()
        self._most = most
        self.refused = 0

    def offer(self, event: Event) -> bool:
        """Hand in what another machine asks; False, and not handed in, where too many wait."""
        if self._queue.qsize() >= self._most:
            self.refused += 1
            return False
        self._queue.put(event)
        return True

    def put(self, event: Event) -> None:
        """Hand in what this machine has caused itself, of which there is a bounded number."""
        self._queue.put(event)

    def take(self, wait: float) -> Event | None:
        """The next one; None: there was none within `wait` seconds."""
        try:
            return self._queue.get(timeout=wait) if wait > 0 else self._queue.get_nowait()
        except queue.Empty:
            return None

    @property
    def waiting(self) -> int:
        """Events that are there now."""
        return self._queue.qsize()

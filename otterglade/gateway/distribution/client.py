"""Carries a `Subscriber`: reads revisions from control machines on one thread, over kept connections."""

from __future__ import annotations

import queue
import threading
import time
from collections import deque
from collections.abc import Callable, Sequence

from ...core.distribution.items import DigestError
from ...core.distribution.log import GapError
from ...core.distribution.messages import PartAnswer, ReadAnswer, Report
from ...core.distribution.placement import ControlMachine
from ...core.distribution.revision import Change, Delta, RevisionError, RevisionId, Snapshot
from ...core.distribution.subscriber import Action, Apply, FetchPart, Persist, SendRead, Subscriber
from ...net.http import Call
from ...net.threads import Failure, spawn
from ...obs.logs import Log
from .envelope import Envelope
from .exchange import Carried, Carrier, CarryError

LEAST_WAIT_SECONDS = 0.01
"""Between two looks at a subscriber that has nothing to do, so that no fault of it makes a busy loop."""
MOST_WAIT_SECONDS = 3600.0

OnApplied = Callable[[RevisionId, tuple[Change, ...], bool], None]
"""Told of each revision in force: itself, the changes, and whether these are the whole mapping."""
OnPersist = Callable[[Delta | Snapshot], None]
"""Makes a revision in force durable; returns when it is, or when it can't be. The next read, which
acknowledges the revision, goes out after that."""
_Command = Callable[[float], None]
"""Something to be done with the subscriber, on the client's thread, at a time."""


class SubscriberClient:
    """Runs a subscriber until told to stop. The callbacks are called on its thread, one at a time."""

    def __init__(
        self,
        subscriber: Subscriber,
        envelope: Envelope,
        *,
        on_applied: OnApplied,
        log: Log,
        on_failure: Failure,
        on_persist: OnPersist | None = None,
        report: Callable[[], Report] | None = None,
    ) -> None:
        """`report`: of a relay, what those below it act upon; asked before each read. `on_persist`: None:
        nothing is kept on disk."""
        self.subscriber = subscriber
        """Belongs to this client's thread; others may read single fields, which may be a moment old."""
        self._envelope, self._on_applied, self._on_persist = envelope, on_applied, on_persist
        self._report, self._log, self._on_failure = report, log, on_failure
        self._carriers: dict[str, Carrier] = {}
        """By address."""
        self._carrier: Carrier | None = None
        """Of the last exchange; the only one that keeps a connection."""
        self._commands: queue.SimpleQueue[_Command] = queue.SimpleQueue()
        self._wake = threading.Event()
        """Set with each command, and to stop."""
        self._stopping = threading.Event()
        self._ended = threading.Event()
        self._call = Call()
        self._moved = False
        """Other machines are to be read from, since the exchange began."""
        self._failing = False
        self.failed_exchanges = 0
        self.last_answer: float | None = None
        """Monotonic time of the last good answer."""

    @property
    def bytes_in(self) -> int:
        """Of all answers."""
        return sum(x.bytes_in for x in list(self._carriers.values()))

    @property
    def bytes_out(self) -> int:
        """Of all requests."""
        return sum(x.bytes_out for x in list(self._carriers.values()))

    def start(self) -> None:
        """Begin to read."""
        spawn("subscriber", self._run, self._on_failure)

    def set_machines(self, machines: Sequence[ControlMachine]) -> None:
        """Read from these from now on; a read that is out is given up."""
        self._hand_in(lambda now: self._move(now, machines))
        self._call.cancel()

    def took(self, content: Delta | Snapshot) -> None:
        """A revision came another way: what is read from now on comes after it."""
        self._hand_in(lambda now: self._take(content))

    def _hand_in(self, command: _Command) -> None:
        self._commands.put(command)
        self._wake.set()

    def stop(self) -> None:
        """End, also in the middle of a read; see `closed`."""
        self._stopping.set()
        self._wake.set()
        self._call.cancel()

    def closed(self, limit: float) -> bool:
        """Wait, at most `limit` seconds, until the thread has ended; no callback comes after."""
        return self._ended.wait(limit)

    # On the own thread

    def _run(self) -> None:
        try:
            while not self._stopping.is_set():
                self._step()
        finally:
            if self._carrier is not None:
                self._carrier.close_idle()
            self._ended.set()

    def _step(self) -> None:
        """Do what is due, or wait until something is."""
        self._wake.clear()
        self._do_commands()
        if self._report is not None:
            self.subscriber.report = self._report()
        actions = self.subscriber.tick(time.monotonic())
        if actions:
            self._carry(actions)
            return
        wait = self.subscriber.due() - time.monotonic()
        if not self._stopping.is_set():
            self._wake.wait(min(max(wait, LEAST_WAIT_SECONDS), MOST_WAIT_SECONDS))

    def _do_commands(self) -> None:
        while not self._commands.empty():
            self._commands.get()(time.monotonic())

    def _move(self, now: float, machines: Sequence[ControlMachine]) -> None:
        self._moved = True
        self.subscriber.set_machines(now, machines)

    def _take(self, content: Delta | Snapshot) -> None:
        try:
            self.subscriber.adopt(content)
        except (GapError, DigestError, RevisionError) as error:
            # It was read meanwhile, or will be: nothing is lost but the bytes of a second reading.
            self._log.debug("revision_not_taken", cause=str(error))

    def _carry(self, actions: list[Action]) -> None:
        """Carry out actions, and what comes of them, in order."""
        left = deque(actions)
        while left and not self._stopping.is_set():
            action = left.popleft()
            if isinstance(action, SendRead | FetchPart):
                left.extend(self._exchange(action))
            elif isinstance(action, Persist):
                if self._on_persist is not None:
                    self._on_persist(action.content)
            elif isinstance(action, Apply):
                self._on_applied(action.revision, action.changes, action.is_snapshot)

    def _exchange(self, action: SendRead | FetchPart) -> list[Action]:
        carrier = self._carrier_of(action.machine.address)
        self._call, self._moved = Call(), False
        self._do_commands()
        if self._moved or self._stopping.is_set():  # it came before this call could be cancelled
            return []
        try:
            carried = self._ask(carrier, action)
        except CarryError as error:
            return self._failed(action, str(error))
        finally:
            self._do_commands()
        self.last_answer = time.monotonic()
        if self._failing:
            self._failing = False
            self._log.info("relay_back", relay=action.machine.name)
        return self.subscriber.receive_answer(time.monotonic(), action.read_id, carried.message, carried.size)

    def _ask(
        self, carrier: Carrier, action: SendRead | FetchPart
    ) -> Carried[ReadAnswer] | Carried[PartAnswer]:
        if isinstance(action, SendRead):
            return carrier.exchange(action.request, ReadAnswer, action.timeout, self._call)
        return carrier.exchange(action.request, PartAnswer, action.timeout, self._call)

    def _failed(self, action: SendRead | FetchPart, reason: str) -> list[Action]:
        if self._call.cancelled:  # the subscriber has forgotten this exchange, or is stopped
            return []
        self.failed_exchanges += 1
        if not self._failing:
            self._failing = True
            self._log.warning("relay_lost", relay=action.machine.name, cause=reason)
        return self.subscriber.exchange_failed(time.monotonic(), action.read_id, reason)

    def _carrier_of(self, address: str) -> Carrier:
        """The carrier for an address; the connection to another one is closed."""
        carrier = self._carriers.get(address)
        if carrier is None:
            carrier = self._carriers[address] = Carrier(address, self._envelope)
        if self._carrier is not None and self._carrier is not carrier:
            self._carrier.close_idle()
        self._carrier = carrier
        return carrier

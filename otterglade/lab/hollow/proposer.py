"""Proposes the changes of a day to the control machines, and notes which revision has each."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Iterable

from ...core.distribution.messages import MessageError, ProposeAnswer, ProposeRequest
from ...core.distribution.revision import Change, RevisionId
from ...gateway.distribution.envelope import Envelope
from ...gateway.distribution.exchange import PROPOSE_PATH
from ...net.http import Client, ExchangeError
from ...net.threads import Failure, spawn
from ...net.workers import Workers
from .changes import TimedChange
from .control import ControlMachines
from .judge import SentChange

CONNECT_SECONDS = 2.0
ANSWER_SECONDS = 8.0
"""For one exchange; after it another control machine is asked."""
RETRY_SECONDS = 0.25
"""Between two tries of one proposal, on average."""
GIVE_UP_SECONDS = 60.0
"""After which a proposal counts as never accepted."""
MOST_AT_ONCE = 64
"""Proposals under way at once."""


class Proposer:
    """Sends proposals from threads of its own; asks the machine that last accepted one first."""

    def __init__(
        self, machines: ControlMachines, envelope: Envelope, seed: int, on_failure: Failure
    ) -> None:  # fmt: skip
        self._machines, self._names = machines, machines.voters
        self._clients = {
            name: Client(("127.0.0.1", machines.port_of(name)), CONNECT_SECONDS) for name in self._names
        }
        self._envelope, self._on_failure = envelope, on_failure
        self._random = random.Random(seed)
        self._workers = Workers("propose", MOST_AT_ONCE, on_failure)
        self._lock = threading.Lock()
        self._sent: dict[str, SentChange] = {}
        self._run = f"{self._random.getrandbits(48):012x}"
        self._direct = 0
        """Proposals made by `propose_now`."""
        self._finished = threading.Event()
        self.writer = self._names[0]
        """Whom to ask first: the latest known writer."""
        self.retries = 0
        """Tries beyond the first."""
        self.last_reason = ""
        """Why the latest try failed."""

    def start(self, changes: Iterable[TimedChange], began: float) -> None:
        """Propose each change at its time after the monotonic time `began`."""
        planned = list(changes)

        def send_all() -> None:
            for number, planned_change in enumerate(planned):
                time.sleep(max(0.0, began + planned_change.after - time.monotonic()))
                self._submit(f"{self._run}-{number}", planned_change.change)
            self._finished.set()

        spawn("proposer", send_all, self._on_failure)

    def propose_now(self, changes: tuple[Change, ...]) -> RevisionId | None:
        """Propose changes and wait for what becomes of them; not among those that are judged."""
        self._direct += 1
        return self._try_until_accepted(ProposeRequest(f"{self._run}-direct-{self._direct}", changes))

    def wait(self) -> list[SentChange]:
        """Wait until each proposal was accepted or given up; all of them in the order of their sending."""
        self._finished.wait()
        self._workers.wait_idle(GIVE_UP_SECONDS + ANSWER_SECONDS)
        with self._lock:
            return sorted(self._sent.values(), key=lambda x: x.sent_at)

    def _submit(self, proposal: str, change: Change) -> None:
        sent_at = time.monotonic()
        with self._lock:
            self._sent[proposal] = SentChange(proposal, sent_at, None)

        def propose() -> None:
            revision = self._try_until_accepted(ProposeRequest(proposal, (change,)))
            with self._lock:
                self._sent[proposal] = SentChange(proposal, sent_at, revision)

        self._workers.submit(propose)

    def _try_until_accepted(self, request: ProposeRequest) -> RevisionId | None:
        """The revision that has it; None: given up."""
        body = self._envelope.seal(request)
        give_up = time.monotonic() + GIVE_UP_SECONDS
        name = self.writer
        while time.monotonic() < give_up:
            answer = self._ask(name, body)
            if answer is not None and answer.accepted:
                self.writer = name  # nobody else accepts
                return answer.revision
            self.retries += 1
            known = self._machines.name_at(answer.writer) if answer and answer.writer else ""
            if known in self._clients and known != name:
                name = known
                continue
            name = self._random.choice(self._names)
            time.sleep(RETRY_SECONDS * (0.5 + self._random.random()))
        return None

    def _ask(self, name: str, body: bytes) -> ProposeAnswer | None:
        """What a control machine answers; None: nothing that can be read."""
        deadline = time.monotonic() + ANSWER_SECONDS
        try:
            answer = self._clients[name].exchange(b"POST", PROPOSE_PATH, deadline=deadline, body=body)
            if answer.status != 200:
                self.last_reason = f"{name}: status {answer.status}"
                return None
            found = self._envelope.open(answer.body, ProposeAnswer)
        except (ExchangeError, MessageError) as error:
            self.last_reason = f"{name}: {error}"
            return None
        if not found.accepted:
            self.last_reason = f"{name}: {found.reason}"
        return found

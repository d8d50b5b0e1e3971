"""Bookkeeping of requests around one `Controller`, without I/O: events in, orders out.

Ids on the wire may repeat or be hostile, so each request and host gets a new number here. A request has at
most one attempt in flight; its attempts are numbered from 0, each ends once, and the request gets one final
answer. Only the caller that carries an attempt out can say whether it ran: a time-out just orders
`CancelAttempt`, and the attempt stays in flight, so that the controller cannot start another, until
`attempt_ended` is called for it.

States of a request: WAITING (no attempt in flight) -> IN_FLIGHT -> WAITING ... -> PLAYING -> ended. It is
answered once, by `ConfirmSession`, `Refuse` or `Fail`; after that, or once its viewer has left, no attempt is
started.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum, auto

from . import interface as api
from .margin import AnswerMargin
from .policy import Controller

ANSWER_MARGIN_SECONDS = 0.02
"""Time before a viewer gives up by which the answer is due: for its way back and one run of the loop."""
END_TIMEOUT_SECONDS = 1.0
"""How long a host may take to report the end of a session that it was told to end."""

UNKNOWN_RUNG = -1
"""Rung of a session that was handed over, until its host reports it."""


class SetupState(Enum):
    """State of a request."""

    WAITING = auto()
    """No attempt is in flight."""
    IN_FLIGHT = auto()
    """An attempt was sent and has not ended."""
    PLAYING = auto()
    """The session is set up at its host."""


# Orders


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Set a session up at a host, which may take `time_out` seconds."""

    number: int
    attempt: int
    host: int
    rung: int
    time_out: float


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt and report its end. `late`: it timed out; otherwise its viewer has left."""

    number: int
    attempt: int
    host: int
    late: bool


@dataclass(frozen=True, slots=True)
class ConfirmSession:
    """Final answer: the session is set up."""

    number: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused. The viewer should retry after `come_back` seconds; 0 means no advice."""

    number: int
    come_back: float


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, without stating whether a set-up ran."""

    number: int


@dataclass(frozen=True, slots=True)
class SetRung:
    """Set the rung of a session that is set up or plays."""

    number: int
    host: int
    rung: int


@dataclass(frozen=True, slots=True)
class EndSession:
    """End a session at its host, as its viewer has left."""

    number: int
    host: int


@dataclass(frozen=True, slots=True)
class ReleaseViewer:
    """Tell the viewer that its session has ended at the host."""

    number: int
    outcome: api.Outcome


@dataclass(frozen=True, slots=True)
class MoveViewer:
    """End a session at its host and tell its viewer to request it again."""

    number: int
    host: int


@dataclass(frozen=True, slots=True)
class ForgetRequest:
    """A request is finished and forgotten. `host` got its last attempt; -1 if none was sent.

    `may_have_run`: whether some attempt may have set a session up.
    """

    number: int
    host: int
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class ProbeHost:
    """Probe a host, which answers with its load."""

    host: int


@dataclass(frozen=True, slots=True)
class RequestHostList:
    """Query the name service for the host list now."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a line to the log."""

    text: str


Order = (
    SendAttempt
    | CancelAttempt
    | ConfirmSession
    | Refuse
    | Fail
    | SetRung
    | EndSession
    | ReleaseViewer
    | MoveViewer
    | ForgetRequest
    | ProbeHost
    | RequestHostList
    | LogLine
)


@dataclass(slots=True, eq=False)
class Setup:
    """State of one request from its arrival until it is forgotten."""

    answer_due_at: float
    """When the viewer gives up, less the margin for sending the answer."""
    state: SetupState = SetupState.WAITING
    attempts: int = 0
    """Attempts sent so far; the last one is numbered one less."""
    host: int = -1
    """Host of the last attempt; -1 if none was sent."""
    rung: int = 0
    sent_at: float = 0.0
    answered: bool = False
    viewer_left: bool = False
    moved: bool = False
    """Whether the viewer was told to request the session again elsewhere."""
    may_have_run: bool = False
    """Whether some attempt that has ended may have set a session up."""


class SetupManager:
    """All requests of a gateway with their `Controller`.

    Methods that handle an event take the time in seconds and return the orders to carry out, in order.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.controller = Controller(settings, seed)
        self.margin = AnswerMargin()
        self.setups_by_number: dict[int, Setup] = {}
        self.host_numbers: dict[str, int] = {}
        self._next_host_number = 0
        self._answers_due_by = math.inf
        """When every answer is due at the latest, whatever the viewer's patience; set by a shutdown."""
        self._entries: dict[int, api.ServerEntry] = {}
        self._last_number = 0
        self._timers: list[tuple[float, int, int, int]] = []
        self._timers_set = 0
        self._events: deque[api.Event] = deque()
        self._orders: list[Order] = []

    # Hosts

    def host_number(self, name: str) -> int:
        """The number of a host, assigned on first use; it stays the same while the host is remembered."""
        number = self.host_numbers.get(name)
        if number is None:
            number = self.host_numbers[name] = self._next_host_number
            self._next_host_number += 1
        return number

    def apply_host_list(self, now: float, entries: Iterable[api.ServerEntry]) -> list[Order]:
        """Apply a complete list: hosts that it omits are gone. The controller gets the changes only."""
        current = {x.server: x for x in entries}
        changed = [x for x in current.values() if self._entries.get(x.server) != x]
        changed += [
            replace(x, state=api.State.GONE)
            for x in self._entries.values()
            if x.server not in current and x.state is not api.State.GONE
        ]
        first = not self._entries
        self._entries = current
        if first:
            return self._handle_event(
                now, api.ServerList(tuple(current.values()), complete=True, cached=True)
            )
        if not changed:
            return []
        orders = self._handle_event(now, api.ServerList(tuple(changed), complete=False))
        known = self.controller.fleet.servers
        self.host_numbers = {name: n for name, n in self.host_numbers.items() if n in known or n in current}
        return orders

    # Shutdown

    def begin_shutdown(self, now: float, answers_due_by: float) -> list[Order]:
        """Answer every request, those that are open included, by `answers_due_by` (seconds of the clock)."""
        self._answers_due_by = answers_due_by
        self.controller.limit_answers(answers_due_by)
        for number, setup in self.setups_by_number.items():
            if not setup.answered and setup.answer_due_at > answers_due_by:
                setup.answer_due_at = answers_due_by
                self._set_timer(answers_due_by, number, -1)
        return self._take_orders()

    # Requests

    def start(self, now: float) -> list[Order]:
        """Start the controller; call once, before any event."""
        self._apply_actions(now, self.controller.start(now))
        return self._take_orders()

    def add_request(self, now: float, terms: api.SessionRequest) -> tuple[int, list[Order]]:
        """Handle a new request. Returns the number that replaces `terms.session`, and orders."""
        self._last_number += 1
        number, patience = self._last_number, terms.patience
        reserved = self.margin.reserved_seconds(now, ANSWER_MARGIN_SECONDS, patience)
        patience = max(0.0, patience - reserved)
        setup = Setup(min(now + patience, self._answers_due_by))
        self.setups_by_number[number] = setup
        self._set_timer(setup.answer_due_at, number, -1)
        request = replace(terms, session=number, patience=patience)
        return number, self._handle_event(now, request)

    def add_handed_over(self, now: float, terms: api.SessionRequest, host: int) -> tuple[int, list[Order]]:
        """Take over a session that already plays at a host, as attempt 0. Returns its number and orders."""
        self._last_number += 1
        number = self._last_number
        self.setups_by_number[number] = Setup(
            now, SetupState.PLAYING, 1, host, UNKNOWN_RUNG, now, answered=True
        )
        return number, self._handle_event(now, api.SessionHandedOver(replace(terms, session=number), host))

    def viewer_left(self, now: float, number: int) -> list[Order]:
        """Handle that the viewer gave up waiting or left its playing session."""
        setup = self.setups_by_number.get(number)
        if setup is None or setup.viewer_left:
            return []
        setup.viewer_left = True
        if setup.state is SetupState.IN_FLIGHT:
            self._cancel_attempt(number, setup, late=False)
        elif setup.state is SetupState.PLAYING:
            self._end_session(now, number, setup, EndSession(number, setup.host))
        else:
            self._forget(number)
        return self._handle_event(now, api.SessionGone(number))

    # Attempts

    def attempt_playing(self, now: float, number: int, attempt: int) -> list[Order]:
        """Handle a host's answer that the session is set up; it is ended there if its viewer has left."""
        setup = self.setups_by_number.get(number)
        if setup is None or setup.state is not SetupState.IN_FLIGHT or attempt != setup.attempts - 1:
            return []
        setup.state = SetupState.PLAYING
        if setup.viewer_left:
            self._end_session(now, number, setup, EndSession(number, setup.host))
            return self._take_orders()
        setup.answered = True
        self._orders.append(ConfirmSession(number))
        return self._handle_event(now, api.SessionPlays(number, setup.host, attempt, now - setup.sent_at))

    def attempt_ended(
        self, now: float, number: int, attempt: int, outcome: api.Outcome, load: api.Load | None = None
    ) -> list[Order]:
        """Handle the end of the attempt in flight or of the session that it set up."""
        setup = self.setups_by_number.get(number)
        if setup is None or setup.state is SetupState.WAITING or attempt != setup.attempts - 1:
            return []
        self._end_attempt(now, number, setup, outcome, load)
        self._handle_queued_events(now)
        return self._take_orders()

    def _end_attempt(
        self, now: float, number: int, setup: Setup, outcome: api.Outcome, load: api.Load | None = None
    ) -> None:
        was_playing, setup.state = setup.state is SetupState.PLAYING, SetupState.WAITING
        final = setup.answered or setup.viewer_left
        setup.may_have_run |= was_playing or outcome not in api.NEVER_RAN
        took, attempt = now - setup.sent_at, setup.attempts - 1
        self._events.append(api.AttemptEnded(number, setup.host, attempt, outcome, took, final, load))
        if final:
            if was_playing and not setup.viewer_left and not setup.moved:
                self._orders.append(ReleaseViewer(number, outcome))
            self._forget(number)

    def _cancel_attempt(self, number: int, setup: Setup, late: bool) -> None:
        self._orders.append(CancelAttempt(number, setup.attempts - 1, setup.host, late))

    def _end_session(self, now: float, number: int, setup: Setup, order: EndSession | MoveViewer) -> None:
        """End a session at its host, and wait for the host to confirm, but only for a limited time."""
        self._orders.append(order)
        self._set_timer(now + END_TIMEOUT_SECONDS, number, setup.attempts - 1)

    # Reports of hosts

    def handle_note(self, now: float, event: api.DeliveryNote | api.LoadNote) -> list[Order]:
        """Pass a host's delivery or load note to the controller."""
        return self._handle_event(now, event)

    def rung_reported(self, now: float, number: int, rung: int) -> list[Order]:
        """Handle a host's report of the rung that a session plays at; rungs off the ladder are ignored."""
        setup = self.setups_by_number.get(number)
        if (
            setup is None
            or setup.state is not SetupState.PLAYING
            or not 0 <= rung < len(self.settings.ladder)
        ):
            return []
        setup.rung = rung
        return self._handle_event(now, api.RungNote(number, rung))

    def probe_answered(
        self, now: float, host: int, outcome: api.Outcome, took: float, load: api.Load | None
    ) -> list[Order]:
        """Pass the result of a probe to the controller; `took` in seconds."""
        return self._handle_event(now, api.ProbeAnswered(host, outcome, took, load))

    # Timers

    def next_due_at(self) -> float | None:
        """When `fire_timers` must be called next; None if no timer is set."""
        return self._timers[0][0] if self._timers else None

    def fire_timers(self, now: float) -> list[Order]:
        """Handle all timers that are due."""
        while self._timers and self._timers[0][0] <= now:
            _, _, number, what = heapq.heappop(self._timers)
            if number < 0:
                self._apply_actions(now, self.controller.handle(now, api.TimerFired(what)))
            elif what < 0:
                self._handle_answer_due(now, number)
            else:
                self._handle_attempt_timeout(now, number, what)
            self._handle_queued_events(now)
        return self._take_orders()

    def _set_timer(self, due_at: float, number: int, what: int) -> None:
        """Set a timer for the controller (number -1, token `what`), an answer (`what` -1) or an attempt."""
        self._timers_set += 1
        heapq.heappush(self._timers, (due_at, self._timers_set, number, what))

    def _handle_answer_due(self, now: float, number: int) -> None:
        setup = self.setups_by_number.get(number)
        if setup is None or setup.answered or setup.viewer_left:
            return
        if setup.state is SetupState.IN_FLIGHT:
            self._cancel_attempt(number, setup, late=True)
            return
        # The controller lets a request wait for part of its goal only; this covers a lost timer of its own,
        # and a wait that a shutdown cuts short.
        self._orders.append(LogLine(f"request {number}: no answer was chosen in time"))
        never_ran = setup.attempts == 0
        self._answer(number, Refuse(number, self.settings.note_delay) if never_ran else Fail(number))
        self._events.append(api.SessionGone(number))

    def _handle_attempt_timeout(self, now: float, number: int, attempt: int) -> None:
        setup = self.setups_by_number.get(number)
        if setup is None or attempt != setup.attempts - 1:
            return
        if setup.state is SetupState.IN_FLIGHT:
            self._cancel_attempt(number, setup, late=True)
        elif setup.state is SetupState.PLAYING and (setup.viewer_left or setup.moved):
            # The order to end the session was sent: it counts as over whether or not the host confirms.
            self._end_attempt(now, number, setup, api.Outcome.CANCELLED)

    # Actions of the controller

    def _handle_event(self, now: float, event: api.Event) -> list[Order]:
        self._events.append(event)
        self._handle_queued_events(now)
        return self._take_orders()

    def _handle_queued_events(self, now: float) -> None:
        while self._events:
            self._apply_actions(now, self.controller.handle(now, self._events.popleft()))

    def _take_orders(self) -> list[Order]:
        orders, self._orders = self._orders, []
        return orders

    def _apply_actions(self, now: float, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.StartAttempt(number, server, time_out):
                    self._send_attempt(now, number, server, time_out)
                case api.ChooseRung(number, rung):
                    setup = self.setups_by_number.get(number)
                    if setup is not None and setup.rung != rung:
                        setup.rung = rung
                        if setup.state is not SetupState.WAITING:
                            self._orders.append(SetRung(number, setup.host, rung))
                case api.Refuse(number, come_back):
                    self._answer(number, Refuse(number, come_back))
                case api.Fail(number):
                    self._answer(number, Fail(number))
                case api.MoveSession(number):
                    self._move_viewer(now, number)
                case api.Probe(server):
                    self._orders.append(ProbeHost(server))
                case api.SetTimer(token, at):
                    self._set_timer(at, -1, token)
                case api.AskForList():
                    self._orders.append(RequestHostList())
                case api.Log(text):
                    self._orders.append(LogLine(text))

    def _send_attempt(self, now: float, number: int, server: int, time_out: float) -> None:
        setup = self.setups_by_number.get(number)
        if setup is None or setup.answered or setup.viewer_left or setup.state is not SetupState.WAITING:
            self._orders.append(LogLine(f"request {number}: dropped an attempt that is not allowed now"))
            return
        left = setup.answer_due_at - now
        if setup.attempts >= self.settings.max_attempts or left <= 0:
            self._events.append(
                api.AttemptEnded(number, server, setup.attempts, api.Outcome.SKIPPED, 0.0, False, None)
            )
            return
        allowed_seconds = min(time_out, left) if time_out > 0 else left
        setup.state, setup.host, setup.sent_at = SetupState.IN_FLIGHT, server, now
        self._orders.append(SendAttempt(number, setup.attempts, server, setup.rung, allowed_seconds))
        if allowed_seconds < left:
            self._set_timer(now + allowed_seconds, number, setup.attempts)
        setup.attempts += 1

    def _answer(self, number: int, order: Refuse | Fail) -> None:
        setup = self.setups_by_number.get(number)
        if setup is None or setup.answered or setup.viewer_left:
            return
        setup.answered = True
        self._orders.append(order)
        if setup.state is SetupState.IN_FLIGHT:
            self._cancel_attempt(number, setup, late=False)
        else:
            self._forget(number)

    def _move_viewer(self, now: float, number: int) -> None:
        setup = self.setups_by_number.get(number)
        if setup is None or setup.state is not SetupState.PLAYING or setup.viewer_left or setup.moved:
            return
        setup.moved = True
        self._end_session(now, number, setup, MoveViewer(number, setup.host))

    def _forget(self, number: int) -> None:
        setup = self.setups_by_number.pop(number)
        self._orders.append(ForgetRequest(number, setup.host, setup.may_have_run))

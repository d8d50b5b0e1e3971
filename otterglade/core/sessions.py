"""State machine of sessions, between the placement module's decisions and the attempts at hosts.

The placement module chooses host and rung, and decides on retries and refusals. The state machine feeds it
with events, turns its actions into orders, and guarantees what the module relies on: at most one open attempt
per session, one answer per waiting viewer, and a record of set-ups that may have run without the viewer's
knowledge.

Phases of a session, with the method that makes each transition:

    PLACING -> PLAYING   an attempt succeeded in time (`_session_playing`)
    PLACING -> ENDED     refused or failed by the module, timed out, or its viewers left with no open attempt
    PLAYING -> ENDED     the viewer stopped fetching, the host reported the end (`_finish_session`), the host
                         was lost (`_lose_host`), or the session moved to another host (`_release_moved`)
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Mapping
from typing import Protocol

from . import interface as api
from .attempts import AttemptState, state_after_outcome
from .budget import RetryBudget
from .managed_session import ManagedSession, Phase
from .margin import AnswerMargin
from .messages import (
    AttemptStateChanged,
    ChangeRung,
    CommitAttempt,
    Failed,
    Key,
    LogLine,
    Order,
    Playing,
    Publish,
    Refused,
    Release,
    Reply,
    RequestLoad,
    RetrySpent,
    SessionLimits,
    SetUp,
    Timer,
    TimerKind,
    TitleLocation,
    Verdict,
    ViewerRequest,
    Withdraw,
)  # fmt: skip


class PlacementModule(Protocol):
    """Interface of the module that places sessions."""

    def start(self, now: float) -> list[api.Action]:
        """Return the first actions; called once, before any event."""
        ...

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Return the actions that an event leads to, in order."""
        ...


class SessionRouter(Protocol):
    """Applies the routing rules in force: which zones' hosts a session may use (`fleet/routes.py`)."""

    def zones(
        self, now: float, session: int, key: Key, top: int, location: TitleLocation, moved: bool,
        entries: Mapping[int, api.ServerEntry],
    ) -> tuple[int, ...]:  # fmt: skip
        """Return the zones whose hosts a new session may use; `moved` if it replaces one that is moving."""
        ...

    def adopted(self, session: int, key: Key, top: int, zone: int) -> None:
        """Count a session that is already playing in a zone."""
        ...

    def refused(self, session: int, until: float) -> None:
        """Note that the hosts of the session's zones lacked capacity; it may return at time `until`."""
        ...

    def session_ended(self, session: int) -> None:
        """Stop counting a session."""
        ...


Recorder = Callable[[float, api.Event | None, list[api.Action]], None]
"""Called with the time, an event and the actions that it led to; the event is None at the start."""


class SessionStateMachine:
    """Holds the sessions of a gateway and the events pending for the placement module.

    Orders gather between `_begin_event` and `_take_orders`.
    """

    def __init__(
        self, settings: api.Settings, controller: PlacementModule, terms: SessionLimits,
        catalogue: Mapping[str, TitleLocation], record: Recorder | None = None, first_session: int = 1,
    ) -> None:  # fmt: skip
        self.settings, self.controller, self.terms, self.catalogue = settings, controller, terms, catalogue
        self._record = record
        self._next_number = first_session
        self.now = 0.0
        self.sessions: dict[int, ManagedSession] = {}
        self.sessions_by_key: dict[Key, ManagedSession] = {}
        self.sessions_by_waiter: dict[int, ManagedSession] = {}
        self.playing_by_server: dict[int, dict[int, ManagedSession]] = {}
        """Playing sessions by server number, then by session number."""
        self.entries: dict[int, api.ServerEntry] = {}
        self.unsure: OrderedDict[Key, float] = OrderedDict()
        """Paid sessions with a set-up that may have run without the viewer's knowledge, and when that
        expires."""
        self.budget = RetryBudget(settings)
        self.margin = AnswerMargin()
        self.router: SessionRouter | None = None
        """None if there are no routing rules: sessions may use all hosts."""
        self._orders: list[Order] = []
        self._pending_events: deque[api.Event] = deque()

    @property
    def next_session(self) -> int:
        """Number of the next session."""
        return self._next_number

    # Placement module

    def _begin_event(self, now: float) -> None:
        self.now, self._orders = now, []

    def _take_orders(self) -> list[Order]:
        orders, self._orders = self._orders, []
        return orders

    def _notify_module(self, event: api.Event) -> None:
        """Pass an event to the module and apply its actions; events caused by these follow in order."""
        self._pending_events.append(event)
        if len(self._pending_events) > 1:
            return  # handled by the loop below, in a caller further up the stack
        while self._pending_events:
            event = self._pending_events[0]
            if self.router is not None and isinstance(event, api.SessionHandedOver):
                self._record_adoption(self.router, event)
            actions = self.controller.handle(self.now, event)
            if self._record is not None:
                self._record(self.now, event, actions)
            for action in actions:
                self._apply_action(action)
            self._pending_events.popleft()

    def _apply_action(self, action: api.Action) -> None:
        match action:
            case api.StartAttempt(session, server, time_out):
                self._start_attempt(session, server, time_out)
            case api.ChooseRung(session, rung):
                self._choose_rung(session, rung)
            case api.Refuse(session, retry_after):
                managed = self.sessions.get(session)
                if managed is not None:
                    if self.router is not None and not self._others_fill_seats(managed):
                        self.router.refused(session, self.now + retry_after)
                    self._reject_session(managed, Refused(retry_after, "no room"))
            case api.Fail(session):
                managed = self.sessions.get(session)
                if managed is not None:
                    self._reject_session(managed, Failed("a set-up may have run without an answer"))
            case api.SetTimer(token, due_at):
                self._orders.append(Timer(due_at, TimerKind.MODULE, token))
            case api.Probe(server):
                self._orders.append(RequestLoad(server))
            case api.MoveSession(session):
                managed = self.sessions.get(session)
                if managed is not None:
                    self._allow_move(managed)
            case api.Log(text):
                self._log("info", "module", text=text)
            case api.AskForList():
                pass  # the registry client follows the list anyway

    def _start_attempt(self, session: int, server: int, time_out: float) -> None:
        managed = self.sessions.get(session)
        if managed is None or managed.phase is not Phase.PLACING or managed.attempt_out is not None:
            self._log("error", "attempt_skipped", session=session, server=server)
            self._pending_events.append(
                api.AttemptEnded(session, server, 0, api.Outcome.SKIPPED, 0.0, managed is None, None)
            )
            return
        if managed.attempts and not self._allow_retry():
            self._log("info", "attempt_over_budget", session=session, server=server)
            self._pending_events.append(
                api.AttemptEnded(session, server, 0, api.Outcome.SKIPPED, 0.0, False, None)
            )
            return
        attempt = managed.attempts
        managed.attempts += 1
        managed.attempt_out, managed.server, managed.sent_at, managed.rung_sent = (
            attempt,
            server,
            self.now,
            managed.rung,
        )
        attempt_deadline = managed.attempt_deadline = (
            min(managed.deadline, self.now + time_out) if time_out > 0 else managed.deadline
        )
        managed.sent = not (managed.paid and self.terms.durable)
        setup = self._setup_of(managed)
        self._orders.append(setup if managed.sent else CommitAttempt(setup, managed.top))
        if attempt_deadline < managed.deadline:
            self._orders.append(Timer(attempt_deadline, TimerKind.ATTEMPT, session, attempt))
        self._log(
            "debug", "attempt", session=session, attempt=attempt, server=server, rung=managed.rung,
            class_=managed.key[1], title=managed.key[2], time_out=round(attempt_deadline - self.now, 4),
        )  # fmt: skip

    @staticmethod
    def _setup_of(session: ManagedSession) -> SetUp:
        assert session.attempt_out is not None, "a set-up is built for an open attempt"
        return SetUp(
            session.number, session.attempt_out, session.server, session.key, session.rung_sent,
            session.paid, session.attempt_deadline,
        )  # fmt: skip

    def _allow_retry(self) -> bool:
        """Whether the retry budget allows an attempt; if so it is recorded first, so that a restart counts
        it."""
        allowed = self.budget.try_spend(self.now)
        if allowed and self.budget.window > 0:
            self._orders.append(RetrySpent(self.budget.retry_count))
        return allowed

    def _patience(self, class_no: int) -> float:
        """Seconds for which a viewer of a class who asks now can wait for an answer."""
        patience = self.terms.patience[class_no]
        return patience - self.margin.reserved_seconds(self.now, self.terms.answer_margin, patience)

    def _choose_rung(self, session: int, rung: int) -> None:
        managed = self.sessions.get(session)
        if managed is None:
            return
        managed.rung = rung
        if managed.phase is Phase.PLAYING:
            self._send_rung(managed)
            self._orders.append(Publish(managed.view()))

    def _send_rung(self, session: ManagedSession) -> None:
        session.rung_sequence += 1
        session.rung_sent = session.rung
        self._orders.append(
            ChangeRung(
                session.number, session.attempts - 1, session.server, session.rung, session.rung_sequence
            )
        )
        self._log("debug", "rung", session=session.number, server=session.server, rung=session.rung)

    # Sessions

    def _add_session(self, request: ViewerRequest, patience: float, replaces: ManagedSession | None) -> None:
        location, class_no = self.catalogue.get(request.key[2]), request.key[1]
        if location is None:
            self._reply(request.waiter, Failed("unknown title"))
            return
        paid = self.settings.classes[class_no].effect is not api.Effect.SAFE
        session = ManagedSession(
            self._next_number, request.key, paid, self.now + patience, request.top, replaces=replaces
        )
        self._next_number += 1
        self.sessions[session.number] = session
        if replaces is None:
            self.sessions_by_key[session.key] = session
            self.budget.add_session(self.now)
        else:
            replaces.replacement = session
        self._attach(session, request.waiter)
        self._orders.append(Timer(session.deadline, TimerKind.DEADLINE, session.number))
        moved = replaces is not None
        zones: tuple[int, ...] = ()
        if self.router is not None:
            zones = self.router.zones(
                self.now, session.number, request.key, request.top, location, moved, self.entries
            )
        self._notify_module(
            api.SessionRequest(
                session.number, class_no, 0, request.key[2], patience, request.hint, location.home,
                location.holders, request.top, moved=moved, zones=zones,
            )
        )  # fmt: skip

    def _others_fill_seats(self, session: ManagedSession) -> bool:
        """Whether other sessions have all seats of the title; such a refusal does not mean a lack of
        capacity."""
        seats = self.settings.classes[session.key[1]].seats
        others = (x for x in self.sessions.values() if x is not session) if seats else ()
        return bool(seats) and sum(x.key[1:] == session.key[1:] for x in others) >= seats

    def _record_adoption(self, router: SessionRouter, event: api.SessionHandedOver) -> None:
        """Count an adopted session in the zone where it is playing, whatever the rules say now."""
        session, entry = self.sessions.get(event.request.session), self.entries.get(event.server)
        if session is not None and entry is not None:
            router.adopted(session.number, session.key, session.top, entry.zone)

    def _attach(self, session: ManagedSession, waiter: int) -> None:
        session.waiters.append(waiter)
        self.sessions_by_waiter[waiter] = session

    def _reply(self, waiter: int, verdict: Verdict) -> None:
        self._orders.append(Reply(waiter, verdict))

    def _reply_playing(self, session: ManagedSession, waiter: int) -> None:
        """Answer that the session is playing; before the first such answer, its attempt is recorded as
        RAN."""
        if not session.viewer_informed:
            session.viewer_informed = True
            if session.committed is not None:
                self._orders.append(AttemptStateChanged(session.number, session.committed, AttemptState.RAN))
        self._reply(waiter, Playing(session.view()))

    def _reply_to_all(self, session: ManagedSession, verdict: Verdict) -> None:
        for waiter in session.waiters:
            del self.sessions_by_waiter[waiter]
            self._reply(waiter, verdict)
        session.waiters = []

    def _finish_attempt(self, session: ManagedSession, outcome: api.Outcome, load: api.Load | None) -> None:
        attempt, duration = session.attempt_out, self.now - session.sent_at
        assert attempt is not None, "an attempt that ended was open"
        session.attempt_out = None
        if session.committed == attempt and outcome is not api.Outcome.DONE:
            self._orders.append(AttemptStateChanged(session.number, attempt, state_after_outcome(outcome)))
        if outcome is api.Outcome.DONE:
            self._session_playing(session, attempt, duration, load)
            return
        if outcome not in api.NEVER_RAN:
            session.may_have_run = True
            self._orders.append(Release(session.number, attempt, session.server))
        self._log(
            "info", "attempt_ended", session=session.number, attempt=attempt, server=session.server,
            outcome=outcome.value, took=round(duration, 4),
        )  # fmt: skip
        if not session.waiters:
            self._end_session(session)
            self._notify_module(api.SessionGone(session.number))
        self._notify_module(
            api.AttemptEnded(session.number, session.server, attempt, outcome, duration, False, load)
        )

    def _session_playing(
        self, session: ManagedSession, attempt: int, setup_seconds: float, load: api.Load | None
    ) -> None:
        session.phase = Phase.PLAYING
        self.playing_by_server.setdefault(session.server, {})[session.number] = session
        self._notify_module(api.SessionPlays(session.number, session.server, attempt, setup_seconds))
        if load is not None and not self.settings.reports_by_probe:
            self._notify_module(api.LoadNote(session.server, load))
        if session.phase is not Phase.PLAYING:
            return  # an action of the module has ended it
        if session.rung != session.rung_sent:
            self._send_rung(session)
        self._log(
            "debug", "plays", session=session.number, attempt=attempt, server=session.server,
            took=round(setup_seconds, 4),
        )  # fmt: skip
        replaced = session.replaces
        if replaced is not None:
            session.replaces, replaced.replacement = None, None
            if replaced.phase is Phase.PLAYING:
                self._release_moved(replaced)
            self.sessions_by_key[session.key] = session
        entry = self.entries.get(session.server)
        if entry is not None and entry.state is api.State.DRAINING and not session.paid:
            session.moving = True  # the host began to drain during the set-up
        self._orders.append(Publish(session.view()))
        for waiter in session.waiters:
            del self.sessions_by_waiter[waiter]
            self._reply_playing(session, waiter)
        session.waiters = []

    def _release_moved(self, replaced: ManagedSession) -> None:
        """Release a session whose replacement is playing at another host."""
        self._orders.append(Release(replaced.number, replaced.attempts - 1, replaced.server))
        self._remove_session(replaced)
        self._notify_module(api.SessionGone(replaced.number))
        self._notify_module(self._final_attempt_event(replaced, api.Outcome.DONE))
        self._log("info", "moved", session=replaced.number, server=replaced.server)

    def _final_attempt_event(self, session: ManagedSession, outcome: api.Outcome) -> api.AttemptEnded:
        return api.AttemptEnded(
            session.number, session.server, session.attempts - 1, outcome, 0.0, True, None
        )

    def _allow_move(self, session: ManagedSession) -> None:
        """Allow a free session of a draining host to move at its next segment."""
        entry = self.entries.get(session.server)
        drains = entry is not None and entry.state is api.State.DRAINING
        if session.phase is Phase.PLAYING and drains and not session.paid and not session.moving:
            session.moving = True
            self._orders.append(Publish(session.view()))

    def _reject_session(self, session: ManagedSession, verdict: Refused | Failed) -> None:
        """End a session that was not set up and answer its viewers.

        If it was a move, they are answered that the old session continues.
        """
        replaced = session.replaces
        if replaced is not None and replaced.phase is Phase.PLAYING:
            replaced.replacement, replaced.moving = None, False
            self._orders.append(Publish(replaced.view()))
            retry_delay = (
                verdict.retry_after if isinstance(verdict, Refused) else self.settings.max_retry_after
            )
            self._orders.append(Timer(self.now + max(retry_delay, 0.1), TimerKind.MOVE, replaced.number))
            self._reply_to_all(session, Playing(replaced.view()))
        else:
            self._reply_to_all(session, verdict)
        self._log(
            "info", "refused" if isinstance(verdict, Refused) else "failed", session=session.number,
            class_=session.key[1], title=session.key[2], cause=verdict.cause, attempts=session.attempts,
        )  # fmt: skip
        self._end_session(session)

    def _finish_session(
        self, session: ManagedSession, outcome: api.Outcome, cause: str, taken_over: bool = False
    ) -> None:
        """End a playing session, and notify the module."""
        self._log("info", "session_over", session=session.number, server=session.server, cause=cause)
        self._end_session(session, taken_over)
        self._notify_module(self._final_attempt_event(session, outcome))

    def _lose_host(self, server: int, cause: str) -> None:
        lost = list(self.playing_by_server.get(server, {}).values())
        if lost:
            self._log("warning", "host_lost", server=server, sessions=len(lost), cause=cause)
        for session in lost:
            # It may still be playing, if the host was only silent or restarted before this set-up.
            self._orders.append(Release(session.number, session.attempts - 1, session.server))
            self._finish_session(session, api.Outcome.RESET, cause)

    def _end_session(self, session: ManagedSession, taken_over: bool = False) -> None:
        """Remove a session; a paid set-up that may have run without the viewer's knowledge is remembered."""
        was_playing = session.phase is Phase.PLAYING
        viewer_uninformed = was_playing and not session.viewer_informed and not taken_over
        if session.paid and (viewer_uninformed or (session.may_have_run and not was_playing)):
            self._mark_unsure(session.key)
        self._remove_session(session)
        replacement = session.replacement
        if replacement is not None:  # the move continues as an ordinary set-up
            session.replacement, replacement.replaces = None, None
            self.sessions_by_key[session.key] = replacement
        elif was_playing:
            self._orders.append(Withdraw(session.key, session.number, not session.paid))
        if was_playing and session.committed is not None:
            state = (
                AttemptState.TAKEN_OVER
                if taken_over
                else AttemptState.UNSURE
                if viewer_uninformed
                else AttemptState.ENDED
            )
            self._orders.append(AttemptStateChanged(session.number, session.committed, state))

    def _mark_unsure(self, key: Key) -> None:
        """Remember that a set-up may have run without the viewer's knowledge, to avoid charging twice."""
        self.unsure[key] = self.now + self.terms.unsure_for
        self.unsure.move_to_end(key)

    def _remove_session(self, session: ManagedSession) -> None:
        session.phase = Phase.ENDED
        del self.sessions[session.number]
        if self.router is not None:
            self.router.session_ended(session.number)
        if session.replaces is not None:
            session.replaces.replacement = None
        if self.sessions_by_key.get(session.key) is session:
            del self.sessions_by_key[session.key]
        self.playing_by_server.get(session.server, {}).pop(session.number, None)

    def _prune_unsure(self, now: float) -> None:
        """Drop unsure sessions that have expired, and the oldest ones beyond `max_unsure`."""
        while self.unsure:
            key, unsure_until = next(iter(self.unsure.items()))
            if unsure_until > now and len(self.unsure) <= self.terms.max_unsure:
                return
            del self.unsure[key]

    def _log(self, level: str, event: str, **fields: object) -> None:
        self._orders.append(LogLine(level, event, tuple(fields.items())))

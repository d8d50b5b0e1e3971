"""Entry points for all input of a gateway: viewers, hosts, the disk and the clock.

On top of the state machine in `sessions.py`, the session manager matches requests to sessions, ends attempts
at their time-outs, handles late answers, and decides what the end of a session means for the viewer's next
request. It reads no clock and does no I/O: each call takes the current time and returns the orders that the
gateway has to carry out, in sequence.

A claim announces a paid set-up to the other gateways, which prevents a double charge (`claims.py`). The hosts
that record claims are its registrars, the gateways that do are its witnesses (`fleet/witness.py`).
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from . import interface as api
from .attempts import AttemptRecord, AttemptState, Resolution
from .fleet.lanes import LoadShedder
from .fleet.recovery import FleetRecovery
from .managed_session import ManagedSession, Phase
from .messages import (
    AttemptStateChanged,
    CancelAttempt,
    Failed,
    Key,
    Order,
    Playing,
    Publish,
    QueryAttempt,
    Refused,
    Release,
    SessionLimits,
    Timer,
    TimerKind,
    TitleLocation,
    ViewerRequest,
)  # fmt: skip
from .sessions import PlacementModule, Recorder, SessionStateMachine


class SessionManager(SessionStateMachine):
    """Handles requests, host events and timers of one gateway.

    Every public method takes `now`, in seconds on the monotonic clock, and returns orders.
    """

    def __init__(
        self, settings: api.Settings, controller: PlacementModule, terms: SessionLimits,
        catalogue: Mapping[str, TitleLocation], record: Recorder | None = None, first_session: int = 1,
    ) -> None:  # fmt: skip
        super().__init__(settings, controller, terms, catalogue, record, first_session)
        self.paid_refusal_cause = ""
        """Why new paid sessions are refused at present; empty if they are accepted."""
        self.resolving: dict[Key, list[tuple[float, ViewerRequest]]] = {}
        """Sessions with an attempt of unknown state; for each, the waiting requests with their deadlines."""
        self.fleet_recovery: FleetRecovery | None = None
        """Recovery state of this gateway after a start; None without peers."""
        self.load_shedder: LoadShedder | None = None
        """Rejects new sessions by lane while hosts lack capacity; None if no lanes are configured."""
        self._capacity_lost = False
        """Set while the sessions of a lost host end: they leave no free capacity."""

    def start(self, now: float) -> list[Order]:
        """Start the placement module, before any other call."""
        self._begin_event(now)
        actions = self.controller.start(now)
        if self._record is not None:
            self._record(now, None, actions)
        for action in actions:
            self._apply_action(action)
        return self._take_orders()

    def request_session(self, now: float, request: ViewerRequest) -> list[Order]:
        """Start a session for a viewer, or join the viewer's existing one."""
        self._begin_event(now)
        self._prune_unsure(now)
        current = self.sessions_by_key.get(request.key)
        if current is not None and current.phase is Phase.PLAYING:
            self._reply_playing(current, request.waiter)
        elif current is not None:
            self._attach(current, request.waiter)
        elif now < self.unsure.get(request.key, -math.inf):
            self._reply(request.waiter, Failed("an earlier set-up of this session may have run"))
        elif request.key in self.resolving:
            deadline = now + self._patience(request.key[1])
            self.resolving[request.key].append((deadline, request))
            self._orders.append(Timer(deadline, TimerKind.RECOVERY, request.waiter))
        elif self.paid_refusal_cause and self.settings.classes[request.key[1]].effect is not api.Effect.SAFE:
            self._reply(request.waiter, Refused(self.settings.max_retry_after, self.paid_refusal_cause))
        elif len(self.sessions) >= self.terms.max_sessions:
            self._reply(request.waiter, Refused(self.settings.max_retry_after, "as many sessions as allowed"))
        elif (refusal := self._admission_refusal(request)) is not None:
            self._reply(request.waiter, refusal)
        else:
            self._add_session(request, self._patience(request.key[1]), None)
        return self._take_orders()

    def _admission_refusal(self, request: ViewerRequest) -> Refused | None:
        """Return why a new session is refused, or None if it is admitted.

        While the fleet recovers, viewers who had a session go first; while it sheds load, new sessions are
        rejected by lane. Not called for a viewer who has a session or may have one.
        """
        refusal = None
        if self.fleet_recovery is not None:
            paid = self.settings.classes[request.key[1]].effect is not api.Effect.SAFE
            refusal = self.fleet_recovery.deferral(self.now, paid, self.settings.max_retry_after)
        if refusal is None and self.load_shedder is not None and request.key[2] in self.catalogue:
            refusal = self.load_shedder.check_admission(self.now, request.key[0])
        return None if refusal is None else Refused(*refusal)

    # Load shedding counts sessions by key: a move or a replacement is not a new session.

    def _add_session(self, request: ViewerRequest, patience: float, replaces: ManagedSession | None) -> None:
        if self.load_shedder is not None and replaces is None and request.key[2] in self.catalogue:
            self.load_shedder.session_admitted(self.now, request.key)
        super()._add_session(request, patience, replaces)

    def _session_playing(
        self, session: ManagedSession, attempt: int, setup_seconds: float, load: api.Load | None
    ) -> None:
        super()._session_playing(session, attempt, setup_seconds, load)
        self._count_admission(session)

    def _count_admission(self, session: ManagedSession) -> None:
        if self.load_shedder is not None and self.sessions_by_key.get(session.key) is session:
            self.load_shedder.session_admitted(self.now, session.key)

    def _reject_session(self, session: ManagedSession, verdict: Refused | Failed) -> None:
        refused = isinstance(verdict, Refused) and session.replaces is None
        # A refusal because all seats of the title are taken says nothing about host capacity.
        if self.load_shedder is not None and refused and not self._seats_taken(session.key, session):
            self.load_shedder.session_refused(self.now, session.key)
        super()._reject_session(session, verdict)

    def _seats_taken(self, key: Key, excluded: ManagedSession | None = None) -> bool:
        seats = self.settings.classes[key[1]].seats
        return (
            bool(seats)
            and sum(x.key[1:] == key[1:] and x is not excluded for x in self.sessions.values()) >= seats
        )

    def _lose_host(self, server: int, cause: str) -> None:
        self._capacity_lost = True
        super()._lose_host(server, cause)
        self._capacity_lost = False

    def _remove_session(self, session: ManagedSession) -> None:
        played = session.phase is Phase.PLAYING and not self._capacity_lost
        super()._remove_session(session)
        if self.load_shedder is not None and session.key not in self.sessions_by_key:
            self.load_shedder.session_ended(self.now, session.key, played)

    def resume_session(self, now: float, request: ViewerRequest, record: AttemptRecord) -> list[Order]:
        """Resume a session that this gateway does not know, from a viewer's signed address.

        If the host answers that the session is playing, it is adopted; otherwise it is set up again if that
        is free of charge. `record` is the attempt that the address names.
        """
        if request.key in self.sessions_by_key or request.key in self.resolving or request.key in self.unsure:
            return self.request_session(now, request)
        self._begin_event(now)
        if self.fleet_recovery is not None:
            self.fleet_recovery.note_returning_viewer(now)
        deadline = now + self._patience(request.key[1])
        self.resolving[request.key] = [(deadline, request)]
        self._orders += [QueryAttempt(record), Timer(deadline, TimerKind.RECOVERY, request.waiter)]
        return self._take_orders()

    def request_move(self, now: float, request: ViewerRequest) -> list[Order]:
        """Move a session away from a draining host before the viewer's next segment.

        Only sessions that are free of charge move. The old session stays until the new one is playing and
        continues if the new one is refused, so a move never interrupts playback.
        """
        current = self.sessions_by_key.get(request.key)
        if current is None or current.phase is not Phase.PLAYING:
            return self.request_session(now, request)
        self._begin_event(now)
        if not current.moving or current.paid:
            self._reply(request.waiter, Playing(current.view()))
        elif current.replacement is not None:
            self._attach(current.replacement, request.waiter)
        else:
            goal = self.settings.classes[request.key[1]].goal
            self._add_session(request, min(goal, self._patience(request.key[1])), current)
        return self._take_orders()

    def waiter_left(self, now: float, waiter: int) -> list[Order]:
        """Handle a closed connection of a viewer who waited for an answer."""
        self._begin_event(now)
        for waiting_requests in self.resolving.values():
            waiting_requests[:] = [x for x in waiting_requests if x[1].waiter != waiter]
        session = self.sessions_by_waiter.pop(waiter, None)
        if session is not None:
            session.waiters.remove(waiter)
            if not session.waiters and session.phase is Phase.PLACING and session.attempt_out is None:
                self._end_session(session)
                self._notify_module(api.SessionGone(session.number))
            # While an attempt is out the session stays: the viewer may return and join it, and no second
            # attempt is started.
        return self._take_orders()

    def attempt_ended(
        self, now: float, session: int, attempt: int, server: int, outcome: api.Outcome,
        load: api.Load | None = None,
    ) -> list[Order]:  # fmt: skip
        """Handle the outcome of an attempt; a success after its time-out is released and never used."""
        self._begin_event(now)
        managed = self.sessions.get(session)
        if managed is not None and managed.attempt_out == attempt:
            self._finish_attempt(managed, outcome, load)
        elif outcome is api.Outcome.DONE:
            self._log("info", "late_answer", session=session, attempt=attempt, server=server)
            self._orders.append(Release(session, attempt, server))
        return self._take_orders()

    def attempt_committed(self, now: float, session: int, attempt: int, error: str = "") -> list[Order]:
        """Send a paid attempt that has been recorded on disk.

        `error` says why it could not be recorded; then it is not sent. An attempt that timed out in the
        meantime is recorded as never run.
        """
        self._begin_event(now)
        self.paid_refusal_cause = error
        managed = self.sessions.get(session)
        if managed is None or managed.attempt_out != attempt:
            if not error:
                self._orders.append(AttemptStateChanged(session, attempt, AttemptState.NEVER_RAN))
        elif error:
            self._log("error", "attempt_not_recorded", session=session, cause=error)
            self._finish_attempt(managed, api.Outcome.SKIPPED, None)
        elif not self._is_ready(managed.server):
            # Its host started to drain while disk and registrars were pending: sent now, the set-up would
            # arrive later than the drain grace allows. The next attempt's claims replace the recorded ones.
            self._log("info", "drained_meanwhile", session=session, server=managed.server)
            self._orders.append(AttemptStateChanged(session, attempt, AttemptState.NEVER_RAN))
            self._finish_attempt(managed, api.Outcome.SKIPPED, None)
        else:
            managed.sent, managed.committed = True, attempt
            self._orders.append(self._setup_of(managed))
        return self._take_orders()

    def _is_ready(self, server: int) -> bool:
        entry = self.entries.get(server)
        return entry is not None and entry.state is api.State.READY

    def claim_unavailable(
        self, now: float, session: int, attempt: int, witness_errors: str = ""
    ) -> list[Order]:
        """Drop a paid attempt for which no registrar or no majority of its witnesses was available.

        It is not sent, as no other gateway could find out about it. `witness_errors` lists the witnesses that
        failed and why; empty if the registrars failed.
        """
        self._begin_event(now)
        managed = self.sessions.get(session)
        if managed is not None and managed.attempt_out == attempt and not managed.sent:
            if witness_errors:
                self._log("warning", "no_witnesses", session=session, cause=witness_errors)
            else:
                self._log("warning", "no_registrar", session=session, server=managed.server)
            self._finish_attempt(managed, api.Outcome.SKIPPED, None)
        self._orders.append(AttemptStateChanged(session, attempt, AttemptState.NEVER_RAN))
        return self._take_orders()

    def claim_contested(self, now: float, session: int, attempt: int) -> list[Order]:
        """Withdraw a paid attempt because another gateway has one at the same session.

        The attempt was not sent. The session is removed, its viewers wait until the state of the other
        attempt is known, and the session no longer counts in the retry budget.
        """
        self._begin_event(now)
        managed = self.sessions.get(session)
        if managed is not None and managed.attempt_out == attempt and not managed.sent:
            managed.attempt_out = None
            # The other attempt is queried only if a viewer still waits.
            waiting_requests = self.resolving.setdefault(managed.key, []) if managed.waiters else []
            for waiter in managed.waiters:
                del self.sessions_by_waiter[waiter]
                waiting_requests.append((managed.deadline, ViewerRequest(waiter, managed.key, managed.top)))
                self._orders.append(Timer(managed.deadline, TimerKind.RECOVERY, waiter))
            managed.waiters = []
            self.budget.remove_last_session()
            self._log("info", "contested", session=session)
            self._end_session(managed)
            self._notify_module(api.SessionGone(session))
            self._notify_module(
                api.AttemptEnded(session, managed.server, attempt, api.Outcome.SKIPPED, 0.0, True, None)
            )
        self._orders.append(AttemptStateChanged(session, attempt, AttemptState.NEVER_RAN))
        return self._take_orders()

    def attempt_resolved(
        self, now: float, record: AttemptRecord, resolution: Resolution, attempt: int,
        more_pending: bool = False,
    ) -> list[Order]:  # fmt: skip
        """Handle the resolved state of an attempt of an earlier run or of another gateway.

        `attempt` is the attempt number in its address. `more_pending` says that other attempts at the same
        session are unresolved; until the last one is, viewers get neither a new set-up nor a failure.
        """
        self._begin_event(now)
        self._log(
            "info", "attempt_found_out", setup=record.setup, fate=resolution.state.value, more=more_pending
        )
        paid = self.settings.classes[record.key[1]].effect is not api.Effect.SAFE
        adoption_failed = resolution.adopt and not self._adopt(record, attempt)
        if resolution.state is AttemptState.UNSURE or (adoption_failed and paid and not resolution.resumed):
            self._mark_unsure(record.key)
        if more_pending and record.key not in self.sessions_by_key:
            return self._take_orders()
        waiting_requests = self.resolving.pop(record.key, [])
        if more_pending:
            self.resolving[record.key] = []
        for deadline, request in waiting_requests:
            current = self.sessions_by_key.get(request.key)
            if current is not None and current.phase is Phase.PLAYING:
                self._reply_playing(current, request.waiter)
            elif current is not None:
                self._attach(current, request.waiter)
            elif now < self.unsure.get(request.key, -math.inf):
                self._reply(request.waiter, Failed("an earlier set-up of this session may have run"))
            elif resolution.resumed and paid:
                # The viewer fetched a segment, which is no request for a new paid set-up.
                self._reply(request.waiter, Failed("the session has ended"))
            else:
                self._add_session(request, max(0.0, deadline - now), None)
        return self._take_orders()

    def _adopt(self, record: AttemptRecord, attempt: int) -> bool:
        """Adopt a session that is already playing at its host, like one handed over.

        Returns False if the title or the host is unknown, the viewer has another session, or all seats of
        the title are taken.
        """
        location = self.catalogue.get(record.key[2])
        session_class = self.settings.classes[record.key[1]]
        seats_taken = self._seats_taken(record.key)
        if (
            location is None
            or record.server not in self.entries
            or record.key in self.sessions_by_key
            or seats_taken
        ):
            self._log(
                "warning", "not_adopted", setup=record.setup, server=record.server, seats_taken=seats_taken
            )
            return False
        paid = session_class.effect is not api.Effect.SAFE
        session = ManagedSession(
            self._next_number, record.key, paid, math.inf, record.top, Phase.PLAYING, server=record.server,
            rung=record.rung, rung_sent=record.rung,
        )  # fmt: skip
        self._next_number += 1
        session.attempts, session.committed = attempt + 1, attempt if paid else None
        session.viewer_informed = record.state is AttemptState.RAN
        self.sessions[session.number] = self.sessions_by_key[session.key] = session
        self.playing_by_server.setdefault(session.server, {})[session.number] = session
        self._count_admission(session)
        request = api.SessionRequest(
            session.number, record.key[1], 0, record.key[2], 0.0, None, location.home, location.holders,
            record.top,
        )  # fmt: skip
        self._notify_module(api.SessionHandedOver(request, record.server))
        self._notify_module(api.RungNote(session.number, record.rung))
        self._orders.append(Publish(session.view()))
        return True

    def session_ended(
        self, now: float, session: int, attempt: int, cause: str, taken_over: bool = False
    ) -> list[Order]:
        """Handle a host's report that a session has ended or that another gateway has taken it over."""
        self._begin_event(now)
        managed = self.sessions.get(session)
        if managed is not None and managed.phase is Phase.PLAYING and managed.attempts - 1 == attempt:
            self._finish_session(managed, api.Outcome.DONE, cause, taken_over)
        return self._take_orders()

    def host_lost(self, now: float, server: int, cause: str) -> list[Order]:
        """End the sessions of a host that is dead or silent."""
        self._begin_event(now)
        self._lose_host(server, cause)
        return self._take_orders()

    def end_idle_sessions(self, now: float, sessions: Iterable[int]) -> list[Order]:
        """End and release sessions whose viewers have stopped fetching segments."""
        self._begin_event(now)
        for number in sessions:
            session = self.sessions.get(number)
            if session is not None and session.phase is Phase.PLAYING and session.replacement is None:
                self._notify_module(api.SessionGone(number))
                self._orders.append(Release(number, session.attempts - 1, session.server))
                self._finish_session(session, api.Outcome.DONE, "viewer stopped fetching")
        return self._take_orders()

    def update_servers(self, now: float, event: api.ServerList) -> list[Order]:
        """Apply a list of hosts, or changes to it.

        Sessions of restarted hosts end; free sessions of draining hosts may move.
        """
        self._begin_event(now)
        before = dict(self.entries)
        if event.complete and not event.failed:
            self.entries = {}
        for entry in event.entries:
            self.entries[entry.server] = entry
        self._notify_module(event)
        for server, entry in self.entries.items():
            previous = before.get(server)
            if previous is not None and entry.started > previous.started:
                self._lose_host(server, "host started anew")
            if entry.state is api.State.DRAINING and (
                previous is None or previous.state is not api.State.DRAINING
            ):
                for session in list(self.playing_by_server.get(server, {}).values()):
                    self._allow_move(session)
        return self._take_orders()

    def load_reported(self, now: float, server: int, load: api.Load) -> list[Order]:
        """Handle a host's load from an answer or its event stream, unless loads are only probed."""
        self._begin_event(now)
        if not self.settings.reports_by_probe:
            self._notify_module(api.LoadNote(server, load))
        return self._take_orders()

    def probe_answered(
        self, now: float, server: int, outcome: api.Outcome, took: float, load: api.Load | None
    ) -> list[Order]:
        """Handle the end of a load probe that took `took` seconds; `load` is None if it failed."""
        self._begin_event(now)
        self._notify_module(api.ProbeAnswered(server, outcome, took, load))
        return self._take_orders()

    def delivery_reported(self, now: float, server: int, share: float) -> list[Order]:
        """Handle the share of its sessions' bit rates, 0 to 1, that a host delivers."""
        self._begin_event(now)
        self._notify_module(api.DeliveryNote(server, share))
        return self._take_orders()

    def timer_fired(self, now: float, timer: Timer) -> list[Order]:
        """Handle a timer that was ordered earlier."""
        self._begin_event(now)
        self.margin.record_timer(now, timer.due_at)
        if timer.kind is TimerKind.MODULE:
            self._notify_module(api.TimerFired(timer.token))
            return self._take_orders()
        if timer.kind is TimerKind.RECOVERY:
            for waiters in self.resolving.values():
                expired = [x for x in waiters if x[1].waiter == timer.token]
                for waiter in expired:
                    waiters.remove(waiter)
                    self._reply(timer.token, Failed("an earlier set-up is still being found out"))
            return self._take_orders()
        session = self.sessions.get(timer.token)
        if session is None:
            return self._take_orders()
        if timer.kind is TimerKind.MOVE:
            self._allow_move(session)
        elif session.phase is Phase.PLACING and session.attempt_out is not None:
            due = timer.kind is TimerKind.DEADLINE or session.attempt_out == timer.attempt
            if due and session.sent:
                self._orders.append(CancelAttempt(session.number, session.attempt_out))
                self._finish_attempt(session, api.Outcome.TIMED_OUT, None)
            elif due:  # not recorded yet, so not one byte of it has been sent
                self._finish_attempt(session, api.Outcome.SKIPPED, None)
        elif session.phase is Phase.PLACING and timer.kind is TimerKind.DEADLINE:
            self._log("error", "no_decision_in_time", session=session.number)
            self._reject_session(session, Failed("no decision in time"))
            self._notify_module(api.SessionGone(session.number))
        return self._take_orders()

    def close(self, now: float) -> list[Order]:
        """Fail all waiting requests and end playing sessions at their hosts, as the gateway stops."""
        self._begin_event(now)
        for waiting_requests in self.resolving.values():
            for _, request in waiting_requests:
                self._reply(request.waiter, Failed("the gateway stops"))
        self.resolving = {}
        for session in list(self.sessions.values()):
            if session.phase is Phase.PLACING:
                if session.attempt_out is not None:
                    if session.committed == session.attempt_out:
                        self._orders.append(
                            AttemptStateChanged(session.number, session.attempt_out, AttemptState.UNSURE)
                        )
                    self._orders += [
                        CancelAttempt(session.number, session.attempt_out),
                        Release(session.number, session.attempt_out, session.server),
                    ]
                self._reject_session(session, Failed("the gateway stops"))
            elif session.phase is Phase.PLAYING:
                self._orders.append(Release(session.number, session.attempts - 1, session.server))
                self._end_session(session)
        return self._take_orders()

"""Carries a planned stop out, from SIGTERM to the end of the event loop, at the times of `core/shutdown.py`.

Order: serve what arrives during the grace period; wait until nothing is pending; accept the connections in
the backlog and close the listener; shut each connection down once it is settled; read until nothing can cross
that; stop. Nothing that peers do delays any of it beyond its time.
"""

from __future__ import annotations

from collections.abc import Callable

from ..core.shutdown import FINAL_READ_SECONDS, ShutdownSchedule
from ..net.reactor import Reactor
from .frontend import Frontend
from .hosts import HostPool

POLL_SECONDS = 0.05
"""Seconds between two checks for pending work."""


class Shutdown:
    """The steps of one planned stop."""

    def __init__(
        self,
        reactor: Reactor,
        frontend: Frontend,
        hosts: HostPool,
        schedule: ShutdownSchedule,
        open_setups: Callable[[], int],
        answer_due_setups: Callable[[], None],
        log: Callable[[str], None],
    ) -> None:
        """`open_setups`: returns the number of unanswered set-ups; `answer_due_setups`: answers those that
        are due; `log` gets lines for the log."""
        self._reactor, self._frontend, self._hosts = reactor, frontend, hosts
        self.schedule = schedule
        self._open_setups, self._answer_due_setups, self._log = open_setups, answer_due_setups, log
        self._closing = False
        self.closed_at: float | None = None
        """When the last viewer's connection was shut down; None: not yet."""
        reactor.call_at(max(reactor.clock(), schedule.grace_ends_at), self.step)

    def step(self) -> None:
        """Go on as far as pending work allows, or as the time demands."""
        now = self._reactor.clock()
        self._frontend.refusing = now >= self.schedule.refuse_at
        if now >= self.schedule.answers_due_at:
            self._answer_due_setups()  # a late iteration may come here before their timers
        if not self._closing and (now >= self.schedule.close_by or not self.has_pending_work(now)):
            self._closing = self._frontend.stop_listening() or now >= self.schedule.close_by
        if self._closing and self.closed_at is None:
            self._close_connections(now)
        if now >= self.schedule.exit_by or self._is_done(now):
            connections = len(self._frontend.viewers)
            self._log(f"exit: {self._open_setups()} set-ups unanswered, {connections} connections open")
            self._reactor.stop()
            return
        times = (self.schedule.answers_due_at, self.schedule.close_by, self.schedule.exit_by)
        self._reactor.call_at(min([now + POLL_SECONDS, *(x for x in times if x > now)]), self.step)

    def has_pending_work(self, now: float) -> bool:
        """Whether closing now would lose accepted work: unanswered set-ups, requests not read or not handled
        yet, answers not completely sent. From `answers_due_at` on only the first count."""
        if self._open_setups():
            return True
        if now >= self.schedule.answers_due_at:
            return False
        return self._reactor.has_deferred or self._frontend.has_pending_output()

    def _close_connections(self, now: float) -> None:
        """Shut down the connections that are settled, and all of them once it is time."""
        if now >= self.schedule.close_by:
            self._frontend.finish()
        else:
            self._frontend.finish_settled()
        if not self._frontend.viewers:
            self.closed_at = now

    def _is_done(self, now: float) -> bool:
        if self.closed_at is None or self._hosts.has_unsettled_sessions(now):
            return False
        return now >= self.closed_at + FINAL_READ_SECONDS or not self._reactor.finishing_count

"""Retry budget: rule 6, kept by each gateway for its own sessions alone.

The placement module keeps a budget by all requests that it handles, including moves, which the gateway causes
itself. If moves counted, a drain with many of them would allow viewers' sessions more retries than the rule
says. So the session manager counts viewers' sessions only, and the stricter of the two budgets applies.
"""

from __future__ import annotations

from collections import deque

from . import interface as api

CLOCK_TOLERANCE_SECONDS = 1e-3
"""Narrows the window for sessions and widens it for retries, as clocks are not exact."""


class RetryBudget:
    """Times of new sessions and retries within the window, in monotonic seconds.

    Retries may number `budget_free` plus `budget_share` of the sessions; a window of 0 sets no limit.
    """

    def __init__(self, settings: api.Settings) -> None:
        self.window, self._free = settings.budget_window, settings.budget_free
        self._share = settings.budget_share
        self.session_times: deque[float] = deque()
        """Times of viewers' new sessions, without moves."""
        self.retry_times: deque[float] = deque()
        self.retry_count = 0
        """Retries since the state folder was created; tells which retries a carry-over includes."""

    def add_session(self, now: float) -> None:
        """Count a viewer's new session."""
        if self.window > 0:
            self.session_times.append(now)
            while self.session_times[0] <= now - self.window:
                self.session_times.popleft()

    def remove_last_session(self) -> None:
        """Uncount the last session, which turned out not to be new."""
        if self.session_times:
            self.session_times.pop()

    def try_spend(self, now: float) -> bool:
        """Whether a retry is within the budget; if so, count it."""
        if self.window <= 0:
            return True
        start = now - self.window
        for times, cutoff in (
            (self.session_times, start + CLOCK_TOLERANCE_SECONDS),
            (self.retry_times, start - CLOCK_TOLERANCE_SECONDS),
        ):
            while times and times[0] <= cutoff:
                times.popleft()
        if len(self.retry_times) + 1 > self._free + self._share * len(self.session_times):
            return False
        self.retry_times.append(now)
        self.retry_count += 1
        return True

    def restore(self, session_times: list[float], retry_times: list[float]) -> None:
        """Restore the times of an earlier run, in ascending order, before the first request."""
        self.session_times.extend(session_times)
        self.retry_times.extend(retry_times)

"""The decision loop: one thread owns the session manager and its placement module; others queue inputs.

Inputs already queued run before timers that are due, so that after a pause of the whole process an answer
that arrived in time is not counted as a timeout. Only the inputs queued at that moment run first, so that a
full inbox does not delay a timer for long.
"""

from __future__ import annotations

import heapq
import itertools
import queue
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable

from ..core import messages
from ..core.session_manager import SessionManager
from ..net.threads import Failure, spawn

Input = Callable[[SessionManager, float], list[messages.Order]]
"""A call that a thread queues: runs on the loop with the session manager and the monotonic time."""


PAUSE_THRESHOLD_SECONDS = 0.3
"""A timer that is late by more than this shows that the process was paused: no decision takes as long."""
PAUSE_GRACE_SECONDS = 0.1
"""Time for queued answers after a pause; less than the margin before a viewer's patience ends."""
INPUTS_PER_LOW_PRIORITY = 4
"""Inputs after which one low-priority input runs, even if others are waiting."""


def _no_operation(manager: SessionManager, now: float) -> list[messages.Order]:
    return []


class Loop:
    """Runs inputs and timers one at a time and executes the resulting orders in sequence."""

    def __init__(
        self, manager: SessionManager, execute_order: Callable[[messages.Order], None], on_failure: Failure,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:  # fmt: skip
        self.session_manager, self._execute_order, self._on_failure, self._clock = (
            manager,
            execute_order,
            on_failure,
            clock,
        )
        self._inbox: queue.SimpleQueue[Input | None] = queue.SimpleQueue()
        self._ended = threading.Event()
        self._low_priority: deque[Input] = deque()
        self._timers: list[tuple[float, int, messages.Timer | Input]] = []
        self._sequence = itertools.count()
        self.input_count = 0
        self.busy_seconds = 0.0
        """CPU time spent on decisions and orders."""
        self.pause_count = 0
        """Pauses of the whole process that were detected."""
        self.timer_lag_seconds = 0.0
        """How late the last timer fired."""

    def start(self) -> None:
        """Start the loop's thread."""
        spawn("decisions", self._run, self._on_failure)

    def put(self, callback: Input) -> None:
        """Queue an input; callable from any thread, never blocks."""
        self._inbox.put(callback)

    def call_at(self, due_at: float, callback: Input) -> None:
        """Run an input at a monotonic time; callable on the loop's own thread, or before it starts."""
        heapq.heappush(self._timers, (due_at, next(self._sequence), callback))

    def put_low_priority(self, callbacks: Iterable[Input]) -> None:
        """Queue inputs that no thread waits for: they run one at a time between the other inputs."""
        self._low_priority.extend(callbacks)
        self._inbox.put(_no_operation)  # wakes the loop

    def stop(self) -> None:
        """End the loop after the inputs queued so far; low-priority inputs still waiting are dropped."""
        self._inbox.put(None)

    def wait_closed(self, timeout: float) -> bool:
        """Wait at most `timeout` seconds until the loop has ended; returns whether it has.

        By then the last inputs have passed their work to other threads (such as a file to be written), so
        that a caller can wait for those next.
        """
        return self._ended.wait(timeout)

    def _run(self) -> None:
        try:
            self._run_until_stopped()
        finally:
            self._ended.set()

    def _run_until_stopped(self) -> None:
        self._execute_orders(self.session_manager.start(self._clock()))
        inputs_since_low_priority = 0
        while True:
            wait = self._timers[0][0] - self._clock() if self._timers else 60.0
            if wait <= 0:
                if wait < -PAUSE_THRESHOLD_SECONDS and not self._drain_after_pause():
                    return
                for _ in range(self._inbox.qsize()):
                    if not self._run_input(self._inbox.get()):
                        return
                self._fire_due_timers()
                continue
            if self._low_priority and (
                inputs_since_low_priority >= INPUTS_PER_LOW_PRIORITY or self._inbox.empty()
            ):
                inputs_since_low_priority = 0
                self._run_input(self._low_priority.popleft())
                continue
            try:
                if not self._run_input(self._inbox.get(timeout=wait)):
                    return
                inputs_since_low_priority += 1
            except queue.Empty:
                pass

    def _drain_after_pause(self) -> bool:
        """Run the inputs that other threads queue as they resume after a pause of the whole process.

        Without this grace period the timers would count every attempt as timed out whose answer is still in
        a kernel buffer, penalize its host, and retry it. Returns False if the loop was stopped meanwhile.
        """
        self.pause_count += 1
        grace_ends_at = self._clock() + PAUSE_GRACE_SECONDS
        while (left := grace_ends_at - self._clock()) > 0:
            try:
                if not self._run_input(self._inbox.get(timeout=left)):
                    return False
            except queue.Empty:
                break
        return True

    def _run_input(self, callback: Input | None) -> bool:
        """Run one input; returns False for the stop marker."""
        if callback is None:
            return False
        started_at = time.thread_time()
        self.input_count += 1
        self._execute_orders(callback(self.session_manager, self._clock()))
        self.busy_seconds += time.thread_time() - started_at
        return True

    def _fire_due_timers(self) -> None:
        """Fire the timers due now, and only those: a fired timer may set others that are due at once."""
        now = self._clock()
        started_at = time.thread_time()
        due = []
        while self._timers and self._timers[0][0] <= now:
            due.append(heapq.heappop(self._timers))
        for due_at, _, timer in due:
            self.timer_lag_seconds = now - due_at
            if isinstance(timer, messages.Timer):
                self._execute_orders(self.session_manager.timer_fired(now, timer))
            else:
                self._execute_orders(timer(self.session_manager, now))
        self.busy_seconds += time.thread_time() - started_at

    def _execute_orders(self, orders: list[messages.Order]) -> None:
        for order in orders:
            if isinstance(order, messages.Timer):
                heapq.heappush(self._timers, (order.due_at, next(self._sequence), order))
            else:
                self._execute_order(order)

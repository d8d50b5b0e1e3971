"""A pool of threads for blocking work: grows to its bound, shrinks when idle."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable

from .threads import Failure, spawn

Job = Callable[[], None]


class Workers:
    """Runs jobs in the order given, as many at once as it may have threads."""

    def __init__(
        self, name: str, most: int, on_failure: Failure, idle: float = 10.0, pace: float = 0.0, least: int = 0
    ) -> None:
        """`most`: threads at once; `idle`: seconds after which one without work ends; `pace`: seconds from a
        job's start to the next, so that a heap of jobs leaves the interpreter to those who wait for it.
        `least`: threads from the start to the end; with one, `submit` never raises, whatever threads the
        system has left by then. Raises RuntimeError where it has none now.
        """
        self.pace, self._next = pace, 0.0
        self._name, self.most, self._on_failure, self._idle_limit = name, most, on_failure, idle
        self._jobs: queue.SimpleQueue[Job] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._growing = threading.Lock()
        """Held while a thread is started: until that has worked or failed nobody else relies on it."""
        self._threads = 0
        self._pending = 0
        """Jobs given and not finished."""
        self._empty = threading.Condition(self._lock)
        self._least = least
        for _ in range(least):
            spawn(name, self._work, on_failure)
            with self._lock:
                self._threads += 1

    @property
    def threads(self) -> int:
        return self._threads

    @property
    def pending(self) -> int:
        return self._pending

    def submit(self, job: Job) -> None:
        """Raises RuntimeError, and never runs the job, where there is no thread and the system has none."""
        with self._lock:
            self._pending += 1
            grow = self._wants_thread()
        if grow:
            self._grow()
        self._jobs.put(job)

    def _wants_thread(self) -> bool:
        return self._pending > self._threads and self._threads < self.most

    def _grow(self) -> None:
        with self._growing:
            with self._lock:
                if not self._wants_thread():
                    return
            try:
                spawn(self._name, self._work, self._on_failure)
            except RuntimeError as error:  # the system has no thread: those there are go on
                with self._lock:
                    if not self._threads:
                        self._finished()
                        raise
                self._on_failure(self._name, error)
            else:
                with self._lock:
                    self._threads += 1

    def _finished(self) -> None:
        """A job has been done, or won't be; with the lock held."""
        self._pending -= 1
        if not self._pending:
            self._empty.notify_all()

    def wait_idle(self, limit: float) -> bool:
        """Wait until every job is done, at most `limit` seconds."""
        with self._empty:
            return self._empty.wait_for(lambda: not self._pending, limit)

    def _keep_pace(self) -> None:
        with self._lock:
            now = time.monotonic()
            start = max(now, self._next)
            self._next = start + self.pace
        if start > now:
            time.sleep(start - now)

    def _work(self) -> None:
        while True:
            try:
                job = self._jobs.get(timeout=self._idle_limit)
            except queue.Empty:
                with self._lock:
                    if self._threads <= self._least:
                        continue
                    if self._pending < self._threads:
                        self._threads -= 1
                        return
                continue
            try:
                if self.pace:
                    self._keep_pace()
                job()
            except Exception as error:
                self._on_failure(self._name, error)
            finally:
                with self._lock:
                    self._finished()

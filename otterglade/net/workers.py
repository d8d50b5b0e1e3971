"""A thread pool for blocking work that grows to a maximum and shrinks when idle."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable

from .threads import Failure, spawn

Job = Callable[[], None]


class Workers:
    """Starts jobs in the order submitted, at most `max_threads` at once."""

    def __init__(
        self,
        name: str,
        max_threads: int,
        on_failure: Failure,
        idle_timeout: float = 10.0,
        start_interval: float = 0.0,
        min_threads: int = 0,
    ) -> None:
        """`idle_timeout`: seconds after which a thread without work ends; `start_interval`: seconds between
        the starts of two jobs, so that a burst of jobs doesn't keep other threads from the interpreter.
        `min_threads`: threads started now and kept; with at least one, `submit` never raises even if the
        system runs out of threads later. Raises RuntimeError if the system can't start them now.
        """
        self.start_interval, self._next_start = start_interval, 0.0
        self._name, self.max_threads, self._on_failure, self._idle_timeout = (
            name,
            max_threads,
            on_failure,
            idle_timeout,
        )
        self._jobs: queue.SimpleQueue[Job] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._grow_lock = threading.Lock()
        """Held while a thread is started, so that no other caller counts on it before the start succeeds."""
        self._threads = 0
        self._pending = 0
        """Jobs submitted and not finished."""
        self._all_done = threading.Condition(self._lock)
        self._min_threads = min_threads
        for _ in range(min_threads):
            spawn(name, self._run_jobs, on_failure)
            with self._lock:
                self._threads += 1

    @property
    def threads(self) -> int:
        """Threads that run, idle ones included."""
        return self._threads

    @property
    def pending(self) -> int:
        """Jobs submitted and not finished."""
        return self._pending

    def submit(self, job: Job) -> None:
        """Queue a job. Raises RuntimeError, without running it, if there is no thread and none can start."""
        with self._lock:
            self._pending += 1
            grow = self._needs_thread()
        if grow:
            self._grow()
        self._jobs.put(job)

    def _needs_thread(self) -> bool:
        return self._pending > self._threads and self._threads < self.max_threads

    def _grow(self) -> None:
        with self._grow_lock:
            with self._lock:
                if not self._needs_thread():
                    return
            try:
                spawn(self._name, self._run_jobs, self._on_failure)
            except RuntimeError as error:  # no thread available: the existing ones continue
                with self._lock:
                    if not self._threads:
                        self._job_finished()
                        raise
                self._on_failure(self._name, error)
            else:
                with self._lock:
                    self._threads += 1

    def _job_finished(self) -> None:
        """Count a job that has run or never will. The caller holds the lock."""
        self._pending -= 1
        if not self._pending:
            self._all_done.notify_all()

    def wait_idle(self, timeout: float) -> bool:
        """Wait at most `timeout` seconds until every job has finished; return whether all have."""
        with self._all_done:
            return self._all_done.wait_for(lambda: not self._pending, timeout)

    def _wait_for_start(self) -> None:
        with self._lock:
            now = time.monotonic()
            start = max(now, self._next_start)
            self._next_start = start + self.start_interval
        if start > now:
            time.sleep(start - now)

    def _run_jobs(self) -> None:
        while True:
            try:
                job = self._jobs.get(timeout=self._idle_timeout)
            except queue.Empty:
                with self._lock:
                    if self._threads <= self._min_threads:
                        continue
                    if self._pending < self._threads:
                        self._threads -= 1
                        return
                continue
            try:
                if self.start_interval:
                    self._wait_for_start()
                job()
            except Exception as error:
                self._on_failure(self._name, error)
            finally:
                with self._lock:
                    self._job_finished()

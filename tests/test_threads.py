"""Starting threads: what is the process's, and what a start leaves behind."""

from __future__ import annotations

import threading

import pytest

from otterglade.net import threads, workers
from tests.house import BOUND


def test_two_that_start_threads_at_once_leave_the_size_of_stacks_as_it_was(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The first is held in the middle of its start until the second has come as far as it is let."""
    second_came, seen = threading.Event(), dict[str, int]()
    set_size, start, lock = threading.stack_size, threading.Thread.start, threading.Lock()

    class Watched:
        def __enter__(self) -> None:
            if lock.locked():
                second_came.set()
            assert lock.acquire(timeout=BOUND)

        def __exit__(self, *_: object) -> None:
            lock.release()

    def held(thread: threading.Thread) -> None:
        if thread.name == "first":
            start(other)
            assert second_came.wait(BOUND)
        elif thread.name == "second":
            second_came.set()  # nothing has kept it from here
            assert lock.locked() or first_done.wait(BOUND)
        seen[thread.name] = set_size()
        start(thread)

    def spawn(name: str) -> None:
        threads.spawn(name, lambda: None, lambda *_: None).join(BOUND)

    first_done = threading.Event()
    other = threading.Thread(target=spawn, args=("second",))
    before = set_size()
    monkeypatch.setattr(threads, "_starting", Watched(), raising=False)
    monkeypatch.setattr(threading.Thread, "start", held)
    try:
        spawn("first")
        first_done.set()
        other.join(BOUND)
        after = set_size()
    finally:
        set_size(before)
    assert (after, seen) == (before, {"first": threads.STACK, "second": threads.STACK})


def test_a_pool_that_keeps_a_thread_takes_jobs_when_the_system_has_none(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    told: list[str] = []
    pool = workers.Workers("w", 4, lambda name, error: told.append(str(error)), idle=0.001, least=1)

    def none_left(*_: object) -> None:
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(workers, "spawn", none_left)
    first, second, go_on = threading.Event(), threading.Event(), threading.Event()
    pool.submit(lambda: (first.set(), go_on.wait(BOUND))[0])
    assert first.wait(BOUND)
    pool.submit(second.set)
    go_on.set()
    assert second.wait(BOUND) and told == ["can't start new thread"]
    assert pool.wait_idle(BOUND) and pool.threads == 1

"""Threads with small stacks, counted, whose failures are never silent."""

from __future__ import annotations

import threading
from collections.abc import Callable

STACK = 256 * 1024
"""Bytes of address space reserved for a thread; only what it touches becomes memory.

Frames of Python functions live on the heap, so the C stack holds regular expressions, socket calls and the
interpreter's own loop. The gateway's tests on loopback pass with 64 KiB; this leaves a factor of four.
"""

_starting = threading.Lock()
"""Held from the setting of the stack size to its setting back: the size is the process's. Of two threads that
start others at once, the second would read the first one's size as the one to set back, which then remained
for every thread of the process; and the first would set it back before the second one's thread is made, which
then reserved the system's size. A thread that other code starts meanwhile gets a small stack all the same;
all of this program's go through `spawn`."""

Failure = Callable[[str, BaseException], None]


def spawn(name: str, target: Callable[[], None], on_failure: Failure) -> threading.Thread:
    """Start a daemon thread; an exception that leaves `target` goes to `on_failure` with the thread's name.

    Raises RuntimeError where the system has no thread left.
    """

    def run() -> None:
        try:
            target()
        except BaseException as error:
            on_failure(name, error)

    thread = threading.Thread(target=run, name=name, daemon=True)
    with _starting:
        before = threading.stack_size(STACK)
        try:
            thread.start()
        finally:
            threading.stack_size(before)
    return thread

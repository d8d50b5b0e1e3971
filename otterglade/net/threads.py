"""Daemon threads with small stacks that report their exceptions."""

from __future__ import annotations

import threading
from collections.abc import Callable

STACK_BYTES = 256 * 1024
"""Address space reserved per thread; only touched pages use memory.

Python frames live on the heap, so the C stack holds regular expressions, socket calls and the interpreter
loop. The gateway's loopback tests pass with 64 KiB, so this leaves a factor of four.
"""

_stack_size_lock = threading.Lock()
"""Held while the process-wide stack size is changed. Without it, of two concurrent `spawn` calls the second
would save the small size and restore it for the whole process, or the first would restore the default before
the second creates its thread. Threads that other code starts meanwhile also get a small stack; all threads of
this program are started by `spawn`."""

Failure = Callable[[str, BaseException], None]
"""Called with the thread's name and the exception that ended it or its job."""


def spawn(name: str, target: Callable[[], None], on_failure: Failure) -> threading.Thread:
    """Start a daemon thread; exceptions of `target` are passed to `on_failure` with the thread's name.

    Raises RuntimeError if the system can't start a thread.
    """

    def run() -> None:
        try:
            target()
        except BaseException as error:
            on_failure(name, error)

    thread = threading.Thread(target=run, name=name, daemon=True)
    with _stack_size_lock:
        previous_size = threading.stack_size(STACK_BYTES)
        try:
            thread.start()
        finally:
            threading.stack_size(previous_size)
    return thread

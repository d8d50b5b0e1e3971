"""Operation of a daemon: an exclusive lock on its state folder, interpreter tuning, reloadable fields."""

from __future__ import annotations

import errno
import fcntl
import gc
import os
import sys
from pathlib import Path

from ..config.schema import Config


class Lock:
    """An advisory lock on a state folder, held until it is released or the process ends in any way."""

    def __init__(self, folder: Path) -> None:
        """Raises OSError naming the process that holds the folder."""
        self._path = folder / "lock"
        self._file_descriptor = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(self._file_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            holder = os.read(self._file_descriptor, 32).decode("ascii", "replace").strip()
            os.close(self._file_descriptor)
            raise OSError(
                errno.EBUSY, f"state_dir in use by process {holder or 'unknown'}", str(folder)
            ) from error
        os.ftruncate(self._file_descriptor, 0)
        os.write(self._file_descriptor, f"{os.getpid()}\n".encode())

    def release(self) -> None:
        """Release the lock; a second call has no effect."""
        if self._file_descriptor >= 0:
            os.close(self._file_descriptor)
            self._file_descriptor = -1


SWITCH_INTERVAL_SECONDS = 0.001
"""Time a thread may hold the interpreter lock while another waits; with Python's default of 5 ms, that delay
is the p99 of a set-up's four switches between threads."""


def tune_interpreter() -> None:
    """Tune the interpreter for a process that answers within milliseconds; call it once all is loaded.

    The objects loaded so far are excluded from garbage collection, and the rest is collected less often: a
    full collection stopped every thread for 20 to 30 ms.
    """
    sys.setswitchinterval(SWITCH_INTERVAL_SECONDS)
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)


RELOADABLE_BLOCKS = ("limits", "log", "tokens", "lanes", "routes", "accepts")
"""Configuration blocks that can change without a restart."""
RELOADABLE_FIELDS = {"peers": ("routes_forced", "routes_forget")}
"""Fields of other blocks, by block, with which an operator controls a running gateway."""


def needs_restart(old: Config, new: Config) -> list[str]:
    """The changed fields that need a restart, as BLOCK.FIELD or BLOCK."""
    found = []
    for name in Config.__struct_fields__:
        old_block, new_block = getattr(old, name), getattr(new, name)
        if name == "lanes" and bool(old_block) != bool(new_block):
            found.append("priority: the first block, or the last")
        if old_block == new_block or name in RELOADABLE_BLOCKS:
            continue
        fields = () if old_block is None or new_block is None else getattr(old_block, "__struct_fields__", ())
        changed = [x for x in fields if getattr(old_block, x) != getattr(new_block, x)]
        if changed and all(x in RELOADABLE_FIELDS.get(name, ()) for x in changed):
            continue
        found += [f"{name}.{x}" for x in changed if x not in RELOADABLE_FIELDS.get(name, ())] or [name]
    return found

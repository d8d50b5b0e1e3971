"""What a daemon owes to its operator: one at a time in a state folder, a script that may be read again."""

from __future__ import annotations

import errno
import fcntl
import gc
import os
import sys
from pathlib import Path

from ..config.schema import Config


class Lock:
    """An advisory lock on a state folder, held until released or until the process ends, however it ends."""

    def __init__(self, folder: Path) -> None:
        """Raises OSError naming the process that holds the folder."""
        self._path = folder / "lock"
        self._fd = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            holder = os.read(self._fd, 32).decode("ascii", "replace").strip()
            os.close(self._fd)
            raise OSError(
                errno.EBUSY, f"state_dir in use by process {holder or 'unknown'}", str(folder)
            ) from error
        os.ftruncate(self._fd, 0)
        os.write(self._fd, f"{os.getpid()}\n".encode())

    def release(self) -> None:
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1


SWITCH = 0.001
"""Seconds for which a thread may hold the interpreter while another waits for it; Python's own 5 ms are the
p99 of a set-up's four hand-overs between threads."""


def steady() -> None:
    """Set the interpreter up for a process that answers within milliseconds; once all has been loaded.

    What was loaded never goes and is left out of collections, and the rest is looked through less often: a
    full collection held every thread up for 20 to 30 ms.
    """
    sys.setswitchinterval(SWITCH)
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)


IN_SERVICE = ("limits", "log", "tokens", "lanes", "routes", "accepts")
"""Blocks whose changes take effect without a restart."""
WORDS = {"peers": ("routes_forced", "routes_forget")}
"""Fields of other blocks, by block, that are a person's word to a running gateway."""


def needs_restart(old: Config, new: Config) -> list[str]:
    """The fields that differ and can't change in service, as BLOCK.FIELD or BLOCK."""
    found = []
    for name in Config.__struct_fields__:
        a, b = getattr(old, name), getattr(new, name)
        if name == "lanes" and bool(a) != bool(b):
            found.append("priority: the first block, or the last")
        if a == b or name in IN_SERVICE:
            continue
        fields = () if a is None or b is None else getattr(a, "__struct_fields__", ())
        differ = [x for x in fields if getattr(a, x) != getattr(b, x)]
        if differ and all(x in WORDS.get(name, ()) for x in differ):
            continue
        found += [f"{name}.{x}" for x in differ if x not in WORDS.get(name, ())] or [name]
    return found

"""Small files that are replaced whole: after a kill or a power loss there is the old one or the new one."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path


def replace_file(path: Path, data: bytes) -> None:
    """Put `data` in the file's place, durable when this returns: the bytes, then the name. Raises OSError."""
    beside = path.with_suffix(".new")
    try:
        fd = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            sent = 0
            while sent < len(data):
                sent += os.write(fd, data[sent:])
            os.fsync(fd)
        finally:
            os.close(fd)
        beside.replace(path)
        folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)  # without it a power loss may bring the old name back after the new one was used
        finally:
            os.close(folder)
    except OSError:
        with contextlib.suppress(OSError):  # the first error is the one that tells
            beside.unlink()
        raise

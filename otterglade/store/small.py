"""Atomic replacement of small files: a crash or power loss leaves either the old or the new content."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path


def replace_file(path: Path, data: bytes) -> None:
    """Replace the file's content atomically; durable on return. Raises OSError.

    Writes and syncs a temporary file with the suffix `.new`, renames it, and syncs the directory.
    """
    temporary = path.with_suffix(".new")
    try:
        fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            written = 0
            while written < len(data):
                written += os.write(fd, data[written:])
            os.fsync(fd)
        finally:
            os.close(fd)
        temporary.replace(path)
        folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)  # otherwise a power loss may restore the old file after the new one was used
        finally:
            os.close(folder)
    except OSError:
        with contextlib.suppress(OSError):  # report the first error, not that of the clean-up
            temporary.unlink()
        raise

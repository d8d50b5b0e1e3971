"""The file system operations that a log needs, as a small interface that tests can inject faults into."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """File system operations of a log. Each may raise OSError; a crash may lose or tear unsynced data."""

    def names(self, folder: Path) -> list[str]:
        """Return the file names in `folder`, sorted."""
        ...

    def read(self, path: Path) -> bytes:
        """Return the whole content of a file."""
        ...

    def create(self, path: Path) -> int:
        """Create a file for appending and return its descriptor. Raises FileExistsError if it exists."""

    def open(self, path: Path) -> int:
        """Open an existing file for appending and return its descriptor."""

    def write(self, fd: int, data: bytes) -> int:
        """Append `data` and return the number of bytes written, which may be fewer."""
        ...

    def sync(self, fd: int) -> None:
        """Make a file's content durable."""
        ...

    def truncate(self, fd: int, size: int) -> None:
        """Cut a file to `size` bytes."""
        ...

    def close(self, fd: int) -> None:
        """Close a descriptor without syncing it."""
        ...

    def replace(self, old: Path, new: Path) -> None:
        """Rename `old` to `new` atomically, overwriting `new`; durable after `sync_folder`."""
        ...

    def remove(self, path: Path) -> None:
        """Delete a file. Raises FileNotFoundError if there is none."""
        ...

    def sync_folder(self, folder: Path) -> None:
        """Make the creations, renames and deletions in `folder` durable."""
        ...


class RealDisk:
    """A `Disk` on the operating system's file system."""

    def names(self, folder: Path) -> list[str]:
        """Return the file names in `folder`, sorted."""
        return sorted(os.listdir(folder))

    def read(self, path: Path) -> bytes:
        """Return the whole content of a file."""
        return path.read_bytes()

    def create(self, path: Path) -> int:
        """Create a file for appending, readable by its owner only. Raises FileExistsError if it exists."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def open(self, path: Path) -> int:
        """Open an existing file for appending and return its descriptor."""
        return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)

    def write(self, fd: int, data: bytes) -> int:
        """Append `data` and return the number of bytes written, which may be fewer."""
        return os.write(fd, data)

    def sync(self, fd: int) -> None:
        """Make a file's content and size durable with fdatasync."""
        os.fdatasync(fd)

    def truncate(self, fd: int, size: int) -> None:
        """Cut a file to `size` bytes."""
        os.ftruncate(fd, size)

    def close(self, fd: int) -> None:
        """Close a descriptor without syncing it."""
        os.close(fd)

    def replace(self, old: Path, new: Path) -> None:
        """Rename `old` to `new` atomically, overwriting `new`; durable after `sync_folder`."""
        os.replace(old, new)

    def remove(self, path: Path) -> None:
        """Delete a file. Raises FileNotFoundError if there is none."""
        os.unlink(path)

    def sync_folder(self, folder: Path) -> None:
        """Make the creations, renames and deletions in `folder` durable with fsync of the directory."""
        fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

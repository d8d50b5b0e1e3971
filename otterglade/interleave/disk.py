"""A disk in memory under the scheduler: what is synced is told from what is only written; steps may fail."""

from __future__ import annotations

import errno
from pathlib import Path

from .controlled import Stage


class _File:
    def __init__(self) -> None:
        self.data = bytearray()
        self.synced = 0
        self.kept = bytearray()
        """What a power cut leaves of it."""


class MemoryDisk:
    """`store.disk.Disk`. `failing`: the steps of which one may fail in a run, by choice."""

    def __init__(self, stage: Stage, failing: frozenset[str] = frozenset()) -> None:
        self._stage, self.failing = stage, failing
        self._files: dict[Path, _File] = {}
        self._kept: dict[Path, _File] = {}
        """The names that a power cut leaves."""
        self._open: dict[int, _File] = {}
        self._next = 3

    def after_a_cut(self) -> MemoryDisk:
        """The disk as the next start finds it if the power goes now: only what was synced."""
        left = MemoryDisk(self._stage)
        for path, file in self._kept.items():
            made = left._files[path] = left._kept[path] = _File()
            made.data += file.kept
            made.kept += file.kept
            made.synced = len(file.kept)
        return left

    def image(self) -> tuple[tuple[str, bytes], ...]:
        """What a power cut leaves, by name."""
        return tuple(sorted((str(x), bytes(y.kept)) for x, y in self._kept.items()))

    def _step(self, what: str, fd: int = -1) -> None:
        self._stage.touch(self, "disk", True)
        if fd >= 0 and fd not in self._open:
            raise OSError(errno.EBADF, f"{what} on a descriptor that is closed")
        run = self._stage.run
        if what in self.failing and run is not None and run.draw(2):
            raise OSError(errno.EIO, f"{what} fails")

    def names(self, folder: Path) -> list[str]:
        self._step("names")
        return sorted(x.name for x in self._files)

    def read(self, path: Path) -> bytes:
        self._step("read")
        return bytes(self._found(path).data)

    def _found(self, path: Path) -> _File:
        if path not in self._files:
            raise FileNotFoundError(path)
        return self._files[path]

    def create(self, path: Path) -> int:
        self._step("create")
        if path in self._files:
            raise FileExistsError(path)
        self._files[path] = _File()
        return self._descriptor(self._files[path])

    def open(self, path: Path) -> int:
        self._step("open")
        return self._descriptor(self._found(path))

    def _descriptor(self, file: _File) -> int:
        fd, self._next = self._next, self._next + 1
        self._open[fd] = file
        return fd

    def write(self, fd: int, data: bytes) -> int:
        self._step("write", fd)
        self._open[fd].data += data
        return len(data)

    def sync(self, fd: int) -> None:
        file = self._open.get(fd, _File())
        new, file.synced = file.data[file.synced :], len(file.data)
        try:
            self._step("sync", fd)
        except OSError:
            # The kernel has dropped the pages and calls them clean: no later sync brings them back.
            file.kept += bytes(len(new))
            raise
        file.kept += new

    def truncate(self, fd: int, size: int) -> None:
        self._step("truncate", fd)
        file = self._open[fd]
        del file.data[size:]
        file.synced = min(file.synced, size)
        del file.kept[size:]

    def close(self, fd: int) -> None:
        self._step("close", fd)
        del self._open[fd]

    def replace(self, old: Path, new: Path) -> None:
        self._step("replace")
        self._files[new] = self._found(old)
        del self._files[old]

    def remove(self, path: Path) -> None:
        self._step("remove")
        self._found(path)
        del self._files[path]

    def sync_folder(self, folder: Path) -> None:
        self._step("sync_folder")
        self._kept = dict(self._files)

    @property
    def open_files(self) -> int:
        return len(self._open)

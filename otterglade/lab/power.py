"""Power loss: what a gateway had not synced is gone. The layer under the real program that keeps count of it.

A process that is killed loses nothing: the kernel has its bytes. So the layer notes in a file beside each
log how many of its bytes are synced, before the sync is told; when the power goes, the lab cuts the logs to
that, with a torn rest of what was not. Files and names whose folder was not synced go with it. What the
program keeps without a sync (`carryover`, `spent`) is dropped or torn.

The same layer has a disk stand still, or the process end, at a sync: what the lab writes into `trouble`
beside the logs' folders is read before and after each.
"""

from __future__ import annotations

import os
import random
import signal
import time
from pathlib import Path

import msgspec

from ..store.disk import RealDisk

MARK = ".synced"


class Trouble(msgspec.Struct, frozen=True, kw_only=True):
    """What befalls the next syncs of a gateway's logs."""

    folder: str = ""
    """Of the log that it befalls; empty: of each."""
    until: float = 0.0
    """The machine's monotonic time up to which a sync stands still."""
    kill: str = ""
    """"before" or "after" the sync the process ends, as by kill -9; with it the trouble is over."""


TROUBLE = "trouble"


def command(state: Path, trouble: Trouble) -> None:
    """Have it befall the gateway with this state folder, in place of what did."""
    beside = state / (TROUBLE + ".to-be")
    beside.write_bytes(msgspec.json.encode(trouble))
    beside.replace(state / TROUBLE)


def _marked(path: Path) -> Path:
    """The file that notes how much of this one is synced."""
    return path.with_name(path.name + MARK)


class CountingDisk(RealDisk):
    """Notes what is synced. A mark is written after the sync and before it is told, so that it never says
    more."""

    def __init__(self) -> None:
        self._paths: dict[int, Path] = {}

    def create(self, path: Path) -> int:
        fd = super().create(path)
        self._paths[fd] = path
        self._mark(path, 0)
        return fd

    def open(self, path: Path) -> int:
        fd = super().open(path)
        self._paths[fd] = path
        return fd

    def sync(self, fd: int) -> None:
        path = self._paths[fd]
        trouble = self._trouble(path)
        if trouble.kill == "before":
            self._end(path)
        time.sleep(max(0.0, trouble.until - time.monotonic()))
        super().sync(fd)
        self._mark(path, os.fstat(fd).st_size)
        if trouble.kill == "after":
            self._end(path)

    @staticmethod
    def _trouble(path: Path) -> Trouble:
        try:
            found = msgspec.json.decode(path.parent.parent.joinpath(TROUBLE).read_bytes(), type=Trouble)
        except FileNotFoundError:
            return Trouble()
        return found if found.folder in ("", path.parent.name) else Trouble()

    @staticmethod
    def _end(path: Path) -> None:
        path.parent.parent.joinpath(TROUBLE).unlink(missing_ok=True)
        os.kill(os.getpid(), signal.SIGKILL)

    def close(self, fd: int) -> None:
        self._paths.pop(fd, None)
        super().close(fd)

    def replace(self, old: Path, new: Path) -> None:
        super().replace(old, new)
        _marked(old).replace(_marked(new))

    def remove(self, path: Path) -> None:
        super().remove(path)
        _marked(path).unlink(missing_ok=True)

    def names(self, folder: Path) -> list[str]:
        return [x for x in super().names(folder) if not x.endswith(MARK)]

    def _mark(self, path: Path, size: int) -> None:
        # In one write of fixed size: the process may be killed at any point, and the file is read after that.
        fd = os.open(_marked(path), os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            os.pwrite(fd, b"%016d\n" % size, 0)
        finally:
            os.close(fd)


def lose(state: Path, draw: random.Random) -> list[str]:
    """What a power loss leaves of a state folder whose process has ended; what was lost, in words."""
    told = []
    for log in sorted(x for x in state.rglob("*") if x.is_file() and not x.name.endswith(MARK)):
        mark = _marked(log)
        size = log.stat().st_size
        if mark.exists():
            synced = min(size, int(mark.read_text() or 0))
            kept = synced + (draw.randrange(size - synced + 1) if size > synced else 0)
            if kept < size:
                os.truncate(log, kept)
                told.append(f"{log.name}: {size - kept} of {size - synced} unsynced bytes")
                mark.write_text(f"{kept:016d}\n")  # what is left lies on the disk from here on
        elif log.name in ("carryover", "spent"):
            if draw.random() < 0.5:
                log.unlink()
                told.append(f"{log.name}: gone")
            elif log.name == "carryover" and size:
                os.truncate(log, draw.randrange(size))
                told.append(f"{log.name}: torn")
        elif log.suffix == ".new":
            log.unlink()
            told.append(f"{log.name}: gone")
    return told

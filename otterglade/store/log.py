"""An append-only log of records, with group commit, segments, and a snapshot that lets old segments go.

Sync policy: a record is told durable after its segment's fdatasync. One thread writes; what was handed in
while it synced goes out in one write and one sync. Files: `log-N` holds what came after snapshot `snap-N` or
after the end of `log-(N-1)`, whose length of good bytes stands in its head; `snap-N` stands for everything
before `log-N`.
"""

from __future__ import annotations

import contextlib
import errno
import queue
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from ..net.threads import Failure, spawn
from . import frames
from .disk import Disk, RealDisk

Done = Callable[[OSError | None], None]
"""Called on the log's thread once a record is durable, or with why it is not; after the log's end on the
thread that hands in."""


class DamagedError(Exception):
    """A log that can't be read whole though it was not cut at its end: an operator has to look."""


@dataclass(frozen=True, slots=True)
class Recovered:
    """What a log held when it was opened."""

    snapshot: tuple[bytes, ...]
    records: tuple[bytes, ...]
    torn: str = ""
    """What was cut off at the end, with file and place; empty: nothing."""


@dataclass(frozen=True, slots=True)
class _Append:
    record: bytes
    done: Done | None


@dataclass(frozen=True, slots=True)
class _Compact:
    snapshot: tuple[bytes, ...]
    done: Done | None


class _Stop:
    pass


def _number(name: str, prefix: str) -> int | None:
    rest = name.removeprefix(prefix)
    return int(rest) if rest != name and rest.isdigit() and len(rest) == 16 else None


class Log:
    """Open with `Log.open`; every method may be called from any thread."""

    def __init__(self, folder: Path, disk: Disk, segment: int, on_failure: Failure) -> None:
        self._folder, self._disk, self._segment, self._on_failure = folder, disk, segment, on_failure
        self._jobs: queue.SimpleQueue[_Append | _Compact | _Stop] = queue.SimpleQueue()
        self._fd = -1
        self._current = 0
        self._size = 0
        self._ended = threading.Event()
        self.syncs = 0
        self.appended = 0
        self.size = 0
        """Bytes of all segments and the snapshot."""

    @classmethod
    def open(
        cls, folder: Path, on_failure: Failure, *, segment: int = 4 << 20, disk: Disk | None = None
    ) -> tuple[Log, Recovered]:
        """Read what is there, cut a torn tail, and go on after it.

        `segment`: bytes after which a new file begins. Raises DamagedError, OSError.
        """
        log = cls(folder, disk or RealDisk(), segment, on_failure)
        recovered = log._recover()
        spawn("log", log._work, on_failure)
        return log, recovered

    def append(self, record: bytes, done: Done | None = None) -> None:
        """Write a record; `done` is told when it is durable. Raises ValueError over the bound of a record."""
        if len(record) > frames.MOST:
            raise ValueError(f"record of {len(record)} bytes; at most {frames.MOST}")
        self._hand_in(_Append(record, done))

    def compact(self, snapshot: Sequence[bytes], done: Done | None = None) -> None:
        """Let `snapshot` stand for all that was appended before this call; older files go."""
        self._hand_in(_Compact(tuple(snapshot), done))

    def _hand_in(self, job: _Append | _Compact) -> None:
        self._jobs.put(job)
        if self._ended.is_set():  # looked at after the put: this thread sees the end, or the log's the job
            self._refuse()

    def _refuse(self) -> None:
        """Tell those that came after the end that nothing is kept: they would wait for ever."""
        with contextlib.suppress(queue.Empty):
            while True:
                job = self._jobs.get_nowait()
                if not isinstance(job, _Stop):
                    self._tell([job.done], OSError(errno.ESHUTDOWN, "the log is closed"))

    def close(self) -> None:
        """Write what was handed in, and end: see `closed`."""
        self._jobs.put(_Stop())

    def closed(self, limit: float) -> bool:
        """Wait, at most `limit` seconds, until all is written: the folder is this log's until then, and who
        opens it before finds half of a record, or has one written into what it has read."""
        return self._ended.wait(limit)

    # Recovery

    def _path(self, prefix: str, number: int) -> Path:
        return self._folder / f"{prefix}{number:016d}"

    def _recover(self) -> Recovered:
        names = self._disk.names(self._folder)
        logs = sorted(n for x in names if (n := _number(x, "log-")) is not None)
        snaps = sorted(n for x in names if (n := _number(x, "snap-")) is not None)
        for name in names:
            if name.endswith(".new"):  # a snapshot that a kill left unfinished: never in force
                self._disk.remove(self._folder / name)
        base = snaps[-1] if snaps else (logs[0] if logs else 0)
        snapshot: tuple[bytes, ...] = ()
        if snaps:
            found = self._scan("snap-", base, frames.SNAP_MAGIC)
            if not found.whole:
                raise DamagedError(f"{self._path('snap-', base)}: damaged at byte {found.good}")
            snapshot = found.records
        wanted = [n for n in logs if n >= base]
        if wanted and wanted != list(range(wanted[0], wanted[0] + len(wanted))):
            raise DamagedError(f"{self._folder}: segments {wanted}: one is missing in between")
        if snaps and (not wanted or wanted[0] != base):
            raise DamagedError(f"{self._folder}: the segment after snapshot {base} is missing")
        if not snaps and wanted and wanted[0] != 0:
            raise DamagedError(f"{self._folder}: segments before {wanted[0]} and their snapshot are missing")
        found_logs = {n: self._scan("log-", n, frames.LOG_MAGIC) for n in wanted}
        if wanted and found_logs[wanted[-1]].good == 0:
            # Killed while it was made: nothing was ever told durable there.
            self._disk.remove(self._path("log-", wanted.pop()))
        records: list[bytes] = []
        torn = ""
        self.size = sum(len(x) + frames.HEAD.size for x in snapshot)
        for number in wanted:
            found = found_logs[number]
            if number != wanted[-1]:
                found = self._up_to(number, found_logs[number + 1].previous)
            path = self._path("log-", number)
            if found.after is not None:
                raise DamagedError(
                    f"{path}: damaged at byte {found.good} of {found.size}; a whole record follows at byte"
                    f" {found.after}"
                )
            if not found.whole:
                torn = f"{path}: cut at byte {found.good} of {found.size}"
            records += found.records
            self.size += found.good
        if wanted:
            self._reopen(wanted[-1], found_logs[wanted[-1]])
        else:
            self._begin(base)
        for number in [n for n in logs if n < base]:
            self._disk.remove(self._path("log-", number))
        for number in snaps[:-1]:
            self._disk.remove(self._path("snap-", number))
        return Recovered(snapshot, tuple(records), torn)

    def _scan(self, prefix: str, number: int, magic: bytes) -> frames.Scan:
        path = self._path(prefix, number)
        try:
            return frames.scan(self._disk.read(path), magic, number)
        except frames.FrameError as error:
            raise DamagedError(f"{path}: {error}") from error

    def _up_to(self, number: int, good: int) -> frames.Scan:
        """A segment that another follows: whole up to what that one says, and nothing behind counts."""
        path = self._path("log-", number)
        data = self._disk.read(path)
        found = frames.scan(data[:good], frames.LOG_MAGIC, number)
        if len(data) < good or not found.whole:
            raise DamagedError(
                f"{path}: damaged at byte {found.good}; the next segment has {good} good bytes"
            )
        return found

    def _reopen(self, number: int, found: frames.Scan) -> None:
        self._fd, self._current = self._disk.open(self._path("log-", number)), number
        self._size = found.good
        if not found.whole:
            self._disk.truncate(self._fd, found.good)
            self._disk.sync(self._fd)

    # Writing, on the log's own thread

    def _work(self) -> None:
        while True:
            job = self._jobs.get()
            batch: list[_Append] = []
            while isinstance(job, _Append):
                batch.append(job)
                if len(batch) >= 512 or self._jobs.empty():
                    break
                job = self._jobs.get()
            if batch:
                self._tell([x.done for x in batch], self._try(lambda b=batch: self._write(b)))  # type: ignore[misc]
            if isinstance(job, _Compact):
                snapshot = job.snapshot
                self._tell([job.done], self._try(lambda s=snapshot: self._snapshot(s)))  # type: ignore[misc]
            elif isinstance(job, _Stop):
                if self._fd >= 0:
                    self._disk.close(self._fd)
                self._ended.set()
                self._refuse()
                return

    @staticmethod
    def _try(work: Callable[[], None]) -> OSError | None:
        try:
            work()
        except OSError as error:
            return error
        return None

    def _tell(self, told: Sequence[Done | None], error: OSError | None) -> None:
        for done in told:
            if done is not None:
                try:
                    done(error)
                except Exception as failure:
                    self._on_failure("log", failure)

    def _begin(self, number: int) -> None:
        """Start a segment; where that fails there is none, and the next write tries again."""
        path = self._path("log-", number)
        with contextlib.suppress(FileNotFoundError):
            self._disk.remove(path)
        fd = self._disk.create(path)
        try:
            head = frames.file_head(frames.LOG_MAGIC, number, self._size)
            self._all(fd, head)
            self._disk.sync(fd)
            self._disk.sync_folder(self._folder)
        except OSError:
            self._disk.close(fd)
            with contextlib.suppress(OSError):  # an empty beginning is passed over at the next start
                self._disk.remove(path)
            raise
        self._fd, self._current, self._size = fd, number, len(head)
        self.size += len(head)

    def _all(self, fd: int, data: bytes) -> None:
        sent = 0
        while sent < len(data):
            count = self._disk.write(fd, data[sent:])
            if count <= 0:
                raise OSError(errno.EIO, "nothing written")
            sent += count

    def _write(self, batch: Sequence[_Append]) -> None:
        if self._fd < 0:
            self._begin(self._current)
        elif self._size >= self._segment:
            old = self._fd
            self._begin(self._current + 1)
            self._disk.close(old)
        data = b"".join(frames.frame(x.record) for x in batch)
        try:
            self._all(self._fd, data)
            self._disk.sync(self._fd)
        except OSError:
            self._abandon()
            raise
        self._size += len(data)
        self.size += len(data)
        self.syncs += 1
        self.appended += len(batch)

    def _abandon(self) -> None:
        """A write or sync has failed: the file is not used again.

        After a failed sync the kernel may have dropped the pages: trying again would report success for bytes
        that are not there. The next segment's head says how far this one is good; until there is one, a
        record told as failed may yet be read at a start, never the other way.
        """
        fd, self._fd = self._fd, -1
        self._current += 1
        with contextlib.suppress(OSError):  # the error that led here is the one that is told
            self._disk.close(fd)

    def _snapshot(self, snapshot: Sequence[bytes]) -> None:
        if self._fd < 0:
            self._begin(self._current)
        number = self._current + 1
        path, beside = self._path("snap-", number), self._path("snap-", number).with_suffix(".new")
        with contextlib.suppress(FileNotFoundError):
            self._disk.remove(beside)
        data = b"".join([frames.file_head(frames.SNAP_MAGIC, number), *(frames.frame(x) for x in snapshot)])
        fd = self._disk.create(beside)
        try:
            self._all(fd, data)
            self._disk.sync(fd)
        finally:
            self._disk.close(fd)
        old = self._fd
        self._begin(number)  # before the snapshot counts: a snapshot without its segment would be damage
        self._disk.close(old)
        self._disk.replace(beside, path)
        self._disk.sync_folder(self._folder)
        for name in self._disk.names(self._folder):
            stale = [n for p in ("log-", "snap-") if (n := _number(name, p)) is not None]
            if stale and stale[0] < number:
                self._disk.remove(self._folder / name)
        self.size = len(data) + self._size

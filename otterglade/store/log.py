"""An append-only log of records with group commit, segments, and compaction into a snapshot.

Sync policy: a record is reported durable after the fdatasync of its segment. One thread writes; records that
are queued while it syncs go out in one write and one sync. Files: segment `log-N` holds the records after
snapshot `snap-N` or after `log-(N-1)`, whose number of valid bytes is in the header of `log-N`; `snap-N`
replaces everything before `log-N`.
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

DurabilityCallback = Callable[[OSError | None], None]
"""Called with None once a record is durable, else with the error that prevented it.

Runs on the log's thread or, after the log has closed, on the thread that appends.
"""


class DamagedError(Exception):
    """The log has damage other than a torn tail; an operator has to intervene."""


@dataclass(frozen=True, slots=True)
class Recovered:
    """The contents of a log when it was opened."""

    snapshot: tuple[bytes, ...]
    records: tuple[bytes, ...]
    torn: str = ""
    """File and offset where a torn tail was cut off; empty if there was none."""


@dataclass(frozen=True, slots=True)
class _Append:
    record: bytes
    done: DurabilityCallback | None


@dataclass(frozen=True, slots=True)
class _Compact:
    snapshot: tuple[bytes, ...]
    done: DurabilityCallback | None


class _Stop:
    pass


def _file_number(name: str, prefix: str) -> int | None:
    rest = name.removeprefix(prefix)
    return int(rest) if rest != name and rest.isdigit() and len(rest) == 16 else None


class Log:
    """An append-only log, opened with `Log.open`. Thread-safe."""

    def __init__(self, folder: Path, disk: Disk, segment: int, on_failure: Failure) -> None:
        self._folder, self._disk, self._segment_bytes, self._on_failure = folder, disk, segment, on_failure
        self._queue: queue.SimpleQueue[_Append | _Compact | _Stop] = queue.SimpleQueue()
        self._fd = -1
        self._segment_number = 0
        self._current_bytes = 0
        self._closed = threading.Event()
        self.syncs = 0
        """Batches written and synced since the log was opened."""
        self.appended = 0
        """Records made durable since the log was opened."""
        self.size = 0
        """Bytes of all segments and of the snapshot."""

    @classmethod
    def open(
        cls, folder: Path, on_failure: Failure, *, segment: int = 4 << 20, disk: Disk | None = None
    ) -> tuple[Log, Recovered]:
        """Recover the records in `folder`, cut off a torn tail, and start the writer thread.

        `segment`: size in bytes after which a new segment starts. Raises DamagedError, OSError.
        """
        log = cls(folder, disk or RealDisk(), segment, on_failure)
        recovered = log._recover()
        spawn("log", log._run_writer, on_failure)
        return log, recovered

    def append(self, record: bytes, done: DurabilityCallback | None = None) -> None:
        """Queue a record; `done` is called when it is durable. Raises ValueError over MAX_RECORD_BYTES."""
        if len(record) > frames.MAX_RECORD_BYTES:
            raise ValueError(f"record of {len(record)} bytes; at most {frames.MAX_RECORD_BYTES}")
        self._enqueue(_Append(record, done))

    def compact(self, snapshot: Sequence[bytes], done: DurabilityCallback | None = None) -> None:
        """Queue a snapshot that replaces all records appended before this call; older files are deleted."""
        self._enqueue(_Compact(tuple(snapshot), done))

    def _enqueue(self, job: _Append | _Compact) -> None:
        self._queue.put(job)
        if self._closed.is_set():  # checked after the put: either this thread or the writer sees the job
            self._reject_queued()

    def _reject_queued(self) -> None:
        """Fail the jobs queued after the log closed; their callers would wait forever."""
        with contextlib.suppress(queue.Empty):
            while True:
                job = self._queue.get_nowait()
                if not isinstance(job, _Stop):
                    self._notify([job.done], OSError(errno.ESHUTDOWN, "the log is closed"))

    def close(self) -> None:
        """Write the queued jobs, then close; `wait_closed` waits for the end."""
        self._queue.put(_Stop())

    def wait_closed(self, limit: float) -> bool:
        """Wait at most `limit` seconds until all queued jobs are written; return whether they are.

        Until then the folder must not be opened again: a reader would find a partial record, or this log
        would write into files that the reader has already scanned.
        """
        return self._closed.wait(limit)

    # Recovery

    def _path(self, prefix: str, number: int) -> Path:
        return self._folder / f"{prefix}{number:016d}"

    def _recover(self) -> Recovered:
        names = self._disk.names(self._folder)
        logs = sorted(n for x in names if (n := _file_number(x, "log-")) is not None)
        snaps = sorted(n for x in names if (n := _file_number(x, "snap-")) is not None)
        for name in names:
            if name.endswith(".new"):  # a snapshot that a crash left unfinished
                self._disk.remove(self._folder / name)
        base = snaps[-1] if snaps else (logs[0] if logs else 0)
        snapshot: tuple[bytes, ...] = ()
        if snaps:
            found = self._scan("snap-", base, frames.SNAP_MAGIC)
            if not found.whole:
                raise DamagedError(f"{self._path('snap-', base)}: damaged at byte {found.valid_bytes}")
            snapshot = found.records
        wanted = [n for n in logs if n >= base]
        if wanted and wanted != list(range(wanted[0], wanted[0] + len(wanted))):
            raise DamagedError(f"{self._folder}: segments {wanted}: a segment is missing in between")
        if snaps and (not wanted or wanted[0] != base):
            raise DamagedError(f"{self._folder}: the segment after snapshot {base} is missing")
        if not snaps and wanted and wanted[0] != 0:
            raise DamagedError(f"{self._folder}: segments before {wanted[0]} and their snapshot are missing")
        found_logs = {n: self._scan("log-", n, frames.LOG_MAGIC) for n in wanted}
        if wanted and found_logs[wanted[-1]].valid_bytes == 0:
            # Crashed while the segment was created: it has no record that was reported durable.
            self._disk.remove(self._path("log-", wanted.pop()))
        records: list[bytes] = []
        torn = ""
        self.size = sum(len(x) + frames.FRAME_HEADER.size for x in snapshot)
        for number in wanted:
            found = found_logs[number]
            if number != wanted[-1]:
                found = self._scan_sealed(number, found_logs[number + 1].previous)
            path = self._path("log-", number)
            if found.intact_after_damage is not None:
                raise DamagedError(
                    f"{path}: damaged at byte {found.valid_bytes} of {found.size}; an intact record follows"
                    f" at byte {found.intact_after_damage}"
                )
            if not found.whole:
                torn = f"{path}: cut at byte {found.valid_bytes} of {found.size}"
            records += found.records
            self.size += found.valid_bytes
        if wanted:
            self._reopen(wanted[-1], found_logs[wanted[-1]])
        else:
            self._start_segment(base)
        for number in [n for n in logs if n < base]:
            self._disk.remove(self._path("log-", number))
        for number in snaps[:-1]:
            self._disk.remove(self._path("snap-", number))
        return Recovered(snapshot, tuple(records), torn)

    def _scan(self, prefix: str, number: int, magic: bytes) -> frames.ScanResult:
        path = self._path(prefix, number)
        try:
            return frames.scan(self._disk.read(path), magic, number)
        except frames.FrameError as error:
            raise DamagedError(f"{path}: {error}") from error

    def _scan_sealed(self, number: int, valid_bytes: int) -> frames.ScanResult:
        """Scan a segment that has a successor: intact up to the `valid_bytes` in that one's header.

        Anything after them is ignored. Raises DamagedError.
        """
        path = self._path("log-", number)
        data = self._disk.read(path)
        found = frames.scan(data[:valid_bytes], frames.LOG_MAGIC, number)
        if len(data) < valid_bytes or not found.whole:
            raise DamagedError(
                f"{path}: damaged at byte {found.valid_bytes}; the next segment's header gives"
                f" {valid_bytes} valid bytes"
            )
        return found

    def _reopen(self, number: int, found: frames.ScanResult) -> None:
        self._fd, self._segment_number = self._disk.open(self._path("log-", number)), number
        self._current_bytes = found.valid_bytes
        if not found.whole:
            self._disk.truncate(self._fd, found.valid_bytes)
            self._disk.sync(self._fd)

    # Writing, on the log's thread

    def _run_writer(self) -> None:
        while True:
            job = self._queue.get()
            batch: list[_Append] = []
            while isinstance(job, _Append):
                batch.append(job)
                if len(batch) >= 512 or self._queue.empty():
                    break
                job = self._queue.get()
            if batch:
                self._notify([x.done for x in batch], self._catch_error(lambda b=batch: self._write_batch(b)))  # type: ignore[misc]
            if isinstance(job, _Compact):
                snapshot = job.snapshot
                self._notify([job.done], self._catch_error(lambda s=snapshot: self._write_snapshot(s)))  # type: ignore[misc]
            elif isinstance(job, _Stop):
                if self._fd >= 0:
                    self._disk.close(self._fd)
                self._closed.set()
                self._reject_queued()
                return

    @staticmethod
    def _catch_error(operation: Callable[[], None]) -> OSError | None:
        try:
            operation()
        except OSError as error:
            return error
        return None

    def _notify(self, callbacks: Sequence[DurabilityCallback | None], error: OSError | None) -> None:
        for done in callbacks:
            if done is not None:
                try:
                    done(error)
                except Exception as failure:
                    self._on_failure("log", failure)

    def _start_segment(self, number: int) -> None:
        """Create a segment. If that raises, there is none, and the next write tries again."""
        path = self._path("log-", number)
        with contextlib.suppress(FileNotFoundError):
            self._disk.remove(path)
        fd = self._disk.create(path)
        try:
            header = frames.file_header(frames.LOG_MAGIC, number, self._current_bytes)
            self._write_all(fd, header)
            self._disk.sync(fd)
            self._disk.sync_folder(self._folder)
        except OSError:
            self._disk.close(fd)
            with contextlib.suppress(OSError):  # recovery skips an empty segment
                self._disk.remove(path)
            raise
        self._fd, self._segment_number, self._current_bytes = fd, number, len(header)
        self.size += len(header)

    def _write_all(self, fd: int, data: bytes) -> None:
        written = 0
        while written < len(data):
            count = self._disk.write(fd, data[written:])
            if count <= 0:
                raise OSError(errno.EIO, "write returned no progress")
            written += count

    def _write_batch(self, batch: Sequence[_Append]) -> None:
        if self._fd < 0:
            self._start_segment(self._segment_number)
        elif self._current_bytes >= self._segment_bytes:
            old = self._fd
            self._start_segment(self._segment_number + 1)
            self._disk.close(old)
        data = b"".join(frames.frame(x.record) for x in batch)
        try:
            self._write_all(self._fd, data)
            self._disk.sync(self._fd)
        except OSError:
            self._abandon_segment()
            raise
        self._current_bytes += len(data)
        self.size += len(data)
        self.syncs += 1
        self.appended += len(batch)

    def _abandon_segment(self) -> None:
        """Stop using the segment after a failed write or sync.

        After a failed sync the kernel may have dropped the dirty pages, so that a retry would report success
        for lost bytes. The next segment's header gives this one's number of valid bytes; until that segment
        exists, recovery may return a record that was reported as failed, but never the reverse.
        """
        fd, self._fd = self._fd, -1
        self._segment_number += 1
        with contextlib.suppress(OSError):  # report the error that led here
            self._disk.close(fd)

    def _write_snapshot(self, snapshot: Sequence[bytes]) -> None:
        if self._fd < 0:
            self._start_segment(self._segment_number)
        number = self._segment_number + 1
        path, temporary = self._path("snap-", number), self._path("snap-", number).with_suffix(".new")
        with contextlib.suppress(FileNotFoundError):
            self._disk.remove(temporary)
        data = b"".join([frames.file_header(frames.SNAP_MAGIC, number), *(frames.frame(x) for x in snapshot)])
        fd = self._disk.create(temporary)
        try:
            self._write_all(fd, data)
            self._disk.sync(fd)
        finally:
            self._disk.close(fd)
        old = self._fd
        self._start_segment(number)  # before the rename: a snapshot without its segment counts as damage
        self._disk.close(old)
        self._disk.replace(temporary, path)
        self._disk.sync_folder(self._folder)
        for name in self._disk.names(self._folder):
            stale = [n for p in ("log-", "snap-") if (n := _file_number(name, p)) is not None]
            if stale and stale[0] < number:
                self._disk.remove(self._folder / name)
        self.size = len(data) + self._current_bytes

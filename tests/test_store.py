"""The log: each step killed, each operation failing, each kind of damage; what was told durable is there."""

from __future__ import annotations

import errno
import os
import threading
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from otterglade.store import frames
from otterglade.store.disk import RealDisk
from otterglade.store.log import DamagedError, Log, Recovered
from otterglade.store.ring import RECORD, Ring

ROOT = Path("/log")
CHANGING = ("write", "sync", "create", "replace", "truncate")


class KilledError(BaseException):
    """The process ends at this operation."""


class File:
    def __init__(self) -> None:
        self.data = bytearray()
        self.synced = 0


class FaultyDisk:
    """A disk in memory: what was not synced can be lost, and any operation can fail or be the last."""

    def __init__(self) -> None:
        self.files: dict[Path, File] = {}
        self.open_files: dict[int, File] = {}
        self.count = 0
        self.fail: Callable[[int, str], OSError | None] = lambda n, what: None
        self.kill_at = -1
        self.half = 0.5  # of a write that is killed

    def _step(self, what: str) -> None:
        n, self.count = self.count, self.count + 1
        if n == self.kill_at:
            raise KilledError
        error = self.fail(n, what)
        if error is not None:
            raise error

    def names(self, folder: Path) -> list[str]:
        self._step("names")
        return sorted(x.name for x in self.files)

    def read(self, path: Path) -> bytes:
        self._step("read")
        if path not in self.files:
            raise FileNotFoundError(path)
        return bytes(self.files[path].data)

    def create(self, path: Path) -> int:
        self._step("create")
        if path in self.files:
            raise FileExistsError(path)
        self.files[path] = File()
        return self.open(path)

    def open(self, path: Path) -> int:
        fd = len(self.open_files) + 3
        self.open_files[fd] = self.files[path]
        return fd

    def write(self, fd: int, data: bytes) -> int:
        file = self.open_files[fd]
        try:
            self._step("write")
        except (KilledError, OSError):
            file.data += data[: int(len(data) * self.half)]  # some of it may have gone out
            raise
        most = max(1, len(data) * 2 // 3)  # short writes are legal
        file.data += data[:most]
        return most

    def sync(self, fd: int) -> None:
        self._step("sync")
        self.open_files[fd].synced = len(self.open_files[fd].data)

    def truncate(self, fd: int, size: int) -> None:
        self._step("truncate")
        del self.open_files[fd].data[size:]
        self.open_files[fd].synced = min(size, self.open_files[fd].synced)

    def close(self, fd: int) -> None:
        self._step("close")

    def replace(self, old: Path, new: Path) -> None:
        self._step("replace")
        self.files[new] = self.files.pop(old)

    def remove(self, path: Path) -> None:
        self._step("remove")
        if path not in self.files:
            raise FileNotFoundError(path)
        del self.files[path]

    def sync_folder(self, folder: Path) -> None:
        self._step("sync_folder")

    def after_kill(self, kept: float) -> FaultyDisk:
        """What a new start finds: of what was not synced, this share from the front."""
        disk = FaultyDisk()
        for path, file in self.files.items():
            new = disk.files[path] = File()
            unsynced = len(file.data) - file.synced
            new.data = file.data[: file.synced + int(unsynced * kept)]
            new.synced = len(new.data)
        return disk


class Driver:
    """Runs a log's jobs on this thread, so that a kill ends just there."""

    def __init__(self, disk: FaultyDisk, segment: int = 200) -> None:
        self.log = Log(ROOT, disk, segment, lambda name, error: None)
        self.recovered: Recovered = self.log._recover()
        self.told: dict[bytes, OSError | None] = {}

    def do(self) -> None:
        self.log.close()
        self.log._work()  # its close leaves the descriptor usable here, so that the next call goes on
        self.log._ended.clear()

    def append(self, *records: bytes) -> None:
        for record in records:
            self.log.append(record, lambda error, r=record: self.told.__setitem__(r, error))  # type: ignore[misc]
        self.do()


def story(driver: Driver) -> None:
    """Appends alone and together, segments, snapshots."""
    driver.append(b"a1")
    driver.append(b"a2", b"a3", b"a4" * 40)
    driver.append(b"a5" * 60)
    driver.append(b"a6" * 10)
    driver.log.compact([b"snap of six"], lambda error: driver.told.__setitem__(b"SNAP", error))
    driver.do()
    driver.append(b"b1", b"b2")
    driver.append(b"b3" * 90)
    driver.append(b"b4")


ORDER = [b"a1", b"a2", b"a3", b"a4" * 40, b"a5" * 60, b"a6" * 10, b"b1", b"b2", b"b3" * 90, b"b4"]


def check(recovered: Recovered, told: dict[bytes, OSError | None]) -> None:
    """Whatever happened: a beginning of the story in order, with all that was told durable."""
    if recovered.snapshot:
        assert recovered.snapshot == (b"snap of six",)
        seen = [*ORDER[:6], *recovered.records]
    else:
        seen = [*recovered.records]
    durable = [x for x in ORDER if x in told and told[x] is None]
    assert [x for x in seen if x in durable] == durable
    assert [x for x in ORDER if x in seen] == seen, "order and no record twice"


def operations() -> int:
    disk = FaultyDisk()
    story(Driver(disk))
    return disk.count


@pytest.mark.parametrize("kept", [0.0, 0.4, 1.0])
def test_a_kill_at_every_operation_loses_nothing_that_was_told_durable(kept: float) -> None:
    total = operations()
    assert total > 50
    for at in range(total):
        disk = FaultyDisk()
        disk.kill_at = at
        told: dict[bytes, OSError | None] = {}
        try:
            driver = Driver(disk)
            told = driver.told
            story(driver)
        except KilledError:
            pass
        after = disk.after_kill(kept)
        again = Driver(after)
        check(again.recovered, told)
        again.append(b"and on")
        assert Driver(after.after_kill(0.0)).recovered.records[-1] == b"and on"


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO, errno.EROFS])
@pytest.mark.parametrize("lasting", [False, True])
def test_any_operation_may_fail_and_what_is_told_is_true(code: int, lasting: bool) -> None:
    for at in range(4, operations()):
        disk = FaultyDisk()
        last = at + 40 if lasting else at

        def fail(n: int, what: str, first: int = at, last: int = last) -> OSError | None:
            return OSError(code, "injected") if what in CHANGING and first <= n <= last else None

        disk.fail = fail
        try:
            driver = Driver(disk)
        except OSError:
            continue  # the very start failed: nothing was told
        story(driver)
        disk.fail = lambda n, what: None
        driver.append(b"after all")  # the fault is over: the log goes on by itself
        assert driver.told[b"after all"] is None
        recovered = Driver(disk.after_kill(0.0)).recovered
        assert recovered.records[-1] == b"after all"
        seen = (ORDER[:6] if recovered.snapshot else []) + [*recovered.records[:-1]]
        for record, error in driver.told.items():
            if error is None and record in ORDER:
                assert record in seen


def built(*records: bytes) -> FaultyDisk:
    disk = FaultyDisk()
    driver = Driver(disk, segment=1 << 20)
    driver.append(*records)
    return disk


FIRST = ROOT / f"log-{0:016d}"


def test_what_was_told_as_failed_is_not_read_once_a_later_segment_says_so() -> None:
    """Written whole, its sync failed: the segment is given up, and its end is no damage and no record."""
    disk = FaultyDisk()
    driver = Driver(disk, segment=1 << 20)
    driver.append(b"good")
    syncs = [0]

    def once(n: int, what: str) -> OSError | None:
        syncs[0] += what == "sync"
        return OSError(errno.EIO, "sync") if what == "sync" and syncs[0] == 1 else None

    disk.fail = once
    driver.append(b"failed")
    driver.append(b"later")
    assert (driver.told[b"failed"] is None, driver.told[b"later"]) == (False, None)
    found = Driver(disk.after_kill(1.0), segment=1 << 20).recovered
    assert found.records == (b"good", b"later")
    assert not found.torn


def test_a_torn_tail_is_cut_off_and_told() -> None:
    disk = built(b"one", b"two", b"three")
    whole = bytes(disk.files[FIRST].data)
    ends = [frames.FILE_HEAD.size + len(frames.frame(b"one")) * n for n in (1, 2)]
    for size in range(frames.FILE_HEAD.size + 1, len(whole)):
        disk.files[FIRST].data = bytearray(whole[:size])
        recovered = Driver(disk.after_kill(1.0)).recovered
        assert [*recovered.records] == [b"one", b"two", b"three"][: len(recovered.records)]
        assert bool(recovered.torn) == (size not in ends)
        assert "cut at byte" in recovered.torn or not recovered.torn


def test_a_bit_flipped_anywhere_is_found() -> None:
    records = [b"first record", b"second record", b"third record"]
    disk = built(*records)
    whole = bytes(disk.files[FIRST].data)
    for bit in range(len(whole) * 8):
        data = bytearray(whole)
        data[bit // 8] ^= 1 << bit % 8
        disk.files[FIRST].data = data
        try:
            recovered = Driver(disk.after_kill(1.0)).recovered
        except DamagedError as error:
            assert str(FIRST) in str(error)
            continue
        # Only the last record can be taken for a torn tail.
        assert recovered.torn
        assert [*recovered.records] == records[:2]


def test_foreign_renamed_missing_and_doubled_files_are_told_and_not_used() -> None:
    for harm in ("foreign", "renamed", "missing", "doubled", "snapshot"):
        disk = FaultyDisk()
        driver = Driver(disk)
        story(driver)
        files = sorted(x for x in disk.files if x.name.startswith("log-"))
        snap = next(x for x in disk.files if x.name.startswith("snap-"))
        if harm == "foreign":
            disk.files[files[0]].data = bytearray(b"#!/bin/sh\necho this is somebody else's file\n")
        elif harm == "renamed":
            disk.files[ROOT / f"log-{99:016d}"] = disk.files.pop(files[-1])
        elif harm == "missing":
            del disk.files[files[0]]
        elif harm == "doubled":
            last = int(files[-1].name[4:])
            disk.files[ROOT / f"log-{last + 1:016d}"] = disk.files[files[-1]]
        else:
            disk.files[snap].data[-1] ^= 1
        with pytest.raises(DamagedError, match="/log"):
            Driver(disk.after_kill(1.0))


def test_old_segments_go_and_the_size_stays_bounded() -> None:
    disk = FaultyDisk()
    driver = Driver(disk, segment=2000)
    for n in range(300):
        driver.append(b"record %d" % n)
        if n % 50 == 49:
            driver.log.compact([b"so far %d" % n])
            driver.do()
    assert driver.log.size < 4000
    assert sum(len(x.data) for x in disk.files.values()) < 4000
    recovered = Driver(disk.after_kill(0.0)).recovered
    assert recovered.snapshot == (b"so far 299",)


def test_records_from_many_threads_share_syncs_and_all_are_there(tmp_path: Path) -> None:
    log, recovered = Log.open(tmp_path, lambda name, error: None)
    assert recovered == Recovered((), ())
    done = threading.Semaphore(0)
    errors: list[OSError | None] = []

    def told(error: OSError | None) -> None:
        errors.append(error)
        done.release()

    def work(n: int) -> None:
        for m in range(50):
            log.append(b"%d-%d" % (n, m), told)

    threads = [threading.Thread(target=work, args=(n,)) for n in range(8)]
    for thread in threads:
        thread.start()
    for _ in range(400):
        assert done.acquire(timeout=20.0)
    assert errors == [None] * 400
    assert log.syncs < 400
    log.close()
    _, recovered = Log.open(tmp_path, lambda name, error: None)
    assert sorted(recovered.records) == sorted(b"%d-%d" % (n, m) for n in range(8) for m in range(50))


def test_a_record_over_the_bound_is_refused_before_it_is_handed_in(tmp_path: Path) -> None:
    log, _ = Log.open(tmp_path, lambda name, error: None)
    with pytest.raises(ValueError, match="at most"):
        log.append(b"x" * (frames.MOST + 1))
    log.close()


@settings(max_examples=150, deadline=None)
@given(st.lists(st.binary(max_size=50), max_size=8), st.binary(max_size=80))
def test_what_follows_a_log_at_random_is_cut_off_or_told(records: list[bytes], rest: bytes) -> None:
    data = frames.file_head(frames.LOG_MAGIC, 0) + b"".join(frames.frame(x) for x in records)
    found = frames.scan(data + rest, frames.LOG_MAGIC, 0)
    assert [*found.records[: len(records)]] == records
    assert found.whole or found.good >= len(data)


def test_a_ring_keeps_the_last_records_by_number(tmp_path: Path) -> None:
    ring = Ring(tmp_path / "ring", slots=8)
    assert ring.found == []
    for number in range(1, 12):
        ring.put(number, number / 2)
    again = Ring(tmp_path / "ring", slots=8)  # as after a kill: the first was never closed
    assert again.found == [(x, x / 2) for x in range(4, 12)]
    again.put(12, 6.0)
    assert Ring(tmp_path / "ring", slots=8).found[-1] == (12, 6.0)
    # A ring of another size has other places: what stands elsewhere is none of its own records.
    assert [x for x, _ in Ring(tmp_path / "ring", slots=3).found] == []


def test_a_record_of_a_ring_cut_short_or_damaged_counts_as_not_written(tmp_path: Path) -> None:
    path = tmp_path / "ring"
    ring = Ring(path, slots=4)
    ring.put(1, 1.0)
    ring.put(2, 2.0)
    whole = path.read_bytes()
    for byte in range(2 * RECORD.size, 3 * RECORD.size):
        for bit in range(8):
            path.write_bytes(whole[:byte] + bytes([whole[byte] ^ 1 << bit]) + whole[byte + 1 :])
            assert Ring(path, slots=4).found == [(1, 1.0)]
    path.write_bytes(whole[:30])  # cut: it has its size again when it is opened
    assert Ring(path, slots=4).found == []


def test_a_ring_without_room_on_the_disk_is_told_when_it_is_opened(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def full(fd: int, offset: int, size: int) -> None:
        raise OSError(errno.ENOSPC, "no space")

    monkeypatch.setattr(os, "posix_fallocate", full)
    with pytest.raises(OSError, match="no space"):
        Ring(tmp_path / "ring")


def test_the_real_disk_asks_the_kernel_to_sync() -> None:
    """Only a power cut would show that it does not: so the descriptor is one that can't be synced."""
    read, write = os.pipe()
    try:
        with pytest.raises(OSError) as error:
            RealDisk().sync(write)
        assert error.value.errno == errno.EINVAL
    finally:
        os.close(read)
        os.close(write)


def test_the_real_disk_syncs_a_folder_by_its_own_descriptor(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    synced = []
    monkeypatch.setattr(os, "fsync", lambda fd: synced.append(os.fstat(fd).st_ino))
    RealDisk().sync_folder(tmp_path)
    assert synced == [tmp_path.stat().st_ino]

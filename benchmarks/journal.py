"""What the attempts' log costs: set-ups a second with it against without, recovery time and size by records.

python -m benchmarks.journal [--quick]
"""

from __future__ import annotations

import statistics
import sys
import tempfile
import threading
import time
from pathlib import Path

from otterglade.core.attempts import AttemptRecord, AttemptState, AttemptTable, encode
from otterglade.store.log import Log


def failed(name: str, error: BaseException) -> None:
    raise SystemExit(f"{name}: {error}")


def commits(folder: Path, threads: int, seconds: float) -> tuple[float, float, float]:
    """Durable records a second, records a sync, and median seconds each, with so many at once."""
    folder.mkdir()
    log, _ = Log.open(folder, failed)
    stop = time.monotonic() + seconds
    times: list[float] = []

    def work(n: int) -> None:
        count = 0
        while time.monotonic() < stop:
            done = threading.Event()
            entry = AttemptRecord(
                f"g.e.{n}-{count}.0", AttemptState.BEGUN, time.time(), (f"v{n}", 1, "a"), 2, "epoch", 1, 4
            )
            began = time.monotonic()
            log.append(encode(entry), lambda error, d=done: d.set())  # type: ignore[misc]
            done.wait()
            times.append(time.monotonic() - began)
            count += 1

    workers = [threading.Thread(target=work, args=(n,)) for n in range(threads)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    log.close()
    return len(times) / seconds, log.appended / max(1, log.syncs), statistics.median(times)


def recovery(folder: Path, records: int) -> tuple[float, float]:
    """Seconds to open a log of so many records and read its book, and MiB on disk."""
    folder.mkdir()
    log, _ = Log.open(folder, failed)
    done = threading.Event()
    for n in range(records):
        entry = AttemptRecord(
            f"g.e.{n}.0",
            AttemptState.BEGUN if n % 2 else AttemptState.ENDED,
            1e9,
            (f"v{n}", 1, "a"),
            2,
            "e",
            1,
            4,
        )
        log.append(encode(entry), (lambda error: done.set()) if n == records - 1 else None)
    done.wait()
    log.close()
    size = sum(x.stat().st_size for x in folder.iterdir()) / 2**20
    began = time.monotonic()
    _, found = Log.open(folder, failed)
    book = AttemptTable(600.0)
    book.restore((*found.snapshot, *found.records))
    return time.monotonic() - began, size


def main() -> None:
    quick = "--quick" in sys.argv
    with tempfile.TemporaryDirectory() as made:
        folder = Path(made)
        for threads in (1, 8, 64):
            rate, batch, median = commits(folder / f"c{threads}", threads, 1.0 if quick else 5.0)
            print(
                f"log, {threads} at once: {rate:.0f} durable records a second, {batch:.1f} a sync, median"
                f" {median * 1000:.2f} ms"
            )
        for records in (1000, 10_000, 100_000) if quick else (1000, 10_000, 100_000, 1_000_000):
            seconds, size = recovery(folder / f"r{records}", records)
            print(f"recovery of {records} records, {size:.1f} MiB: {seconds:.3f} s")


if __name__ == "__main__":
    main()

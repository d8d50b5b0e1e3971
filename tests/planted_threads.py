"""Concurrency faults planted in a copy of one product module, which the subjects must detect."""
# ruff: noqa: E501 - a fault's text is a line

from __future__ import annotations

from dataclasses import dataclass

from otterglade.interleave.search import Found
from otterglade.interleave.subjects import BY_NAME


@dataclass(frozen=True, slots=True)
class Plant:
    """One replacement of source text in one module."""

    name: str
    subject: str
    module: str
    old: str
    new: str

    def found(self) -> Found:
        """Explore the subject with the fault. Raises shipped.PlantError if `old` isn't there exactly once."""
        return BY_NAME[self.subject].explore(edits={self.module: ((self.old, self.new),)})


_WRITE = "            self._write_all(self._fd, data)\n            self._disk.sync(self._fd)\n"
_BATCH = "self._notify([x.done for x in batch], self._catch_error(lambda b=batch: self._write_batch(b)))"
_HAND = """        self._queue.put(job)
        if self._closed.is_set():"""
_COUNT = """        with self._lock:
            self._pending += 1
            grow"""
_WAITS = """            write_error = "" if error is None else f"paid sessions can't be recorded: {error}"
            self._loop().put(lambda manager, now: self._record_written(manager, now, setup, key, write_error))"""
_SAVE = """            with self._identity_lock:  # of two concurrent writes the older one must not be the last
                identity.save(self._folder, self._identity)"""

_CANCEL = """        with self._lock:
            self.cancelled = True
            if self._stream is not None:
                self._stream.abort()"""

PLANTS = tuple(
    Plant(*x)
    for x in (
        ("reported durable before the sync", "log-appends", "store.log", _WRITE, _WRITE.splitlines()[0] + "\n"),
        ("reported durable before the write", "log-appends", "store.log", f"                {_BATCH}",
         "                self._notify([x.done for x in batch], None)\n                self._catch_error(lambda b=batch: self._write_batch(b))"),
        ("queue order swapped", "log-appends", "store.log", "batch.append(job)", "batch.insert(0, job)"),
        ("close drops queued records", "log-appends", "store.log", "            if batch:\n",
         "            if batch and not isinstance(job, _Stop):\n"),
        ("one callback of a batch called", "log-appends", "store.log", "for done in callbacks:", "for done in callbacks[:1]:"),
        ("callback twice", "log-appends", "store.log", "                    done(error)\n",
         "                    done(error)\n                    if len(callbacks) > 1:\n                        done(error)\n"),
        ("close: queue not checked after closing", "log-close", "store.log", "self._closed.set()\n                self._reject_queued()",
         "self._closed.set()"),
        ("close: checked before the put", "log-close", "store.log", _HAND,
         "        ended = self._closed.is_set()\n        self._queue.put(job)\n        if ended:"),
        ("close: queue rejected before closing", "log-close", "store.log", "self._closed.set()\n                self._reject_queued()",
         "self._reject_queued()\n                self._closed.set()"),
        ("compaction on the caller's thread", "log-compacts", "store.log",
         "self._enqueue(_Compact(tuple(snapshot), done))",
         "self._notify([done], self._catch_error(lambda: self._write_snapshot(tuple(snapshot))))"),
        ("a failed write reported as durable", "log-fails", "store.log", "            return error\n        return None",
         "            return None if error.errno else error\n        return None"),
        ("a file written again after a failed sync", "log-fails", "store.log",
         "            self._abandon_segment()\n            raise", "            raise"),
        ("count without the lock", "workers-limit", "net.workers", _COUNT,
         _COUNT.replace("with self._lock", "if True")),
        ("check then act: no second check", "workers-limit", "net.workers",
         "                if not self._needs_thread():\n                    return\n", "                pass\n"),
        ("a thread counted before there is one", "workers-no-thread", "net.workers",
         "        if grow:\n            self._grow()\n        self._jobs.put(job)",
         "        self._jobs.put(job)\n        if grow:\n            self._grow()"),
        ("idle thread ends without a second check", "workers-idle", "net.workers",
         "if self._pending < self._threads:", "if True:"),
        ("notify before the change", "workers-order", "net.workers",
         "        self._pending -= 1\n        if not self._pending:\n            self._all_done.notify_all()",
         "        if self._pending == 1:\n            self._all_done.notify_all()\n            self._lock.release()\n"
         "            self._lock.acquire()\n        self._pending -= 1"),
        ("no notify", "workers-order", "net.workers", "            self._all_done.notify_all()", "            pass"),
        ("waits without checking the condition", "workers-order", "net.workers",
         "self._all_done.wait_for(lambda: not self._pending, timeout)", "self._all_done.wait(timeout)"),
        ("job under the lock", "workers-order", "net.workers", "                job()\n",
         "                with self._lock:\n                    job()\n"),
        ("stop overtakes", "loop-stop", "gateway.loop", "        self._inbox.put(None)\n",
         "        self._low_priority.append(lambda manager, now: [])\n        self._inbox, old = queue.SimpleQueue(), self._inbox\n"
         "        self._inbox.put(None)\n        old.put(None)\n"),
        ("wakes before there is work", "loop-alarm", "gateway.loop",
         "        self._low_priority.extend(callbacks)\n        self._inbox.put(_no_operation)  # wakes the loop",
         "        self._inbox.put(_no_operation)\n        self._low_priority.extend(callbacks)"),
        ("stack size without the lock", "spawn", "net.threads", "    with _stack_size_lock:", "    if True:"),
        ("stop does not wake the accept thread", "listener-stop", "net.listener",
         "        self._wake()\n        self._closed.wait(1.0)", "        self._closed.wait(1.0)"),
        ("wakes before the flag is set", "listener-stop", "net.listener",
         "        self._aborting = True\n        self._wake()", "        self._wake()\n        self._aborting = True"),
        ("answer on the log's thread", "journal-stop", "gateway.journal", _WAITS,
         _WAITS.replace("self._loop().put(lambda manager, now: self._record_written(manager, now, setup, key, write_error))",
                        "self._record_written(manager, now, setup, key, write_error)")),
        ("answer before the record is handed in", "journal-stop", "gateway.journal",
         "            self._log.append(record, done)\n        replaces",
         "            done(None)\n            self._log.append(record)\n        replaces"),
        ("saves without the lock", "peers-saves", "gateway.peers", _SAVE, _SAVE.replace("with self._identity_lock", "if True")),
        ("read before the lock", "peers-saves", "gateway.peers", _SAVE,
         "            mine = self._identity\n            with self._identity_lock:\n"
         "                identity.save(self._folder, mine)"),
        ("cancel without the lock", "call-cancel", "net.http", _CANCEL, _CANCEL.replace("with self._lock", "if True")),
        ("end without the lock", "call-cancel", "net.http",
         "        with self._lock:\n            self._stream = None\n            return not self.cancelled",
         "        fine = not self.cancelled\n        self._stream = None\n        return fine"),
        ("cancelled before it began, but sent", "call-cancel", "net.http",
         "            self._stream = stream\n            return not self.cancelled",
         "            self._stream = stream\n            return True"),
        ("one count changed by two threads", "peers-socket", "gateway.peers", "self._queued_count += 1", "self._processed_count -= 1"),
        ("stop does not wait for the loop", "stop-no-store", "gateway.daemon",
         "        if not self.loop.wait_closed(_seconds_until(deadline)):\n", "        if False:\n"),
        ("stop does not wait for the log", "stop", "gateway.daemon",
         "        if not self.journal.wait_closed(_seconds_until(deadline)):\n", "        if False:\n"),
        ("stop does not wait for the saves", "stop", "gateway.peers", "        waits = [self._identity_writer.wait_idle, self._part_files.wait_idle]\n",
         "        waits = [self._part_files.wait_idle]\n"),
    )
)  # fmt: skip

"""Paid attempts on disk: writes what the desk commits, and finds out at a start what a kill left open."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from ..core import interface as api
from ..core import messages as d
from ..core.attempts import Book, Entry, EntryError, Fate, Recovery, Word, resumed
from ..core.desk import Desk
from ..net.threads import Failure
from ..obs.logs import Log as Logger
from ..store.disk import Disk
from ..store.log import DamagedError, Log
from .hosts import HostClient
from .loop import Loop

FIND_OUT = 10.0
"""Seconds for which hosts are asked about an attempt; then it counts as unsure."""
ASK_AGAIN = 0.25
"""Seconds between two questions about the same attempt."""


class Journal:
    """All methods but `open` run on the decision loop."""

    def __init__(
        self, folder: Path, *, loop: Callable[[], Loop], hosts: HostClient, log: Logger, on_failure: Failure,
        unsure_for: float, disk: Disk | None = None,
    ) -> None:  # fmt: skip
        self._folder, self._loop, self._hosts = folder, loop, hosts
        self._logger, self._on_failure, self._disk = log, on_failure, disk
        self._unsure_for = unsure_for
        self._log: Log | None = None
        self.book = Book(unsure_for)
        self.recovery = Recovery((), 0.0, 0.0)
        self.trouble = ""
        """Why nothing can be written; empty: it can."""

    def open(self) -> None:
        """Read the log. What can't be read stops paid sessions, not the gateway: an operator has to look."""
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self._log, found = Log.open(self._folder, self._on_failure, disk=self._disk)
            self.book.restore((*found.snapshot, *found.records))
        except (OSError, DamagedError, EntryError) as error:
            self.trouble = f"the attempts' log can't be used: {error}"
            self._logger.error("store_unusable", cause=str(error))
            return
        if found.torn:
            self._logger.warning("store_torn_tail", cause=found.torn)
        self.book.prune(time.time())
        self.recovery = Recovery(self.book.of_fate(Fate.BEGUN, Fate.RAN), time.monotonic(), FIND_OUT)
        self._logger.info(
            "store_open", records=len(found.records), snapshot=len(found.snapshot),
            open=len(self.recovery.open), unsure=len(self.book.of_fate(Fate.UNSURE)),
        )  # fmt: skip

    def prepare(self, desk: Desk, now: float) -> list[d.Order]:
        """Tell the desk what is unsure and what is being found out, before anybody asks."""
        desk.paid_refused = self.trouble
        wall = time.time()
        for entry in self.book.of_fate(Fate.UNSURE):
            desk.unsure[entry.key] = now + max(0.0, self._unsure_for - max(0.0, wall - entry.at))
        for question in self.recovery.open.values():
            desk.finding.setdefault(question.entry.key, [])
        return []

    def find_out(self) -> None:
        """Ask the hosts about all that is open; each answer leads to the next question or to the verdict."""
        for entry in self.recovery.ask():
            self._ask(entry)

    def _ask(self, entry: Entry) -> None:
        self._hosts.ask_fate(entry, lambda word: self._told(entry, word))

    def _told(self, entry: Entry, word: Word) -> None:
        """On a thread of the hosts' pool."""
        if word is Word.SILENT:
            time.sleep(ASK_AGAIN)

        def tell(desk: Desk, now: float) -> list[d.Order]:
            settled = self.recovery.told(entry.setup, word, now)
            if settled is None:
                if entry.setup in self.recovery.open:
                    self._ask(entry)
                return []
            _, verdict = settled
            self._write(self.book.changed(entry.setup, verdict.fate, time.time()))
            if verdict.adopt:
                self._hosts.take_over(desk.next_session, entry.setup)
            elif verdict.release or verdict.fate is Fate.UNSURE:
                self._hosts.release_key(entry.server, entry.setup)
            return desk.found(now, entry, verdict, 0)

        self._loop().put(tell)

    def resume(self, order: d.AskFate) -> None:
        """Find out about a session whose viewer came with its signed address, and make it this gateway's."""
        entry = order.entry

        def told(word: Word) -> None:
            def tell(desk: Desk, now: float) -> list[d.Order]:
                verdict = resumed(word)
                if verdict.adopt:
                    self._hosts.take_over(desk.next_session, entry.setup)
                    if desk.settings.classes[entry.key[1]].effect is not api.Effect.SAFE:
                        self._write(self.book.note(msgspec.structs.replace(entry, at=time.time())))
                return desk.found(now, entry, verdict, 0)

            self._loop().put(tell)

        self._hosts.ask_fate(entry, told)

    def commit(self, order: d.Commit) -> None:
        """Write an attempt down; the desk is told when it is durable, or why it can't be."""
        setup = order.setup
        entry = Entry(
            self._hosts.setup_key(setup.session, setup.attempt), Fate.BEGUN, time.time(), setup.key,
            setup.server, self._hosts.epochs.get(setup.server, ""), setup.rung, order.top,
        )  # fmt: skip
        record = self.book.note(entry)

        def done(error: OSError | None) -> None:
            trouble = "" if error is None else f"paid sessions can't be recorded: {error}"

            def tell(desk: Desk, now: float) -> list[d.Order]:
                self._trouble(trouble)
                if trouble:
                    self.book.entries.pop(entry.setup, None)
                return desk.committed(now, setup.session, setup.attempt, trouble)

            self._loop().put(tell)

        if self._log is None:
            self.book.entries.pop(entry.setup, None)
            trouble = self.trouble
            self._loop().put(lambda desk, now: desk.committed(now, setup.session, setup.attempt, trouble))
        else:
            self._log.append(record, done)

    def fated(self, order: d.Fated) -> None:
        """Write what became of an attempt. Nobody waits for it: without it a start finds out by asking."""
        self._write(
            self.book.changed(self._hosts.setup_key(order.session, order.attempt), order.fate, time.time())
        )
        if order.fate is Fate.OVER:
            self._hosts.forget(order.session)

    def _write(self, record: bytes | None) -> None:
        if record is None or self._log is None:
            return
        self._log.append(record)
        if self.book.wants_snapshot():
            self._log.compact(self.book.snapshot(time.time()))

    def retry(self) -> None:
        """While writing is in trouble: try whether it is over, by a snapshot, which also gives back room."""
        if self._log is None or not self.trouble:
            return

        def done(error: OSError | None) -> None:
            if error is None:

                def tell(desk: Desk, now: float) -> list[d.Order]:
                    self._trouble("")
                    return desk.committed(now, 0, 0, "")

                self._loop().put(tell)

        self._log.compact(self.book.snapshot(time.time()), done)

    def _trouble(self, trouble: str) -> None:
        if trouble and not self.trouble:
            self._logger.error("store_in_trouble", cause=trouble)
        elif self.trouble and not trouble:
            self._logger.info("store_back")
        self.trouble = trouble

    def close(self) -> None:
        if self._log is not None:
            self._log.close()

"""The journal of paid attempts: records commits of the session manager, resolves open attempts at a start."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from pathlib import Path

from ..core import messages
from ..core.attempt_persistence import AnswerActions, AttemptPersistence
from ..core.attempts import (
    AttemptRecord,
    AttemptRecordError,
    AttemptRecovery,
    AttemptState,
    AttemptTable,
    HostAnswer,
)
from ..core.session_manager import SessionManager
from ..net.threads import Failure
from ..obs.logs import Log as Logger
from ..store.disk import Disk
from ..store.log import DamagedError, Log
from .hosts import HostClient
from .loop import Loop
from .peers import PeerClient

QUERY_LIMIT_SECONDS = 10.0
"""Time during which hosts are queried about an attempt; after it the attempt is unsure."""
QUERY_RETRY_SECONDS = 0.25
"""Delay before a host is queried again about the same attempt."""


class Journal:
    """Writes the attempts' log and forwards the answers of hosts, registrars and witnesses to the loop.

    All methods run on the decision loop, except `open` (before it starts) and `wait_closed`.
    """

    def __init__(
        self, folder: Path, *, loop: Callable[[], Loop], hosts: HostClient, log: Logger, on_failure: Failure,
        unsure_for: float, disk: Disk | None = None, classes: Sequence[str] = (),
        gateways: Sequence[str] = (), witnesses: int = 0,
        peers: Callable[[], PeerClient | None] = lambda: None,
    ) -> None:  # fmt: skip
        self._folder, self._loop, self._hosts = folder, loop, hosts
        self._logger, self._on_failure, self._disk = log, on_failure, disk
        self._log: Log | None = None
        self._classes, self._peers = classes, peers
        self.persistence = AttemptPersistence(
            hosts.run, unsure_for, QUERY_LIMIT_SECONDS, classes, gateways, witnesses
        )

    @property
    def attempts(self) -> AttemptTable:
        """The recorded attempts, by set-up key."""
        return self.persistence.attempts

    @property
    def recovery(self) -> AttemptRecovery:
        """The attempts of earlier runs whose outcome is being queried."""
        return self.persistence.recovery

    @property
    def write_error(self) -> str:
        """Why the log can't be written; empty if it can."""
        return self.persistence.write_error

    def open(self) -> None:
        """Read the log; if it can't be read, only paid sessions are refused, until an operator repairs it."""
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self._log, found = Log.open(self._folder, self._on_failure, disk=self._disk)
            self.persistence.restore((*found.snapshot, *found.records), time.monotonic(), time.time())
        except (OSError, DamagedError, AttemptRecordError) as error:
            self.persistence.write_error = f"the attempts' log can't be used: {error}"
            self._logger.error("store_unusable", cause=str(error))
            return
        if found.torn:
            self._logger.warning("store_torn_tail", cause=found.torn)
        self._logger.info(
            "store_open", records=len(found.records), snapshot=len(found.snapshot),
            open=len(self.recovery.open), unsure=len(self.attempts.in_state(AttemptState.UNSURE)),
        )  # fmt: skip

    def prepare(self, manager: SessionManager, now: float) -> list[messages.Order]:
        """Pass the unsure and open attempts to the session manager, before viewers are accepted."""
        self.persistence.prepare(manager, now, time.time())
        return []

    def resolve_open_attempts(self) -> None:
        """Query the hosts about all open attempts; each answer settles the attempt or leads to a retry."""
        for entry in self.recovery.unresolved():
            self._query_host(entry)

    def _query_host(self, entry: AttemptRecord) -> None:
        self._hosts.query_attempt(entry, lambda answer: self._host_answered(entry, answer))

    def _host_answered(self, entry: AttemptRecord, answer: HostAnswer) -> None:
        """Handle a host's answer, on a thread of the host client's pool."""
        if answer is HostAnswer.NO_ANSWER:
            time.sleep(QUERY_RETRY_SECONDS)

        def record_answer(manager: SessionManager, now: float) -> list[messages.Order]:
            actions = self.persistence.host_answered(manager, now, time.time(), entry, answer)
            if actions.ask_again:
                self._query_host(entry)
            return self._apply_actions(entry, actions)

        self._loop().put(record_answer)

    def query_attempt(self, order: messages.QueryAttempt) -> None:
        """Query the host of an attempt that another run or gateway made.

        For a session whose viewer presented its signed address, the answer lets this gateway adopt it; for
        an attempt known from another gateway's claim, the answer settles that attempt.
        """
        entry = order.record
        if order.claimed:
            self._query_host(entry)
            return

        def answered(answer: HostAnswer) -> None:
            self._loop().put(
                lambda manager, now: self._apply_actions(
                    entry, self.persistence.resumed_session_answered(manager, now, time.time(), entry, answer)
                )
            )

        self._hosts.query_attempt(entry, answered)

    def _apply_actions(self, entry: AttemptRecord, actions: AnswerActions) -> list[messages.Order]:
        self._write(actions.record)
        if actions.adopted_session is not None:
            self._hosts.adopt_session(actions.adopted_session, entry.setup)
        if actions.release_as:
            self._hosts.release_key(entry.server, entry.setup, actions.release_as)
        return actions.orders

    def commit(
        self, manager: SessionManager, now: float, order: messages.CommitAttempt
    ) -> list[messages.Order]:
        """Record an attempt, claim it at its registrars and poll its witnesses.

        The session manager is notified once all three are done, or with the cause of a failure.
        """
        setup = order.setup
        key = self._hosts.setup_key(setup.session, setup.attempt)
        record, registrars, entry = self.persistence.commit(
            manager, order, key, self._hosts.epochs, time.time()
        )

        def done(error: OSError | None) -> None:
            write_error = "" if error is None else f"paid sessions can't be recorded: {error}"
            self._loop().put(lambda manager, now: self._record_written(manager, now, setup, key, write_error))

        if self._log is None:
            write_error = self.write_error
            self._loop().put(lambda manager, now: self._record_written(manager, now, setup, key, write_error))
        else:
            self._log.append(record, done)
        replaces = self.persistence.settled_setups.setups_for(entry.key)
        for server in registrars:
            self._hosts.claim(server, entry, replaces, self._claim_callback(key, server))
        peers, poll = self._peers(), self.persistence.polls.get(key)
        return [] if peers is None or poll is None else peers.poll_witnesses(manager, now, poll)

    def witness_poll_ended(self, manager: SessionManager, now: float, setup_key: str) -> list[messages.Order]:
        """Report to the session manager that an attempt's witnesses answered, or that the poll timed out."""
        return self.persistence.witness_answered(manager, now, time.time(), setup_key)

    def _claim_callback(self, key: str, server: int) -> Callable[[bool, AttemptRecord | None], None]:
        """Returns the callback for a registrar's answer; called on a thread of the host client's pool."""

        def answered(granted: bool, other: AttemptRecord | None) -> None:
            self._loop().put(
                lambda manager, now: self.persistence.claim_answered(
                    manager, now, key, server, granted, other
                )
            )

        return answered

    def _record_written(
        self, manager: SessionManager, now: float, setup: messages.SetUp, key: str, write_error: str
    ) -> list[messages.Order]:
        self._log_write_error(write_error)
        return self.persistence.record_written(manager, now, setup, key, write_error)

    def attempt_state_changed(
        self, manager: SessionManager, now: float, order: messages.AttemptStateChanged
    ) -> list[messages.Order]:
        """Record an attempt's new state. No reply waits for it: if it is lost, a start queries the host.

        The attempt's claims are updated: marked as seen by its viewer, or withdrawn if the attempt no longer
        matters. An attempt that may have run keeps its claims, so that other gateways find them.
        """
        key = self._hosts.setup_key(order.session, order.attempt)
        record, entry = self.persistence.change_state(key, order.state, time.time())
        self._write(record)
        if entry is not None and order.state not in (AttemptState.UNSURE, AttemptState.TAKEN_OVER):
            for server in self.persistence.registrar_servers(manager, entry.key):
                if order.state is AttemptState.RAN:
                    self._hosts.mark_claim_seen(server, entry)
                else:
                    self._hosts.withdraw_claim(server, entry)
        if order.state in (AttemptState.ENDED, AttemptState.TAKEN_OVER):
            self._hosts.forget_session(order.session)
        peers = self._peers()
        if entry is None or peers is None:
            return []
        return peers.attempt_state_changed(manager, now, entry, self._classes[entry.key[1]])

    def _write(self, record: bytes | None) -> None:
        if record is None or self._log is None:
            return
        self._log.append(record)
        if self.attempts.wants_snapshot():
            self._log.compact(self.attempts.snapshot(time.time()))

    def retry(self) -> None:
        """After a write error: try to write a snapshot, which also frees space; success clears the error."""
        if self._log is None or not self.write_error:
            return

        def done(error: OSError | None) -> None:
            if error is None:

                def clear_error(manager: SessionManager, now: float) -> list[messages.Order]:
                    self._log_write_error("")
                    self.persistence.write_error = manager.paid_refusal_cause = ""
                    return []

                self._loop().put(clear_error)

        self._log.compact(self.attempts.snapshot(time.time()), done)

    def _log_write_error(self, write_error: str) -> None:
        if write_error and not self.write_error:
            self._logger.error("store_in_trouble", cause=write_error)
        elif self.write_error and not write_error:
            self._logger.info("store_back")

    def close(self) -> None:
        """Close the log once all queued records are written; returns at once."""
        if self._log is not None:
            self._log.close()

    def wait_closed(self, timeout: float) -> bool:
        """Wait until all queued records are written; callable from any thread, after `close`."""
        return self._log is None or self._log.wait_closed(timeout)

"""Persistence of paid attempts: which records are written and when, and what each host's answer leads to.

It connects the session manager, which sends and ends attempts, to the disk and to the hosts, which know what
ran. It does no I/O: each method takes the times and returns what to write and do, and the gateway's journal
or the explorer carries it out.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from . import interface as api
from .attempts import (
    AttemptRecord,
    AttemptRecovery,
    AttemptState,
    AttemptTable,
    HostAnswer,
    Key,
    OpenAttempt,
    Resolution,
    resolve_resumed,
)
from .claims import PendingAttempt, SettledSetups, claim_from_record, registrar_cells
from .fleet.witness import PollVerdict, WitnessPoll, select_witnesses, session_key
from .managed_session import Phase
from .messages import CommitAttempt, Order, QueryAttempt, SetUp
from .session_manager import SessionManager


@dataclass(frozen=True, slots=True)
class AnswerActions:
    """What a host's answer about a set-up leads to, in the order of the fields."""

    record: bytes | None = None
    """Bytes for the log; nothing waits until they are durable."""
    ask_again: bool = False
    """Whether the answer was inconclusive and the host has to be asked again."""
    adopted_session: int | None = None
    """Number of the session that now has this set-up key."""
    release_as: str = ""
    """Run (NAME.EPOCH) in whose name the host is asked to end what it may have of it; empty if it is not."""
    orders: list[Order] = field(default_factory=list)


class AttemptPersistence:
    """Attempt records and open claims of one gateway process; used on the decision loop only.

    `now` is monotonic time, `wall` Unix time, both in seconds.
    """

    def __init__(
        self, run: str, unsure_for: float, find_out: float, classes: Sequence[str] = (),
        gateways: Sequence[str] = (), witness_count: int = 0,
    ) -> None:  # fmt: skip
        """`run`: NAME.EPOCH, by which hosts know this process. `unsure_for`: seconds for which an attempt
        that may have run prevents another set-up for its viewer. `find_out`: seconds for which hosts are
        asked about attempts that were open at the start. `gateways`: names of all configured gateways, of
        which `witness_count` witness each attempt; 0 for no witnesses."""
        self.run = run
        self._unsure_for, self._recovery_timeout = unsure_for, find_out
        self.attempts = AttemptTable(unsure_for)
        self.recovery = AttemptRecovery((), 0.0, 0.0)
        self._classes, self._gateways, self._witness_count = classes, gateways, witness_count
        self.pending: dict[str, PendingAttempt] = {}
        """Attempts that wait for the disk, registrars or witnesses, by set-up key."""
        self.polls: dict[str, WitnessPoll] = {}
        """Answers of the witnesses of these attempts, if there are witnesses."""
        self.settled_setups = SettledSetups()
        self.write_error = ""
        """Why records cannot be written at present; empty if they can."""

    def restore(self, records: Iterable[bytes], now: float, wall: float) -> None:
        """Restore the table from the records of the log, in order. Raises AttemptRecordError."""
        self.attempts.restore(records)
        self.attempts.prune(wall)
        self.recovery = AttemptRecovery(
            self.attempts.in_state(AttemptState.BEGUN, AttemptState.RAN), now, self._recovery_timeout
        )

    def prepare(self, session_manager: SessionManager, now: float, wall: float) -> None:
        """Pass unsure and unresolved sessions to the session manager, before its first request."""
        session_manager.paid_refusal_cause = self.write_error
        for attempt in self.attempts.in_state(AttemptState.UNSURE):
            session_manager.unsure[attempt.key] = now + max(
                0.0, self._unsure_for - max(0.0, wall - attempt.recorded_at)
            )
        for open_attempt in self.recovery.open.values():
            session_manager.resolving.setdefault(open_attempt.record.key, [])

    def commit(
        self,
        session_manager: SessionManager,
        order: CommitAttempt,
        setup_key: str,
        epochs: Mapping[int, str],
        wall: float,
    ) -> tuple[bytes, list[int], AttemptRecord]:
        """Begin to commit a paid attempt, before any byte of it is sent.

        Returns the bytes to make durable, the hosts at which the attempt has to be claimed, and its record.
        `epochs` are the known epochs of the hosts' processes.
        """
        setup = order.setup
        epoch = epochs.get(setup.server, "")
        record = AttemptRecord(
            setup_key, AttemptState.BEGUN, wall, setup.key, setup.server, epoch, setup.rung, order.top
        )
        for earlier, earlier_attempt in self.pending.items():
            if earlier_attempt.setup.key == setup.key:  # it timed out while it waited: never sent
                self.settled_setups.add(setup.key, earlier)
        registrars = self.registrar_servers(session_manager, setup.key)
        self.pending[setup_key] = PendingAttempt(setup, record, set(registrars))
        if self._witness_count:
            claim = claim_from_record(
                record, self._classes[setup.key[1]], self.settled_setups.setups_for(setup.key)
            )
            witness_names = tuple(select_witnesses(session_key(claim), self._gateways, self._witness_count))
            self.polls[setup_key] = WitnessPoll(claim, witness_names, final_deadline=setup.until)
        return self.attempts.add(record), registrars, record

    @staticmethod
    def registrar_servers(session_manager: SessionManager, key: Key) -> list[int]:
        """The hosts that keep claims of a session: one per registrar cell, ready or draining.

        The cells come from the catalogue, which is the same at all gateways; readiness is not used, as
        gateways learn of its changes at different times.
        """
        location, settings = session_manager.catalogue.get(key[2]), session_manager.settings
        if location is None or not session_manager.terms.registrar_count:
            return []
        cells = [(location.home + n) % settings.cells for n in range(min(location.holders, settings.cells))]
        server_by_cell: dict[int, int] = {}
        for number, entry in sorted(session_manager.entries.items()):
            if entry.state is not api.State.GONE:
                server_by_cell.setdefault(entry.cell, number)
        return [
            server_by_cell[x]
            for x in registrar_cells(key, cells, session_manager.terms.registrar_count)
            if x in server_by_cell
        ]

    def record_written(
        self, session_manager: SessionManager, now: float, setup: SetUp, setup_key: str, error: str
    ) -> list[Order]:
        """Handle the end of the write of an attempt; if `error` says why it failed, the attempt is
        dropped."""
        self.write_error = error
        pending = self.pending.get(setup_key)
        if pending is None:
            return []
        if error:
            self.attempts.records.pop(setup_key, None)
            del self.pending[setup_key]
            self.polls.pop(setup_key, None)
            return session_manager.attempt_committed(now, setup.session, setup.attempt, error)
        pending.written = True
        return self._send_when_complete(session_manager, now, setup_key, pending)

    def claim_answered(
        self,
        session_manager: SessionManager,
        now: float,
        setup_key: str,
        server: int,
        granted: bool,
        conflicting: AttemptRecord | None,
    ) -> list[Order]:
        """Handle a registrar's answer: granted, or the conflicting claim; neither if it was unavailable."""
        pending = self.pending.get(setup_key)
        if pending is None or server not in pending.registrars_pending:
            return []
        pending.registrars_pending.discard(server)
        pending.grants += granted
        self._note_conflict(pending, conflicting)
        return self._send_when_complete(session_manager, now, setup_key, pending)

    @staticmethod
    def _note_conflict(pending: PendingAttempt, record: AttemptRecord | None) -> None:
        """Keep a conflicting attempt; one whose viewer was not answered takes precedence over one that
        ran."""
        if record is not None and (pending.conflicting is None or record.state is AttemptState.BEGUN):
            pending.conflicting = record

    def witness_answered(
        self, session_manager: SessionManager, now: float, wall: float, setup_key: str
    ) -> list[Order]:
        """Handle a witness's answer, or its time-out."""
        pending, poll = self.pending.get(setup_key), self.polls.get(setup_key)
        if pending is None or poll is None:
            return []
        if poll.conflicting_claim is not None:
            self._note_conflict(pending, poll.conflicting_claim.to_record(pending.setup.key[1], wall))
        return self._send_when_complete(session_manager, now, setup_key, pending)

    def _send_when_complete(
        self, session_manager: SessionManager, now: float, setup_key: str, pending: PendingAttempt
    ) -> list[Order]:
        """Once all have answered, send the attempt, give way to a conflicting one, or drop it."""
        poll = self.polls.get(setup_key)
        if not pending.is_settled or (poll is not None and poll.verdict is None):
            return []
        del self.pending[setup_key]
        self.polls.pop(setup_key, None)
        setup = pending.setup
        if pending.conflicting is not None:
            orders = session_manager.claim_contested(now, setup.session, setup.attempt)
            known = pending.conflicting.setup in self.recovery.open
            if not known and setup.key in session_manager.resolving:
                self.recovery.open[pending.conflicting.setup] = OpenAttempt(
                    pending.conflicting, give_up_at=now + self._recovery_timeout
                )
                orders.append(QueryAttempt(pending.conflicting, claimed=True))
            return orders
        if not pending.grants and session_manager.terms.registrar_count:
            return session_manager.claim_unavailable(now, setup.session, setup.attempt)
        if poll is not None and poll.verdict is PollVerdict.NO_MAJORITY:
            return session_manager.claim_unavailable(now, setup.session, setup.attempt, str(poll.refused))
        return session_manager.attempt_committed(now, setup.session, setup.attempt)

    def change_state(
        self, setup_key: str, state: AttemptState, wall: float
    ) -> tuple[bytes | None, AttemptRecord | None]:
        """Change an attempt's state; returns the bytes for the log and the record whose claims follow."""
        attempt = self.attempts.records.get(setup_key)
        if attempt is not None and state in (AttemptState.NEVER_RAN, AttemptState.ENDED):
            self.settled_setups.add(attempt.key, setup_key)
        record = self.attempts.change_state(setup_key, state, wall)
        return record, None if attempt is None else msgspec.structs.replace(attempt, state=state)

    def host_answered(
        self,
        session_manager: SessionManager,
        now: float,
        wall: float,
        attempt: AttemptRecord,
        answer: HostAnswer,
    ) -> AnswerActions:
        """Handle a host's answer about an attempt that was open at the start, or that a claim named."""
        outcome = self.recovery.record_answer(attempt.setup, answer, now)
        if outcome is None:
            return AnswerActions(ask_again=attempt.setup in self.recovery.open)
        resolution = outcome[1]
        release = not resolution.adopt and (resolution.release or resolution.state is AttemptState.UNSURE)
        return self._apply_resolution(
            session_manager,
            now,
            wall,
            attempt,
            resolution,
            attempt.setup.rsplit(".", 2)[0] if release else "",
        )

    def resumed_session_answered(
        self,
        session_manager: SessionManager,
        now: float,
        wall: float,
        attempt: AttemptRecord,
        answer: HostAnswer,
    ) -> AnswerActions:
        """Handle a host's answer about a session whose viewer sent its signed address."""
        return self._apply_resolution(session_manager, now, wall, attempt, resolve_resumed(answer), "")

    def _apply_resolution(
        self,
        session_manager: SessionManager,
        now: float,
        wall: float,
        attempt: AttemptRecord,
        resolution: Resolution,
        release_as: str,
    ) -> AnswerActions:
        """Pass a resolution to the session manager, and record the result.

        An adopted attempt keeps its recorded state: RAN means that its viewer was answered, which the session
        manager orders later. If the session cannot be adopted although the host has assigned it to this
        run, it is released.
        """
        number = session_manager.next_session
        if not resolution.adopt and resolution.state in (AttemptState.NEVER_RAN, AttemptState.ENDED):
            # Must precede the next attempt, whose claims replace those of this one.
            self.settled_setups.add(attempt.key, attempt.setup)
        orders = session_manager.attempt_resolved(
            now, attempt, resolution, 0, more_pending=self.recovery.is_resolving(attempt.key)
        )
        session = session_manager.sessions.get(number)
        adopted = resolution.adopt and session is not None and session.phase is Phase.PLAYING
        paid = session_manager.settings.classes[attempt.key[1]].effect is not api.Effect.SAFE
        record: bytes | None = None
        if adopted and paid:
            record = self.attempts.add(msgspec.structs.replace(attempt, recorded_at=wall))
        elif not adopted:
            adoption_failed = resolution.adopt and not resolution.resumed
            record = self.attempts.change_state(
                attempt.setup, AttemptState.UNSURE if adoption_failed else resolution.state, wall
            )
            release_as = self.run if resolution.adopt else release_as
        return AnswerActions(record, False, number if adopted else None, release_as, orders)

"""Logging of leader tasks (each order applied, renewed or expired) and the files of routing parts.

A routing part holds the routing rules of one edition of a region, in a file named by their digest.

Lines of the level debug carry the machine's monotonic time: a test that reads the logs of several gateways on
one machine can tell which order was in force where and when.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec

from ..core.fleet.editions import EditionsError, RolloutState
from ..core.fleet.leader_task import LeaderTask, TaskOrder
from ..core.fleet.leader_task_records import Fence
from ..core.fleet.register import VoterRecord
from ..core.fleet.routes import RoutingTask
from ..net.threads import Failure
from ..net.workers import Workers
from ..obs.logs import Log
from ..store.small import replace_file


def state_digest(state: bytes) -> str:
    """Return a short hexadecimal digest of a task's state, for logs."""
    return hashlib.blake2b(state, digest_size=6).hexdigest()


def log_voter_record(log: Log, now: float, record: bytes) -> None:
    """Log a value that this process accepts as a voter, before the record is durable."""
    found = msgspec.msgpack.decode(record, type=VoterRecord | Fence)
    if isinstance(found, VoterRecord) and found.value is not None:
        value = found.value
        log.debug(
            "accepted", t=now, duty=found.task_name, term=value.term, number=value.number, owner=value.owner,
            state=state_digest(value.state),
        )  # fmt: skip


class LoggedLeaderTask:
    """A leader task whose orders are logged before they reach the wrapped task."""

    def __init__(self, inner: LeaderTask, log: Log) -> None:
        self.inner, self.name, self.durable, self._log = inner, inner.name, inner.durable, log
        self._owner: tuple[str, int] = ("", 0)
        """Owner and term of the last order."""

    def local_report(self, now: float) -> bytes:
        """See `LeaderTask.local_report`."""
        return self.inner.local_report(now)

    def merge_reports(self, parts: Sequence[bytes]) -> bytes:
        """See `LeaderTask.merge_reports`."""
        return self.inner.merge_reports(parts)

    def decide(self, now: float, state: bytes, merged_report: bytes) -> bytes:
        """See `LeaderTask.decide`."""
        return self.inner.decide(now, state, merged_report)

    def apply_order(self, now: float, order: TaskOrder) -> None:
        """Log the order, with a line of level info if its owner or term is new, and apply it."""
        if (order.owner, order.term) != self._owner:
            self._owner = order.owner, order.term
            self._log.info(
                "duty", duty=self.name, owner=order.owner, term=order.term, why="its order is in force"
            )
        self._log.debug(
            "obeyed", t=now, duty=self.name, term=order.term, number=order.number, owner=order.owner,
            until=order.expires_at, state=state_digest(order.state),
        )  # fmt: skip
        self.inner.apply_order(now, order)

    def expire_order(self, now: float) -> None:
        """Log that no order is in force any more, and have the task move to its safe state."""
        self._log.warning("duty", duty=self.name, owner="", term=self._owner[1], why="no order is in force")
        self._log.debug("lapsed", t=now, duty=self.name, term=self._owner[1])
        self._owner = ("", self._owner[1])
        self.inner.expire_order(now)

    def restore_order(self, now: float, order: TaskOrder) -> None:
        """Log the order applied before this start, and hand it to the task."""
        self._log.info(
            "duty",
            duty=self.name,
            owner=order.owner,
            term=order.term,
            why="its order was applied before the start",
        )
        self.inner.restore_order(now, order)


class LoggedRoutingTask(LoggedLeaderTask):
    """The task `routes`; also logs the editions that each new state admits."""

    def __init__(self, inner: RoutingTask, log: Log) -> None:
        super().__init__(inner, log)
        self._state = b""

    def apply_order(self, now: float, order: TaskOrder) -> None:
        """Log the admitted editions if the state has changed, then as for any leader task."""
        if order.state != self._state:
            self._state = order.state
            self._log.debug(
                "admitted", t=now, term=order.term, number=order.number, may=_admitted_editions(order.state)
            )
        super().apply_order(now, order)


def _admitted_editions(state: bytes) -> list[str] | None:
    """Return digests of the editions that any gateway may act on; None if the state can't be decoded."""
    try:
        return [x.hex() for _, x in RolloutState.unpack(state).all_possibly_active()]
    except EditionsError:
        return None


class RoutingPartFiles:
    """Routing parts on disk, one file each, named by digest. Writes and deletions have a thread of their own,
    in the order of the calls."""

    def __init__(self, folder: Path, log: Log, on_failure: Failure) -> None:
        self._folder, self._log = folder, log
        self._jobs = Workers("parts", 1, on_failure, min_threads=1)

    def load(self) -> list[bytes]:
        """Read the parts of earlier runs; an unreadable one is logged, and fetched again when needed."""
        parts = []
        for path in sorted(self._folder.glob("*.part")):
            try:
                parts.append(path.read_bytes())
            except OSError as error:
                self._log.warning("routes_part_unusable", part=path.name, cause=str(error))
        return parts

    def write(self, digest: str, data: bytes, stored: Callable[[str, str], None]) -> None:
        """Write a part in the background, then call `stored(digest, error)`; `error` is empty on success."""

        def write_file() -> None:
            try:
                self._folder.mkdir(exist_ok=True)
                replace_file(self._folder / f"{digest}.part", data)
            except OSError as error:
                stored(digest, str(error))
            else:
                stored(digest, "")

        self._jobs.submit(write_file)

    def delete(self, digest: str) -> None:
        """Delete a part in the background; a file left by a failure is read and deleted at the next start."""

        def delete_file() -> None:
            try:
                self._folder.joinpath(f"{digest}.part").unlink(missing_ok=True)
            except OSError as error:
                self._log.warning("routes_part_not_dropped", part=digest, cause=str(error))

        self._jobs.submit(delete_file)

    def wait_idle(self, limit: float) -> None:
        """Wait at most `limit` seconds for the queued writes and deletions."""
        self._jobs.wait_idle(limit)

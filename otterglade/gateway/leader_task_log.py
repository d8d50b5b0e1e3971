"""The durable log of leader tasks: promises and accepted values of a voter, and the orders applied."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from ..core.fleet.actions import WriteTaskRecord
from ..core.fleet.leader_tasks import LeaderTasks
from ..net.threads import Failure
from ..obs.logs import Log as Logger
from ..store.disk import Disk
from ..store.log import DamagedError, Log
from .leader_tasks import log_voter_record

FOLDER = "duties"
LOG_UNUSABLE = "no log of leader tasks"

OnRecordWritten = Callable[[str], None]
"""Called on the log's thread: with an empty text once a record is durable, else with the error."""


class LeaderTaskLog:
    """The log of one process's leader tasks; without a usable log the process can't vote."""

    def __init__(self, log: Log | None, records: tuple[bytes, ...], logger: Logger) -> None:
        """`log`: None if it can't be used."""
        self._log, self._logger = log, logger
        self.records = records
        """The records of earlier runs, in the order of writing."""

    @classmethod
    def open(
        cls, folder: Path, logger: Logger, on_failure: Failure, disk: Disk | None = None
    ) -> LeaderTaskLog:
        """Open the log below `folder` and read its records; report an unusable log to `logger`."""
        try:
            folder.joinpath(FOLDER).mkdir(exist_ok=True)
            log, found = Log.open(folder / FOLDER, on_failure, disk=disk)
        except (OSError, DamagedError) as error:
            logger.error("duties_unusable", cause=str(error))
            return cls(None, (), logger)
        return cls(log, (*found.snapshot, *found.records), logger)

    @property
    def usable(self) -> bool:
        """Whether records can be made durable."""
        return self._log is not None

    def write(
        self, now: float, leader_tasks: LeaderTasks, write: WriteTaskRecord, on_written: OnRecordWritten
    ) -> None:
        """Append a record and call `on_written` once it is durable or has failed; the log must be usable."""
        assert self._log is not None, "usable"

        def done(error: OSError | None) -> None:
            on_written("" if error is None else f"leader tasks can't be recorded: {error}")

        log_voter_record(self._logger, now, write.record)
        self._log.append(write.record, done)
        if leader_tasks.wants_snapshot():
            self._log.compact(leader_tasks.snapshot())

    def close(self) -> None:
        """Write the records that are queued, and stop; `wait_closed` waits for the end."""
        if self._log is not None:
            self._log.close()

    def wait_closed(self, limit: float) -> bool:
        """Wait at most `limit` seconds for the end of writing; return whether it ended."""
        return self._log is None or self._log.wait_closed(limit)

"""Records of leader tasks in a gateway's log, and the writes that are pending."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from .actions import WriteTaskRecord
from .leader_task import TaskOrder
from .register import ValueVersion, VoterRecord

SNAPSHOT_AFTER = 1000
"""Number of appended records after which a snapshot replaces the log."""


class Fence(msgspec.Struct, frozen=True, array_like=True, tag="fence"):
    """Log record with the newest order applied of a durable task; fences off older orders after a restart."""

    task_name: str
    term: int
    number: int
    owner: str
    state: bytes

    @property
    def version(self) -> ValueVersion:
        """Term and number of the order."""
        return self.term, self.number


class TaskRecordError(ValueError):
    """A log record that can't be decoded."""


def order_from_fence(fence: Fence, expires_at: float) -> TaskOrder:
    """Return the order recorded by a fence, with expiry time `expires_at`."""
    return TaskOrder(fence.task_name, fence.term, fence.number, fence.owner, fence.state, expires_at)


def fence_from_order(order: TaskOrder) -> Fence:
    """Return the record that fences off orders older than `order`."""
    return Fence(order.task_name, order.term, order.number, order.owner, order.state)


def decode(data: bytes) -> VoterRecord | Fence:
    """Decode a log record. Raises TaskRecordError if it is malformed."""
    try:
        return msgspec.msgpack.decode(data, type=VoterRecord | Fence)
    except msgspec.MsgspecError as error:
        raise TaskRecordError(f"leader task record: {error}") from error


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A record being written, and the sender and id of the request that waits for it."""

    task_name: str
    record: VoterRecord | Fence
    reply_to: str
    request_id: int


class PendingWrites:
    """Pending writes, each with a token that its result brings back."""

    def __init__(self) -> None:
        self._by_token: dict[int, PendingWrite] = {}
        self._tokens = 0
        self._appended = 0

    def write(
        self, task_name: str, record: VoterRecord | Fence, reply_to: str = "", request_id: int = 0
    ) -> WriteTaskRecord:
        """Return the action that writes a record.

        `reply_to` and `request_id` are the sender and id of the request to answer once it is written.
        """
        self._tokens += 1
        self._appended += 1
        self._by_token[self._tokens] = PendingWrite(task_name, record, reply_to, request_id)
        return WriteTaskRecord(msgspec.msgpack.encode(record), self._tokens)

    def take(self, token: int) -> PendingWrite | None:
        """Remove and return the write with this token, or None if it is unknown."""
        return self._by_token.pop(token, None)

    def wants_snapshot(self) -> bool:
        """Return whether enough records were appended to replace the log by a snapshot."""
        return self._appended > SNAPSHOT_AFTER

    def encode_snapshot(self, records: Iterable[VoterRecord | Fence]) -> list[bytes]:
        """Encode a snapshot's records and reset the count of appended ones."""
        self._appended = 0
        return [msgspec.msgpack.encode(x) for x in records]

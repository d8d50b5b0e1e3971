"""Messages between gateways about leader tasks: reports upwards, orders downwards, packed into datagrams."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

import msgspec

from .actions import SendMessage
from .members import Members
from .messages import Kind
from .register import VoteReply, VoteRequest

MAX_BODY_BYTES = 960
"""Size of a message body: a datagram less its envelope and the encoding of the list."""
MAX_TASKS = 8
"""Tasks that a gateway can have; also the number of entries that are read of one message."""


class TaskReport(msgspec.Struct, frozen=True, array_like=True):
    """Entry of a ReportMessage: the report on one task, and the version of its newest order at the sender."""

    task_name: str
    term: int = 0
    number: int = 0
    tree_term: int = 0
    """Term of the sender's tree: reports that follow two different trees could go round in a loop."""
    report: bytes = b""


class ReportMessage(msgspec.Struct, frozen=True, array_like=True):
    """Reports on all tasks with the same receiver."""

    reports: tuple[TaskReport, ...]


class OrderStatus(msgspec.Struct, frozen=True, array_like=True):
    """Entry of an OrderMessage: the order in force at the sender; no order is, if `seconds_left` is 0."""

    task_name: str
    term: int
    number: int = 0
    owner: str = ""
    seconds_left: float = 0.0
    state: bytes | None = None
    """None if the receiver already has it."""
    later_owner: str = ""
    """Owner of a later term than the order's, as the sender last learnt; empty if it knows of none."""
    later_term: int = 0


class OrderMessage(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a ReportMessage."""

    statuses: tuple[OrderStatus, ...]


Entry = TypeVar("Entry", TaskReport, OrderStatus)


def packed(entries: Sequence[Entry]) -> list[list[Entry]]:
    """Pack entries, in order, into groups that each fit one message body."""
    groups: list[list[Entry]] = []
    remaining_bytes = 0
    for entry in entries:
        size = len(msgspec.msgpack.encode(entry))
        if not groups or size > remaining_bytes:
            groups.append([])
            remaining_bytes = MAX_BODY_BYTES
        groups[-1].append(entry)
        remaining_bytes -= size
    return groups


def send(
    members: Members,
    kind: Kind,
    receiver: str,
    now: float,
    body: VoteRequest | VoteReply | ReportMessage | OrderMessage,
    request_id: int,
) -> SendMessage:
    """Return the action that sends a message about leader tasks to a peer."""
    return SendMessage(
        members.create_message(kind, receiver, now, request_id, body=msgspec.msgpack.encode(body))
    )

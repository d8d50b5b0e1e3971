"""Actions that the fleet protocols of a gateway request: messages to send, records to write.

The protocols do no I/O themselves; they return actions in the order in which these are to be carried out.
"""

from __future__ import annotations

from dataclasses import dataclass

from .messages import Message
from .witness import WitnessReply


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to the peer named as its receiver."""

    message: Message


@dataclass(frozen=True, slots=True)
class WriteWitnessRecord:
    """Make a witness record durable, then call `FleetAgent.witness_record_written`."""

    record: bytes | None
    """None: nothing to write."""
    claimant: str = ""
    """The gateway that waits for the reply, which may be this one; empty: none does."""
    reply: WitnessReply | None = None


@dataclass(frozen=True, slots=True)
class PollFinished:
    """The witnesses of an attempt have decided, or can no longer do so."""

    setup: str


@dataclass(frozen=True, slots=True)
class WriteTaskRecord:
    """Make a voter's record durable, then call `LeaderTasks.record_written` with `token`."""

    record: bytes
    token: int


@dataclass(frozen=True, slots=True)
class StoreRoutingPart:
    """Make a routing part durable under its digest, then call `RoutingTask.stored`."""

    digest: str
    data: bytes


@dataclass(frozen=True, slots=True)
class DeleteRoutingPart:
    """Delete a routing part that is no longer needed from disk."""

    digest: str

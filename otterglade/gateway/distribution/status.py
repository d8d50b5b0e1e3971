"""What a control machine tells operators at `GET /v1/status`."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

from ...core.distribution.messages import Report


class Role(Enum):
    """What a control machine is at the moment."""

    WRITER = "writer"
    VOTER = "voter"
    RELAY = "relay"


class RevisionCount(msgspec.Struct, frozen=True):
    """How many subscribers act upon a revision."""

    revision: str
    subscribers: int


class StragglerStatus(msgspec.Struct, frozen=True):
    """A subscriber that does not act on what its relay holds."""

    name: str
    in_force: str
    behind_s: float
    reason: str


class ReportStatus(msgspec.Struct, frozen=True):
    """Who acts upon what below this machine; at the writer, in the whole fleet."""

    subscribers: int
    acting: int
    """Upon this machine's head."""
    not_acting: int
    revisions: tuple[RevisionCount, ...]
    older: int
    behind: int
    stragglers: tuple[StragglerStatus, ...]


class ControlStatus(msgspec.Struct, frozen=True):
    """The whole of it."""

    name: str
    role: Role
    term: int
    """Of the writer whose order holds, or of the head where none does."""
    writer: str
    """As far as it is known here; empty: unknown."""
    head: str
    root: str
    keys: int
    reads_from: str
    readers: int
    """Connected; their reads may be held or not."""
    waiting: int
    report: ReportStatus
    bytes_in: int
    bytes_out: int
    """Of sealed bodies of requests served, and of exchanges with those above."""
    requests: int
    refused: int
    stale_refused: int
    misfits: int
    last_failure: str
    damaged: str
    """Why an earlier folder of revisions was put aside at the start; empty: it was not."""
    voting: dict[str, Any] | None


def report_status(report: Report, head: str) -> ReportStatus:
    """A report for people."""
    revisions = tuple(RevisionCount(str(x.revision), x.subscribers) for x in report.counts)
    acting = sum(x.subscribers for x in revisions if x.revision == head)
    stragglers = tuple(
        StragglerStatus(x.name, str(x.in_force), round(x.behind_s, 3), x.reason) for x in report.stragglers
    )
    return ReportStatus(
        report.subscribers,
        acting,
        report.subscribers - acting,
        revisions,
        report.older,
        report.behind,
        stragglers,
    )

"""Load reports: what gateways report about their lanes, in a form that merges into one report for the fleet.

A report holds rates and session counts by lane, the hosts' utilization, and the accounts with the most
sessions. Rates and session counts add up. Utilization does not, as every gateway reads the same hosts: the
merged value is the mean, weighted by the number of host readings. Each report keeps the heaviest accounts
only, so a merged count is never above the true one. It may be below it by at most `undercount`, which grows
with each merge.
"""

from __future__ import annotations

import hashlib
import heapq
import math
import struct
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from .leader_task import MAX_REPORT_BYTES

REPORT_INTERVAL_SECONDS = 0.5
"""Time between two reports, and between two steps of a gateway that has no order to apply."""
RATE_WINDOW_SECONDS = 2 * REPORT_INTERVAL_SECONDS
"""Time constant of the exponential decay of reported rates: two reports."""
LANE_BITS = 4
MAX_LANES = 1 << LANE_BITS
MAX_ACCOUNTS = 16
"""Accounts in a report; fewer with many lanes, as MAX_REPORT_BYTES limits the whole."""
FORMAT_VERSION = 1
_HEADER = struct.Struct(
    ">B4sHfff"
)  # version, digest of the lanes, gateways, utilization, readings, undercount
_LANE = struct.Struct(">5f")
_ACCOUNT = struct.Struct(">QI")


class Rate:
    """Exponentially decaying average of events per second."""

    __slots__ = ("_last_event_at", "_rate")

    def __init__(self) -> None:
        self._rate, self._last_event_at = 0.0, 0.0

    def add_event(self, now: float) -> None:
        """Count one event at `now`, in seconds."""
        self._rate, self._last_event_at = self.per_second(now) + 1.0 / RATE_WINDOW_SECONDS, now

    def per_second(self, now: float) -> float:
        """Events per second, decayed until `now`."""
        return self._rate * math.exp(min(0.0, self._last_event_at - now) / RATE_WINDOW_SECONDS)


class LoadReportError(ValueError):
    """Bytes that are not a load report, or one for other lanes."""


@dataclass(slots=True)
class LaneLoad:
    """Load of one lane: rates of new sessions per second, and active sessions."""

    requested_rate: float = 0.0
    shed_rate: float = 0.0
    """Of the requested sessions, those rejected by the load shedder."""
    refused_rate: float = 0.0
    """Of the requested sessions, those refused by the placement module for lack of capacity."""
    ended_rate: float = 0.0
    active_sessions: float = 0.0
    """Includes set-ups in flight."""


@dataclass(slots=True)
class LoadReport:
    """Load seen by one gateway, or the merged load of several."""

    lanes: list[LaneLoad]
    gateway_count: int = 0
    utilization: float = 0.0
    """Share of the hosts' capacity that active sessions need on their lowest allowed rungs; 1: full."""
    host_readings: float = 0.0
    """Host readings behind `utilization`, summed over gateways."""
    account_sessions: dict[int, int] = field(default_factory=dict)
    """Lower bounds of the sessions of accounts that have a quota, by `account_hash`."""
    undercount: float = 0.0
    """The most by which an account's count may be too low; an account not listed has no more than this."""


def lane_names_digest(names: Iterable[str]) -> bytes:
    """Four bytes that are equal for equal lane names in the same order: only then do lane numbers agree."""
    return hashlib.blake2b("\n".join(names).encode(), digest_size=4, person=b"otter-lanes").digest()


def account_hash(account: str, lane: int) -> int:
    """Return 64 bits for an account in a lane; the low LANE_BITS hold the lane.

    A report has no room for account names, and each lane has its own quota.
    """
    digest = hashlib.blake2b(account.encode(), digest_size=8).digest()
    return int.from_bytes(digest) >> LANE_BITS << LANE_BITS | lane


def lane_of_hash(account: int) -> int:
    """Return the lane stored in an account's hash."""
    return account & (1 << LANE_BITS) - 1


def account_capacity(lanes: int) -> int:
    """Return the number of accounts that fit a report of so many lanes."""
    return min(MAX_ACCOUNTS, (MAX_REPORT_BYTES - _HEADER.size - lanes * _LANE.size) // _ACCOUNT.size)


def heaviest_accounts(counts: Mapping[int, int], limit: int) -> tuple[dict[int, int], int]:
    """Return the `limit` accounts with the most sessions, and the highest count that is left out (0: none).

    Misra and Gries (1982), merged (Agarwal et al. 2012), subtract that count from the kept ones too. This
    bounds the error by N / (k + 1) at any depth of the tree, but no count of a flooding account stays exact.
    """
    order = heapq.nsmallest(limit + 1, counts.items(), key=lambda x: (-x[1], x[0]))
    dropped_count = order[limit][1] if len(order) > limit else 0
    return dict(order[:limit]), dropped_count


def encode_report(report: LoadReport, lanes_digest: bytes) -> bytes:
    """Return the report's binary form, at most MAX_REPORT_BYTES bytes long."""
    accounts, dropped_count = heaviest_accounts(report.account_sessions, account_capacity(len(report.lanes)))
    return b"".join(
        (
            _HEADER.pack(
                FORMAT_VERSION,
                lanes_digest,
                min(report.gateway_count, 65535),
                report.utilization,
                report.host_readings,
                report.undercount + dropped_count,
            ),
            *(
                _LANE.pack(x.requested_rate, x.shed_rate, x.refused_rate, x.ended_rate, x.active_sessions)
                for x in report.lanes
            ),
            *(_ACCOUNT.pack(account, min(n, 2**32 - 1)) for account, n in sorted(accounts.items())),
        )
    )


def decode_report(data: bytes, lanes_digest: bytes, lanes: int) -> LoadReport:
    """Decode a report for `lanes` lanes.

    Raises LoadReportError if the length, version, lanes' digest, or a number (negative or not finite) is
    wrong.
    """
    start = _HEADER.size + lanes * _LANE.size
    if not start <= len(data) <= MAX_REPORT_BYTES or (len(data) - start) % _ACCOUNT.size:
        raise LoadReportError(f"unexpected length: {len(data)} bytes")
    version, digest, gateway_count, utilization, host_readings, undercount = _HEADER.unpack_from(data)
    if version != FORMAT_VERSION or digest != lanes_digest:
        raise LoadReportError("report has another format version or other lanes")
    rows = [LaneLoad(*x) for x in _LANE.iter_unpack(data[_HEADER.size : start])]
    numbers = [
        utilization,
        host_readings,
        undercount,
        *(
            n
            for x in rows
            for n in (x.requested_rate, x.shed_rate, x.refused_rate, x.ended_rate, x.active_sessions)
        ),
    ]
    if not all(math.isfinite(n) and n >= 0 for n in numbers):
        raise LoadReportError("report contains a negative or non-finite number")
    return LoadReport(
        rows,
        gateway_count,
        utilization,
        host_readings,
        dict(_ACCOUNT.iter_unpack(data[start:])),
        undercount,
    )


def merge_load_reports(reports: Sequence[LoadReport], lanes: int) -> LoadReport:
    """Merge reports of `lanes` lanes each; their order makes no difference."""
    host_readings = math.fsum(x.host_readings for x in reports)
    counts: dict[int, int] = {}
    for report in reports:
        for account, n in report.account_sessions.items():
            counts[account] = counts.get(account, 0) + n
    accounts, dropped_count = heaviest_accounts(counts, account_capacity(lanes))
    return LoadReport(
        [
            LaneLoad(
                math.fsum(x.lanes[n].requested_rate for x in reports),
                math.fsum(x.lanes[n].shed_rate for x in reports),
                math.fsum(x.lanes[n].refused_rate for x in reports),
                math.fsum(x.lanes[n].ended_rate for x in reports),
                math.fsum(x.lanes[n].active_sessions for x in reports),
            )
            for n in range(lanes)
        ],
        sum(x.gateway_count for x in reports),
        math.fsum(x.utilization * x.host_readings for x in reports) / host_readings
        if host_readings > 0
        else 0.0,
        host_readings,
        accounts,
        math.fsum(x.undercount for x in reports) + dropped_count,
    )

"""The task `shed`: priority-based load shedding, lane by lane, while the hosts are overloaded.

A lane is a `priority` block of the script (the gateway's configuration file): accounts that are shed alike.
Each gateway reports, by lane, the requested, shed, refused and ended sessions per second and its active
sessions, and how full it sees the hosts. The owner of the task computes a *shed ratio* for each lane, the
share of its new sessions to reject; each gateway applies it before it asks the placement module. Active
sessions, attempts in flight and paid set-ups that may have run are never shed. A shed ratio only restricts:
an admitted session is placed by the module like any other, also with regard to cold hosts.
"""

from __future__ import annotations

import hashlib
import math
import random
import struct
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ..attempts import Key
from ..interface import Settings
from ..policy import Controller
from .host_utilization import HostUtilization, host_utilization
from .leader_task import MAX_STATE_BYTES, TaskOrder
from .load_report import (
    REPORT_INTERVAL_SECONDS,
    LaneLoad,
    LoadReport,
    LoadReportError,
    Rate,
    account_hash,
    decode_report,
    encode_report,
    lane_names_digest,
    lane_of_hash,
    merge_load_reports,
)
from .routing import Lane, account_of
from .sharing import ShedRatioController

MAX_STEP = 0.02
"""The most by which a gateway without an order moves a shed ratio per report interval."""
MIN_CHANGE = 0.02
"""Changes up to this share of the admitted sessions are ignored: random variation is as large, and each
change costs an acceptance by the voters."""
MAX_REJECTED_VIEWERS = 16_384
"""Viewers whose retry time a gateway remembers; above it, the oldest are forgotten."""
MAX_ACCOUNTS_OVER_QUOTA = 32
"""Accounts over their quota in an order."""
_HEADER = struct.Struct(">B4s")
_SHED_RATIO = struct.Struct(">I")
_ACCOUNT = struct.Struct(">Q")
RATIO_SCALE = 10**9
"""A shed ratio of 1 in its encoded form."""
FORMAT_VERSION = 1


@dataclass(frozen=True, slots=True)
class SheddingState:
    """State of the task, as decided by its owner and applied by all gateways."""

    shed_ratios: tuple[float, ...]
    over_quota: frozenset[int] = frozenset()
    """Accounts over their quota, by `account_hash`."""

    def encode(self, lanes_digest: bytes) -> bytes:
        """Return the state's binary form for lanes with this digest."""
        data = b"".join(
            (
                _HEADER.pack(FORMAT_VERSION, lanes_digest),
                *(_SHED_RATIO.pack(round(x * RATIO_SCALE)) for x in self.shed_ratios),
                *(_ACCOUNT.pack(x) for x in sorted(self.over_quota)),
            )
        )
        assert len(data) <= MAX_STATE_BYTES
        return data


def decode_state(data: bytes, lanes_digest: bytes, lanes: int) -> SheddingState:
    """Decode the state for `lanes` lanes. Raises LoadReportError if it is malformed or of other lanes."""
    start = _HEADER.size + lanes * _SHED_RATIO.size
    if not start <= len(data) <= MAX_STATE_BYTES or (len(data) - start) % _ACCOUNT.size:
        raise LoadReportError(f"unexpected length: {len(data)} bytes")
    if _HEADER.unpack_from(data) != (FORMAT_VERSION, lanes_digest):
        raise LoadReportError("state has another format version or other lanes")
    shed_ratios = tuple(x / RATIO_SCALE for (x,) in _SHED_RATIO.iter_unpack(data[_HEADER.size : start]))
    if any(x > 1.0 for x in shed_ratios):
        raise LoadReportError("shed ratio above 1")
    return SheddingState(shed_ratios, frozenset(x for (x,) in _ACCOUNT.iter_unpack(data[start:])))


@dataclass(slots=True)
class SheddingCounters:
    """Counters since the start of the process, for `/status`; lists are by lane."""

    requested: list[int]
    shed: list[int]
    refused: list[int]
    early_retries: int = 0
    """Requests before the retry time that the viewer was given."""
    unreadable: int = 0
    """Reports and orders that were malformed or of other lanes."""
    stale: int = 0
    """Orders older than one applied before."""
    forgotten: int = 0
    """Rejected viewers whose retry time was dropped before it came."""


@dataclass(slots=True)
class LaneRates:
    """Rates and active sessions of one lane at this gateway."""

    requested: Rate = field(default_factory=Rate)
    shed: Rate = field(default_factory=Rate)
    refused: Rate = field(default_factory=Rate)
    ended: Rate = field(default_factory=Rate)
    active_sessions: int = 0
    admission_credit: float = 0.0
    """Sessions that should have been admitted so far and were not, -1 to 1; carried over to the next ones."""


class LoadShedder:
    """The task `shed` of one gateway, used on its decision loop.

    The session manager calls `check_admission` for new sessions only, and reports what becomes of the
    admitted ones. One instance for each run of a gateway.
    """

    name = "shed"
    durable = False

    def __init__(
        self, lanes: Sequence[Lane], now: float, seed: int,
        read_utilization: Callable[[float], HostUtilization],
        reading_age: float, max_retry_after: float, gateway_count: int,
    ) -> None:  # fmt: skip
        """Create a load shedder; raises ValueError without lanes.

        `read_utilization` returns the hosts' utilization at a time; `reading_age` is its age in seconds;
        `max_retry_after` is the longest retry delay in seconds that viewers honour; `gateway_count` is the
        number of gateways that share the hosts, including this one.
        """
        if not lanes:
            raise ValueError("lanes must not be empty")
        self._read_utilization, self._reading_age, self._max_retry_after, self._gateway_count = (
            read_utilization,
            reading_age,
            max_retry_after,
            gateway_count,
        )
        self._random = random.Random(seed)
        self._sessions: dict[Key, tuple[int, str]] = {}
        """Lane and account of each admitted session; the lane is that of its admission."""
        self._account_sessions: dict[str, int] = {}
        self._quota_sessions: dict[int, int] = {}
        """Sessions of the accounts with a quota, by `account_hash`, ready for the next report."""
        self._rejected_until: OrderedDict[str, float] = OrderedDict()
        self._version = (0, 0)
        self._order_expires_at = -math.inf
        self._stepped_at = now
        self._disabled = False
        self._set_lanes(lanes)

    @classmethod
    def for_gateway(
        cls, lanes: Sequence[Lane], settings: Settings, controller: Controller, now: float, seed: int
    ) -> LoadShedder:
        """Return a load shedder that reads the utilization from this placement module."""
        return cls(
            lanes, now, seed, lambda read_at: host_utilization(read_at, controller.fleet, settings),
            settings.note_delay + settings.note_interval / 2, settings.max_retry_after, settings.gateways,
        )  # fmt: skip

    def _set_lanes(self, lanes: Sequence[Lane]) -> None:
        self.lanes = tuple(lanes)
        self.lanes_digest = lane_names_digest(x.name for x in lanes)
        self._lane_by_account: dict[str, int] = {}
        self._lane_by_prefix: dict[str, int] = {}
        for n, lane in enumerate(lanes):
            for x in lane.accounts:
                (self._lane_by_prefix if x.endswith("*") else self._lane_by_account).setdefault(
                    x.removesuffix("*"), n
                )
        self._prefix_lengths = sorted({len(x) for x in self._lane_by_prefix})
        self._rates = [LaneRates() for _ in lanes]
        self._state = SheddingState((0.0,) * len(lanes))
        self._owner_controller, self._local_controller = (
            ShedRatioController(lanes, self._reading_age),
            ShedRatioController(lanes, self._reading_age),
        )
        self.counts = SheddingCounters([0] * len(lanes), [0] * len(lanes), [0] * len(lanes))

    def reload(self, now: float, lanes: Sequence[Lane]) -> None:
        """Replace the lanes or their accounts.

        An active session stays in the lane that admitted it; if that lane is gone, it moves to the lane that
        its account has now. Shed ratios are kept if the names of the lanes are the same. Without lanes
        nothing is shed.
        """
        old, rates, state, counts = self.lanes, self._rates, self._state, self.counts
        self._disabled = not lanes
        lanes = lanes or (Lane(name=""),)
        self._set_lanes(lanes)
        self._quota_sessions = {}
        for account, n in self._account_sessions.items():
            self._add_quota_sessions(account, n)
        if [x.name for x in old] == [x.name for x in lanes]:
            self._rates, self._state, self.counts = rates, state, counts
            return
        lane_numbers = {x.name: n for n, x in enumerate(lanes)}
        for key, (lane, account) in self._sessions.items():
            new_lane = lane_numbers.get(old[lane].name, self._configured_lane(account))
            self._sessions[key] = new_lane, account
            self._rates[new_lane].active_sessions += 1

    def _configured_lane(self, account: str) -> int:
        """Return the first lane whose accounts match, or the last lane."""
        found = self._lane_by_account.get(account, len(self.lanes) - 1)
        for length in self._prefix_lengths:
            if length > len(account):
                break
            found = min(found, self._lane_by_prefix.get(account[:length], found))
        return found

    def lane_for_next_session(self, account: str) -> int:
        """Return the lane of an account's next session: the last lane if the account is at its quota."""
        lane = self._configured_lane(account)
        quota = self.lanes[lane].most_per_account
        if quota and (
            self._account_sessions.get(account, 0) >= quota
            or account_hash(account, lane) in self._state.over_quota
        ):
            return len(self.lanes) - 1
        return lane

    # Called by the session manager

    def check_admission(self, now: float, viewer: str) -> tuple[float, str] | None:
        """Return None if a viewer's new session is admitted, else the retry delay in seconds and the cause.

        At any time the number of admitted sessions differs by less than one from what the shed ratio allows,
        however few there are. A retry before the given time is rejected again and not counted as a request.
        """
        lane = self.lane_for_next_session(account_of(viewer))
        rates, shed_ratio = self._rates[lane], self.shed_ratios(now)[lane]
        rejected_until = self._rejected_until.get(viewer, -math.inf)
        if shed_ratio > 0.0 and now < rejected_until:
            self.counts.early_retries += 1
            return rejected_until - now, self._cause(lane)
        rates.requested.add_event(now)
        self.counts.requested[lane] += 1
        self._rejected_until.pop(viewer, None)
        if shed_ratio <= 0.0:
            return None
        admitted_share = 1.0 - shed_ratio
        if admitted_share > 0.0 and rates.admission_credit + admitted_share > self._draw(viewer):
            rates.admission_credit += admitted_share - 1.0
            return None
        rates.admission_credit += admitted_share if admitted_share > 0.0 else 0.0
        rates.shed.add_event(now)
        self.counts.shed[lane] += 1
        retry_after = self._retry_after(admitted_share)
        self._rejected_until[viewer] = now + retry_after
        while len(self._rejected_until) > MAX_REJECTED_VIEWERS or (
            self._rejected_until and next(iter(self._rejected_until.values())) <= now
        ):
            _, retry_at = self._rejected_until.popitem(last=False)
            self.counts.forgotten += retry_at > now
        return retry_after, self._cause(lane)

    def _cause(self, lane: int) -> str:
        return f"more is asked than hosts carry: lane {self.lanes[lane].name}"

    def _draw(self, viewer: str) -> float:
        """Return a number from 0 to 1, the same at every gateway for one viewer and one version of the
        order."""
        data = f"{self._version[0]}.{self._version[1]}.{viewer}".encode()
        return int.from_bytes(hashlib.blake2b(data, digest_size=7).digest()) / 2.0**56

    def _retry_after(self, admitted_share: float) -> float:
        """Return a retry delay in seconds, with jitter.

        The delay is drawn from the upper half of the expected time until one of the lane's sessions is
        admitted if one per report interval tries, so that viewers rejected together do not return together.
        """
        delay = min(
            self._max_retry_after,
            REPORT_INTERVAL_SECONDS / admitted_share if admitted_share > 0.0 else self._max_retry_after,
        )
        return delay * (0.5 + 0.5 * self._random.random())

    def session_admitted(self, now: float, key: Key) -> None:
        """Count a session handed to the module; one already known (moved or taken over) counts once."""
        if key in self._sessions:
            return
        account = account_of(key[0])
        lane = self.lane_for_next_session(account)
        self._sessions[key] = lane, account
        self._rates[lane].active_sessions += 1
        self._account_sessions[account] = self._account_sessions.get(account, 0) + 1
        self._add_quota_sessions(account, 1)

    def _add_quota_sessions(self, account: str, sessions: int) -> None:
        lane = self._configured_lane(account)
        if self.lanes[lane].most_per_account:
            hashed = account_hash(account, lane)
            self._quota_sessions[hashed] = self._quota_sessions.get(hashed, 0) + sessions
            if not self._quota_sessions[hashed]:
                del self._quota_sessions[hashed]

    def session_refused(self, now: float, key: Key) -> None:
        """Count an admitted session that the module found no capacity for; `session_ended` must follow."""
        lane = self._sessions[key][0] if key in self._sessions else len(self.lanes) - 1
        self._rates[lane].refused.add_event(now)
        self.counts.refused[lane] += 1

    def session_ended(self, now: float, key: Key, had_capacity: bool) -> None:
        """Remove a session; `had_capacity`: it occupied capacity of a host that is free again now."""
        found = self._sessions.pop(key, None)
        if found is None:
            return
        lane, account = found
        self._rates[lane].active_sessions -= 1
        if had_capacity:
            self._rates[lane].ended.add_event(now)
        self._account_sessions[account] -= 1
        if not self._account_sessions[account]:
            del self._account_sessions[account]
        self._add_quota_sessions(account, -1)

    # The leader task

    def shed_ratios(self, now: float) -> tuple[float, ...]:
        """Return the shed ratios in force here, by lane.

        They are those of the order. Without a current order they move from the last ones in small steps
        towards those computed from this gateway's own load.
        """
        if self._disabled:
            return (0.0,) * len(self.lanes)
        if now < self._order_expires_at:
            self._stepped_at = now
        elif now - self._stepped_at >= REPORT_INTERVAL_SECONDS:
            # One step, however long ago the last request was: an idle time must not cause a jump.
            self._stepped_at = now
            current = self._state.shed_ratios
            target = self._local_controller.shed_ratios(
                now, self._local_load(now), current, self._gateway_count
            )
            shed_ratios = tuple(
                x + max(-MAX_STEP, min(MAX_STEP, y - x)) for x, y in zip(current, target, strict=True)
            )
            self._state = SheddingState(shed_ratios, self._state.over_quota)
        return self._state.shed_ratios

    def _local_load(self, now: float) -> LoadReport:
        reading = self._read_utilization(now)
        return LoadReport(
            [
                LaneLoad(
                    x.requested.per_second(now), x.shed.per_second(now), x.refused.per_second(now),
                    x.ended.per_second(now), x.active_sessions,
                )
                for x in self._rates
            ],
            1, reading.utilization, float(reading.host_count), self._quota_sessions,
        )  # fmt: skip

    def local_report(self, now: float) -> bytes:
        """Return this gateway's encoded load report."""
        return encode_report(self._local_load(now), self.lanes_digest)

    def merge_reports(self, parts: Sequence[bytes]) -> bytes:
        """Merge encoded reports; those that are malformed or of other lanes are skipped and counted."""
        reports = []
        for part in parts:
            try:
                reports.append(decode_report(part, self.lanes_digest, len(self.lanes)))
            except LoadReportError:
                self.counts.unreadable += 1
        return encode_report(merge_load_reports(reports, len(self.lanes)), self.lanes_digest)

    def decide(self, now: float, state: bytes, merged_report: bytes) -> bytes:
        """Return a new state if shed ratios change by more than random variation, else `state` itself."""
        try:
            current = decode_state(state, self.lanes_digest, len(self.lanes))
        except LoadReportError:
            self.counts.unreadable += bool(state)
            current = SheddingState((0.0,) * len(self.lanes))
        try:
            report = decode_report(merged_report, self.lanes_digest, len(self.lanes))
        except LoadReportError:
            self.counts.unreadable += 1
            return state
        shed_ratios = self._owner_controller.shed_ratios(now, report, current.shed_ratios)
        over_quota = self._over_quota(report)
        changed = any(
            abs(x - y) > MIN_CHANGE * (1.0 - x) or (x > 0.0 and y == 0.0)
            for x, y in zip(current.shed_ratios, shed_ratios, strict=True)
        )
        if not changed and over_quota == current.over_quota:
            return state
        return SheddingState(tuple(shed_ratios) if changed else current.shed_ratios, over_quota).encode(
            self.lanes_digest
        )

    def _over_quota(self, report: LoadReport) -> frozenset[int]:
        """Return the heaviest accounts at or over their quota; their counts are never too high."""
        found = []
        for account, n in report.account_sessions.items():
            lane = lane_of_hash(account)
            quota = self.lanes[lane].most_per_account if lane < len(self.lanes) else 0
            if quota and n >= quota:
                found.append((-n, account))
        return frozenset(x for _, x in sorted(found)[:MAX_ACCOUNTS_OVER_QUOTA])

    def apply_order(self, now: float, order: TaskOrder) -> None:
        """Apply an order unless it is older than the last one or unreadable; both are counted."""
        if order.version < self._version:
            self.counts.stale += 1
            return
        try:
            self._state = decode_state(order.state, self.lanes_digest, len(self.lanes))
        except LoadReportError:
            self.counts.unreadable += bool(order.state)
            return
        self._version, self._order_expires_at = order.version, order.expires_at

    def expire_order(self, now: float) -> None:
        """End the current order; from now on this gateway moves the shed ratios itself."""
        self._order_expires_at = min(self._order_expires_at, now)

    def restore_order(self, now: float, order: TaskOrder) -> None:
        """Do nothing: shed ratios are not persisted across restarts."""

    def status(self, now: float) -> dict[str, object]:
        """Return the `/status` section: version of the order, shed ratio and counters of each lane."""
        shed_ratios, counts = self.shed_ratios(now), self.counts
        return {
            "alone": now >= self._order_expires_at, "term": self._version[0], "number": self._version[1],
            "lanes": {
                x.name: {
                    "cut": round(shed_ratios[n], 4), "asked": counts.requested[n],
                    "turned_away": counts.shed[n], "refused": counts.refused[n],
                    "playing": self._rates[n].active_sessions,
                } for n, x in enumerate(self.lanes)
            },
            "over_their_bound": len(self._state.over_quota), "insisted": counts.early_retries,
            "unreadable": counts.unreadable, "stale": counts.stale, "forgotten": counts.forgotten,
        }  # fmt: skip

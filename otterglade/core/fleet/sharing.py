"""Allocation of new sessions to lanes, from requested rates, active sessions and the hosts' capacity.

The main risk is herd behaviour: hundreds of gateways acting on the same outdated number (Mitzenmacher 2000).
The allocation is therefore based on the *requested* rates, which do not change with the shed ratios. Only the
free capacity does, and a deviation from it is corrected over the loop's delay times e, the shortest time at
which a control loop with that delay does not oscillate.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence

from .load_report import RATE_WINDOW_SECONDS, REPORT_INTERVAL_SECONDS, LaneLoad, LoadReport
from .routing import Lane

SMOOTHING_LOOPS = 3.0
"""Longest smoothing window of rates, in loop times: a window of one loop time at a few hundred sessions a
second would still move shed ratios by 0.1."""
WINDOW_RATIO = 3.0
"""Length of each smoothing window over that of the next shorter one."""
CHANGE_DEVIATIONS = 4.0
"""Standard deviations of a Poisson count beyond which a change of the requested rate is not random."""
INCREASE_DEVIATIONS = 2.0
"""Standard deviations beyond which a shorter mean raises the estimate by its excess."""
RESERVED_DEVIATIONS = 1.0
"""Standard deviations of what the higher lanes request within the loop time: kept free of lower lanes (trunk
reservation, Key 1990), so that higher lanes find capacity in any order of arrival."""
REFUSAL_WEIGHT = 8.0
"""Factor on the module's refusals that are subtracted from the free capacity once they have lasted for the
loop time."""


class AdaptiveMean:
    """Smoothed rate: the longest of several exponential means that no shorter one contradicts.

    Windows are chosen as in ADWIN (Bifet and Gavalda 2007): a step is followed by the shortest window at
    once, a drift by those in between, and in steady state the longest window is used. If a shorter mean is
    likely to be higher, the higher value counts: an unnoticed increase would use up the capacity of the
    higher lanes.
    """

    def __init__(self, longest: float) -> None:
        """`longest`: upper limit of the windows in seconds."""
        self._windows = [RATE_WINDOW_SECONDS]
        while self._windows[-1] * WINDOW_RATIO < longest:
            self._windows.append(self._windows[-1] * WINDOW_RATIO)
        self._means = [0.0] * len(self._windows)
        self._observed_seconds = 0.0

    def update(self, rate: float, elapsed: float) -> float:
        """Add a rate observed over the last `elapsed` seconds; return the smoothed rate."""
        self._observed_seconds += elapsed
        self._means[0] = rate  # already averaged over RATE_WINDOW_SECONDS
        for n, window in enumerate(self._windows[1:], 1):
            self._means[n] += (rate - self._means[n]) * min(
                1.0, elapsed / min(window, self._observed_seconds)
            )
        value, likely = self._means[0], 0.0
        for n in range(1, len(self._windows)):
            mean, shorter = self._means[n], self._means[n - 1]
            deviation = math.sqrt(max(shorter, 1.0 / RATE_WINDOW_SECONDS) / (2.0 * self._windows[n - 1]))
            if abs(mean - shorter) > CHANGE_DEVIATIONS * deviation:
                break
            value, likely = mean, max(likely, shorter - INCREASE_DEVIATIONS * deviation)
        return max(value, likely)


class HazardRate:
    """Share of the active sessions that ends per second.

    It is steadier than the rate of ends, and stays right when the number of active sessions jumps.
    """

    def __init__(self, window: float) -> None:
        """`window`: time constant of the averages in seconds."""
        self._window, self._observed_seconds, self._ended_rate, self._active = window, 0.0, 0.0, 0.0

    def expected_end_rate(self, ended_rate: float, active: float, elapsed: float) -> float:
        """Add an observation of the last `elapsed` seconds; return the expected ends per second."""
        self._observed_seconds = min(self._window, self._observed_seconds + elapsed)
        weight = min(1.0, elapsed / self._observed_seconds) if self._observed_seconds > 0 else 1.0
        self._ended_rate += (ended_rate - self._ended_rate) * weight
        self._active += (active - self._active) * weight
        return active * self._ended_rate / self._active if self._active > 0 else 0.0


def correction_rate(missing: float, capacity: float, loop_seconds: float, lifetime: float) -> float:
    """Return the sessions per second that correct a deviation from `capacity`.

    `missing` is the number of sessions below capacity, negative if above it; `lifetime` is the mean duration
    of a session in seconds. The part within one standard deviation of a Poisson count is corrected at the
    rate at which sessions come and go: a faster correction would move shed ratios without need. The part
    beyond it is not random and is corrected within `loop_seconds`.
    """
    random_part = min(abs(missing), math.sqrt(max(capacity, 1.0)))
    return math.copysign(
        random_part / max(loop_seconds, lifetime) + (abs(missing) - random_part) / loop_seconds, missing
    )


def allocate_admissions(
    lanes: Sequence[Lane], loads: Sequence[LaneLoad], capacity: float, denied_rate: float, loop_seconds: float
) -> list[float]:
    """Return for each lane the new sessions per second to admit, at most its requested rate.

    `capacity` is the number of sessions that hosts carry at floors; `denied_rate` is subtracted from the free
    capacity; `loop_seconds` is the time over which free capacity is given out or an excess corrected.
    Each lane's `least` is served first, so that no lane starves; then the reserves. The remainder goes by
    precedence to all that request it, so no capacity is withheld for a lane that does not request any.
    """
    active, ended_rate = sum(x.active_sessions for x in loads), sum(x.ended_rate for x in loads)
    lifetime = active / max(ended_rate, 1e-9)
    free_rate = correction_rate(capacity - active, capacity, loop_seconds, lifetime)
    remaining = ended_rate + free_rate - min(denied_rate, max(0.0, free_rate))

    def guaranteed_rate(n: int, share: float) -> float:
        """Return the rate that brings lane `n` to its share of the capacity, or keeps it there.

        It is 0 for a lane that will be above its share by more than chance when the result takes effect:
        sessions of other lanes would be rejected for nothing in the meantime.
        """
        target, load = share * capacity, loads[n]
        if (
            not target
            or load.active_sessions - load.ended_rate * 2 * REPORT_INTERVAL_SECONDS
            > target + math.sqrt(target)
        ):
            return 0.0
        return max(
            0.0, min(load.requested_rate, load.ended_rate + (target - load.active_sessions) / loop_seconds)
        )

    admitted = [guaranteed_rate(n, x.least) for n, x in enumerate(lanes)]
    remaining -= sum(admitted)
    for n, lane in enumerate(lanes):
        extra = max(0.0, min(guaranteed_rate(n, lane.reserve) - admitted[n], remaining))
        admitted[n] += extra
        remaining -= extra
    higher_requested = 0.0
    for n, load in enumerate(loads):
        reserved = RESERVED_DEVIATIONS * math.sqrt(loop_seconds * higher_requested) / loop_seconds
        extra = max(0.0, min(load.requested_rate - admitted[n], remaining - reserved))
        admitted[n] += extra
        remaining -= extra
        higher_requested += load.requested_rate
    return admitted


class ShedRatioController:
    """Computes each lane's shed ratio from successive load reports.

    The owner of the task feeds it reports of the whole fleet; a gateway without an order its own reports.
    """

    def __init__(self, lanes: Sequence[Lane], reading_age: float) -> None:
        """`reading_age`: age in seconds of the host readings when they are reported."""
        self.lanes = tuple(lanes)
        self._reading_age = reading_age
        self.loop_seconds = math.e * (reading_age + 2 * REPORT_INTERVAL_SECONDS)
        """The loop's delay (age of readings, a report's way up and an order's way down) times e."""
        self._reset()

    def _reset(self) -> None:
        self._updated_at = self._reset_at = -math.inf
        self._requested = [AdaptiveMean(SMOOTHING_LOOPS * self.loop_seconds) for _ in self.lanes]
        self._ended = [HazardRate(SMOOTHING_LOOPS * self.loop_seconds) for _ in self.lanes]
        self._denied_rate = 0.0
        self._active_history: deque[tuple[float, float]] = deque()
        """Times and active sessions per reporting gateway, back to the time of the current host readings."""
        self._max_gateways = 1
        """The most gateways in one report."""
        self._capacity_per_gateway = 0.0
        """Sessions that hosts carry, per reporting gateway."""
        self.admitted_rates: list[float] = []

    def shed_ratios(
        self, now: float, report: LoadReport, current: Sequence[float], alike: int = 1
    ) -> list[float]:
        """Return the shed ratios to apply after `current`, or `current` while too little is known.

        `alike`: number of gateways that are assumed to have the same load as the report. The hosts' capacity
        is shared by all of them, so random variation is that of all together.
        """
        elapsed = now - self._updated_at
        if elapsed > self.loop_seconds:
            self._reset()
            self._reset_at, elapsed = now, REPORT_INTERVAL_SECONDS
        self._updated_at = now
        gateways = max(1, report.gateway_count)
        # Scale to the most gateways seen in one report, so that a late branch of the tree moves no rate.
        self._max_gateways = max(self._max_gateways, gateways)
        scale, factor = self._max_gateways / gateways, float(alike)
        active = sum(x.active_sessions for x in report.lanes)
        self._active_history.append((now, active / gateways))
        while len(self._active_history) > 1 and self._active_history[1][0] <= now - self._reading_age:
            self._active_history.popleft()
        loads = [
            LaneLoad(
                requested_rate=factor * self._requested[n].update(x.requested_rate * scale, elapsed),
                ended_rate=factor
                * self._ended[n].expected_end_rate(x.ended_rate * scale, x.active_sessions * scale, elapsed),
                active_sessions=factor * x.active_sessions * scale,
            )
            for n, x in enumerate(report.lanes)
        ]
        if not report.host_readings:
            return list(current)
        if report.utilization <= 0:
            return [0.0] * len(self.lanes)
        capacity_per_gateway = self._active_history[0][1] / report.utilization
        is_first = not self._capacity_per_gateway
        self._capacity_per_gateway += (capacity_per_gateway - self._capacity_per_gateway) * (
            1.0 if is_first else min(1.0, elapsed / (self._reading_age + REPORT_INTERVAL_SECONDS))
        )
        capacity = self._capacity_per_gateway * self._max_gateways * factor
        # Refusals while hosts are full add no information; otherwise they show that the free capacity is not
        # where it is requested.
        has_free_capacity = capacity - factor * scale * active > math.sqrt(max(capacity, 1.0))
        refused_rate = (
            sum(x.refused_rate for x in report.lanes) * scale * factor if has_free_capacity else 0.0
        )
        self._denied_rate += elapsed / self.loop_seconds * (refused_rate * REFUSAL_WEIGHT - self._denied_rate)
        self.admitted_rates = allocate_admissions(
            self.lanes, loads, capacity, self._denied_rate, self.loop_seconds
        )
        if now - self._reset_at < self._reading_age:
            return list(current)  # a single report is too noisy, and a new owner must not start with a jump
        return [_shed_ratio(x.requested_rate, y) for x, y in zip(loads, self.admitted_rates, strict=True)]


def _shed_ratio(requested_rate: float, admitted_rate: float) -> float:
    """Return 0 for a lane without requests: its first sessions are admitted, and the next report has them."""
    return 0.0 if requested_rate <= admitted_rate + 1e-9 else 1.0 - admitted_rate / requested_rate

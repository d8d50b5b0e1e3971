"""The last line of a played fleet: its figures, as JSON."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from .judge import Verdict, highest_rate, percentile
from .layout import Layout
from .records import TrafficRecord


class Result(msgspec.Struct, frozen=True):
    """What a run has measured."""

    gateways: int
    relays: int
    processes: int
    changes: int
    in_force_p50_s: float | None
    in_force_p99_s: float | None
    in_force_max_s: float | None
    counted_p99_s: float | None
    counted_max_s: float | None
    """As the two before, counted from the end of the last outage that kept a change away."""
    late: int
    late_at_gateways: int
    stale: int
    unverified: int
    """Applied revisions whose accepted digest the observers did not see."""
    bytes_s_mean: float
    bytes_s_max: float
    cpu_share_max: float | None
    relay_cpu_share_max: float | None
    writer_cpu_share_max: float | None
    memory_mb: float
    proposal_retries: int
    faults: tuple[str, ...]
    missed_faults: tuple[str, ...]
    """Faults that could not be carried out."""
    findings: tuple[str, ...]
    records: str | None
    """The folder with the records, kept where something was found."""

    @property
    def sound(self) -> bool:
        """Whether nothing was late and nothing was stale."""
        return not self.late and not self.stale


class Rates(msgspec.Struct, frozen=True):
    """Bytes a second of a gateway."""

    mean: float
    highest: float
    """Of any gateway, over any ten seconds."""


def rates(traffic: Iterable[TrafficRecord], since: float, until: float) -> Rates:
    """From the records of all processes, over whole seconds between two monotonic times."""
    total = gateway_seconds = 0
    highest = 0.0
    for record in traffic:
        first, last = math.ceil(since - record.began), math.floor(until - record.began)
        for seconds in record.gateways.values():
            counted = seconds[first:last]
            total += sum(counted)
            gateway_seconds += last - first
            highest = max(highest, highest_rate(counted))
    return Rates(total / gateway_seconds if gateway_seconds else 0.0, highest)


def rounded(value: float | None, digits: int = 3) -> float | None:
    """A figure with so many digits, where there is one."""
    return None if value is None else round(value, digits)


class Figures(msgspec.Struct, frozen=True):
    """What was measured beside the verdict."""

    processes: int
    rates: Rates
    gateway_shares: Sequence[float]
    relay_shares: Mapping[str, float]
    writers: frozenset[str]
    memory_mb: float
    retries: int
    faults: tuple[str, ...]
    missed_faults: tuple[str, ...]


def result_of(layout: Layout, verdict: Verdict, figures: Figures, records: str | None) -> Result:
    """Put the verdict and the figures together."""
    delays = sorted(verdict.delays)
    counted = sorted(verdict.counted_delays)
    writers = [share for name, share in figures.relay_shares.items() if name in figures.writers]
    relays = [share for name, share in figures.relay_shares.items() if name not in figures.writers]
    return Result(
        gateways=layout.gateways,
        relays=layout.relays,
        processes=figures.processes,
        changes=verdict.changes,
        in_force_p50_s=rounded(percentile(delays, 0.5)),
        in_force_p99_s=rounded(percentile(delays, 0.99)),
        in_force_max_s=rounded(delays[-1] if delays else None),
        counted_p99_s=rounded(percentile(counted, 0.99)),
        counted_max_s=rounded(counted[-1] if counted else None),
        late=verdict.late,
        late_at_gateways=verdict.late_at_gateways,
        stale=verdict.stale,
        unverified=verdict.unverified,
        bytes_s_mean=round(figures.rates.mean, 1),
        bytes_s_max=round(figures.rates.highest, 1),
        cpu_share_max=rounded(max(figures.gateway_shares, default=None), 5),
        relay_cpu_share_max=rounded(max(relays, default=None), 4),
        writer_cpu_share_max=rounded(max(writers, default=None), 4),
        memory_mb=round(figures.memory_mb, 1),
        proposal_retries=figures.retries,
        faults=figures.faults,
        missed_faults=figures.missed_faults,
        findings=tuple(verdict.findings),
        records=records,
    )

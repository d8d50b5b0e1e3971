"""Judges a played fleet by its records: how long changes took, which came late, and which readers went back.

A pure function of records. All times are of one machine's monotonic clock.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from ...core.distribution.revision import GENESIS, RevisionId
from .records import ROOT_BYTES, Applied

LATE_SECONDS = 18.0
"""A change that is not in force at a reachable gateway after this time is late."""
MOST_FINDINGS = 20
"""Findings that are told in words at most."""
WINDOW_SECONDS = 10
"""Seconds over which a gateway's bytes are averaged for the highest rate."""


class SentChange(msgspec.Struct, frozen=True):
    """A change, and the revision that has it."""

    proposal: str
    sent_at: float
    revision: RevisionId | None
    """None: nobody has accepted it."""


class Outage(msgspec.Struct, frozen=True):
    """A fault that keeps changes from gateways while it lasts."""

    kind: str
    since: float
    until: float
    zone: str | None
    """The zone whose gateways are kept from changes; None: all gateways."""


@dataclass(slots=True)
class Evidence:
    """All that a run has recorded."""

    changes: Sequence[SentChange]
    gateway_zones: Mapping[int, str]
    """Zone of each gateway by its number."""
    applied: Mapping[int, Sequence[Applied]]
    """What each gateway has recorded, in its order."""
    accepted: Mapping[RevisionId, bytes]
    """The digest of each revision that a majority of voters has accepted; empty: unknown."""
    outages: Sequence[Outage] = ()


@dataclass(slots=True)
class Verdict:
    """What the records prove."""

    changes: int = 0
    late: int = 0
    """Changes that were late at one gateway at least."""
    late_at_gateways: int = 0
    """Pairs of a late change and a gateway."""
    stale: int = 0
    unverified: int = 0
    """Applied revisions of which the accepted digest is unknown."""
    findings: list[str] = field(default_factory=list)
    delays: array[float] = field(default_factory=lambda: array("d"))
    """Of each change at each gateway where it came into force, from its sending."""
    counted_delays: array[float] = field(default_factory=lambda: array("d"))
    """The same, counted from the end of the last outage that kept it away."""

    def tell(self, finding: str) -> None:
        """Keep a finding in words, the first MOST_FINDINGS of them."""
        if len(self.findings) < MOST_FINDINGS:
            self.findings.append(finding)

    @property
    def sound(self) -> bool:
        """Whether nothing was late and nothing was stale."""
        return not self.late and not self.stale


def judge(evidence: Evidence) -> Verdict:
    """What the records of a run prove."""
    verdict = Verdict(changes=len(evidence.changes))
    agreed = _Agreed(evidence)
    late: set[str] = {x.proposal for x in evidence.changes if x.revision is None}
    for proposal in sorted(late):
        verdict.tell(f"late: {proposal} was never accepted")
    accepted = sorted(
        ((x.revision, x) for x in evidence.changes if x.revision is not None),
        key=lambda pair: (pair[0], pair[1].sent_at),
    )
    for gateway, zone in evidence.gateway_zones.items():
        entries = evidence.applied.get(gateway, ())
        _judge_order(verdict, entries, agreed)
        outages = [x for x in evidence.outages if x.zone in (None, zone)]
        _judge_delays(verdict, gateway, accepted, entries, outages, late)
    verdict.late = len(late)
    return verdict


class _Agreed:
    """What the voters have accepted."""

    def __init__(self, evidence: Evidence) -> None:
        self.roots = {revision: root[:ROOT_BYTES] for revision, root in evidence.accepted.items()}
        ids = {*self.roots, *(x.revision for x in evidence.changes if x.revision is not None)}
        self._by_number = {x.number: x for x in ids}

    def rival_of(self, revision: RevisionId) -> RevisionId | None:
        """The accepted revision in whose place this one stands; None: there is none. Accepted revisions are
        numbered in one line across terms."""
        found = self._by_number.get(revision.number)
        return None if found == revision else found


def _judge_order(verdict: Verdict, entries: Sequence[Applied], agreed: _Agreed) -> None:
    """Count what one gateway should not have acted upon."""
    newest = GENESIS
    for entry in entries:
        if entry.revision < newest:
            verdict.stale += 1
            verdict.tell(f"stale: gateway {entry.gateway} went from {newest} back to {entry.revision}")
            continue
        newest = entry.revision
        if newest == GENESIS:
            continue
        root = agreed.roots.get(newest)
        rival = agreed.rival_of(newest)
        if root is None and rival is not None:
            verdict.stale += 1
            verdict.tell(f"stale: gateway {entry.gateway} acts on {newest}, accepted was {rival}")
        elif root is None:
            verdict.unverified += 1
        elif root != entry.root:
            verdict.stale += 1
            verdict.tell(f"stale: gateway {entry.gateway} acts on another content of {newest} than accepted")


def _judge_delays(
    verdict: Verdict,
    gateway: int,
    accepted: Sequence[tuple[RevisionId, SentChange]],
    entries: Sequence[Applied],
    outages: Sequence[Outage],
    late: set[str],
) -> None:
    """Note how long each change took to one gateway."""
    risen = _rising(entries)
    place = 0
    for revision, change in accepted:
        while place < len(risen) and risen[place].revision < revision:
            place += 1
        in_force_at = risen[place].at if place < len(risen) else None
        counted_from = _counted_from(change.sent_at, in_force_at, outages)
        if in_force_at is not None:
            verdict.delays.append(in_force_at - change.sent_at)
            verdict.counted_delays.append(max(0.0, in_force_at - counted_from))
        if in_force_at is None or in_force_at - counted_from > LATE_SECONDS:
            late.add(change.proposal)
            verdict.late_at_gateways += 1
            verdict.tell(f"late: {change.proposal} ({revision}) at gateway {gateway}: {in_force_at}")


def _rising(entries: Iterable[Applied]) -> list[Applied]:
    """Those entries that are later revisions than all before them."""
    risen: list[Applied] = []
    newest = GENESIS
    for entry in entries:
        if entry.revision > newest:
            newest = entry.revision
            risen.append(entry)
    return risen


def _counted_from(sent_at: float, in_force_at: float | None, outages: Sequence[Outage]) -> float:
    """The time from which a change's delay counts: its sending, or the end of the last outage before which it
    had neither come into force nor become late."""
    since = sent_at
    for outage in sorted(outages, key=lambda x: x.since):
        over = in_force_at is not None and in_force_at <= outage.since
        if outage.until > since and outage.since <= since + LATE_SECONDS and not over:
            since = outage.until
    return since


def percentile(values: Sequence[float], share: float) -> float | None:
    """The value that so large a share of the sorted values does not exceed; None: there are no values."""
    if not values:
        return None
    return values[min(len(values) - 1, int(share * len(values)))]


def highest_rate(seconds: Sequence[int], window: int = WINDOW_SECONDS) -> float:
    """The highest mean of `window` consecutive seconds; of all of them where there are fewer."""
    if not seconds:
        return 0.0
    width = min(window, len(seconds))
    total = highest = sum(seconds[:width])
    for place in range(width, len(seconds)):
        total += seconds[place] - seconds[place - width]
        highest = max(highest, total)
    return highest / width

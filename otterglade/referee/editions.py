"""Which rules sessions were decided under: only such as were admitted, and none beside others in conflict.

Gateways note which edition comes into force and what each order that they obey admits; hosts note the set-ups
that came of it, the stage what each edition says. Whether two editions conflict is judged by brute force.
"""

from __future__ import annotations

import bisect
import itertools
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from . import routes
from .judge import WAY, Finding, run_of
from .records import Event, Records

TAKEN = 6.0
"""Seconds for which attempts at a session may go on: the longest patience of the lab's viewers, and more."""
NONE = ""
"""No edition: the region's own hosts alone."""


@dataclass(slots=True)
class Editions:
    unadmitted: list[Finding] = field(default_factory=list)
    """Decisions on an edition that no order admits any more, or ever did."""
    conflicting: list[Finding] = field(default_factory=list)
    """Pairs of editions in conflict under both of which was decided while both were in force."""
    astray: list[Finding] = field(default_factory=list)
    """Set-ups at hosts of regions to which no edition that was in force sends them."""
    decisions: int = 0
    admitted: int = 0
    """Editions that came into force anywhere."""
    refused: int = 0
    """Editions of which a refusal was told."""


@dataclass(frozen=True, slots=True)
class _Span:
    """An edition in force in one run."""

    run: str
    edition: str
    begin: float
    end: float


def _spans(records: Records) -> list[_Span]:
    open_: dict[str, tuple[str, float]] = {}
    found = []
    last = max((x["t"] for x in records.gateways), default=0.0)
    for event in records.of(records.gateways, "routes_in_force", "routes_at_home"):
        run = f"{event['gateway']}.{event['epoch']}"
        before = open_.get(run)
        if before is not None:
            found.append(_Span(run, *before, event["t"]))
        open_[run] = (event["edition"] if event["ev"] == "routes_in_force" else NONE, event["t"])
    found += [_Span(run, edition, at, last) for run, (edition, at) in open_.items()]
    return [x for x in found if x.edition]


def judge(records: Records, regions: Mapping[int, str] | None = None) -> Editions:
    """Judge a stage's records. `regions`: of each host, where it counts to which a set-up went."""
    found = Editions()
    spans = _spans(records)
    found.admitted = len({x.edition for x in spans})
    found.refused = len({x["edition"] for x in records.of(records.gateways, "routes_refused")})
    decided: dict[str, list[Event]] = defaultdict(list)
    for event in records.of(records.hosts, "asked"):
        decided[run_of(event["setup"])].append(event)
    times: dict[_Span, list[float]] = {}
    for span in spans:
        # A set-up on its way while the edition changes was decided under the one before.
        some = [x["t"] for x in decided[span.run] if span.begin + WAY <= x["t"] < span.end]
        times[span] = sorted(some)
        found.decisions += len(some)
    _astray(records, spans, decided, regions or {}, found)
    _unadmitted(records, times, found)
    _conflicting(records, times, found)
    return found


def _astray(
    records: Records, spans: Sequence[_Span], decided: Mapping[str, Sequence[Event]],
    regions: Mapping[int, str], found: Editions,
) -> None:  # fmt: skip
    """A session keeps to the rules that it was taken under, for as long as its viewer waits."""
    parts = {x["digest"]: x["part"] for x in records.of(records.stage, "edition")}
    by_run: dict[str, list[_Span]] = defaultdict(list)
    for span in spans:
        by_run[span.run].append(span)
    for run, some in by_run.items():
        for event in decided[run]:
            t, host = event["t"], regions.get(event["host"])
            held = [x.edition for x in some if x.begin <= t and x.end >= t - TAKEN]
            if host is None or not held or some[0].begin > t - TAKEN or not {*held} <= parts.keys():
                continue
            may = [_sent(parts[x], event["cls"], event["title"], event["viewer"]) for x in held]
            if not any(x is None or host in x for x in may):
                what = f"{event['setup']} of {event['viewer']} to {host}, sent to {may[-1]} by {held[-1]}"
                found.astray.append(Finding("astray", t, what))


def _sent(part: routes.Part, session_class: str, title: str, viewer: str) -> list[str] | None:
    """The regions that a routing part sends a session to; None: any."""
    for rule in sorted(part["routes"], key=lambda x: (x["order"], x["name"])):
        named = (rule["classes"], session_class), (rule["titles"], title), (
            rule["accounts"], viewer.partition(".")[0]
        )  # fmt: skip
        if all(not some or any(_same(x, word) for x in some) for some, word in named):
            return list(rule["regions"]) or None
    return None


def _same(pattern: str, word: str) -> bool:
    return word.startswith(pattern[:-1]) if pattern.endswith("*") else word == pattern


def _unadmitted(records: Records, times: Mapping[_Span, list[float]], found: Editions) -> None:
    """By the latest order that anybody had obeyed when it was decided."""
    standing: list[tuple[float, frozenset[str]]] = []
    mark = (0, 0)
    for event in records.of(records.gateways, "admitted"):
        if (event["term"], event["number"]) > mark and event["may"] is not None:
            mark = event["term"], event["number"]
            standing.append((event["t"], frozenset(event["may"])))
    starts = [t for t, _ in standing]
    for span, some in times.items():
        for t in some:
            stands = bisect.bisect_right(starts, t) - 1
            if stands < 0 or span.edition not in standing[stands][1]:
                what = f"{span.run} decided on {span.edition}, which no order admits"
                found.unadmitted.append(Finding("unadmitted", t, what))


def _clash(one: routes.Part, other: routes.Part) -> set[routes.Finding]:
    """What the two bring about together. A region that is not there accepts nothing: what is refused by one
    of the two counts though each alone has that too."""
    names = {str(x["region"]["name"]) for x in (one, other) if x["region"]}
    alone = routes.judge([one]) | routes.judge([other])
    return {
        x for x in routes.judge([one, other])
        if x not in alone or (x[0] == "refused-there" and names.issuperset(x[1]))
    }  # fmt: skip


def _conflicting(records: Records, times: Mapping[_Span, list[float]], found: Editions) -> None:
    parts = {x["digest"]: x["part"] for x in records.of(records.stage, "edition")}
    judged: dict[frozenset[str], str] = {}
    told: set[frozenset[str]] = set()
    for one, other in itertools.combinations(times, 2):
        pair = frozenset((one.edition, other.edition))
        begin, end = max(one.begin, other.begin), min(one.end, other.end)
        both = [any(begin <= t <= end for t in times[x]) for x in (one, other)]
        if len(pair) < 2 or begin >= end or not all(both) or pair in told or not pair <= parts.keys():
            continue
        if pair not in judged:
            some = sorted(_clash(*(parts[x] for x in sorted(pair))))
            judged[pair] = "; ".join(f"{x[0]} {', '.join(x[1])}" for x in some)
        if judged[pair]:
            told.add(pair)
            what = f"{one.run} on {one.edition} beside {other.run} on {other.edition}: {judged[pair]}"
            found.conflicting.append(Finding("conflicting", begin, what))

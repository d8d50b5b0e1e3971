"""Duties judged from outside: whether orders of an ended term took effect, and how long nobody's did.

Gateways note each order that they begin to obey, each renewal of it, and each act under it, with the
machine's monotonic time, and voters what they write as accepted; what an owner believed does not count.

An owner has two states in force for a moment at each change, as orders spread: the one before holds out where
the new one is not heard of yet. A new owner's first state is the last one's, told again, and meets the one
before it as it did then. What it changes after must meet nothing of the term that has ended.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from .judge import Finding
from .records import Event, Records


@dataclass(slots=True)
class Held:
    """An order as one run of a gateway obeyed it."""

    duty: str
    run: str
    """NAME.EPOCH"""
    term: int
    number: int
    state: str
    """Digest."""
    begin: float
    end: float
    """When it held no more there: run out, followed by another, or its process ended."""


@dataclass(slots=True)
class Duties:
    """What was found of all duties together."""

    stale: list[Finding] = field(default_factory=list)
    backwards: list[Finding] = field(default_factory=list)
    """Terms that began with a state older than one that had been obeyed."""
    longest_without: float = 0.0
    """Seconds in which no gateway obeyed an order, at most, from the first order to the day's end."""
    when: float = 0.0
    """When that began."""
    terms: dict[str, int] = field(default_factory=dict)
    """Of each duty: how many terms were obeyed."""
    orders: int = 0


def _runs_end(records: Records) -> dict[str, float]:
    """When each run of a gateway was killed; NAME.EPOCH."""
    ends: dict[str, float] = {}
    running: dict[int, str] = {}
    for event in records.of(records.stage, "gateway_up", "gateway_down", "gateway_gone"):
        if event["ev"] == "gateway_up":
            running[event["gateway"]] = f"g{event['gateway']}.{event['run']}"
        elif event["gateway"] in running and not event.get("asked"):  # asked to end it does so in its time
            run = running[event["gateway"]]
            ends[run] = min(event["t"], ends.get(run, float("inf")))
    return ends


def held(records: Records) -> list[Held]:
    """Each order that each run obeyed, in order of time."""
    ends = _runs_end(records)
    open_: dict[tuple[str, str], Held] = {}
    found: list[Held] = []
    for event in records.of(records.gateways, "obeyed", "lapsed"):
        run = f"{event['gateway']}.{event['epoch']}"
        last = open_.get((run, event["duty"]))
        if event["ev"] == "lapsed":
            open_.pop((run, event["duty"]), None)
            continue
        mark = event["term"], event["number"]
        until = min(event["until"], ends.get(run, float("inf")))
        if last is not None and (last.term, last.number) == mark:
            last.end = max(last.end, until)
            continue
        if last is not None:
            last.end = min(last.end, event["t"])
        made = Held(event["duty"], run, *mark, event["state"], event["t"], until)
        open_[run, event["duty"]] = made
        found.append(made)
    return found


def _stale(duty: str, orders: list[Held], acts: list[Event], accepted: list[Event]) -> list[Finding]:
    """Orders of a term that were in force, or acted under, after one that a later term has changed."""
    found = []
    terms = sorted({x.term for x in orders})
    changed: dict[int, float] = {}
    """When the first state was obeyed that the term, and none before it, had accepted anywhere."""
    for term in terms:
        known = {x["state"] for x in accepted if x["term"] < term}
        known |= {x.state for x in orders if x.term < term}
        begins = [x.begin for x in orders if x.term == term and x.state not in known]
        changed[term] = min(begins, default=float("inf"))

    def later(term: int) -> float:
        """When an order that a later term had changed was first obeyed."""
        return min((changed[x] for x in terms[bisect.bisect_right(terms, term) :]), default=float("inf"))

    for order in orders:
        at = later(order.term)
        if max(at, order.begin) < order.end:
            what = (
                f"{duty}: {order.run} held term {order.term} number {order.number} for"
                f" {order.end - max(at, order.begin):.3f} s after a later term's order was obeyed"
            )
            found.append(Finding("stale", max(at, order.begin), what))
    for act in acts:
        at = later(act["term"])
        if act["t"] > at:
            what = (
                f"{duty}: {act['gateway']} acted on term {act['term']}, {act['t'] - at:.3f} s after a later"
            )
            found.append(Finding("stale", act["t"], f"{what} term's order was obeyed"))
    return found


def _backwards(duty: str, orders: list[Held], accepted: list[Event]) -> list[Finding]:
    """Terms whose first state is neither the latest that was obeyed before nor one accepted after it."""
    found = []
    for term in sorted({x.term for x in orders}):
        first = min((x for x in orders if x.term == term), key=lambda x: (x.number, x.begin))
        obeyed = [x for x in orders if x.term < term and x.begin < first.begin]
        if not obeyed or first.number > 1:
            continue
        highest = max((x.term, x.number) for x in obeyed)
        since = {x.state for x in obeyed if (x.term, x.number) >= highest}
        since |= {x["state"] for x in accepted if highest <= (x["term"], x["number"]) and x["term"] < term}
        if first.state not in since:
            what = f"{duty}: term {term} began with another state than term {highest[0]} had at {highest[1]}"
            found.append(Finding("backwards", first.begin, what))
    return found


def _without(orders: Iterable[Held], end: float) -> tuple[float, float]:
    """The longest time from the first order to the end in which none was in force, and when it began."""
    longest, when, reached = 0.0, 0.0, None
    for order in sorted(orders, key=lambda x: x.begin):
        if reached is not None and order.begin - reached > longest:
            longest, when = order.begin - reached, reached
        reached = max(order.end, reached or order.end)
    if reached is not None and end - reached > longest:
        longest, when = end - reached, reached
    return longest, when


def judge(records: Records) -> Duties:
    """Judge a stage's records."""
    verdict = Duties()
    orders: dict[str, list[Held]] = defaultdict(list)
    for order in held(records):
        orders[order.duty].append(order)
    acts: dict[str, list[Event]] = defaultdict(list)
    for event in records.of(records.gateways, "acted"):
        acts[event["duty"]].append(event)
    accepted: dict[str, list[Event]] = defaultdict(list)
    for event in records.of(records.gateways, "accepted"):
        accepted[event["duty"]].append(event)
    # Once players have ended gateways are told to stop, one after another.
    stops = records.of(records.stage, "gateway_stop")
    end = min((x["t"] for x in stops), default=max((x["t"] for x in records.gateways), default=0.0))
    for duty, some in sorted(orders.items()):
        verdict.orders += len(some)
        verdict.terms[duty] = len({x.term for x in some})
        verdict.stale += _stale(duty, some, acts[duty], accepted[duty])
        verdict.backwards += _backwards(duty, some, accepted[duty])
        longest, when = _without(some, end)
        if longest > verdict.longest_without:
            verdict.longest_without, verdict.when = longest, when
    return verdict

"""A media host as gateways see it: set-ups that all together send to a cold one, and further attempts.

Every gateway's module has more requests for the host than its turns allow. Warm-up and pace are those of the
site of the plays, the host one of 20,000 sessions.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from otterglade.core import interface as api
from otterglade.core.budget import RetryBudget
from otterglade.core.policy import Controller

from .. import sites
from ..model import Experiment, Metric, Reading, Resource, Role, Row
from ..size import Size
from . import event_streams

NAME = "cold_hosts"
MECHANISM = "`core/policy.py`: slow start by turns, each gateway's share by the configured number"
START = 1000.0
LEAST_REQUESTS = 48
REQUESTS_OVER_TURNS = 1.5
"""Requests over the turns that a gateway would have if the whole pace were dealt out."""
FREE_ATTEMPTS = 3.0
"""Of the lab's contract, as `contract.budget_free`."""
SESSIONS_A_HOST = 20_000


def metric(name: str, what: str, unit: str) -> Metric:
    return Metric(NAME, name, what, unit, "gateways")


SENT = metric("sent", "set-ups sent to a cold host of 20,000 sessions while it warms up", "set-ups")
FIRST = metric("first_turn", "mean time until a gateway's first turn at it", "s")
FURTHER = metric("further", "further attempts that all may send at once, without sessions", "attempts")


@dataclass(frozen=True, slots=True)
class Sends:
    """Of one gateway while the host is cold."""

    count: int
    first: float
    """Seconds until the first; the whole time where there is none."""


def _sends(settings: api.Settings, requests: int, seed: int) -> Sends:
    """What one gateway sends of so many requests, spread evenly over the warm-up."""
    controller = Controller(settings, seed)
    controller.start(START)
    entry = api.ServerEntry(0, 0, 0, 0, api.State.READY, 1.0, START)
    controller.handle(START, api.ServerList((entry,), complete=True, cached=True))
    count, first = 0, settings.cold
    for number in range(requests):
        after = settings.cold * number / requests
        now = START + after
        request = api.SessionRequest(number, 0, 0, "title", 1.0, None, 0, 1, 4)
        if any(isinstance(x, api.StartAttempt) for x in controller.handle(now, request)):
            count, first = count + 1, min(first, after)
            outcome = api.AttemptEnded(number, 0, 0, api.Outcome.DONE, 0.01, False, None)
            controller.handle(now, outcome)
        controller.handle(now, api.SessionGone(number))
    return Sends(count, first)


def play(gateways: int) -> tuple[Reading, ...]:
    settings = replace(sites.settings(1), gateways=gateways, streams=(SESSIONS_A_HOST,))
    whole_pace = SESSIONS_A_HOST * settings.start_capacity * settings.overload_factor
    requests = max(LEAST_REQUESTS, int(REQUESTS_OVER_TURNS * whole_pace / gateways))
    sends = [_sends(settings, requests, 1009 * gateways + n) for n in range(gateways)]
    rationed = replace(settings, budget_window=5.0, budget_free=FREE_ATTEMPTS, budget_share=0.2)
    further = 0
    for _ in range(gateways):
        budget = RetryBudget(rationed)
        while budget.try_spend(START):
            further += 1
    return (
        Reading(SENT, gateways, sum(x.count for x in sends)),
        Reading(FIRST, gateways, sum(x.first for x in sends) / gateways),
        Reading(FURTHER, gateways, further),
    )


def rows(size: Size) -> tuple[Row, ...]:
    gateways = float(size.gateways)
    return (
        Row(Resource.STATE, "connections for events, one a gateway", event_streams.THREADS, 1.0, gateways,
            f"{size.gateways:,} gateways", "connections", event_streams.MECHANISM),
        Row(Resource.MESSAGES, "events that a host sends", event_streams.BYTES, 1.0, gateways / 1000,
            f"{size.gateways:,} gateways", "KB/s", event_streams.MECHANISM),
        Row(Resource.MESSAGES, "set-ups at a cold host", SENT, gateways, 1.0, "-", "set-ups", MECHANISM),
        Row(Resource.MESSAGES, "time until a gateway's first turn", FIRST, gateways, 1.0, "-", "s",
            MECHANISM),
        Row(Resource.MESSAGES, "further attempts at once, no sessions", FURTHER, gateways, 1.0, "-",
            "attempts", "`core/budget.py`: each gateway alone"),
    )  # fmt: skip


ROLE = Role(
    NAME, "Media host, as gateways see it",
    (Experiment((SENT, FIRST, FURTHER), play, (36, 200, 800, 3_200), (5, 10)),),
    rows,
)  # fmt: skip

"""What a run plays, drawn from its seed: site, sizes, kinds of faults and their probabilities."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import Any

from ...referee.platform_records import SiteTerms

MS_PER_SECOND = 1000.0
CLASS_NAMES = ("sign-off", "timelapse", "film", "news hour", "l\u00e4ngs", "a")
EFFECTS = ("idempotent", "at_most_once", "deduplicated")
DEADLINES = (0.5, 0.6, 0.8, 1.2, 1.5, 2.0, 3.0, 5.0)
"""Longest deadlines in seconds that a run may have."""
MEMORY_MB = 96.0
DESCRIPTORS = 256


class Kind(Enum):
    """The kinds of faults; a run combines several."""

    SHUTDOWN = "shutdown"
    """Gateways stop one after another; hosts hang meanwhile, and viewers send until the kill."""
    DISCOVERY = "discovery"
    """The name service is silent, down or wrong; hosts drain close to its return; configurations change."""
    CLIENTS = "clients"
    """Bad clients, spoilt answers, viewers that give up early or repeat at once."""
    NETWORK = "network"
    """Cuts, hosts that vanish, die, freeze or are replaced, resets, connections that come up late."""
    PIECES = "pieces"
    """Messages in pieces, slow writers, bytes just before a close."""


@dataclass(frozen=True, slots=True)
class ClassPlan:
    """A class of sessions."""

    name: str
    effect: str
    deadline: float
    """Seconds."""
    goal: float
    """Seconds."""

    @property
    def at_most_once(self) -> bool:
        """Whether a set-up must not run twice."""
        return self.effect == "at_most_once"


class Way(Enum):
    """How a host answers a set-up."""

    GOOD = "good"
    HANG = "hang"
    REFUSE = "refuse"
    FAIL = "fail"
    SPOIL = "spoil"
    """A success that is no whole RTSP."""
    RESET = "reset"
    BREAK_OFF = "break off"
    """A success that ends in its middle."""
    REPEAT = "repeat"
    """The same success twice."""
    CLOSE = "close"
    """A success, and the connection is closed right behind it."""
    LATE = "late"
    """A success after its time."""
    LOSE = "lose"
    """A success that never arrives; its connection stays open, and nothing arrives on it any more."""


@dataclass(frozen=True, slots=True)
class Temper:
    """The probability of each way in which a host answers a set-up; the rest is good."""

    shares: tuple[tuple[Way, float], ...] = ()

    def way(self, draw: float) -> Way:
        """The way for a number drawn from 0 to 1."""
        for way, share in self.shares:
            draw -= share
            if draw < 0:
                return way
        return Way.GOOD


@dataclass(frozen=True, slots=True)
class Plan:
    """A run."""

    seed: int
    kinds: frozenset[Kind]
    seconds: float
    gateways: int
    hosts: int
    viewers: int
    classes: tuple[ClassPlan, ...]
    tenants: tuple[str, ...]
    temper: Temper
    pause: float
    """Mean seconds between two set-ups of a viewer."""
    crowd_at: float | None
    """Seconds after the start at which all viewers ask at once."""
    give_up: float
    """Share of the set-ups that their viewers give up early."""
    idle_close: float
    """Seconds after which hosts close idle connections."""
    cold: float
    """Seconds for which a started host is cold."""

    @property
    def longest_deadline(self) -> float:
        """Seconds."""
        return max(x.deadline for x in self.classes)

    def terms(self) -> SiteTerms:
        """The figures that the rules use."""
        site = self.settings()
        contract, streams = site["contract"], site["family_info"]["kind_slots"][0]
        rate = streams / self.cold * contract["overload_factor"]
        return SiteTerms(
            drain_grace=contract["stop_sending_within"] / MS_PER_SECOND,
            budget_window=contract["counted_over"] / MS_PER_SECOND,
            budget_free=contract["free_resends"],
            budget_share=contract["extra_ratio"],
            cold=self.cold,
            fall=contract["fall"] / MS_PER_SECOND,
            setups_when_warm=rate * contract["fall"] / MS_PER_SECOND,
            start_capacity=contract["start_capacity"],
            memory_mb=MEMORY_MB,
            descriptors=DESCRIPTORS,
        )

    def settings(self) -> dict[str, Any]:
        """The settings object of the gateways' configuration."""
        count = len(self.classes)
        return {
            "bounds": {"cancelling": True, "connect_timeout": 250.0,
                       "idle_close": self.idle_close * MS_PER_SECOND, "max_attempts": 3,
                       "max_retry_after": 1000.0, "probes": False, "retry_after": True},
            "classes": [
                {"name": x.name, "idempotency": x.effect, "hard_limit": x.deadline * MS_PER_SECOND,
                 "goal_time": x.goal * MS_PER_SECOND, "points": 1.0, "group": "all", "dedup_window": 5000.0}
                for x in self.classes
            ],
            "contract": {"ask_within": 10000.0, "cold": self.cold * MS_PER_SECOND, "counted_over": 5000.0,
                         "extra_ratio": 0.2, "fall": 1000.0, "free_resends": 3.0, "overload_factor": 2.5,
                         "start_capacity": 0.3, "stop_sending_within": 250.0},
            "discovery": "push", "family": "streams",
            "family_info": {"cells": 3, "class_live": [False] * count, "class_scale": [1.0] * count,
                            "kind_slots": [120], "ladder_kb": [200.0, 350.0, 580.0],
                            "ladder_worth": [0.2, 0.6, 1.0], "lowest_rung": [0] * count,
                            "rack_link_kb": 500000.0, "refuses_from": 1.0, "reports_every": 0.0,
                            "seats": [0] * count, "see": 300.0, "shared_adds": 1.0, "shelves": 1,
                            "stall": 7.0, "switch_cost_s": 0.2, "top_by_class": [2] * count,
                            "weight_kb": 4000.0},
            "layers": ["fleet"], "localities": ["east"], "n_instances": self.gateways,
            "over_share_worth": 0.1, "report": {"how": "pull", "names": ["x0", "x1"]}, "shapes": ["std"],
            "tariffs": {"moves": 0.2, "probe": 0.01},
            "tenants": [{"name": x, "quota_per_s": 20.0} for x in self.tenants], "zone": 0,
        }  # fmt: skip


def draw_plan(seed: int, only: Kind | None = None) -> Plan:
    """The plan of a seed; `only`: this kind of fault alone."""
    chance = random.Random(seed)
    kinds = (
        frozenset(chance.sample(list(Kind), chance.randint(2, len(Kind))))
        if only is None
        else frozenset({only})
    )
    longest = chance.choice(DEADLINES)
    return Plan(
        seed=seed,
        kinds=kinds,
        seconds=chance.uniform(10.0, 16.0),
        gateways=chance.randint(2, 5),
        hosts=chance.randint(6, 15),
        viewers=chance.randint(5, 40),
        classes=_draw_classes(chance, longest),
        tenants=tuple(f"tenant {x}" for x in range(chance.choice((0, 1, 3)))),
        temper=_draw_temper(chance, kinds),
        pause=chance.uniform(0.05, 0.4),
        crowd_at=chance.uniform(3.0, 8.0) if chance.random() < 0.3 else None,
        give_up=chance.uniform(0.05, 0.3) if Kind.CLIENTS in kinds else 0.0,
        idle_close=chance.choice((2.0, 4.0, 15.0)),
        cold=chance.uniform(4.0, 12.0),
    )


def _draw_classes(chance: random.Random, longest: float) -> tuple[ClassPlan, ...]:
    names = chance.sample(CLASS_NAMES, chance.randint(2, 4))
    found = []
    for index, name in enumerate(names):
        deadline = longest if index == 0 else max(0.4, longest * chance.uniform(0.5, 1.0))
        effect = EFFECTS[1] if index == 0 else chance.choice(EFFECTS)
        found.append(ClassPlan(name, effect, deadline, deadline * chance.uniform(0.2, 0.5)))
    return tuple(found)


def _draw_temper(chance: random.Random, kinds: frozenset[Kind]) -> Temper:
    spoils = Kind.CLIENTS in kinds
    breaks = Kind.NETWORK in kinds
    pieces = Kind.PIECES in kinds
    shares = {
        Way.HANG: chance.choice((0.05, 0.2, 0.5)) if Kind.SHUTDOWN in kinds else 0.01,
        Way.REFUSE: chance.uniform(0.0, 0.1),
        Way.FAIL: chance.uniform(0.0, 0.05),
        Way.SPOIL: 0.05 if spoils else 0.0,
        Way.RESET: 0.04 if breaks else 0.0,
        Way.BREAK_OFF: 0.03 if spoils or breaks else 0.0,
        Way.REPEAT: 0.03 if spoils else 0.0,
        Way.CLOSE: 0.05 if pieces else 0.0,
        Way.LATE: 0.03 if spoils else 0.0,
        Way.LOSE: 0.05 if breaks else 0.0,
    }
    return Temper(tuple(shares.items()))

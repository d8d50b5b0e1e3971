"""Lanes judged from what players saw: who was served, what each lane kept, who was turned away before whom.

An *inversion* is a refusal of a lane within a second and a region of an admission in a lower lane, where that
lane had more than its `least` of what was admitted there in the seconds up to it, rounded up to a session.
An account beyond its bound counts with the last lane, as it was asked.
"""

from __future__ import annotations

import bisect
import math
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from .records import Event, Records

NEAR = 1.0
"""Seconds around a refusal in which an admission counts against it."""
WINDOW = 5.0
"""Seconds over which a lane's part of all admissions is taken."""
ENOUGH = 3
"""Admissions due to a lane in a window from which on what it got says something."""


@dataclass(slots=True)
class Lane:
    """What became of one lane's viewers."""

    asked: int = 0
    """Viewers."""
    served: int = 0
    """Of these, who played at some time."""
    refusals: int = 0
    """Answers, of which a viewer may get several."""
    service: float = 0.0
    """Worth watched over worth asked."""
    least_kept: float = 1.0
    """In the worst window with refusals of the lane: its part of admissions, over its `least` or, where it
    asked for less, that."""
    inversions: int = 0

    def figures(self) -> dict[str, float]:
        return {
            "asked": self.asked, "served": self.served, "refusals": self.refusals,
            "service": round(self.service, 4), "least_kept": round(self.least_kept, 3),
            "inversions": self.inversions,
        }  # fmt: skip


@dataclass(slots=True)
class Found:
    lanes: dict[str, Lane] = field(default_factory=dict)
    inversions: float = 0.0
    """Share of all refusals of lanes that have a lower one."""


def lane_of(blocks: Sequence[Mapping[str, Any]], viewer: str) -> int:
    """The first block that names the account of a viewer's key, else the last."""
    account = viewer.partition(".")[0]
    for number, block in enumerate(blocks[:-1]):
        if any(
            account.startswith(x[:-1]) if x.endswith("*") else account == x for x in block.get("accounts", ())
        ):
            return number
    return len(blocks) - 1


def judge(
    records: Records, blocks: Sequence[Mapping[str, Any]], worths: Sequence[float],
    classes: Mapping[str, float], regions: Mapping[str, str],
) -> Found:  # fmt: skip
    """`blocks`: of the scripts, in order; `worths`: of the ladder's rungs; `classes`: the worth of each;
    `regions`: of each gateway's address, where there are any."""
    found = Found({str(x["name"]): Lane() for x in blocks})
    names = list(found.lanes)
    lanes = _lanes_asked(records, blocks)
    answers = [x for x in records.of(records.players, "answer") if x["status"] in (200, 503)]
    wanted: dict[str, float] = {}
    asked_by: dict[str, int] = {}
    for event in records.of(records.players, "request"):
        if "repeats" not in event and event["viewer"] not in wanted:
            best = worths[min(event["top"], len(worths) - 1)]
            wanted[event["viewer"]] = classes[event["cls"]] * event["watch"] * best
            asked_by[event["viewer"]] = lanes[event["request"]]
            found.lanes[names[lanes[event["request"]]]].asked += 1
    for viewer in {x["viewer"] for x in answers if x["status"] == 200}:
        found.lanes[names[asked_by[viewer]]].served += 1
    for answer in answers:
        found.lanes[names[lanes[answer["request"]]]].refusals += answer["status"] == 503
    _service(records, found, wanted, asked_by, worths, classes)
    _inversions(answers, lanes, blocks, regions, found)
    _least(records, answers, lanes, blocks, found)
    return found


def _lanes_asked(records: Records, blocks: Sequence[Mapping[str, Any]]) -> dict[int, int]:
    """The lane of each request: of its account, or the last while that plays as often as it may."""
    playing: dict[str, set[str]] = defaultdict(set)
    lanes: dict[int, int] = {}
    for event in records.of(records.players, "request", "answer", "played", "break"):
        viewer = event["viewer"]
        account = viewer.partition(".")[0]
        if event["ev"] == "request":
            lane = lane_of(blocks, viewer)
            bound = blocks[lane].get("most_per_account", 0)
            over = bound and len(playing[account] - {viewer}) >= bound
            lanes[event["request"]] = len(blocks) - 1 if over else lane
        elif event["ev"] == "answer" and event["status"] == 200:
            playing[account].add(viewer)
        elif event["ev"] != "answer":
            playing[account].discard(viewer)
    return lanes


def _service(
    records: Records, found: Found, wanted: Mapping[str, float], asked_by: Mapping[str, int],
    worths: Sequence[float], classes: Mapping[str, float],
) -> None:  # fmt: skip
    names = list(found.lanes)
    got: dict[str, float] = defaultdict(float)
    total: dict[str, float] = defaultdict(float)
    for viewer, worth in wanted.items():
        total[names[asked_by[viewer]]] += worth
    for event in records.of(records.players, "segment"):
        rate = min(1.0, 1.0 / max(event["took"], 1e-3))
        got[names[asked_by[event["viewer"]]]] += classes[event["cls"]] * worths[event["rung"]] * rate
    for name, lane in found.lanes.items():
        lane.service = min(1.0, got[name] / total[name]) if total[name] else 1.0


def _inversions(
    answers: Sequence[Event], lanes: Mapping[int, int], blocks: Sequence[Mapping[str, Any]],
    regions: Mapping[str, str], found: Found,
) -> None:  # fmt: skip
    names = list(found.lanes)
    admitted: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for answer in answers:
        if answer["status"] == 200:
            admitted[regions.get(answer["gateway"], "")].append((answer["t"], lanes[answer["request"]]))
    refused = 0
    for answer in answers:
        lane = lanes[answer["request"]]
        if answer["status"] != 503 or lane == len(blocks) - 1:
            continue
        refused += 1
        some, at = admitted[regions.get(answer["gateway"], "")], answer["t"]
        near = some[bisect.bisect_left(some, (at - NEAR, -1)) : bisect.bisect_right(some, (at + NEAR, 99))]
        past = some[bisect.bisect_left(some, (at - WINDOW, -1)) : bisect.bisect_right(some, (at + NEAR, 99))]
        for lower in range(lane + 1, len(blocks)):
            due = math.ceil(blocks[lower].get("least", 0.0) * len(past))
            if any(x == lower for _, x in near) and sum(x == lower for _, x in past) > due:
                found.lanes[names[lane]].inversions += 1
                break
    found.inversions = sum(x.inversions for x in found.lanes.values()) / refused if refused else 0.0


def _least(
    records: Records, answers: Sequence[Event], lanes: Mapping[int, int],
    blocks: Sequence[Mapping[str, Any]], found: Found,
) -> None:  # fmt: skip
    asked: dict[int, list[int]] = defaultdict(list)
    taken: dict[int, list[int]] = defaultdict(list)
    refused: dict[int, set[int]] = defaultdict(set)
    for event in records.of(records.players, "request"):
        asked[int(event["t"] // WINDOW)].append(lanes[event["request"]])
    for answer in answers:
        window, lane = int(answer["t"] // WINDOW), lanes[answer["request"]]
        if answer["status"] == 200:
            taken[window].append(lane)
        else:
            refused[window].add(lane)
    for window, some in taken.items():
        for number, (block, kept) in enumerate(zip(blocks, found.lanes.values(), strict=True)):
            wanted = asked[window].count(number) / max(1, len(asked[window]))
            due = min(block.get("least", 0.0), wanted)
            if due * len(some) >= ENOUGH and number in refused[window]:
                kept.least_kept = min(kept.least_kept, some.count(number) / len(some) / due)

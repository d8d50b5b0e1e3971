"""Duties by several real processes: whose orders are in force while owners stand still, are cut off, killed.

Judged by the referee from what each gateway noted that it obeyed, and when.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import pytest

from otterglade.config.script import ConfigError, parse
from otterglade.gateway.lifecycle import needs_restart
from otterglade.lab import day as days
from otterglade.lab import power
from otterglade.lab.scenarios import FIVE, LANES, make
from otterglade.lab.stage import Layout, Stage
from otterglade.lab.troubles import DutyActs, Trouble
from otterglade.referee import duties, editions, lanes
from otterglade.referee.records import Records, load

from .planted_gateway import program

STAGE = replace(FIVE, hosts=1, racks=1, titles=1, voters=5, log="debug")
NEW_OWNER = 8.0
"""Seconds within which another owns a duty, on a busy machine: a lease, an order's hold, a turn."""
OVER = 6.0
"""Seconds after which an owner that is cut off has no orders in force: its lease, and an order's hold, on a
busy machine."""


MOST_TRIES = 40
"""Of all gateways together that may come to nothing before one owns a duty."""
STILL = 30.0
"""Seconds without the end of any try after which none is under way: several times the longest one."""


@contextmanager
def five(
    folder: Path, conditions: str = "busy-duty", layout: Layout = STAGE, plant: str = ""
) -> Iterator[Stage]:
    """Five gateways with a duty whose state changes all the time, and no players."""
    stage = Stage(layout, folder, 1, conditions, counted=True, program=program(plant))
    (folder / "players.jsonl").touch()
    try:
        stage.start()
        yield stage
    finally:
        stage.stop()


def seen(found: Callable[[], Any], within: float, what: str) -> Any:
    """What `found` gives as soon as it gives anything."""
    deadline = time.monotonic() + within
    while time.monotonic() < deadline:
        if (got := found()) is not None:
            return got
        time.sleep(0.05)
    raise AssertionError(f"{what}: not within {within} s")


def counter(stage: Stage, number: int) -> dict[str, Any]:
    status = stage.status(number)
    return {} if status is None else dict(status["fleet"]["duties"]["duties"]["counter"])


def owner_but(stage: Stage, *others: int) -> int | None:
    owner = stage.owner()
    return None if owner in others else owner


def tries(stage: Stage) -> dict[int, int]:
    """How often each gateway that answers has tried in vain."""
    return {x: found["tried"] for x in stage.gateways if (found := counter(stage, x))}


def awaited(stage: Stage, found: Callable[[], Any], what: str) -> Any:
    """What `found` gives as soon as it gives anything, however long the machine takes.

    Raises AssertionError where it won't come: a gateway's process has ended, the candidates have tried in
    vain too often, or no try ends any more.
    """
    known, moved = tries(stage), time.monotonic()
    while (got := found()) is None:
        for process in stage.gateways.values():
            said = (stage.folder / f"{process.name}.log").read_text()[-2000:]
            assert process.child.poll() is None, f"{process.name} ended, {process.child.returncode}: {said}"
        now_known = known | tries(stage)
        why = {x: counter(stage, x).get("why") for x in stage.gateways}
        assert sum(now_known.values()) < MOST_TRIES, f"{what}: {now_known} tries in vain: {why}"
        if now_known != known:
            known, moved = now_known, time.monotonic()
        assert time.monotonic() < moved + STILL, f"{what}: no try ended in {STILL} s: {why}"
        time.sleep(0.05)
    return got


def changed_after(stage: Stage, first: int, term: int) -> bool | None:
    """Whether another than the first owner has something in force that only a later term has had accepted:
    not the state that it read, nor the next, which the first owner may have had on its way."""
    found = [counter(stage, x) for x in stage.gateways if x != first]
    return any(x and x["term"] > term and x["number"] > 2 for x in found) or None


def obeys(stage: Stage, numbers: list[int], owner: int) -> bool | None:
    return all(counter(stage, x).get("owner") == f"g{owner}" for x in numbers) or None


@pytest.mark.long
def test_an_owner_that_stands_still_is_cut_off_or_is_killed_has_no_order_in_force_beside_the_next_one_s(
    tmp_path: Path,
) -> None:
    with five(tmp_path) as stage:
        everybody = [*stage.gateways]
        first = seen(stage.owner, 10.0, "an owner")
        seen(lambda: obeys(stage, everybody, first), 5.0, "its orders everywhere")

        stage.freeze_gateway(first, True)
        second = seen(lambda: owner_but(stage, first), NEW_OWNER, "another owner")
        time.sleep(1.0)  # some orders of his
        stage.freeze_gateway(first, False)
        seen(lambda: obeys(stage, everybody, second), 5.0, "all obey him, who stood still among them")

        later: list[Callable[[], None]] = []
        acts = DutyActs(stage, lambda _, act: later.append(act), set())
        acts.carry(Trouble(0.0, "owner_split", 0, 1.0, groups=(0.4, 0.6)))
        small = [int(x[1:]) for x in load(tmp_path).of(load(tmp_path).stage, "trouble")[-1]["groups"][0]]
        assert second in small and len(small) == 2
        third = seen(lambda: owner_but(stage, *small), NEW_OWNER, "an owner in the larger part")
        nobody = seen(
            lambda: all(not counter(stage, x)["holds_s"] for x in small) or None, OVER, "none in the smaller"
        )
        assert nobody and "voters" in counter(stage, second)["why"]
        for heal in later:
            heal()
        seen(lambda: obeys(stage, everybody, third), 5.0, "one fleet again")

        stage.kill_gateway(third)
        fourth = seen(lambda: owner_but(stage, third), NEW_OWNER, "another owner after a kill")
        stage.restart_gateway(third)
        stage.disk(fourth, power.Trouble(folder="duties", kill="after"))
        assert stage.dies(fourth, 5.0), "killed between what is accepted and what is told"
        fifth = seen(lambda: owner_but(stage, fourth), NEW_OWNER, "another owner after that")
        stage.restart_gateway(fourth)
        seen(lambda: obeys(stage, everybody, fifth), 8.0, "who were killed obey him too")

        stage.stop_gateway(fifth)
        seen(lambda: owner_but(stage, fifth), 0.6, "a planned stop leaves no hole")
    found = duties.judge(load(tmp_path))
    assert not found.stale and not found.backwards
    assert found.terms["counter"] >= 5 and found.longest_without < NEW_OWNER


def acting(stage: Stage, numbers: list[int]) -> set[str] | None:
    """The editions in force in these gateways; None: not all tell."""
    told = [stage.status(x) for x in numbers]
    return None if None in told else {x["routes"]["acting"] for x in told if x is not None}


@pytest.mark.long
def test_of_two_proposals_at_one_instant_that_conflict_one_is_admitted_and_stays_over_a_kill(
    tmp_path: Path,
) -> None:
    layout = make("routes", 20.0, 1).layout
    with five(tmp_path, "", layout) as stage:
        acts = DutyActs(stage, lambda *_: None, set())
        north, south = [0, 2, 4], [1, 3]

        def one(numbers: list[int], *but: str) -> str | None:
            """The edition in force in all of them, and none of these."""
            found = acting(stage, numbers)
            return next(iter(found)) if found and len(found) == 1 and found.isdisjoint({"", *but}) else None

        first = seen(lambda: one(north), 12.0, "a first edition"), seen(lambda: one(south), 8.0, "there too")
        acts.carry(Trouble(0.0, "propose", 0, value=2))  # no spill to the south any more
        alone = seen(lambda: one(north, first[0]), 8.0, "another edition")
        acts.carry(Trouble(0.0, "propose", 0, value=1))  # a title is sent south
        acts.carry(Trouble(0.0, "propose", 1, value=1))  # where nothing is accepted any more
        refused = seen(
            lambda: next((x for x in (0, 1) if stage.status(x)["routes"]["last_refusal"]), None),  # type: ignore[index]
            10.0, "one is refused",
        )  # fmt: skip
        told = stage.status(refused)["routes"]["last_refusal"]  # type: ignore[index]
        assert told["kind"] == "refused-there" and "job-" in told["why"]
        won = seen(
            lambda: one(north, alone) or one(south, first[1]), 8.0, "the other one is in force where it was"
        )
        assert (one(north), one(south)) in ((won, first[1]), (alone, won)), "and nothing else has changed"

        mine = north if one(north) == won else south
        for number in [*north, *south]:  # each script says what its region proposed, admitted or not
            stage.kill_gateway(number)
        for number in [*north, *south]:
            stage.restart_gateway(number)
        seen(lambda: one(mine) == won or None, 8.0, "what was admitted is in force after a kill of all")
        other = south if mine is north else north
        assert one(other) in (alone, first[1]), "and what was refused is not, whatever the script says"
    found = editions.judge(load(tmp_path))
    assert not found.unadmitted and not found.conflicting and found.refused == 1


def abstains(stage: Stage, number: int) -> str | None:
    status = stage.status(number)
    return None if status is None else str(status["fleet"]["duties"]["abstains"]) or None


@pytest.mark.long
def test_a_voter_back_on_an_old_disk_abstains_and_of_two_with_one_name_one_gives_and_takes_no_orders(
    tmp_path: Path,
) -> None:
    with five(tmp_path) as stage:
        first = seen(stage.owner, 10.0, "an owner")
        old, twice, *rest = [x for x in stage.gateways if x != first]
        seen(lambda: obeys(stage, [old, twice], first), 5.0, "its orders")
        stage.kill_gateway(old)
        stage.copy_disk(old)
        stage.restart_gateway(old)
        seen(lambda: obeys(stage, [old], first), 8.0, "back, and no vote was needed of it")
        stage.kill_gateway(old)
        stage.old_disk(old)
        stage.restart_gateway(old)
        assert "older than its name" in seen(lambda: abstains(stage, old), 5.0, "it abstains")
        seen(lambda: obeys(stage, [old, *rest], first), 5.0, "it obeys all the same")

        twin = stage.start_twin(twice)
        aside = seen(
            lambda: "aside" in (stage.status(twice) or {"fleet": {"phase": ""}})["fleet"]["phase"] or None,
            5.0, "the earlier of the two stands aside",
        )  # fmt: skip
        assert aside
        seen(lambda: not counter(stage, twice)["holds_s"] or None, OVER, "and is told nothing any more")
        twin.kill()
        assert stage.owner() == first
    found = duties.judge(load(tmp_path))
    assert not found.stale and not found.backwards and found.terms["counter"] == 1


@pytest.mark.long
def test_a_day_of_troubles_around_owners_and_voters_keeps_the_rules_and_no_stale_order(
    tmp_path: Path,
) -> None:
    troubles = (
        Trouble(2.5, "links_bad", 0, 2.5, 0.33), Trouble(6.0, "owner_disk", 0, 2.0),
        Trouble(8.5, "owner_mute", 0, 3.0), Trouble(9.5, "voter_dies", 4, 1.5, 0.0),
    )  # fmt: skip
    day = replace(make("owner", 14.0, 4), troubles=troubles)
    verdict = days.play(day, tmp_path, 4)
    assert not verdict.findings, verdict.findings
    said = days.summary(day, verdict)
    assert (said["stale"], said["unanswered"], said["doubled"]) == (0, 0, 0)
    assert said["requests"] > 15 and said["terms"]["counter"] >= 1


@pytest.mark.long
def test_an_owner_that_gives_orders_after_its_lease_is_found(tmp_path: Path) -> None:
    with five(tmp_path, plant="late-owner") as stage:
        first = awaited(stage, stage.owner, "an owner")
        term = awaited(stage, lambda: counter(stage, first).get("term"), "its term")
        acts = DutyActs(stage, lambda *_: None, set())
        acts.carry(Trouble(0.0, "owner_split", 0, 1.0, groups=(0.4, 0.6)))
        awaited(stage, lambda: owner_but(stage, first), "another owner")
        awaited(stage, lambda: changed_after(stage, first, term), "a change of his")
    found = duties.judge(load(tmp_path))
    assert any(x.rule == "stale" and f"g{first}." in x.what for x in found.stale)


def test_priorities_and_rules_change_in_service_and_the_first_lane_does_not() -> None:
    layout = make("routes", 20.0, 1).layout
    said = {
        n: parse(replace(layout, priorities=x).script("g0", "h:1", "s", "h:2", routing=y))
        for n, (x, y) in enumerate(
            [((), layout.rules[0][0]), (LANES, layout.rules[0][1]), (LANES[1:], layout.rules[0][1])]
        )
    }
    assert needs_restart(said[1], said[2]) == []
    assert needs_restart(said[0], said[2]) == ["priority: the first block, or the last"]
    assert needs_restart(said[0], parse(layout.script("g0", "h:1", "s", "h:2"))) == ["region"]


# The referee alone


def told(*lines: tuple[float, str, int, int, str, float]) -> Records:
    """Gateways that obey: when, who, term, number, state, until."""
    return Records((), (), (), (), tuple(
        {"t": t, "ev": "obeyed", "gateway": who, "epoch": "e", "duty": "d", "term": term, "number": number,
         "state": state, "until": until}
        for t, who, term, number, state, until in lines
    ))  # fmt: skip


def test_an_order_is_stale_once_a_later_term_has_changed_something_and_not_while_it_tells_again() -> None:
    old, again = (0.0, "a", 1, 1, "x", 2.0), (1.0, "b", 2, 1, "x", 3.0)
    assert not duties.judge(told(old, again)).stale
    assert not duties.judge(told(old, again, (2.0, "b", 2, 2, "y", 4.0))).stale
    found = duties.judge(told(old, again, (1.9, "b", 2, 2, "y", 4.0))).stale
    assert [x.at for x in found] == [1.9]
    act = {"t": 2.5, "ev": "acted", "gateway": "a", "duty": "d", "term": 1, "state": "x"}
    records = told(old, again, (2.1, "b", 2, 2, "y", 4.0))
    found = duties.judge(replace(records, gateways=(*records.gateways, act))).stale
    assert [x.at for x in found] == [2.5]


def test_a_term_that_begins_before_what_was_obeyed_is_found_and_so_is_a_time_without_orders() -> None:
    found = duties.judge(
        told((0.0, "a", 1, 1, "x", 1.0), (0.5, "a", 1, 2, "y", 2.0), (3.0, "b", 2, 1, "x", 4.0))
    )
    assert len(found.backwards) == 1 and found.longest_without == 1.0 and found.when == 2.0
    assert not duties.judge(told((0.0, "a", 1, 2, "y", 2.0), (3.0, "b", 2, 1, "y", 4.0))).backwards


def answer(t: float, viewer: str, status: int, request: int) -> list[dict[str, Any]]:
    said = {"request": request, "viewer": viewer, "cls": "c", "gateway": "1:1", "watch": 1.0, "top": 0}
    return [{"t": t, "ev": "request", **said}, {"t": t + 0.1, "ev": "answer", "status": status, **said}]


def test_a_refusal_beside_an_admission_in_a_lower_lane_is_an_inversion_but_for_its_least() -> None:
    def judged(*events: list[dict[str, Any]]) -> lanes.Found:
        records = Records((), tuple(x for y in events for x in y), (), ())
        return lanes.judge(records, LANES, (1.0,), {"c": 1.0}, {})

    refused = answer(1.0, "gold1.1", 503, 1)
    free = answer(0.5, "free1.1", 200, 2), answer(1.5, "free2.1", 200, 3)
    found = judged(refused, *free)
    assert (found.inversions, found.lanes["premium"].inversions) == (1.0, 1)
    assert judged(refused, *(answer(3.0 + x, f"free{x}.1", 200, x) for x in (2, 3))).inversions == 0.0, (
        "later"
    )
    golds = [answer(1.2, f"gold{n}.1", 200, 10 + n) for n in range(30)]
    assert judged(refused, *free, *golds).inversions == 0.0, "its least"


def test_a_decision_on_an_edition_that_no_order_admits_is_found_and_so_are_two_that_conflict() -> None:
    def gateway(t: float, ev: str, who: str, **fields: Any) -> dict[str, Any]:
        return {"t": t, "ev": ev, "gateway": who, "epoch": "e", "term": 1, "number": 1, **fields}

    layout = make("routes", 20.0, 1).layout
    parts = {
        n: parse(layout.script("g0", "h:1", "s", "h:2", routing=rules)).routing()
        for n, rules in {"north": layout.rules[0][0], "south": layout.rules[1][1]}.items()
    }
    stage = tuple(
        {"t": 0.0, "ev": "edition", "digest": x.digest, "part": msgspec.to_builtins(x)}
        for x in parts.values()
    )
    logs = (
        gateway(0.5, "admitted", "g0", may=[parts["north"].digest]),
        gateway(1.0, "routes_in_force", "g0", edition=parts["north"].digest),
        gateway(1.0, "routes_in_force", "g1", edition=parts["south"].digest),
        gateway(9.0, "admitted", "g0", may=[]),
    )
    said = {"cls": "timelapse", "title": "job-0", "viewer": "v.1", "host": 0}
    asked = tuple({"t": 2.0, "ev": "asked", "setup": f"g{n}.e.1.0", **said} for n in range(2))
    found = editions.judge(Records(asked, (), (), stage, logs))
    assert [x.what.split(" ")[0] for x in found.unadmitted] == ["g1.e"]
    assert len(found.conflicting) == 1 and "refused-there" in found.conflicting[0].what
    alone = editions.judge(Records(asked[:1], (), (), stage, logs))
    assert not alone.conflicting and not alone.unadmitted
    late = tuple({**x, "t": 8.0} for x in asked)
    found = editions.judge(Records(late, (), (), stage, logs), {0: "north", 1: "south"})
    assert [x.what.split(" ")[0] for x in found.astray] == ["g1.e.1.0"], "the south keeps its own at home"


PEERS = "peers(listen = 'h:3', members = {'g0': 'h:4', 'g1': 'h:5', 'g2': 'h:6'}"


@pytest.mark.parametrize("said, found", [
    ("voters = ['g0', 'g1']", "peers.voters: found ['g0', 'g1']; allowed: 0, 1, 3 or 5 names"),
    ("voters = ['g0', 'g0', 'g1']", "each once"),
    ("voters = ['g0', 'g1', 'g4']", "peers.voters: found 'g4'; allowed: did you mean"),
    ("voters_number = 2", "peers.voters: found none; allowed: the set that"),
    ("voters = ['g0'], voters_before = ['g1']", "peers.voters_number: found 1 with voters_before"),
    ("voters = ['g0'], voters_forced = 'fire'", "peers.voters_number: found 1 with voters_forced"),
    ("voters = ['g0', 'g1', 'g2'], voters_before = ['a', 'b', 'c'], voters_number = 2", "one voter replaced"),
    ("voters = ['g0'], voters_before = ['g1'], voters_number = 2, voters_forced = 'x'", "one of the two"),
])  # fmt: skip
def test_a_set_of_voters_that_could_have_two_majorities_is_refused(said: str, found: str) -> None:
    script = STAGE.script("g0", "h:1", "s", "h:2", members={"g0": "h:4", "g1": "h:5", "g2": "h:6"})
    line = next(x for x in script.splitlines() if x.startswith("peers("))
    script = script.replace(line, f"{PEERS}, {said})").replace(
        next(x for x in script.splitlines() if x.strip().startswith("voters =")) + "\n", ""
    )
    with pytest.raises(ConfigError) as refusal:
        parse(script)
    assert found in str(refusal.value)

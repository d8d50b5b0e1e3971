"""The distribution under the explorer: small worlds whole, stories drawn by seed, faults that it must see."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from otterglade.cli.main import main
from otterglade.explore import distribution_search
from otterglade.explore.distribution import NO_FAULTS, Scope
from otterglade.explore.distribution_acts import begun, default_act, do

from .planted_distribution import FAULTS, Fault, first, planted

PLANTED_STEPS = 3_000
FOUND = [fault for fault in FAULTS if fault.breaks]


def small(**allowed: int) -> Scope:
    return Scope(**NO_FAULTS | {"voters": 2, "gateways": 1, "proposals": 1, "faults": 1} | allowed)


def test_left_alone_all_come_to_act_upon_the_head() -> None:
    world = begun(Scope())
    while (act := default_act(world)) is not None:
        do(world, act)
    world.check_rest()
    assert [len(applied) for applied in world.checker.applied.values()] == [3, 3]
    assert len(world.checker.line) == 3


@pytest.mark.parametrize("kind", ["lost", "doubled", "replaced", "lapsed", "expired"])
def test_every_story_with_one_departure_keeps_every_property(kind: str) -> None:
    found = distribution_search.explore(small(**{kind: 1}))
    assert found.complete, (found.bound, found.broken, found.what, found.story)
    assert found.acts[kind] > 0


def test_a_search_that_meets_its_bound_says_so() -> None:
    found = distribution_search.explore(Scope(), most=200)
    assert (found.complete, found.bound, found.broken) == (False, "200 states", "")


def test_drawn_stories_keep_every_property_and_are_the_same_for_a_seed() -> None:
    scope = Scope(proposals=3, faults=4)
    one = distribution_search.walk(scope, 1, 2500)
    two = distribution_search.walk(scope, 1, 2500)
    assert not one.broken, distribution_search.told(scope, one.story)
    assert (one.acts, one.steps) == (two.acts, two.steps)


@pytest.mark.parametrize("fault", FOUND, ids=lambda fault: fault.name)
def test_a_planted_fault_is_found(fault: Fault) -> None:
    with planted(fault):
        found = first(fault, PLANTED_STEPS)
        assert found.broken == fault.breaks, found.what
        again = distribution_search.play(fault.scope, found.story)
        assert again is not None and again.name == fault.breaks


def test_the_story_of_a_search_is_short_and_breaks_nothing_without_its_fault(tmp_path: Path) -> None:
    fault = next(one for one in FAULTS if "before it is accepted" in one.name)
    with planted(fault):
        found = distribution_search.explore(small())
    assert (found.broken, len(found.story)) == ("unaccepted", 3)
    assert distribution_search.play(small(), found.story) is None
    distribution_search.save(tmp_path / "story", small(), found.story, found.broken, found.what)
    assert distribution_search.load(tmp_path / "story") == (small(), found.story)


def test_a_search_sees_one_that_goes_round_for_ever() -> None:
    fault = next(one for one in FAULTS if one.name == "a rejection is forgotten")
    scope = small(unwanted=1)
    with planted(fault):
        found = distribution_search.explore(scope)
    assert (found.broken, found.complete) == ("progress", False)
    assert distribution_search.explore(scope).complete


def test_a_copy_is_the_same_and_goes_its_own_way() -> None:
    world = begun(Scope())
    copy = distribution_search.unpack(distribution_search.pack(world))
    before = distribution_search.fingerprint(world)
    assert distribution_search.fingerprint(copy) == before
    while (act := default_act(copy)) is not None:
        do(copy, act)
    assert distribution_search.fingerprint(world) == before != distribution_search.fingerprint(copy)


def test_the_command_says_how_it_ended_and_shows_a_story(tmp_path: Path) -> None:
    run = CliRunner().invoke
    few = [f"{kind}=0" for kind in NO_FAULTS]
    command = ["explore", "distribution", "voters=2", "gateways=1", "proposals=1", *few]
    told = run(main, command)
    assert (told.exit_code, told.output.strip().endswith(": complete")) == (0, True), told.output
    told = run(main, [*command, "--states", "5"])
    assert (told.exit_code, told.output.strip().endswith("bound: 5 states")) == (0, True), told.output
    told = run(main, ["explore", "distribution", "voters=0"])
    assert (told.exit_code, "voters: found 0" in told.output) == (1, True)
    path = tmp_path / "story"
    with planted(next(one for one in FAULTS if "before it is accepted" in one.name)):
        told = run(main, [*command, "--save", str(path)])
        assert (told.exit_code, "unaccepted" in told.output) == (1, True), told.output
        assert run(main, ["explore", "distribution", "--replay", str(path)]).exit_code == 1
    assert run(main, ["explore", "distribution", "--replay", str(path)]).exit_code == 0

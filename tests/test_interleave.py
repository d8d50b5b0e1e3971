"""Threads under the scheduler: what it finds, that it finds all of it, and the shipped code under it."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from click.testing import CliRunner

from otterglade.cli.main import main
from otterglade.interleave import controlled, report, schedule
from otterglade.interleave.linear import Call, linearizable
from otterglade.interleave.scene import Check, Scene, Subject, need
from otterglade.interleave.scheduler import ScheduleError
from otterglade.interleave.search import Bounds

from .planted_threads import PLANTS, Plant

ANY = Bounds(preemptions=None)


class Cell:
    """Something shared."""

    def __init__(self) -> None:
        self.value = 0


def subject(play: Callable[[Scene], Check], bounds: Bounds = ANY) -> Subject:
    return Subject("small", "", (), (), play, bounds)


def cell_of(scene: Scene) -> Cell:
    watched = type("Cell", (Cell,), {})
    controlled.watch(watched, frozenset({"value"}), scene.stage, {})
    return watched()  # type: ignore[no-any-return]


def test_a_lost_update_is_found_shrunk_and_replayed_by_its_name() -> None:
    def play(scene: Scene) -> Check:
        cell = cell_of(scene)

        def add() -> None:
            cell.value += 1

        scene.go("a", add)
        scene.go("b", add)
        return lambda: need(cell.value == 2, f"two added, found {cell.value}")

    found = subject(play).explore()
    assert found.fault is not None and found.fault.what == "two added, found 1"
    assert len(found.plan) <= 3
    again, told = subject(play).replay(schedule.read(schedule.named(found.plan)))
    assert again == found.fault and any("b: " in x for x in told)


def test_locks_taken_crosswise_are_a_deadlock() -> None:
    def play(scene: Scene) -> Check:
        threading = controlled.threading_of(scene.stage)
        one, two = threading.Lock(), threading.Lock()

        def take(first: controlled._Lock, second: controlled._Lock) -> Callable[[], None]:
            def work() -> None:
                with first, second:
                    pass

            return work

        scene.go("a", take(one, two))
        scene.go("b", take(two, one))
        return lambda: None

    fault = subject(play).explore().fault
    assert fault is not None and fault.kind == "deadlock"


@pytest.mark.parametrize("seed", range(12))
def test_the_reduction_loses_no_outcome(seed: int) -> None:
    """Small random programs: all outcomes without reduction are there with it."""
    rng = random.Random(seed)
    programs = [[rng.choice(("read", "write", "locked", "put", "get")) for _ in range(3)] for _ in range(2)]

    def outcomes(reduced: bool) -> tuple[set[str], int]:
        found: set[str] = set()

        def play(scene: Scene) -> Check:
            cell, lock = cell_of(scene), controlled.threading_of(scene.stage).Lock()
            queue = controlled.queue_of(scene.stage).SimpleQueue()
            seen: dict[int, list[object]] = {0: [], 1: []}

            def thread(number: int) -> Callable[[], None]:
                def work() -> None:
                    for at, what in enumerate(programs[number]):
                        if what == "read":
                            seen[number].append(cell.value)
                        elif what == "write":
                            cell.value = 10 * number + at + 1
                        elif what == "locked":
                            with lock:
                                cell.value += 100
                        elif what == "put":
                            queue.put((number, at))
                        else:
                            seen[number].append(None if queue.empty() else queue.get(timeout=1.0))

                return work

            for number in (0, 1):
                scene.go(str(number), thread(number))
            return lambda: found.add(repr((seen, cell.value)))

        one = subject(play).explore(Bounds(preemptions=None, early=0, reduced=reduced))
        assert one.fault is None or one.fault.kind == "failed"
        return (found if one.fault is None else {"queue.Empty"}), one.schedules

    (with_it, few), (without, many) = outcomes(True), outcomes(False)
    assert with_it == without
    assert few <= many


def test_histories_are_put_in_order_or_refuted() -> None:
    def register(state: int, op: tuple[str, int]) -> list[int]:
        kind, value = op
        return [value] if kind == "write" else [state] if state == value else []

    write, late = Call(("write", 1), 1, 4), Call(("read", 1), 5, 6)
    assert linearizable([write, Call(("read", 0), 2, 3), late], 0, register)
    assert not linearizable([write, Call(("read", 1), 2, 3), Call(("read", 0), 4, 5)], 0, register)
    assert not linearizable([write, Call(("read", 0), 5, 6)], 0, register)


def test_names_of_schedules_are_read_and_refused() -> None:
    assert schedule.named(schedule.read("12.2-30.f1")) == "12.2-30.f1"
    assert schedule.read("plain") == {}
    with pytest.raises(ScheduleError, match="found '12'"):
        schedule.read("12")
    with pytest.raises(ScheduleError, match="there can go on"):
        report.replayed("spawn:3.77")
    with pytest.raises(ScheduleError, match="the run has"):
        report.replayed("spawn:900.1")


@pytest.mark.long
def test_every_schedule_of_the_shipped_threads_keeps_what_must_hold() -> None:
    results = report.explored()
    assert [x.name for x in results if x.found.fault] == []
    assert report.verdict(results).startswith("complete")
    assert all(x.found.schedules > 5 for x in results)


@pytest.mark.parametrize("plant", PLANTS, ids=lambda x: x.name.replace(" ", "-"))
def test_each_planted_fault_is_found_and_replayed(plant: Plant) -> None:
    found = plant.found()
    assert found.fault is not None
    edits = {plant.module: ((plant.old, plant.new),)}
    assert report.chosen(plant.subject).replay(found.plan, edits)[0] == found.fault


def test_the_command_says_schedules_and_a_verdict() -> None:
    ran = CliRunner().invoke(main, ["explore", "threads", "--subject", "spawn"])
    assert ran.exit_code == 0, ran.output
    assert "schedules" in ran.output and ran.output.splitlines()[-1] == "complete"
    assert CliRunner().invoke(main, ["explore", "threads", "--replay", "spawn:plain"]).exit_code == 0
    assert "allowed: log-appends" in CliRunner().invoke(main, ["explore", "threads", "--subject", "x"]).output

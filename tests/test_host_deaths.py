"""An attempt whose host is killed is out no more, and nothing else than that end takes it back."""

from __future__ import annotations

import threading
import time
from pathlib import Path
from typing import Any

import pytest

from otterglade.lab.day import rules_of
from otterglade.lab.stage import Layout, Stage
from otterglade.referee.judge import ClassTerms, Finding, Rules, judge
from otterglade.referee.records import Event, Records, load
from otterglade.standins.player import Browser
from otterglade.standins.record import read

from .house import until

RULES = Rules({"timelapse": ClassTerms(5.0)}, grace=0.25, ladder_worth=(1.0,))
FIRST, KILLED, SECOND = 712.2870, 712.2906, 712.2968
"""Seconds, as they were in the records of a bad day: asked of host 4, its kill, asked of host 3."""
RESTARTED = KILLED + 0.002


def event(t: float, ev: str, /, **fields: Any) -> Event:
    return {"t": t, "ev": ev, **fields}


def asked(t: float, host: int, key: str) -> Event:
    return event(
        t, "asked", host=host, setup=f"g1.1c3d736d.{key}", viewer="v", cls="timelapse", title="job-0",
        paid=False, gateway="g1", rung=0, within=0.75, late=0.0004,
    )  # fmt: skip


BOTH = (asked(FIRST, 4, "35.0"), asked(SECOND, 3, "35.1"))


def up(t: float, host: int) -> Event:
    return event(t, "up", host=host, cold=True, port=1)


def killed(t: float, host: int) -> Event:
    return event(t, "host_killed", host=host)


def findings(hosts: tuple[Event, ...], stage: tuple[Event, ...] = ()) -> list[Finding]:
    in_time = tuple(sorted(hosts, key=lambda x: float(x["t"])))
    return judge(Records(in_time, (), (), stage), RULES).findings


EXCUSED: dict[str, tuple[tuple[Event, ...], tuple[Event, ...]]] = {
    "killed in between": ((up(1.0, 4), *BOTH), (killed(KILLED, 4),)),
    "killed in between, its start not noted": (BOTH, (killed(KILLED, 4),)),
    "in a power loss": (
        BOTH,
        (event(KILLED, "power_loss", gateways=[], hosts=[2, 4], registry=False), killed(KILLED, 2),
         killed(KILLED, 4)),
    ),
    "told to end at once": ((*BOTH, event(KILLED, "fault", host=4, kind="crash")), ()),
    "the kill was noted before it was sent": (BOTH, (killed(FIRST - 0.001, 4),)),
    "the kill was noted at the attempt": (BOTH, (killed(FIRST, 4),)),
    "its next process has the second": (
        (up(1.0, 4), BOTH[0], up(RESTARTED, 4), asked(SECOND, 4, "35.1")), (killed(KILLED, 4),)
    ),
    "killed again when it had ended": (BOTH, (killed(KILLED, 4), killed(SECOND + 1.0, 4))),
    "the next session's attempt": ((BOTH[0], asked(SECOND, 3, "36.0")), (killed(KILLED, 4),)),
}  # fmt: skip


@pytest.mark.parametrize("how", EXCUSED)
def test_an_attempt_is_not_out_once_the_process_that_had_it_has_ended(how: str) -> None:
    assert findings(*EXCUSED[how]) == []


FOUND: dict[str, tuple[tuple[Event, ...], tuple[Event, ...]]] = {
    "nothing ended": (BOTH, ()),
    "killed after the second had begun": (BOTH, (killed(SECOND + 0.001, 4),)),
    "killed as the second was noted": (BOTH, (killed(SECOND, 4),)),
    "another host was killed": (BOTH, (killed(KILLED, 2),)),
    "the second's host was killed": (BOTH, (killed(KILLED, 3),)),
    "hung": ((*BOTH, event(KILLED, "fault", host=4, kind="hang", seconds=9.0, value=0.0)), ()),
    "hung, and killed after the second had begun": (
        (*BOTH, event(KILLED, "fault", host=4, kind="hang", seconds=9.0, value=0.0)),
        (killed(SECOND + 0.001, 4),),
    ),
    "fell": ((*BOTH, event(KILLED, "fallen", host=4, arrivals=9, most=3.0)), ()),
    "its process before was killed": (
        (up(1.0, 4), up(FIRST - 0.1, 4), *BOTH), (killed(FIRST - 0.2, 4),)
    ),
    "its process after was killed": (
        (up(1.0, 4), *BOTH, up(SECOND + 0.1, 4)), (killed(SECOND + 0.2, 4),)
    ),
    "it still wrote after the second, whatever was noted of a kill": (
        (*BOTH, event(SECOND + 0.001, "fate", host=4, setup="g1.1c3d736d.9.0", status=404)),
        (killed(KILLED, 4),),
    ),
    "a power loss that was another host's": (
        BOTH, (event(KILLED, "power_loss", gateways=[], hosts=[2], registry=False), killed(KILLED, 2))
    ),
    "a later attempt's host was killed before the earlier attempt came": (
        (asked(FIRST, 4, "35.1"), asked(SECOND, 3, "35.0")), (killed(KILLED, 4),)
    ),
}  # fmt: skip


@pytest.mark.parametrize("how", FOUND)
def test_two_attempts_out_at_once_are_found_whatever_else_ended(how: str) -> None:
    found = findings(*FOUND[how])
    judged = [x for x in found if x.rule == "twice" and "out at once" in x.what]
    assert len(judged) == 1, found


def test_a_host_is_killed_under_an_attempt_and_the_next_one_is_no_second_at_once(tmp_path: Path) -> None:
    """On real processes: the host has noted the attempt and has not answered when it is killed."""
    patient = ({"name": "timelapse", "effect": "safe", "goal": 30.0, "patience": 60.0},)
    layout = Layout(
        hosts=2,
        holders=2,
        racks=1,
        titles=1,
        late_list=0.0,
        by_probe=False,
        classes=patient,
        class_share=(1.0,),
    )
    stage = Stage(layout, tmp_path)
    (tmp_path / "players.jsonl").touch()

    def attempts(number: int) -> list[Event]:
        return [x for x in read(tmp_path / f"host-{number}.jsonl") if x["ev"] == "asked"]

    statuses: list[int] = []

    def watch() -> None:
        url = f"http://{stage.gateways[0].address}/watch/timelapse/job-0.m3u8?viewer=v"
        statuses.append(Browser().get(url, time.monotonic() + 60.0)[0].status)

    try:
        stage.start()
        for host in stage.hosts.values():
            stage.fault(host.address, "slow", seconds=600.0, value=100_000.0)
        viewer = threading.Thread(target=watch)
        viewer.start()
        first = until(lambda: [n for n in stage.hosts if attempts(n)], "the first attempt")[0]
        second = 1 - first
        stage.fault(stage.hosts[second].address, "slow")
        stage.crash_host(first)
        viewer.join()
    finally:
        stage.stop()
    assert statuses == [200]
    one, two = attempts(first)[0], attempts(second)[0]
    assert two["t"] < one["t"] + one["within"] - 0.1, "by its time alone the first attempt was still out"
    assert judge(load(tmp_path), rules_of(layout)).findings == []

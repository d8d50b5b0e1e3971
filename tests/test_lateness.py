"""A stand-in that was late says so, and the referee does not take it for the gateway's."""

from __future__ import annotations

from typing import Any

import pytest

from otterglade.referee.judge import ClassTerms, Rules, judge
from otterglade.referee.records import Event, Records
from otterglade.standins.record import BEAT, FELT, Heart

RULES = Rules({"free": ClassTerms(5.0)}, grace=0.25, ladder_worth=(1.0,))


def event(t: float, ev: str, /, **fields: Any) -> Event:
    return {"t": t, "ev": ev, **fields}


def asked(t: float, key: str, host: int, late: float, within: float) -> Event:
    return event(
        t, "asked", host=host, setup=key, viewer="v", cls="free", title="a", paid=False, gateway="g0", rung=0,
        within=within, late=late,
    )  # fmt: skip


def records(hosts: tuple[Event, ...], registry: tuple[Event, ...] = ()) -> Records:
    request = event(
        10.0, "request", request=1, viewer="v", gateway="a", cls="free", title="a", patience=5.0, top=0,
        watch=1.0,
    )  # fmt: skip
    answer = event(10.9, "answer", request=1, viewer="v", cls="free", title="a", status=200, took=0.9)
    return Records(hosts, (request, answer), registry, ())


@pytest.mark.parametrize(("late", "found"), [(0.0, 1), (0.3, 0)])
def test_an_attempt_noted_late_was_not_still_out_when_the_next_went(late: float, found: int) -> None:
    """One of twelve runs beside others broke rule 2: the host came to the first attempt 0.3 s after it was
    there, and the referee reckoned its time from then."""
    first = asked(10.3, "g0.1.65.0", 0, late, within=0.75)
    second = asked(10.76, "g0.1.65.1", 1, 0.0, within=0.2)
    verdict = judge(records((first, second)), RULES)
    assert [x.rule for x in verdict.findings] == ["twice"] * found, verdict.findings


@pytest.mark.parametrize(("late", "found"), [(0.0, 1), (0.3, 0), (0.01, 1)])
def test_a_set_up_noted_late_at_a_draining_host_had_come_in_time(late: float, found: int) -> None:
    told = event(10.0, "told", client="g0.1", states={"0": "draining"})
    verdict = judge(records((asked(10.5, "g0.1.65.0", 0, late, within=2.0),), (told,)), RULES)
    assert [x.rule for x in verdict.findings] == ["drain"] * found, verdict.findings


def test_a_heart_tells_how_late_its_process_was_and_forgets_it() -> None:
    heart = Heart(100.0)
    for n in range(1, 6):
        heart.beat(100.0 + n * BEAT)
    assert heart.late(100.05) < 1e-9
    assert heart.late(100.36) == pytest.approx(0.3), "its beat is overdue now"
    heart.beat(100.46)
    assert heart.late(100.5) == pytest.approx(0.4)
    heart.beat(100.46 + FELT + 0.5)
    assert heart.late(100.46 + FELT + 0.5) == pytest.approx(FELT + 0.5 - BEAT)

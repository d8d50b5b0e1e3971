"""What a missing answer proves of its connection, and when a host is due a new one."""

from __future__ import annotations

import math

import pytest

from otterglade.core.connection_health import (
    MAX_UNANSWERED,
    NEXT_CONNECTION_SECONDS,
    REPEAT_SECONDS,
    UNANSWERED_SECONDS,
    AnsweredKinds,
    RepeatSchedule,
    RequestKind,
    UnansweredRequests,
)

LATE = 100.0 + UNANSWERED_SECONDS + 0.01


@pytest.fixture(name="requests")
def fixture_requests() -> UnansweredRequests:
    return UnansweredRequests(AnsweredKinds())


@pytest.mark.parametrize("kind", [RequestKind.SETUP, RequestKind.PROBE])
def test_a_missing_answer_is_evidence_until_it_comes(requests: UnansweredRequests, kind: RequestKind) -> None:
    requests.add(b"a", kind, 100.0)
    assert not requests.is_overdue(100.0 + UNANSWERED_SECONDS - 0.01, 0.0)
    assert requests.is_overdue(LATE, 0.0)
    requests.answer(b"a")
    assert not requests.is_overdue(LATE, 0.0)


def test_received_bytes_prove_the_connection_for_a_while(requests: UnansweredRequests) -> None:
    requests.add(b"a", RequestKind.SETUP, 100.0)
    assert not requests.is_overdue(LATE, LATE - 0.1)
    assert requests.is_overdue(LATE + UNANSWERED_SECONDS, LATE - 0.1)


@pytest.mark.parametrize("kind", [RequestKind.RELEASE, RequestKind.CANCELLATION])
def test_a_kind_that_no_host_has_answered_is_no_evidence(
    requests: UnansweredRequests, kind: RequestKind
) -> None:
    requests.add(b"a", kind, 100.0)
    assert not requests.is_overdue(LATE, 0.0)
    requests.add(b"b", kind, 100.0)
    requests.answer(b"b")
    assert requests.is_overdue(LATE, 0.0)


@pytest.mark.parametrize(
    ("cancelled_at", "late", "is_evidence"),
    [(100.1, False, False), (100.1, True, True), (LATE, False, True)],
    ids=["given up early", "its time was up", "given up when overdue"],
)
def test_a_cancelled_set_up_stays_evidence_if_its_answer_was_due(
    requests: UnansweredRequests, cancelled_at: float, late: bool, is_evidence: bool
) -> None:
    requests.add(b"a", RequestKind.SETUP, 100.0)
    requests.cancel(b"a", cancelled_at, late)
    assert requests.is_overdue(LATE, 0.0) is is_evidence
    assert requests.cancelled_setups() == ([b"a"] if is_evidence else [])


def test_requests_without_an_answer_take_bounded_memory(requests: UnansweredRequests) -> None:
    for number in range(3 * MAX_UNANSWERED):
        requests.add(b"%d" % number, RequestKind.RELEASE, 100.0)
    assert len(requests._requests) == MAX_UNANSWERED


def test_a_connection_is_due_once_after_a_loss() -> None:
    schedule = RepeatSchedule()
    assert schedule.due_at(still_losing=False) == math.inf
    schedule.report_loss(100.0)
    assert schedule.due_at(still_losing=False) == 100.0
    schedule.connection_established(99.9)  # opened before the loss: the host may have repeated earlier
    assert schedule.due_at(still_losing=False) == 100.0
    schedule.connection_established(100.1)
    assert schedule.due_at(still_losing=False) == math.inf


def test_suspicions_in_a_row_share_connections() -> None:
    schedule = RepeatSchedule()
    schedule.connection_established(100.0)
    for now in (100.2, 100.4, 100.6):
        schedule.report_suspicion(now)
        assert schedule.due_at(still_losing=True) == 100.0 + NEXT_CONNECTION_SECONDS
    schedule.connection_established(101.0)
    assert schedule.due_at(still_losing=True) == 101.0 + REPEAT_SECONDS
    schedule.reset()
    assert schedule.due_at(still_losing=False) == math.inf

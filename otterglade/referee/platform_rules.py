"""The platform's rules, judged from what passed on the sockets (`platform_records.py`).

Each rule has a function of its own; the figures are those of the platform's protocol page.
"""

from __future__ import annotations

import bisect
import itertools
import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from .platform_records import Attempt, HostState, ListChange, ProcessLife, Records, Request, SessionEnd

SLACK_SECONDS = 0.05
"""All time limits are longer by this on sockets."""
LATE_ANSWER_SECONDS = 0.5
"""An answer that is later than its deadline by less earns nothing, and is not lost."""
CROSSING_SECONDS = 0.05
"""A set-up that crosses the close of its connection within this time is sent once more."""
UNANSWERED_AT_KILL_SECONDS = 0.7
"""What came up to so long after SIGTERM is not lost if SIGKILL finds it unanswered."""
DEPARTED_SECONDS = 0.1
"""An attempt may begin so long after its viewer left."""
LIST_SECONDS = 1.5
"""A change counts as told so long after it, if the name service answers."""
LIST_AFTER_OUTAGE_SECONDS = 6.0
"""A change counts as told so long after the name service could be reached again."""
RELEASE_SECONDS = 1.0
"""A release is due so long after the host sent its own."""
RELEASE_WITHOUT_WORD_SECONDS = 8.0
"""A release is due so long after an end that the host could not tell."""
BUDGET_FACTOR, BUDGET_EXTRA = 1.15, 1.0
"""Widening of the budget of further attempts."""
READY_SECONDS = 10.0
"""Seconds from a start until the process answers."""
FEW_SETUPS = 30
"""Below this many, chance counts more in the bound of a cold host."""
TOLD_SHARE = 2 / 3
"""The fall of a cold host counts if more of its set-ups came from gateways that knew of its start."""


class Rule(Enum):
    """The rules that a soak judges."""

    LOST = "lost"
    DOUBLED = "doubled"
    UNMADE = "unmade"
    TWICE = "twice"
    DRAINED = "drained"
    BUDGET = "budget"
    DEPARTED = "departed"
    RELEASE = "release"
    FALLEN = "fallen"
    CRASH = "crash"
    OVERRUN = "overrun"
    READY = "ready"
    LIMITS = "limits"


@dataclass(frozen=True, slots=True)
class Finding:
    """A breach of a rule."""

    rule: Rule
    at: float
    """Unix seconds."""
    gateway: int
    host: str
    text: str


class Timeline:
    """The lives of the processes and what each gateway knew when."""

    def __init__(self, records: Records) -> None:
        self.records = records
        self._lives: dict[int, list[ProcessLife]] = defaultdict(list)
        for life in sorted(records.lives, key=lambda x: x.started_at):
            self._lives[life.gateway].append(life)
        self.requests: dict[bytes, list[Request]] = defaultdict(list)
        for request in records.requests:
            self.requests[request.session].append(request)
        self.attempts: dict[bytes, list[Attempt]] = defaultdict(list)
        for attempt in sorted(records.attempts, key=lambda x: x.begun_at):
            self.attempts[attempt.session].append(attempt)

    def life(self, gateway: int, at: float) -> ProcessLife | None:
        """The process of a gateway at a time; the last one that had been started by then."""
        started = [x for x in self._lives[gateway] if x.started_at <= at]
        return started[-1] if started else None

    def told_at(self, change: ListChange, life: ProcessLife) -> float:
        """When a process counts as told of a change."""
        if life.serial >= change.serial:
            return life.started_at
        sent = (
            x.at
            for x in self.records.lists_sent
            if x.gateway == life.gateway and x.serial >= change.serial and x.asked_at >= life.started_at
        )
        return min(next(sent, math.inf), self._latest_telling(change, life))

    def _latest_telling(self, change: ListChange, life: ProcessLife) -> float:
        known_from = max(change.at, life.started_at)
        outages = [
            x
            for x in self.records.outages
            if x.gateway == life.gateway
            and x.ended_at > known_from
            and x.begun_at < known_from + LIST_AFTER_OUTAGE_SECONDS
        ]
        if not outages:
            return known_from + LIST_SECONDS
        return max(x.ended_at for x in outages) + LIST_AFTER_OUTAGE_SECONDS


def judge(records: Records) -> list[Finding]:
    """All breaches, in order of time."""
    timeline = Timeline(records)
    rules: tuple[Callable[[Records, Timeline], Iterable[Finding]], ...] = (
        lost, doubled, unmade, twice, drained, budget, departed, releases, fallen, processes,
    )  # fmt: skip
    return sorted((y for x in rules for y in x(records, timeline)), key=lambda x: x.at)


def _of_request(rule: Rule, request: Request, text: str) -> Finding:
    return Finding(
        rule,
        request.sent_at,
        request.link.gateway,
        "",
        f"{request.session.decode()} {request.class_name}: {text}",
    )


def lost(records: Records, timeline: Timeline) -> Iterator[Finding]:
    """A request that was taken gets one whole answer in time."""
    for request in records.requests:
        if request.sent_at == math.inf:
            continue
        if request.unreadable_at < math.inf and not request.answers:
            yield _of_request(Rule.LOST, request, "its connection brought what is no RTSP")
            continue
        due_at = request.sent_at + request.deadline + LATE_ANSWER_SECONDS + SLACK_SECONDS + records.lateness
        if request.answers:
            if request.answers[0].at > due_at and request.left_at > due_at:
                took = request.answers[0].at - request.sent_at
                yield _of_request(Rule.LOST, request, f"answered after {took:.3f} s of {request.deadline} s")
        elif not _may_stay_unanswered(request, due_at, records, timeline):
            ended = request.link.ended_at
            how = (
                f"connection ended after {ended - request.sent_at:.3f} s" if ended < due_at else "not in time"
            )
            yield _of_request(Rule.LOST, request, f"no answer: {how}, would wait {request.deadline} s")


def _may_stay_unanswered(request: Request, due_at: float, records: Records, timeline: Timeline) -> bool:
    ended_at = request.link.ended_at
    if request.left_at <= min(due_at, ended_at) or records.ended_at <= min(due_at, ended_at):
        return True
    if request.sent_at > ended_at - CROSSING_SECONDS - records.lateness:
        return True
    life = timeline.life(request.link.gateway, request.sent_at)
    if life is None or min(ended_at, due_at) < life.killed_at:
        return False
    return request.sent_at <= life.terminated_at + UNANSWERED_AT_KILL_SECONDS


def doubled(records: Records, timeline: Timeline) -> Iterator[Finding]:
    """A request gets one answer."""
    for request in records.requests:
        if len(request.answers) > 1:
            yield _of_request(Rule.DOUBLED, request, f"answers {[x.status for x in request.answers]}")


def unmade(records: Records, timeline: Timeline) -> Iterator[Finding]:
    """A success carries what a host answered for this session."""
    for request in records.requests:
        made = {x.description for x in timeline.attempts[request.session] if x.description}
        for answer in request.answers:
            if answer.status == 200 and answer.body not in made:
                yield _of_request(Rule.UNMADE, request, "served with a description that no host made for it")


def twice(records: Records, timeline: Timeline) -> Iterator[Finding]:
    """No second attempt while one is out, nor after one that may have run where that is paid for."""
    for session, attempts in timeline.attempts.items():
        requests = timeline.requests[session]
        once = any(x.at_most_once for x in requests)
        for first, second in itertools.pairwise(attempts):
            both_out = min(first.ended_at, second.ended_at) - second.begun_at
            if both_out > records.lateness and first.arrived_at < second.begun_at:
                text = f"{session.decode()} out at {first.host} and {second.host} at once"
            elif once and first.arrived_at < math.inf and not first.never_ran:
                text = f"{session.decode()} sent to {second.host} after it may have run at {first.host}"
            else:
                continue
            yield Finding(Rule.TWICE, second.begun_at, second.gateway, second.host, text)


def drained(records: Records, timeline: Timeline) -> Iterator[Finding]:
    """Nothing new goes to a host after it is known to drain or be gone."""
    grace = records.terms.drain_grace + SLACK_SECONDS + records.lateness
    by_host: dict[str, list[ListChange]] = defaultdict(list)
    for change in records.changes:
        by_host[change.host].append(change)
    for attempt in records.attempts:
        life = timeline.life(attempt.gateway, attempt.begun_at)
        changes = [x for x in by_host[attempt.host] if x.at <= attempt.begun_at]
        if life is None or not changes or changes[-1].state is HostState.READY:
            continue
        leaving = next(
            x for i, x in enumerate(changes) if all(y.state is not HostState.READY for y in changes[i:])
        )
        told_at = timeline.told_at(leaving, life)
        if attempt.begun_at > told_at + grace:
            late = attempt.begun_at - told_at
            text = f"{attempt.session.decode()} {late:.3f} s after {leaving.state.value} was told"
            yield Finding(Rule.DRAINED, attempt.begun_at, attempt.gateway, attempt.host, text)


def budget(records: Records, timeline: Timeline) -> Iterator[Finding]:
    """Further attempts of a process stay within its budget."""
    terms = records.terms
    if terms.budget_window <= 0:
        return
    taken: dict[int, list[float]] = defaultdict(list)
    further: dict[int, list[float]] = defaultdict(list)
    lives = {id(x): x for x in records.lives}
    for request in records.requests:
        life = timeline.life(request.link.gateway, request.sent_at)
        if life is not None and request.sent_at < math.inf:
            taken[id(life)].append(request.sent_at)
    for attempts in timeline.attempts.values():
        for attempt in attempts[1:]:
            life = timeline.life(attempt.gateway, attempt.begun_at)
            if life is not None:
                further[id(life)].append(attempt.begun_at)
    for key, times in further.items():
        requests, times = sorted(taken[key]), sorted(times)
        for index, at in enumerate(times):
            since = at - terms.budget_window
            count = index + 1 - bisect.bisect_left(times, since)
            asked = bisect.bisect_right(requests, at + SLACK_SECONDS) - bisect.bisect_left(
                requests, since - SLACK_SECONDS
            )
            allowed = BUDGET_FACTOR * (terms.budget_free + terms.budget_share * asked) + BUDGET_EXTRA
            if count > allowed:
                text = f"{count} further attempts in {terms.budget_window:g} s, {allowed:.1f} allowed"
                yield Finding(Rule.BUDGET, at, lives[key].gateway, "", text)


def departed(records: Records, timeline: Timeline) -> Iterator[Finding]:
    """A viewer that left gets no attempt."""
    for attempt in records.attempts:
        requests = timeline.requests[attempt.session]
        left_at = max((x.left_at for x in requests), default=math.inf)
        late = attempt.begun_at - left_at
        if late > DEPARTED_SECONDS + SLACK_SECONDS + records.lateness:
            text = f"{attempt.session.decode()} begun {late:.3f} s after its viewer left"
            yield Finding(Rule.DEPARTED, attempt.begun_at, attempt.gateway, attempt.host, text)


def _served_by(end: SessionEnd, timeline: Timeline) -> Request | None:
    """The request that was served with a session that ended; None: its viewer got another host's."""
    made = {x.description for x in timeline.attempts[end.session] if x.host == end.host and x.description}
    requests = timeline.requests[end.session]
    return next((x for x in requests if any(y.body in made for y in x.answers)), None)


def releases(records: Records, timeline: Timeline) -> Iterator[Finding]:
    """The end of a session is passed on in time, where its viewer can be reached all the while."""
    links: dict[int, list[tuple[float, float]]] = defaultdict(list)
    for link in records.links:
        links[link.gateway].append((link.opened_at, link.ended_at))
    for end in records.ends:
        request = _served_by(end, timeline)
        if request is None:
            continue
        due_at = end.ended_at + RELEASE_WITHOUT_WORD_SECONDS + SLACK_SECONDS
        if end.told_at < math.inf:
            due_at = min(due_at, end.told_at + RELEASE_SECONDS + SLACK_SECONDS)
        due_at += records.lateness
        life = timeline.life(end.gateway, request.answers[0].at)
        undisturbed = life is not None and min(life.terminated_at, life.ended_at) > due_at
        reachable = any(x <= end.ended_at and y > due_at for x, y in links[end.gateway])
        if not undisturbed or not reachable or due_at > records.ended_at or request.left_at < due_at:
            continue
        if request.released_at > due_at:
            how = (
                "never"
                if request.released_at == math.inf
                else f"{request.released_at - end.ended_at:.3f} s after it"
            )
            text = f"{end.session.decode()} ended at its host, released {how}"
            yield Finding(Rule.RELEASE, end.ended_at, end.gateway, end.host, text)


def fallen(records: Records, timeline: Timeline) -> Iterator[Finding]:
    """Gateways that know of a host's start do not overload it together while it is cold."""
    terms = records.terms
    for start in records.starts:
        warm_at = start.at + terms.cold
        attempts = [x for x in records.attempts if x.host == start.host and start.at <= x.begun_at < warm_at]
        for last, attempt in enumerate(attempts):
            recent = [x for x in attempts[: last + 1] if x.begun_at > attempt.begun_at - terms.fall]
            warmth = (attempt.begun_at - start.at) / terms.cold
            share = terms.start_capacity + (1.0 - terms.start_capacity) * warmth
            borne = terms.setups_when_warm * share
            root = math.sqrt(borne)
            bound = borne + 3.0 * root + 3.0 if borne < FEW_SETUPS else borne + 2.0 * root + 2.0
            if len(recent) <= bound:
                continue
            if sum(_knew_start(start.host, x, timeline) for x in recent) > TOLD_SHARE * len(recent):
                text = f"{len(recent)} set-ups in {terms.fall:g} s, {bound:.1f} borne"
                yield Finding(Rule.FALLEN, attempt.begun_at, attempt.gateway, start.host, text)
                break


def _knew_start(host: str, attempt: Attempt, timeline: Timeline) -> bool:
    life = timeline.life(attempt.gateway, attempt.begun_at)
    change = next((x for x in timeline.records.changes if x.host == host), None)
    return life is not None and change is not None and timeline.told_at(change, life) < attempt.begun_at


def processes(records: Records, timeline: Timeline) -> Iterator[Finding]:
    """Processes start, stay and end as they should, within their limits."""
    for life in records.lives:
        seen_until = min(life.ended_at, records.ended_at)

        def found(rule: Rule, text: str, life: ProcessLife = life, at: float = seen_until) -> Finding:
            return Finding(rule, at, life.gateway, "", text)

        ended_by_itself = life.ended_at < math.inf and life.killed_at == math.inf
        if ended_by_itself and (life.terminated_at == math.inf or life.exit_code):
            yield found(
                Rule.CRASH, f"ended with {life.exit_code}, SIGTERM sent: {life.terminated_at < math.inf}"
            )
        if "Traceback" in life.log.read_text(errors="replace"):
            yield found(Rule.CRASH, "a traceback in its log")
        if life.killed_at < math.inf and life.terminated_at < math.inf:
            yield found(Rule.OVERRUN, "did not end by itself before the earliest SIGKILL")
        if min(life.ready_at, seen_until, life.terminated_at) - life.started_at > READY_SECONDS:
            yield found(Rule.READY, f"not ready within {READY_SECONDS:g} s")
        if life.peak_memory_mb > records.terms.memory_mb:
            yield found(Rule.LIMITS, f"{life.peak_memory_mb:.0f} MB of {records.terms.memory_mb:g} MB")
        if life.peak_descriptors > records.terms.descriptors:
            yield found(Rule.LIMITS, f"{life.peak_descriptors} descriptors of {records.terms.descriptors}")

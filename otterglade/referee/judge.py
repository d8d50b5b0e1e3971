"""The six rules and the service, judged from the records of hosts, players, registry and stage alone.

The referee knows the terms of the deployment and nothing of the gateway: what a gateway believed does not
count, only what passed on the sockets. A slack, stated at each rule, covers the way from one socket to the
other; it never covers a whole act.
"""

from __future__ import annotations

import bisect
import itertools
import re
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

from .host_lives import HostLives
from .records import Event, Records

REFUSED_SEGMENT = re.compile(r"segment \d+: 50[23]$")
"""Why a player's session broke where its segment asked for it anew and was not given it."""
RULES = ("lost", "twice", "drain", "cold", "terms", "budget")
WAY = 0.1
"""Seconds that an act may take from the gateway's decision to the host's record, on a busy machine."""
END = 0.4
"""Seconds by which a host may note a session's end later than the gateway, which frees its seat at once."""


@dataclass(frozen=True, slots=True)
class ClassTerms:
    """The terms of a class."""

    patience: float
    worth: float = 1.0
    floor: int = 0
    seats: int = 0
    paid: bool = False


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the rules; seconds."""

    classes: Mapping[str, ClassTerms]
    grace: float
    ladder_worth: tuple[float, ...]
    budget_window: float = 0.0
    budget_free: float = 0.0
    budget_share: float = 0.0
    over_deaths: bool = False
    """A viewer is not charged again after his gateway's death either: attempts are witnessed."""


@dataclass(frozen=True, slots=True)
class Finding:
    """A rule broken, and by what."""

    rule: str
    at: float
    what: str


@dataclass(slots=True)
class Verdict:
    """What the referee found."""

    requests: int = 0
    answers: dict[str, int] = field(default_factory=lambda: {"plays": 0, "refused": 0, "failed": 0})
    unanswered: int = 0
    doubled: int = 0
    not_taken: int = 0
    """Requests whose connection was refused, or whose gateway was killed while it had them."""
    findings: list[Finding] = field(default_factory=list)
    service: float = 0.0
    stalls: int = 0
    """Sessions that broke in the middle."""
    setups: int = 0
    paid_setups: int = 0
    further: int = 0
    remarks: list[str] = field(default_factory=list)
    """What whoever played the day has to say of it."""
    figures: dict[str, object] = field(default_factory=dict)
    """Of a day about duties: what its own judges found, for the last line."""

    def broken(self) -> dict[str, int]:
        return {rule: sum(x.rule == rule for x in self.findings) for rule in RULES}


def run_of(setup: str) -> str:
    """The gateway's run in a set-up's key: NAME.EPOCH.SESSION.ATTEMPT."""
    return setup.rsplit(".", 2)[0]


def _name(setup: str) -> str:
    """The gateway's name in a set-up's key, the same over its restarts."""
    return setup.rsplit(".", 3)[0]


def _session(setup: str) -> str:
    return setup.rsplit(".", 1)[0]


def _attempt(setup: str) -> int:
    return int(setup.rsplit(".", 1)[1])


def _order(setup: str) -> tuple[int, int]:
    """Session and attempt: they rise in the order in which a run of a gateway makes its set-ups."""
    return int(setup.rsplit(".", 2)[1]), _attempt(setup)


@dataclass(slots=True)
class _Setup:
    """A set-up as its host saw it."""

    key: str
    asked: Event
    done: Event | None = None
    ended: float | None = None

    @property
    def ran(self) -> bool:
        return self.done is not None and bool(self.done["ran"])

    @property
    def came(self) -> float:
        """The soonest that it can have reached its host, which notes it once it runs: a busy one is late."""
        return float(self.asked["t"]) - float(self.asked.get("late", 0.0))

    @property
    def who(self) -> tuple[str, str, str]:
        return self.asked["viewer"], self.asked["cls"], self.asked["title"]


def judge(records: Records, rules: Rules) -> Verdict:
    """Judge a stage's records."""
    verdict = Verdict()
    deaths = _deaths(records)
    setups = _setups(records)
    verdict.setups = len(setups)
    verdict.paid_setups = sum(x.ran and bool(x.asked["paid"]) for x in setups)
    verdict.further = sum(_attempt(x.key) > 0 for x in setups)
    _answered(records, rules, deaths, verdict)
    _twice(records, rules, setups, deaths, verdict)
    _drained(records, rules, setups, verdict)
    for event in records.of(records.hosts, "fallen"):
        what = f"host {event['host']} fell: {event['arrivals']} set-ups, at most {event['most']:.1f}"
        verdict.findings.append(Finding("cold", event["t"], what))
    _terms(records, rules, setups, deaths, verdict)
    _budget(records, rules, setups, verdict)
    _service(records, rules, verdict)
    verdict.findings.sort(key=lambda x: x.at)
    return verdict


def _deaths(records: Records) -> dict[str, float]:
    """When each run of a gateway was killed or told to stop; its key is NAME.EPOCH, as in set-ups."""
    found: dict[str, float] = {}
    running: dict[int, str] = {}
    for event in records.of(records.stage, "gateway_up", "gateway_down", "gateway_stop"):
        if event["ev"] == "gateway_up":
            running[event["gateway"]] = f"g{event['gateway']}.{event['run']}"
        elif event["gateway"] in running:
            found[running[event["gateway"]]] = event["t"]
    return found


def _setups(records: Records) -> list[_Setup]:
    found: dict[tuple[str, int], _Setup] = {}
    host_ends: dict[int, list[float]] = defaultdict(list)
    for event in records.of(records.stage, "host_killed"):
        host_ends[event["host"]].append(event["t"])
    for event in records.hosts:
        if event["ev"] == "fallen" or (event["ev"] == "fault" and event["kind"] in ("hang", "crash")):
            host_ends[event["host"]].append(event["t"])
    for event in records.hosts:
        if event["ev"] == "asked":
            found[event["setup"], event["host"]] = _Setup(event["setup"], event)
        elif event["ev"] in ("setup", "end"):
            setup = found.get((event["setup"], event["host"]))
            if setup is not None and event["ev"] == "setup":
                setup.done = event
            elif setup is not None:
                setup.ended = event["t"]
    for setup in found.values():
        ends = sorted(host_ends[setup.asked["host"]])
        after = bisect.bisect(ends, setup.asked["t"])
        if after < len(ends):
            setup.ended = min(ends[after], setup.ended or ends[after])
    return sorted(found.values(), key=lambda x: float(x.asked["t"]))


def _answered(records: Records, rules: Rules, deaths: Mapping[str, float], verdict: Verdict) -> None:
    """Rule 1: what a running gateway took gets exactly one answer before the viewer gives up."""
    downs: dict[str, list[list[float]]] = defaultdict(list)
    for event in records.of(records.stage, "gateway_down", "gateway_gone"):
        if event["ev"] == "gateway_down":  # the kill is sent; it is over when the process has been reaped
            downs[event["address"]].append([event["t"], event["t"]])
        else:
            downs[event["address"]][-1][1] = event["t"]
    still = _still(records)
    ends: dict[int, list[Event]] = defaultdict(list)
    for event in records.of(records.players, "answer", "broken"):
        ends[event["request"]].append(event)
    last = records.players[-1]["t"] if records.players else 0.0
    for request in records.of(records.players, "request"):
        verdict.requests += 1
        patience, at = request["patience"], request["t"]
        told = [x for x in ends[request["request"]] if x["ev"] == "answer"]
        broken = [x for x in ends[request["request"]] if x["ev"] == "broken"]
        killed = any(
            at - WAY <= gone and sent <= at + patience + WAY for sent, gone in downs[request["gateway"]]
        )
        what = f"request {request['request']} of {request['viewer']} to {request['gateway']}"
        until = at + max((x["took"] for x in (*told, *broken)), default=patience)
        stood = sum(max(0.0, min(until, b) - max(at, a)) for a, b in still[request["gateway"]])
        if len(told) > 1:
            verdict.doubled += 1
            verdict.findings.append(Finding("lost", at, f"{what}: {len(told)} answers"))
        if told:
            status = told[0]["status"]
            kind = "plays" if status == 200 else "refused" if status == 503 else "failed"
            verdict.answers[kind] += 1
            if told[0]["took"] - stood > patience:
                verdict.findings.append(
                    Finding("lost", at, f"{what}: answered after {told[0]['took']:.2f} s of {patience}")
                )
        elif broken and (
            broken[0]["phase"] in ("CONNECT", "UNSENT") or killed or until - stood <= at + patience
        ):
            verdict.not_taken += 1
        elif broken or at + patience < last:
            verdict.unanswered += 1
            cause = f"broke: {broken[0]['phase']} {broken[0]['trouble']}" if broken else "nothing came"
            verdict.findings.append(Finding("lost", at, f"{what}: {cause}"))
        else:
            verdict.not_taken += 1  # the players were stopped before its time was up


def _still(records: Records) -> dict[str, list[tuple[float, float]]]:
    """When the process of each gateway, by its address, stood still: what it does not run it can't answer."""
    addresses = {x["gateway"]: x["address"] for x in records.of(records.stage, "gateway_up")}
    found: dict[str, list[tuple[float, float]]] = defaultdict(list)
    since: dict[int, float] = {}
    for event in records.of(records.stage, "gateway_frozen", "gateway_thawed"):
        if event["ev"] == "gateway_frozen":
            since[event["gateway"]] = event["t"]
        elif event["gateway"] in since:
            found[addresses[event["gateway"]]].append((since.pop(event["gateway"]), event["t"] + WAY))
    for number, at in since.items():
        found[addresses[number]].append((at, float("inf")))
    return found


def _twice(
    records: Records, rules: Rules, setups: list[_Setup], deaths: Mapping[str, float], verdict: Verdict
) -> None:
    """Rule 2: no paid set-up twice, none refused that ran, never two attempts out at once."""
    lives = HostLives(records)
    plays: dict[tuple[str, str, str], list[float]] = defaultdict(list)
    for event in records.of(records.players, "answer"):
        if event["status"] == 200:
            plays[event["viewer"], event["cls"], event["title"]].append(event["t"])
    by_viewer: dict[tuple[str, str, str], list[_Setup]] = defaultdict(list)
    for setup in setups:
        by_viewer[setup.who].append(setup)
    for who, group in by_viewer.items():
        terms = rules.classes[who[1]]
        ran = [x for x in group if x.ran]
        for one, two in itertools.pairwise(ran):
            if not terms.paid:
                break
            first, second = one.done, two.asked["t"]
            assert first is not None, "it ran"
            died = not rules.over_deaths and deaths.get(run_of(one.key), float("inf")) <= second
            played = any(first["t"] - WAY <= t <= second for t in plays[who])
            over = one.ended is not None and one.ended <= second + END
            if not died and not (played and over):
                what = f"{who}: {one.key} at host {one.asked['host']}, then {two.key} at {two.asked['host']}"
                verdict.findings.append(Finding("twice", second, what))
        for one, two in itertools.pairwise(group):
            if run_of(one.key) != run_of(two.key):
                continue
            given_up = one.came + one.asked["within"]
            answered = one.done["t"] if one.done is not None else float("inf")
            still_out = two.asked["t"] < min(given_up, answered) - WAY
            if still_out and not _host_ended_between(one, two, lives):
                what = f"{who}: {one.key} and {two.key} out at once"
                verdict.findings.append(Finding("twice", two.asked["t"], what))
    _refused_though_ran(records, rules, by_viewer, verdict)


def _host_ended_between(one: _Setup, two: _Setup, lives: HostLives) -> bool:
    """Whether the process that had the first attempt ended before the second was noted, and so may have ended
    before that was sent.

    There is no slack: the gateway can only have seen the end before it sent the second attempt. Where the
    second reached its host before the first had, the end of its own host proves nothing of the other.
    """
    ended = lives.end_after(one.asked)
    return ended is not None and ended < two.asked["t"] and _order(one.key) < _order(two.key)


def _refused_though_ran(
    records: Records, rules: Rules, by_viewer: Mapping[tuple[str, str, str], list[_Setup]], verdict: Verdict
) -> None:
    asked = {x["request"]: x for x in records.of(records.players, "request")}
    for answer in records.of(records.players, "answer"):
        if answer["status"] != 503 or not rules.classes[answer["cls"]].paid:
            continue
        began = asked[answer["request"]]["t"]
        for setup in by_viewer.get((answer["viewer"], answer["cls"], answer["title"]), ()):
            if setup.ran and began <= setup.asked["t"] <= answer["t"]:
                what = f"request {answer['request']} refused though {setup.key} ran"
                verdict.findings.append(Finding("twice", answer["t"], what))


def _drained(records: Records, rules: Rules, setups: list[_Setup], verdict: Verdict) -> None:
    """Rule 3: nothing new to a host later than the grace after the gateway was told."""
    told: dict[tuple[str, int], list[tuple[float, bool]]] = defaultdict(list)
    listed: dict[str, set[int]] = defaultdict(set)
    for event in records.of(records.registry, "told"):
        states = {int(k): v for k, v in event["states"].items()}
        run = event["client"]
        for host in listed[run] | states.keys():
            told[run, host].append((event["t"], states.get(host, "gone") == "ready"))
        listed[run] |= states.keys()
    for setup in setups:
        words = told.get((run_of(setup.key), setup.asked["host"]), [])
        before = [(t, ready) for t, ready in words if t <= setup.asked["t"]]
        since = None
        for t, ready in before:
            since = None if ready else (since if since is not None else t)
        if since is not None and setup.came > since + rules.grace + WAY:
            late = setup.came - since
            what = f"{setup.key} at host {setup.asked['host']}, {late:.2f} s after word of its drain"
            verdict.findings.append(Finding("drain", setup.asked["t"], what))


def _terms(
    records: Records, rules: Rules, setups: list[_Setup], deaths: Mapping[str, float], verdict: Verdict
) -> None:
    """Rule 5: floors, the viewer's top, and seats."""
    tops: dict[str, int] = {}
    for event in records.of(records.players, "request"):
        tops[event["viewer"]] = event["top"]
    for event in records.of(records.hosts, "setup", "rung", "segment"):
        if event["ev"] == "setup" and not event["ran"]:
            continue
        floor, top = rules.classes[event["cls"]].floor, tops.get(event["viewer"], 1 << 30)
        if not floor <= event["rung"] <= max(top, floor):
            what = f"{event['ev']} of {event['setup']}: rung {event['rung']}, floor {floor}, top {top}"
            verdict.findings.append(Finding("terms", event["t"], what))
    changes: dict[tuple[str, str, str], list[tuple[float, int, str]]] = defaultdict(list)
    for setup in setups:
        seats = rules.classes[setup.asked["cls"]].seats
        if not seats:
            continue
        ends = [deaths.get(run_of(setup.key), float("inf"))]
        if setup.ended is not None:
            ends.append(setup.ended - END)
        if setup.done is None or not setup.ran:
            ends.append(setup.asked["t"] + setup.asked["within"] - WAY)
        if setup.done is not None and not setup.ran:
            ends.append(setup.done["t"])
        end = max(setup.asked["t"], min(ends))
        key = (run_of(setup.key), setup.asked["cls"], setup.asked["title"])
        changes[key] += [(setup.asked["t"], 1, setup.key), (end, -1, setup.key)]
    for (run, cls, title), moves in changes.items():
        held = 0
        for at, change, setup_key in sorted(moves, key=lambda x: (x[0], x[1])):
            held += change
            if held > rules.classes[cls].seats:
                what = f"{run}: {held} of {title} in {cls} at {setup_key}, seats {rules.classes[cls].seats}"
                verdict.findings.append(Finding("terms", at, what))


def _budget(records: Records, rules: Rules, setups: list[_Setup], verdict: Verdict) -> None:
    """Rule 6: further attempts within the budget in any window, over all runs of a gateway's name.

    An attempt that found no connection left no record at its host, but the numbers of later ones tell of it:
    a session's attempt n that was seen means that n further ones were sent by then.
    """
    if rules.budget_window <= 0:
        return
    runs = {}
    for event in records.of(records.stage, "gateway_up"):
        runs[f"g{event['gateway']}.{event['run']}"] = (event["address"], event["t"])
    addresses = {run.rsplit(".", 1)[0]: address for run, (address, _) in runs.items()}
    taken = _taken(records, setups, runs)
    further: dict[str, list[float]] = defaultdict(list)
    seen: dict[str, int] = {}
    for setup in setups:
        attempt, session = _attempt(setup.key), _session(setup.key)
        news = attempt - max(0, seen.get(session, 0))
        seen[session] = max(seen.get(session, 0), attempt)
        further[_name(setup.key)] += [setup.asked["t"]] * max(0, news)
    for name, times in further.items():
        came = taken.get(addresses.get(name, ""), [])
        for index, at in enumerate(times):
            start = at - rules.budget_window
            count = index + 1 - bisect.bisect_left(times, start + WAY)
            room = bisect.bisect_right(came, at) - bisect.bisect_left(came, start - WAY)
            if count > rules.budget_free + rules.budget_share * room:
                what = f"{name}: {count} further attempts with {room} sessions taken"
                verdict.findings.append(Finding("budget", at, what))


def _taken(
    records: Records, setups: list[_Setup], runs: Mapping[str, tuple[str, float]]
) -> dict[str, list[float]]:
    """When each gateway, by its address, took a session: asked for by its player, or by a segment.

    A segment does so where its host was lost or drains; that shows in a first set-up that no open request of
    the viewer explains.
    """
    taken: dict[str, list[float]] = defaultdict(list)
    asking: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
    ends = {x["request"]: x["t"] for x in records.of(records.players, "answer", "broken")}
    never_came = {
        x["request"] for x in records.of(records.players, "broken") if x["phase"] in ("CONNECT", "UNSENT")
    }
    for event in records.of(records.players, "request"):
        until = ends.get(event["request"], event["t"] + event["patience"])
        asking[event["gateway"], event["viewer"]].append((event["t"], until))
        if "repeats" not in event and event["request"] not in never_came:
            taken[event["gateway"]].append(event["t"])
    for event in records.of(records.players, "break"):
        if REFUSED_SEGMENT.match(event["cause"]):
            taken[event["gateway"]].append(event["t"])
    for setup in setups:
        address = runs.get(run_of(setup.key), ("", 0.0))[0]
        at = setup.asked["t"]
        open_now = any(a <= at <= b + WAY for a, b in asking[address, setup.asked["viewer"]])
        if _attempt(setup.key) == 0 and not open_now:
            taken[address].append(at)
    return {address: sorted(times) for address, times in taken.items()}


def _service(records: Records, rules: Rules, verdict: Verdict) -> None:
    """Worth watched over worth asked: a viewer's tries count together, at the rung that its terms allow."""
    wanted: dict[str, float] = {}
    for event in records.of(records.players, "request"):
        if "repeats" not in event and event["viewer"] not in wanted:
            best = rules.ladder_worth[min(event["top"], len(rules.ladder_worth) - 1)]
            wanted[event["viewer"]] = rules.classes[event["cls"]].worth * event["watch"] * best
    got = 0.0
    for event in records.of(records.players, "segment"):
        rate = min(1.0, 1.0 / max(event["took"], 1e-3))
        got += rules.classes[event["cls"]].worth * rules.ladder_worth[event["rung"]] * rate
    verdict.stalls = len(records.of(records.players, "break"))
    total = sum(wanted.values())
    verdict.service = min(1.0, got / total) if total else 0.0

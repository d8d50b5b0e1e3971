"""Plays a day on a stage and has the referee judge it from the records."""

from __future__ import annotations

import functools
import heapq
import itertools
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..referee import duties, editions, lanes
from ..referee.judge import RULES, ClassTerms, Rules, Verdict, judge
from ..referee.records import Records, load
from ..standins.player import ClassSpec, PlayersSpec
from . import troubles
from .scenarios import Day, Trouble
from .stage import PROGRAM, Layout, Stage


def rules_of(layout: Layout) -> Rules:
    """The terms of a stage as the referee needs them."""
    window, free, share = layout.budget
    return Rules(
        classes={
            x["name"]: ClassTerms(
                x["patience"], x.get("worth", 1.0), x.get("floor", 0), x.get("seats", 0),
                x["effect"] != "safe",
            ) for x in layout.classes
        },
        grace=layout.grace, ladder_worth=layout.worth, budget_window=window, budget_free=free,
        budget_share=share, over_deaths=layout.peers and layout.witnesses > 0,
    )  # fmt: skip


def players_of(day: Day, stage: Stage) -> PlayersSpec:
    """The crowd of a day."""
    layout = day.layout
    return PlayersSpec(
        gateways=tuple(x.address for x in stage.gateways.values()),
        classes=tuple(
            ClassSpec(name=x["name"], patience=x["patience"], share=share, paid=x["effect"] != "safe")
            for x, share in zip(layout.classes, layout.class_share, strict=True)
        ),
        titles=layout.title_names, top=len(layout.ladder) - 1, rate=day.rate, watch=day.watch,
        accounts=layout.accounts, surges=day.surges, seconds=day.seconds,
        record=str(stage.folder / "players.jsonl"), seed=stage.seed,
    )  # fmt: skip


TAKES_DOWN = frozenset({"crash", "drain", "vanish", "gateway_kill", "gateway_freeze"})


@dataclass(slots=True)
class _Acts:
    """Carries troubles out, and what ends them."""

    stage: Stage
    later: Callable[[float, Callable[[], None]], None]
    """Do something so many seconds from now."""
    down: set[tuple[str, int]] = field(default_factory=set)
    """Hosts and gateways that an earlier trouble has not given back yet."""
    skipped: list[str] = field(default_factory=list)
    duties: troubles.DutyActs = field(init=False)

    def __post_init__(self) -> None:
        self.duties = troubles.DutyActs(self.stage, self.later, self.down, self.skipped)

    def carry(self, trouble: Trouble) -> None:
        """Let a trouble happen; what is down already can't be troubled further, which is noted."""
        if trouble.kind in troubles.KINDS:
            self.duties.carry(trouble)
            return
        if trouble.kind in ("power", "power_half", "restart_half"):
            self._power(trouble)
            return
        if trouble.kind.startswith("links"):
            self._links(trouble)
            return
        part = ("gateway" if trouble.kind.startswith("gateway") else "host", trouble.target)
        if trouble.kind not in ("registry_outage", "late_list"):
            if part in self.down:
                self.skipped.append(
                    f"{trouble.kind} of {part[0]} {part[1]} at {trouble.at:.1f} s: it was down"
                )
                return
            if trouble.kind in TAKES_DOWN:
                self.down.add(part)
                self.later(trouble.seconds, lambda: self.down.discard(part))
        self._carry(trouble)

    def _carry(self, trouble: Trouble) -> None:
        stage, target, seconds = self.stage, trouble.target, trouble.seconds
        stage.record.write("trouble", kind=trouble.kind, target=target, seconds=seconds, value=trouble.value)
        assert stage.registry is not None, "started before"
        if trouble.kind == "crash":
            stage.crash_host(target)
            self.later(seconds, lambda: stage.restart_host(target))
        elif trouble.kind == "drain":
            stage.drain_host(target)
            self.later(seconds / 2, lambda: self._drained(target))
            self.later(seconds, lambda: stage.restart_host(target))
        elif trouble.kind == "vanish":
            stage.fault(stage.hosts[target].address, "hang", seconds)
            self.later(seconds / 2, lambda: stage.crash_host(target))
            self.later(seconds, lambda: stage.restart_host(target))
        elif trouble.kind == "gateway_kill":
            stage.kill_gateway(target)
            self.later(seconds, lambda: stage.restart_gateway(target))
        elif trouble.kind == "gateway_freeze":
            stage.freeze_gateway(target, True)
            self.later(seconds, lambda: stage.freeze_gateway(target, False))
        elif trouble.kind == "registry_outage":
            stage.fault(stage.registry.address, "outage", seconds)
        elif trouble.kind == "late_list":
            stage.fault(stage.registry.address, "late", value=trouble.value)
            normal = stage.layout.late_list
            self.later(seconds, lambda: self._registry_late(normal))
        else:
            stage.fault(stage.hosts[target].address, trouble.kind, seconds, trouble.value)

    def _power(self, trouble: Trouble) -> None:
        """Everything, or a half drawn by the seed, ends at one instant and comes back together;
        `restart_half` has only gateways end, and loses nothing that the kernel has."""
        stage, everything = self.stage, trouble.kind == "power"
        draw = random.Random(f"{stage.seed} {trouble.at}")
        gateways = [x for x in stage.gateways if ("gateway", x) not in self.down]
        hosts = [x for x in stage.hosts if ("host", x) not in self.down]
        if not everything:
            gateways = draw.sample(gateways, (len(gateways) + 1) // 2)
            hosts = [] if trouble.kind == "restart_half" else draw.sample(hosts, (len(hosts) + 1) // 2)
        parts = {*(("gateway", x) for x in gateways), *(("host", x) for x in hosts)}
        self.down.update(parts)
        stage.record.write(
            "trouble", kind=trouble.kind, gateways=gateways, hosts=hosts, seconds=trouble.seconds
        )
        if trouble.kind == "restart_half":
            for number in gateways:
                stage.kill_gateway(number)
        else:
            stage.power_loss(gateways, hosts, registry=everything)

        def back() -> None:
            self.down.difference_update(parts)
            stage.power_back(gateways, hosts, registry=everything)

        self.later(trouble.seconds, back)

    def _links(self, trouble: Trouble) -> None:
        """Faults on the links between gateways: `links` loses, doubles and delays, `links_deaf` has one
        gateway hear nobody, `links_part` parts the fleet in two halves."""
        links = self.stage.links
        if links is None:
            self.skipped.append(f"{trouble.kind} at {trouble.at:.1f} s: the gateways do not speak")
            return
        self.stage.record.write("trouble", kind=trouble.kind, target=trouble.target, value=trouble.value)
        names = list(links.members)
        if trouble.kind == "links":
            links.command(lost=trouble.value, doubled=trouble.value, late=2.0 * trouble.value)
        elif trouble.kind == "links_deaf":
            links.command(cut={(x, names[trouble.target]) for x in names})
        else:
            links.part(names[::2], names[1::2])
        self.later(trouble.seconds, links.heal)

    def _registry_late(self, late: float) -> None:
        assert self.stage.registry is not None, "started before"
        self.stage.fault(self.stage.registry.address, "late", value=late)

    def _drained(self, host: int) -> None:
        """A drained host goes away with what still plays on it, as its deployment would have it."""
        self.stage.record.write("host_killed", host=host)
        self.stage.hosts[host].kill()


def play(
    day: Day,
    folder: Path,
    seed: int,
    watch: Callable[[Stage], None] | None = None,
    program: tuple[str, ...] = PROGRAM,
) -> Verdict:
    """Play a day in a folder, which keeps all records and logs; judged when all has ended. `watch` looks on
    from a thread of its own.

    Raises StageError where a process does not come up.
    """
    stage = Stage(day.layout, folder, seed, day.conditions, counted=day.layout.peers, program=program)
    order = itertools.count()
    heap: list[tuple[float, int, Callable[[], None]]] = []

    def later(seconds: float, act: Callable[[], None]) -> None:
        heapq.heappush(heap, (time.monotonic() + seconds, next(order), act))

    acts = _Acts(stage, later)
    try:
        stage.start()
        if watch is not None:
            threading.Thread(target=watch, args=(stage,), name="watch", daemon=True).start()
        players = stage.players(players_of(day, stage))
        began = time.monotonic()
        for trouble in day.troubles:
            act: Callable[[], None] = functools.partial(acts.carry, trouble)
            heapq.heappush(heap, (began + trouble.at, next(order), act))
        end = began + day.seconds
        while heap and (heap[0][0] < end or stage.frozen):
            at, _, act = heapq.heappop(heap)
            time.sleep(max(0.0, at - time.monotonic()))
            act()
        players.child.wait(timeout=max(0.0, end - time.monotonic()) + 60.0)
    finally:
        codes = stage.stop()
    for name, code in codes.items():
        stage.record.write("gateway_code", gateway=name, code=code)
    records = load(folder)
    verdict = judge(records, rules_of(day.layout))
    verdict.remarks += acts.skipped
    if day.layout.voters:
        _judge_duties(records, verdict)
    if day.layout.regions:
        _judge_editions(day.layout, records, verdict)
    if day.layout.priorities:
        _judge_lanes(day.layout, records, verdict)
    return verdict


def _judge_duties(records: Records, verdict: Verdict) -> None:
    """What is judged beside the rules where gateways have duties."""
    found = duties.judge(records)
    verdict.findings += [*found.stale, *found.backwards]
    verdict.findings.sort(key=lambda x: x.at)
    twins = {f"g{x['gateway']}" for x in records.of(records.stage, "twin_up")}
    aside = {x["gateway"] for x in records.of(records.gateways, "superseded")} - twins
    before = [x for x in records.of(records.stage, "trouble") if x["t"] <= found.when]
    verdict.figures |= {
        "stale": len(found.stale), "backwards": len(found.backwards),
        "longest_without_s": round(found.longest_without, 2),
        "without_after": before[-1]["kind"] if before else "", "terms": found.terms,
        "orders": found.orders, "aside": len(aside),
    }  # fmt: skip


def _judge_editions(layout: Layout, records: Records, verdict: Verdict) -> None:
    """Which rules sessions were decided under."""
    found = editions.judge(records, {x: layout.region_of(x) for x in range(layout.hosts)})
    verdict.findings += [*found.unadmitted, *found.conflicting, *found.astray]
    verdict.findings.sort(key=lambda x: x.at)
    verdict.figures |= {
        "unadmitted": len(found.unadmitted), "conflicting": len(found.conflicting),
        "astray": len(found.astray),
        "decisions": found.decisions, "admitted": found.admitted, "refused": found.refused,
    }  # fmt: skip


def _judge_lanes(layout: Layout, records: Records, verdict: Verdict) -> None:
    """Who was served and turned away, by lane; figures to weigh, no rule."""
    regions = {x["address"]: layout.region_of(x["gateway"]) for x in records.of(records.stage, "gateway_up")}
    found = lanes.judge(
        records, layout.priorities, layout.worth, {x["name"]: x.get("worth", 1.0) for x in layout.classes},
        regions,
    )  # fmt: skip
    verdict.figures |= {
        "lanes": {x: y.figures() for x, y in found.lanes.items()}, "inversions": round(found.inversions, 4)
    }  # fmt: skip


def summary(day: Day, verdict: Verdict) -> dict[str, Any]:
    """The last line of `otterglade day --json`."""
    return {
        "scenario": day.name, "requests": verdict.requests, "answers": verdict.answers,
        "unanswered": verdict.unanswered, "doubled": verdict.doubled, "broken": verdict.broken(),
        "service": round(verdict.service, 4), "not_taken": verdict.not_taken, "setups": verdict.setups,
        "further": verdict.further, "breaks": verdict.stalls, "seconds": day.seconds, **verdict.figures,
    }  # fmt: skip


def table(day: Day, verdict: Verdict) -> str:
    """The verdict for people."""
    told = verdict.answers
    lines = [
        f"day {day.name}, {day.seconds:g} s, {day.layout.hosts} hosts, {day.layout.gateways} gateways,"
        f" {len(day.troubles)} troubles",
        f"  requests   {verdict.requests:6d}   plays {told['plays']}, refused {told['refused']},"
        f" failed {told['failed']}, not taken {verdict.not_taken}, unanswered {verdict.unanswered}",
        f"  set-ups    {verdict.setups:6d}   paid and run {verdict.paid_setups},"
        f" further attempts {verdict.further}, sessions broken in the middle {verdict.stalls}",
        f"  service    {verdict.service:6.3f}",
    ]
    lines += [f"  {name:10s} {figure}" for name, figure in verdict.figures.items()]
    lines += [f"  rule {rule:7s} {count or 'kept'}" for rule, count in verdict.broken().items()]
    lines += [f"  broken: {x.rule}: {x.what}" for x in verdict.findings[:20]]
    lines += [f"  not mapped: {x}" for x in day.unmapped]
    lines += [f"  not carried out: {x}" for x in verdict.remarks]
    if not verdict.findings:
        lines.append(f"no rule broken: {', '.join(RULES)}")
    return "\n".join(lines)

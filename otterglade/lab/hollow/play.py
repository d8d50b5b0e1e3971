"""Plays a hollow fleet from its start to its verdict."""

from __future__ import annotations

import shutil
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ...core.distribution.revision import GENESIS
from .changes import initial_changes, timed_changes
from .fault_player import FaultPlayer
from .faults import Fault, draw_faults
from .fleet import Fleet, FleetError, Say
from .gateways import SubscriberPath
from .judge import Evidence, SentChange, Verdict, judge
from .layout import Layout
from .processes import ProcessError
from .proposer import Proposer
from .result import Figures, Result, rates, result_of
from .usage import UsageWatch


@dataclass(slots=True)
class Timeline:
    """Monotonic times of a run."""

    changes_began: float = 0.0
    changes_ended: float = 0.0
    ended: float = 0.0


def play(layout: Layout, say: Say, subscriber: SubscriberPath | None = None) -> Result:
    """Play a fleet and judge it. Raises LayoutError, FleetError, ProcessError, OSError.

    `subscriber`: another class than the shipped one, for tests of the judge. The records stay where something
    was found or the play broke off.
    """
    faults = draw_faults(layout)
    folder = Path(tempfile.mkdtemp(prefix=f"otterglade-hollow-{layout.gateways}-"))
    fleet = Fleet(layout, folder, subscriber or SubscriberPath(), say)
    try:
        result = _play(fleet, faults)
    except (FleetError, ProcessError, OSError) as error:
        raise FleetError(f"{error}; records: {folder}") from error
    finally:
        fleet.stop_observers()
        fleet.children.end_all()
    if result.sound:
        shutil.rmtree(folder)
    return result


def _play(fleet: Fleet, faults: Sequence[Fault]) -> Result:
    layout = fleet.layout
    fleet.say(f"starting {layout.relays} control machines")
    fleet.start_control()
    fleet.start_observers()
    proposer = Proposer(fleet.machines, fleet.envelope, layout.seed, fleet.failed)
    first = proposer.propose_now(initial_changes())
    if first is None:
        raise FleetError(f"no control machine accepted the first configuration: {proposer.last_reason}")
    fleet.say(f"first configuration accepted as {first}; starting {layout.gateways} gateways")
    fleet.start_gateways()
    usage = UsageWatch(fleet.subjects, time.monotonic, fleet.failed)
    usage.start()
    times = Timeline(changes_began=time.monotonic())
    fleet.say(f"all gateways act on a revision; changes for {layout.seconds:g} s")
    changes = _run_changes(fleet, proposer, faults, times)
    usage.stop()
    processes = len(fleet.subjects())
    summaries = fleet.end_gateways()
    fleet.failures += [x for summary in summaries for x in summary.failures]
    lost = sum(x.lost for x in summaries)
    if lost:
        raise FleetError(f"{lost} records did not fit into memory: the run proves nothing")
    if fleet.failures:
        raise FleetError(f"threads have failed: {'; '.join(fleet.failures[:5])}")
    verdict = _verdict(fleet, changes)
    shares = usage.shares()
    sizes = {f"gateways-{number}": len(group) for number, group in enumerate(layout.groups())}
    figures = Figures(
        processes=processes,
        rates=rates(fleet.traffic(), times.changes_began, times.ended),
        gateway_shares=[shares[name] / size for name, size in sizes.items() if name in shares],
        relay_shares={name: shares[name] for name in fleet.machines.names if name in shares},
        writers=frozenset({proposer.writer}),
        memory_mb=usage.most_memory,
        retries=proposer.retries,
        faults=tuple(fleet.played_faults),
        missed_faults=tuple(fleet.missed_faults),
    )
    return result_of(layout, verdict, figures, None if verdict.sound else str(fleet.folder))


def _run_changes(
    fleet: Fleet, proposer: Proposer, faults: Sequence[Fault], times: Timeline
) -> list[SentChange]:
    """Propose all changes, with the faults beside them, and wait until the last one is in force."""
    layout = fleet.layout
    player = FaultPlayer(fleet, lambda: proposer.writer)
    player.start(faults, times.changes_began)
    proposer.start(timed_changes(layout.seed, layout.changes_per_day, layout.seconds), times.changes_began)
    time.sleep(layout.seconds)
    player.ended.wait()
    times.changes_ended = time.monotonic()
    changes = proposer.wait()
    latest = max((x.revision for x in changes if x.revision is not None), default=GENESIS)
    fleet.wait_in_force(latest, times.changes_ended + layout.drain_seconds)
    times.ended = time.monotonic()
    return changes


def _verdict(fleet: Fleet, changes: Sequence[SentChange]) -> Verdict:
    """Judge what was recorded."""
    evidence = Evidence(
        changes=changes,
        gateway_zones={x.number: x.zone.name for x in fleet.layout.all_gateways()},
        applied=fleet.applied(),
        accepted=fleet.accepted.roots(),
        outages=fleet.outages,
    )
    (fleet.folder / "changes.json").write_bytes(msgspec.json.encode(changes))
    (fleet.folder / "outages.json").write_bytes(msgspec.json.encode(fleet.outages))
    verdict = judge(evidence)
    for contradiction in fleet.accepted.contradictions:
        verdict.stale += 1
        verdict.tell(f"stale: voters give different contents of {contradiction}")
    return verdict

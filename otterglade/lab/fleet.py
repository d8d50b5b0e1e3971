"""Many gateways at once: what each costs in memory and CPU, what cold hosts bear, how service comes back."""

from __future__ import annotations

import os
import shutil
import tempfile
import threading
import time
from collections import defaultdict
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from ..referee.records import Records, load
from . import day as days
from .scenarios import Day, Trouble
from .stage import Layout, Stage

PAGE = os.sysconf("SC_PAGE_SIZE")
TICKS = os.sysconf("SC_CLK_TCK")


def cost(pid: int) -> tuple[float, float]:
    """A process's memory in MB and its CPU seconds so far. Raises OSError where it has ended."""
    resident = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE / 1e6
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return resident, (int(fields[11]) + int(fields[12])) / TICKS


def layout_of(count: int, hosts: int) -> Layout:
    """Hosts enough for the crowd, gateways that speak where there are three and more."""
    return Layout(gateways=count, hosts=hosts, titles=hosts, peers=count >= 3, late_list=0.3)


def play(
    count: int, hosts: int, seconds: float, rate: float, seed: int, *, restart_half: bool, power: bool
) -> dict[str, Any]:  # fmt: skip
    """Play it and say what it cost. Raises StageError; the records of a finding are kept and named."""
    troubles: tuple[Trouble, ...] = ()
    if restart_half or power:
        troubles = (Trouble(seconds * 0.5, "power" if power else "restart_half", 0, 1.0),)
    plan = Day("fleet", layout_of(count, hosts), seconds, rate, (2.0, 8.0), troubles)
    folder = Path(tempfile.mkdtemp(prefix=f"otterglade-fleet-{count}-"))
    costs: dict[str, list[tuple[float, float, float]]] = defaultdict(list)
    ended = threading.Event()

    def watch(stage: Stage) -> None:
        while not ended.wait(0.5):
            now = time.monotonic()
            for process in list(stage.gateways.values()):
                try:
                    memory, used = cost(process.child.pid)
                    if memory:  # none: it has ended, and nobody has waited for it yet
                        costs[process.name].append((now, memory, used))
                except (OSError, IndexError):
                    continue  # it has ended since

    verdict = days.play(plan, folder, seed, watch=watch)
    ended.set()
    records = load(folder)
    last = {x: y[-1] for x, y in costs.items() if len(y) > 3}
    cpu = sorted((y[-1][2] - y[0][2]) / (y[-1][0] - y[0][0]) for x, y in costs.items() if len(y) > 3)
    memory = sorted(x[1] for x in last.values())
    said: dict[str, Any] = {
        "gateways": count, "hosts": hosts, "seconds": seconds, "requests": verdict.requests,
        "service": round(verdict.service, 3), "broken": verdict.broken(), "not_taken": verdict.not_taken,
        "memory_mb": [round(memory[len(memory) // 2], 1), round(memory[-1], 1)] if memory else None,
        "cpu_share": [round(cpu[len(cpu) // 2], 4), round(cpu[-1], 4)] if cpu else None,
        "back": back(records, [x.kind for x in troubles]), "cold": cold(records),
    }  # fmt: skip
    if verdict.findings:
        said["records"] = str(folder)
        said["findings"] = [f"{x.rule}: {x.what}" for x in verdict.findings[:10]]
    else:
        shutil.rmtree(folder)
    return said


def back(records: Records, kinds: list[str]) -> dict[str, float] | None:
    """Seconds after the trouble until a second's answers that play reach 50, 90, 99% of those in the five
    seconds before it; the worst that could be: never, which is left out."""
    hits = [x["t"] for x in records.of(records.stage, "trouble") if x.get("kind") in kinds]
    if not hits:
        return None
    at = float(hits[0])
    plays = [float(x["t"]) for x in records.of(records.players, "answer") if x["status"] == 200]
    before = sum(at - 5.0 <= x < at for x in plays) / 5.0
    found: dict[str, float] = {}
    for share in (0.5, 0.9, 0.99):
        after = at + 0.25
        while after < at + 60.0:
            if before and sum(after <= x < after + 2.0 for x in plays) / 2.0 >= share * before:
                found[f"{share:.0%}"] = round(after - at, 2)
                break
            after += 0.25
    return found


def cold(records: Records) -> dict[str, int]:
    """Set-ups that hosts took within a second while they were cold, most in one; and hosts that fell over."""
    per: dict[tuple[int, int], int] = defaultdict(int)
    started = {int(x["host"]): float(x["t"]) for x in records.of(records.stage, "host_killed")}
    for event in records.of(records.hosts, "asked"):
        host = int(event["host"])
        if host in started and 0.0 <= float(event["t"]) - started[host] <= 12.0:
            per[host, int(float(event["t"]))] += 1
    return {"most_a_second": max(per.values(), default=0), "fallen": len(records.of(records.hosts, "fallen"))}


# For people


def view(said: Mapping[str, Any]) -> str:
    """A gateway's view of its peers, a line each."""
    fleet = said["fleet"]
    lines = [
        f"{said['gateway']}: boot {fleet['boot']}, {fleet['phase']} for {fleet['since_s']:.0f} s,"
        f" start: {fleet['start']}, doubts itself {fleet['health']} of 8",
        f"{'peer':12s} {'standing':9s} {'for':>8s} {'heard':>8s} {'boot':>5s}  phase, why",
    ]
    for name, peer in sorted(fleet["peers"].items()):
        heard = "never" if peer["heard_s"] is None else f"{peer['heard_s']:.1f} s"
        lines.append(
            f"{name:12s} {peer['standing']:9s} {peer['since_s']:6.0f} s {heard:>8s} {peer['boot']:5d}"
            f"  {peer['phase'] or '-'}, {peer['why']}"
        )
    if fleet["abstains"]:
        lines.append(f"witnesses nothing: {fleet['abstains']}")
    dropped = ", ".join(f"{x} {y}" for x, y in sorted(fleet["dropped"].items()))
    lines.append(f"changed nothing: {dropped or 'no message'}; flooded {fleet['flooded']}")
    return "\n".join(lines)


DOES = {
    "reading the store": "the disk is slow, or a log is large; its own log says which",
    "meeting peers": "ends by itself within two seconds, with or without them",
    "waiting for the list of hosts": "start the registry; a list on disk is used until then",
    "finding out open attempts": "start the hosts that do not answer; ends by itself within ten seconds",
    "serving viewers who had a session": "ends by itself within three seconds",
    "serving paid sessions": "ends by itself within three seconds",
    "standing aside: another process has this name": "end one of the two processes, or give one another name",
}
"""What a person can do in a phase that lasts."""


def _revision(distribution: Mapping[str, Any] | None) -> str:
    """The revision in force, and the one that was rejected; empty: the registry lists the hosts."""
    if distribution is None:
        return ""
    told = f"; revision {distribution['in_force']} in force"
    rejection = distribution["rejection"]
    return told + (f"; {rejection['revision']} rejected: {rejection['reason']}" if rejection else "")


def line(address: str, said: Mapping[str, Any]) -> tuple[str, bool]:
    """Where a gateway stands, and whether it is in service."""
    fleet = said.get("fleet")
    revision = _revision(said.get("distribution"))
    if fleet is None:
        told = f"{said['gateway']} at {address}: {said['phase']}, speaks to no other gateway{revision}"
        return told, said["phase"] == "taking"
    away = [x for x, y in fleet["peers"].items() if y["standing"] in ("dead", "unknown")]
    told = f"{said['gateway']} at {address}: {fleet['phase']} for {fleet['since_s']:.0f} s ({fleet['start']})"
    told += f"; does not hear {', '.join(sorted(away))}" if away else "; hears all"
    told += f"; abstains: {fleet['abstains']}" if fleet["abstains"] else ""
    told += revision
    todo = DOES.get(fleet["phase"])
    return told + (f"\n    {todo}" if todo else ""), todo is None

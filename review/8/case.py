"""Drains are kept while discovery is slow and six in ten media hosts are replaced within 7 s."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stage2 import BROKEN, HELD, SLACK, TROUBLE, CannotRunError, Host, Stage, run, settings

HOSTS, REPLACED, REPLACING_SECONDS = 36, 21, 7.0
SLOW_SECONDS = 2.0
"""From a query to its answer. DAYS.md lets no answer at all come for 3 s."""
GRACE = 0.25 + SLACK
TOLD_LATER = 1.5
"""DAYS.md: on days of trouble with the name service, what a good answer tells counts as told later."""
REQUESTS_PER_SECOND = 25.0


async def viewers(fronts: list, until: float) -> None:
    """Ask for sessions at an even pace."""
    count = 0
    while time.time() < until:
        tier = "sign-off" if count % 3 == 0 else "timelapse"
        fronts[count % len(fronts)].ask(tier, 3.0 if tier == "sign-off" else 5.0)
        count += 1
        await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)


async def replace_hosts(stage: Stage, old: list[Host]) -> dict[str, int]:
    """Replace the hosts one after the other; returns the number of the event by which each drains."""
    pause = REPLACING_SECONDS / (3 * len(old))
    drains = {}
    new = [await stage.host(f"new{n:02}", x.cell, listed=False) for n, x in enumerate(old)]
    for host, successor in zip(old, new, strict=True):
        host.state = "leaving"
        drains[host.name] = stage.names.publish(f"{host.name} leaving")
        await asyncio.sleep(pause)
        successor.started_ms = int(time.time() * 1000)
        stage.names.hosts[successor.name] = successor
        stage.names.publish(f"{successor.name} active")
        await asyncio.sleep(pause)
    for host in old:
        host.state = "left"
        stage.names.publish(f"{host.name} left")
        await asyncio.sleep(pause)
    return drains


async def play(stage: Stage) -> int:
    """One run."""
    hosts = [await stage.host(f"old{n:02}", n % 3, length=6.0) for n in range(HOSTS)]
    gateway = stage.gateway("n0", settings())
    await gateway.start()
    fronts = await gateway.connect(4)
    asking = asyncio.create_task(viewers(fronts, time.time() + 18.0))
    await asyncio.sleep(1.0)
    if TROUBLE:
        stage.names.delay = SLOW_SECONDS
        stage.record(f"name service: takes {SLOW_SECONDS} s for an answer")
    await asyncio.sleep(4.0)
    old = hosts[:REPLACED]
    drains = await replace_hosts(stage, old)
    await asking
    await asyncio.sleep(3.0)
    stage.names.delay = 0.0

    strict = late = 0
    told_before_left = 0
    for host in old:
        told = stage.names.told.get(drains[host.name])
        if told is None:
            continue
        told_before_left += 1
        for arrival in host.arrivals:
            strict += arrival.at > told + GRACE
            if arrival.at > told + TOLD_LATER + GRACE:
                late += 1
                stage.record(
                    f"BROKEN: {arrival.session} sent to {host.name} {arrival.at - told:.3f} s after the "
                    f"first answer with its drain (event {drains[host.name]}) was sent"
                )
    answered = sum(x.status == 200 for x in stage.requests.values())
    text = (
        f"{len(stage.requests)} set-ups, {answered} served; sent to draining hosts later than "
        f"{GRACE:.2f} s after the answer that told: {strict}; later than {GRACE + TOLD_LATER:.2f} s: {late}"
    )
    stage.record(text)
    print(text)
    if gateway.crashed() or not told_before_left or answered < 100:
        raise CannotRunError("the gateway did not serve")
    return BROKEN if late else HELD


run(__file__, play)

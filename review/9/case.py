"""Releases of viewers' sessions while bad clients send hundreds of requests at once."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stage2 import (
    BROKEN,
    HELD,
    SLACK,
    TROUBLE,
    CannotRunError,
    Front,
    Gateway,
    Link,
    Message,
    Request,
    Stage,
    answer_to,
    read_message,
    run,
    set_up,
    settings,
)

HOSTS, SOCKETS = 6, 256
REQUESTS_PER_SECOND, PLAYS_SECONDS, CALM_SECONDS, ASKING_SECONDS = 2.0, 6.0, 7.0, 14.0
BAD_CLIENTS, BAD_SECONDS = 250, 3.0
UNKNOWN = b"00000000000000ff"
"""A title that no media host knows: it answers 'error'."""
WITHIN = 8.0 + SLACK


class Strangers:
    """The bad clients: each has one connection and asks again as soon as it is turned away."""

    def __init__(self, stage: Stage, gateway: Gateway) -> None:
        self.stage, self.gateway = stage, gateway
        self.foreign: list[str] = []
        """Sessions of the usual viewers that a bad client was told about."""
        self.turned_away = 0

    async def one(self) -> None:
        """One bad client: reads all that it is sent, and keeps its connection."""
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*self.gateway.address)
            until, waits = time.time() + BAD_SECONDS, False
            while True:
                if not waits and time.time() < until:
                    writer.write(set_up(os.urandom(8).hex(), "timelapse", 5.0, title=UNKNOWN))
                    waits = True
                message = await read_message(reader)
                if message is None:
                    break
                if message.status:
                    self.turned_away += message.status != 200
                    waits = False
                elif message.session in self.stage.requests:
                    self.foreign.append(message.session)
                    self.stage.record(f"a bad client is sent {message.method} of {message.session}")
            writer.close()


async def refuse_unknown(link: Link, message: Message) -> bool:
    """Media hosts answer 'error' to what they can't use."""
    if not message.target.endswith(UNKNOWN.decode()):
        return False

    async def refuse() -> None:
        await asyncio.sleep(link.host.work)
        link.send(answer_to(message, 500))

    link.host.spawn(refuse())
    return True


async def viewers(stage: Stage, gateway: Gateway, fronts: list[Front]) -> list[Request]:
    """The usual viewers ask now and then, on a new connection where none is open."""
    requests = []
    until = time.time() + ASKING_SECONDS
    while time.time() < until:
        live = [x for x in fronts if not x.closed]
        if not live:
            live = [stage.front(f"n0/again{len(fronts)}")]
            await live[0].open(gateway.address)
            fronts += live
            stage.record("viewers: a new connection")
        requests.append(random.choice(live).ask("timelapse", 5.0))
        await asyncio.sleep(random.uniform(0.5, 1.5) / REQUESTS_PER_SECOND)
    return requests


async def play(stage: Stage) -> int:
    """One run."""
    hosts = [await stage.host(f"h{n}", n % 3, length=PLAYS_SECONDS) for n in range(HOSTS)]
    ended: dict[str, float] = {}
    for host in hosts:
        host.on_setup = refuse_unknown
        host.on_end = lambda session: ended.setdefault(session, time.time())
    gateway = stage.gateway("n0", settings(), sockets=SOCKETS)
    await gateway.start()
    fronts = await gateway.connect(2)
    asking = asyncio.create_task(viewers(stage, gateway, fronts))
    await asyncio.sleep(CALM_SECONDS)
    strangers = Strangers(stage, gateway)
    if TROUBLE:
        stage.record(f"{BAD_CLIENTS} bad clients connect")
        clients = [asyncio.create_task(strangers.one()) for _ in range(BAD_CLIENTS)]
    requests = await asking
    await asyncio.sleep(PLAYS_SECONDS + WITHIN + 1.0)
    if TROUBLE:
        for client in clients:
            client.cancel()
    left = 0
    for request in requests:
        if request.status == 200 and request.session in ended:
            if request.releases and request.releases[0][0] <= ended[request.session] + WITHIN:
                continue
            over = ended[request.session]
            if not any(x.opened_at < over + 8.0 and x.closed_at > over for x in fronts):
                continue  # the viewers had no connection on which a release could be sent
            left += 1
            told = "a bad client was told" if request.session in strangers.foreign else "nobody was told"
            stage.record(
                f"BROKEN: {request.session} was over at {over - stage.record.started:.3f}, "
                f"and its viewer was not told within {WITHIN} s; {told}"
            )
    served = sum(x.status == 200 for x in requests)
    text = (
        f"{len(requests)} set-ups of viewers, {served} served, {left} never released; "
        f"{len(strangers.foreign)} releases sent to bad clients, which were turned away "
        f"{strangers.turned_away} times"
    )
    stage.record(text)
    print(text)
    if gateway.crashed() or served < 10:
        raise CannotRunError("the viewers were not served")
    return BROKEN if left or strangers.foreign else HELD


run(__file__, play)

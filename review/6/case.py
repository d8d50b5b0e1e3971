"""Memory of a gateway while a few bad clients send messages without end."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stage2 import BROKEN, HELD, TROUBLE, CannotRunError, Front, Gateway, Request, Stage, run, settings

HOSTS, SOCKETS, MEMORY_MB = 6, 1024, 192
"""`MEMORY_MB` is what stage2 writes into each configuration, the most that the pages name."""
VIEWER_CONNECTIONS, REQUESTS_PER_SECOND, DEADLINE, PLAYS_SECONDS = 4, 25.0, 3.0, 6.0
CALM_SECONDS, BAD_SECONDS = 2.0, 20.0
BAD_CLIENTS, MESSAGE_BYTES = 20, 32768
POLL_SECONDS = 0.05
ENDLESS = b"SETUP rtsp://media/00000000000000ff RTSP/1.0\r\nCSeq: 1\r\nX-Attrs: ".ljust(MESSAGE_BYTES, b"a")


async def bad_client(address: tuple[str, int], until: float) -> int:
    """Send the first 32 KB of a message without end, read the refusal up to the close, and come again.
    Returns how often it was turned away."""
    times = 0
    while time.time() < until:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(ENDLESS)
            while await reader.read(65536):
                pass
            writer.close()
            times += 1
            continue
        await asyncio.sleep(0.05)
    return times


async def bad_clients(address: tuple[str, int]) -> None:
    """The program of the bad clients: a process of its own, so that the other stand-ins are not delayed."""
    until = time.time() + BAD_SECONDS
    times = await asyncio.gather(*(bad_client(address, until) for _ in range(BAD_CLIENTS)))
    print(f"{BAD_CLIENTS} bad clients, turned away {sum(times)} times in all")


class MemoryLimit:
    """The platform: kills a gateway whose resident memory is over its limit."""

    def __init__(self, stage: Stage, gateway: Gateway) -> None:
        self.stage, self.gateway = stage, gateway
        self.most = 0.0
        """The most that was seen, in MB of 2^20 bytes."""
        self.killed_at: float | None = None
        self.cut = 0
        """Sessions that stood when the gateway was killed."""

    def _resident(self) -> float:
        process = self.gateway.process
        if process is None:
            raise CannotRunError("the gateway does not run")
        for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024.0
        raise CannotRunError("the gateway's memory can't be read")

    async def watch(self) -> None:
        """Look at the memory until the gateway ends, and write it down each half second."""
        written_at = 0.0
        while not self.gateway.crashed():
            resident = self._resident()
            self.most = max(self.most, resident)
            if time.time() - written_at >= 0.5:
                self.stage.record(f"platform: the gateway holds {resident:.0f} MB")
                written_at = time.time()
            if resident > MEMORY_MB:
                self.killed_at = time.time()
                self.cut = sum(x.status == 200 and not x.releases for x in self.stage.requests.values())
                self.stage.record(f"platform: {resident:.0f} MB are over the limit of {MEMORY_MB} MB")
                self.gateway.signal(signal.SIGKILL)
                return
            await asyncio.sleep(POLL_SECONDS)


async def viewers(stage: Stage, gateway: Gateway, seconds: float) -> list[Request]:
    """The usual viewers ask on a few connections, until the gateway is gone."""
    fronts: list[Front] = await gateway.connect(VIEWER_CONNECTIONS)
    requests = []
    until = time.time() + seconds
    while time.time() < until and not gateway.crashed():
        live = [x for x in fronts if not x.closed]
        while len(live) < VIEWER_CONNECTIONS:
            front = stage.front(f"n0/{len(fronts)}")
            with contextlib.suppress(OSError):
                await front.open(gateway.address)
                live.append(front)
                fronts.append(front)
                continue
            return requests  # the gateway is gone
        requests.append(random.choice(live).ask("sign-off", DEADLINE))
        await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)
    return requests


async def play(stage: Stage) -> int:
    """One run."""
    for n in range(HOSTS):
        await stage.host(f"h{n}", n % 3, length=PLAYS_SECONDS)
    gateway = stage.gateway("n0", settings(), sockets=SOCKETS)
    await gateway.start()
    limit = MemoryLimit(stage, gateway)
    watching = asyncio.create_task(limit.watch())
    asking = asyncio.create_task(viewers(stage, gateway, CALM_SECONDS + BAD_SECONDS))
    await asyncio.sleep(CALM_SECONDS)
    strangers, began_at = None, time.time()
    if TROUBLE:
        stage.record(f"{BAD_CLIENTS} bad clients connect, for {BAD_SECONDS} s")
        strangers = await asyncio.create_subprocess_exec(
            sys.executable, __file__, gateway.address[0], str(gateway.address[1]),
            stdout=asyncio.subprocess.PIPE, env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
        )  # fmt: skip
    try:
        requests = await asking
        await asyncio.sleep(0.5)
    finally:
        if strangers is not None:
            if gateway.crashed():
                with contextlib.suppress(ProcessLookupError):
                    strangers.kill()
            out, _ = await strangers.communicate()
            stage.record(out.decode().strip())
    if not gateway.crashed():
        await asyncio.sleep(DEADLINE)
        watching.cancel()
    elif limit.killed_at is None:
        stage.record("BROKEN: the gateway ended by itself")
        return BROKEN
    unanswered = sum(not x.answers for x in requests)
    ended = (
        f"BROKEN: killed {limit.killed_at - began_at:.2f} s after the bad clients came, over {MEMORY_MB} MB; "
        f"{limit.cut} sessions stood"
        if limit.killed_at is not None
        else f"it held {limit.most:.0f} MB at most"
    )
    text = f"{ended}; {len(requests)} set-ups of viewers, {unanswered} not answered"
    stage.record(text)
    print(text)
    return BROKEN if limit.killed_at is not None else HELD


if len(sys.argv) > 1:
    asyncio.run(bad_clients((sys.argv[1], int(sys.argv[2]))))
else:
    run(__file__, play)

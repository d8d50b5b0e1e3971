"""What the measurements share: load from processes of their own, figures of a process, statistics."""

from __future__ import annotations

import multiprocessing as mp
import resource
import socket
import statistics
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

from otterglade.lab.stage import Layout, Stage

SPAWN = mp.get_context("spawn")
ROOMY = replace(
    Layout(), hosts=12, racks=3, gateways=1, titles=12, link=1e7, slots=100_000, uplink_share=1.0, holders=3,
    late_list=0.0, by_probe=False, refuses_from=0.0, title_seconds=60.0, log="warning",
    budget=(0.0, 0.0, 0.0),
    classes=({"name": "film", "effect": "safe", "goal": 1.5, "patience": 8.0, "worth": 1.0},),
    class_share=(1.0,),
)  # fmt: skip


class Script(Layout):
    """A layout whose gateways have other limits."""

    limits = "fetch_gap = 60.0"

    def script(self, *arguments: Any, **named: Any) -> str:
        return super().script(*arguments, **named).replace("fetch_gap = 4.0", self.limits)


def roomy(limits: str, **changes: Any) -> Layout:
    """The roomy layout with limits of the gateway, as they stand in its script."""
    fields = {x: getattr(ROOMY, x) for x in ROOMY.__dataclass_fields__} | changes
    limited: Layout = type("Limited", (Script,), {"limits": limits})(**fields)
    return limited


class Roomy(Stage):
    """A stage whose hosts answer at once and never run short: what is measured is the gateway."""

    def host_spec(self, number: int, cold: bool) -> Any:
        import msgspec

        return msgspec.structs.replace(super().host_spec(number, cold), setup_time=0.0, idle=600.0, record="")


def many_files() -> int:
    """Raise the limit of open files as far as an ordinary user may; the limit now in force."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def process_figures(pid: int) -> dict[str, float]:
    """Resident memory in KiB, threads, and CPU seconds of a process, from /proc."""
    status = dict(
        line.split(":", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines() if ":" in line
    )
    stat = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    ticks = 100.0
    return {
        "rss_kib": float(status["VmRSS"].split()[0]),
        "threads": float(status["Threads"]),
        "cpu_s": (float(stat[11]) + float(stat[12])) / ticks,
    }


def percentile(values: Sequence[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def address_of(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def hammer(
    address: tuple[str, int], requests: list[bytes], sizes: list[int], seconds: float, out: Any
) -> None:
    """Send each request over a connection of its own, again and again; puts the count of whole answers."""
    counts = [0] * len(requests)
    stop = time.monotonic() + seconds

    def one(index: int) -> None:
        sock = socket.create_connection(address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        request, size, count = requests[index], sizes[index], 0
        while time.monotonic() < stop:
            sock.sendall(request)
            left = size
            while left > 0:
                got = sock.recv(left)
                if not got:
                    raise ConnectionError("closed in the middle")
                left -= len(got)
            count += 1
        counts[index] = count
        sock.close()

    threads = [threading.Thread(target=one, args=(n,)) for n in range(len(requests))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    out.put(sum(counts))


def rate(
    address: tuple[str, int], requests: list[bytes], sizes: list[int], seconds: float, procs: int = 4
) -> float:
    """Answers a second with the requests spread over processes."""
    out = SPAWN.Queue()
    children = [
        SPAWN.Process(target=hammer, args=(address, requests[n::procs], sizes[n::procs], seconds, out))
        for n in range(procs)
    ]
    for child in children:
        child.start()
    total = sum(out.get(timeout=seconds + 60.0) for _ in children)
    for child in children:
        child.join()
    return float(total) / seconds


def median_of(rounds: int, measure: Callable[[], float]) -> tuple[float, list[float]]:
    values = [measure() for _ in range(rounds)]
    return statistics.median(values), values

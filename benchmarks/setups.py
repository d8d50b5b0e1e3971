"""Set-ups a second through the gateway, and what it adds to a set-up, against asking the host directly.

    python -m benchmarks.setups [--quick]

Directly: PUT of a session at one host. Through the gateway: the player's request, the module's decision, the
same PUT, the playlist rewritten.
"""

from __future__ import annotations

import statistics
import sys
import tempfile
import threading
import time
from pathlib import Path

import msgspec

from otterglade.net.http import Client

from .common import Roomy, address_of, percentile, roomy


def measure(addresses: list[tuple[str, int]], count: int, threads: int, run: int) -> list[float]:
    """Seconds of each of `count` set-ups, over so many threads with their own connections.

    One address: a gateway's; many: those of hosts, asked in turn as the gateway would ask them.
    """
    times: list[float] = []
    lock = threading.Lock()
    direct = len(addresses) > 1
    body = {"viewer": "v", "class": "film", "rung": 0, "paid": False, "gateway": "bench"}

    def work(thread: int) -> None:
        mine = []
        clients = [Client(x, 2.0) for x in addresses]
        for n in range(count // threads):
            deadline = time.monotonic() + 10.0
            name = f"bench.{run}.{thread}-{n}.0"
            one, title = clients[n % len(clients)], f"job-{n % 12}"
            if direct:
                data = msgspec.json.encode({**body, "title": title})
                answer = one.exchange(b"PUT", f"/sessions/{name}".encode(), body=data, deadline=deadline)
            else:
                target = f"/watch/film/{title}.m3u8?viewer={name}"
                answer = one.exchange(b"GET", target.encode(), deadline=deadline)
            assert answer.status in (200, 201), answer
            mine.append(answer.elapsed)
        with lock:
            times.extend(mine)

    workers = [threading.Thread(target=work, args=(n,)) for n in range(threads)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    return times


def main() -> None:
    quick = "--quick" in sys.argv
    count, rounds = (200, 2) if quick else (600, 5)
    with tempfile.TemporaryDirectory() as folder:
        # Sessions end soon after their set-up, so that about as many play as in service.
        stage = Roomy(roomy("fetch_gap = 0.2"), Path(folder))
        try:
            stage.start()
            hosts = [address_of(x.address) for x in stage.hosts.values()]
            gateway = [address_of(stage.gateways[0].address)]
            for threads in (1, 8):
                found: dict[bool, list[list[float]]] = {True: [], False: []}
                speed: dict[bool, list[float]] = {True: [], False: []}
                for n in range(rounds):
                    for direct in (True, False):
                        began = time.monotonic()
                        where = hosts if direct else gateway
                        found[direct].append(measure(where, count, threads, 10 * threads + n))
                        speed[direct].append(count / (time.monotonic() - began))
                figures = {}
                for direct, rows in found.items():
                    figures[direct] = (
                        statistics.median(percentile(x, 0.5) for x in rows) * 1000,
                        statistics.median(percentile(x, 0.99) for x in rows) * 1000,
                        statistics.median(speed[direct]),
                    )
                (dm, dp, ds), (gm, gp, gs) = figures[True], figures[False]
                print(
                    f"set-ups, {threads} at once, {rounds} rounds of {count}: direct median {dm:.2f} ms,"
                    f" p99 {dp:.2f} ms, {ds:.0f} a second; gateway median {gm:.2f} ms, p99 {gp:.2f} ms,"
                    f" {gs:.0f} a second; ratio of medians {gm / dm:.2f}, of p99 {gp / dp:.2f}"
                )
        finally:
            stage.stop()


if __name__ == "__main__":
    main()

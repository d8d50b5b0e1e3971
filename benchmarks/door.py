"""How long a viewer waits who comes while thousands connect and say half a request line.

    python -m benchmarks.door [--quick]

Quiet: a new connection and a request that costs no decision. Burst: the same, every 10 ms, from the first of
the burst's connections on, each with half a request line, all opened in about half a second by processes of
their own.
"""

from __future__ import annotations

import socket
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from .common import SPAWN, Roomy, address_of, many_files, percentile, process_figures, roomy

ASK = b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


def burst(address: tuple[str, int], count: int, seconds: float, ready: Any, go: Any) -> None:
    """Open connections, evenly over so many seconds, and keep them."""
    many_files()
    ready.put(None)
    go.get()
    began, socks = time.monotonic(), []
    for n in range(count):
        time.sleep(max(0.0, began + seconds * n / count - time.monotonic()))
        sock = socket.create_connection(address)
        sock.sendall(b"GET /watch/fi")
        socks.append(sock)
    ready.put(time.monotonic() - began)
    go.get()


def visit(address: tuple[str, int]) -> float:
    """Seconds from the connection to the whole answer."""
    began = time.monotonic()
    with socket.create_connection(address, timeout=30.0) as sock:
        sock.sendall(ASK)
        while sock.recv(999):
            pass
    return time.monotonic() - began


def main() -> None:
    count, procs = (800, 2) if "--quick" in sys.argv else (4000, 4)
    many_files()
    with tempfile.TemporaryDirectory() as folder:
        stage = Roomy(roomy("connections = 20000, idle = 600.0, head = 600.0"), Path(folder))
        try:
            stage.start()
            address, pid = address_of(stage.gateways[0].address), stage.gateways[0].child.pid
            quiet = [visit(address) for _ in range(200)]
            ready, go = SPAWN.Queue(), SPAWN.Queue()
            children = [
                SPAWN.Process(target=burst, args=(address, count // procs, 0.5, ready, go))
                for _ in range(procs)
            ]
            for child in children:
                child.start()
            for _ in children:
                ready.get(timeout=60.0)
            before = process_figures(pid)
            for _ in children:
                go.put(None)
            began, during = time.monotonic(), []
            while time.monotonic() - began < 1.5:
                during.append(visit(address))
                time.sleep(0.01)
            took = max(ready.get(timeout=120.0) for _ in children)
            after = process_figures(pid)
            median = statistics.median(quiet)
            print(
                f"door: {count} half requests within {took:.2f} s; a viewer waits {median * 1000:.2f} ms at a"
                f" quiet door (p99 {percentile(quiet, 0.99) * 1000:.2f}); in the burst median"
                f" {statistics.median(during) * 1000:.2f}, worst {max(during) * 1000:.1f} ms,"
                f" {max(during) / median:.0f} times; {len(during)} viewers; a waiting connection costs"
                f" {(after['rss_kib'] - before['rss_kib']) / count:.1f} KiB, threads"
                f" {before['threads']:.0f} to {after['threads']:.0f}"
            )
            for _ in children:
                go.put(None)
            for child in children:
                child.join()
        finally:
            stage.stop()


if __name__ == "__main__":
    main()

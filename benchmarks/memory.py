"""Memory and threads of a gateway with idle keep-alive players, over the same gateway with none.

python -m benchmarks.memory [--quick]
"""

from __future__ import annotations

import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from .common import SPAWN, Roomy, address_of, many_files, process_figures, roomy


def hold(address: tuple[str, int], count: int, ready: Any, go: Any) -> None:
    """Open connections, get one playlist over each, and keep them."""
    many_files()
    socks = []
    for n in range(count):
        sock = socket.create_connection(address)
        sock.sendall(b"GET /watch/film/job-0.m3u8?viewer=%d HTTP/1.1\r\nHost: x\r\n\r\n" % (n % 50))
        data = b""
        while b"#EXT-X-ENDLIST" not in data:
            data += sock.recv(65536)
        socks.append(sock)
    ready.put(len(socks))
    go.get()


def main() -> None:
    quick = "--quick" in sys.argv
    many_files()
    count = 500 if quick else 5000
    with tempfile.TemporaryDirectory() as folder:
        limits = "fetch_gap = 600.0, connections = 20000, idle = 600.0"
        stage = Roomy(roomy(limits), Path(folder))
        try:
            stage.start()
            pid = stage.gateways[0].child.pid
            before = process_figures(pid)
            ready, go = SPAWN.Queue(), SPAWN.Queue()
            address = address_of(stage.gateways[0].address)
            child = SPAWN.Process(target=hold, args=(address, count, ready, go))
            child.start()
            held = ready.get(timeout=120.0)
            time.sleep(0.5)
            after = process_figures(pid)
            each = (after["rss_kib"] - before["rss_kib"]) / held
            print(
                f"idle players {held}: resident {before['rss_kib'] / 1024:.1f} to"
                f" {after['rss_kib'] / 1024:.1f} MiB, {each:.1f} KiB a connection; threads"
                f" {before['threads']:.0f} to {after['threads']:.0f}"
            )
            go.put(None)
            child.join()
        finally:
            stage.stop()


if __name__ == "__main__":
    main()

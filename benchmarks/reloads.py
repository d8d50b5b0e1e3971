"""Playlist reloads a second through the gateway, against a bare socket server that answers the same bytes.

    python -m benchmarks.reloads [--quick]

The bare server does what any threaded one must: a thread for each of 64 keep-alive connections, reading until
the empty line and sending bytes that are ready. The gateway parses, finds the session and rewrites for it.
"""

from __future__ import annotations

import socket
import statistics
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from otterglade.standins.player import Browser

from .common import SPAWN, Roomy, address_of, rate, roomy


def bare(answer: bytes, ready: Any) -> None:
    """Serve the same bytes for every request, until killed."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=512)
    ready.put(listener.getsockname()[:2])

    def serve(sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data = b""
        while piece := sock.recv(16384):
            data += piece
            while (at := data.find(b"\r\n\r\n")) >= 0:
                data = data[at + 4 :]
                sock.sendall(answer)

    threading.stack_size(256 * 1024)
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


def whole(address: tuple[str, int], request: bytes) -> bytes:
    """One whole answer, head and body."""
    with socket.create_connection(address) as sock:
        sock.sendall(request)
        data = b""
        while b"\r\n\r\n" not in data:
            data += sock.recv(65536)
        head, _, body = data.partition(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        while len(body) < length:
            body += sock.recv(65536)
        return head + b"\r\n\r\n" + body


def main() -> None:
    quick = "--quick" in sys.argv
    seconds, rounds, connections = (1.0, 3, 64) if quick else (3.0, 7, 64)
    with tempfile.TemporaryDirectory() as folder:
        stage = Roomy(roomy("fetch_gap = 600.0"), Path(folder))
        try:
            stage.start()
            address = address_of(stage.gateways[0].address)
            requests = [
                b"GET /watch/film/job-%d.m3u8?viewer=%d HTTP/1.1\r\nHost: gateway\r\n"
                b"User-Agent: player/1.0\r\nAccept: */*\r\n\r\n" % (n % 4, n)
                for n in range(connections)
            ]
            answers = [whole(address, x) for x in requests]
            assert all(x.startswith(b"HTTP/1.1 200") for x in answers), "every session plays"
            sizes = [len(x) for x in answers]
            ready = SPAWN.Queue()
            child = SPAWN.Process(target=bare, args=(answers[0], ready), daemon=True)
            child.start()
            plain = ready.get(timeout=30)
            ours, theirs = [], []
            for _ in range(rounds):
                theirs.append(rate(plain, requests, [sizes[0]] * connections, seconds))
                ours.append(rate(address, requests, sizes, seconds))
            child.kill()
            ratios = [a / b for a, b in zip(ours, theirs, strict=True)]
            print(
                f"reloads a second, {connections} connections, {sizes[0]} bytes each, {rounds} rounds of"
                f" {seconds:g} s: gateway {statistics.median(ours):.0f}, bare"
                f" {statistics.median(theirs):.0f}, ratio {statistics.median(ratios):.2f}"
                f" ({min(ratios):.2f} to {max(ratios):.2f})"
            )
            Browser().get(f"http://{stage.gateways[0].address}/healthz", time.monotonic() + 5.0)
        finally:
            stage.stop()


if __name__ == "__main__":
    main()

"""A gateway that starts during a flood of connections answers the load balancer's test at once."""

from __future__ import annotations

import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from .platform import WAIT, Platform, ping, settings, start_process

FLOOD_CONNECTIONS = 300
"""Connections of the flood: more than the gateway keeps open."""
FLOOD = """
import selectors, signal, socket, sys, time
from tests.platform import new_session_id, set_up
from otterglade.wire import rtsp

address, size = (sys.argv[1], int(sys.argv[2])), int(sys.argv[3])
selector = selectors.DefaultSelector()
up, sent, reported = 0, 0, False


def withdrawn_setup():
    session = new_session_id()
    fields = [(b"CSeq", b"2"), (b"Session", session)]
    return set_up(session) + rtsp.request(b"TEARDOWN", b"rtsp://media/exchange", fields)


burst = b"".join(withdrawn_setup() for _ in range(100))
KINDS = [b""] * 8 + [burst] + [burst[:600]] * 2  # silent, all at once, byte by byte
running = True


def stop(*_):
    global running
    running = False


def open_connection(kind):
    sock = socket.socket()
    sock.setblocking(False)
    sock.bind(("127.0.0.2", 0))  # a connect from the port's own address may occupy the port
    sock.connect_ex(address)
    selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, [kind, -1])


signal.signal(signal.SIGTERM, stop)
for number in range(size):
    open_connection(number % len(KINDS))
while running:
    for key, events in selector.select(0.01):
        sock, state = key.fileobj, key.data
        wire, is_closed = KINDS[state[0]], False
        try:
            if events & selectors.EVENT_READ and not sock.recv(65536):
                raise ConnectionResetError  # the gateway closed it
            if events & selectors.EVENT_WRITE:
                sock.getpeername()
                if state[1] < 0:
                    up, state[1] = up + 1, 0
                part = wire[state[1] :] if wire is burst else wire[state[1] : state[1] + 1]
                state[1] += sock.send(part)
                if state[1] == len(wire):
                    sent += wire is burst
                    selector.modify(sock, selectors.EVENT_READ, state)
        except BlockingIOError:
            continue
        except OSError:  # refused while the port is closed; replaced at once
            selector.unregister(sock)
            sock.close()
            open_connection(state[0])
    if not reported and (up >= size or "concurrent" in sys.argv):
        reported = print("ready", flush=True) is None
print(up, sent, flush=True)
"""


def seconds_until_answered(address: tuple[str, int], connection: socket.socket | None = None) -> float:
    """Seconds until an OPTIONS request is answered; a closed connection is replaced by a new one."""
    started_at = time.monotonic()
    while time.monotonic() < started_at + WAIT:
        try:
            with connection or socket.create_connection(address, timeout=WAIT) as sock:
                sock.sendall(ping(b"0000000000000001"))
                if sock.recv(4096).startswith(b"RTSP/1.0 200"):
                    return time.monotonic() - started_at
        except OSError:
            time.sleep(0.002)
        connection = None
    raise AssertionError("no request was answered")


def connect_when_open(address: tuple[str, int]) -> socket.socket:
    """Connect as soon as the port is open."""
    until = time.monotonic() + WAIT
    while True:
        try:
            return socket.create_connection(address, timeout=WAIT, source_address=("127.0.0.3", 0))
        except OSError:
            assert time.monotonic() < until
            time.sleep(0.002)  # the port opens when the process has started


@pytest.mark.parametrize("order", ["ahead", "concurrent"])
def test_start_during_a_flood_is_ready_at_once(tmp_path: Path, order: str) -> None:
    """The flood is in the backlog ahead of the test, or starts when the port opens."""
    for _ in range(3):
        found = Platform(tmp_path, given=settings())
        found.configure()
        flood = None

        def start_flood(at: tuple[str, int] = found.address) -> subprocess.Popen[bytes]:
            arguments = [at[0], str(at[1]), str(FLOOD_CONNECTIONS), order]
            made = subprocess.Popen([sys.executable, "-c", FLOOD, *arguments], stdout=subprocess.PIPE)
            assert made.stdout is not None and made.stdout.readline() == b"ready\n"
            return made

        try:
            if order == "concurrent":
                flood = start_flood()
            started_at = time.monotonic()
            found.process = start_process(found.path, tmp_path / "log")
            first: socket.socket | None = connect_when_open(found.address)
            ready = time.monotonic() - started_at
            if order == "ahead":
                found.signal(signal.SIGSTOP)
                assert first is not None
                first.close()
                flood = start_flood()
                first = socket.create_connection(found.address, timeout=WAIT)
                found.signal(signal.SIGCONT)
            durations = [seconds_until_answered(found.address, first)]
            until = time.monotonic() + 1.0
            while time.monotonic() < until:  # while the flood goes on
                durations.append(seconds_until_answered(found.address))
            assert flood is not None and flood.stdout is not None
            flood.terminate()
            up, sent = map(int, flood.stdout.read().split())
            print(
                order,
                f"open after {ready:.3f}, answered after",
                [round(x, 4) for x in [durations[0], len(durations), max(durations)]],
                up,
                sent,
            )
            assert found.process.poll() is None, found.log()
            assert up >= FLOOD_CONNECTIONS and sent >= FLOOD_CONNECTIONS // 20, "the load was not a flood"
            assert durations[0] < 1.0 and ready + durations[0] < 10.0
            assert max(durations) < 2.0, "answers became slow during the flood"
        finally:
            if flood is not None and flood.stdout is not None:
                flood.kill()
                flood.wait()
                flood.stdout.close()
            found.close()

"""A gateway that starts into a flood passes the front's test at once all the same."""

from __future__ import annotations

import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from .platform import WAIT, Platform, ping, settings, start

CROWD = 300
"""Connections held at once: more than the gateway keeps."""
FLOOD = """
import selectors, signal, socket, sys, time
from tests.platform import fresh, set_up
from otterglade.wire import rtsp

address, size = ("127.0.0.1", int(sys.argv[1])), int(sys.argv[2])
crowd = selectors.DefaultSelector()
up, sent, told = 0, 0, False


def taken_back():
    session = fresh()
    fields = [(b"CSeq", b"2"), (b"Session", session)]
    return set_up(session) + rtsp.request(b"TEARDOWN", b"rtsp://media/exchange", fields)


burst = b"".join(taken_back() for _ in range(100))
KINDS = [b""] * 8 + [burst] + [burst[:600]] * 2  # silent, all at once, a byte at a time
running = True


def stop(*_):
    global running
    running = False


def newcomer(kind):
    sock = socket.socket()
    sock.setblocking(False)
    sock.bind(("127.0.0.2", 0))  # from the port's own address a connect may meet itself, and hold the port
    sock.connect_ex(address)
    crowd.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, [kind, -1])


signal.signal(signal.SIGTERM, stop)
for number in range(size):
    newcomer(number % len(KINDS))
while running:
    for key, events in crowd.select(0.01):
        sock, state = key.fileobj, key.data
        wire, gone = KINDS[state[0]], False
        try:
            if events & selectors.EVENT_READ and not sock.recv(65536):
                raise ConnectionResetError  # closed by the gateway
            if events & selectors.EVENT_WRITE:
                sock.getpeername()
                if state[1] < 0:
                    up, state[1] = up + 1, 0
                part = wire[state[1] :] if wire is burst else wire[state[1] : state[1] + 1]
                state[1] += sock.send(part)
                if state[1] == len(wire):
                    sent += wire is burst
                    crowd.modify(sock, selectors.EVENT_READ, state)
        except BlockingIOError:
            continue
        except OSError:  # refused as long as the port is closed; a new one comes at once
            crowd.unregister(sock)
            sock.close()
            newcomer(state[0])
    if not told and (up >= size or "beside" in sys.argv):
        told = print("ready", flush=True) is None
print(up, sent, flush=True)
"""


def passed(address: tuple[str, int], held: socket.socket | None = None) -> float:
    """Seconds from a test's sending until it is passed; on new connections, as long as one is closed."""
    began = time.monotonic()
    while time.monotonic() < began + WAIT:
        try:
            with held or socket.create_connection(address, timeout=WAIT) as sock:
                sock.sendall(ping(b"0000000000000001"))
                if sock.recv(4096).startswith(b"RTSP/1.0 200"):
                    return time.monotonic() - began
        except OSError:
            time.sleep(0.002)
        held = None
    raise AssertionError("no test was passed")


def opened(address: tuple[str, int]) -> socket.socket:
    """The first connection that the port takes."""
    until = time.monotonic() + WAIT
    while True:
        try:
            return socket.create_connection(address, timeout=WAIT, source_address=("127.0.0.3", 0))
        except OSError:
            assert time.monotonic() < until
            time.sleep(0.002)  # the port opens when the process has come up


@pytest.mark.parametrize("order", ["ahead", "beside"])
def test_a_start_into_a_flood_is_ready_at_once(tmp_path: Path, order: str) -> None:
    """The flood waits in the backlog ahead of the test, or comes with the port's opening."""
    for _ in range(3):
        found = Platform(tmp_path, given=settings())
        found.configure()
        flood = None

        def begin(at: int = found.address[1]) -> subprocess.Popen[bytes]:
            made = subprocess.Popen(
                [sys.executable, "-c", FLOOD, str(at), str(CROWD), order], stdout=subprocess.PIPE
            )
            assert made.stdout is not None and made.stdout.readline() == b"ready\n"
            return made

        try:
            if order == "beside":
                flood = begin()
            began = time.monotonic()
            found.process = start(found.path, tmp_path / "log")
            first: socket.socket | None = opened(found.address)
            ready = time.monotonic() - began
            if order == "ahead":
                found.signal(signal.SIGSTOP)
                assert first is not None
                first.close()
                flood = begin()
                first = socket.create_connection(found.address, timeout=WAIT)
                found.signal(signal.SIGCONT)
            took = [passed(found.address, first)]
            until = time.monotonic() + 1.0
            while time.monotonic() < until:  # while the flood goes on
                took.append(passed(found.address))
            assert flood is not None and flood.stdout is not None
            flood.terminate()
            up, sent = map(int, flood.stdout.read().split())
            print(
                order,
                f"open after {ready:.3f}, passed after",
                [round(x, 4) for x in [took[0], len(took), max(took)]],
                up,
                sent,
            )
            assert found.process.poll() is None, found.log()
            assert up >= CROWD and sent >= CROWD // 20, "a flood it was"
            assert took[0] < 1.0 and ready + took[0] < 10.0
            assert max(took) < 2.0, "and it stays so"
        finally:
            if flood is not None and flood.stdout is not None:
                flood.kill()
                flood.wait()
                flood.stdout.close()
            found.close()

"""CPU a set-up and memory a thousand sessions at the platform's frontend.

    python -m benchmarks.node [--quick]

CPU: of the gateway's process for a set-up, its answer and the session's end, over that of a process that
moves the same bytes between the same sockets with the same reactor and reads none of them. Memory: resident
size with a thousand sessions that stand, over the same process before the first.
"""

from __future__ import annotations

import multiprocessing as mp
import os
import socket
import statistics
import sys
import tempfile
from pathlib import Path
from typing import Any

from otterglade.net.reactor import Channel, Listener, Reactor
from otterglade.wire import rtsp
from tests.platform import MediaHost, Platform, ViewerEnd, platform

SPAWN = mp.get_context("spawn")
EXCHANGE = b"rtsp://media/exchange"


class Pipe:
    """One side of a relayed connection."""

    other: Channel

    def data_received(self, data: bytes) -> bool:
        self.other.send(data)
        return False

    def connection_made(self) -> None:
        """What waited is sent by the channel itself."""

    def connection_lost(self, cause: str) -> None:
        self.other.finish()


def relay(to: tuple[str, int], told: Any) -> None:
    """Move bytes, and nothing else, until killed."""
    reactor = Reactor()

    def newcomer(sock: socket.socket) -> None:
        near, far = Pipe(), Pipe()
        far.other = Channel(reactor, sock, near)
        near.other = Channel.open(reactor, to, far, 5.0)

    told.put(Listener(reactor, ("127.0.0.1", 0), newcomer).sock.getsockname())
    reactor.run()


def cpu(pid: int) -> float:
    """Seconds of CPU that a process has used."""
    parts = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")


def resident(pid: int) -> int:
    """Resident bytes of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def sessions(viewer: ViewerEnd, count: int, end: bool) -> None:
    """So many sessions, one after the other; each left again, if wanted."""
    for _ in range(count):
        session = viewer.set_up()
        answer = viewer.wait(session)
        assert answer.status == 200, answer
        if end:
            leave = [(b"CSeq", b"2"), (b"Session", session), (b"Reason", b"cause=16")]
            viewer.connection.send(rtsp.request(b"TEARDOWN", EXCHANGE, leave))


def a_session(pid: int, viewer: ViewerEnd, count: int) -> float:
    began = cpu(pid)
    sessions(viewer, count, end=True)
    return (cpu(pid) - began) / count


def roomy(found: Platform) -> int:
    assert found.process is not None
    return found.process.pid


def main() -> None:
    quick = "--quick" in sys.argv
    count, rounds = (300, 2) if quick else (1500, 5)
    room = {
        "family_info__weight_kb": 1e9,
        "family_info__rack_link_kb": 1e9,
        "family_info__kind_slots": [10**6],
    }
    with tempfile.TemporaryDirectory() as folder, platform(Path(folder), **room) as p:
        told = SPAWN.Queue()
        host = MediaHost()
        bare = SPAWN.Process(target=relay, args=(host.address, told), daemon=True)
        bare.start()
        assert bare.pid is not None
        direct = ViewerEnd(told.get())
        ratios, mine = [], []
        for _ in range(rounds):
            moved = a_session(bare.pid, direct, count)
            mine.append(a_session(roomy(p), p.viewer(), count))
            ratios.append(mine[-1] / max(moved, 1e-9))
        print(
            f"CPU a session: {statistics.median(ratios):.1f} times that of moving its bytes "
            f"({min(ratios):.1f} to {max(ratios):.1f}); {1e3 * statistics.median(mine):.2f} ms here"
        )
        bare.kill()
        host.close()
    with tempfile.TemporaryDirectory() as folder, platform(Path(folder), **room) as p:
        empty = resident(roomy(p))
        sessions(p.viewer(), 1000, end=False)
        full = resident(roomy(p))
        print(
            f"memory with a thousand sessions: {full / empty:.2f} times that with none "
            f"({(full - empty) / 1e6:.1f} MB more than {empty / 1e6:.1f} MB)"
        )


if __name__ == "__main__":
    main()

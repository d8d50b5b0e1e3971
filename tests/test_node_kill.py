"""Shutdown against a kill at the earliest time that the platform's protocol allows, with real processes.

SIGKILL may come as early as the longest deadline of the deployment (counted as 3 s at most) plus 0.7 s after
SIGTERM. Viewers go on sending on open connections until then, and a request that the kill finds unanswered is
lost if it came more than 0.7 s after SIGTERM.
"""

from __future__ import annotations

import contextlib
import random
import select
import signal
import socket
import subprocess
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from otterglade.wire import rtsp

from .platform import (
    WAIT,
    Platform,
    Received,
    ViewerEnd,
    accept,
    new_session_id,
    ping,
    platform,
    set_up,
    settings,
    start_process,
    wait_for_signal_handlers,
)  # fmt: skip

MAX_COUNTED_DEADLINE = 3.0
"""Seconds: a longer deadline counts as this one for the time of the kill."""
KILL_AFTER_DEADLINE = 0.7
"""Seconds from the longest deadline, counted from SIGTERM, to the earliest SIGKILL."""
CROSSING = 0.05
"""Seconds before the end of a connection within which a set-up on it is sent once more elsewhere."""
VIEWERS = 6
PAUSES = (0.01, 0.05)
"""Range of the seconds between two set-ups on one connection."""
SEED = 32614


def earliest_kill(longest_deadline: float) -> float:
    """Seconds from SIGTERM to the earliest SIGKILL."""
    return min(longest_deadline, MAX_COUNTED_DEADLINE) + KILL_AFTER_DEADLINE


def teardown(session: bytes) -> bytes:
    return rtsp.request(b"TEARDOWN", b"rtsp://media/exchange", [(b"CSeq", b"2"), (b"Session", session)])


def classes_with_deadline(seconds: float) -> list[dict[str, Any]]:
    """The classes of the test site with another longest deadline, and goals within it."""
    classes = settings()["classes"]
    return [x | {"hard_limit": seconds * 1000.0, "goal_time": min(600.0, seconds * 500.0)} for x in classes]


def hang_half(received: Received) -> None:
    """A host at which every second set-up hangs."""
    if received.message.method != b"SETUP" or int(received.message.session, 16) % 2:
        accept(received)


@dataclass(frozen=True)
class Request:
    """A set-up whose last byte was written."""

    session: bytes
    sent_at: float
    """Unix seconds."""
    viewer: ViewerEnd
    closed: bool
    """Whether the viewer's kernel already had the close of its connection."""


def has_close(sock: socket.socket) -> bool:
    """Whether the peer's close has arrived, read or not."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


class InsistentViewer:
    """Sends set-ups on an open connection until the kill, and connects again after a close."""

    def __init__(self, p: Platform, seed: int, deadline: float) -> None:
        self._platform, self._deadline = p, b"%d" % (deadline * 1000.0)
        self._random = random.Random(seed)
        self._viewer = p.viewer()
        self.requests: list[Request] = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def _run(self) -> None:
        while not self._stopped.wait(self._random.uniform(*PAUSES)):
            if self._viewer.connection.ended.is_set():
                try:
                    self._viewer = self._platform.viewer()
                except OSError:
                    return  # the process takes no connections any more
            session, class_no = new_session_id(), self._random.choice((b"free", b"paid"))
            with contextlib.suppress(OSError):
                self._viewer.connection.sock.sendall(set_up(session, class_no, deadline=self._deadline))
                sent_at, closed = time.time(), has_close(self._viewer.connection.sock)
                self.requests.append(Request(session, sent_at, self._viewer, closed))

    def stop(self) -> None:
        self._stopped.set()
        self._thread.join(WAIT)

    def lost(self) -> list[Request]:
        """The set-ups without an answer, but for those that crossed the close of their connection."""
        return [
            x
            for x in self.requests
            if not x.viewer.messages_for(x.session) and x.sent_at < x.viewer.connection.ended_at - CROSSING
        ]


@dataclass(frozen=True)
class Shutdown:
    """What a shutdown under load came to."""

    sent: int
    lost: list[str]
    doubled: int
    ended_after: float | None
    """Seconds from SIGTERM until the process ended by itself; None: SIGKILL ended it."""


def shut_down_under_load(
    p: Platform, longest_deadline: float, during: Callable[[Platform], None] = lambda p: None
) -> Shutdown:
    """Send SIGTERM, and SIGKILL at the earliest time. `during` is called right after SIGTERM."""
    viewers = [InsistentViewer(p, SEED + index, longest_deadline) for index in range(VIEWERS)]
    p.signal(signal.SIGTERM)
    terminated_at = time.time()
    for viewer in viewers:
        viewer.start()
    during(p)
    assert p.process is not None
    ended_after = None
    with contextlib.suppress(subprocess.TimeoutExpired):
        assert p.process.wait(max(0.0, terminated_at + earliest_kill(longest_deadline) - time.time())) == 0
        ended_after = time.time() - terminated_at
    p.kill()
    for viewer in viewers:
        viewer.stop()
        for request in viewer.requests:
            assert request.viewer.connection.ended.wait(WAIT)
    requests = [x for viewer in viewers for x in viewer.requests]
    lost = sorted(
        f"{x.sent_at - terminated_at:.3f} {x.session.decode()} closed={x.closed}"
        for v in viewers
        for x in v.lost()
    )
    doubled = sum(len(x.viewer.messages_for(x.session)) > 1 for x in requests)
    return Shutdown(len(requests), lost, doubled, ended_after)


@pytest.mark.parametrize("longest_deadline", [0.6, 1.2, 3.0, 5.0])
def test_requests_after_sigterm_are_answered_before_the_earliest_kill(
    tmp_path: Path, longest_deadline: float
) -> None:
    """Half of the set-ups hang at their host."""
    given = classes_with_deadline(longest_deadline)
    with platform(tmp_path, hosts=4, respond=hang_half, classes=given) as p:
        found = shut_down_under_load(p, longest_deadline)
        print(found, p.log(), sep="\n")
        assert not found.lost, f"{len(found.lost)} of {found.sent} lost"
        assert found.ended_after is not None, "the kill found the process still running"


# What else may delay the exit


def never_read(p: Platform) -> None:
    """A viewer whose answers fill the buffers, as it reads nothing."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(p.address)
    for _ in range(400):
        sock.sendall(ping(new_session_id()) * 100)
    KEPT.append(sock)


def write_half_a_request_slowly(p: Platform) -> None:
    wire = set_up(new_session_id())
    viewer = p.viewer()

    def write() -> None:
        for index in range(len(wire) - 1):
            viewer.connection.send(wire[index : index + 1])
            time.sleep(0.2)

    threading.Thread(target=write, daemon=True).start()


def owe_a_release_to_an_unreachable_host(p: Platform) -> None:
    viewer, session = p.viewer(), new_session_id()
    while int(session, 16) % 2 == 0:
        session = new_session_id()
    viewer.set_up(session=session)
    assert viewer.wait(session).status == 200
    for host in p.hosts.values():
        if any(x.message.session == session for x in list(host.received)):
            host.become_unreachable()
            for connection in host.connections:
                connection.reset()
    viewer.connection.send(teardown(session))


def hand_over_at_an_unlisted_host(p: Platform) -> None:
    viewer, session = p.viewer(), new_session_id()
    p.names.transform = lambda query, answer: None
    viewer.connection.send(
        set_up(session, attrs=b"home:0;copies:3;top:2;viewer:0000000000000001;at:unlisted")
    )
    viewer.connection.send(teardown(session))


def reload_of_a_missing_file(p: Platform) -> None:
    p.path.unlink()
    p.signal(signal.SIGHUP)


def repeat_signals(p: Platform) -> None:
    for _ in range(3):
        p.signal(signal.SIGTERM)
        p.signal(signal.SIGHUP)


def flood(p: Platform) -> None:
    """OPTIONS requests at full speed on one connection: some are always unread."""
    viewer, requests = p.viewer(), ping(new_session_id()) * 200

    def send() -> None:
        while not viewer.connection.ended.is_set():
            viewer.connection.send(requests)

    threading.Thread(target=send, daemon=True).start()


KEPT: list[socket.socket] = []
"""Sockets that stay open until the tests end."""
BEFORE_SIGTERM = (
    never_read,
    write_half_a_request_slowly,
    owe_a_release_to_an_unreachable_host,
    hand_over_at_an_unlisted_host,
    reload_of_a_missing_file,
    flood,
)


@pytest.mark.parametrize("longest_deadline", [0.6, 3.0])
@pytest.mark.parametrize("delay", [*BEFORE_SIGTERM, repeat_signals], ids=lambda x: x.__name__)
def test_nothing_delays_the_exit_beyond_the_earliest_kill(
    tmp_path: Path, delay: Callable[[Platform], None], longest_deadline: float
) -> None:
    given = classes_with_deadline(longest_deadline)
    with platform(tmp_path, hosts=4, respond=hang_half, classes=given) as p:
        if delay in BEFORE_SIGTERM:
            delay(p)
        during = delay if delay not in BEFORE_SIGTERM else lambda p: None
        found = shut_down_under_load(p, longest_deadline, during)
        print(found, p.log(), sep="\n")
        assert not found.lost, f"{len(found.lost)} of {found.sent} lost"
        assert found.ended_after is not None, "the kill found the process still running"


def test_sigterm_before_the_first_list_ends_in_time(tmp_path: Path) -> None:
    """The first SIGTERM arrives while the process starts."""
    found = Platform(tmp_path, given=settings(classes=classes_with_deadline(1.2)))
    try:
        found.add("h0", hang_half)
        found.names.transform = lambda query, answer: None
        found.configure()
        found.process = start_process(found.path, tmp_path / "log")
        wait_for_signal_handlers(found.process)
        found.signal(signal.SIGTERM)
        terminated_at = time.time()
        found.wait_until_ready()
        viewer = found.viewer()
        sessions = [viewer.set_up(deadline=b"1200") for _ in range(8)]
        assert found.process.wait(WAIT) == 0
        assert time.time() - terminated_at < earliest_kill(1.2)
        assert viewer.connection.ended.wait(WAIT)
        assert [len(viewer.messages_for(x)) for x in sessions] == [1] * len(sessions)
    finally:
        found.close()


@pytest.mark.parametrize("longest_deadline", [0.6, 3.0])
def test_viewers_beyond_the_limit_are_answered_before_the_earliest_kill(
    tmp_path: Path, longest_deadline: float
) -> None:
    """More connections than the gateway may hold wait in its backlog, each with a set-up that will hang."""
    found = Platform(tmp_path, given=settings(classes=classes_with_deadline(longest_deadline)), sockets=64)
    try:
        found.add("h0", lambda received: None)
        found.start()
        found.suspend()
        viewers = [found.viewer() for _ in range(80)]
        deadline = b"%d" % (longest_deadline * 1000.0)
        sessions = [x.set_up(deadline=deadline) for x in viewers]
        found.signal(signal.SIGTERM)
        terminated_at = time.time()
        found.signal(signal.SIGCONT)
        assert found.process is not None and found.process.wait(WAIT) == 0
        took = time.time() - terminated_at
        for viewer in viewers:
            assert viewer.connection.ended.wait(WAIT)
        lost = [
            x.connection.ended_at - terminated_at
            for x, session in zip(viewers, sessions, strict=True)
            if not x.messages_for(session)
        ]
        print(took, lost, found.log(), sep="\n")
        assert not lost and took < earliest_kill(longest_deadline)
    finally:
        found.close()

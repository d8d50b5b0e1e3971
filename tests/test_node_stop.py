"""Shutdown of the process: pending work on each kind of connection, and signals at any time."""

from __future__ import annotations

import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from otterglade.core.shutdown import GRACE_SECONDS, REFUSE_AFTER_SECONDS
from otterglade.net.reactor import Channel
from otterglade.node.shutdown import Shutdown
from otterglade.wire import rtsp

from .platform import (
    ANSWER,
    WAIT,
    Platform,
    Received,
    SteppedGateway,
    ViewerEnd,
    accept,
    new_session_id,
    ping,
    platform,
    set_up,
    settings,
    start_process,
    stepped,
    wait_for_signal_handlers,
)  # fmt: skip

EXIT_DELAY = 0.05
"""Seconds that the test's own steps may add to the time of the exit."""
EARLIEST_KILL_SECONDS = 3.7
"""Seconds from SIGTERM to the earliest SIGKILL, where the longest deadline is 3 s."""
EXCHANGE = b"rtsp://media/exchange"


def shutdown_of(g: SteppedGateway) -> Shutdown:
    """The shutdown that SIGTERM started."""
    assert g.gateway.shutdown is not None
    return g.gateway.shutdown


def check_clean_exit(g: SteppedGateway, viewer: ViewerEnd) -> None:
    """Check that the gateway stops, and that the viewer sees a close and no reset."""
    g.run_until(lambda: not g.reactor.running)
    for one in list(g.frontend.viewers):
        one.channel.close()  # as the exit of the process does
    assert viewer.connection.ended.wait(WAIT)
    assert viewer.connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0


@pytest.mark.parametrize("where", ["on a connection", "accepted by the kernel only"])
def test_unread_set_up_at_the_end_is_served(tmp_path: Path, where: str) -> None:
    with stepped(tmp_path) as g:
        viewers, session = [g.viewer()], new_session_id()

        def comes() -> None:
            if where != "on a connection":
                viewers.append(g.platform.viewer())
            viewers[-1].connection.send(set_up(session))

        g.gateway.handle_signal(signal.SIGTERM)
        g.advance(GRACE_SECONDS - 0.1)
        g.call_before_due_timers(comes)
        assert g.reactor.running and g.wait_for_answer(viewers[-1], session).status == 200
        check_clean_exit(g, viewers[-1])
        with pytest.raises(ConnectionRefusedError):
            g.platform.viewer()


def test_input_that_crosses_the_shutdown_is_read_and_resets_nothing(tmp_path: Path) -> None:
    """An idle connection, one with a partial request, one that keeps sending OPTIONS requests."""
    with stepped(tmp_path) as g:
        ends = {kind: g.viewer() for kind in ("idle", "half", "pings")}
        channels = [x.channel for x in g.frontend.viewers]
        ends["half"].connection.send(set_up(new_session_id())[:60])
        g.gateway.handle_signal(signal.SIGTERM)
        g.advance(GRACE_SECONDS - 0.1)
        g.run_until(lambda: all(x.connection.ended.is_set() for x in ends.values()))
        assert g.reactor.running
        for end in ends.values():
            end.set_up()
        g.run_until(lambda: not g.reactor.running)
        assert not any(x.has_unread_input() or x.closed for x in channels)
        assert all(x.inbox.empty() for x in ends.values())


def test_exit_waits_for_a_connection_that_is_being_closed(tmp_path: Path) -> None:
    with stepped(tmp_path) as g:
        viewer = g.viewer()
        g.gateway.handle_signal(signal.SIGTERM)
        g.advance(GRACE_SECONDS - 0.2)
        viewer.connection.send(b"\x00\xff" * 3000)
        g.run_until(lambda: g.reactor.finishing_count)
        g.call_before_due_timers(lambda: viewer.connection.send(b"\x00" * 3000))
        assert shutdown_of(g).closed_at is None and g.reactor.running, (
            "unread bytes would reset the connection"
        )
        assert viewer.inbox.get(timeout=WAIT).message.status == 400
        check_clean_exit(g, viewer)


def test_release_without_an_open_connection_is_sent_before_the_exit(tmp_path: Path) -> None:
    with stepped(tmp_path) as g:
        viewer, host = g.viewer(), g.platform.hosts["h0"]
        session = viewer.set_up()
        assert g.wait_for_answer(viewer, session).status == 200
        viewer.connection.close()
        g.run_until(lambda: not g.frontend.viewers)
        g.gateway.handle_signal(signal.SIGTERM)
        g.advance(GRACE_SECONDS - 0.2)
        over = [(b"CSeq", b"2"), (b"Session", session), (b"Reason", b"cause=16")]
        host.wait(b"SETUP").connection.send(rtsp.request(b"TEARDOWN", EXCHANGE, over))
        g.run_until(lambda: not g.frontend.sessions)
        viewer = g.viewer()
        viewer.connection.send(ping(new_session_id()))
        g.run_until(lambda: not viewer.inbox.empty())
        assert g.frontend._pending_releases
        g.clock_offset += 0.3
        shutdown_of(g).step()  # before the maintenance that is due
        assert g.wait_for_answer(viewer, session).cause == 16
        check_clean_exit(g, viewer)


@pytest.mark.parametrize("deadline", [2.0, 6.0])
def test_open_set_up_keeps_its_deadline_but_is_answered_before_the_kill(
    tmp_path: Path, deadline: float
) -> None:
    """SIGKILL comes no earlier than 3.7 s after SIGTERM, so the exit waits no longer, and no shorter."""
    with stepped(tmp_path, respond=lambda received: None) as g:
        viewer, host = g.viewer(), g.platform.hosts["h0"]
        session = viewer.set_up(b"paid", deadline=b"%d" % (deadline * 1000))
        g.run_until(lambda: host.count(b"SETUP"))
        asked_at = g.reactor.clock()
        g.gateway.handle_signal(signal.SIGTERM)
        schedule = shutdown_of(g).schedule
        due_at = min(asked_at + deadline, schedule.answers_due_at)
        g.advance(due_at - 0.1 - g.reactor.clock())
        assert g.reactor.running and viewer.inbox.empty()
        g.clock_offset += 0.15
        assert g.wait_for_answer(viewer, session).status == 500
        given_up = host.wait(b"TEARDOWN")
        assert given_up.message.session == session and given_up.message.cause is None
        check_clean_exit(g, viewer)
        assert g.reactor.clock() <= schedule.exit_by + EXIT_DELAY < schedule.kill_at


@pytest.mark.parametrize("respond", [accept, lambda received: None])
def test_sigterm_handled_late_leaves_time_to_serve_but_not_beyond_the_kill(
    tmp_path: Path, respond: Callable[[Received], None]
) -> None:
    """The signal came during the start, over a grace period before the event loop runs."""
    with stepped(tmp_path, respond=respond) as g:
        viewer, terminated_at = g.viewer(), g.reactor.clock()
        g.clock_offset += GRACE_SECONDS + 0.2
        g.gateway.handle_signal(signal.SIGTERM, terminated_at)
        g.advance(GRACE_SECONDS - 0.1)
        session = viewer.set_up(b"paid")
        g.run_until(lambda: g.platform.hosts["h0"].count(b"SETUP"))
        if respond is not accept:
            g.advance(shutdown_of(g).schedule.answers_due_at - g.reactor.clock())
        assert g.wait_for_answer(viewer, session).status == (200 if respond is accept else 500)
        check_clean_exit(g, viewer)
        assert g.reactor.clock() < terminated_at + EARLIEST_KILL_SECONDS


def test_success_that_crosses_the_last_cancellation_is_released_before_the_exit(tmp_path: Path) -> None:
    with stepped(tmp_path, respond=lambda received: None) as g:
        viewer, host = g.viewer(), g.platform.hosts["h0"]
        session = viewer.set_up(b"paid", deadline=b"6000")
        g.run_until(lambda: host.count(b"SETUP"))
        g.gateway.handle_signal(signal.SIGTERM)
        schedule = shutdown_of(g).schedule
        g.advance(schedule.answers_due_at + 0.02 - g.reactor.clock())
        assert g.wait_for_answer(viewer, session).status == 500
        accept(host.wait(b"SETUP"))
        g.run_until(lambda: host.count(b"TEARDOWN") == 2)
        assert g.reactor.running, "the exit waits for what crosses the cancellation"
        assert [host.wait(b"TEARDOWN").message.cause for _ in range(2)] == [None, 31]
        check_clean_exit(g, viewer)


@pytest.mark.parametrize("kind", ["set-ups", "tests"])
def test_endless_stream_does_not_delay_the_exit_and_accepted_requests_are_answered(
    tmp_path: Path, kind: str
) -> None:
    """One set-up after the other with always one pending, or OPTIONS requests at full speed, always some
    unread."""
    with stepped(tmp_path, respond=lambda received: None) as g:
        viewer, asked = g.viewer(), 0
        (connection,) = g.frontend.viewers
        g.gateway.handle_signal(signal.SIGTERM)
        started_at = g.reactor.clock()
        while connection in g.frontend.viewers:
            if kind == "set-ups":
                viewer.set_up(deadline=b"1000")
                asked += 1
            else:
                viewer.connection.send(ping(new_session_id()) * 40)
            g.advance(0.04)
            assert g.reactor.clock() < shutdown_of(g).schedule.exit_by
        g.run_until(lambda: not g.reactor.running)
        if kind == "set-ups":
            assert g.reactor.clock() - started_at < REFUSE_AFTER_SECONDS + 1.5
            answers = [viewer.inbox.get(timeout=WAIT).message for _ in range(asked)]
            assert len({x.session for x in answers}) == asked and not g.frontend.sessions


def test_requests_unread_when_the_last_connections_are_closed_are_answered(tmp_path: Path) -> None:
    """The process got no CPU until the latest time for closing; three requests wait on one connection."""
    with stepped(tmp_path, respond=lambda received: None) as g:
        viewer = g.viewer()
        hanging = viewer.set_up(b"paid", deadline=b"6000")
        g.run_until(lambda: g.platform.hosts["h0"].count(b"SETUP"))
        g.gateway.handle_signal(signal.SIGTERM)
        shutdown = shutdown_of(g)
        g.advance(shutdown.schedule.answers_due_at - 0.05 - g.reactor.clock())
        sessions = [new_session_id() for _ in range(3)]
        viewer.connection.send(b"".join(map(set_up, sessions)))
        (connection,) = g.frontend.viewers
        wait_until_unread(connection.channel)
        g.clock_offset += shutdown.schedule.close_by - g.reactor.clock()
        while g.frontend.viewers:
            g.reactor.run_once(0.0)
        g.run_until(lambda: len(viewer.received) >= 4)
        assert [x.status for x in viewer.messages_for(hanging)] == [500]
        assert [x.status for y in sessions for x in viewer.messages_for(y)] == [503] * 3


def wait_until_unread(channel: Channel) -> None:
    until = time.time() + WAIT
    while not channel.has_unread_input():
        assert time.time() < until


# Signals to a real process


@pytest.mark.parametrize("hangups", [0, 3])
def test_sigterm_during_the_start_exits_with_zero_after_answering_requests(
    tmp_path: Path, hangups: int
) -> None:
    """The name service is silent, so that only the initial list is known."""
    found = Platform(tmp_path, given=settings())
    try:
        found.add("h0")
        found.names.transform = lambda query, answer: None
        found.configure()
        found.process = start_process(found.path, tmp_path / "log")
        wait_for_signal_handlers(found.process)
        for _ in range(hangups):
            found.signal(signal.SIGHUP)
        found.signal(signal.SIGTERM)
        terminated_at = time.time()
        found.wait_until_ready()
        viewer = found.viewer()
        assert viewer.wait(viewer.set_up()).status == 200
        found.signal(signal.SIGHUP)
        found.signal(signal.SIGTERM)
        assert viewer.connection.ended.wait(WAIT) and found.process.wait(WAIT) == 0
        assert time.time() < terminated_at + EARLIEST_KILL_SECONDS
    finally:
        found.close()


def test_missing_configuration_after_sigterm_changes_nothing(tmp_path: Path) -> None:
    with platform(tmp_path, hosts=1) as p:
        viewer = p.viewer()
        p.signal(signal.SIGTERM)
        p.path.unlink()
        p.signal(signal.SIGHUP)
        assert viewer.wait(viewer.set_up()).body == ANSWER
        assert viewer.connection.ended.wait(WAIT)
        assert p.process is not None and p.process.wait(WAIT) == 0


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_signal_while_the_interpreter_exits_changes_nothing(tmp_path: Path, number: int) -> None:
    """It arrives when the last objects are deleted, when Python-level handlers are no longer in place."""
    found = Platform(tmp_path, given=settings())
    found.configure()
    code = (
        "import os, runpy, sys\n"
        "class Last:\n"
        "    def __del__(self, kill=os.kill, me=os.getpid(), write=os.write):\n"
        f"        kill(me, {int(number)})\n"
        "        write(1, b'sent')\n"
        "sys.last = Last()\n"
        "runpy.run_module('otterglade.node', run_name='__main__')\n"
    )
    process = subprocess.Popen(
        [sys.executable, "-c", code], env={"BALANCER_CONFIG": str(found.path)}, stdout=subprocess.PIPE
    )
    try:
        wait_for_signal_handlers(process)
        process.send_signal(signal.SIGTERM)
        out, _ = process.communicate(timeout=WAIT)
        assert (process.returncode, out) == (0, b"sent")
    finally:
        process.kill()
        found.close()

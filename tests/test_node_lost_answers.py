"""A host's answer never comes, its connection stays open, and nothing arrives on it any more.

The host reports the ends of sessions on the connection of their set-up, otherwise on any open one, and
repeats them on the next connection that is opened. The test runs the event loop and advances its clock.
"""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from otterglade.core.connection_health import REPEAT_SECONDS
from otterglade.node.host_links import Link
from otterglade.node.hosts import Host
from otterglade.wire import rtsp

from .platform import (
    ANSWER,
    MediaHost,
    Received,
    SteppedGateway,
    ViewerEnd,
    fields,
    new_session_id,
    set_up,
    settings,
    stepped,
)
from .platform import Connection as HostConnection

TOLD_WITHIN_SECONDS = 8.05
"""Seconds within which an end must be passed on that the host could not report (protocol page)."""
STEP_SECONDS = 0.04
"""Seconds by which the clock is advanced at a time; what the host answers in between counts as at once."""
EXCHANGE = b"rtsp://media/exchange"


class ReportingHost(MediaHost):
    """A host that reports ends as the protocol page says; `lose_answers` makes connections of no use."""

    def __init__(self, closes: bool = True) -> None:
        """`closes`: whether it notices that the gateway closes a connection of no use."""
        super().__init__(self.answer)
        self.closes = closes
        self.lock = threading.RLock()
        self.standing: dict[bytes, HostConnection] = {}
        self.unrepeated: list[bytes] = []
        self.of_no_use: set[HostConnection] = set()
        self.released: list[bytes] = []
        self.rungs: dict[bytes, bytes] = {}
        self.lose_answers = False
        self.ends_cross_closes = False
        """Whether sessions end while the close of their connection is on its way."""
        self.crossed: list[bytes] = []
        self.answers = True
        """Whether it answers set-ups at all."""
        threading.Thread(target=self._watch_connections, daemon=True).start()

    def _watch_connections(self) -> None:
        known: set[HostConnection] = set()
        while True:
            with self.new_connection:
                self.new_connection.wait_for(lambda: len(self.connections) > len(known))
                new = [x for x in self.connections if x not in known]
            for connection in new:
                known.add(connection)
                with self.lock:
                    for session in self.unrepeated:
                        connection.send(self.release(session))
                    self.unrepeated.clear()
                threading.Thread(target=self._close_ended, args=(connection,), daemon=True).start()

    def _close_ended(self, connection: HostConnection) -> None:
        connection.ended.wait()
        if self.ends_cross_closes:
            with self.lock:
                for session in [x for x, on in self.standing.items() if on is connection]:
                    del self.standing[session]
                    self.crossed.append(session)
                    self.unrepeated.append(session)
                    connection.send(self.release(session))
        if self.closes or connection not in self.of_no_use:
            connection.close()

    @staticmethod
    def release(session: bytes) -> bytes:
        given = [(b"CSeq", b"2"), (b"Session", session), (b"Reason", b"cause=16")]
        return rtsp.request(b"TEARDOWN", EXCHANGE, given)

    def answer(self, received: Received) -> None:
        message, connection = received.message, received.connection
        with self.lock:
            if connection in self.of_no_use:
                return
            if self.lose_answers and message.method in (b"SETUP", b"OPTIONS"):
                self.of_no_use.add(connection)
            if message.method == b"SETUP" and self.answers:
                self.standing[message.session] = connection
                self.send(connection, rtsp.response(200, fields(message), ANSWER))
            elif message.method == b"OPTIONS":
                gauges = [*fields(message, b"3"), (b"X-Gauges", b"x0:0.1;x1:0.1")]
                self.send(connection, rtsp.response(200, gauges))
            elif message.method == b"TEARDOWN":
                self.released.append(message.session)
                self.standing.pop(message.session, None)
                self.send(connection, rtsp.response(200, fields(message, b"2")))
            elif message.method == b"SET_PARAMETER":
                self.rungs[message.session] = message.fields[b"rate-step"]

    def send(self, connection: HostConnection, data: bytes) -> None:
        if connection not in self.of_no_use:
            connection.send(data)

    def is_open(self, connection: HostConnection) -> bool:
        return not connection.ended.is_set() or (connection in self.of_no_use and not self.closes)

    def end(self, session: bytes) -> None:
        """End a session, and report it on one connection and on the next that is opened."""
        with self.lock:
            connection = self.standing.pop(session)
            if not self.is_open(connection):
                connection = next(x for x in self.connections if self.is_open(x))
            self.unrepeated.append(session)
            self.send(connection, self.release(session))

    def say_something(self) -> None:
        """Report a share on a connection that is of use, for any session: the host is heard."""
        with self.lock:
            connection = next(
                (x for x in self.connections if x not in self.of_no_use and self.is_open(x)), None
            )
            if connection is not None and self.standing:
                note = [(b"CSeq", b"9"), (b"Session", next(iter(self.standing))), (b"Figure", b"0.97")]
                connection.send(rtsp.request(b"ANNOUNCE", EXCHANGE, [*note, (b"X-Outcome", b"delivered")]))


class LostAnswers:
    """A gateway with one host on which several sessions play, each set up on its own connection."""

    def __init__(self, found: SteppedGateway, host: ReportingHost) -> None:
        self.gateway, self.media_host = found, host
        self.viewer: ViewerEnd = found.viewer()
        self.heard_at = 0.0
        self.host_is_heard = True
        """Whether the host says something each half second while the clock is advanced."""

    @property
    def host(self) -> Host:
        (found,) = self.gateway.gateway.hosts.by_number.values()
        return found

    def establish(self, count: int) -> list[bytes]:
        """Set sessions up at the same time, so that each has a connection of its own."""
        sessions = [new_session_id() for _ in range(count)]
        self.viewer.connection.send(b"".join(set_up(x) for x in sessions))
        self.gateway.run_until(lambda: all(x in self.host.established for x in sessions))
        return sessions

    def lose_an_answer(self) -> tuple[bytes, HostConnection]:
        """Ask until a set-up comes on a connection of an established session, and lose its answer."""
        playing = set(self.media_host.standing.values())
        self.media_host.lose_answers = True
        lost = new_session_id()
        self.viewer.connection.send(set_up(lost))
        self.gateway.run_until(lambda: lost in self.media_host.standing)
        self.media_host.lose_answers = False
        connection = self.media_host.standing[lost]
        assert connection in playing
        return lost, connection

    def sessions_on(self, connection: HostConnection, among: list[bytes]) -> list[bytes]:
        standing = self.media_host.standing
        return [x for x in among if standing.get(x) is connection]

    def advance(self, seconds: float) -> None:
        """Advance the clock, while the host is heard on another connection each half second."""
        until = self.gateway.clock_offset + seconds
        while self.gateway.clock_offset < until:
            if self.host_is_heard and self.gateway.reactor.clock() - self.heard_at > 0.5:
                self.heard_at = self.gateway.reactor.clock()
                self.media_host.say_something()
            self.gateway.clock_offset += min(STEP_SECONDS, until - self.gateway.clock_offset)
            for _ in range(3):  # the host's threads answer meanwhile
                self.gateway.reactor.run_once(0.002)

    def seconds_until(self, done: Callable[[], bool], at_most: float) -> float:
        """Advance until a condition holds; returns the seconds, infinite if it never did."""
        began = self.gateway.reactor.clock()
        while not done():
            if self.gateway.reactor.clock() - began > at_most:
                return float("inf")
            self.advance(0.1)
        return self.gateway.reactor.clock() - began

    def is_told(self, session: bytes) -> bool:
        return any(x.method == b"TEARDOWN" for x in self.viewer.messages_for(session))

    def end_and_time(self, session: bytes) -> float:
        """End a session at the host: after how many seconds its viewer was told."""
        self.media_host.end(session)
        return self.seconds_until(lambda: self.is_told(session), 2.0 * TOLD_WITHIN_SECONDS)


@contextlib.contextmanager
def one_host(folder: Path, closes: bool = True) -> Iterator[LostAnswers]:
    with stepped(folder, hosts=0) as found:
        host = found.platform.hosts["h0"] = ReportingHost(closes)
        found.platform.publish_hosts()
        found.run_until(lambda: found.gateway.hosts.by_number)
        yield LostAnswers(found, host)


WAITS = (0.0, 0.3, 0.6, 2.0, 4.0, 8.0, 20.0)
"""Seconds from the loss to the end of a session: under the set-up, at its time-out, after its close."""


@pytest.mark.parametrize("closes", [True, False], ids=["closes", "ignores the close"])
@pytest.mark.parametrize("wait", WAITS)
def test_end_on_a_connection_of_no_use_is_told_though_its_host_is_heard(
    tmp_path: Path, wait: float, closes: bool
) -> None:
    """Guards against an end that is never told because the host is heard on its other connections."""
    with one_host(tmp_path, closes) as world:
        sessions = world.establish(4)
        _, connection = world.lose_an_answer()
        ending, *_ = world.sessions_on(connection, sessions)
        world.advance(wait)
        assert world.end_and_time(ending) <= TOLD_WITHIN_SECONDS


@pytest.mark.parametrize("wait", [0.6, 4.5])
def test_end_is_told_after_two_answers_were_lost_on_two_connections(tmp_path: Path, wait: float) -> None:
    """Guards against a second loss that the replacement of the first connection hides."""
    with one_host(tmp_path) as world:
        sessions = world.establish(4)
        _, first = world.lose_an_answer()
        world.advance(wait)
        _, second = world.lose_an_answer()
        world.advance(0.1)
        for connection in (second, first):
            for ending in world.sessions_on(connection, sessions):
                assert world.end_and_time(ending) <= TOLD_WITHIN_SECONDS


def test_end_is_told_if_the_connection_that_replaces_the_first_is_lost_as_well(tmp_path: Path) -> None:
    """Guards against a replacement that is opened once and not again."""
    with one_host(tmp_path) as world:
        sessions = world.establish(4)
        _, connection = world.lose_an_answer()
        ending, *_ = world.sessions_on(connection, sessions)
        world.media_host.reset_on_accept = True
        world.advance(1.0)
        world.media_host.reset_on_accept = False
        assert world.end_and_time(ending) <= TOLD_WITHIN_SECONDS


def test_end_is_told_if_a_probe_has_no_answer(tmp_path: Path) -> None:
    """Guards against a control connection of no use on which releases are expected and sent."""
    with one_host(tmp_path) as world:
        sessions = world.establish(3)
        world.advance(0.5)
        world.media_host.lose_answers = True
        world.host.probe()
        world.gateway.run_until(lambda: world.media_host.of_no_use)
        world.media_host.lose_answers = False
        (connection,) = world.media_host.of_no_use
        ending = sessions[0]
        world.media_host.standing[ending] = connection
        assert world.end_and_time(ending) <= TOLD_WITHIN_SECONDS


def test_end_of_a_session_that_was_handed_over_is_told(tmp_path: Path) -> None:
    """Guards against a session without a connection of its own, reported on any one that is open."""
    with one_host(tmp_path) as world:
        world.establish(3)
        _, connection = world.lose_an_answer()
        handed_over = new_session_id()
        attributes = b"home:0;copies:3;top:2;viewer:00000000b4d65521;at:h0"
        world.viewer.connection.send(set_up(handed_over, attrs=attributes))
        world.gateway.run_until(lambda: handed_over in world.host.established)
        world.media_host.standing[handed_over] = connection
        world.advance(5.0)
        assert world.end_and_time(handed_over) <= TOLD_WITHIN_SECONDS


def test_end_that_crosses_the_gateways_close_of_an_idle_connection_is_told(tmp_path: Path) -> None:
    """Guards against an end that reaches a closed socket, while the host is heard on other connections."""
    with one_host(tmp_path) as world:
        world.establish(8)
        world.media_host.ends_cross_closes = True
        world.advance(5.0)
        assert world.media_host.crossed, "no idle connection was closed"
        world.advance(1.0)
        assert all(world.is_told(x) for x in world.media_host.crossed)


def control_connection(world: LostAnswers) -> HostConnection:
    """The host's side of the gateway's control connection."""
    control = world.host.control
    assert control is not None
    local = control.channel._sock.getsockname()
    return next(x for x in world.media_host.connections if x.sock.getpeername() == local)


def lose_the_control_connection(world: LostAnswers) -> Link:
    """Lose a probe's answer on the control connection; returns the gateway's side of it."""
    world.advance(0.5)
    control = world.host.control
    assert control is not None
    world.media_host.of_no_use.add(control_connection(world))
    world.host.probe()
    return control


def leave(world: LostAnswers, session: bytes) -> None:
    given = [(b"CSeq", b"2"), (b"Session", session)]
    world.viewer.connection.send(rtsp.request(b"TEARDOWN", EXCHANGE, given))


def test_release_by_the_viewer_reaches_the_host_though_the_control_connection_is_of_no_use(
    tmp_path: Path,
) -> None:
    """Guards against a session that plays on at its host without a viewer."""
    with one_host(tmp_path) as world:
        first, second, third = world.establish(3)
        leave(world, first)  # the host answers it: from now on a missing answer is evidence
        world.gateway.run_until(lambda: first in world.media_host.released)
        lose_the_control_connection(world)
        leave(world, second)
        released = world.media_host.released
        assert world.seconds_until(lambda: second in released, TOLD_WITHIN_SECONDS) < TOLD_WITHIN_SECONDS
        leave(world, third)
        assert world.seconds_until(lambda: third in released, TOLD_WITHIN_SECONDS) < 1.0


def test_rung_reaches_the_host_though_the_control_connection_is_of_no_use(tmp_path: Path) -> None:
    """Guards against a host that plays another rung than its gateway has counted."""
    with one_host(tmp_path) as world:
        session, *_ = world.establish(3)
        lose_the_control_connection(world)
        world.host.set_rung(session, 1)
        rungs = world.media_host.rungs
        assert world.seconds_until(lambda: rungs.get(session) == b"1", 8.0) < 8.0


@pytest.mark.parametrize("playing", [0, 3], ids=["alone", "beside others"])
def test_session_whose_answer_was_lost_is_released_at_its_host(tmp_path: Path, playing: int) -> None:
    """Guards against a cancellation that is sent only where nothing arrives any more."""
    with one_host(tmp_path) as world:
        if playing:
            world.establish(playing)
        world.media_host.lose_answers = True
        lost = new_session_id()
        world.viewer.connection.send(set_up(lost, deadline=b"1000"))
        world.gateway.run_until(lambda: lost in world.media_host.standing)
        world.media_host.lose_answers = False
        assert world.seconds_until(lambda: lost not in world.media_host.standing, 9.0) <= 1.0 + 8.05


def test_lost_answers_cost_few_connections(tmp_path: Path) -> None:
    """Hosts accept few connections: one is opened in `REPEAT_SECONDS`, and one for each close."""
    with one_host(tmp_path) as world:
        world.establish(3)
        world.media_host.lose_answers = True
        world.viewer.connection.send(b"".join(set_up(new_session_id()) for _ in range(6)))
        world.gateway.run_until(lambda: len(world.media_host.of_no_use) == 6)
        world.media_host.lose_answers = False
        before = len(world.media_host.connections)
        world.advance(4.0)
        assert 1 <= len(world.media_host.connections) - before <= 4.0 / REPEAT_SECONDS + 6
        settled = len(world.media_host.connections)
        world.advance(8.0)  # less than an idle connection is kept
        assert len(world.media_host.connections) == settled, "nothing may be lost any more"


def test_answered_requests_cost_no_connection(tmp_path: Path) -> None:
    """Guards against connections that are opened for hosts that answer in time."""
    with one_host(tmp_path) as world:
        sessions = world.establish(4)
        world.advance(4.0)
        settled = len(world.media_host.connections)
        world.host.probe()
        for session in sessions[:2]:
            leave(world, session)
        world.advance(10.0)
        assert set(sessions[:2]) <= set(world.media_host.released)
        assert len(world.media_host.connections) == settled


# Hosts that refuse further connections


@contextlib.contextmanager
def one_probed_host(folder: Path) -> Iterator[LostAnswers]:
    """The same with load probes allowed; the host says nothing unasked."""
    with stepped(folder, hosts=0, settings=settings(bounds__probes=True)) as found:
        host = found.platform.hosts["h0"] = ReportingHost()
        found.platform.publish_hosts()
        found.run_until(lambda: found.gateway.hosts.by_number)
        world = LostAnswers(found, host)
        world.host_is_heard = False
        yield world


def refuse_connections(world: LostAnswers) -> None:
    """Refuse further connections, as a host does that holds as many as it accepts."""
    world.media_host.stop_listening()


@pytest.mark.parametrize("quiet", [0.0, 5.0, 20.0], ids=lambda x: f"quiet for {x:g} s")
def test_sessions_at_a_host_that_refuses_further_connections_go_on(tmp_path: Path, quiet: float) -> None:
    """Guards against a full host that is taken for dead, and plays on what its viewers were told is over."""
    with one_probed_host(tmp_path) as world:
        sessions = world.establish(3)
        world.advance(quiet)
        refuse_connections(world)
        world.advance(12.0)
        assert all(x in world.host.established for x in sessions)
        assert not any(world.is_told(x) for x in sessions)
        assert not world.media_host.released


def test_sessions_at_a_host_that_refuses_connections_and_answers_nothing_are_over(tmp_path: Path) -> None:
    """Its machine may be back without the process: open connections stay silent."""
    with one_probed_host(tmp_path) as world:
        sessions = world.establish(3)
        refuse_connections(world)
        world.media_host.of_no_use.update(world.media_host.connections)
        took = world.seconds_until(lambda: all(world.is_told(x) for x in sessions), TOLD_WITHIN_SECONDS)
        assert took <= TOLD_WITHIN_SECONDS


def test_sessions_of_a_process_that_has_died_are_over_at_once(tmp_path: Path) -> None:
    with one_probed_host(tmp_path) as world:
        sessions = world.establish(3)
        world.media_host.die()
        assert world.seconds_until(lambda: all(world.is_told(x) for x in sessions), 8.0) <= 1.0

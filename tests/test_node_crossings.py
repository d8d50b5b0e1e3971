"""Races between two events at a media host, in each order: lists, attempts, idle connections, hand-overs.

Sockets are real; the test runs the event loop step by step, so that input is read only when the test wants
it.
"""

from __future__ import annotations

import itertools
import select
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path

import pytest

from otterglade.core import interface as api
from otterglade.core.outcomes import FailureKind
from otterglade.node import handovers, messages
from otterglade.node import hosts as node_hosts
from otterglade.node.config import load_config
from otterglade.node.gateway import Gateway
from otterglade.node.host_links import CLOSE_SECONDS, Attempt, Link
from otterglade.node.hosts import LATE_ANSWER_SECONDS, EstablishedSession, Host, HostPool
from otterglade.wire import rtsp

from .platform import (
    ANSWER,
    DESCRIPTION,
    WAIT,
    Connection,
    MediaHost,
    Platform,
    Received,
    RecordingOwner,
    SteppedReactor,
    ViewerEnd,
    accept,
    fields,
    new_session_id,
    settings,
)  # fmt: skip

IDLE_CLOSE = 15.0
NEVER_RAN = {api.Outcome.SKIPPED, api.Outcome.REFUSED}


def ignore(received: Received) -> None:
    pass


def release(session: bytes, cause: int) -> bytes:
    given = [(b"CSeq", b"2"), (b"Session", session), (b"Reason", b"cause=%d" % cause)]
    return rtsp.request(b"TEARDOWN", b"rtsp://media/exchange", given)


class UnresponsiveHost:
    """A host whose kernel completes connections and whose process never reads."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = self.sock.getsockname()


class HostPoolFixture(SteppedReactor):
    """A `HostPool` without a gateway, with one scripted host that is listed as h0."""

    def __init__(self) -> None:
        super().__init__()
        self.owner, self.media = RecordingOwner(), MediaHost()
        self.hosts = HostPool(self.reactor, self.owner, 0.25, 32, lambda text: None, IDLE_CLOSE)
        self.publish_hosts()
        self.host = self.hosts.by_number[0]
        self._numbers = itertools.count(1)
        self._all = [self.media]
        self.unresponsive = UnresponsiveHost()

    def publish_hosts(
        self, started: float = 0.0, draining: bool = False, at: MediaHost | UnresponsiveHost | None = None
    ) -> None:
        self.hosts.apply_host_list({0: ("h0", (at or self.media).address, started, draining)})

    def add_media_host(self) -> MediaHost:
        self._all.append(MediaHost())
        return self._all[-1]

    def attempt(self, session: bytes = b"", attempt: int = 0) -> Attempt:
        session = session or new_session_id()
        wire = messages.setup_request(session, b"paid", "7f3a9c21e0b4d655", DESCRIPTION, 1, 2.0)
        return Attempt(next(self._numbers), attempt, session, wire)

    def set_up(self, session: bytes = b"", attempt: int = 0) -> Attempt:
        made = self.attempt(session, attempt)
        self.host.start_attempt(made)
        return made

    def establish(self) -> tuple[Attempt, Connection]:
        """Establish a session; returns its attempt and the host's end of its connection."""
        made = self.set_up()
        self.run_until(lambda: made.number in self.owner.established)
        self.run_until(lambda: all(x.channel.is_connected for x in self.host.links))
        return made, next(x for x in self.media.received if x.message.session == made.session).connection

    def wait_for_input(self, link: Link) -> None:
        """Wait until input has arrived on a connection, without reading it."""
        assert select.select([link.channel._sock], [], [], WAIT)[0]

    def queue_unsent(self) -> Attempt:
        """An attempt on an established connection of which the kernel accepts nothing, as its host does not
        read."""
        self.publish_hosts(at=self.unresponsive)
        first = self.set_up()
        link = first.link
        assert link is not None
        self.run_until(lambda: link.channel.is_connected)
        self.host.cancel_attempt(first.session, late=False)
        self.owner.ended.clear()
        while not link.channel.unsent_bytes:
            link.channel.send(b"x" * 65536)
        made = self.attempt()
        made.link, made.offset = link, link.channel.bytes_queued
        self.host.attempts[made.session] = link.attempts[made.session] = made
        link.channel.send(made.message)
        return made

    def wait_until_all_read(self, connections: int) -> None:
        """Wait until the host has accepted this many connections, and they are read to their end and
        closed."""
        media = self.media
        with (
            socket.create_connection(media.address),
            media.new_connection,
        ):  # accepted last
            assert media.new_connection.wait_for(lambda: len(media.connections) > connections, WAIT)
        assert len(media.connections) == connections + 1
        for connection in media.connections:
            assert connection.ended.wait(WAIT)

    def close(self) -> None:
        for host in self.hosts.by_number.values():
            host.close()
        for media in self._all:
            media.close()
        self.unresponsive.sock.close()


@pytest.fixture
def side() -> Iterator[HostPoolFixture]:
    made = HostPoolFixture()
    yield made
    made.close()


# Resends, and the check before the first byte


@pytest.mark.parametrize("why", ["moved", "replaced", "refuses"])
def test_unsent_attempt_is_not_resent_to_a_host_that_closes(side: HostPoolFixture, why: str) -> None:
    """The address may belong to another host, or to none."""
    made, new_host = side.queue_unsent(), side.add_media_host()
    if why == "moved":
        side.publish_hosts(at=new_host)
    elif why == "replaced":
        side.hosts.apply_host_list({1: ("h1", side.unresponsive.address, 0.0, False)})
    else:
        side.unresponsive.sock.close()
        side.run_until(lambda: not side.host.links or made.link not in side.host.links)
    side.run_until(lambda: side.owner.ended)
    assert [x[0] for x in side.owner.ended] == [made.number] and side.owner.ended[0][2] in NEVER_RAN
    assert not side.host.links and not side.host.attempts and not new_host.connections


@pytest.mark.parametrize(
    ("moment", "why"),
    [
        *itertools.product(("given", "connected", "resent"), ("viewer", "drains", "left")),
        *itertools.product(("queued",), ("drains", "left")),
    ],
)
def test_no_set_up_is_sent_for_a_departed_viewer_or_to_a_leaving_host(
    side: HostPoolFixture, moment: str, why: str
) -> None:
    """Checked when it is queued on an established connection, when one is established late, and when it is
    resent; bytes that the kernel has not accepted are withdrawn by closing the connection."""
    went = 0
    if moment == "given":
        side.establish()
        went = 1
    made = side.queue_unsent() if moment in ("queued", "resent") else side.attempt()
    if moment == "connected":
        side.host.start_attempt(made)
        assert made.link is not None and not made.link.channel.is_connected
    if why == "viewer":
        side.owner.unwanted.add(made.number)
    elif why == "drains":
        side.publish_hosts(draining=True, at=side.unresponsive if moment in ("queued", "resent") else None)
    else:
        side.hosts.apply_host_list({})
    if moment == "given":
        side.host.start_attempt(made)
        assert made.link is None
    elif moment == "resent":
        accepted, _ = side.unresponsive.sock.accept()
        accepted.close()  # with unread bytes: a reset
    side.run_until(lambda: side.owner.ended)
    assert side.owner.ended == [(made.number, 0, api.Outcome.SKIPPED)] and not side.host.attempts
    if moment == "connected":
        assert not side.host.links
        side.wait_until_all_read(1)
    assert side.media.count(b"SETUP") == went


def test_connection_established_after_its_set_up_was_cancelled_sends_nothing(
    side: HostPoolFixture,
) -> None:
    made = side.set_up()
    side.host.cancel_attempt(made.session, late=True)
    assert side.owner.ended == [(made.number, 0, api.Outcome.REFUSED)] and not side.host.links
    after, _ = side.establish()
    assert [x.message.session for x in side.media.received] == [after.session]


# Lists


def test_host_restart_ends_attempts_and_sessions_of_its_old_process_once(side: HostPoolFixture) -> None:
    """The old machine disappeared, so that no reset announces it."""
    established, _ = side.establish()
    side.media.respond = ignore
    out = side.set_up()
    side.host.probe()
    side.run_until(lambda: side.media.count(b"SETUP") == 2 and side.media.count(b"OPTIONS") == 1)
    started = time.time()
    fresh_one = side.attempt()
    side.host.add_session(fresh_one.session, EstablishedSession(fresh_one.number, 0, started + 0.01))
    for _ in range(2):
        side.publish_hosts(started)
    reset = api.Outcome.RESET
    assert sorted(side.owner.ended) == sorted([(established.number, 0, reset), (out.number, 0, reset)])
    assert side.owner.probes == [reset] and list(side.host.established) == [fresh_one.session]
    assert not side.host.pending_releases


@pytest.mark.parametrize("back", ["another address", "a later start", "the same process"])
def test_pending_releases_reach_only_the_process_they_were_meant_for(
    side: HostPoolFixture, back: str
) -> None:
    established, _ = side.establish()
    for link in list(side.host.links):
        side.host._close_link(link, FailureKind.BROKEN)
    side.host.end_session(established.session)
    assert list(side.host.pending_releases) == [established.session]
    side.hosts.apply_host_list({})
    new_host = side.add_media_host() if back == "another address" else side.media
    side.publish_hosts(time.time() if back == "a later start" else 0.0, at=new_host)
    for count in (1, 2):  # the second is sent after the pending releases
        side.host.probe()
        side.run_until(lambda count=count: new_host.count(b"OPTIONS") == count)
    went = [x.message.session for x in new_host.received if x.message.method == b"TEARDOWN"]
    assert went == ([established.session] if back == "the same process" else [])
    ends = 1 if back != "the same process" else 0
    assert [x[0] for x in side.owner.ended] == [established.number] * ends


def test_reused_address_gets_no_messages_for_its_previous_host(side: HostPoolFixture) -> None:
    """Releases, rungs and probes for the previous host use no connection and open none."""
    established, _ = side.establish()
    links = len(side.host.links)
    side.hosts.apply_host_list({1: ("h1", side.media.address, 0.0, False)})
    assert side.owner.ended == [(established.number, 0, api.Outcome.RESET)] and 0 not in side.hosts.by_number
    side.host.end_session(established.session)
    side.host.set_rung(established.session, 1)
    side.host.probe()
    side.run_until(lambda: side.owner.probes)
    side.wait_until_all_read(links)
    assert [x.message.method for x in side.media.received] == [b"SETUP"] and not side.host.links


# Idle connections


@pytest.mark.parametrize("what", ["noise", "half an answer", "a second answer"])
def test_connection_with_unread_input_gets_no_set_up(side: HostPoolFixture, what: str) -> None:
    first, connection = side.establish()
    link = next(x for x in side.host.links if x is not side.host.control)
    second = rtsp.response(200, ((b"CSeq", b"1"), (b"Session", first.session)), ANSWER)
    connection.send({"noise": b"\0" * 9, "half an answer": second[:-9], "a second answer": second}[what])
    if what == "half an answer":
        side.run_until(lambda: link.reader.buffered_bytes)  # buffered: its rest would swallow the next answer
    else:
        side.wait_for_input(link)
    made = side.set_up()
    assert made.link is not link
    side.run_until(lambda: made.number in side.owner.established)
    assert not side.owner.ended


@pytest.mark.parametrize("what", ["a set-up", "a release", "a test"])
def test_no_message_crosses_a_hosts_close_of_an_idle_connection(side: HostPoolFixture, what: str) -> None:
    first, _ = side.establish()
    old, known = list(side.host.links), len(side.media.received)
    side.run_until(lambda: len(side.media.connections) == len(old))
    before, side.clock_offset = list(side.media.connections), IDLE_CLOSE - 0.5
    if what == "a set-up":
        made = side.set_up()
        assert made.link not in old
        side.run_until(lambda: made.number in side.owner.established)
    elif what == "a release":
        side.host.end_session(first.session)
    else:
        side.host.probe()
    side.run_until(lambda: len(side.media.received) > known)
    assert side.media.received[known].connection not in before and not side.owner.ended


@pytest.mark.parametrize("answered", [True, False])
def test_release_that_crosses_a_reset_is_sent_again(side: HostPoolFixture, answered: bool) -> None:
    """If it were lost, the host would keep the session; a release that the host answered is not repeated."""
    established, _ = side.establish()
    if answered:
        answer = rtsp.response(200, ((b"CSeq", b"2"), (b"Session", established.session)))
        side.media.respond = lambda received: received.connection.send(answer)
        side.host.end_session(established.session)
        side.run_until(lambda: not side.host.unacknowledged_releases)
    side.run_until(lambda: len(side.media.connections) == len(side.host.links))
    old = list(side.host.links)
    for connection in list(side.media.connections):
        connection.reset()
    for link in old:
        side.wait_for_input(link)
    if not answered:
        side.host.end_session(established.session)  # written to a connection whose reset has not been read
    side.media.respond = accept
    side.run_until(lambda: any(x.channel.is_connected for x in side.host.links if x not in old))
    side.run_until(lambda: side.media.count(b"TEARDOWN"))
    assert side.media.count(b"TEARDOWN") == 1
    written = {*side.host.pending_releases, *side.host.unacknowledged_releases}
    assert written == (set() if answered else {established.session})


def test_idle_connections_are_closed_before_the_host_closes_them(side: HostPoolFixture) -> None:
    side.establish()
    old, side.clock_offset = list(side.host.links), IDLE_CLOSE - 0.5
    side.hosts.maintain()
    assert all(x.is_retired for x in old), "its writing side is closed: the host sees its end"
    side.run_until(lambda: all(x.ended.is_set() for x in side.media.connections[: len(old)]))
    side.clock_offset += CLOSE_SECONDS
    side.run_until(lambda: all(x.channel.closed for x in old))
    assert side.host.control is not None, "the host has a session"


def test_unread_end_of_a_session_is_handled_before_its_connection_is_closed(side: HostPoolFixture) -> None:
    first, connection = side.establish()
    link = next(x for x in side.host.links if x is not side.host.control)
    link.draining, side.clock_offset = True, LATE_ANSWER_SECONDS + 0.1
    connection.send(release(first.session, 16))
    side.wait_for_input(link)
    side.hosts.maintain()
    side.run_until(lambda: side.owner.ended)
    assert side.owner.ended == [(first.number, 0, api.Outcome.DONE)]
    side.hosts.maintain()
    assert link.channel.closed


# Attempts


def test_time_to_wait_for_a_late_answer_starts_at_the_timeout(side: HostPoolFixture) -> None:
    side.media.respond = ignore
    made = side.set_up()
    side.run_until(lambda: side.media.count(b"SETUP"))
    side.clock_offset = 2.0  # longer since the set-up than a late answer is waited for
    side.host.cancel_attempt(made.session, late=True)
    side.hosts.maintain()
    accept(side.media.wait(b"SETUP"))
    side.run_until(lambda: side.media.count(b"TEARDOWN") == 2)
    causes = {x.message.cause for x in side.media.received if x.message.method == b"TEARDOWN"}
    assert causes == {None, 31} and side.owner.ended == [(made.number, 0, api.Outcome.TIMED_OUT)]


def test_answer_in_the_iteration_of_its_timeout_is_in_time(side: HostPoolFixture) -> None:
    side.media.respond = ignore
    made = side.set_up()
    side.run_until(lambda: side.media.count(b"SETUP"))
    side.reactor.call_at(side.reactor.clock(), lambda: side.host.cancel_attempt(made.session, late=True))
    accept(side.media.wait(b"SETUP"))
    assert made.link is not None
    side.wait_for_input(made.link)
    side.reactor.run_once(0.0)
    assert side.owner.established == [made.number] and not side.owner.ended


def test_duplicate_refusal_does_not_end_the_next_attempt(side: HostPoolFixture) -> None:
    """Taken for the next attempt's, it would show that this never ran, and a paid set-up could be sent
    twice."""
    side.media.respond = ignore
    first = side.set_up()
    side.run_until(lambda: side.media.count(b"SETUP"))
    received = side.media.wait(b"SETUP")
    refusal = rtsp.response(453, fields(received.message))
    received.connection.send(refusal)
    side.run_until(lambda: side.owner.ended)
    further = side.set_up(first.session, 1)
    received.connection.send(refusal)
    side.run_until(lambda: side.media.count(b"SETUP") == 2)
    for _ in range(3):
        side.reactor.run_once(0.05)
    assert len(side.owner.ended) == 1 and further.session in side.host.attempts
    accept(side.media.wait(b"SETUP"))
    side.run_until(lambda: side.owner.established)


def test_answer_cut_off_after_its_head_proves_nothing_and_is_released(
    side: HostPoolFixture,
) -> None:
    side.media.respond = ignore
    made = side.set_up()
    side.run_until(lambda: side.media.count(b"SETUP"))
    received = side.media.wait(b"SETUP")
    received.connection.send(rtsp.response(200, fields(received.message), ANSWER)[: -len(ANSWER)])
    received.connection.close()
    side.run_until(lambda: side.owner.ended)
    assert side.owner.ended == [(made.number, 0, api.Outcome.RESET)]
    side.hosts.maintain()  # no session there: a connection is opened for the release alone
    side.run_until(lambda: side.media.count(b"TEARDOWN"))


@pytest.mark.parametrize("end_reported", ["before", "not yet"])
def test_end_of_a_session_does_not_end_the_next_one_with_its_id(
    side: HostPoolFixture, end_reported: str
) -> None:
    """A host repeats an end on its next connection, or reports late the end of a released session."""
    first, connection = side.establish()
    if end_reported == "before":
        connection.send(release(first.session, 16))
        side.run_until(lambda: side.owner.ended)
    else:
        side.host.end_session(first.session)
        side.host.forget_session(first.session)
    ends, side.media.respond = len(side.owner.ended), ignore
    second = side.set_up(first.session)
    side.run_until(lambda: side.media.count(b"SETUP") == 2)
    side.media.wait(b"SETUP")
    received = side.media.wait(b"SETUP")
    received.connection.send(release(first.session, 16 if end_reported == "before" else 31))
    accept(received)
    side.run_until(lambda: second.number in side.owner.established or len(side.owner.ended) > ends)
    assert side.owner.established == [first.number, second.number] and len(side.owner.ended) == ends


# Hand-overs

HAND_OVER_ATTRS = b"home:0;copies:3;top:2;viewer:00000000b4d65521;at:"


class GatewayFixture(SteppedReactor):
    """A gateway in the test's process; its list contains h0 and the hosts named in `more`."""

    def __init__(self, folder: Path, *more: str) -> None:
        super().__init__()
        self.platform = Platform(folder, given=settings())
        self.media = self.platform.add("h0")
        for name in more:
            self.platform.add(name)
        self.platform.configure()
        path = str(self.platform.path)
        self.gateway = Gateway(load_config(path), path, self.reactor, lambda text: None)
        self.viewer = ViewerEnd(self.platform.address)

    def hand_over(self, host: bytes, session: bytes = b"") -> bytes:
        session = self.viewer.set_up(session=session, attrs=HAND_OVER_ATTRS + host, deadline=b"4294967")
        self.run_until(lambda: session in self.gateway.frontend.sessions or not self.viewer.inbox.empty())
        return session

    def next_message(self, session: bytes) -> rtsp.Message:
        """The viewer's next message of a session that is not a response to its own TEARDOWN."""
        self.run_until(lambda: not self.viewer.inbox.empty())
        return self.viewer.wait(session)

    def apply_list(self, *names: str) -> None:
        """Publish a list of these hosts and run until it is applied."""
        self.platform.publish_hosts(without=tuple(x for x in self.platform.hosts if x not in names))
        self.run_until(lambda: self.gateway.discovery.serial == self.platform.names.serial)


@contextmanager
def gateway_fixture(folder: Path, *more: str) -> Iterator[GatewayFixture]:
    made = GatewayFixture(folder, *more)
    yield made
    made.viewer.connection.close()
    made.platform.close()


def test_hand_over_waits_for_the_list_with_its_host(tmp_path: Path) -> None:
    with gateway_fixture(tmp_path) as f:
        session = f.hand_over(b"h1")
        f.hand_over(b"h1", session)  # it is waiting already
        assert f.viewer.inbox.empty()
        late = f.platform.hosts["h1"] = MediaHost()
        f.apply_list("h0", "h1")
        f.run_until(lambda: late.connections)
        late.connections[0].send(release(session, 16))
        assert f.next_message(session).cause == 16


def test_hand_over_at_a_host_that_is_never_listed_ends_in_time(tmp_path: Path) -> None:
    with gateway_fixture(tmp_path) as f:
        session, started_at = f.hand_over(b"nobody"), f.reactor.clock()
        f.clock_offset = handovers.MAX_WAIT_SECONDS - 0.5
        f.gateway._maintain()
        f.reactor.run_once(0.0)
        assert session in f.gateway.frontend.sessions and f.viewer.inbox.empty()
        f.clock_offset += 0.5
        assert f.next_message(session).cause == 41 and f.reactor.clock() - started_at < 3.0
        assert session not in f.gateway.frontend.sessions


def test_hand_over_at_a_host_that_leaves_ends_once(tmp_path: Path) -> None:
    with gateway_fixture(tmp_path) as f:
        before = f.hand_over(b"h0")
        f.run_until(lambda: f.media.connections)
        f.media.die()
        f.apply_list()
        assert f.next_message(before).cause == 41
        after, started_at = f.hand_over(b"h0"), f.reactor.clock()
        assert f.next_message(after).cause == 41 and f.reactor.clock() - started_at < 1.0, (
            "the host is known to be gone"
        )
        assert not f.gateway.frontend.sessions and f.viewer.inbox.empty()


def test_end_reported_before_the_hand_over_ends_it_at_once(tmp_path: Path) -> None:
    with gateway_fixture(tmp_path) as f:
        host = next(iter(f.gateway.hosts.by_number.values()))
        host.ensure_control()
        f.run_until(
            lambda: host.control is not None and host.control.channel.is_connected and f.media.connections
        )
        session = new_session_id()
        f.media.connections[0].send(release(session, 16))
        f.run_until(lambda: session in host.ended_sessions)
        f.viewer.set_up(session=session, attrs=HAND_OVER_ATTRS + b"h0", deadline=b"4294967")
        assert f.next_message(session).cause == 16
        assert not f.gateway.setups.setups_by_number and not host.established


def rung_note(session: bytes, rung: int) -> bytes:
    head = [(b"CSeq", b"4"), (b"Session", session), (b"X-Outcome", b"rung"), (b"Figure", b"%d" % rung)]
    return rtsp.request(b"ANNOUNCE", messages.EXCHANGE_URL, head)


def send_from_host(f: GatewayFixture, wire: bytes) -> Host:
    """h0 sends bytes on its first connection, and the gateway reads all of them."""
    host = next(iter(f.gateway.hosts.by_number.values()))
    host.ensure_control()
    f.run_until(
        lambda: host.control is not None and host.control.channel.is_connected and f.media.connections
    )
    last = new_session_id()
    f.media.connections[0].send(wire + release(last, 16))
    f.run_until(lambda: last in host.ended_sessions)
    return host


def tracked_rung(f: GatewayFixture, session: bytes) -> int:
    """The rung that the core assumes for a session."""
    number = f.gateway.frontend.sessions[session].number
    return f.gateway.setups.controller.sessions[number].rung


def test_rungs_reported_before_the_hand_overs_are_applied(tmp_path: Path) -> None:
    """A host reports all rungs when its connection is established, which the first hand-over opens, while
    most other hand-overs are unread. If they were lost, these sessions would be assumed to play at the lowest
    rung."""
    with gateway_fixture(tmp_path) as f:
        sessions = [new_session_id() for _ in range(20)]
        first = b"".join(rung_note(x, 1) for x in sessions)
        host = send_from_host(f, first + b"".join(rung_note(x, 2) for x in sessions))
        assert [f.hand_over(b"h0", x) for x in sessions] == sessions
        f.run_until(lambda: len(f.gateway.setups.setups_by_number) == 20)
        assert [tracked_rung(f, x) for x in sessions] == [2] * 20, "the last one reported"
        assert not host.early_rungs
        f.media.connections[0].send(rung_note(sessions[0], 1))
        f.run_until(lambda: tracked_rung(f, sessions[0]) == 1)


def test_rung_off_the_ladder_is_ignored_also_before_the_hand_over(tmp_path: Path) -> None:
    with gateway_fixture(tmp_path) as f:
        session = new_session_id()
        send_from_host(f, rung_note(session, 3))
        f.hand_over(b"h0", session)
        assert tracked_rung(f, session) == 0


def test_rung_reported_after_the_end_is_not_stored(tmp_path: Path) -> None:
    """The hand-over of an ended session only ends it; storing such rungs would use memory without limit."""
    with gateway_fixture(tmp_path) as f:
        session = new_session_id()
        host = send_from_host(f, release(session, 16) + rung_note(session, 2))
        assert not host.early_rungs
        f.viewer.set_up(session=session, attrs=HAND_OVER_ATTRS + b"h0", deadline=b"4294967")
        assert f.next_message(session).cause == 16


def test_stored_rungs_without_a_hand_over_are_limited_and_expire(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(node_hosts, "MAX_REMEMBERED", 2)
    with gateway_fixture(tmp_path) as f:
        sessions = [new_session_id() for _ in range(3)]
        kept = sessions[1:]
        host = send_from_host(f, b"".join(rung_note(x, 1) for x in sessions) + rung_note(b"", 1))
        assert list(host.early_rungs) == kept
        host.maintain(f.reactor.clock() + node_hosts.END_MEMORY_SECONDS - 1.0)
        assert list(host.early_rungs) == kept
        host.maintain(f.reactor.clock() + node_hosts.END_MEMORY_SECONDS + 1.0)
        assert not host.early_rungs


def test_teardown_ends_a_session_with_a_waiting_hand_over_and_a_close_does_not(tmp_path: Path) -> None:
    with gateway_fixture(tmp_path) as f:
        ended, kept = f.hand_over(b"h1"), f.hand_over(b"h1")
        f.viewer.connection.send(release(ended, 31))
        f.run_until(lambda: ended not in f.gateway.frontend.sessions)
        f.viewer.connection.close()
        f.run_until(lambda: not f.gateway.frontend.viewers)
        late = f.platform.hosts["h1"] = MediaHost()
        f.apply_list("h0", "h1")
        f.run_until(lambda: late.count(b"TEARDOWN"))
        assert [x.message.session for x in late.received if x.message.method == b"TEARDOWN"] == [ended]
        number = f.gateway.setups.host_numbers["h1"]
        assert list(f.gateway.hosts.by_number[number].established) == [kept]


def test_waiting_hand_overs_are_limited(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(handovers, "MAX_PENDING", 2)
    with gateway_fixture(tmp_path) as f:
        waiting = [f.hand_over(b"nobody") for _ in range(2)]
        assert f.next_message(f.hand_over(b"nobody")).cause == 41
        assert list(f.gateway.frontend.sessions) == waiting


def test_core_gets_the_list_before_the_ends_of_attempts_that_it_causes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """In the other order it would send the set-up to the next draining host, or to the same one again."""
    given: list[int] = []
    plain = Host.start_attempt
    monkeypatch.setattr(Host, "start_attempt", lambda host, x: (given.append(x.attempt), plain(host, x))[1])
    with gateway_fixture(tmp_path, "h1") as f:
        session = f.viewer.set_up(b"free")
        f.run_until(lambda: given)
        out = [x.attempts[session] for x in f.gateway.hosts.by_number.values() if session in x.attempts]
        assert len(out) == 1 and out[0].link is not None and not out[0].link.channel.is_connected
        hosts = load_config(str(f.platform.path)).hosts
        f.gateway._apply_host_list(tuple(replace(x, draining=True) for x in hosts))
        assert f.next_message(session).status == 503 and given == [0]
        assert not any(x.count(b"SETUP") for x in f.platform.hosts.values())

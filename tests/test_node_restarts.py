"""Restarts, reloads, silent name service and full backlog of the gateway process, in each order of events."""

from __future__ import annotations

import math
import select
import signal
import socket
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from otterglade.core.shutdown import GRACE_SECONDS
from otterglade.wire import rtsp

from .platform import (
    ANSWER,
    DESCRIPTION,
    WAIT,
    Connection,
    MediaHost,
    Platform,
    Received,
    ViewerEnd,
    accept,
    dns_answer,
    new_session_id,
    ping,
    platform,
    set_up,
    settings,
)  # fmt: skip

EXCHANGE = b"rtsp://media/exchange"
REFUSALS = (453, 454, 503)
"""Statuses after which a retry is harmless."""
NEW_CONNECTIONS_FOR, REQUESTS_FOR = 0.4, 0.6
"""Seconds after SIGTERM during which connections, and requests on open ones, keep arriving and are served."""
MOST_CONNECTIONS = 100
"""Connections of a test; from 155 on the gateway makes room by closing the longest idle."""
CROSSING = 0.05
"""Seconds before the end of a connection within which a set-up on it is sent once more elsewhere."""
EXTRA_ANSWER_DELAY = 0.3
"""Seconds beyond the grace period that a host takes to answer."""
KILL_AFTER = 3.7
"""Seconds after SIGTERM before which no SIGKILL comes, where the longest deadline is 3 s."""
DEADLINE = 2.5
"""Seconds of the deadline in a viewer's set-up."""
VIEWER_INTERVAL = 0.2
"""Seconds between two viewers that connect while a backlog is processed."""
CONNECT_TIMEOUT_MS = 200
"""Milliseconds after which a connection on loopback counts as not established."""
LIST_WITHIN = 1.5
"""Seconds after which the content of a valid answer of the name service counts as announced."""


def poll_until(done: Callable[[], object], within: float) -> bool:
    """Poll for a state that no event announces; returns whether it occurred."""
    until = time.time() + within
    while not done():
        if time.time() > until:
            return False
        time.sleep(0.002)
    return True


def wait_until(done: Callable[[], object], failure: str) -> None:
    """Poll for a state that no event announces, and fail if it does not occur."""
    assert poll_until(done, WAIT), failure


def wait_read(probe: ViewerEnd) -> None:
    """Wait until the gateway has read everything that was sent before on any connection."""
    session = new_session_id()
    probe.connection.send(ping(session))
    assert probe.wait(session).status == 200


def set_ups(hosts: Iterable[MediaHost], session: bytes) -> list[Received]:
    """The set-ups of a session that hosts received."""
    everything = [received for host in hosts for received in list(host.received)]
    return [x for x in everything if x.message.method == b"SETUP" and x.message.session == session]


def first_set_up(p: Platform, session: bytes) -> Received:
    wait_until(lambda: set_ups(p.hosts.values(), session), "no host got a set-up")
    return set_ups(p.hosts.values(), session)[0]


def report_end(connection: Connection, session: bytes) -> None:
    """A host reports the end of a session on a connection."""
    over = [(b"CSeq", b"2"), (b"Session", session), (b"Reason", b"cause=16")]
    connection.send(rtsp.request(b"TEARDOWN", EXCHANGE, over))


class HoldingResponder:
    """A host's behaviour: set-ups of chosen sessions are not answered."""

    def __init__(self) -> None:
        self.sessions: set[bytes] = set()

    def __call__(self, received: Received) -> None:
        if received.message.session not in self.sessions:
            accept(received)


# A new configuration, then the planned restart


@pytest.mark.parametrize("out_until", ["SIGTERM", "the end would come"])
@pytest.mark.parametrize("terminated", ["in the same moment", "once the list has come"])
def test_sigterm_right_after_a_reload_loses_nothing_and_exits_in_time(
    tmp_path: Path, terminated: str, out_until: str
) -> None:
    """A set-up is pending, a session is established, and requests arrive throughout the grace period."""
    responder = HoldingResponder()
    with platform(tmp_path, hosts=2, respond=responder) as p:
        viewer, established, pending = p.viewer(), new_session_id(), new_session_id()
        viewer.set_up(session=established)
        assert viewer.wait(established).status == 200
        responder.sessions.add(pending)
        viewer.set_up(b"paid", session=pending)
        waits, host_connection = first_set_up(p, pending), first_set_up(p, established).connection
        p.replace_name_service()
        p.publish_hosts(draining=("h0",))
        if terminated == "in the same moment":
            p.suspend()
        p.signal(signal.SIGHUP)
        if terminated == "once the list has come":
            p.names.wait_for_queries(2)
            wait_read(viewer)
        drained = p.hosts["h0"].count(b"SETUP")
        p.signal(signal.SIGTERM)
        p.signal(signal.SIGCONT)
        at, ends = time.time(), [viewer]
        # On its own thread: answers may be late on a busy machine, and the grace period ends meanwhile.
        end_report = threading.Timer(REQUESTS_FOR, report_end, (host_connection, established))
        end_report.start()
        if out_until == "SIGTERM":  # from now on only the grace period keeps the process alive
            accept(waits)
        while (now := time.time()) < at + REQUESTS_FOR:
            if now < at + NEW_CONNECTIONS_FOR and len(ends) < MOST_CONNECTIONS:
                ends.append(p.viewer())
            asked = ends[-1] if now < at + NEW_CONNECTIONS_FOR else viewer
            session = asked.set_up()
            sent = time.time() - at
            answered = poll_until(lambda inbox=asked.messages_for, session=session: inbox(session), DEADLINE)
            if not answered:  # only a set-up that crosses the close of its connection needs no answer
                assert sent > GRACE_SECONDS, f"no answer to what was sent {sent:.3f} s after SIGTERM"
                assert asked.connection.ended.is_set() and asked.connection.ended_at < at + sent + CROSSING
                continue
            assert asked.messages_for(session)[0].status in (
                (200,) if sent <= REQUESTS_FOR else (200, *REFUSALS)
            )
        assert len(ends) > 1, "no connection was made after SIGTERM"
        end_report.join()
        wait_until(lambda: len(viewer.messages_for(established)) == 2, "the session's end was not reported")
        if out_until == "the end would come":
            time.sleep(max(0.0, at + GRACE_SECONDS + EXTRA_ANSWER_DELAY - time.time()))
            accept(waits)
        wait_until(lambda: len(viewer.messages_for(pending)) == 1, "the pending set-up has no answer")
        assert (
            viewer.messages_for(pending)[0].body == ANSWER and viewer.messages_for(established)[1].cause == 16
        )
        assert p.process is not None and p.process.wait(WAIT) == 0
        assert time.time() - at < KILL_AFTER
        for end in ends:
            assert end.connection.ended.wait(WAIT) and not end.connection.broken
        assert len(set_ups(p.hosts.values(), pending)) == 1
        p.names.wait_for_queries(1)  # the new name service was queried even if there was no time for its list
        if terminated == "once the list has come":
            assert p.hosts["h0"].count(b"SETUP") == drained


# The list after silence


def test_list_after_silence_applies_at_once_and_late_or_repeated_ones_change_nothing(
    tmp_path: Path,
) -> None:
    """During the silence one host left, one joined, and one joined and left; the older lists arrive last."""
    with platform(tmp_path, hosts=2) as p:
        names, viewer, questions = p.names, p.viewer(), list[bytes]()
        established = [new_session_id() for _ in range(6)]
        for session in established:
            viewer.set_up(session=session)
            assert viewer.wait(session).status == 200
        before, first_serial = dict(names.hosts), names.serial

        def silent(query: bytes, answer: bytes) -> None:
            questions.append(query)

        names.transform = silent
        left, stayed = p.hosts["h0"], p.hosts["h1"]
        passing, new = (p.hosts.setdefault(x, MediaHost()) for x in ("passing", "new"))
        between = {**before, "passing": (passing.address, 2, False)}
        names.publish(between)
        between_serial = names.serial
        names.publish({"h1": before["h1"], "new": (new.address, 2, False)})
        wait_until(lambda: len(questions) >= 5, "the name service got no queries")
        names.transform = lambda query, answer: answer
        names.reset_query_count()
        names.wait_for_queries(1)
        answered = time.time()
        while not new.count(b"SETUP"):
            assert time.time() < answered + LIST_WITHIN, "the new host was not used"
            assert viewer.wait(viewer.set_up(), within=1.0).status == 200
        at_left = left.count(b"SETUP")
        connections = list(new.connections) + list(stayed.connections)

        names.transform = silent  # a wrong list would remain applied
        for query in questions[-4:]:
            names.send(dns_answer(query, first_serial, before))
            names.send(dns_answer(query, between_serial, between))
            names.send(dns_answer(query, names.serial, names.hosts))
            names.send(dns_answer(query, names.serial, names.hosts))
            names.send(dns_answer(query, names.serial, before))
        wait_read(viewer)
        for _ in range(12):
            assert viewer.wait(viewer.set_up()).status == 200
        names.transform = lambda query, answer: answer
        names.reset_query_count()
        names.wait_for_queries(2)
        assert viewer.wait(viewer.set_up()).status == 200
        assert left.count(b"SETUP") == at_left and not passing.connections
        assert not any(x.ended.is_set() for x in connections)
        assert all(len(viewer.messages_for(x)) == 1 for x in established), "sessions are unaffected"
        assert not any(x.count(b"TEARDOWN") for x in (left, stayed, new))


# Killed


@pytest.mark.parametrize("killed", ["request in the backlog", "accepted, request unread", "asked at a host"])
def test_gateway_killed_after_accept_restarts_on_its_address_without_old_state(
    tmp_path: Path, killed: str
) -> None:
    responder = HoldingResponder()
    with platform(tmp_path, hosts=1, respond=responder, family_info__seats=[0, 1]) as p:
        host, before = p.hosts["h0"], p.viewer()
        established = before.set_up(b"paid")
        assert before.wait(established).status == 200
        lost = new_session_id()
        responder.sessions.add(lost)
        if killed == "request in the backlog":
            p.suspend()
            viewer = p.viewer()
        else:
            descriptors = p.open_descriptors()
            viewer = p.viewer()
            wait_until(lambda: p.open_descriptors() > descriptors, "the connection was not accepted")
            if killed == "accepted, request unread":
                p.suspend()
        viewer.set_up(session=lost)
        if killed == "asked at a host":
            first_set_up(p, lost)
        p.kill()
        assert viewer.connection.ended.wait(WAIT) and before.connection.ended.wait(WAIT)
        assert viewer.inbox.empty(), "nothing was answered"
        with pytest.raises(ConnectionRefusedError):
            p.viewer()
        asked_before = len(set_ups([host], lost))
        assert asked_before == (killed == "asked at a host")
        assert all(x.ended.wait(WAIT) for x in host.connections), "the pending set-up at the host is dropped"
        responder.sessions.clear()

        p.run()
        again = p.viewer()
        again.set_up(session=lost)
        assert again.wait(lost).body == ANSWER
        assert len(set_ups([host], lost)) == asked_before + 1
        seat = again.set_up(b"paid")
        assert again.wait(seat).status == 200, "the only seat is not taken by an old session"
        connection = set_ups([host], seat)[0].connection
        for session in (established, lost, seat):  # the first one is repeated from before the restart
            report_end(connection, session)
        assert again.wait(seat).cause == 16  # read after the others
        assert [x.cause for x in again.messages_for(lost)[1:]] == [16] and not again.messages_for(established)
        since = [x.message for x in host.received if not x.connection.ended.is_set()]
        assert not any(x.session == established for x in since), "not handed over, so not released"


# Requests in pieces


def paid(session: bytes) -> bytes:
    """A set-up that is sent to one host only, however late the answer."""
    return set_up(session, b"paid")


HEAD = paid(b"0" * 16).index(b"\r\n\r\n") + 4
WHOLE = len(paid(b"0" * 16))
CUTS = {"in its first line": 20, "in a field": HEAD - 60, "in the blank line": HEAD - 2,
        "before its body": HEAD, "in its body": HEAD + 30, "before its last byte": WHOLE - 1}  # fmt: skip


def reload(p: Platform) -> None:
    """Make the gateway reload its configuration, and wait until it uses it."""
    p.replace_name_service()
    p.signal(signal.SIGHUP)
    p.names.wait_for_queries(1)


def check_answered_once(p: Platform, viewer: ViewerEnd, probe: ViewerEnd, session: bytes) -> None:
    wait_until(lambda: viewer.messages_for(session), "no answer")  # two requests may be answered in any order
    wait_read(viewer)
    wait_read(probe)
    (answer,) = viewer.messages_for(session)
    assert (answer.status, answer.body) == (200, ANSWER)
    (asked,) = set_ups(p.hosts.values(), session)
    assert asked.message.body == DESCRIPTION
    assert asked.message.target == b"rtsp://media/7f3a9c21e0b4d655"
    assert asked.message.fields[b"x-tier"] == b"paid"


@pytest.mark.parametrize("cut", [*CUTS, "at every byte", "across two requests"])
def test_request_in_pieces_across_reloads_is_answered_once(tmp_path: Path, cut: str) -> None:
    """Each piece is read before the next is sent; the gateway reloads at the cut, or at several of them."""
    with platform(tmp_path, hosts=2) as p:
        viewer, probe = p.viewer(), p.viewer()
        sessions = [new_session_id() for _ in range(1 + (cut == "across two requests"))]
        wire = b"".join(map(paid, sessions))
        reloads = {CUTS[cut]} if cut in CUTS else set(CUTS.values())
        if cut == "across two requests":
            reloads = {HEAD + 30, WHOLE + HEAD + 30}
        cuts = sorted(set(range(1, len(wire))) if cut == "at every byte" else reloads)
        for start, end in zip([0, *cuts], [*cuts, len(wire)], strict=True):
            if start in reloads:
                reload(p)
            viewer.connection.send(wire[start:end])
            wait_read(probe)
        for session in sessions:
            check_answered_once(p, viewer, probe, session)


# A gateway without usable hosts


def expect_answer(p: Platform, status: Iterable[int], viewer: ViewerEnd | None = None) -> None:
    """Expect that a set-up is answered at once with one of these statuses."""
    asked = viewer or p.viewer()
    assert asked.wait(asked.set_up(), within=1.0).status in status


def seconds_until_served(p: Platform) -> float:
    """Seconds from the name service's next valid answer to the first success; until then requests are
    refused."""
    p.names.reset_query_count()
    p.names.wait_for_queries(1)
    started_at, viewer = time.time(), p.viewer()
    while True:
        status = viewer.wait(viewer.set_up(), within=1.0).status
        took = time.time() - started_at
        assert status in (200, *REFUSALS) and took < LIST_WITHIN
        if status == 200:
            return took


@contextmanager
def gateway_without_list(folder: Path, known: str) -> Iterator[Platform]:
    """A gateway that knows no host, or only a dead one, and whose name service is silent."""
    found = Platform(folder, given=settings())
    try:
        if known == "a dead host":
            dead = found.add("dead")
            dead.stop_listening()
        found.names.transform = lambda query, answer: None
        found.start()
        yield found
    finally:
        found.close()


@pytest.mark.parametrize("known", ["no host", "a dead host"])
def test_gateway_without_a_list_refuses_in_time_and_serves_once_it_arrives(
    tmp_path: Path, known: str
) -> None:
    (tmp_path / "other").mkdir()
    with platform(tmp_path / "other") as other, gateway_without_list(tmp_path, known) as p:
        viewer = p.viewer()
        for _ in range(4):
            expect_answer(other, [200])
            expect_answer(p, REFUSALS, viewer)
            expect_answer(p, REFUSALS)
            p.names.wait_for_queries(3)  # none is answered
        p.names.publish(dict(other.names.hosts))
        p.names.transform = lambda query, answer: answer
        took = seconds_until_served(p)
        expect_answer(p, [200], viewer)
        print(f"served {took:.3f} s after the first answer of the name service")


@pytest.mark.parametrize("then", ["drains on", "is gone"])
def test_gateway_whose_only_host_drains_refuses_in_time_and_serves_with_a_new_one(
    tmp_path: Path, then: str
) -> None:
    with platform(tmp_path, hosts=1) as p:
        viewer, old = p.viewer(), p.hosts["h0"]
        established = viewer.set_up()
        assert viewer.wait(established).status == 200
        p.publish_hosts(draining=("h0",))
        p.names.wait_for_queries(1)
        p.names.reset_query_count()
        p.names.wait_for_queries(2)
        drained = old.count(b"SETUP")
        for _ in range(4):
            expect_answer(p, REFUSALS, viewer)
            expect_answer(p, REFUSALS)
        new = p.hosts["h1"] = MediaHost()
        if then == "is gone":
            old.die()
        p.publish_hosts(draining=("h0",), without=("h0",) if then == "is gone" else ())
        took = seconds_until_served(p)
        expect_answer(p, [200], viewer)
        assert old.count(b"SETUP") == drained and new.count(b"SETUP") >= 2
        if then == "is gone":
            wait_until(lambda: len(viewer.messages_for(established)) == 2, "its session did not end")
            assert viewer.messages_for(established)[1].cause == 41
        else:
            assert len(viewer.messages_for(established)) == 1
        print(f"served {took:.3f} s after the answer that named the new host")


# A full listening socket


class AskingViewer:
    """A viewer in its own thread: it connects, sends one set-up, and records the status and the time
    taken."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._thread = threading.Thread(target=self._ask, daemon=True)
        self._status = 0
        self._took = math.inf
        self.sent = threading.Event()
        self._thread.start()

    def _ask(self) -> None:
        viewer = ViewerEnd(self._address)
        session, started_at = viewer.set_up(), time.time()
        self.sent.set()
        self._status = viewer.wait(session).status
        self._took = time.time() - started_at

    def answer(self) -> tuple[int, float]:
        """The status, and the seconds from the request to the answer."""
        self._thread.join(WAIT)
        return self._status, self._took


@contextmanager
def full_backlog(address: tuple[str, int]) -> Iterator[None]:
    """As many silent connections as the kernel accepts: the last one is not established."""
    silent: list[socket.socket] = []
    is_up = True
    try:
        while is_up:
            silent.append(socket.socket())
            silent[-1].setblocking(False)
            silent[-1].connect_ex(address)
            poll = select.poll()  # descriptors may exceed what `select.select` supports
            poll.register(silent[-1], select.POLLOUT)
            is_up = bool(poll.poll(CONNECT_TIMEOUT_MS))
        yield
    finally:
        for sock in silent:
            sock.close()


def unaccepted_connections(address: tuple[str, int]) -> int:
    """Number of connections to an address that have sent a SYN and got no answer yet."""
    remote = f":{address[1]:04X} 02 "
    return Path("/proc/net/tcp").read_text().count(remote)


@pytest.mark.long
def test_viewers_behind_a_full_backlog_of_silent_connections_are_answered_in_time(tmp_path: Path) -> None:
    """One viewer is ahead of them, some connect while the backlog is full, others while it is processed."""
    with platform(tmp_path, hosts=2) as p:
        p.suspend()
        ahead = AskingViewer(p.address)
        assert ahead.sent.wait(WAIT)
        with full_backlog(p.address):
            not_admitted = [AskingViewer(p.address) for _ in range(3)]
            wait_until(
                lambda: unaccepted_connections(p.address) > len(not_admitted), "the backlog is not full"
            )
            p.signal(signal.SIGCONT)
            coming = []
            for _ in range(8):
                coming.append(AskingViewer(p.address))
                time.sleep(VIEWER_INTERVAL)
            found = [x.answer() for x in (ahead, *not_admitted, *coming)]
            print("answered after", [round(took, 2) for _, took in found])
            assert all(status == 200 and took < DEADLINE for status, took in found), found
        expect_answer(p, [200])

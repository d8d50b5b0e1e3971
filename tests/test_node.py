"""The gateway process with viewers, hosts and a name service on real sockets, including misbehaving ones."""

from __future__ import annotations

import json
import queue
import re
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from otterglade.core.shutdown import FINAL_READ_SECONDS, GRACE_SECONDS
from otterglade.net.reactor import Reactor
from otterglade.node.config import load_config
from otterglade.node.gateway import Gateway
from otterglade.node.shutdown import POLL_SECONDS
from otterglade.wire import rtsp

from .platform import (
    ANSWER,
    DESCRIPTION,
    WAIT,
    MediaHost,
    NameService,
    Platform,
    Received,
    ViewerEnd,
    accept,
    dns_answer,
    fields,
    new_session_id,
    ping,
    platform,
    set_up,
    settings,
    start_process,
)  # fmt: skip


def refuse(status: int) -> Callable[[Received], None]:
    def respond(received: Received) -> None:
        if received.message.method == b"SETUP":
            received.connection.send(rtsp.response(status, fields(received.message)))

    return respond


def once(
    first: Callable[[Received], None], then: Callable[[Received], None] = accept
) -> Callable[[Received], None]:
    """Apply `first` to the first set-up of all hosts that share this, and `then` to all other messages."""
    lock, used = threading.Lock(), [False]

    def respond(received: Received) -> None:
        if received.message.method != b"SETUP":
            return then(received)
        with lock:
            mine, used[0] = not used[0], True
        return first(received) if mine else then(received)

    return respond


def set_ups(running: Platform) -> int:
    return sum(x.count(b"SETUP") for x in running.hosts.values())


def wait_for_any(hosts: Platform, method: bytes) -> tuple[MediaHost, Received]:
    """Wait for the first message of a method that any host receives."""
    until = time.time() + WAIT
    while time.time() < until:
        for host in hosts.hosts.values():
            for received in host.received:
                if received.message.method == method:
                    return host, received
        time.sleep(0.005)
    raise AssertionError(f"no {method!r} came")


# Sessions


def test_session_is_established_and_its_end_is_reported(tmp_path: Path) -> None:
    with platform(tmp_path) as p:
        viewer = p.viewer()
        session = viewer.set_up(b"paid")
        answer = viewer.wait(session)
        assert (answer.status, answer.body) == (200, ANSWER)
        _, received = wait_for_any(p, b"SETUP")
        sent = received.message
        assert sent.session == session and sent.body == DESCRIPTION and sent.fields[b"x-tier"] == b"paid"
        assert 1 <= int(sent.fields[b"rate-step"]) <= 2 and 0 < int(sent.fields[b"x-deadline"]) <= 2500
        release = [(b"CSeq", b"2"), (b"Session", session), (b"Reason", b"cause=16")]
        received.connection.send(rtsp.request(b"TEARDOWN", b"rtsp://media/exchange", release))
        over = viewer.wait(session, within=1.0)
        assert over.method == b"TEARDOWN" and over.cause == 16


def test_end_of_a_session_is_accepted_on_another_connection(tmp_path: Path) -> None:
    with platform(tmp_path, hosts=1) as p:
        viewer, host = p.viewer(), p.hosts["h0"]
        session = viewer.set_up()
        assert viewer.wait(session).status == 200
        received = host.wait(b"SETUP")
        with host.new_connection:
            while len(host.connections) < 2:  # the set-up's and the control connection
                assert host.new_connection.wait(WAIT)
        for connection in list(host.connections):
            connection.reset()
        known = len(host.connections)
        with host.new_connection:
            while len(host.connections) == known:
                assert host.new_connection.wait(WAIT), "no new connection to a host that holds a session"
        release = [(b"CSeq", b"2"), (b"Session", received.message.session), (b"Reason", b"cause=41")]
        host.connections[-1].send(rtsp.request(b"TEARDOWN", b"rtsp://media/exchange", release))
        assert viewer.wait(session, within=2.0).cause == 41


def test_viewer_may_leave_on_any_connection(tmp_path: Path) -> None:
    with platform(tmp_path, hosts=1) as p:
        viewer, host = p.viewer(), p.hosts["h0"]
        session = viewer.set_up()
        assert viewer.wait(session).status == 200
        leave = [(b"CSeq", b"2"), (b"Session", session), (b"Reason", b"cause=16")]
        p.viewer().connection.send(rtsp.request(b"TEARDOWN", b"rtsp://media/exchange", leave))
        received = host.wait(b"TEARDOWN")
        assert received.message.session == session and received.message.cause is not None


def test_sessions_of_a_terminated_host_are_released(tmp_path: Path) -> None:
    with platform(tmp_path, hosts=1) as p:
        viewer = p.viewer()
        session = viewer.set_up()
        assert viewer.wait(session).status == 200
        host = p.hosts["h0"]
        # The set-up's and the control connection: one accepted after the end would stay open.
        with host.new_connection:
            assert host.new_connection.wait_for(lambda: len(host.connections) >= 2, WAIT)
        host.die()
        assert viewer.wait(session, within=3.0).cause == 41


def test_unlisted_host_that_refuses_connections_is_gone_despite_an_open_one(
    tmp_path: Path,
) -> None:
    """It refuses connections but does not close all that it has, and the list does not contain it."""
    with platform(tmp_path, hosts=2) as p:
        viewer, host = p.viewer(), p.hosts["h0"]
        attrs = b"home:0;copies:3;top:2;viewer:00000000b4d65521;at:h0"
        sessions = [viewer.set_up(attrs=attrs, deadline=b"4294967")]
        while host.count(b"SETUP") < 2:
            sessions.append(viewer.set_up())
            assert viewer.wait(sessions[-1]).status == 200
        host.stop_listening()
        host.connections[0].reset()
        p.publish_hosts(without=("h0",))
        assert viewer.wait(sessions[0], within=3.0).cause == 41


@pytest.mark.long
def test_sessions_of_an_unreachable_host_are_released_in_time(tmp_path: Path) -> None:
    """The machine sends nothing and accepts no connection; its sessions are released within 8 s."""
    with platform(tmp_path, hosts=1) as p:
        viewer, host = p.viewer(), p.hosts["h0"]
        session = viewer.set_up()
        assert viewer.wait(session).status == 200
        host.become_unreachable()
        assert viewer.wait(session, within=8.0).cause == 41


def test_handed_over_session_is_tracked_once(tmp_path: Path) -> None:
    with platform(tmp_path, hosts=1) as p:
        viewer, host = p.viewer(), p.hosts["h0"]
        attrs = b"home:0;copies:3;top:2;viewer:00000000b4d65521;at:h0"
        session = viewer.set_up(attrs=attrs, deadline=b"4294967")
        viewer.set_up(session=session, attrs=attrs, deadline=b"4294967")
        with host.new_connection:
            while not host.connections:
                assert host.new_connection.wait(WAIT)
        release = [(b"CSeq", b"2"), (b"Session", session), (b"Reason", b"cause=16")]
        host.connections[0].send(rtsp.request(b"TEARDOWN", b"rtsp://media/exchange", release))
        assert viewer.wait(session).cause == 16
        with pytest.raises(queue.Empty):
            viewer.wait(session, within=0.3)


def test_host_and_viewer_end_a_session_at_the_same_time(tmp_path: Path) -> None:
    """The two TEARDOWNs cross: the session ends once, and its seat becomes free."""
    with platform(tmp_path, hosts=1, family_info__seats=[0, 1]) as p:
        viewer, host = p.viewer(), p.hosts["h0"]
        for _ in range(10):
            session = viewer.set_up(b"paid")
            assert viewer.wait(session).status == 200, "the seat of the one before is free"
            received = host.wait(b"SETUP")
            exchange = b"rtsp://media/exchange"
            over = [(b"CSeq", b"2"), (b"Session", session), (b"Reason", b"cause=16")]
            received.connection.send(rtsp.request(b"TEARDOWN", exchange, over))
            viewer.connection.send(rtsp.request(b"TEARDOWN", exchange, over))
            viewer.connection.send(ping(session))
            until = time.time() + WAIT
            while (message := viewer.inbox.get(timeout=until - time.time()).message).fields.get(
                b"cseq"
            ) != b"3":
                assert message.method == b"TEARDOWN" or message.status == 200
            time.sleep(0.05)  # the host's message may still be in flight
        assert p.process is not None and p.process.poll() is None


def test_release_is_sent_on_another_connection_if_the_viewers_own_is_closed(tmp_path: Path) -> None:
    with platform(tmp_path, hosts=1) as p:
        first, second, host = p.viewer(), p.viewer(), p.hosts["h0"]
        session = first.set_up()
        assert first.wait(session).status == 200
        other = second.set_up()
        assert second.wait(other).status == 200
        # The gateway closes its end once it has read the viewer's close; otherwise it may read the host's
        # TEARDOWN first, and send the release on the closing connection.
        first.connection.sock.shutdown(socket.SHUT_WR)
        assert first.connection.ended.wait(WAIT) and not first.connection.broken
        first.connection.close()
        received = host.wait(b"SETUP")
        release = [(b"CSeq", b"2"), (b"Session", session), (b"Reason", b"cause=16")]
        received.connection.send(rtsp.request(b"TEARDOWN", b"rtsp://media/exchange", release))
        assert second.wait(session, within=1.0).cause == 16


def test_hundreds_of_set_ups_on_one_connection_delay_no_other_viewer(tmp_path: Path) -> None:
    with platform(tmp_path) as p:
        flood, usual = p.viewer(), p.viewer()
        wire = b"".join(set_up(new_session_id()) for _ in range(600))
        threading.Thread(target=flood.connection.send, args=(wire,), daemon=True).start()
        flood.inbox.get(timeout=WAIT)
        started_at = time.time()
        assert usual.wait(usual.set_up(), within=1.0).status in (200, 503)
        assert time.time() - started_at < 0.5
        answered = 1
        while answered < 600:
            assert flood.inbox.get(timeout=WAIT).message.status in (200, 503)
            answered += 1


# Paid set-ups, and evidence that none ran


@pytest.mark.parametrize("status", [453, 454])
def test_paid_set_up_that_never_ran_is_retried(tmp_path: Path, status: int) -> None:
    respond = once(refuse(status))
    with platform(tmp_path, respond=respond) as p:
        viewer = p.viewer()
        assert viewer.wait(viewer.set_up(b"paid")).status == 200
        assert set_ups(p) == 2


@pytest.mark.parametrize("status", [500, 504, 302, 404])
def test_paid_set_up_that_may_have_run_fails_and_is_not_retried(tmp_path: Path, status: int) -> None:
    with platform(tmp_path, respond=refuse(status)) as p:
        viewer = p.viewer()
        answer = viewer.wait(viewer.set_up(b"paid"))
        assert answer.status not in (200, 453, 454, 503) and set_ups(p) == 1


def test_paid_set_up_on_a_reset_connection_fails_and_is_not_retried(tmp_path: Path) -> None:
    with platform(tmp_path, respond=lambda received: received.connection.reset()) as p:
        viewer = p.viewer()
        answer = viewer.wait(viewer.set_up(b"paid"))
        assert answer.status == 500 and set_ups(p) == 1


def test_session_that_a_broken_connection_may_have_set_up_is_released(tmp_path: Path) -> None:
    """The host may have set it up before the reset and would otherwise keep it."""
    broken: list[bytes] = []

    def respond(received: Received) -> None:
        if received.message.method == b"SETUP" and not broken:
            broken.append(received.message.session)
            received.connection.reset()
        else:
            accept(received)

    with platform(tmp_path, hosts=1, respond=respond) as p:
        viewer, host = p.viewer(), p.hosts["h0"]
        assert viewer.wait(viewer.set_up(b"paid")).status == 500
        until = time.time() + WAIT
        while time.time() < until:  # the breaker admits a free one after its delay
            viewer.wait(viewer.set_up())
            if [x for x in host.received if x.message.method == b"TEARDOWN" and x.message.session in broken]:
                return
            time.sleep(0.2)
        raise AssertionError("the session was not released")


def test_a_refused_connection_proves_that_nothing_ran(tmp_path: Path) -> None:
    with platform(tmp_path) as p:
        p.hosts["h0"].die()
        p.hosts["h1"].die()
        viewer = p.viewer()
        for _ in range(4):
            answer = viewer.wait(viewer.set_up(b"paid"))
            assert answer.status in (200, 503)


def test_unanswered_set_up_is_cancelled_before_the_viewers_deadline(tmp_path: Path) -> None:
    with platform(tmp_path, hosts=1, respond=lambda received: None) as p:
        viewer = p.viewer()
        started_at = time.time()
        session = viewer.set_up(b"paid", deadline=b"700")
        answer = viewer.wait(session)
        assert answer.status == 500 and time.time() - started_at < 0.75
        given_up = p.hosts["h0"].wait(b"TEARDOWN")
        assert given_up.message.session == session and given_up.message.cause is None
        assert set_ups(p) == 1


def test_release_before_the_answer_does_not_prove_that_nothing_ran(tmp_path: Path) -> None:
    def respond(received: Received) -> None:
        if received.message.method == b"SETUP":
            over = [*fields(received.message, b"2"), (b"Reason", b"cause=41")]
            received.connection.send(rtsp.request(b"TEARDOWN", b"rtsp://media/exchange", over))

    with platform(tmp_path, respond=respond) as p:
        viewer = p.viewer()
        assert viewer.wait(viewer.set_up(b"paid"), within=1.0).status == 500 and set_ups(p) == 1


def test_paid_set_up_is_not_sent_twice_when_new_connections_are_reset(tmp_path: Path) -> None:
    """Reset with the first message or before: it is resent only if no byte of it was accepted."""
    with platform(tmp_path) as p:
        for host in p.hosts.values():
            host.reset_on_accept = True
        viewer = p.viewer()
        for _ in range(6):
            session = viewer.set_up(b"paid")
            status = viewer.wait(session).status
            went = sum(x.message.session == session for host in p.hosts.values() for x in host.received)
            assert status in (500, 503) and went <= 1


def test_connection_that_is_never_established_proves_that_nothing_ran(tmp_path: Path) -> None:
    with platform(tmp_path, hosts=2) as p:
        p.hosts["h0"].become_unreachable()
        viewer = p.viewer()
        answers = [viewer.wait(viewer.set_up(b"paid")).status for _ in range(3)]
        assert set(answers) <= {200, 503} and 200 in answers


def test_refusal_is_immediate_and_says_when_to_retry(tmp_path: Path) -> None:
    with platform(tmp_path, respond=refuse(453)) as p:
        viewer = p.viewer()
        started_at = time.time()
        answer = viewer.wait(viewer.set_up(b"paid"))
        assert answer.status == 503 and time.time() - started_at < 0.5
        assert 0 < int(answer.fields[b"x-cooldown"]) <= 1000


def test_late_answer_is_released_and_not_used(tmp_path: Path) -> None:
    with platform(tmp_path, hosts=1, respond=lambda received: None) as p:
        viewer, host = p.viewer(), p.hosts["h0"]
        session = viewer.set_up(b"paid", deadline=b"400")
        received = host.wait(b"SETUP")
        assert viewer.wait(session).status == 500
        # Wait for it before answering: the release uses another connection, whose thread could be faster.
        assert host.wait(b"TEARDOWN").message.cause is None
        accept(received)
        assert host.wait(b"TEARDOWN").message.cause is not None
        with pytest.raises(queue.Empty):
            viewer.wait(session, within=0.2)


def test_withdrawn_set_up_is_cancelled_at_its_host(tmp_path: Path) -> None:
    with platform(tmp_path, hosts=1, respond=lambda received: None) as p:
        viewer, host = p.viewer(), p.hosts["h0"]
        session = viewer.set_up()
        host.wait(b"SETUP")
        give_up = [(b"CSeq", b"2"), (b"Session", session)]
        viewer.connection.send(rtsp.request(b"TEARDOWN", b"rtsp://media/exchange", give_up))
        assert host.wait(b"TEARDOWN").message.session == session
        with pytest.raises(queue.Empty):
            viewer.wait(session, within=0.3)


# Malformed answers


def _malformed(wire: Callable[[Received], bytes]) -> Callable[[Received], None]:
    def respond(received: Received) -> None:
        if received.message.method == b"SETUP":
            received.connection.send(wire(received))

    return respond


def _length(received: Received, length: int, body: bytes = ANSWER) -> bytes:
    whole = rtsp.response(200, fields(received.message), body)
    return whole.replace(b"Content-Length: %d" % len(body), b"Content-Length: %d" % length)


MALFORMED_ANSWERS: dict[str, Callable[[Received], bytes]] = {
    "noise": lambda received: bytes(range(256)) * 4,
    "endless line": lambda received: b"RTSP/1.0 200 " + b"x" * 40000,
    "3 GB": lambda received: _length(received, 3_000_000_000) + b"y" * 100_000,
    "too short a length": lambda received: _length(received, len(ANSWER) - 9),
    "a length that ends with a line": lambda received: _length(received, 18),
    "too long a length, filled by a note": lambda received: _length(received, len(ANSWER) + 40)
    + rtsp.request(b"ANNOUNCE", b"rtsp://media/exchange", fields(received.message, b"4")),
    "negative length": lambda received: _length(received, -5),
    "two lengths": lambda received: rtsp.response(
        200, [*fields(received.message), (b"Content-Length", b"3")], ANSWER
    ),
    "no description": lambda received: rtsp.response(200, fields(received.message)),
    "bare line feeds": lambda received: rtsp.response(200, fields(received.message), ANSWER).replace(
        b"\r\n", b"\n"
    ),
}  # fmt: skip


@pytest.mark.parametrize("kind", MALFORMED_ANSWERS)
def test_malformed_answer_is_not_passed_on(tmp_path: Path, kind: str) -> None:
    with platform(tmp_path, respond=_malformed(MALFORMED_ANSWERS[kind])) as p:
        viewer = p.viewer()
        assert viewer.wait(viewer.set_up(b"paid")).status == 500
        assert set_ups(p) == 1


def test_malformed_answer_affects_no_other_set_up(tmp_path: Path) -> None:
    """Each set-up has its own connection, so that a malformed answer ends only its own."""
    first = threading.Event()

    def respond(received: Received) -> None:
        if received.message.method != b"SETUP":
            return
        if not first.is_set():
            first.set()
            waiting.append(received)
        else:
            accept(waiting[0])
            received.connection.send(b"\xff" * 100)

    waiting: list[Received] = []
    with platform(tmp_path, hosts=1, respond=respond) as p:
        viewer = p.viewer()
        one = viewer.set_up(b"paid")
        assert first.wait(WAIT)
        two = viewer.set_up(b"paid")
        assert viewer.wait(one).status == 200
        viewer = p.viewer()
        assert two != one


def test_incomplete_answer_swallows_no_release(tmp_path: Path) -> None:
    """Messages after it would be read as the rest of its body until the set-up times out. The connection is
    soon treated as malformed, and the host gets a new one for its messages."""
    first = threading.Event()

    def respond(received: Received) -> None:
        if received.message.method == b"SETUP" and first.is_set():
            received.connection.send(_length(received, len(ANSWER) + 2000))
        elif received.message.method == b"SETUP":
            accept(received)

    with platform(tmp_path, hosts=1, respond=respond) as p:
        viewer, host = p.viewer(), p.hosts["h0"]
        session = viewer.set_up()
        assert viewer.wait(session).status == 200
        first.set()
        known = len(host.connections)
        stuck = viewer.set_up(b"paid")
        started_at = time.time()
        assert viewer.wait(stuck).status == 500 and time.time() - started_at < 1.0
        with host.new_connection:
            while len(host.connections) == known:
                assert host.new_connection.wait(1.0), "no new connection"
        release = [(b"CSeq", b"2"), (b"Session", session), (b"Reason", b"cause=16")]
        host.connections[-1].send(rtsp.request(b"TEARDOWN", b"rtsp://media/exchange", release))
        assert viewer.wait(session, within=1.0).cause == 16


def test_duplicate_and_foreign_answers_are_ignored(tmp_path: Path) -> None:
    def respond(received: Received) -> None:
        if received.message.method == b"SETUP":
            other = rtsp.response(200, [(b"CSeq", b"1"), (b"Session", new_session_id())], ANSWER)
            whole = rtsp.response(200, fields(received.message), ANSWER)
            received.connection.send(other + whole + whole)

    with platform(tmp_path, hosts=1, respond=respond) as p:
        viewer = p.viewer()
        session = viewer.set_up(b"paid")
        assert viewer.wait(session).body == ANSWER
        with pytest.raises(queue.Empty):
            viewer.wait(session, within=0.2)
        assert viewer.wait(viewer.set_up(b"paid")).status == 200


# Hostile viewers


def wrong_length(length: bytes) -> bytes:
    return re.sub(rb"Content-Length: \d+", b"Content-Length: " + length, set_up(new_session_id()))


MALFORMED_REQUESTS: dict[str, Callable[[], bytes]] = {
    "noise": lambda: b"\x00\xff" * 3000,
    "no end": lambda: b"SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nX-A: " + b"a" * 70000,
    "no end of fields": lambda: b"SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\n" + b"X: a\r\n" * 20000,
    "huge body": lambda: set_up(new_session_id(), body=DESCRIPTION * 500),
    "wrong length": lambda: wrong_length(b"20"),
    "negative length": lambda: wrong_length(b"-1"),
    "length of 60 MB": lambda: wrong_length(b"60000000") + b"z" * 300_000,
    "no such class": lambda: set_up(new_session_id(), b"nobody"),
    "no id": lambda: set_up(b""),
    "no number": lambda: set_up(new_session_id(), deadline=b"soon"),
    "negative deadline": lambda: set_up(new_session_id(), deadline=b"-5"),
    "endless deadline": lambda: set_up(new_session_id(), deadline=b"9" * 40),
    "hint of no number": lambda: set_up(new_session_id(), hint=b"nan"),
    "home off the cells": lambda: set_up(new_session_id(), attrs=b"home:99;copies:3;top:2"),
    "rung off the ladder": lambda: set_up(new_session_id(), attrs=b"home:0;copies:3;top:77"),
    "no copies": lambda: set_up(new_session_id(), attrs=b"home:0;copies:0;top:2"),
    "no attributes": lambda: set_up(new_session_id(), attrs=b""),
    "title of no digits": lambda: set_up(new_session_id(), title=b"../../etc/passwd"),
    "description of noise": lambda: set_up(new_session_id(), body=b"\x00\x01\x02" * 20),
    "half a request": lambda: set_up(new_session_id())[:60],
    "nothing": lambda: b"",
    "an unknown method": lambda: rtsp.request(b"PLAY", b"rtsp://media/x", [(b"CSeq", b"9")]),
    "a release of nobody's": lambda: rtsp.request(
        b"TEARDOWN", b"rtsp://media/exchange", [(b"CSeq", b"2"), (b"Session", new_session_id())]
    ),
    "two under one id": lambda: (lambda s: set_up(s) + set_up(s, body=ANSWER))(new_session_id()),
}  # fmt: skip


def test_malformed_requests_get_an_error_or_a_close(tmp_path: Path) -> None:
    with platform(tmp_path) as p:
        started_at, ends = time.time(), {}
        for kind, wire in MALFORMED_REQUESTS.items():
            ends[kind] = ViewerEnd(p.address)
            threading.Thread(target=ends[kind].connection.send, args=(wire(),), daemon=True).start()
        usual = p.viewer()
        assert usual.wait(usual.set_up(), within=1.0).status == 200
        for kind, end in ends.items():
            left = started_at + 3.0 - time.time()
            try:
                answer = end.inbox.get(timeout=max(0.001, left)).message
                assert answer.status >= 400, kind
            except queue.Empty:
                assert end.connection.ended.wait(max(0.1, left)), kind
            assert b"RTSP/1.0 200" not in end.connection.raw, kind
        assert p.process is not None and p.process.poll() is None


def test_malformed_set_ups_never_reach_a_host(tmp_path: Path) -> None:
    with platform(tmp_path) as p:
        for kind, wire in MALFORMED_REQUESTS.items():
            if kind != "two under one id":
                ViewerEnd(p.address).connection.send(wire())
        viewer = p.viewer()
        assert viewer.wait(viewer.set_up()).status == 200
        assert set_ups(p) == 1


def test_hundreds_of_silent_connections_keep_no_viewer_out(tmp_path: Path) -> None:
    with platform(tmp_path) as p:
        silent = [socket.create_connection(p.address, timeout=WAIT) for _ in range(400)]
        viewer = p.viewer()
        assert viewer.wait(viewer.set_up(), within=1.0).status == 200
        for sock in silent:
            assert sock.recv(1) == b""
            sock.close()


def test_hundreds_of_withdrawn_set_ups_leave_nothing_pending(tmp_path: Path) -> None:
    def respond(received: Received) -> None:
        if received.message.fields.get(b"x-tier") == b"paid":
            accept(received)

    with platform(tmp_path, respond=respond) as p:
        back = []
        for _ in range(300):
            session = new_session_id()
            give_up = [(b"CSeq", b"2"), (b"Session", session)]
            back.append(set_up(session) + rtsp.request(b"TEARDOWN", b"rtsp://media/exchange", give_up))
        end = ViewerEnd(p.address)
        end.connection.send(b"".join(back))
        viewer = p.viewer()
        assert viewer.wait(viewer.set_up(b"paid"), within=2.0).status == 200
        assert end.connection.ended.wait(3.0)


# The name service


def assert_host_unused(p: Platform, name: str, times: int = 6) -> None:
    """Viewers are served, and this host gets no set-up."""
    viewer = p.viewer()
    for _ in range(times):
        assert viewer.wait(viewer.set_up()).status == 200
    assert p.hosts[name].count(b"SETUP") == 0


def test_draining_host_gets_no_set_up(tmp_path: Path) -> None:
    with platform(tmp_path, hosts=2) as p:
        p.publish_hosts(draining=("h0",))
        p.names.queries.acquire(timeout=WAIT)
        p.names.wait_for_queries(3)
        assert_host_unused(p, "h0", 8)


BAD_DNS_ANSWERS: dict[str, Callable[[bytes, bytes], bytes | None]] = {
    "lost": lambda query, answer: None,
    "cut short": lambda query, answer: answer[:2] + b"\x86\x00" + answer[4:],
    "an error": lambda query, answer: query[:2] + b"\x84\x02" + query[4:],
    "another id": lambda query, answer: bytes((answer[0] ^ 1,)) + answer[1:],
    "half": lambda query, answer: answer[: len(answer) // 2],
    "noise": lambda query, answer: query[:2] + b"\x84\x00" + b"\xc0\x0c" * 50,
}


@pytest.mark.parametrize("kind", BAD_DNS_ANSWERS)
def test_invalid_dns_answer_is_queried_again_at_once(tmp_path: Path, kind: str) -> None:
    with platform(tmp_path, hosts=2) as p:
        left = [2]

        def transform(query: bytes, answer: bytes) -> bytes | None:
            left[0] -= 1
            return BAD_DNS_ANSWERS[kind](query, answer) if left[0] >= 0 else answer

        p.names.wait_for_queries(1)
        p.names.transform = transform
        started_at = time.time()
        p.publish_hosts(without=("h1",))
        while left[0] > -1:
            p.names.wait_for_queries(1)
        assert time.time() - started_at < 1.5  # by then a change counts as announced
        p.names.wait_for_queries(1)
        assert_host_unused(p, "h1")


def test_dns_answer_from_another_address_is_ignored(tmp_path: Path) -> None:
    with platform(tmp_path, hosts=2) as p:
        forger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        forger.bind(("127.0.0.1", 0))
        none_left = p.names.serial + 50

        def transform(query: bytes, answer: bytes) -> bytes:
            forger.sendto(dns_answer(query, none_left, {}), p.names.peer)
            return answer

        p.names.transform = transform
        p.names.wait_for_queries(4)
        viewer = p.viewer()
        assert viewer.wait(viewer.set_up()).status == 200
        forger.close()


@pytest.mark.long
def test_list_is_applied_at_once_after_three_seconds_of_silence(tmp_path: Path) -> None:
    with platform(tmp_path, hosts=2) as p:
        until = time.time() + 3.0
        p.names.transform = lambda query, answer: answer if time.time() > until else None
        p.publish_hosts(without=("h1",))
        while time.time() < until:
            p.names.wait_for_queries(1)
        p.names.wait_for_queries(2)
        assert time.time() < until + 1.5  # by then the content of a valid answer counts as announced
        assert_host_unused(p, "h1")


def test_older_list_is_never_applied(tmp_path: Path) -> None:
    with platform(tmp_path, hosts=2) as p:
        both = dict(p.names.hosts)
        p.publish_hosts(draining=("h1",))
        p.names.wait_for_queries(4)
        old = p.names.serial - 1
        p.names.transform = lambda query, answer: dns_answer(query, old, both)
        p.names.wait_for_queries(4)
        assert_host_unused(p, "h1")


def test_new_host_at_a_reused_address_is_a_different_host(tmp_path: Path) -> None:
    with platform(tmp_path, hosts=1) as p:
        viewer, host = p.viewer(), p.hosts["h0"]
        session = viewer.set_up()
        assert viewer.wait(session).status == 200
        p.names.publish({"h9": (host.address, 0, False)})
        assert viewer.wait(session, within=3.0).cause == 41
        later = viewer.set_up()
        assert viewer.wait(later).status == 200


# Reload and shutdown


def test_reload_changes_the_name_service(tmp_path: Path) -> None:
    with platform(tmp_path, hosts=2) as p:
        old, p.names = p.names, NameService()
        p.names.serial = old.serial
        p.path.write_text("{ half a file")
        p.signal(signal.SIGHUP)
        p.names.hosts = old.hosts
        p.publish_hosts(draining=("h0",))
        config = p.config()
        new = p.folder / "new"
        new.write_text(json.dumps(config))
        new.replace(p.path)
        p.signal(signal.SIGHUP)
        p.names.wait_for_queries(3)
        assert_host_unused(p, "h0")
        old.close()


def test_requests_are_answered_after_sigterm_and_the_exit_code_is_zero(tmp_path: Path) -> None:
    with platform(tmp_path) as p:
        open_before = p.viewer()
        session = open_before.set_up()
        assert open_before.wait(session).status == 200
        p.signal(signal.SIGTERM)
        p.signal(signal.SIGTERM)
        new = p.viewer()
        assert new.wait(new.set_up(), within=1.0).status == 200
        assert open_before.wait(open_before.set_up(), within=1.0).status == 200
        assert p.process is not None and p.process.wait(WAIT) == 0


def test_exit_waits_for_pending_set_ups(tmp_path: Path) -> None:
    with platform(tmp_path, hosts=1, respond=lambda received: None) as p:
        viewer = p.viewer()
        session = viewer.set_up(b"paid", deadline=b"2000")
        p.hosts["h0"].wait(b"SETUP")
        p.signal(signal.SIGTERM)
        assert viewer.wait(session).status == 500
        assert p.process is not None and p.process.wait(WAIT) == 0


def test_requests_and_signals_after_sigterm_are_handled_during_the_grace_period(tmp_path: Path) -> None:
    with platform(tmp_path) as p:
        open_before = p.viewer()
        assert open_before.wait(open_before.set_up()).status == 200
        p.signal(signal.SIGTERM)
        until = time.time() + 0.6
        while time.time() < until:
            p.signal(signal.SIGHUP)
            assert open_before.wait(open_before.set_up(), within=1.0).status == 200
            p.signal(signal.SIGTERM)
        assert p.process is not None and p.process.wait(WAIT) == 0


def test_exit_waits_for_buffered_input_and_unsent_answers(tmp_path: Path) -> None:
    found, now = Platform(tmp_path, given=settings()), [time.time()]
    found.configure()
    reactor = Reactor(lambda: now[0])
    gateway = Gateway(load_config(str(found.path)), str(found.path), reactor, lambda text: None)
    peer = socket.create_connection(found.address)
    while not gateway.frontend.viewers:
        reactor.run_once(0.1)
    (viewer,) = gateway.frontend.viewers
    gateway.handle_signal(signal.SIGTERM)
    shutdown, sent = gateway.shutdown, 0
    assert shutdown is not None
    while not viewer.channel.unsent_bytes:
        viewer.channel.send(b"x" * 65536)
        sent += 65536
    now[0] += GRACE_SECONDS + 0.5
    reactor.run_once(0.0)
    assert shutdown.has_pending_work(now[0]) and reactor.running, "an answer is only partly sent"
    assert not shutdown.has_pending_work(shutdown.schedule.answers_due_at), (
        "a peer that never reads does not delay the exit"
    )
    while sent:
        reactor.run_once(0.0)
        sent -= len(peer.recv(1 << 20))
    reactor.defer(viewer.channel)
    assert shutdown.has_pending_work(now[0]), "input is read but not handled"
    reactor.run_once(0.0)
    assert not shutdown.has_pending_work(now[0])
    now[0] += POLL_SECONDS
    reactor.run_once(0.0)
    peer.settimeout(WAIT)
    assert reactor.running and peer.recv(1) == b"", "writing is shut down, reading continues"
    now[0] += FINAL_READ_SECONDS
    reactor.run_once(0.0)
    assert not reactor.running
    peer.close()
    found.close()


@pytest.mark.parametrize(
    ("change", "named"),
    [({"listen": "nowhere"}, "listen"), ({"settings": 3}, "settings"), ({"known": None}, "known")],
)
def test_error_for_an_invalid_configuration_names_the_field(
    tmp_path: Path, change: dict[str, object], named: str
) -> None:
    config = Platform(tmp_path).config() | {"listen": "127.0.0.1:1"} | change
    (tmp_path / "config.json").write_text(json.dumps(config))
    process = start_process(tmp_path / "config.json", tmp_path / "log")
    assert process.wait(WAIT) == 2
    text = (tmp_path / "log").read_text()
    assert named in text and text.count("\n") == 1


def test_process_imports_only_the_standard_library(tmp_path: Path) -> None:
    code = (
        "import sys, otterglade.node.gateway as g; print([x for x in sys.modules if x.split('.')[0] in"
        " ('click', 'msgspec', 'structlog', 'asyncio', 'logging', 'starlark')])"
    )
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert found.stdout.strip() == "[]"


def test_options_request_is_answered(tmp_path: Path) -> None:
    with platform(tmp_path) as p:
        viewer = p.viewer()
        viewer.connection.send(ping(b"00000000000000aa"))
        assert viewer.wait(b"00000000000000aa").status == 200
        assert settings()["family"] == "streams"

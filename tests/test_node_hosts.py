"""Connections to hosts whose kernel accepts no more bytes, and random changes to bytes on all sides."""

from __future__ import annotations

import random
import socket
import time
from pathlib import Path

import pytest

from otterglade.core import interface as api
from otterglade.net.reactor import Reactor
from otterglade.node import messages
from otterglade.node.discovery import Discovery
from otterglade.node.host_links import Attempt
from otterglade.node.hosts import Host, HostPool
from otterglade.wire import rtsp

from .platform import (
    ANSWER,
    DESCRIPTION,
    NameService,
    Received,
    fields,
    new_session_id,
    platform,
    set_up,
)


class RecordingOwner:
    """Records ended attempts; no other event is expected."""

    def __init__(self) -> None:
        self.ended: list[tuple[int, int, api.Outcome]] = []

    def is_wanted(self, number: int) -> bool:
        return True

    def session_established(self, number: int, attempt: int, description: bytes) -> None:
        raise AssertionError("unexpected answer")

    def attempt_ended(self, number: int, attempt: int, outcome: api.Outcome, load: api.Load | None) -> None:
        self.ended.append((number, attempt, outcome))

    def note_received(self, server: int, number: int | None, message: rtsp.Message) -> None:
        raise AssertionError("unexpected note")

    def rung_reported(self, number: int, rung: int) -> None:
        raise AssertionError("unexpected rung")

    def probe_answered(self, server: int, outcome: api.Outcome, took: float, load: api.Load | None) -> None:
        raise AssertionError("unexpected probe")


def unresponsive_host() -> tuple[Reactor, Host, RecordingOwner, socket.socket]:
    """A host whose kernel completes connections, and whose process never reads."""
    sock = socket.create_server(("127.0.0.1", 0))
    reactor, owner = Reactor(), RecordingOwner()
    hosts = HostPool(reactor, owner, 0.25, 32, lambda text: None)
    hosts.apply_host_list({0: ("h0", sock.getsockname(), 0.0, False)})
    return reactor, hosts.by_number[0], owner, sock


def attempt(number: int) -> Attempt:
    session = new_session_id()
    return Attempt(number, 0, session, messages.setup_request(session, b"paid", "a", DESCRIPTION, 1, 2.0))


@pytest.mark.parametrize("accepted", [False, True])
def test_attempt_behind_unsent_bytes_is_cancelled_by_closing_the_connection(accepted: bool) -> None:
    """Until then it is pending and the core must not send another: its end is reported once, with the
    close."""
    reactor, host, owner, sock = unresponsive_host()
    first = attempt(1)
    host.start_attempt(first)
    assert first.link is not None
    channel = first.link.channel
    while not channel.is_connected:
        reactor.run_once(0.05)
    if not accepted:  # the kernel's buffer is full before the set-up that is cancelled
        host.cancel_attempt(first.session, late=False)
        first, owner.ended = attempt(2), []
    while not channel.unsent_bytes:
        channel.send(b"x" * 4096)
    if not accepted:
        first.link, first.offset = host.links[0], channel.bytes_queued
        host.attempts[first.session] = host.links[0].attempts[first.session] = first
        channel.send(first.message)
    host.cancel_attempt(first.session, late=True)
    assert channel.closed and not host.attempts and host.links == []
    proof = api.Outcome.TIMED_OUT if accepted else api.Outcome.REFUSED
    assert owner.ended == [(first.number, 0, proof)]
    sock.close()


def test_set_up_on_a_connection_that_had_ended_unnoticed_is_sent_on_another() -> None:
    """No byte of it was accepted: the same attempt is resent, and the core is not notified."""
    reactor, host, owner, sock = unresponsive_host()
    first = attempt(1)
    host.start_attempt(first)
    assert first.link is not None
    old = first.link
    while not old.channel.is_connected:
        reactor.run_once(0.05)
    host.cancel_attempt(first.session, late=False)
    owner.ended.clear()
    accepted, _ = sock.accept()
    second = attempt(2)
    accepted.close()  # with unread bytes: a reset, which the gateway has not read yet
    until = time.time() + 5.0
    while not old.channel.is_stale() and time.time() < until:
        time.sleep(0.001)
    host.start_attempt(second)
    assert second.link is not None and second.link is not old
    while not second.link.channel.is_connected:
        reactor.run_once(0.05)
    again, _ = sock.accept()
    assert second.session in again.recv(4096) and not owner.ended
    for one in (again, sock):
        one.close()


def test_query_sent_on_a_reopened_socket_is_remembered() -> None:
    """The first query after the name service was unreachable: its answer is accepted like any other."""
    service, reactor, owner = NameService(), Reactor(), []
    service.hosts = {"h0": (("127.0.0.1", 9), 0, False)}
    names = Discovery(reactor, service.address, 0, owner.append, lambda text: None)
    assert names._sock is not None
    reactor.unwatch(names._sock.fileno())
    names._sock.close()
    names._sock = None
    names.query()
    until = time.time() + 0.1  # before the next periodic query
    while not owner and time.time() < until:
        reactor.run_once(0.01)
    assert [x.hosts[0].name for x in owner] == ["h0"]
    service.close()


def corrupted(wire: bytes, rng: random.Random) -> bytes:
    """Randomly overwrite, delete, duplicate, insert or truncate bytes."""
    data = bytearray(wire)
    for _ in range(rng.choice((0, 1, 1, 2, 5))):
        at = rng.randrange(len(data))
        match rng.randrange(5):
            case 0:
                data[at] = rng.randrange(256)
            case 1:
                del data[at : at + rng.randrange(1, 20)]
            case 2:
                data[at:at] = data[at : at + rng.randrange(1, 40)]
            case 3:
                data[at:at] = rng.choice((b"\r\n", b"\r\n\r\n", b"Session: ", b"-1", b"99999999999", b"\0"))
            case 4:
                del data[at:]
        if not data:
            break
    return bytes(data)


@pytest.mark.parametrize("seed", range(3))
def test_randomly_changed_bytes_end_only_their_connection(tmp_path: Path, seed: int) -> None:
    rng = random.Random(seed)

    def respond(received: Received) -> None:
        if received.message.method != b"SETUP":
            return
        wire = rtsp.response(200, fields(received.message), ANSWER)
        if received.message.fields.get(b"x-tier") == b"free":
            release = [*fields(received.message, b"2"), (b"Reason", b"cause=16")]
            wire += rtsp.request(b"TEARDOWN", b"rtsp://media/exchange", release)
            note = [*fields(received.message, b"4"), (b"X-Outcome", b"rung"), (b"Figure", b"1")]
            wire = corrupted(wire + rtsp.request(b"ANNOUNCE", b"rtsp://media/exchange", note), rng)
        received.connection.send(wire)

    with platform(tmp_path, respond=respond) as p:
        for _ in range(120):
            viewer = p.viewer()
            session = new_session_id()
            leave = rtsp.request(
                b"TEARDOWN", b"rtsp://media/exchange", [(b"CSeq", b"2"), (b"Session", session)]
            )
            viewer.connection.send(corrupted(set_up(session) + leave, rng))
            viewer.connection.send(corrupted(set_up(new_session_id()), rng))
            if rng.random() < 0.5:
                viewer.connection.reset()
        assert p.process is not None and p.process.poll() is None, p.log()
        usual = p.viewer()
        for _ in range(20):  # hosts are avoided for a while after their answers to the others
            answer = usual.wait(usual.set_up(b"paid"))
            if answer.status == 200:
                break
            time.sleep(0.2)
        assert answer.status == 200 and "Traceback" not in p.log()

"""The HTTP side of a control machine: opens sealed requests, hands them to the decision thread, and waits.

    POST /v1/revisions/read       held until there is a later revision, or the reader's wait is over
    POST /v1/revisions/part       a part of a transfer
    POST /v1/revisions/store      the writer's candidate, answered once it is durable
    POST /v1/revisions/propose    answered once it is accepted or refused
    GET  /v1/status, /healthz     for operators

Every method runs on the thread of the connection.
"""

from __future__ import annotations

import itertools
import threading
import time
from collections.abc import Callable
from typing import TypeVar

import msgspec

from ...core.distribution.messages import (
    MessageError,
    PartRequest,
    ProposeRequest,
    ReadRequest,
    StoreRequest,
)
from ...core.distribution.relay import MAX_WAIT_SECONDS
from ...net.http import Exchange, Timeouts, serve
from ...net.listener import Address
from ...net.stream import Stream
from ...wire import http1
from .envelope import MOST_SEALED_BYTES, Envelope, EnvelopeError
from .events import (
    Event,
    EventQueue,
    PartAsked,
    ProposeAsked,
    ReadAsked,
    ReaderGone,
    ReplySlot,
    StatusAsked,
    StoreAsked,
)
from .exchange import PART_PATH, PROPOSE_PATH, READ_PATH, STATUS_PATH, STORE_PATH

HEALTH_PATH = b"/healthz"
LIMITS = http1.Limits(body=MOST_SEALED_BYTES)
TIMEOUTS = Timeouts(idle=60.0, head=5.0, body=30.0, send=10.0)
REPLY_SECONDS = 10.0
"""For the decision thread to reply to anything that is not held."""
PROPOSE_SECONDS = 15.0
"""For a proposal to be accepted or refused; after that its proposer is told to ask again."""
GONE_POLL_SECONDS = 1.0
"""Between two looks at whether a reader that waits is still connected."""
PLAIN = (b"Content-Type", b"text/plain; charset=utf-8")
JSON = (b"Content-Type", b"application/json")
SEALED = (b"Content-Type", b"application/octet-stream")

Reply = TypeVar("Reply")
Message = TypeVar("Message", bound=msgspec.Struct)


class NotReadyError(Exception):
    """No reply: the machine stops, is overloaded, or does not answer in time."""


class ReaderClosedError(Exception):
    """The reader closed its connection while it waited."""


class Service:
    """Serves the connections of one control machine."""

    def __init__(self, envelope: Envelope, events: EventQueue, most_readers: int) -> None:
        """`most_readers`: connections that may read at once; others may still propose, store and ask."""
        self._envelope, self._events, self._most_readers = envelope, events, most_readers
        self._reading: set[int] = set()
        """Numbers of the connections that read."""
        self._lock = threading.Lock()
        self._numbers = itertools.count(1)
        self.stopping = False
        self.requests = self.refused = self.bytes_in = self.bytes_out = 0
        """Bytes of sealed bodies. Counted by many threads without a lock, and so at times one too few."""

    def serve(self, stream: Stream, peer: Address, first: bytes) -> None:
        """Serve a connection until it ends, and say which readers it had."""
        connection = _Connection(self, next(self._numbers))
        try:
            serve(stream, peer, connection.handle, TIMEOUTS, LIMITS, lambda: self.stopping, first)
        finally:
            with self._lock:
                self._reading.discard(connection.number)
            for name, run in connection.readers:
                self._events.put(ReaderGone(name, run, connection.number))

    def admit_reader(self, connection: int) -> None:
        """Raises NotReadyError where as many connections read as may."""
        with self._lock:
            if connection not in self._reading and len(self._reading) >= self._most_readers:
                raise NotReadyError(f"{self._most_readers} readers are connected")
            self._reading.add(connection)

    def ask(self, event: Event, slot: ReplySlot[Reply], seconds: float) -> Reply:
        """Hand in an event and wait for its reply. Raises NotReadyError."""
        self.offer(event)
        if not slot.wait(seconds):
            slot.abandoned = True
            raise NotReadyError("no reply in time")
        return told(slot)

    def offer(self, event: Event) -> None:
        """Hand in an event. Raises NotReadyError."""
        if self.stopping or not self._events.offer(event):
            raise NotReadyError("stopping" if self.stopping else "too many requests wait")

    def open(self, body: bytes, message_type: type[Message]) -> Message:
        """The message of a body. Raises MessageError."""
        self.requests += 1
        self.bytes_in += len(body)
        return self._envelope.open(body, message_type)

    def seal(self, message: msgspec.Struct) -> bytes:
        """The body of an answer."""
        body = self._envelope.seal(message)
        self.bytes_out += len(body)
        return body


def told(slot: ReplySlot[Reply]) -> Reply:
    """The reply that was told. Raises NotReadyError where there is none."""
    if slot.reply is None:
        raise NotReadyError(slot.reason)
    return slot.reply


class _Connection:
    """One connection, and the readers that it was used by."""

    def __init__(self, service: Service, number: int) -> None:
        self._service, self.number = service, number
        self.readers: set[tuple[str, str]] = set()
        self._routes: dict[tuple[bytes, bytes], Callable[[Exchange], bytes]] = {
            (b"POST", READ_PATH): self._read,
            (b"POST", PART_PATH): self._part,
            (b"POST", STORE_PATH): self._store,
            (b"POST", PROPOSE_PATH): self._propose,
            (b"GET", STATUS_PATH): self._status,
            (b"GET", HEALTH_PATH): lambda exchange: exchange.reply(200, [PLAIN], b"ok\n"),
        }

    def handle(self, exchange: Exchange) -> bytes | None:
        """One request."""
        route = self._routes.get((exchange.request.method, exchange.request.target))
        if route is None:
            return exchange.reply(404, [PLAIN], b"no such resource\n")
        try:
            return route(exchange)
        except EnvelopeError as error:
            self._service.refused += 1
            return exchange.reply(403, [PLAIN], f"{error}\n".encode(), close=True)
        except MessageError as error:
            self._service.refused += 1
            return exchange.reply(400, [PLAIN], f"{error}\n".encode())
        except NotReadyError as error:
            return exchange.reply(503, [PLAIN], f"{error}\n".encode(), close=True)
        except ReaderClosedError:
            return None

    def _sealed(self, exchange: Exchange, message: msgspec.Struct) -> bytes:
        return exchange.reply(200, [SEALED], self._service.seal(message))

    def _read(self, exchange: Exchange) -> bytes:
        request = self._service.open(exchange.body, ReadRequest)
        self._service.admit_reader(self.number)
        self.readers.add((request.name, request.run))
        event = ReadAsked(request, self.number, ReplySlot())
        self._service.offer(event)
        deadline = time.monotonic() + min(request.wait, MAX_WAIT_SECONDS) + REPLY_SECONDS
        while not event.slot.wait(GONE_POLL_SECONDS):
            if exchange.stream.closed_by_peer():
                event.slot.abandoned = True
                raise ReaderClosedError
            if time.monotonic() >= deadline:
                event.slot.abandoned = True
                raise NotReadyError("no reply in time")
        return self._sealed(exchange, told(event.slot))

    def _part(self, exchange: Exchange) -> bytes:
        event = PartAsked(self._service.open(exchange.body, PartRequest), ReplySlot())
        return self._sealed(exchange, self._service.ask(event, event.slot, REPLY_SECONDS))

    def _store(self, exchange: Exchange) -> bytes:
        event = StoreAsked(self._service.open(exchange.body, StoreRequest), ReplySlot())
        return self._sealed(exchange, self._service.ask(event, event.slot, REPLY_SECONDS))

    def _propose(self, exchange: Exchange) -> bytes:
        request = self._service.open(exchange.body, ProposeRequest)
        event = ProposeAsked(request, ReplySlot())
        return self._sealed(exchange, self._service.ask(event, event.slot, PROPOSE_SECONDS))

    def _status(self, exchange: Exchange) -> bytes:
        event = StatusAsked(ReplySlot())
        return exchange.reply(200, [JSON], self._service.ask(event, event.slot, REPLY_SECONDS))

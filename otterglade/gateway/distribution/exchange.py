"""One exchange of sealed messages with a control machine over a kept connection, with its size in bytes."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Generic, TypeVar

import msgspec

from ...config.script import address as parse_address
from ...core.distribution.messages import (
    MessageError,
    PartAnswer,
    PartRequest,
    ProposeAnswer,
    ProposeRequest,
    ReadAnswer,
    ReadRequest,
    StoreAnswer,
    StoreRequest,
)
from ...net.http import Answer, Call, Client, ExchangeError
from ...wire import http1
from .envelope import MOST_SEALED_BYTES, Envelope

READ_PATH = b"/v1/revisions/read"
PART_PATH = b"/v1/revisions/part"
STORE_PATH = b"/v1/revisions/store"
PROPOSE_PATH = b"/v1/revisions/propose"
STATUS_PATH = b"/v1/status"

PATHS: dict[type[msgspec.Struct], bytes] = {
    ReadRequest: READ_PATH,
    PartRequest: PART_PATH,
    StoreRequest: STORE_PATH,
    ProposeRequest: PROPOSE_PATH,
}
"""By type of request."""
ANSWERS: dict[type[msgspec.Struct], type[msgspec.Struct]] = {
    ReadRequest: ReadAnswer,
    PartRequest: PartAnswer,
    StoreRequest: StoreAnswer,
    ProposeRequest: ProposeAnswer,
}
"""Which type of message answers a request."""
CONNECT_SECONDS = 2.0
IDLE_SECONDS = 50.0
"""For which a connection is kept between two requests; a server closes it after 60."""
REASON_CHARACTERS = 120
"""Of a refusal's text that go into an error."""
STATUS_LINE_BYTES = len("HTTP/1.1 200 OK\r\n\r\n")
FIELD_BYTES = len(": \r\n")

Reply = TypeVar("Reply", bound=msgspec.Struct)


class CarryError(Exception):
    """An exchange without a good answer; the text says why."""


@dataclass(frozen=True, slots=True)
class Carried(Generic[Reply]):
    """A good answer."""

    message: Reply
    size: int
    """Bytes of the whole HTTP answer."""


class Carrier:
    """Exchanges with one control machine; one thread at a time, but for `cancel`."""

    def __init__(self, address: str, envelope: Envelope) -> None:
        """Raises ValueError for an address that is none."""
        self._envelope = envelope
        endpoint = parse_address(address, "address of a control machine")
        limits = http1.Limits(body=MOST_SEALED_BYTES)
        self._client = Client(
            endpoint, CONNECT_SECONDS, max_idle_connections=1, idle_limit=IDLE_SECONDS, limits=limits
        )
        self._head_bytes = {x: len(http1.request(b"POST", x, self._client.host)) for x in PATHS.values()}
        self.bytes_out = self.bytes_in = 0

    def exchange(
        self, request: msgspec.Struct, answer_type: type[Reply], timeout: float, call: Call | None = None
    ) -> Carried[Reply]:
        """Send a request and wait for its answer. Raises CarryError."""
        path = PATHS[type(request)]
        try:
            body = self._envelope.seal(request)
        except MessageError as error:
            raise CarryError(f"request is out of bounds: {error}") from error
        self.bytes_out += self._head_bytes[path] + len(str(len(body))) - 1 + len(body)
        deadline = time.monotonic() + timeout
        try:
            answer = self._client.exchange(b"POST", path, deadline=deadline, body=body, call=call)
        except ExchangeError as error:
            raise CarryError(str(error)) from error
        size = answer_size(answer)
        self.bytes_in += size
        if answer.status != 200:
            reason = answer.body[:REASON_CHARACTERS].decode("utf-8", "replace").strip()
            raise CarryError(f"answered {answer.status}: {reason}")
        try:
            return Carried(self._envelope.open(answer.body, answer_type), size)
        except MessageError as error:
            raise CarryError(f"unreadable answer: {error}") from error

    def close_idle(self) -> None:
        """Close the connection, where none is in use."""
        self._client.close_idle()


def answer_size(answer: Answer) -> int:
    """Bytes of an answer as it was received."""
    fields = sum(len(name) + len(value) + FIELD_BYTES for name, value in answer.fields)
    return STATUS_LINE_BYTES + fields + len(answer.body)

"""Seals and opens the bodies of HTTP exchanges between control machines, gateways and proposers.

A sealed body is the length and name of the signing key, a message authentication code, and the MessagePack
body. The code covers the kind of message as well, so that a body sealed as one kind is refused as another.
"""

from __future__ import annotations

import hashlib
import hmac
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar

import msgspec

from ...core.distribution.messages import (
    MAX_COUNTED_REVISIONS,
    MAX_NAME_BYTES,
    MAX_PART_BYTES,
    MAX_REASON_BYTES,
    MAX_STRAGGLERS,
    MessageError,
    PartAnswer,
    PartRequest,
    ProposeAnswer,
    ProposeRequest,
    ReadAnswer,
    ReadRequest,
    Rejection,
    Report,
    StoreAnswer,
    StoreRequest,
    Transfer,
)
from ...core.distribution.revision import (
    DIGEST_BYTES,
    MAX_VALUE_BYTES,
    Change,
    Delta,
    RevisionError,
    RevisionId,
    check_change,
)

MAC_BYTES = 16
KEY_NAME_BYTES = 100
"""Bytes of a key's name at most."""
MOST_CONTENT_BYTES = MAX_VALUE_BYTES + (1 << 20)
"""Bytes of a body that carries changes: one value of the largest size, and smaller ones beside it."""
MOST_SMALL_BYTES = 64 * 1024
"""Bytes of any other body."""
MOST_STORE_BYTES = MOST_CONTENT_BYTES + (1 << 20)
"""Bytes of a candidate: the changes of a proposal, and what the writer adds."""
MOST_SEALED_BYTES = 1 + KEY_NAME_BYTES + MAC_BYTES + MOST_STORE_BYTES
"""Bytes of any sealed body, for the limit of an HTTP server or client."""
MOST_TRANSFER_BYTES = 1 << 30
"""Bytes of a transfer at most, before a subscriber's own limits."""
MOST_COUNTER = 1 << 62
"""Terms, numbers and counts are lower."""
MOST_WAIT_SECONDS = 3600.0

Message = TypeVar("Message", bound=msgspec.Struct)


class EnvelopeError(MessageError):
    """A body that is cut, forged, too long, or sealed with an unknown key; nothing of it was parsed."""


class Kind(Enum):
    """What a body is; its value is part of the authenticated bytes."""

    READ_REQUEST = b"read-request"
    READ_ANSWER = b"read-answer"
    PART_REQUEST = b"part-request"
    PART_ANSWER = b"part-answer"
    STORE_REQUEST = b"store-request"
    STORE_ANSWER = b"store-answer"
    PROPOSE_REQUEST = b"propose-request"
    PROPOSE_ANSWER = b"propose-answer"


@dataclass(frozen=True, slots=True)
class Format:
    """How one type of message is carried: its kind, the most bytes of its body, and its bounds."""

    kind: Kind
    most_bytes: int
    check: Callable[[Any], None]


class Envelope:
    """Encodes and seals messages, and opens and decodes them, with the fleet's keys."""

    def __init__(self, keys: Mapping[str, bytes], sign_with: str) -> None:
        """Raises ValueError where the signing key is missing or its name is too long."""
        if sign_with not in keys:
            raise ValueError(f"sign_with: found {sign_with!r}; allowed: {', '.join(sorted(keys))}")
        if not 1 <= len(sign_with.encode()) <= KEY_NAME_BYTES:
            raise ValueError(f"sign_with: found {len(sign_with)} characters; allowed: 1 to {KEY_NAME_BYTES}")
        self._keys, self._sign_with = dict(keys), sign_with

    def _mac(self, key_name: str, kind: Kind, body: bytes) -> bytes:
        mac = hashlib.blake2b(
            kind.value + b"\0",
            key=self._keys[key_name],
            digest_size=MAC_BYTES,
            person=b"otter-revisions",
            salt=key_name.encode()[:16],
        )
        mac.update(body)
        return mac.digest()

    def seal(self, message: msgspec.Struct) -> bytes:
        """The sealed body of a message. Raises MessageError where it is out of its bounds."""
        form = FORMATS[type(message)]
        form.check(message)
        body = msgspec.msgpack.encode(message)
        if len(body) > form.most_bytes:
            raise MessageError(f"{form.kind.name}: body of {len(body)} bytes; allowed: {form.most_bytes}")
        name = self._sign_with.encode()
        return bytes((len(name),)) + name + self._mac(self._sign_with, form.kind, body) + body

    def open(self, data: bytes, message_type: type[Message]) -> Message:
        """The message of a sealed body. Raises EnvelopeError before a byte is parsed, or MessageError."""
        form = FORMATS[message_type]
        body = self._opened(data, form)
        try:
            message = msgspec.msgpack.decode(body, type=message_type)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise MessageError(f"{form.kind.name}: {error}") from error
        form.check(message)
        return message

    def _opened(self, data: bytes, form: Format) -> bytes:
        """The authenticated bytes."""
        if not data or not 1 <= data[0] <= KEY_NAME_BYTES or len(data) < 1 + data[0] + MAC_BYTES:
            raise EnvelopeError("sealed body is cut, or is none")
        start = 1 + data[0]
        if len(data) > start + MAC_BYTES + form.most_bytes:
            raise EnvelopeError(f"sealed body of {len(data)} bytes is too long")
        try:
            key_name = data[1:start].decode()
        except UnicodeDecodeError as error:
            raise EnvelopeError("name of the key is not text") from error
        if key_name not in self._keys:
            raise EnvelopeError("sealed with a key that is not known here")
        body = data[start + MAC_BYTES :]
        if not hmac.compare_digest(data[start : start + MAC_BYTES], self._mac(key_name, form.kind, body)):
            raise EnvelopeError("sealed body is forged or damaged")
        return body


def _require(met: bool, what: str) -> None:
    if not met:
        raise MessageError(what)


def _check_name(name: str, field: str) -> None:
    length = len(name.encode())
    _require(1 <= length <= MAX_NAME_BYTES, f"{field}: {length} bytes; allowed: 1 to {MAX_NAME_BYTES}")


def _check_text(text: str, field: str) -> None:
    length = len(text.encode())
    _require(length <= MAX_REASON_BYTES, f"{field}: {length} bytes; allowed: {MAX_REASON_BYTES}")


def _check_count(count: int, field: str) -> None:
    _require(0 <= count < MOST_COUNTER, f"{field}: {count}; allowed: 0 to under 2**62")


def _check_seconds(seconds: float, field: str) -> None:
    _require(math.isfinite(seconds) and seconds >= 0.0, f"{field}: {seconds}; allowed: finite, from 0")


def _check_digest(digest: bytes, field: str) -> None:
    _require(len(digest) == DIGEST_BYTES, f"{field}: {len(digest)} bytes; allowed: {DIGEST_BYTES}")


def _check_revision(revision: RevisionId) -> None:
    _check_count(revision.term, "term")
    _check_count(revision.number, "number")


def _check_rejection(rejection: Rejection) -> None:
    _check_revision(rejection.revision)
    _check_text(rejection.reason, "reason of a rejection")


def _check_changes(changes: tuple[Change, ...]) -> None:
    for change in changes:
        try:
            check_change(change)
        except RevisionError as error:
            raise MessageError(str(error)) from error
    _require(len({x.key for x in changes}) == len(changes), "changes: a key stands twice")


def _check_delta(delta: Delta) -> None:
    _check_revision(delta.base)
    _check_revision(delta.target)
    _require(delta.base < delta.target, f"delta from {delta.base} to {delta.target}; allowed: a later one")
    _check_digest(delta.base_root, "base_root")
    _check_digest(delta.root, "root")
    _check_changes(delta.changes)


def _check_report(report: Report) -> None:
    for field in ("subscribers", "older", "behind"):
        _check_count(getattr(report, field), f"report.{field}")
    _require(len(report.counts) <= MAX_COUNTED_REVISIONS, f"report: {len(report.counts)} revisions")
    _require(len(report.stragglers) <= MAX_STRAGGLERS, f"report: {len(report.stragglers)} stragglers")
    for count in report.counts:
        _check_revision(count.revision)
        _check_count(count.subscribers, "report.counts")
    for straggler in report.stragglers:
        _check_name(straggler.name, "report.stragglers")
        _check_revision(straggler.in_force)
        _check_seconds(straggler.behind_s, "report.stragglers")
        _check_text(straggler.reason, "report.stragglers")


def _check_read_request(request: ReadRequest) -> None:
    _check_name(request.name, "name")
    _check_name(request.run, "run")
    _check_revision(request.in_force)
    _check_digest(request.root, "root")
    _check_seconds(request.wait, "wait")
    _require(request.wait <= MOST_WAIT_SECONDS, f"wait: {request.wait}; allowed: {MOST_WAIT_SECONDS}")
    if request.rejection is not None:
        _check_rejection(request.rejection)
    if request.report is not None:
        _check_report(request.report)


def _check_transfer(transfer: Transfer) -> None:
    _check_digest(transfer.digest, "digest of a transfer")
    _check_revision(transfer.target)
    in_bounds = 0 < transfer.size <= MOST_TRANSFER_BYTES
    _require(in_bounds, f"transfer of {transfer.size} bytes; allowed: 1 to {MOST_TRANSFER_BYTES}")


def _check_read_answer(answer: ReadAnswer) -> None:
    _check_revision(answer.revision)
    _require(answer.delta is None or answer.transfer is None, "answer has both a delta and a transfer")
    if answer.delta is not None:
        _check_delta(answer.delta)
    if answer.transfer is not None:
        _check_transfer(answer.transfer)


def _check_part_request(request: PartRequest) -> None:
    _check_name(request.name, "name")
    _check_digest(request.digest, "digest")
    _check_count(request.offset, "offset")


def _check_part_answer(answer: PartAnswer) -> None:
    _check_digest(answer.digest, "digest")
    _check_count(answer.offset, "offset")
    _require(
        len(answer.data) <= MAX_PART_BYTES, f"part of {len(answer.data)} bytes; allowed: {MAX_PART_BYTES}"
    )


def _check_store_request(request: StoreRequest) -> None:
    _check_name(request.writer, "writer")
    _check_delta(request.delta)


def _check_store_answer(answer: StoreAnswer) -> None:
    _check_name(answer.voter, "voter")
    _check_revision(answer.target)
    _check_digest(answer.root, "root")
    _check_text(answer.reason, "reason")


def _check_propose_request(request: ProposeRequest) -> None:
    _check_name(request.proposal, "proposal")
    _require(bool(request.changes), "proposal without changes")
    _check_changes(request.changes)


def _check_propose_answer(answer: ProposeAnswer) -> None:
    _check_name(answer.proposal, "proposal")
    _check_text(answer.reason, "reason")
    _check_text(answer.writer, "writer")
    if answer.revision is not None:
        _check_revision(answer.revision)


FORMATS: Mapping[type[msgspec.Struct], Format] = {
    ReadRequest: Format(Kind.READ_REQUEST, MOST_SMALL_BYTES, _check_read_request),
    ReadAnswer: Format(Kind.READ_ANSWER, MOST_SMALL_BYTES, _check_read_answer),
    PartRequest: Format(Kind.PART_REQUEST, MOST_SMALL_BYTES, _check_part_request),
    PartAnswer: Format(Kind.PART_ANSWER, MOST_SMALL_BYTES, _check_part_answer),
    StoreRequest: Format(Kind.STORE_REQUEST, MOST_STORE_BYTES, _check_store_request),
    StoreAnswer: Format(Kind.STORE_ANSWER, MOST_SMALL_BYTES, _check_store_answer),
    ProposeRequest: Format(Kind.PROPOSE_REQUEST, MOST_CONTENT_BYTES, _check_propose_request),
    ProposeAnswer: Format(Kind.PROPOSE_ANSWER, MOST_SMALL_BYTES, _check_propose_answer),
}
"""By type of message."""

"""Queries to the platform's name service and their answers (DNS: RFC 1035, SRV: RFC 2782), without I/O.

An answer is either a complete list of media hosts or an error: truncated, an answer to another query, an
error code, or an incomplete set of records. Compressed names are followed backwards only, so that no answer
can cause an endless loop.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

MAX_ANSWER_BYTES = 8192
"""Bytes of an answer; the platform's answers have up to 8,000."""
MAX_RECORDS = 1024
MAX_NAME_BYTES = 255
MAX_START_MS = 1e15
"""Upper limit of a plausible start time in Unix milliseconds: a host with an infinite one would stay cold for
ever."""

TYPE_A, TYPE_SOA, TYPE_TXT, TYPE_SRV, CLASS_IN = 1, 6, 16, 33, 1
HEADER = struct.Struct("!HHHHHH")
RECORD_HEADER = struct.Struct("!HHIH")
SRV_HEADER = struct.Struct("!HHH")


class DnsError(ValueError):
    """An answer without a usable list; the text names the reason."""


class TruncatedError(DnsError):
    """The answer is truncated."""


class ForeignError(DnsError):
    """The answer belongs to another query."""


class RefusedError(DnsError):
    """The name service reports a failure."""


@dataclass(frozen=True, slots=True)
class HostRecord:
    """A media host as the name service describes it."""

    name: str
    """The id of the host: the first label of its SRV target."""
    zone: str
    address: str
    port: int
    draining: bool
    weight: float
    kind: str
    cell: int
    started_ms: float
    """Unix milliseconds of a recent start; 0: long ago."""


@dataclass(frozen=True, slots=True)
class HostList:
    """A complete list of media hosts."""

    serial: int
    """Serial (RFC 1982) of the last event that the list includes."""
    hosts: tuple[HostRecord, ...]


def build_query(query_id: int, name: str) -> bytes:
    """A query for the SRV records of a name. `query_id`: 16 bits, hard to guess."""
    labels = b"".join(bytes((len(x),)) + x for x in name.encode("ascii").split(b"."))
    return HEADER.pack(query_id, 0x0100, 1, 0, 0, 0) + labels + b"\0" + struct.pack("!HH", TYPE_SRV, CLASS_IN)


def _parse_name(data: bytes, offset: int) -> tuple[str, int]:
    """The name at an offset, in lower case, and the offset after it."""
    labels: list[bytes] = []
    end, name_bytes, lowest_offset = -1, 0, offset
    while True:
        if offset >= len(data):
            raise DnsError("a name that runs out of the answer")
        length = data[offset]
        if length & 0xC0 == 0xC0:
            if offset + 1 >= len(data):
                raise DnsError("a name that runs out of the answer")
            pointer = (length & 0x3F) << 8 | data[offset + 1]
            end = offset + 2 if end < 0 else end
            if pointer >= lowest_offset:
                raise DnsError("a name that points forward or in a circle")
            offset = lowest_offset = pointer
        elif length & 0xC0:
            raise DnsError("a label of an unknown kind")
        elif not length:
            return b".".join(labels).decode("latin-1").lower(), end if end >= 0 else offset + 1
        else:
            name_bytes += length + 1
            if name_bytes > MAX_NAME_BYTES or offset + 1 + length > len(data):
                raise DnsError("a name that is too long")
            labels.append(data[offset + 1 : offset + 1 + length])
            offset += 1 + length


def _parse_texts(data: bytes) -> dict[str, str]:
    texts, offset = {}, 0
    while offset < len(data):
        end = offset + 1 + data[offset]
        if end > len(data):
            raise DnsError("a text that runs out of its record")
        key, sep, value = data[offset + 1 : end].decode("latin-1").partition("=")
        if sep:
            texts[key] = value
        offset = end
    return texts


def parse_answer(data: bytes, query_id: int, name: str) -> HostList:
    """The list in an answer to the query `query_id` for `name`. Raises DnsError or the subclass for the
    reason."""
    if len(data) < HEADER.size:
        raise DnsError("shorter than a header")
    answer_id, flags, questions, *counts = HEADER.unpack_from(data)
    if answer_id != query_id or not flags & 0x8000:
        raise ForeignError("another id")
    if flags & 0x0200:
        raise TruncatedError("cut short")
    if flags & 0x000F:
        raise RefusedError(f"code {flags & 0x000F}")
    if questions > 1 or sum(counts) > MAX_RECORDS:
        raise DnsError("too many records")
    offset = HEADER.size
    if questions:
        queried_name, offset = _parse_name(data, offset)
        if queried_name != name or data[offset : offset + 4] != struct.pack("!HH", TYPE_SRV, CLASS_IN):
            raise ForeignError("another question")
        offset += 4
    services: list[tuple[str, int, int, int]] = []
    addresses: dict[str, str] = {}
    texts: dict[str, dict[str, str]] = {}
    serial = -1
    for index in range(sum(counts)):
        owner, offset = _parse_name(data, offset)
        if offset + RECORD_HEADER.size > len(data):
            raise TruncatedError("records missing")
        record_type, record_class, _, size = RECORD_HEADER.unpack_from(data, offset)
        offset += RECORD_HEADER.size
        end = offset + size
        if end > len(data):
            raise TruncatedError("a record that runs out of the answer")
        if record_class != CLASS_IN:
            pass
        elif record_type == TYPE_SRV and owner == name and size >= SRV_HEADER.size:
            priority, weight, port = SRV_HEADER.unpack_from(data, offset)
            target, _ = _parse_name(data, offset + SRV_HEADER.size)
            services.append((target, priority, weight, port))
        elif record_type == TYPE_A and size == 4:
            addresses[owner] = ".".join(map(str, data[offset:end]))
        elif record_type == TYPE_TXT:
            texts[owner] = _parse_texts(data[offset:end])
        elif record_type == TYPE_SOA and counts[0] <= index < counts[0] + counts[1]:
            _, soa_offset = _parse_name(data, offset)
            _, soa_offset = _parse_name(data, soa_offset)
            if soa_offset + 20 > end:
                raise DnsError("an SOA record cut short")
            serial = int.from_bytes(data[soa_offset : soa_offset + 4], "big")
        offset = end
    if serial < 0:
        raise DnsError("no serial")
    return HostList(serial, tuple(_host_record(x, addresses, texts) for x in services))


def _host_record(
    service: tuple[str, int, int, int], addresses: dict[str, str], texts: dict[str, dict[str, str]]
) -> HostRecord:
    target, priority, weight, port = service
    labels = target.split(".")
    if target not in addresses or target not in texts or len(labels) < 2:
        raise DnsError(f"a set that is not complete: {target}")
    text = texts[target]
    try:
        cell, started_ms = int(text["cell"]), float(text.get("started", "0") or "0")
    except (KeyError, ValueError):
        raise DnsError(f"a text that can't be read: {target}") from None
    if cell < 0 or not 0 <= started_ms < MAX_START_MS:
        raise DnsError(f"a cell or start that can't be meant: {target}")
    return HostRecord(
        labels[0], labels[1], addresses[target], port, priority != 0, weight / 10.0, text.get("kind", ""),
        cell, started_ms,
    )  # fmt: skip

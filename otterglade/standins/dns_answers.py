"""Answers of the platform's name service (RFC 1035), for stand-ins: a whole host list with its serial."""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterable
from dataclasses import dataclass

TYPE_A, TYPE_SOA, TYPE_TXT, TYPE_SRV = 1, 6, 16, 33
CLASS_IN = 1
NAME_POINTER = struct.pack("!H", 0xC000 | 12)
"""A compressed name: the one of the question."""
AUTHORITATIVE_ANSWER = 0x8400
SERVER_FAILURE = 0x8402


@dataclass(frozen=True, slots=True)
class ListedHost:
    """A host of the list."""

    name: str
    address: tuple[str, int]
    cell: int
    draining: bool = False
    zone: str = "east"
    started_ms: int = 0
    """Unix milliseconds of a late start; 0: long ago."""


def encode_name(text: str) -> bytes:
    """A domain name without compression."""
    return b"".join(bytes((len(x),)) + x.encode() for x in text.split(".")) + b"\0"


def _record(name: bytes, record_type: int, data: bytes) -> bytes:
    return name + struct.pack("!HHIH", record_type, CLASS_IN, 0, len(data)) + data


def encode_list(
    query: bytes, serial: int, hosts: Iterable[ListedHost], flags: int = AUTHORITATIVE_ANSWER
) -> bytes:
    """The answer to `query` that holds the whole list."""
    answers, additional, count = b"", b"", 0
    for host in hosts:
        count += 1
        target = encode_name(f"{host.name}.{host.zone}.hosts")
        answers += _record(
            NAME_POINTER,
            TYPE_SRV,
            struct.pack("!HHH", 1 if host.draining else 0, 10, host.address[1]) + target,
        )
        texts = (b"kind=std", b"cell=%d" % host.cell, b"started=%d" % host.started_ms)
        additional += _record(target, TYPE_A, socket.inet_aton(host.address[0]))
        additional += _record(target, TYPE_TXT, b"".join(bytes((len(x),)) + x for x in texts))
    authority = (
        encode_name("ns.local") + encode_name("root.local") + struct.pack("!IIIII", serial, 1, 1, 1, 1)
    )
    head = query[:2] + struct.pack("!HHHHH", flags, 1, count, 1, 2 * count)
    return head + query[12:] + answers + _record(NAME_POINTER, TYPE_SOA, authority) + additional

"""Datagrams between gateways, their authentication and their replay protection.

A message names its sender with the sender's boot, run and an increasing sequence number, and the run of the
receiver that it is meant for. Messages of unknown senders or earlier runs, duplicates, and messages recorded
before the receiver's restart are therefore ignored. No message carries a wall-clock time.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Mapping
from enum import Enum

import msgspec

MAC_BYTES = 16
MAX_DATAGRAM_BYTES = 1200
"""Datagram with key name and MAC: the size that every path carries unfragmented (RFC 8085, section 3.2)."""
MAX_KEY_NAME_BYTES = 100
"""Longest name that the configuration script allows."""
MAX_MESSAGE_BYTES = MAX_DATAGRAM_BYTES - 1 - MAX_KEY_NAME_BYTES - MAC_BYTES
"""Encoded message without key name and MAC."""
MAX_BODY_BYTES = 700
"""Body that always fits: MAX_MESSAGE_BYTES less two names of 100 characters, the longest phase and the
highest numbers."""
REPLAY_WINDOW = 64
"""Sequence numbers behind the highest that are still accepted, once each, as datagrams may be reordered
(RFC 4303, section 3.4.3)."""


class Kind(Enum):
    """Kind of a message; the values are sent to peers."""

    PING = "ping"
    ACK = "ack"
    PING_REQ = "ask"
    """Asks the receiver to ping another member."""
    NACK = "nack"
    """Answer to PING_REQ if that member did not answer: shows that the path to the helper works."""
    HELLO = "hello"
    """Answer to a message that was rejected because it was meant for another run; states the current run."""
    CLAIM = "claim"
    CLAIM_REPLY = "claimed"
    CLAIM_SETTLED = "settled"
    LEAVE = "leave"
    """The sender shuts down."""
    VOTE = "vote"
    """Asks a voter of a leader task for a pre-vote, a promise, an acceptance or a renewal."""
    VOTE_REPLY = "voted"
    REPORT = "up"
    """Reports to the parent in the report tree for the sender and those below it; asks for the orders in
    force."""
    ORDER = "down"
    """Orders in force, with the time that each remains valid."""
    FETCH = "fetch"
    """Asks for chunks of content that is named by its digest."""
    PART = "part"
    """A chunk of such content."""


class MembershipUpdate(msgspec.Struct, frozen=True, array_like=True):
    """State of a member, piggybacked on a message."""

    name: str
    state: str
    boot: int
    incarnation: int
    run_id: str = ""
    """Run of that boot, empty if unknown; saves the receiver a request for it."""
    reported_by: str = ""
    """Member that suspects it or considers it dead."""


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Content of one datagram."""

    kind: Kind
    sender: str
    boot: int
    incarnation: int
    run_id: str
    """Random for each start; distinguishes two processes with one name and one boot."""
    sequence: int
    receiver: str
    receiver_run_id: str
    """Run of the receiver as known to the sender; empty: unknown."""
    run_age: float = 0.0
    """Seconds since the sender's start, on its own clock."""
    request_id: int = 0
    """Identifier of the request that is made or answered."""
    target: str = ""
    """Member to ping for a PING_REQ, or the one that the answer to it is about."""
    known_boot: int = 0
    """Highest boot of the receiver known to the sender."""
    phase: str = ""
    """Recovery phase of the sender."""
    updates: tuple[MembershipUpdate, ...] = ()
    body: bytes = b""
    """Encoded by kind: claims and their replies in `witness.py`, votes, reports and orders in
    `leader_task_messages.py`, FETCH and PART in `content_store.py`."""


class DatagramError(ValueError):
    """A datagram that is truncated, forged, signed with an unknown key, or unreadable.

    The start of its text is a key in `/status`.
    """


class DatagramCodec:
    """Encodes and decodes authenticated datagrams.

    Uses the keys that sign session addresses, with a personalisation of its own.
    """

    def __init__(self, keys: Mapping[str, bytes], sign_with: str) -> None:
        """Raises ValueError if the signing key's name is longer than MAX_KEY_NAME_BYTES."""
        self._keys, self._signing_key_name = dict(keys), sign_with
        if len(sign_with.encode()) > MAX_KEY_NAME_BYTES:
            raise ValueError(
                f"tokens.sign_with: found a name of {len(sign_with.encode())} bytes;"
                f" allowed: {MAX_KEY_NAME_BYTES}"
            )

    def _mac(self, name: str, payload: bytes) -> bytes:
        mac = hashlib.blake2b(
            payload,
            key=self._keys[name],
            digest_size=MAC_BYTES,
            person=b"otter-peers",
            salt=name.encode()[:16],
        )
        return mac.digest()

    def encode(self, message: Message) -> bytes:
        """Datagram of a message. Raises ValueError if it is longer than MAX_DATAGRAM_BYTES."""
        payload = msgspec.msgpack.encode(message)
        name = self._signing_key_name.encode()
        data = bytes((len(name),)) + name + self._mac(self._signing_key_name, payload) + payload
        if len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"message of {len(data)} bytes; at most {MAX_DATAGRAM_BYTES}")
        return data

    def decode(self, data: bytes) -> Message:
        """Message of a datagram. Raises DatagramError; nothing is parsed before the MAC has been verified."""
        if not data or len(data) > MAX_DATAGRAM_BYTES or len(data) < 1 + data[0] + MAC_BYTES:
            raise DatagramError("cut, or no message")
        mac_start = 1 + data[0]
        try:
            name = data[1:mac_start].decode("ascii")
        except UnicodeDecodeError as error:
            raise DatagramError("no message") from error
        if name not in self._keys:
            raise DatagramError("signed with a key that is not known here")
        payload = data[mac_start + MAC_BYTES :]
        if not hmac.compare_digest(data[mac_start : mac_start + MAC_BYTES], self._mac(name, payload)):
            raise DatagramError("forged or damaged")
        try:
            return msgspec.msgpack.decode(payload, type=Message)
        except msgspec.MsgspecError as error:
            raise DatagramError(f"signed here, yet unreadable: of another version? {error}") from error


class ReplayWindow:
    """Sequence numbers accepted from one run of a sender: each once, none far behind the highest."""

    __slots__ = ("_bits", "_highest")

    def __init__(self) -> None:
        self._highest, self._bits = 0, 0

    def accept(self, sequence: int) -> bool:
        """Marks a sequence number as seen; returns whether it was new and recent enough."""
        if sequence > self._highest:
            self._bits = (self._bits << min(sequence - self._highest, REPLAY_WINDOW) | 1) & (
                1 << REPLAY_WINDOW
            ) - 1
            self._highest = sequence
            return True
        behind = self._highest - sequence
        if sequence < 1 or behind >= REPLAY_WINDOW or self._bits >> behind & 1:
            return False
        self._bits |= 1 << behind
        return True

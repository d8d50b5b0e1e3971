"""Content-addressed store: items known by their digest, fetched from other gateways in chunks.

The state of a leader task is small: it names routing rules and texts by digest. The named items are fetched
here over the peers' datagrams, a few hundred bytes at a time. After each timeout another holder is drawn at
random, so that a new item spreads over all gateways that have it already. Holders are not trusted: an item
counts only once its digest has been verified.
"""

from __future__ import annotations

import hashlib
import math
import random
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from itertools import islice

import msgspec

from .actions import SendMessage
from .members import Members
from .messages import Kind, Message
from .routing import DIGEST_BYTES

CHUNK_BYTES = 700
"""With its header, the seal and a few membership updates a chunk fits a datagram."""
CHUNKS_PER_REQUEST = 8
"""A receiver's queue of 64 datagrams has room for the replies of several holders."""
REQUEST_INTERVAL_SECONDS = 0.06
"""Time between two requests, of all fetches together: 133 chunks a second, two thirds of what a receiver
accepts from one address."""
REPLY_TIMEOUT_SECONDS = 0.4
"""For all chunks of a request; then another holder is asked for the missing ones."""
MAX_FAILURES = 12
"""Timeouts and digest mismatches in a row after which a fetch fails; a caller that still needs the item calls
`fetch` again."""
MAX_HOLDERS = 8
"""Holders remembered of an item, the most recent ones."""
MAX_CONCURRENT_FETCHES = 4
"""Further fetches wait."""
MAX_COMPRESSED_BYTES = 256 * 1024
"""Of one item; a rule with 10,000 titles needs a third of that."""
MAX_ITEM_BYTES = 4 * 1024 * 1024
"""Of one item, decompressed: protects against data that expands without bound."""
MAX_ITEMS = 160
"""Items stored or being fetched: three editions for each region that fits a state, texts and proposals."""
MAX_STORED_BYTES = 64 * 1024 * 1024
"""Of all stored items, decompressed: three editions of each region with 10,000 titles need half."""
MAX_CHUNKS_SENT_PER_SECOND = 1000.0
"""To all peers: when a whole fleet starts at once, an item spreads through the gateways that have it, without
overloading the loop of a single one."""


class ContentStage(Enum):
    """Stage of an item at this gateway."""

    ABSENT = "absent"
    WAITING = "waiting for its turn"
    ASKING = "asked for"
    HELD = "held"


class ContentEvent(Enum):
    """What moves an item to another stage."""

    WANTED = "wanted"
    REQUEST_SENT = "its turn"
    CHUNK_RECEIVED = "a part came, others of the batch are out"
    REQUEST_COMPLETE = "the batch has come, parts are missing"
    HOLDER_FAILED = "the holder is silent, has it not, or has it packed otherwise"
    DIGEST_MISMATCH = "whole, and its digest is wrong"
    GIVEN_UP = "the last try has failed"
    COMPLETED = "whole, and its digest is good"
    DROPPED = "nobody wants it any more"


_A, _W, _Q, _H = ContentStage
_ROWS: dict[ContentStage, tuple[ContentStage | None, ...]] = {
    # In the order of ContentEvent. None: impossible, for the reason in UNREACHABLE.
    _A: (_W, None, None, None, None, None, None, _H, None),
    _W: (_W, _Q, None, None, None, None, None, _H, _A),
    _Q: (_Q, None, _Q, _W, _W, _W, _A, _H, _A),
    _H: (_H, None, None, None, None, None, None, _H, _A),
}
TRANSITIONS: dict[tuple[ContentStage, ContentEvent], ContentStage] = {
    (stage, event): after
    for stage, row in _ROWS.items()
    for event, after in zip(ContentEvent, row, strict=True)
    if after is not None
}
UNREACHABLE: dict[tuple[ContentStage, ContentEvent], str] = {
    **{
        (stage, event): "no request is outstanding, so a reply is neither accepted nor missed"
        for stage in (_A, _W, _H)
        for event in (
            ContentEvent.CHUNK_RECEIVED,
            ContentEvent.REQUEST_COMPLETE,
            ContentEvent.HOLDER_FAILED,
            ContentEvent.DIGEST_MISMATCH,
            ContentEvent.GIVEN_UP,
        )
    },
    (_A, ContentEvent.DROPPED): "an absent item is not dropped",
    (_A, ContentEvent.REQUEST_SENT): "only a waiting item is requested",
    (_Q, ContentEvent.REQUEST_SENT): "only a waiting item is requested",
    (_H, ContentEvent.REQUEST_SENT): "only a waiting item is requested",
}


class FetchRequest(msgspec.Struct, frozen=True, array_like=True):
    """Body of a FETCH message."""

    digest: bytes
    indexes: tuple[int, ...]
    """Of the requested chunks; only the first CHUNKS_PER_REQUEST are answered."""


class ChunkReply(msgspec.Struct, frozen=True, array_like=True):
    """Body of a PART message."""

    digest: bytes
    compressed_size: int
    """Bytes of the whole compressed item; 0: the sender does not have it."""
    checksum: int
    """CRC-32 of the compressed item: two zlib versions may compress one item differently, and chunks of the
    two must not be mixed."""
    index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ContentFetched:
    """An item has been fetched and verified."""

    digest: str


@dataclass(frozen=True, slots=True)
class FetchFailed:
    """A fetch has been given up."""

    digest: str


Action = SendMessage | ContentFetched | FetchFailed


@dataclass(slots=True)
class _Item:
    stage: ContentStage = ContentStage.ABSENT
    data: bytes = b""
    compressed: bytes = b""
    holders: list[str] = field(default_factory=list)
    current_holder: str = ""
    request_id: int = 0
    reply_due_at: float = math.inf
    outstanding: set[int] = field(default_factory=set)
    is_unanswered: bool = True
    """The current request has brought no usable chunk."""
    compressed_size: int = 0
    checksum: int = 0
    chunks: dict[int, bytes] = field(default_factory=dict)
    failures: int = 0
    restarts: int = 0

    @property
    def chunk_count(self) -> int:
        return -(-self.compressed_size // CHUNK_BYTES)

    def missing_chunks(self) -> Iterator[int]:
        return (x for x in range(self.chunk_count) if x not in self.chunks)

    def restart(self) -> None:
        """Discard all chunks. Restarts count as failures, so that received chunks do not prolong a fetch
        for ever."""
        self.compressed_size, self.checksum, self.chunks = 0, 0, {}
        self.restarts += 1
        self.failures = max(self.failures, self.restarts - 1)


def digest_of(data: bytes) -> str:
    """Return the digest of an item, computed as `Routing.digest` is from the canonical bytes."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES, person=b"otter-routing").hexdigest()


class ContentStore:
    """Items stored at this gateway, and fetches of further ones; used on the decision loop.

    One instance for each run of a gateway. Call `tick` when `due`, and `receive` for each FETCH and PART
    message that the membership layer has accepted.
    """

    def __init__(self, members: Members, now: float, seed: int) -> None:
        self.members = members
        self.dropped: dict[str, int] = {}
        """Ignored messages and items, by reason."""
        self._items: dict[str, _Item] = {}
        self._random = random.Random(seed)
        self._last_request_id = 0
        self._next_request_at = now
        self._send_tokens, self._tokens_updated_at = MAX_CHUNKS_SENT_PER_SECOND, now

    # Stored items

    def get(self, digest: str) -> bytes | None:
        """Return a stored item, or None."""
        item = self._items.get(digest)
        return item.data if item is not None and item.stage is ContentStage.HELD else None

    def stage(self, digest: str) -> ContentStage:
        """Return the stage of an item."""
        item = self._items.get(digest)
        return ContentStage.ABSENT if item is None else item.stage

    def add(self, data: bytes) -> str:
        """Store an item and return its digest. Raises ValueError if it is too large or the store is full."""
        digest = digest_of(data)
        compressed = zlib.compress(data, 6)
        if len(data) > MAX_ITEM_BYTES or len(compressed) > MAX_COMPRESSED_BYTES:
            raise ValueError(
                f"item has {len(data)} bytes, {len(compressed)} compressed; "
                f"at most {MAX_ITEM_BYTES}, {MAX_COMPRESSED_BYTES} compressed"
            )
        if digest not in self._items and len(self._items) >= MAX_ITEMS:
            raise ValueError(f"{MAX_ITEMS} items are stored already")
        if not self._fits(data):
            raise ValueError(f"store would exceed {MAX_STORED_BYTES} bytes")
        item = self._items.setdefault(digest, _Item())
        item.data, item.compressed = data, compressed
        self._move(digest, item, ContentEvent.COMPLETED)
        return digest

    def _fits(self, data: bytes) -> bool:
        return sum(len(x.data) for x in self._items.values()) + len(data) <= MAX_STORED_BYTES

    def fetch(self, digest: str, holders: Iterable[str]) -> None:
        """Start to fetch an item unless it is stored, from these holders or, if they fail, from any peer."""
        item = self._items.get(digest)
        if item is None:
            if len(self._items) >= MAX_ITEMS:
                self._count_dropped("too many things")
                return
            item = self._items[digest] = _Item()
        known = [x for x in holders if x in self.members.peers]
        item.holders += [x for x in known if x not in item.holders]
        del item.holders[:-MAX_HOLDERS]
        self._move(digest, item, ContentEvent.WANTED)

    def retain(self, digests: Iterable[str]) -> None:
        """Drop all items but these."""
        keep = {*digests}
        for digest in [x for x in self._items if x not in keep]:
            self._move(digest, self._items[digest], ContentEvent.DROPPED)

    def _move(self, digest: str, item: _Item, event: ContentEvent) -> None:
        item.stage = TRANSITIONS[item.stage, event]
        if item.stage is ContentStage.ABSENT:
            del self._items[digest]
        elif item.stage is ContentStage.HELD:
            item.chunks, item.holders = {}, []
        if item.stage is not ContentStage.ASKING:
            item.reply_due_at = math.inf

    def _count_dropped(self, reason: str) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    # Timers

    def _waiting(self) -> list[tuple[str, _Item]]:
        return [(x, y) for x, y in self._items.items() if y.stage is ContentStage.WAITING]

    def _fetches_in_progress(self) -> int:
        return sum(
            bool(x.failures or x.chunks or x.stage is ContentStage.ASKING)
            for x in self._items.values()
            if x.stage in (ContentStage.WAITING, ContentStage.ASKING)
        )

    def due(self) -> float:
        """Return the time at which `tick` is to be called next."""
        due = min((x.reply_due_at for x in self._items.values()), default=math.inf)
        return min(due, self._next_request_at) if self._waiting() else due

    def tick(self, now: float) -> list[Action]:
        """Handle timeouts, and send the next request if it is due."""
        out: list[Action] = []
        for digest, item in list(self._items.items()):
            if item.stage is ContentStage.ASKING and now >= item.reply_due_at:
                out += self._request_failed(digest, item, ContentEvent.HOLDER_FAILED)
        if now >= self._next_request_at:
            out += self._send_request(now)
        return out

    def _send_request(self, now: float) -> list[Action]:
        """Send one request for a waiting item; new fetches start only below MAX_CONCURRENT_FETCHES."""
        may_start = self._fetches_in_progress() < MAX_CONCURRENT_FETCHES
        ready = [(x, y) for x, y in self._waiting() if may_start or y.failures or y.chunks]
        if not ready:
            return []
        digest, item = self._random.choice(ready)
        self._next_request_at = now + REQUEST_INTERVAL_SECONDS
        living = self.members.live_peers()
        # Ask peers that are named as holders or have sent chunks; if none of them is left, any live peer.
        holders = [x for x in item.holders if x in living] or living
        if not holders:
            item.failures += 1
            if item.failures >= MAX_FAILURES:
                self._move(digest, item, ContentEvent.REQUEST_SENT)
                return self._request_failed(digest, item, ContentEvent.HOLDER_FAILED)
            return []
        if item.current_holder not in living:
            item.current_holder = self._random.choice(holders)
        self._last_request_id += 1
        indexes = tuple(islice(item.missing_chunks(), CHUNKS_PER_REQUEST)) or tuple(range(CHUNKS_PER_REQUEST))
        item.request_id, item.reply_due_at, item.is_unanswered = (
            self._last_request_id,
            now + REPLY_TIMEOUT_SECONDS,
            True,
        )
        item.outstanding = {*indexes}
        self._move(digest, item, ContentEvent.REQUEST_SENT)
        body = msgspec.msgpack.encode(FetchRequest(bytes.fromhex(digest), indexes))
        return [
            SendMessage(
                self.members.create_message(
                    Kind.FETCH, item.current_holder, now, request_id=item.request_id, body=body
                )
            )
        ]

    def _request_failed(self, digest: str, item: _Item, event: ContentEvent) -> list[Action]:
        item.failures += 1
        if item.is_unanswered or event is ContentEvent.DIGEST_MISMATCH:
            item.holders = [x for x in item.holders if x != item.current_holder]
        item.current_holder = ""
        if item.failures >= MAX_FAILURES:
            self._move(digest, item, ContentEvent.GIVEN_UP)
            return [FetchFailed(digest)]
        self._move(digest, item, event)
        return []

    # Messages

    def receive(self, now: float, message: Message) -> list[Action]:
        """Handle a FETCH or PART message whose sender, run and number have been verified."""
        try:
            if message.kind is Kind.FETCH:
                return self._serve(now, message, msgspec.msgpack.decode(message.body, type=FetchRequest))
            return self._chunk_received(message, msgspec.msgpack.decode(message.body, type=ChunkReply))
        except msgspec.MsgspecError:
            self._count_dropped("unreadable")
            return []

    def _serve(self, now: float, message: Message, request: FetchRequest) -> list[Action]:
        if len(request.digest) != DIGEST_BYTES or min(request.indexes, default=-1) < 0:
            self._count_dropped("unreadable")
            return []
        item = self._items.get(request.digest.hex())
        compressed = item.compressed if item is not None and item.stage is ContentStage.HELD else b""
        indexes = request.indexes[:CHUNKS_PER_REQUEST]
        chunks = [
            (x, compressed[x * CHUNK_BYTES : (x + 1) * CHUNK_BYTES])
            for x in indexes
            if x * CHUNK_BYTES < len(compressed)
        ]
        # If no requested chunk exists, the requester knows the item in another compression, or it is not
        # stored here: the first chunk, which may be empty, shows which.
        chunks = chunks or [(0, compressed[:CHUNK_BYTES])]
        self._send_tokens = min(
            MAX_CHUNKS_SENT_PER_SECOND,
            self._send_tokens + (now - self._tokens_updated_at) * MAX_CHUNKS_SENT_PER_SECOND,
        )
        self._tokens_updated_at = now
        if self._send_tokens < len(chunks):
            self._count_dropped("served too much")
            return []
        self._send_tokens -= len(chunks)
        checksum = zlib.crc32(compressed)
        bodies = [
            msgspec.msgpack.encode(ChunkReply(request.digest, len(compressed), checksum, x, data))
            for x, data in chunks
        ]
        return [
            SendMessage(
                self.members.create_message(
                    Kind.PART, message.sender, now, request_id=message.request_id, body=x
                )
            )
            for x in bodies
        ]

    def _chunk_received(self, message: Message, reply: ChunkReply) -> list[Action]:
        digest = reply.digest.hex()
        item = self._items.get(digest)
        if (
            item is None
            or item.stage is not ContentStage.ASKING
            or message.sender != item.current_holder
            or message.request_id != item.request_id
        ):
            self._count_dropped("answers nothing")
            return []
        if not 0 < reply.compressed_size <= MAX_COMPRESSED_BYTES:
            if reply.compressed_size:
                self._count_dropped("too large")
            return self._request_failed(digest, item, ContentEvent.HOLDER_FAILED)
        if item.compressed_size and (item.compressed_size, item.checksum) != (
            reply.compressed_size,
            reply.checksum,
        ):
            self._count_dropped("packed otherwise")
            item.restart()
            return self._request_failed(digest, item, ContentEvent.HOLDER_FAILED)
        item.compressed_size, item.checksum = reply.compressed_size, reply.checksum
        length = min(CHUNK_BYTES, reply.compressed_size - reply.index * CHUNK_BYTES)
        if reply.index not in item.outstanding or reply.index < 0 or len(reply.data) != length:
            self._count_dropped("cut")
            return self._request_failed(digest, item, ContentEvent.HOLDER_FAILED)
        item.chunks[reply.index] = reply.data
        item.outstanding.discard(reply.index)
        item.failures, item.is_unanswered = 0, False
        if item.current_holder not in item.holders:
            item.holders.append(item.current_holder)
        if len(item.chunks) == item.chunk_count:
            return self._finish(digest, item)
        expects_more = any(x < item.chunk_count for x in item.outstanding)
        self._move(
            digest, item, ContentEvent.CHUNK_RECEIVED if expects_more else ContentEvent.REQUEST_COMPLETE
        )
        return []

    def _finish(self, digest: str, item: _Item) -> list[Action]:
        compressed = b"".join(item.chunks[x] for x in range(item.chunk_count))
        decompressor = zlib.decompressobj()
        try:
            data = decompressor.decompress(compressed, MAX_ITEM_BYTES)
        except zlib.error:
            data = b""
        if not decompressor.eof or digest_of(data) != digest:
            self._count_dropped("forged")
            item.restart()
            return self._request_failed(digest, item, ContentEvent.DIGEST_MISMATCH)
        if not self._fits(data):
            self._count_dropped("too much held")
            item.failures = MAX_FAILURES
            return self._request_failed(digest, item, ContentEvent.HOLDER_FAILED)
        item.data, item.compressed = data, compressed
        self._move(digest, item, ContentEvent.COMPLETED)
        return [ContentFetched(digest)]

"""Revisions on disk: candidates, accepted revisions and snapshots of a control machine; a gateway's last.

A control machine's records go to a `store.log.Log`. Contents longer than one record of that log are split
into pieces; a content counts only when its last piece is there. From time to time a snapshot of the accepted
mapping, with the candidates that are still open, takes the place of what was written before.
"""

from __future__ import annotations

import hashlib
import os
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

import msgspec

from ...core.distribution.items import approximate_size
from ...core.distribution.messages import MessageError, StoreRequest
from ...core.distribution.revision import DIGEST_BYTES, Change, Delta, RevisionId, Snapshot
from ...core.distribution.transfer import decode_delta, decode_snapshot, encode_delta, encode_snapshot
from ...net.threads import Failure
from ...net.workers import Workers
from ...obs.logs import Log as Logger
from ...store.disk import Disk
from ...store.log import DamagedError, Log
from ...store.small import replace_file

PIECE_BYTES = 512 * 1024
"""Bytes of a content in one record of the log."""
SNAPSHOT_AFTER_BYTES = 4 << 20
"""Bytes of records after which a snapshot is due, where the mapping itself is not longer."""
SNAPSHOT_AFTER_RECORDS = 1000
MOST_CANDIDATES = 64
"""Contents stored before their vote that are kept; the oldest are dropped at a snapshot."""
HELD_MAGIC = b"OTGREV1\n"
"""First bytes of a gateway's file; another version has others."""
CLOSE_SECONDS = 5.0
"""For a log that turned out to be damaged to end."""
REVISIONS_FOLDER = "revisions"
DAMAGED_SUFFIX = ".damaged"

Done = Callable[[str], None]
"""Told on the log's thread when a content is durable, with an empty text, or why it is not."""


class FilesError(Exception):
    """A file or log of revisions that can't be used; the text names it and says why."""


class ContentKind(Enum):
    """What the pieces of a content make up."""

    CANDIDATE = "candidate"
    """A revision that is not accepted yet, with the names of its proposals."""
    DELTA = "delta"
    """An accepted delta."""
    SNAPSHOT = "snapshot"
    """The accepted mapping as a whole."""


class Piece(msgspec.Struct, frozen=True, array_like=True, tag="piece"):
    """A part of a content; its pieces follow one another in the log."""

    kind: ContentKind
    index: int
    last: bool
    data: bytes


class AcceptedMark(msgspec.Struct, frozen=True, array_like=True, tag="accepted"):
    """The candidate of this revision and root was accepted."""

    revision: RevisionId
    root: bytes


Record = Piece | AcceptedMark
Content = Delta | Snapshot
CandidateId = tuple[RevisionId, bytes]


@dataclass(frozen=True, slots=True)
class Recovered:
    """What an earlier run left."""

    snapshot: Snapshot | None = None
    deltas: tuple[Delta, ...] = ()
    """Accepted after the snapshot, in order."""
    candidates: tuple[StoreRequest, ...] = ()
    """Stored and not known to be accepted."""
    torn: str = ""
    """What a kill had left unfinished at the end of the log; empty: nothing."""
    damaged: str = ""
    """Why an earlier folder was put aside and nothing was recovered; empty: it was not."""


class _Reading:
    """Builds what is recovered from records, in their order."""

    def __init__(self) -> None:
        self.snapshot: Snapshot | None = None
        self.deltas: list[Delta] = []
        self.candidates: list[StoreRequest] = []
        self._kind: ContentKind | None = None
        self._pieces: list[bytes] = []

    def take(self, data: bytes) -> None:
        """Raises FilesError."""
        try:
            record = msgspec.msgpack.decode(data, type=Record)
        except msgspec.MsgspecError as error:
            raise FilesError(f"unreadable record: {error}") from error
        if isinstance(record, AcceptedMark):
            self._promote(record)
        else:
            self._piece(record)

    def _piece(self, piece: Piece) -> None:
        if piece.index == 0:  # a content before it that has no last piece was given up
            self._kind, self._pieces = piece.kind, []
        if piece.kind is not self._kind or piece.index != len(self._pieces):
            self._kind = None  # a piece before it could not be written, and nobody was told of it as durable
            return
        self._pieces.append(piece.data)
        if piece.last:
            content = b"".join(self._pieces)
            self._kind, self._pieces = None, []
            self._content(piece.kind, content)

    def _content(self, kind: ContentKind, data: bytes) -> None:
        try:
            if kind is ContentKind.SNAPSHOT:
                self.snapshot, self.deltas = decode_snapshot(data), []
            elif kind is ContentKind.DELTA:
                self.deltas.append(decode_delta(data))
            else:
                self.candidates.append(msgspec.msgpack.decode(data, type=StoreRequest))
        except (MessageError, msgspec.MsgspecError) as error:
            raise FilesError(f"unreadable {kind.value}: {error}") from error

    def _promote(self, mark: AcceptedMark) -> None:
        for candidate in self.candidates:
            if _identity(candidate) == (mark.revision, mark.root):
                self.deltas.append(candidate.delta)
                break
        self.candidates = [x for x in self.candidates if x.delta.target > mark.revision]


class RevisionFiles:
    """A control machine's revisions on disk; belongs to one thread. What is handed in is encoded and written
    on threads of its own, in order."""

    def __init__(self, log: Log, candidates: Iterable[StoreRequest], on_failure: Failure) -> None:
        self._log = log
        self._jobs = Workers("revisions", 1, on_failure, min_threads=1)
        self._candidates = {_identity(x): x for x in candidates}
        """Handed in and not known to be accepted or overtaken, oldest first."""
        self._bytes = self._records = 0
        """Handed in since the last snapshot, before compression."""
        self._snapshot_bytes = 0
        """Of the last snapshot."""

    @classmethod
    def open(
        cls, folder: Path, logger: Logger, on_failure: Failure, disk: Disk | None = None
    ) -> tuple[RevisionFiles, Recovered]:
        """Read what is there. A damaged folder is put aside, and this starts with an empty one. Raises
        OSError."""
        path = folder / REVISIONS_FOLDER
        path.mkdir(parents=True, exist_ok=True)
        try:
            log, found = Log.open(path, on_failure, disk=disk)
        except DamagedError as error:
            return cls._open_empty(path, str(error), logger, on_failure, disk)
        reading = _Reading()
        try:
            for record in (*found.snapshot, *found.records):
                reading.take(record)
        except FilesError as error:
            log.close()
            log.wait_closed(CLOSE_SECONDS)
            return cls._open_empty(path, f"{path}: {error}", logger, on_failure, disk)
        if found.torn:
            logger.info("revisions_torn", cause=found.torn)
        candidates = tuple(reading.candidates[-MOST_CANDIDATES:])
        recovered = Recovered(reading.snapshot, tuple(reading.deltas), candidates, found.torn)
        return cls(log, candidates, on_failure), recovered

    @classmethod
    def _open_empty(
        cls, path: Path, cause: str, logger: Logger, on_failure: Failure, disk: Disk | None
    ) -> tuple[RevisionFiles, Recovered]:
        aside = _free_name(path.with_name(path.name + DAMAGED_SUFFIX))
        os.rename(path, aside)
        path.mkdir()
        logger.error("revisions_damaged", cause=cause, kept_as=str(aside), what="starts from a snapshot")
        log, _ = Log.open(path, on_failure, disk=disk)
        return cls(log, (), on_failure), Recovered(damaged=cause)

    def store_candidate(self, request: StoreRequest, done: Done) -> None:
        """Keep the content of a revision that is put to the vote."""
        self._candidates[_identity(request)] = request
        if len(self._candidates) > MOST_CANDIDATES:
            del self._candidates[next(iter(self._candidates))]
        self._count(request.delta.changes)
        self._jobs.submit(lambda: self._append(_pieces(ContentKind.CANDIDATE, _packed(request)), done))

    def accept(self, revision: RevisionId, root: bytes) -> None:
        """A candidate that was stored here was accepted; nobody has to wait until that is durable."""
        self._overtake(revision)
        self._records += 1
        self._jobs.submit(lambda: self._append([AcceptedMark(revision, root)], _nobody_waits))

    def store_accepted(self, content: Content, done: Done) -> None:
        """Keep an accepted revision that was read from another machine."""
        if isinstance(content, Snapshot):
            self._overtake(content.revision)
            self._hand_in(ContentKind.SNAPSHOT, content, done)
        else:
            self._overtake(content.target)
            self._hand_in(ContentKind.DELTA, content, done)

    def _overtake(self, revision: RevisionId) -> None:
        """Candidates up to an accepted revision are of no use any more."""
        self._candidates = {x: y for x, y in self._candidates.items() if y.delta.target > revision}

    def _hand_in(self, kind: ContentKind, content: Content, done: Done) -> None:
        self._count(content.items if isinstance(content, Snapshot) else content.changes)
        self._jobs.submit(lambda: self._append(_pieces(kind, _encoded(content)), done))

    def _count(self, changes: Sequence[Change]) -> None:
        self._bytes += approximate_size(changes)
        self._records += 1

    def _append(self, records: Iterable[Record], done: Done) -> None:
        encoded = [msgspec.msgpack.encode(x) for x in records]
        told = _AllDone(len(encoded), done)
        for record in encoded:
            self._log.append(record, told.one)

    def wants_snapshot(self) -> bool:
        """Whether so much was handed in that a snapshot is due."""
        most_bytes = max(SNAPSHOT_AFTER_BYTES, self._snapshot_bytes)
        return self._bytes > most_bytes or self._records > SNAPSHOT_AFTER_RECORDS

    def compact(self, snapshot: Snapshot) -> None:
        """Let a snapshot of all that was handed in as accepted, and the open candidates, stand for what was
        handed in before this call."""
        candidates = tuple(self._candidates.values())
        self._snapshot_bytes = approximate_size(snapshot.items)
        self._bytes = self._records = 0
        self._jobs.submit(lambda: self._compact(snapshot, candidates))

    def _compact(self, snapshot: Snapshot, candidates: Sequence[StoreRequest]) -> None:
        pieces = list(_pieces(ContentKind.SNAPSHOT, _encoded(snapshot)))
        for candidate in candidates:
            pieces += _pieces(ContentKind.CANDIDATE, _packed(candidate))
        self._log.compact([msgspec.msgpack.encode(x) for x in pieces])

    def close(self, limit: float) -> bool:
        """Write what was handed in; whether that was done within `limit` seconds for each of two steps."""
        idle = self._jobs.wait_idle(limit)
        self._log.close()
        return self._log.wait_closed(limit) and idle


def _encoded(content: Content) -> bytes:
    return encode_snapshot(content) if isinstance(content, Snapshot) else encode_delta(content)


def _packed(request: StoreRequest) -> bytes:
    return msgspec.msgpack.encode(request)


def _identity(request: StoreRequest) -> CandidateId:
    return request.delta.target, request.delta.root


def _nobody_waits(trouble: str) -> None:
    """The vote's own record is durable already: without this mark the content stays a candidate."""


class _AllDone:
    """Tells `done` once all records of a content are durable, or with the first trouble. The log's thread
    alone calls it, but for a log that is closed."""

    def __init__(self, count: int, done: Done) -> None:
        self._left, self._done, self._trouble = count, done, ""

    def one(self, error: OSError | None) -> None:
        """One more record is durable, or is not."""
        if error is not None and not self._trouble:
            self._trouble = str(error) or "can't be written"
        self._left -= 1
        if self._left == 0:
            self._done(self._trouble)


def _pieces(kind: ContentKind, data: bytes) -> Iterator[Piece]:
    starts = range(0, max(1, len(data)), PIECE_BYTES)
    for index, start in enumerate(starts):
        yield Piece(kind, index, start + PIECE_BYTES >= len(data), data[start : start + PIECE_BYTES])


def _free_name(path: Path) -> Path:
    """This path, or it with the lowest number behind it that is not taken."""
    found, number = path, 1
    while found.exists():
        number += 1
        found = path.with_name(f"{path.name}-{number}")
    return found


class HeldRevision:
    """The last revision that a gateway had in force, in one file that is replaced whole."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def load(self) -> Snapshot | None:
        """None: there is no file. Raises OSError; FilesError where it is damaged or of another version."""
        try:
            data = self._path.read_bytes()
        except FileNotFoundError:
            return None
        start = len(HELD_MAGIC)
        if data[:start] != HELD_MAGIC:
            raise FilesError(f"{self._path}: no file of a revision, or of another version")
        content = data[start + DIGEST_BYTES :]
        if _checksum(content) != data[start : start + DIGEST_BYTES]:
            raise FilesError(f"{self._path}: damaged: its {len(data)} bytes do not fit their checksum")
        try:
            return decode_snapshot(content)
        except MessageError as error:
            raise FilesError(f"{self._path}: {error}") from error

    def save(self, snapshot: Snapshot) -> None:
        """Durable when this returns. Raises OSError."""
        content = encode_snapshot(snapshot)
        replace_file(self._path, HELD_MAGIC + _checksum(content) + content)


def _checksum(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES, person=b"otter-held").digest()

"""Paid attempts over a kill: what is written before one goes out, what a new start makes of what it finds.

The danger is a viewer charged twice: the gateway dies between the set-up's first byte and its answer, the
viewer comes back with the same key, and a new set-up goes out beside one that ran. So an attempt is on disk
before it is sent, its fate after it is known, and whatever is open at a start is found out before its viewer
is answered.

An attempt's life is the table `NEXT`, each step one record.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

import msgspec

from . import interface as api

Key = tuple[str, int, str]


class Fate(Enum):
    BEGUN = "begun"
    NEVER_RAN = "never ran"
    RAN = "ran"
    OVER = "over"
    UNSURE = "unsure"
    TAKEN = "taken over"
    """It plays on at another gateway, which has it from here on: of no account here, and not over."""


class Word(Enum):
    """What a host says of a set-up's key when it is asked."""

    PLAYS = "plays"
    """It runs."""
    NEVER = "never"
    """It never ran, and by asking never will: the host remembers the key as refused."""
    ENDED = "ended"
    """It ran and is over."""
    SILENT = "silent"
    """No answer, or one that says nothing."""
    RESTARTED = "restarted"
    """The host has started anew since: what ran there is over, whether it ran nobody knows."""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One record of the log: an attempt as of now. Unix seconds: the only clock that a restart shares."""

    setup: str
    """The set-up's key at its host, never used twice."""
    fate: Fate
    at: float
    key: Key
    server: int
    epoch: str = ""
    """Of the host's run that it was sent to; empty: not known."""
    rung: int = 0
    top: int = 0


class EntryError(ValueError):
    """Bytes that are no record of this program."""


def encode(entry: Entry) -> bytes:
    return msgspec.msgpack.encode(entry)


def decode(data: bytes) -> Entry:
    """Raises EntryError."""
    try:
        return msgspec.msgpack.decode(data, type=Entry)
    except msgspec.MsgspecError as error:
        raise EntryError(f"record of the attempts' log: {error}") from error


NEXT: dict[Fate, frozenset[Fate]] = {
    # On disk, and perhaps sent. RAN once its viewer is told, so its end before that is no OVER.
    Fate.BEGUN: frozenset({Fate.NEVER_RAN, Fate.RAN, Fate.UNSURE, Fate.TAKEN, Fate.OVER}),
    # It plays and its viewer knows: a start finds it again, another gateway may take it, or it ends.
    Fate.RAN: frozenset({Fate.RAN, Fate.OVER, Fate.TAKEN}),
    # It may have run unseen: nothing changes that but time.
    Fate.UNSURE: frozenset(),
    # Nothing of it matters any more; the book has forgotten it.
    Fate.NEVER_RAN: frozenset(), Fate.OVER: frozenset(), Fate.TAKEN: frozenset(),
}  # fmt: skip
"""What may be written of an attempt after what. The explorer holds every step of every world to it."""

FORGETS = {Fate.NEVER_RAN, Fate.OVER, Fate.TAKEN}
"""Fates after which nothing about an attempt matters any more."""


class Book:
    """Every attempt that still matters, by its set-up's key."""

    def __init__(self, unsure_for: float) -> None:
        """`unsure_for`: seconds for which an unsure attempt keeps its viewer from being charged again."""
        self._unsure_for = unsure_for
        self.entries: dict[str, Entry] = {}
        self.appended = 0
        """Records since the last snapshot."""

    def note(self, entry: Entry) -> bytes:
        """Take an entry into the book; the record to write."""
        self._take(entry)
        self.appended += 1
        return encode(entry)

    def _take(self, entry: Entry) -> None:
        if entry.fate in FORGETS:
            self.entries.pop(entry.setup, None)
        else:
            self.entries[entry.setup] = entry

    def changed(self, setup: str, fate: Fate, now: float) -> bytes | None:
        """An attempt's fate is known; the record to write, None where the book has no such attempt."""
        entry = self.entries.get(setup)
        if entry is None:
            return None
        return self.note(msgspec.structs.replace(entry, fate=fate, at=now))

    def restore(self, records: Iterable[bytes]) -> None:
        """Read what a log held, in order. Raises EntryError."""
        for record in records:
            self._take(decode(record))

    def prune(self, now: float) -> None:
        """Forget what was unsure for as long as stated.

        A wall clock that was set back makes entries stand in the future: they are kept, which is the safe
        side; one that was set far ahead forgets early, as any time stated in seconds must.
        """
        for setup, entry in list(self.entries.items()):
            if entry.fate is Fate.UNSURE and now - entry.at > self._unsure_for:
                del self.entries[setup]

    def snapshot(self, now: float) -> list[bytes]:
        """What a new start needs, in place of all that was written before."""
        self.prune(now)
        self.appended = 0
        return [encode(x) for x in self.entries.values()]

    def wants_snapshot(self) -> bool:
        """Whether the log has grown well beyond what matters of it."""
        return self.appended > 1000 + 4 * len(self.entries)

    def of_fate(self, *fates: Fate) -> list[Entry]:
        return [x for x in self.entries.values() if x.fate in fates]


@dataclass(frozen=True, slots=True)
class Question:
    """An attempt that was open at the start, being found out."""

    entry: Entry
    asked: int = 0
    until: float = 0.0
    """Monotonic time after which no more is asked."""


@dataclass(frozen=True, slots=True)
class Settled:
    """What has been found out: its fate, and whether its place at the host is given back or taken over."""

    fate: Fate
    release: bool = False
    adopt: bool = False
    resumed: bool = False
    """It was asked about because a viewer came with its address, not because a log had it open."""


def heard(entry: Entry, status: int, never_ran: bool, epoch: str) -> Word:
    """What a host's answer about a set-up's key says.

    A host that has started anew has forgotten: its "never ran" is no proof for what its last run did.
    """
    if status == 200:
        return Word.PLAYS
    if not entry.epoch or epoch != entry.epoch:
        return Word.RESTARTED if status in (404, 410) else Word.SILENT
    if status == 404 and never_ran:
        return Word.NEVER
    return Word.ENDED if status == 410 else Word.SILENT


def settle(question: Question, word: Word, now: float) -> Settled | None:
    """The verdict on an open attempt after a host's word; None: ask again.

    BEGUN only: nothing is known of it. RAN: it played when the gateway died, and the host says whether it
    still does. What cannot be found out in time is unsure if it may never have been answered, and over if it
    played: a viewer whose session broke may ask for a new one.
    """
    played = question.entry.fate is Fate.RAN
    if word is Word.PLAYS:
        return Settled(Fate.RAN, adopt=True)
    if word is Word.NEVER:
        # The host's record of a set-up that played is gone with a restart of its own: that is an end.
        return Settled(Fate.OVER if played else Fate.NEVER_RAN)
    if word is Word.ENDED:
        # It ran, and its viewer never saw it unless it played: charged, and not to be charged again.
        return Settled(Fate.OVER if played else Fate.UNSURE)
    if word is Word.RESTARTED:
        return Settled(Fate.OVER if played else Fate.UNSURE)
    if now < question.until:
        return None
    return Settled(Fate.OVER if played else Fate.UNSURE, release=True)


class Recovery:
    """All that was open at the start, until each is settled. No I/O: `ask` says whom to ask, `told` what it
    means."""

    def __init__(self, entries: Iterable[Entry], now: float, patience: float) -> None:
        """`patience`: seconds for which hosts are asked, from `now` on the monotonic clock."""
        self.open = {x.setup: Question(x, until=now + patience) for x in entries}
        self.settled: dict[Fate, int] = {}

    def holds(self, key: Key) -> bool:
        """Whether a viewer's session is still being found out."""
        return any(x.entry.key == key for x in self.open.values())

    def ask(self) -> list[Entry]:
        """Whom to ask now, and once more after each word that settled nothing."""
        return [x.entry for x in self.open.values()]

    def told(self, setup: str, word: Word, now: float) -> tuple[Entry, Settled] | None:
        """A host's word; what it settles, or None where it settles nothing or comes late."""
        question = self.open.get(setup)
        if question is None:
            return None
        verdict = settle(question, word, now)
        if verdict is None:
            self.open[setup] = replace(question, asked=question.asked + 1)
            return None
        del self.open[setup]
        self.settled[verdict.fate] = self.settled.get(verdict.fate, 0) + 1
        return question.entry, verdict


def resumed(word: Word) -> Settled:
    """The verdict on a session whose viewer came with its signed address: it played once, that is certain.

    So whatever the host says but that it plays means an end; nothing is unsure of it.
    """
    plays = word is Word.PLAYS
    return Settled(Fate.RAN if plays else Fate.OVER, adopt=plays, resumed=True)


def fate_of(outcome: api.Outcome) -> Fate:
    """What an attempt's outcome means for its record."""
    if outcome is api.Outcome.DONE:
        return Fate.RAN
    return Fate.NEVER_RAN if outcome in api.NEVER_RAN else Fate.UNSURE

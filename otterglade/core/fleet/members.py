"""Who is in the fleet and how each stands: a gossiping failure detector whose cost does not grow with the
fleet.

SWIM (Das, Gupta, Motivala 2002): each period one member is asked, in a shuffled round; without an answer a
few others are asked to ask it; without any it is *suspect*, and dead when nobody has heard its denial in
time. Words ride on these messages, the least told first. Lifeguard (Dadgar, Phillips, Currey 2018): who
gets no answers at all, who was suspected, or who stood still doubts itself first and asks more slowly; a
suspicion that nobody else shares lasts longer. Two members whose halves of the fleet had parted meet again
because the dead are asked now and then, and because each message has two words in turn about everybody.

Who is *configured* is fixed, and so is every table's size; only how each stands is found out here. Nothing
that stands here licenses anything: it makes a gateway wait, ask another, or say so.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from .messages import ROOM, Kind, Message, Piece, Seen
from .standing import NEWER, NEXT, Number, Said, Standing, said

MOST_MEMBERS = 4096
"""Configured at most."""
MOST_ASKED = 64
"""Questions on behalf of others that are out at once; more are dropped, which costs the asker a doubt."""
WORST = 8
"""Of the own health; the period is up to nine times as long."""


@dataclass(frozen=True, slots=True)
class Pace:
    """How often, how long and how much; seconds and counts."""

    period: float = 1.0
    """Between two questions of one's own."""
    answer: float = 0.4
    """For a direct answer; the rest of the period is for those who ask in one's place."""
    helpers: int = 3
    pieces: int = 16
    """Words on a message that are news, at most; two more go round in turn. So many that a fleet that
    starts at once, all of it news, does not hold up a denial."""
    told: int = 4
    """News is passed on this often, times the decimal logarithm of the fleet's size."""
    hold: float = 4.0
    """Periods that a suspicion lasts at least, times that logarithm; six times as long where nobody shares
    it."""
    meet: int = 3
    """Members that were never heard of asked in a period."""
    again: int = 5
    """Periods between two questions to one held dead."""


@dataclass(slots=True)
class Peer:
    """A configured member as it is seen from here. Times are this gateway's own."""

    name: str
    standing: Standing = Standing.UNKNOWN
    number: Number = (0, 0)
    run: str = ""
    since: float = 0.0
    """When it came to stand so."""
    why: str = "not heard of yet"
    by: set[str] = field(default_factory=set)
    """Who suspects it."""
    heard: float = -math.inf
    """When a message of this run last came from it."""
    began: float = 0.0
    """When its run began, as it tells."""
    phase: str = ""
    floor: int = 0
    """The highest boot of it that an earlier run of this gateway knew: older ones are not listened to."""
    seen: Seen = field(default_factory=Seen)
    hello: float = -math.inf
    """When it was last told that it speaks to another run."""

    @property
    def known(self) -> int:
        """The highest boot of it that is known."""
        return max(self.floor, self.number[0])


@dataclass(frozen=True, slots=True)
class Change:
    """For the log and for those that wait."""

    name: str
    before: Standing
    after: Standing
    why: str


@dataclass(frozen=True, slots=True)
class Heard:
    """What became of a message."""

    taken: bool
    """Its sender, run and number were good, so what it carries counts; whatever its words about others are
    worth."""
    answers: list[Message]


@dataclass(slots=True)
class _Question:
    about: str
    until: float
    own: bool = False
    """The probe of this period, not a try to meet someone."""
    helped: bool = False
    nacks: int = 0
    helpers: int = 0
    asker: str = ""
    asked: int = 0
    """On whose behalf, and what he calls it."""


class Members:
    """One gateway's view. `tick` when `due`, `received` for each message; both say what to send."""

    def __init__(
        self,
        name: str,
        boot: int,
        run: str,
        peers: Iterable[str],
        now: float,
        seed: int,
        pace: Pace | None = None,
        floors: Mapping[str, int] | None = None,
    ) -> None:
        """`boot`: counts this gateway's starts, from 1, and is on its disk before it is used here. `floors`:
        the highest boots of others that an earlier run knew."""
        self.name, self.boot, self.turn, self.run = name, boot, 0, run
        floors = floors or {}
        self.peers = {x: Peer(x, since=now, floor=floors.get(x, 0)) for x in sorted(peers) if x != name}
        if len(self.peers) >= MOST_MEMBERS:
            raise ValueError(f"peers.members: found {len(self.peers)}; allowed: under {MOST_MEMBERS}")
        self.pace = pace or Pace()
        self.began = now
        self.health = 0
        """0: answers come; up to WORST: doubts itself."""
        self.phase = ""
        self.behind = 0
        """A boot of this name that others know and that is not this run's; 0: none."""
        self.met = False
        """Somebody has taken a message of this run."""
        self.changes: list[Change] = []
        self.dropped: dict[str, int] = {}
        """Messages that changed nothing, by reason."""
        self._suspects: set[str] = set()
        self._random = random.Random(seed)
        self._numbers, self._questions_made = 0, 0
        self._questions: dict[int, _Question] = {}
        self._round: list[str] = []
        self._news: dict[str, int] = {}
        self._turning = 0
        self._periods = 0
        self._next = now + self._random.random() * self.pace.period
        self._leaving = False

    # What others of this gateway ask

    def standing(self, name: str) -> Standing:
        return Standing.ALIVE if name == self.name else self.peers[name].standing

    def living(self) -> list[str]:
        """Others that are not known to be away, suspects included: a doubt is no reason to pass one over."""
        return [x.name for x in self.peers.values() if x.standing in (Standing.ALIVE, Standing.SUSPECT)]

    def due(self) -> float:
        """When `tick` has something to do next."""
        times = [self._next, *(x.until for x in self._questions.values())]
        if self._suspects:
            size = self._size()
            times += [self._expires(self.peers[x], size) for x in self._suspects]
        return min(times)

    def _size(self) -> int:
        """Of the fleet as far as it lives, this gateway included."""
        return len(self.living()) + 1

    def drained(self) -> list[Change]:
        """What has changed since this was last asked."""
        found, self.changes = self.changes, []
        return found

    def message(
        self, kind: Kind, to: str, now: float, question: int = 0, about: str = "", body: bytes = b""
    ) -> Message:
        """A message of this run, numbered, with words about others on it as far as there is room: with a long
        body or long names it would not go out at all."""
        self._numbers += 1
        peer = self.peers[to]
        bare = Message(
            kind,
            self.name,
            self.boot,
            self.turn,
            self.run,
            self._numbers,
            to,
            peer.run,
            now - self.began,
            question,
            about,
            peer.known,
            self.phase,
            body=body,
        )
        room = ROOM - len(msgspec.msgpack.encode(bare)) - 2  # which the count of the words may take
        return msgspec.structs.replace(bare, pieces=self._pieces(to, room))

    def leave(self, now: float) -> list[Message]:
        """This gateway stops in order: a few are told, and pass it on."""
        self._leaving = True
        living = self.living()
        told = self._random.sample(living, min(len(living), 2 * self.pace.helpers))
        return [self.message(Kind.LEAVE, x, now) for x in told]

    # Time

    def tick(self, now: float) -> list[Message]:
        """Ask, have asked, and let suspicions run out, as far as it is time."""
        out: list[Message] = []
        late = now - self._next
        if late > self.pace.period:
            self._stood_still(late)
        for number, question in list(self._questions.items()):
            if now >= question.until:
                out += self._unanswered(now, number, question)
        size = self._size()
        for name in sorted(self._suspects):
            peer = self.peers[name]
            if now >= self._expires(peer, size):
                by = ", ".join(sorted(peer.by))
                self._learn(now, peer, Said.EXPIRED, peer.number, f"did not refute the doubts of {by}")
        if now >= self._next:
            out += self._period(now)
        return out

    def _stood_still(self, late: float) -> None:
        """This process did not run: whose answer it did not read is not to blame, nor who could not refute.

        Without this a gateway that was stopped for ten seconds wakes and holds dead whom it had just asked.
        """
        self._doubt(1)
        self._questions = {}
        for name in self._suspects:
            self.peers[name].since += late

    def _doubt(self, more: int) -> None:
        self.health = max(0, min(WORST, self.health + more))

    def _period(self, now: float) -> list[Message]:
        self._periods += 1
        slower = 1 + self.health
        self._next = now + self.pace.period * slower
        out: list[Message] = []
        target = self._of_round()
        if target is not None:
            out.append(self._ping(now, target, self.pace.answer * slower, own=True))
        strangers = [x.name for x in self.peers.values() if x.standing is Standing.UNKNOWN]
        away = [x.name for x in self.peers.values() if x.standing is Standing.DEAD]
        asked = self._random.sample(strangers, min(len(strangers), self.pace.meet))
        if away and self._periods % self.pace.again == 0:
            asked.append(self._random.choice(away))
        return out + [self._ping(now, x, self.pace.answer * slower) for x in asked]

    def _of_round(self) -> str | None:
        """The next of a shuffled round, so that everybody is asked within a bounded time (SWIM, section
        4.3)."""
        while True:
            if not self._round:
                self._round = self.living()
                self._random.shuffle(self._round)
                if not self._round:
                    return None
            name = self._round.pop()
            if self.peers[name].standing in (Standing.ALIVE, Standing.SUSPECT):
                return name

    def _ping(self, now: float, to: str, within: float, **fields: object) -> Message:
        self._questions_made += 1
        self._questions[self._questions_made] = _Question(to, now + within, **fields)  # type: ignore[arg-type]
        return self.message(Kind.PING, to, now, question=self._questions_made)

    def _unanswered(self, now: float, number: int, question: _Question) -> list[Message]:
        if question.asker:
            del self._questions[number]
            return [
                self.message(Kind.NACK, question.asker, now, question=question.asked, about=question.about)
            ]
        if not question.own:
            del self._questions[number]
            return []
        others = [x for x in self.living() if x != question.about and self.peers[x].run]
        if not question.helped and others:
            helpers = self._random.sample(others, min(len(others), self.pace.helpers))
            question.helped, question.helpers = True, len(helpers)
            question.until = max(now, self._next - 0.05 * self.pace.period)
            again = self.message(Kind.PING, question.about, now, question=number)
            return [
                again,
                *(self.message(Kind.ASK, x, now, question=number, about=question.about) for x in helpers),
            ]
        del self._questions[number]
        # Helpers that did not even say that they had no answer: it may be this gateway that nobody hears. One
        # doubt a question, not one for each: where a third of all messages is lost, all would stand still.
        self._doubt(int(2 * question.nacks < question.helpers or not question.helpers))
        peer = self.peers[question.about]
        peer.by.add(self.name)
        self._learn(now, peer, Said.MISSED, peer.number, f"did not answer {self.name}")
        return []

    def _expires(self, peer: Peer, size: int) -> float:
        """When a suspicion runs out in a fleet of `size`: the more share it, the sooner (Lifeguard, section
        IV-B)."""
        least = self.pace.hold * max(1.0, math.log10(size)) * self.pace.period
        most = 6.0 * least
        expected = max(1, min(3, size - 2))
        share = math.log(max(1, len(peer.by))) / math.log(expected + 1)
        return peer.since + max(least, most - (most - least) * share)

    # What is heard

    def received(self, now: float, message: Message) -> Heard:
        """Take a message whose seal was good. What changes nothing is counted, and at most told so."""
        peer = self.peers.get(message.sender)
        if message.to != self.name:
            return self._pass("misrouted")
        if message.sender == self.name:
            if message.run != self.run:
                self.behind = max(self.behind, message.boot)
            return self._pass("own name")
        if peer is None:
            return self._pass("stranger")
        if message.boot < peer.known or (
            message.boot == peer.number[0] and peer.run and message.run != peer.run
        ):
            return self._pass("old run", self._hello(now, peer, message))
        if message.to_run != self.run:
            return self._pass("meant for another run", self._hello(now, peer, message))
        if message.run != peer.run:
            peer.seen = Seen()
        if not peer.seen.take(message.number):
            return self._pass("repeated")
        self._heard(now, peer, message)
        for piece in message.pieces:
            self._piece(now, piece)
        return Heard(True, self._answer(now, peer, message))

    def _pass(self, reason: str, answers: Iterable[Message] = ()) -> Heard:
        """Nothing of the message was taken."""
        self.drop(reason)
        return Heard(False, [*answers])

    def drop(self, reason: str) -> list[Message]:
        """Count what was not taken, by reason. No messages, for who answers with these."""
        self.dropped[reason] = self.dropped.get(reason, 0) + 1
        return []

    def _hello(self, now: float, peer: Peer, message: Message) -> list[Message]:
        """Tell a sender which run this is and which of its own is known here; seldom, as anyone may
        replay."""
        if now - peer.hello < self.pace.answer or message.kind is Kind.HELLO:
            return []
        peer.hello = now
        self._numbers += 1
        # A boot as high as its own tells a sender that another process has its name. Of whom no run is known
        # here, only its boot from an earlier run's disk, that would be its own boot told back to it: it would
        # stand aside for good, because somebody else was restarted. One that does not know this run yet is
        # starting itself, and asks with that boot whether it was used.
        another = (peer.run or not message.to_run) and peer.run != message.run
        known = peer.known if peer.known > message.boot or (peer.known == message.boot and another) else 0
        return [
            Message(
                Kind.HELLO,
                self.name,
                self.boot,
                self.turn,
                self.run,
                self._numbers,
                peer.name,
                message.run,
                age=now - self.began,
                knows=known,
                phase=self.phase,
            )
        ]

    def _heard(self, now: float, peer: Peer, message: Message) -> None:
        number = (message.boot, message.turn)
        known_run = "met" if not peer.run else "started anew"
        why = "refuted" if message.run == peer.run else known_run
        peer.run, peer.heard, peer.phase = message.run, now, message.phase
        peer.began = now - max(0.0, message.age)
        standing = Standing.LEFT if message.kind is Kind.LEAVE else Standing.ALIVE
        why = "said that it stops" if standing is Standing.LEFT else why
        if message.kind is Kind.HELLO:
            if message.knows >= self.boot:
                self.behind = max(self.behind, message.knows)
        else:
            self.met = True
        self._learn(now, peer, said(peer.number, standing, number), number, why)

    def _piece(self, now: float, piece: Piece) -> None:
        """A word passed on about a member."""
        try:
            standing = Standing(piece.standing)
        except ValueError:
            self.drop("unknown standing")
            return
        number = (piece.boot, piece.turn)
        if piece.name == self.name:
            self._of_me(standing, number)
            return
        peer = self.peers.get(piece.name)
        if peer is None or standing is Standing.UNKNOWN or piece.boot < 1:
            self.drop("word about nobody")
            return
        if piece.boot < peer.floor:
            self.drop("old run")
            return
        word = said(peer.number, standing, number)
        if word in NEWER:
            peer.by = set()
            if piece.boot > peer.number[0]:
                peer.run, peer.seen = piece.run, Seen()  # a start that others have seen first
        fresh = piece.by not in peer.by and len(peer.by) < self.pace.helpers
        if standing is Standing.SUSPECT and word is not Said.STALE and piece.by in (*self.peers, self.name):
            peer.by.add(piece.by)
            if word is Said.SUSPECT_SAME and fresh and peer.standing is Standing.SUSPECT:
                self._news[peer.name] = 0  # one more who doubts it: passed on, as it shortens the wait
        self._learn(now, peer, word, number, f"{standing.value}, says {piece.by or 'the fleet'}")

    def _of_me(self, standing: Standing, number: Number) -> None:
        """What is said of this gateway: denied with a higher turn, or a sign that it is not the only one."""
        if number[0] > self.boot:
            self.behind = max(self.behind, number[0])
        elif number[0] < self.boot or number[1] < self.turn or standing is Standing.ALIVE:
            return
        elif not self._leaving:
            self.turn = number[1] + 1
            self._news[self.name] = 0
            self._doubt(1)

    def _learn(self, now: float, peer: Peer, word: Said, number: Number, why: str) -> None:
        before = peer.standing
        after = NEXT[before, word]
        if word in NEWER:
            peer.number = number
            self._news[peer.name] = 0
        if after is before:
            return
        peer.standing, peer.since, peer.why = after, now, why
        (self._suspects.add if after is Standing.SUSPECT else self._suspects.discard)(peer.name)
        if after in (Standing.ALIVE, Standing.LEFT):
            peer.by = set()
        self._news[peer.name] = 0
        self.changes.append(Change(peer.name, before, after, why))

    def _answer(self, now: float, peer: Peer, message: Message) -> list[Message]:
        match message.kind:
            case Kind.PING:
                return [self.message(Kind.ACK, peer.name, now, question=message.question)]
            case Kind.ASK:
                if message.about not in self.peers or len(self._questions) >= MOST_ASKED:
                    return self.drop("asked too much")
                wait = self.pace.answer
                return [self._ping(now, message.about, wait, asker=peer.name, asked=message.question)]
            case Kind.ACK | Kind.NACK:
                return self._told(now, message)
            case Kind.HELLO if peer.standing in (Standing.ALIVE, Standing.SUSPECT):
                # Now its run is known: whatever was asked is asked again, to this run.
                mine = [n for n, x in self._questions.items() if x.about == peer.name]
                return [self.message(Kind.PING, peer.name, now, question=n) for n in mine[:1]]
        return []

    def _told(self, now: float, message: Message) -> list[Message]:
        question = self._questions.get(message.question)
        about = message.about or message.sender
        if question is None or question.about != about or (message.about and not question.own):
            return self.drop("answers nothing")
        if message.kind is Kind.NACK:
            question.nacks += 1
            return []
        del self._questions[message.question]
        if question.own:
            self._doubt(-1)
        if question.asker:
            return [self.message(Kind.ACK, question.asker, now, question=question.asked, about=about)]
        return []

    # What is passed on

    def _pieces(self, to: str, room: int) -> tuple[Piece, ...]:
        """Words of `room` bytes in all: what the receiver has to refute, news least told first, two in turn.
        One for which there is no room counts as not told."""
        size = len(self.peers) + 1
        limit = math.ceil(self.pace.told * max(1.0, math.log10(size)))
        words: dict[str, Piece] = {}

        def put(name: str) -> bool:
            nonlocal room
            word = self._word(name)
            length = len(msgspec.msgpack.encode(word))
            if length <= room:
                room -= length
                words[name] = word
            return name in words

        receiver = self.peers[to]
        if receiver.standing in (Standing.SUSPECT, Standing.DEAD, Standing.LEFT):
            put(to)  # so that it learns of it from the first message (Lifeguard's buddy system)
        news = sorted((x for x in self._news if x != to), key=lambda x: (self._news[x], x))
        for name in news[: self.pace.pieces]:
            if put(name):
                self._news[name] += 1
                if self._news[name] >= limit:
                    del self._news[name]
        known = [x.name for x in self.peers.values() if x.standing is not Standing.UNKNOWN and x.name != to]
        for _ in range(min(2, len(known))):
            name = known[(self._turning + 1) % len(known)]
            if name in words or put(name):
                self._turning += 1
        return tuple(words.values())

    def _word(self, name: str) -> Piece:
        if name == self.name:
            return Piece(name, Standing.ALIVE.value, self.boot, self.turn, self.run)
        peer = self.peers[name]
        by = ""
        if peer.standing is Standing.SUSPECT and peer.by:
            by = self.name if self.name in peer.by else min(peer.by)
        return Piece(name, peer.standing.value, *peer.number, peer.run, by)

"""Work that one gateway does for all: who owns it, what it has decided, and how all come to obey.

Who owns a duty is settled by its register at the voters (`register.py`). Its owner has each new state
accepted by a majority before anybody hears of it. Orders are *pulled*: each gateway asks the one above it in
a tree with the owner at the top, tells it the sum of itself and those below, and learns which order holds
and for how long still, counted from when it asked. So an answer that lay anywhere, in a queue, in the
kernel, in a process that was stopped, only brings what is left; and a process that wakes late finds by its
own clock that its lease is over before it answers anybody.

A new owner changes nothing until every order of the one before has run out (`Pace.mute`), and each gateway
refuses what is older than it has obeyed, durably where the effect outlives its process. See
docs/design-duties.md.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from .acceptor import Acceptor, Voter
from .actions import Send, Write
from .members import Members
from .messages import Kind, Message
from .proposer import Asked, Proposer
from .proposer_stages import Stage
from .register import MOST_COUNTER, Ask, Mark, Pace, Record, Says, Vote, Voted, Voters
from .standing import Standing
from .work import MOST_STATE, MOST_SUM, Order, Work

MOST_BODY = 960
"""Bytes of a body: what a datagram leaves beside its envelope and a few words."""
MOST_DUTIES = 8
MOST_CHANGES = 64
"""That wait to be drained; older ones go."""
SILENT = 3
"""Periods without an answer from the one above after which another is told the sums: by then the first has
forgotten them, so that nobody counts twice."""
AROUND = 16
"""Periods for which one that is silent is gone around."""
FRESH = 2.5
"""Periods for which a sum counts."""
FAILED = 10.0
"""Seconds after a record could not be written before a voter tries to be one again."""
URGENT = 0.8
"""Share of questions that go to voters where the one above does not answer: the rest finds a way around a cut
between this gateway and all voters."""
ASKED = 8
"""Questions a period to each voter from all that know of no owner, on average."""
TRIES = 3
"""Questions upwards in a period beside the first."""


class Part(msgspec.Struct, frozen=True, array_like=True):
    """Of an UP: what is told of one duty, and what is known of its orders."""

    duty: str
    term: int = 0
    number: int = 0
    tree: int = 0
    """The term that the sender's tree is of: sums of two trees could go round in a ring."""
    sum: bytes = b""


class Up(msgspec.Struct, frozen=True, array_like=True):
    parts: tuple[Part, ...]


class Told(msgspec.Struct, frozen=True, array_like=True):
    """Of a DOWN: the order that holds; with no time left: none does."""

    duty: str
    term: int
    number: int = 0
    owner: str = ""
    left: float = 0.0
    state: bytes | None = None
    """None: the asker has it."""
    heir: str = ""
    """Who is said to own in a later term than the order is of."""
    heir_term: int = 0


class Down(msgspec.Struct, frozen=True, array_like=True):
    told: tuple[Told, ...]


class Fence(msgspec.Struct, frozen=True, array_like=True, tag="fence"):
    """One record of the log: the highest order obeyed of a duty whose effect lasts."""

    duty: str
    term: int
    number: int
    owner: str
    state: bytes

    @property
    def mark(self) -> Mark:
        return self.term, self.number


class DutyError(ValueError):
    """Bytes that are no record of this program."""


@dataclass(frozen=True, slots=True)
class Turn:
    """For the log: something of a duty has changed here."""

    duty: str
    what: str
    term: int
    why: str


Action = Send | Write
P = TypeVar("P", Part, Told)


@dataclass(slots=True)
class _Asked:
    """A question upwards."""

    to: str
    at: float
    """The time from which what it brings is counted."""
    duties: tuple[str, ...]
    answered: bool = False


@dataclass(slots=True)
class _Line:
    """One duty here."""

    work: Work
    proposer: Proposer
    acceptor: Acceptor | None
    fence: Fence | None = None
    """The highest order obeyed; durable where it lasts."""
    order: Order | None = None
    coming: Order | None = None
    """Its fence is on its way to the disk."""
    root: str = ""
    root_term: int = 0
    """Who is said to own, and in which term: only says whom to ask."""
    sums: dict[str, tuple[float, bytes]] = field(default_factory=dict)
    try_at: float = 0.0
    tried: int = 0
    """Own tries that came to nothing since this gateway last owned the duty."""
    tries: int = 0
    """Questions upwards in this period."""
    ask_at: float = math.inf
    """When one more is to be asked."""
    silent: int = 0
    """Periods in which the one above said nothing, and that were gone around it since."""
    read: dict[str, Voted] = field(default_factory=dict)
    """What other voters have, for one that may have forgotten."""
    read_at: float = -math.inf
    """Not before: a disk that has just failed would fail again."""
    refused: dict[str, int] = field(default_factory=dict)
    """Orders not obeyed, and states not taken, by reason."""

    def heard(self, answered: bool) -> None:
        """The one above has answered, or has not; the one above that, once the first has long been silent:
        then the first is only tried again some time."""
        self.silent = 0 if answered and self.silent < SILENT else self.silent + 1
        if self.silent > SILENT + AROUND:
            self.silent = SILENT - 1

    def stand(self, fence: Fence) -> None:
        self.fence, self.proposer.seen = fence, fence.term

    def refuse(self, why: str) -> None:
        self.refused[why] = self.refused.get(why, 0) + 1


@dataclass(frozen=True, slots=True)
class _Writing:
    """A record on its way to the disk, and who waits for a word."""

    line: _Line
    record: Record | Fence
    to: str
    question: int


class Duties:
    """One gateway's part in all duties. Every method takes the time and says what to send and to write."""

    def __init__(
        self,
        members: Members,
        voters: Voters,
        works: Sequence[Work],
        now: float,
        seed: int,
        pace: Pace | None = None,
    ) -> None:
        """Raises ValueError where a voter is no member, or for more duties than MOST_DUTIES."""
        self.members = members
        """May be put in the place of one with a lower boot, of the same run: a ballot is never made twice."""
        self.voters, self.pace = voters, pace or Pace()
        strangers = {*voters.names, *voters.before} - {*members.peers, members.name}
        if strangers:
            raise ValueError(f"voters: found {', '.join(sorted(strangers))}; allowed: members")
        if len(works) > MOST_DUTIES:
            raise ValueError(f"duties: found {len(works)}; allowed: {MOST_DUTIES}")
        self._random = random.Random(seed)
        self._abstains = ""
        self._stopping = False
        self._began = now
        self._next = now + self._random.random() * self.pace.period
        self._votes = members.name in voters.all
        self._names = sorted((members.name, *members.peers), key=_weight)
        self._place = {x: n for n, x in enumerate(self._names)}
        """Rank, and place in the tree."""
        self._lines = {x.name: self._line(x, now) for x in works}
        self._asked: dict[int, _Asked] = {}
        self._questions = 0
        self._writes: dict[int, _Writing] = {}
        self._tokens = 0
        self._appended = 0
        self._unsaid: list[Action] = []
        """To be done at the next tick."""
        self.changes: deque[Turn] = deque(maxlen=MOST_CHANGES)

    def _line(self, work: Work, now: float) -> _Line:
        proposer = Proposer(work.name, self.members.name, self.members.run, self.voters, self.pace)
        acceptor = Acceptor(work.name, now, self.pace) if self._votes else None
        return _Line(work, proposer, acceptor, try_at=now + self.pace.lease + self._wait(0))

    # The own disk

    def restore(self, records: Iterable[bytes], now: float) -> None:
        """What the log held, in order; of duties that are no more it is passed over. Raises DutyError."""
        last: dict[str, Record] = {}
        for data in records:
            try:
                record = msgspec.msgpack.decode(data, type=Record | Fence)
            except msgspec.MsgspecError as error:
                raise DutyError(f"record of a duty: {error}") from error
            if isinstance(record, Record):
                last[record.duty] = record
            elif record.duty in self._lines:
                self._lines[record.duty].stand(record)
        for duty, line in self._lines.items():
            if line.acceptor is not None and duty in last:
                line.acceptor.restore(last[duty], now)
            if line.fence is not None and line.work.lasting:
                line.work.recall(now, _order(line.fence, now))

    @property
    def abstains(self) -> str:
        """Why this gateway does not vote; empty: it does, as far as it is one of the voters."""
        if self._abstains or not self._votes:
            return self._abstains
        states = {x.acceptor.state for x in self._lines.values() if x.acceptor is not None}
        return "reads what the others have" if states & {Voter.ABSTAINS, Voter.REBUILDS} else ""

    @abstains.setter
    def abstains(self, why: str) -> None:
        """Its disk may have forgotten. Empty: whatever was under way with a word that it gave is over, and it
        votes again once it has read what a majority of the others has."""
        if why == self._abstains:
            return
        self._abstains = why
        for line in self._lines.values():
            if why and line.acceptor is not None:
                self._unsaid.append(self._write(line, line.acceptor.doubt()))
                line.read = {}

    def wants_snapshot(self) -> bool:
        return self._appended > 1000

    def snapshot(self) -> list[bytes]:
        """All that stands, what is on its way to the disk included, in place of what was written before."""
        self._appended = 0
        out: list[Record | Fence] = []
        for line in self._lines.values():
            if line.acceptor is not None:
                out.append(line.acceptor.top)
            if line.work.lasting and line.coming is not None:
                out.append(_fence(line.coming))
            elif line.work.lasting and line.fence is not None:
                out.append(line.fence)
        return [msgspec.msgpack.encode(x) for x in out]

    def _write(self, line: _Line, record: Record | Fence, to: str = "", question: int = 0) -> Write:
        self._tokens += 1
        self._appended += 1
        self._writes[self._tokens] = _Writing(line, record, to, question)
        return Write(msgspec.msgpack.encode(record), self._tokens)

    def written(self, now: float, token: int, trouble: str = "") -> list[Action]:
        """A record is durable, or can't be."""
        self._wake(now)
        writing = self._writes.pop(token, None)
        if writing is None:
            return []
        line, acceptor = writing.line, writing.line.acceptor
        if isinstance(writing.record, Fence):
            return self._fenced(now, line, trouble)
        if acceptor is None or acceptor.writing is not writing.record:
            return []  # doubted meanwhile: it counts for nothing
        line.read_at = now + FAILED if trouble else -math.inf
        word = acceptor.written(now, trouble)
        return [] if word is None else self._word(now, line, writing.to, writing.question, word)

    # Time

    def due(self) -> float:
        """When `tick` has something to do next."""
        if self._unsaid:
            return -math.inf
        times = [self._next]
        for line in self._lines.values():
            times += [line.proposer.due(), line.ask_at]
            if line.order is not None:
                times.append(line.order.until)
            elif line.coming is None and line.proposer.stage is Stage.IDLE and not self._stopping:
                times.append(line.try_at)
        times += [x.at + self.pace.answer for x in self._asked.values() if not x.answered]
        return min(times)

    def tick(self, now: float) -> list[Action]:
        out, self._unsaid = self._unsaid, []
        self._wake(now)
        if now >= self._next:
            late = now - self._next
            self._next = now + self.pace.period if late > self.pace.period else self._next + self.pace.period
            out += self._period(now)
        for line in self._lines.values():
            out += self._asks(now, line, line.proposer.tick(now))
            mine = line.proposer
            if self._stopping and mine.stage is Stage.OWNS:
                out += self._hand(now, line)
            none = line.order is None and line.coming is None
            if mine.stage is Stage.IDLE and not self._stopping and none and now >= line.try_at:
                out += self._asks(now, line, mine.attempt(now))
            self._settle(now, line)
        return out + self._upwards(now)

    def _wake(self, now: float) -> None:
        """First of all, whatever it is that is done: what time has ended is over."""
        for line in self._lines.values():
            line.proposer.lapse(now)
            self._settle(now, line)
            if line.acceptor is not None:
                line.acceptor.tick(now)
            if line.order is not None and now >= line.order.until:
                self.changes.append(Turn(line.work.name, "lapsed", line.order.term, ""))
                line.order = None
                line.try_at = now + self._wait(0)
                line.work.lapsed(now)

    def _wait(self, tried: int) -> float:
        """Until this gateway's turn to try: by rank among the living, and drawn."""
        mine = self._place[self.members.name]
        rank = sum(self._place[x] < mine for x in self.members.living())
        step = self.pace.step
        wait = min(rank, 8) * step + self._random.random() * step * 2.0 ** min(tried, 5)
        return wait if rank < 8 else wait + self._random.random() * 40.0 * step

    def _settle(self, now: float, line: _Line) -> None:
        """What has come of the own tries since this was last looked at."""
        mine, held = line.proposer, line.proposer.held
        was = line.root == self.members.name
        if mine.owns and held is not None and (not was or line.root_term != held.term):
            line.root, line.root_term, line.tried = self.members.name, held.term, 0
            self.changes.append(Turn(line.work.name, "owns", held.term, ""))
            self._unsaid += self._publish(now, line)  # may be a fence to write
        elif was and not mine.owns:
            why = mine.why if mine.heir is None else f"hands over to {mine.heir.owner}"
            self.changes.append(Turn(line.work.name, "owns no more", line.root_term, why))
            line.root = ""
            if mine.heir is not None:
                line.root = mine.heir.owner  # its term is not accepted yet, and may be another's
        if mine.ended:
            mine.ended = False
            line.tried += 1
            line.try_at = now + mine.retry + self._wait(line.tried)

    def _period(self, now: float) -> list[Action]:
        out: list[Action] = []
        self._asked = {x: y for x, y in self._asked.items() if now < y.at + self.pace.hold}
        for line in self._lines.values():
            line.sums = {x: y for x, y in line.sums.items() if now - y[0] < FRESH * self.pace.period}
            line.tries = 0
            if line.proposer.owns:
                line.ask_at = math.inf
                out += self._decide(now, line)
                out += self._publish(now, line)
            else:
                line.ask_at = now
            out += self._rebuild(now, line)
        return out

    def _decide(self, now: float, line: _Line) -> list[Action]:
        """As owner: once the orders of the one before have run out, and one state after another."""
        mine = line.proposer
        if mine.stage is not Stage.OWNS or mine.held is None:
            return []
        if mine.unsettled:
            return self._asks(now, line, mine.change(now, mine.held.state))
        if now < mine.owned_at + self.pace.mute:
            return []
        state = line.work.decide(now, mine.held.state, self._sum(now, line))
        if len(state) > MOST_STATE:
            line.refuse("decided state too long")
            return []
        return [] if state == mine.held.state else self._asks(now, line, mine.change(now, state))

    def _sum(self, now: float, line: _Line) -> bytes:
        parts = [line.work.own(now), *(x for _, x in line.sums.values())]
        joined = line.work.join(parts)
        if len(joined) > MOST_SUM:
            line.refuse("sum too long")
            return b""
        return joined

    # Voting

    def _asks(self, now: float, line: _Line, asked: list[Asked]) -> list[Action]:
        """Carry questions to voters, to the own voter within."""
        out: list[Action] = []
        for to, question, vote in asked:
            if to != self.members.name:
                out.append(self._say(Kind.VOTE, to, now, vote, question))
            elif line.acceptor is not None and vote.ask is not Ask.YOURS:
                out += self._vote(now, line, to, self.members.run, question, vote)
        return out

    def _vote(self, now: float, line: _Line, to: str, run: str, question: int, vote: Vote) -> list[Action]:
        """As voter: answer, or write first."""
        assert line.acceptor is not None, "votes"
        word, record = line.acceptor.ask(now, to, run, vote)
        if record is not None:
            return [self._write(line, record, to, question)]
        return [] if word is None else self._word(now, line, to, question, word)

    def _word(self, now: float, line: _Line, to: str, question: int, word: Voted) -> list[Action]:
        word = msgspec.structs.replace(word, seen=line.proposer.seen)
        if to != self.members.name:
            return [self._say(Kind.VOTED, to, now, word, question)] if to in self.members.peers else []
        return self._told(now, line, to, question, word)

    def _told(self, now: float, line: _Line, voter: str, question: int, word: Voted) -> list[Action]:
        before = None if line.proposer.held is None else line.proposer.held.mark
        out = self._asks(now, line, line.proposer.told(now, voter, question, word))
        self._settle(now, line)
        held = line.proposer.held
        if line.proposer.owns and held is not None and before is not None and before != held.mark:
            out += self._publish(now, line)
        return out

    def _rebuild(self, now: float, line: _Line) -> list[Action]:
        """A voter that may have forgotten asks the others what they have, once its word is out of use."""
        acceptor = line.acceptor
        if acceptor is None or acceptor.state is not Voter.ABSTAINS or self._abstains or now < line.read_at:
            return []
        settled = max((x.settled for x in line.read.values()), default=0)
        lost = bool(self.voters.forced) and acceptor.kept.under < self.voters.number
        if lost or self.voters.enough(line.read, settled):
            record = acceptor.rebuilt(line.read.values(), self.voters.number if lost else 0)
            line.read = {}
            return [self._write(line, record)]
        vote = Vote(line.work.name, Ask.READ, (0, "", ""), self.voters.number)
        others = [x for x in self.voters.all if x != self.members.name and x not in line.read]
        return [self._say(Kind.VOTE, x, now, vote, 0) for x in others]

    def _say(self, kind: Kind, to: str, now: float, what: Vote | Voted | Up | Down, question: int) -> Send:
        return Send(self.members.message(kind, to, now, question, body=msgspec.msgpack.encode(what)))

    # What is heard

    def received(self, now: float, message: Message) -> list[Action]:
        """A message that Members has taken."""
        self._wake(now)
        out: list[Action] = []
        try:
            match message.kind:
                case Kind.VOTE:
                    out += self._voting(now, message, msgspec.msgpack.decode(message.body, type=Vote))
                case Kind.VOTED:
                    word = msgspec.msgpack.decode(message.body, type=Voted)
                    line = self._lines.get(word.duty)
                    if line is None:
                        self._drop("unknown duty")
                    elif word.ask is Ask.READ:
                        if word.says is Says.YES and message.sender in self.voters.all:
                            line.read[message.sender] = word
                    else:
                        out += self._told(now, line, message.sender, message.question, word)
                case Kind.UP:
                    out += self._up(now, message, msgspec.msgpack.decode(message.body, type=Up))
                case Kind.DOWN:
                    out += self._down(now, message, msgspec.msgpack.decode(message.body, type=Down))
        except msgspec.MsgspecError:
            self._drop("unreadable body")
        return out

    def _drop(self, why: str) -> None:
        self.members.dropped[why] = self.members.dropped.get(why, 0) + 1

    def _voting(self, now: float, message: Message, vote: Vote) -> list[Action]:
        line = self._lines.get(vote.duty)
        if line is None or (vote.held is not None and len(vote.held.state) > MOST_STATE):
            self._drop("unknown duty" if line is None else "unreadable body")
            return []
        if vote.ask is Ask.YOURS:
            if self._stopping:
                return []
            return self._asks(now, line, line.proposer.named(now, vote))
        if line.acceptor is None:
            self._drop("no voter here")
            return []
        return self._vote(now, line, message.sender, message.run, message.question, vote)

    # Orders

    def _above(self, line: _Line) -> str:
        """Whom to ask and tell: the one above in the tree that has the owner at its top, or above that one
        where it is away or has long been silent. Empty: there is none.

        All who go by one owner have one tree, and go only up in it: a sum never comes back to who told it.
        """
        place = self._place.get(line.root)
        if place is None or line.root == self.members.name:
            return ""
        mine = self._place[self.members.name]
        at, direct = mine + 1 if mine < place else mine, True
        while at:
            at = (at - 1) // self.pace.fan_out
            name = line.root if at == 0 else self._names[at - 1 if at <= place else at]
            if not self._away(name) and (not direct or line.silent < SILENT):
                return name
            direct = False
        return "" if self._away(line.root) else line.root

    def _away(self, name: str) -> bool:
        return self.members.standing(name) in (Standing.DEAD, Standing.LEFT)

    def _other(self, *names: str) -> str:
        """One of these, drawn, that is not known to be away; empty: there is none."""
        there = [x for x in names if x != self.members.name and not self._away(x)]
        return self._random.choice(there) if there else ""

    def _anyone(self, line: _Line) -> str:
        """A voter, as it knows of an owner first: mostly, while there is an order to lose; else so seldom
        that a large fleet asks each voter no more than a small one. Otherwise any member."""
        voters = self.voters.all
        share = URGENT if line.order is not None else min(0.5, ASKED * len(voters) / len(self._names))
        drawn = self._other(*voters) if self._random.random() < share else ""
        return drawn or self._other(*self.members.living())

    def _upwards(self, now: float) -> list[Action]:
        """Ask the one above for what holds, one message for all duties that are asked of the same one. Who
        gets no answer asks another, and tells it nothing: a sum goes one way."""
        for question in self._asked.values():
            if not question.answered and now >= question.at + self.pace.answer:
                question.answered = True
                for line in (self._lines[x] for x in question.duties):
                    if question.to == self._above(line):
                        line.heard(False)
                    if line.tries < TRIES:
                        line.ask_at = now
        wanted: dict[str, list[Part]] = {}
        for line in self._lines.values():
            if now < line.ask_at:
                continue
            line.ask_at = math.inf
            above, first = self._above(line), line.tries == 0
            line.tries += 1
            if line.proposer.owns:
                continue
            again = above and not first and line.silent == 0 and line.tries < TRIES  # it may go by us
            to = above if above and (first or again) else self._anyone(line)
            if to:
                term, number = (0, 0) if line.fence is None else line.fence.mark
                told = self._sum(now, line) if first and above else b""
                part = Part(line.work.name, term, number, line.root_term, told)
                wanted.setdefault(to, []).append(part)
        out: list[Action] = []
        for to, parts in wanted.items():
            for group in _packed(parts):
                self._questions += 1
                self._asked[self._questions] = _Asked(to, now, tuple(x.duty for x in group))
                out.append(self._say(Kind.UP, to, now, Up(tuple(group)), self._questions))
        return out

    def _up(self, now: float, message: Message, up: Up) -> list[Action]:
        told: list[Told] = []
        for part in up.parts[:MOST_DUTIES]:
            line = self._lines.get(part.duty)
            if line is None:
                self._drop("unknown duty")
                continue
            if part.sum and len(part.sum) <= MOST_SUM and part.tree == line.root_term:
                room = len(line.sums) < self.pace.fan_out + self.pace.guests
                if room or message.sender in line.sums:
                    line.sums[message.sender] = (now, part.sum)
                else:
                    line.refuse("sums of too many")
            told.append(self._tells(now, line, (part.term, part.number)))
        return [
            self._say(Kind.DOWN, message.sender, now, Down(tuple(x)), message.question) for x in _packed(told)
        ]

    def _tells(self, now: float, line: _Line, mark: Mark) -> Told:
        """What holds here, and for how long; as owner, which it was found to be at this very time."""
        held, order = line.proposer.held, line.order
        if line.proposer.owns and held is not None:
            state = None if mark == held.mark else held.state
            return Told(line.work.name, *held.mark, held.owner, self.pace.hold, state)
        owner, term = line.root, line.root_term
        kept = None if line.acceptor is None else line.acceptor.kept.held
        if kept is not None and kept.term > term:
            owner, term = kept.owner, kept.term
        if order is None or now >= order.until:
            return Told(line.work.name, 0, heir=owner, heir_term=term)
        state = None if mark == order.mark else order.state
        owner, term = (owner, term) if term > order.term else ("", 0)
        return Told(line.work.name, *order.mark, order.owner, order.until - now, state, owner, term)

    def _down(self, now: float, message: Message, down: Down) -> list[Action]:
        """An answer: counts only to a question that is open, from whom it was put to."""
        question = self._asked.get(message.question)
        if question is None or question.to != message.sender or now >= question.at + self.pace.hold:
            self._drop("answers nothing")
            return []
        question.answered = True
        out: list[Action] = []
        for told in down.told[:MOST_DUTIES]:
            line = self._lines.get(told.duty)
            if line is None or told.duty not in question.duties:
                self._drop("unknown duty")
                continue
            if question.to == self._above(line):
                line.heard(True)
            for owner, term in ((told.owner, told.term), (told.heir, told.heir_term)):
                holds = told.left > 0.0 and (owner, term) == (told.owner, told.term)
                proven = holds and term == line.root_term and owner != line.root  # the other was but said
                if (term > line.root_term or proven) and owner in self.members.peers:
                    line.root, line.root_term, line.silent = owner, term, 0
                    line.tries, line.ask_at = 0, now
            if 0.0 < told.left <= self.pace.hold:
                out += self._hear(now, line, told, question.at + told.left)
            if line.order is None and line.coming is None and line.root and line.tries <= TRIES:
                line.ask_at = min(line.ask_at, now + self.pace.again)
        return out

    def _publish(self, now: float, line: _Line) -> list[Action]:
        """The owner obeys as all do."""
        told = self._tells(now, line, (-1, -1))
        return self._hear(now, line, told, now + self.pace.hold)

    def _hear(self, now: float, line: _Line, told: Told, until: float) -> list[Action]:
        """An order that holds until then: obeyed unless it is older than one that was."""
        fence, mark = line.fence, (told.term, told.number)
        if now >= until:
            line.refuse("came too late")
            return []
        for stands in (fence, None if line.coming is None else _fence(line.coming)):
            if stands is None:
                continue
            if mark < stands.mark:
                line.refuse("older than one obeyed")
                return []
            if told.term == stands.term and told.owner != stands.owner:
                line.refuse("another owner's in one term")
                return []
            if mark == stands.mark and told.state not in (None, stands.state):
                line.refuse("another state under one mark")
                return []
        if fence is not None and mark == fence.mark:
            order = _order(fence, until)
            if line.order is not None and line.order.mark == mark:
                order = _order(fence, max(until, line.order.until))
            return self._obey(now, line, order)
        if told.state is None or len(told.state) > MOST_STATE or not 0 < told.term < MOST_COUNTER:
            return []
        order = Order(told.duty, told.term, told.number, told.owner, told.state, until)
        if not line.work.lasting:
            line.stand(_fence(order))
            return self._obey(now, line, order)
        if line.coming is not None:
            if line.coming.mark == mark:
                line.coming = _order(_fence(order), max(until, line.coming.until))
            return []  # a later one is heard again when the disk is through with this one
        line.coming = order
        return [self._write(line, _fence(order))]

    def _fenced(self, now: float, line: _Line, trouble: str) -> list[Action]:
        """The mark of the order that is coming is durable, or can't be: then it is not obeyed."""
        order, line.coming = line.coming, None
        assert order is not None, "one fence at a time is written"
        if trouble:
            line.refuse("its mark can't be recorded")
            return []
        line.stand(_fence(order))
        return self._obey(now, line, order) if now < order.until else []

    def _obey(self, now: float, line: _Line, order: Order) -> list[Action]:
        line.order = order
        line.work.obey(now, order)
        return []

    def order(self, duty: str, now: float) -> Order | None:
        """The order in force here now."""
        order = self._lines[duty].order
        return order if order is not None and now < order.until else None

    # Stop

    def hand_over(self, now: float) -> list[Action]:
        """This gateway stops as planned: its duties go to the best of the living, within a message's time."""
        self._wake(now)
        self._stopping = True
        return [x for line in self._lines.values() for x in self._hand(now, line)]

    def _hand(self, now: float, line: _Line) -> list[Action]:
        there = [
            x
            for x in self.members.living()
            if self.members.standing(x) is Standing.ALIVE and self.members.peers[x].run
        ]
        best = min(there, key=self._place.__getitem__, default="")
        if not best and line.proposer.owns:
            return []  # nobody is there: its lease runs out
        run = self.members.peers[best].run if best else ""
        out = self._asks(now, line, line.proposer.hand(now, best, run))
        self._settle(now, line)
        return out

    # For operators

    def drained(self) -> list[Turn]:
        """What has changed since this was last asked."""
        found = [*self.changes]
        self.changes.clear()
        return found

    def status(self, now: float) -> dict[str, object]:
        """This gateway's view, for operators."""
        return {
            "voters": list(self.voters.names),
            "voters_number": self.voters.number,
            "voters_forced": self.voters.forced,
            "abstains": self.abstains,
            "duties": {x: self._status(now, y) for x, y in self._lines.items()},
        }

    def _status(self, now: float, line: _Line) -> dict[str, object]:
        mine, order, fence = line.proposer, line.order, line.fence
        heard = [x for x in self.voters.all if now - mine.heard.get(x, -math.inf) < 2.0 * self.pace.lease]
        acceptor = line.acceptor
        return {
            "owner": None if order is None else order.owner,
            "term": 0 if fence is None else fence.term,
            "number": 0 if fence is None else fence.number,
            "holds_s": 0.0 if order is None else round(max(0.0, order.until - now), 3),
            "mine": mine.owns,
            "lease_s": round(mine.lease - now, 3) if mine.owns else 0.0,
            "quiet_s": round(max(0.0, mine.owned_at + self.pace.mute - now), 3) if mine.owns else 0.0,
            "stage": mine.stage.value,
            "tried": line.tried,
            "why": "" if order is not None else mine.why,
            "voters_heard": f"{len(heard)} of {len(self.voters.all)}",
            "voter": None if acceptor is None else acceptor.state.value,
            "settled": None
            if acceptor is None or acceptor.kept.held is None
            else acceptor.kept.held.voters_number,
            "above": line.root,
            "told_by": len(line.sums),
            "refused": dict(line.refused),
        }


def _weight(name: str) -> bytes:
    """Rank and place in the tree: the same for all duties, so that one gateway is at the top of all where it
    can be, and one question serves them all."""
    return hashlib.blake2b(name.encode(), digest_size=8, person=b"otter-duties").digest()


def _order(fence: Fence, until: float) -> Order:
    return Order(fence.duty, fence.term, fence.number, fence.owner, fence.state, until)


def _fence(order: Order) -> Fence:
    return Fence(order.duty, order.term, order.number, order.owner, order.state)


def _packed(parts: Sequence[P]) -> list[list[P]]:
    """In as few messages as hold them."""
    groups: list[list[P]] = []
    room = 0
    for part in parts:
        size = len(msgspec.msgpack.encode(part))
        if not groups or size > room:
            groups.append([])
            room = MOST_BODY
        groups[-1].append(part)
        room -= size
    return groups

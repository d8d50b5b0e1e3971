"""A register for each duty: who owns it and what stands, held by a few voters, without a log of what was.

CASPaxos (Rystsov 2018) with ballots as in Paxos (Lamport 1998, 2001): a value counts once a majority of the
configured voters has accepted it; who wants to change it first has a majority promise a higher ballot, reads
what they accepted, and goes on from the highest. A ballot that has won goes on to carry one value after
another, each marked `(term, number)`, the next one only after the one before was accepted by a majority.

The lease is kept at the voters: who has accepted from an owner, or renewed with it, promises to nobody else
for so long; who has (re)started promises to nobody for as long, as it may have forgotten that. Only rates of
clocks are trusted, within `Pace.drift`; no clock is compared with another's.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

Ballot = tuple[int, str, str]
"""Counter, name, run of who made it: two processes with one name never share one."""
NOBODY: Ballot = (0, "", "")
Mark = tuple[int, int]
"""Term and number of a value."""
MOST_COUNTER = 1 << 53
"""Of ballots and terms: more is no count of anything, and would leave nobody a higher one."""
FORCED_TERMS = 1 << 20
"""Terms that a person's way out skips: more than voters that are gone for good can have given since."""
MOST_REASON = 60
"""Bytes of a person's reason in a value."""


@dataclass(frozen=True, slots=True)
class Pace:
    """How often and how long, in seconds; counts."""

    period: float = 0.5
    """Between two questions upwards, two renewals, two decisions."""
    lease: float = 2.0
    """For which a voter keeps its word to an owner."""
    hold: float = 1.5
    """For which an order holds, from the question that brought it."""
    drift: float = 0.05
    """Share by which the lease is shortened at the owner and silence lengthened at the next: two clocks whose
    rates each are wrong by half of it."""
    answer: float = 0.3
    """After which another is asked, and for which a promise keeps others from trying."""
    again: float = 0.1
    """After which those who have said nothing are asked again."""
    round: float = 1.0
    """For a promise of a majority; a late one counts for nothing."""
    step: float = 0.1
    """Between the tries of one rank and the next."""
    fan_out: int = 8
    guests: int = 8
    """Sums taken from others than those below, whose own way up is cut."""

    @property
    def own_lease(self) -> float:
        """From the sending on, on the owner's clock."""
        return self.lease * (1.0 - self.drift)

    @property
    def mute(self) -> float:
        """For which a new owner changes nothing: longer than any order of the one before holds."""
        return self.hold / (1.0 - self.drift)


@dataclass(frozen=True, slots=True)
class Voters:
    """Who votes, as a person has named and numbered it."""

    names: tuple[str, ...]
    number: int = 1
    before: tuple[str, ...] = ()
    """The set numbered one lower, while it may still count."""
    forced: str = ""
    """Why the set before is not asked: a person's word that its majority is gone for good."""

    def __post_init__(self) -> None:
        if not self.names or self.number < 1:
            raise ValueError(f"voters: found {list(self.names)}, number {self.number}; allowed: some, from 1")

    @property
    def all(self) -> tuple[str, ...]:
        return tuple(sorted({*self.names, *(() if self.forced else self.before)}))

    def joint(self, settled: int) -> bool:
        """Whether a quorum needs both sets. `settled`: the number that both have accepted under."""
        return bool(self.before) and not self.forced and settled < self.number

    def enough(self, names: Collection[str], settled: int) -> bool:
        """Whether these are a majority of the configured voters, and of the set before where it counts; never
        of those that answered."""
        sets = (self.names, self.before) if self.joint(settled) else (self.names,)
        return all(sum(x in names for x in one) > len(one) // 2 for one in sets)

    def refuses(self, settled: int) -> str:
        """Why this set may not go on from a value that was settled under that number; empty: it may."""
        if settled > self.number:
            return f"voters number {settled} stands; this gateway's script has {self.number}"
        follows = self.joint(settled) and settled in (0, self.number - 1)
        if self.forced or follows or settled == self.number or (settled == 0 and self.number == 1):
            return ""
        return (
            f"voters number {self.number} can't follow {settled}: one was skipped, or voters_before left out"
        )


class Held(msgspec.Struct, frozen=True, array_like=True):
    """The value of a register."""

    term: int
    owner: str
    run: str
    number: int
    state: bytes
    voters_number: int
    """The highest that a majority of both sets has accepted under."""
    forced: str = ""
    """A person's reason, where that number was forced."""

    @property
    def mark(self) -> Mark:
        return self.term, self.number


class Ask(Enum):
    WOULD = "would"
    """Would you promise? Binds nobody (pre-vote: Ongaro 2014, section 9.6)."""
    PREPARE = "prepare"
    ACCEPT = "accept"
    RENEW = "renew"
    READ = "read"
    """What do you have? For a voter that may have forgotten."""
    YOURS = "yours"
    """To the successor at a planned stop: the value that names you is on its way to the voters."""


class Vote(msgspec.Struct, frozen=True, array_like=True):
    """A question to a voter."""

    duty: str
    ask: Ask
    ballot: Ballot
    number: int
    """Of the asker's set of voters."""
    held: Held | None = None


class Says(Enum):
    YES = "yes"
    NO = "no"
    WRITES = "writes"
    """Its disk is at it: no word yet, and no silence."""
    ABSTAINS = "abstains"


class Voted(msgspec.Struct, frozen=True, array_like=True):
    """A voter's word."""

    duty: str
    ask: Ask
    says: Says
    promised: Ballot = NOBODY
    accepted: Ballot = NOBODY
    held: Held | None = None
    """Told with a promise and to a reader."""
    settled: int = 0
    mark: Mark = (0, 0)
    """Of what it has accepted."""
    left: float = 0.0
    """Seconds for which it will promise to nobody."""
    under: int = 0
    """The highest number of a set of voters that it has accepted under."""
    seen: int = 0
    """The highest term of an order that this gateway has obeyed."""
    why: str = ""


class Record(msgspec.Struct, frozen=True, array_like=True, tag="voter"):
    """One record of the log: what a voter has promised and accepted of a duty from here on."""

    duty: str
    promised: Ballot = NOBODY
    accepted: Ballot = NOBODY
    held: Held | None = None
    under: int = 0
    """The highest number of a set of voters that it has accepted under."""
    doubt: bool = False
    """It may have forgotten: it votes again once it has read what the others have."""


# The voter


class Voter(Enum):
    STARTED = "started, may have forgotten whose lease runs"
    FREE = "keeps nobody's lease"
    PROMISED = "has promised a moment ago"
    LEASED = "keeps an owner's lease"
    PROMISES = "a promise is on its way to the disk"
    ACCEPTS = "an owner's record is on its way to the disk"
    ABSTAINS = "may have forgotten its word"
    REBUILDS = "what the others have is on its way to the disk"


class Event(Enum):
    WOULD = "asked whether it would promise"
    READ = "asked what it has"
    PREPARE = "asked to promise a higher ballot"
    RAISE = "asked by the owner whose value it has to promise a higher ballot"
    PREPARED = "asked again for the promise that stands"
    ACCEPT = "asked to accept what it has not, under no lower a ballot than promised"
    ACCEPTED = "asked again to accept what it has accepted"
    RENEW = "asked by the owner that it accepted to keep the lease"
    OLD = "asked under a lower ballot, mark or number of voters, or for what it never accepted"
    WRITTEN = "the record is durable"
    FAILED = "the record can't be written"
    PASSED = "the time it kept its word for is over"
    DOUBT = "told that its disk may have forgotten"
    REBUILT = "what a majority of the others has is known"


class Act(Enum):
    SAY = "yes"
    """What is durable is said, again where it was said before."""
    WRITE = "write, say nothing yet"
    REFUSE = "no"
    BUSY = "writes"
    ABSTAIN = "abstains"
    NOTHING = "-"


_ST, _FR, _PR, _LE, _WP, _WA, _AB, _RB = Voter
_SAY, _WRITE, _NO, _BUSY, _ABST, _NIL = Act

_ASKED = dict.fromkeys(list(Event)[:9], (_AB, _ABST))
NEXT: dict[tuple[Voter, Event], tuple[Voter, Act]] = {
    (state, event): after
    for state, row in {
        _ST: {
            Event.WOULD: (_ST, _NO), Event.READ: (_ST, _SAY), Event.PREPARE: (_ST, _NO),
            Event.RAISE: (_ST, _NO),
            Event.PREPARED: (_ST, _NO), Event.ACCEPT: (_WA, _WRITE), Event.ACCEPTED: (_LE, _SAY),
            Event.RENEW: (_LE, _SAY), Event.OLD: (_ST, _NO), Event.PASSED: (_FR, _NIL),
        },
        _FR: {
            Event.WOULD: (_FR, _SAY), Event.READ: (_FR, _SAY), Event.PREPARE: (_WP, _WRITE),
            Event.RAISE: (_WP, _WRITE),
            Event.PREPARED: (_PR, _SAY), Event.ACCEPT: (_WA, _WRITE), Event.ACCEPTED: (_LE, _SAY),
            Event.RENEW: (_LE, _SAY), Event.OLD: (_FR, _NO),
        },
        _PR: {
            Event.WOULD: (_PR, _NO), Event.READ: (_PR, _SAY), Event.PREPARE: (_WP, _WRITE),
            Event.RAISE: (_WP, _WRITE),
            Event.PREPARED: (_PR, _SAY), Event.ACCEPT: (_WA, _WRITE), Event.ACCEPTED: (_LE, _SAY),
            Event.RENEW: (_LE, _SAY), Event.OLD: (_PR, _NO), Event.PASSED: (_FR, _NIL),
        },
        _LE: {
            Event.WOULD: (_LE, _NO), Event.READ: (_LE, _SAY), Event.PREPARE: (_LE, _NO),
            Event.RAISE: (_WA, _WRITE),
            Event.PREPARED: (_LE, _SAY), Event.ACCEPT: (_WA, _WRITE), Event.ACCEPTED: (_LE, _SAY),
            Event.RENEW: (_LE, _SAY), Event.OLD: (_LE, _NO), Event.PASSED: (_FR, _NIL),
        },
        _WP: {
            Event.WOULD: (_WP, _BUSY), Event.READ: (_WP, _BUSY), Event.PREPARE: (_WP, _BUSY),
            Event.RAISE: (_WP, _BUSY), Event.PREPARED: (_WP, _BUSY),
            Event.ACCEPT: (_WP, _BUSY), Event.OLD: (_WP, _NO),
            Event.WRITTEN: (_PR, _SAY), Event.FAILED: (_AB, _ABST),
        },
        _WA: {
            Event.WOULD: (_WA, _NO), Event.READ: (_WA, _BUSY), Event.PREPARE: (_WA, _NO),
            Event.RAISE: (_WA, _BUSY), Event.PREPARED: (_WA, _BUSY),
            Event.ACCEPT: (_WA, _BUSY), Event.ACCEPTED: (_WA, _SAY),
            Event.RENEW: (_WA, _SAY), Event.OLD: (_WA, _NO), Event.WRITTEN: (_LE, _SAY),
            Event.FAILED: (_AB, _ABST),
        },
        _AB: {**_ASKED, Event.REBUILT: (_RB, _WRITE)},
        _RB: {
            **dict.fromkeys(_ASKED, (_RB, _ABST)),
            Event.WRITTEN: (_ST, _NIL), Event.FAILED: (_AB, _NIL),
        },
    }.items()
    for event, after in row.items()
} | {(x, Event.DOUBT): (_AB, _WRITE) for x in Voter}  # fmt: skip
"""A doubt is written too: a start in the middle of it would vote with an empty memory."""

UNREACHABLE: dict[tuple[Voter, Event], str] = {
    **{
        (x, y): "no record is on its way" for x in (_ST, _FR, _PR, _LE) for y in (Event.WRITTEN, Event.FAILED)
    },
    **{(_AB, x): "what was on its way is forgotten with the doubt" for x in (Event.WRITTEN, Event.FAILED)},
    **{(x, Event.PASSED): "keeps nobody's time" for x in (_FR, _AB, _RB)},
    **{(x, Event.PASSED): "its time is looked at once the record is there" for x in (_WP, _WA)},
    **{
        (_WP, x): "a ballot above what was accepted is as good as promised"
        for x in (Event.ACCEPTED, Event.RENEW)
    },
    **{(x, Event.REBUILT): "only one that abstains reads what others have" for x in Voter if x is not _AB},
}


class Acceptor:
    """One voter's part in one register. What it writes is durable before it is said."""

    def __init__(self, duty: str, now: float, pace: Pace) -> None:
        self.duty, self._pace = duty, pace
        self.state = Voter.STARTED
        self.until = now + pace.lease
        """When its word to an owner, or a promise's moment, is over."""
        self.kept = Record(duty)
        """Durable."""
        self.writing: Record | None = None
        self._due: tuple[Ask, float] | None = None
        """What the record on its way answers, and when it was asked."""

    @property
    def top(self) -> Record:
        """What no question may go below: the record on its way counts."""
        return self.writing or self.kept

    def restore(self, record: Record, now: float) -> None:
        """What the log held last."""
        self.kept = record
        if record.doubt:
            self._step(Event.DOUBT)
        self.until = now + self._pace.lease

    def ask(self, now: float, sender: str, run: str, vote: Vote) -> tuple[Voted | None, Record | None]:
        """A question: the word to give now, or the record to make durable before one is given."""
        self.tick(now)
        event = self._event(sender, run, vote)
        act = self._step(event)
        if act is Act.WRITE:
            kept = self.kept
            if vote.ask is Ask.PREPARE:
                self.writing = msgspec.structs.replace(kept, promised=vote.ballot)
            else:
                under = max(kept.under, vote.number)
                self.writing = Record(self.duty, vote.ballot, vote.ballot, vote.held, under)
                self.until = max(self.until, now + self._pace.lease)
            self._due = (vote.ask, now)
            return None, self.writing
        if act is Act.SAY:
            self._keep(now, event)
        return self._word(now, vote.ask, act, event), None

    def _step(self, event: Event) -> Act:
        self.state, act = NEXT[self.state, event]
        return act

    def _keep(self, now: float, event: Event) -> None:
        """Its word counts from when it was asked for."""
        if event in (Event.ACCEPTED, Event.RENEW):
            self.until = max(self.until, now + self._pace.lease)
        elif event is Event.PREPARED and self.state is Voter.PROMISED:
            self.until = now + self._pace.answer

    def _event(self, sender: str, run: str, vote: Vote) -> Event:
        top, kept, ballot = self.top, self.kept, vote.ballot
        if vote.ask is Ask.READ:
            return Event.READ
        if vote.number < top.under or not 0 <= ballot[0] < MOST_COUNTER:
            return Event.OLD
        match vote.ask:
            case Ask.WOULD:
                return Event.WOULD
            case Ask.PREPARE if ballot[1:] == (sender, run):
                if ballot > top.promised:
                    held = kept.held
                    mine = held is not None and (held.owner, held.run) == (sender, run)
                    return Event.RAISE if mine else Event.PREPARE
                return Event.PREPARED if ballot == top.promised else Event.OLD
            case Ask.ACCEPT if vote.held is not None and all(0 < x < MOST_COUNTER for x in vote.held.mark):
                if ballot < top.promised:
                    return Event.OLD
                place, stands = (ballot, vote.held.mark), (kept.accepted, _mark(kept.held))
                if place > stands:
                    return Event.ACCEPT
                return Event.ACCEPTED if place == stands else Event.OLD
            case Ask.RENEW if kept.held is not None and ballot == kept.accepted == top.promised:
                mine = (kept.held.owner, kept.held.run) == (sender, run)
                return Event.RENEW if mine else Event.OLD
        return Event.OLD

    def _word(self, now: float, ask: Ask, act: Act, event: Event | None = None) -> Voted:
        kept = self.kept
        says = {Act.SAY: Says.YES, Act.REFUSE: Says.NO, Act.BUSY: Says.WRITES}.get(act, Says.ABSTAINS)
        told = says is Says.YES and ask in (Ask.PREPARE, Ask.READ)
        binds = self.state not in (Voter.FREE, Voter.ABSTAINS, Voter.REBUILDS, Voter.PROMISES)
        return Voted(
            self.duty, ask, says, self.top.promised, kept.accepted, kept.held if told else None,
            0 if kept.held is None else kept.held.voters_number, _mark(kept.held),
            max(0.0, self.until - now) if binds else 0.0, kept.under,
            why=event.value if event is Event.OLD else self.state.value if says is not Says.YES else "",
        )  # fmt: skip

    def written(self, now: float, trouble: str = "") -> Voted | None:
        """The record on its way is durable, or can't be: the word to give now. None: to nobody."""
        record, due = self.writing, self._due
        if record is None:
            return None
        self.writing = self._due = None
        act = self._step(Event.FAILED if trouble else Event.WRITTEN)
        if not trouble:
            self.kept = record
        if self.state is Voter.STARTED:
            self.until = now + self._pace.lease
        if due is None:
            return None
        ask, _ = due
        if self.state is Voter.PROMISED:
            self.until = now + self._pace.answer
        return self._word(now, ask, act)

    def tick(self, now: float) -> None:
        """Let the time pass for which it kept its word."""
        if (self.state, Event.PASSED) in NEXT and now >= self.until:
            self._step(Event.PASSED)

    def doubt(self) -> Record:
        """Its disk may have forgotten. The record to write; nobody waits for it."""
        self._step(Event.DOUBT)
        self.writing = self._due = None
        self.kept = msgspec.structs.replace(self.kept, doubt=True)
        return self.kept

    def rebuilt(self, words: Iterable[Voted], under: int) -> Record:
        """What a majority has, this one not counted: the highest of it is taken over. The record to write."""
        self._step(Event.REBUILT)
        new = msgspec.structs.replace(self.kept, doubt=False, under=max(under, self.kept.under))
        for word in words:
            new = msgspec.structs.replace(
                new,
                promised=max(new.promised, word.promised, word.accepted),
                under=max(new.under, word.under),
            )
            if (word.accepted, word.mark) > (new.accepted, _mark(new.held)):
                new = msgspec.structs.replace(new, accepted=word.accepted, held=word.held)
        self.writing = new
        self._due = None
        return self.writing


def _mark(held: Held | None) -> Mark:
    return (0, 0) if held is None else held.mark


# Who wants the duty, and who has it


class Stage(Enum):
    IDLE = "wants nothing"
    ASKS = "asks whether voters would"
    PREPARES = "asks for promises"
    TAKES = "has its ownership accepted"
    OWNS = "owns the duty"
    RAISES = "owns it, and asks for promises of a higher ballot"
    CHANGES = "owns it, and has a new state accepted"
    HANDS = "has its successor accepted"
    NAMED = "named as successor, asks voters whether they know"


class Step(Enum):
    TRY = "its turn to try"
    ENOUGH = "a majority says yes"
    RENEWED = "a majority renews the lease"
    HOPELESS = "so many say no that there can be no majority"
    LATE = "its time is over"
    LAPSED = "the lease has run out"
    CHANGE = "a new state was decided"
    RAISE = "a voter has promised a higher ballot, and is lost to it under its own"
    STOP = "stops as planned"
    NAMED = "told that it is the successor"


_ID, _AS, _PP, _TA, _OW, _RA, _CH, _HA, _NA = Stage

STAGES: dict[tuple[Stage, Step], Stage] = {
    (_ID, Step.TRY): _AS,
    (_ID, Step.STOP): _ID,
    (_ID, Step.NAMED): _NA,
    (_AS, Step.ENOUGH): _PP,
    (_AS, Step.HOPELESS): _ID,
    (_AS, Step.LATE): _ID,
    (_AS, Step.STOP): _ID,
    (_AS, Step.NAMED): _NA,
    (_PP, Step.ENOUGH): _TA,
    (_PP, Step.HOPELESS): _ID,
    (_PP, Step.LATE): _ID,
    (_PP, Step.STOP): _ID,
    (_PP, Step.NAMED): _PP,  # its own ballot is the higher one by now
    (_TA, Step.ENOUGH): _OW,
    (_TA, Step.HOPELESS): _ID,
    (_TA, Step.LATE): _ID,  # whoever comes next finishes it, or voids it
    (_TA, Step.STOP): _ID,
    (_TA, Step.NAMED): _TA,
    (_OW, Step.RENEWED): _OW,
    (_OW, Step.HOPELESS): _ID,
    (_OW, Step.LAPSED): _ID,
    (_OW, Step.CHANGE): _CH,
    (_OW, Step.STOP): _HA,
    (_OW, Step.NAMED): _OW,
    (_OW, Step.RAISE): _RA,
    (_RA, Step.ENOUGH): _CH,
    (_RA, Step.HOPELESS): _ID,
    (_RA, Step.LAPSED): _ID,
    (_RA, Step.STOP): _RA,  # told again once it owns: under neither ballot could it name anybody
    (_RA, Step.NAMED): _RA,
    (_CH, Step.ENOUGH): _OW,
    (_CH, Step.RENEWED): _CH,
    (_CH, Step.HOPELESS): _ID,
    (_CH, Step.LAPSED): _ID,
    (_CH, Step.STOP): _HA,  # with the state that is on its way: it is finished by that, not halved
    (_CH, Step.NAMED): _CH,
    (_HA, Step.ENOUGH): _ID,
    (_HA, Step.HOPELESS): _ID,
    (_HA, Step.LAPSED): _ID,
    (_HA, Step.STOP): _HA,
    (_HA, Step.NAMED): _HA,
    (_NA, Step.ENOUGH): _OW,
    (_NA, Step.HOPELESS): _ID,
    (_NA, Step.LATE): _ID,
    (_NA, Step.STOP): _ID,
    (_NA, Step.NAMED): _NA,
}
STAGES_UNREACHABLE: dict[tuple[Stage, Step], str] = {
    **{(x, Step.TRY): "only who wants nothing yet has a turn" for x in Stage if x is not _ID},
    **{(_ID, x): "asks nothing" for x in (Step.ENOUGH, Step.HOPELESS, Step.LATE)},
    (_OW, Step.ENOUGH): "asks for nothing but its lease",
    **{(x, Step.LAPSED): "has no lease" for x in (_ID, _AS, _PP, _NA)},
    **{(x, Step.RENEWED): "has no lease to renew" for x in (_ID, _AS, _PP, _TA, _NA)},
    (_HA, Step.RENEWED): "who hands over renews no more",
    (_TA, Step.LAPSED): "what it asks for is late when the lease would have run out",
    **{(x, Step.LATE): "the lease is its limit" for x in (_OW, _RA, _CH, _HA)},
    **{(x, Step.CHANGE): "only an owner decides" for x in (_ID, _AS, _PP, _TA, _NA)},
    (_RA, Step.CHANGE): "its ballot goes first",
    (_RA, Step.RENEWED): "renews no more under the lower ballot, and not yet under the higher",
    **{(x, Step.RAISE): "only who owns, and has nothing on its way" for x in Stage if x is not _OW},
    (_CH, Step.CHANGE): "one state at a time is on its way",
    (_HA, Step.CHANGE): "who hands over decides no more",
}
OWNING = frozenset((_OW, _RA, _CH))
"""Stages in which orders are given."""


@dataclass(slots=True)
class Poll:
    """A question to all voters: each answers once, those that are silent are asked again."""

    question: int
    vote: Vote
    sent: float
    """First sent: what is counted from a question is counted from here."""
    limit: float
    again: float
    yes: dict[str, Voted] = field(default_factory=dict)
    no: dict[str, Voted] = field(default_factory=dict)
    waits: set[str] = field(default_factory=set)
    """Whose disks are at it."""


Asked = tuple[str, int, Vote]
"""Whom, under which question, what."""


class Proposer:
    """One gateway's part in one duty as candidate and as owner. `tick` when `due`."""

    def __init__(self, duty: str, name: str, run: str, voters: Voters, pace: Pace) -> None:
        self.duty, self.name, self.run, self.voters, self._pace = duty, name, run, voters, pace
        self.seen = 0
        """The highest term of an order that this gateway has obeyed."""
        self.stage = Stage.IDLE
        self.ballot: Ballot = NOBODY
        self.held: Held | None = None
        """What a majority has accepted, while it owns."""
        self.lease = -math.inf
        """When the ownership ends unless renewed, on the own clock."""
        self.owned_at = -math.inf
        self.why = "has not tried yet"
        """How the last try, or the last ownership, ended."""
        self.heard: dict[str, float] = {}
        """When each voter last said anything."""
        self.retry = 0.0
        """Seconds after which voters that refused may be willing."""
        self.heir: Held | None = None
        """Who follows, once this gateway has begun to hand over."""
        self.ended = False
        """A try or an ownership has ended; reset by who takes note of it."""
        self._round: Poll | None = None
        self._renewals: list[Poll] = []
        """The last one is asked again; answers to those before count as long as their lease would run."""
        self._next = -math.inf
        """When the lease is to be renewed."""
        self._raise = False
        """A voter has promised a higher ballot to somebody who did not get the duty."""
        self._counter = 0
        self._questions = 0

    @property
    def owns(self) -> bool:
        """Gives orders; to be asked after `lapse`."""
        return self.stage in OWNING

    @property
    def wanted(self) -> Held | None:
        """What is on its way to the voters."""
        return None if self._round is None else self._round.vote.held

    @property
    def _polls(self) -> list[Poll]:
        """Those of which the silent are asked again."""
        return [*([] if self._round is None else [self._round]), *self._renewals[-1:]]

    def due(self) -> float:
        """When `tick` has something to do next."""
        times = [min(x.again, x.limit) for x in self._polls]
        if self.stage in (*OWNING, Stage.HANDS):
            times.append(self.lease)
        if self.stage in (Stage.OWNS, Stage.CHANGES):
            times.append(self._next)
        return min(times, default=math.inf)

    # Time

    def lapse(self, now: float) -> None:
        """Give up what time has ended: first of all that is done at any time, as a process that was stopped
        does not know that it was."""
        if self.stage in (*OWNING, Stage.HANDS) and now >= self.lease:
            self._end(Step.LAPSED, f"no majority renewed it: {self._tally(self._renewals[-1:])}")
        elif self._round is not None and now >= self._round.limit and not self.owns:
            step = Step.LAPSED if self.stage is Stage.HANDS else Step.LATE
            self._end(step, f"{self.stage.value}: {self._tally([self._round])}")
        self._renewals = [x for x in self._renewals if now < x.limit]

    def tick(self, now: float) -> list[Asked]:
        self.lapse(now)
        out: list[Asked] = []
        if self._raise and self.stage is Stage.OWNS and now >= self.owned_at + self._pace.lease:
            out += self._raised(now)
        if self.stage in (Stage.OWNS, Stage.CHANGES) and now >= self._next:
            self._next = now + self._pace.period
            self._renewals.append(self._poll(now, Ask.RENEW, None, self._pace.own_lease))
            out += self._all(self._renewals[-1])
        for poll in self._polls:
            if now >= poll.again:
                poll.again = now + min(2.0 * (poll.again - poll.sent), 4.0 * self._pace.again)
                out += self._all(poll)
        return out

    # Steps

    def attempt(self, now: float) -> list[Asked]:
        """Its turn to try."""
        self._step(Step.TRY)
        self._counter += 1
        self.retry = 0.0
        return self._ask(now, Ask.WOULD, None, self._pace.round)

    def change(self, now: float, state: bytes) -> list[Asked]:
        """As owner, have a new state accepted; or settle the number of the voters, the state as it was."""
        assert self.held is not None, "an owner has a value"
        self._step(Step.CHANGE)
        held = msgspec.structs.replace(
            self.held, number=self.held.number + 1, state=state, voters_number=self.voters.number
        )
        return self._ask(now, Ask.ACCEPT, held, math.inf)

    @property
    def unsettled(self) -> bool:
        """A majority of both sets has accepted once under the new number, and the value does not say so."""
        return self.held is not None and self.held.voters_number < self.voters.number

    def _raised(self, now: float) -> list[Asked]:
        """Have a higher ballot promised than those that voters are lost to, so that each of them counts
        again; orders are given meanwhile, as long as the lease runs."""
        self._step(Step.RAISE)
        self._raise, self._renewals = False, []
        self._counter += 1
        self.ballot = (self._counter, self.name, self.run)
        return self._ask(now, Ask.PREPARE, None, self.lease - now)

    def _reread(self, now: float, poll: Poll) -> list[Asked]:
        """Under a lease nobody else had anything accepted: what is read is the own value, or all is wrong."""
        best = max(poll.yes.values(), key=lambda x: (x.accepted, x.mark))
        if self.held is None or best.held != self.held:
            self._end(Step.HOPELESS, "another had a value accepted")
            return []
        self._step(Step.ENOUGH)
        self._next = now
        held = msgspec.structs.replace(self.held, number=self.held.number + 1)
        return self._ask(now, Ask.ACCEPT, held, math.inf)

    def hand(self, now: float, successor: str, run: str) -> list[Asked]:
        """Stop as planned: write the successor as owner of the next term, and tell it."""
        held = self.wanted or self.held
        if STAGES[self.stage, Step.STOP] is Stage.IDLE:
            self._end(Step.STOP, "stops as planned")
        else:
            self._step(Step.STOP)
        if self.stage is not Stage.HANDS:
            return []
        self._renewals = []
        assert held is not None, "an owner has a value"
        if held.owner != self.name:
            return []  # it is on its way already
        held = msgspec.structs.replace(held, term=held.term + 1, owner=successor, run=run, number=1)
        self.heir = held
        out = self._ask(now, Ask.ACCEPT, held, self.lease - now)
        return [*out, self._yours(held)]

    def _yours(self, held: Held) -> Asked:
        return held.owner, 0, Vote(self.duty, Ask.YOURS, self.ballot, self.voters.number, held)

    def named(self, now: float, vote: Vote) -> list[Asked]:
        """Told that it is the successor: true once a majority of voters renews with it. What stands at voters
        and what is told here are one value, as its ballot and mark are."""
        held = vote.held
        if held is None or (held.owner, held.run) != (self.name, self.run):
            return []
        if self.voters.refuses(held.voters_number):
            return []
        before = self.stage
        self._step(Step.NAMED)
        if self.stage is not Stage.NAMED:
            return []
        if before is Stage.NAMED:  # told again, as a majority has accepted it by now
            return [] if self._round is None or vote.ballot != self.ballot else self._all(self._round)
        self.ballot, self.held = vote.ballot, held
        self._counter = max(self._counter, vote.ballot[0])
        return self._ask(now, Ask.RENEW, None, self._pace.round)

    def _step(self, step: Step) -> None:
        self.stage = STAGES[self.stage, step]

    def _end(self, step: Step, why: str) -> None:
        self._step(step)
        self._round, self._renewals = None, []
        self._raise = False
        self.held, self.heir, self.lease, self.why, self.ended = None, None, -math.inf, why, True

    # Questions

    def _poll(self, now: float, ask: Ask, held: Held | None, limit: float) -> Poll:
        self._questions += 1
        ballot = self.ballot if ask is not Ask.WOULD else (self._counter, self.name, self.run)
        vote = Vote(self.duty, ask, ballot, self.voters.number, held)
        return Poll(self._questions, vote, now, now + limit, now + self._pace.again)

    def _ask(self, now: float, ask: Ask, held: Held | None, limit: float) -> list[Asked]:
        self._round = self._poll(now, ask, held, limit)
        return self._all(self._round)

    def _all(self, poll: Poll) -> list[Asked]:
        """To everybody who has not said yes or no."""
        return [
            (x, poll.question, poll.vote) for x in self.voters.all if x not in poll.yes and x not in poll.no
        ]

    def _settled(self, poll: Poll) -> int:
        """The number of voters that is known to be settled, for the quorum of this question."""
        if poll.vote.ask in (Ask.WOULD, Ask.PREPARE):
            return max((x.settled for x in poll.yes.values()), default=0)
        held = poll.vote.held if poll.vote.ask is Ask.ACCEPT else self.held
        # Under the number that this very value settles both sets still count: it may be the first.
        assert held is not None, "renews or accepts a value"
        return held.voters_number if self.held is None else min(held.voters_number, self.held.voters_number)

    def _tally(self, polls: list[Poll]) -> str:
        if not polls:
            return "nothing was asked"
        poll = polls[0]
        parts = [f"{len(poll.yes)} of {len(self.voters.all)} voters say yes"]
        if poll.waits - poll.yes.keys():
            parts.append(f"disks of {', '.join(sorted(poll.waits - poll.yes.keys()))} are slow")
        parts += [f"{x}: {y.why or y.says.value}" for x, y in sorted(poll.no.items())]
        return "; ".join(parts)

    # Answers

    def told(self, now: float, voter: str, question: int, word: Voted) -> list[Asked]:
        """A voter's word; what was asked in a question that is over changes nothing."""
        self.lapse(now)
        if voter not in self.voters.all:
            return []
        self.heard[voter] = now
        if 0 <= word.promised[0] < MOST_COUNTER:
            self._counter = max(self._counter, word.promised[0])
        for poll in (*self._renewals, *([] if self._round is None else [self._round])):
            if poll.question == question and poll.vote.ask is word.ask:
                return self._count(now, poll, voter, word)
        return []

    def _count(self, now: float, poll: Poll, voter: str, word: Voted) -> list[Asked]:
        if voter in poll.yes:
            return []
        if word.says is Says.WRITES:
            poll.waits.add(voter)
            return []
        if word.says is Says.NO and poll.vote.ask is Ask.RENEW:
            if word.promised <= self.ballot:
                return self._behind(voter, word)  # it has only not heard of it yet: asked again after that
            self._raise = True
        if word.says is Says.NO and self.stage is Stage.RAISES and word.promised <= self.ballot:
            return []  # it keeps its word to another for a while
        if word.says is not Says.YES:
            poll.no[voter] = word
            return self._hopeless(now, poll)
        poll.no.pop(voter, None)
        poll.yes[voter] = word
        out = self._behind(voter, word) if poll.vote.ask is Ask.RENEW else []
        if not self.voters.enough(poll.yes, self._settled(poll)):
            return out
        return out + self._enough(now, poll)

    def _behind(self, voter: str, word: Voted) -> list[Asked]:
        """A voter that has not accepted what a majority has: is given it."""
        if self.held is None or word.says is Says.ABSTAINS or (word.accepted, word.mark) >= (
            self.ballot, self.held.mark
        ):  # fmt: skip
            return []
        return [(voter, 0, Vote(self.duty, Ask.ACCEPT, self.ballot, self.voters.number, self.held))]

    def _hopeless(self, now: float, poll: Poll) -> list[Asked]:
        left = {x for x in self.voters.all if x not in poll.no}
        if self.voters.enough(left, self._settled(poll)):
            return []
        self.retry = self._wait(poll)
        self._end(Step.HOPELESS, f"{self.stage.value}: {self._tally([poll])}")
        return []

    def _wait(self, poll: Poll) -> float:
        """When as many will have kept their word as a majority needs."""
        left = {
            x: y.left for x, y in poll.no.items() if y.says is Says.NO and 0 <= y.left <= self._pace.lease
        }
        for seconds in sorted(left.values()):
            willing = {*poll.yes, *(x for x in left if left[x] <= seconds)}
            if self.voters.enough(willing, self._settled(poll)):
                return seconds
        return self._pace.lease

    def _enough(self, now: float, poll: Poll) -> list[Asked]:
        match self.stage, poll.vote.ask:
            case Stage.ASKS, Ask.WOULD:
                self._step(Step.ENOUGH)
                self._counter += 1
                self.ballot = (self._counter, self.name, self.run)
                return self._ask(now, Ask.PREPARE, None, self._pace.round)
            case Stage.PREPARES, Ask.PREPARE:
                return self._take(now, poll)
            case Stage.RAISES, Ask.PREPARE:
                return self._reread(now, poll)
            case Stage.TAKES, Ask.ACCEPT:
                self._own(now, poll)
            case Stage.NAMED, Ask.RENEW:
                self._own(now, poll)
            case ((Stage.OWNS | Stage.CHANGES), Ask.RENEW):
                self._step(Step.RENEWED)
                self.lease = max(self.lease, poll.sent + self._pace.own_lease)
            case Stage.CHANGES, Ask.ACCEPT:
                self._step(Step.ENOUGH)
                self.held, self._round = poll.vote.held, None
            case Stage.HANDS, Ask.ACCEPT:
                held = poll.vote.held
                assert held is not None, "accepts a value"
                self._end(Step.ENOUGH, f"handed over to {held.owner}")
                return [self._yours(held)]
        return []

    def _take(self, now: float, poll: Poll) -> list[Asked]:
        """Promises of a majority: what they have accepted highest is what stands, and it goes on from there,
        whoever got it accepted, and by how many."""
        words = [x for x in poll.yes.values() if x.held is not None]
        best = max(words, key=lambda x: (x.accepted, x.mark), default=None)
        stands = None if best is None else best.held
        settled = 0 if stands is None else stands.voters_number
        refused = self.voters.refuses(settled)
        if refused:
            self.retry = self._pace.lease
            self._end(Step.HOPELESS, refused)
            return []
        term = max(0 if stands is None else stands.term, self.seen, *(x.seen for x in poll.yes.values()))
        forced = "" if stands is None else stands.forced
        if self.voters.forced and settled < self.voters.number:
            term, forced = term + FORCED_TERMS, self.voters.forced[:MOST_REASON]
        if not self.voters.joint(settled):
            settled = self.voters.number
        state = b"" if stands is None else stands.state
        self._step(Step.ENOUGH)
        held = Held(term + 1, self.name, self.run, 1, state, settled, forced)
        return self._ask(now, Ask.ACCEPT, held, self._pace.own_lease)

    def _own(self, now: float, poll: Poll) -> None:
        self._step(Step.ENOUGH)
        self.held = poll.vote.held or self.held
        self.lease, self.owned_at = poll.sent + self._pace.own_lease, now
        self._next = now
        self._round = None
        self.why = ""

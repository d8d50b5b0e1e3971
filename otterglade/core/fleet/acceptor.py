"""A voter of a duty's register: its table of states and events, and what it promises and accepts.

The acceptor of Paxos, with the lease on top; see `register.py` for the protocol.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

import msgspec

from .register import MOST_COUNTER, Ask, Held, Mark, Pace, Record, Says, Vote, Voted


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
            Event.WOULD: (_ST, _NO),
            Event.READ: (_ST, _SAY),
            Event.PREPARE: (_ST, _NO),
            Event.RAISE: (_ST, _NO),
            Event.PREPARED: (_ST, _NO),
            Event.ACCEPT: (_WA, _WRITE),
            Event.ACCEPTED: (_LE, _SAY),
            Event.RENEW: (_LE, _SAY),
            Event.OLD: (_ST, _NO),
            Event.PASSED: (_FR, _NIL),
        },
        _FR: {
            Event.WOULD: (_FR, _SAY),
            Event.READ: (_FR, _SAY),
            Event.PREPARE: (_WP, _WRITE),
            Event.RAISE: (_WP, _WRITE),
            Event.PREPARED: (_PR, _SAY),
            Event.ACCEPT: (_WA, _WRITE),
            Event.ACCEPTED: (_LE, _SAY),
            Event.RENEW: (_LE, _SAY),
            Event.OLD: (_FR, _NO),
        },
        _PR: {
            Event.WOULD: (_PR, _NO),
            Event.READ: (_PR, _SAY),
            Event.PREPARE: (_WP, _WRITE),
            Event.RAISE: (_WP, _WRITE),
            Event.PREPARED: (_PR, _SAY),
            Event.ACCEPT: (_WA, _WRITE),
            Event.ACCEPTED: (_LE, _SAY),
            Event.RENEW: (_LE, _SAY),
            Event.OLD: (_PR, _NO),
            Event.PASSED: (_FR, _NIL),
        },
        _LE: {
            Event.WOULD: (_LE, _NO),
            Event.READ: (_LE, _SAY),
            Event.PREPARE: (_LE, _NO),
            Event.RAISE: (_WA, _WRITE),
            Event.PREPARED: (_LE, _SAY),
            Event.ACCEPT: (_WA, _WRITE),
            Event.ACCEPTED: (_LE, _SAY),
            Event.RENEW: (_LE, _SAY),
            Event.OLD: (_LE, _NO),
            Event.PASSED: (_FR, _NIL),
        },
        _WP: {
            Event.WOULD: (_WP, _BUSY),
            Event.READ: (_WP, _BUSY),
            Event.PREPARE: (_WP, _BUSY),
            Event.RAISE: (_WP, _BUSY),
            Event.PREPARED: (_WP, _BUSY),
            Event.ACCEPT: (_WP, _BUSY),
            Event.OLD: (_WP, _NO),
            Event.WRITTEN: (_PR, _SAY),
            Event.FAILED: (_AB, _ABST),
        },
        _WA: {
            Event.WOULD: (_WA, _NO),
            Event.READ: (_WA, _BUSY),
            Event.PREPARE: (_WA, _NO),
            Event.RAISE: (_WA, _BUSY),
            Event.PREPARED: (_WA, _BUSY),
            Event.ACCEPT: (_WA, _BUSY),
            Event.ACCEPTED: (_WA, _SAY),
            Event.RENEW: (_WA, _SAY),
            Event.OLD: (_WA, _NO),
            Event.WRITTEN: (_LE, _SAY),
            Event.FAILED: (_AB, _ABST),
        },
        _AB: {**_ASKED, Event.REBUILT: (_RB, _WRITE)},
        _RB: {
            **dict.fromkeys(_ASKED, (_RB, _ABST)),
            Event.WRITTEN: (_ST, _NIL),
            Event.FAILED: (_AB, _NIL),
        },
    }.items()
    for event, after in row.items()
} | {(x, Event.DOUBT): (_AB, _WRITE) for x in Voter}
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
            self.duty,
            ask,
            says,
            self.top.promised,
            kept.accepted,
            kept.held if told else None,
            0 if kept.held is None else kept.held.voters_number,
            _mark(kept.held),
            max(0.0, self.until - now) if binds else 0.0,
            kept.under,
            why=event.value if event is Event.OLD else self.state.value if says is not Says.YES else "",
        )

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

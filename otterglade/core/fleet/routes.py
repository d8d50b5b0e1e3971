"""The duty `routes`: which edition of its routing part each region acts on, and what is admitted next.

The owner admits an edition against all that may be acted on at that moment, in any region and by any gateway,
heard or not, or refuses it and says which request shows why. Gateways act on what was admitted and on nothing
else: not on what their scripts say, and, where nobody owns the duty, on what they acted on before.

What is admitted is named by digest; the routing parts themselves travel by `parts.py` and are on each
gateway's disk before it acts on them. Judging takes as long as it takes: it is handed out as a `Check`, to be
run off the decision loop, and what it says counts only if what it was judged against still stands.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from .actions import Drop, Send, Store
from .conflict_kinds import Conflict, Kind
from .conflicts import conflicts
from .editions import (
    FORCED,
    MIXED,
    MOST_OLDER,
    MOST_OLDER_IN_ALL,
    MOST_REGIONS,
    NEXT,
    NONE,
    Book,
    Edition,
    EditionsError,
    Event,
    Proposal,
    Refusal,
    Stage,
    Sum,
    joined,
    key_of,
    mark_of,
)
from .members import Members
from .messages import Message
from .parts import Got, Missed, Parts
from .router import Router
from .routing import Region, Routing, RoutingError, decode
from .work import Order

PATIENCE = 30.0
"""Seconds for which a proposal waits for what it is judged by: as long as a fetch of a few large parts takes
with a third of the datagrams lost. Then it is refused, and says what could not be read."""
UNHEARD = 10.0
"""Seconds without a word of a proposal after which it counts as taken back: a change of owner and of the tree
that sums go up takes a few."""
MOST_TEXT = 2000
"""Letters of a refusal's reason."""
MOST_NOTES = 64
"""Lines for the log that wait to be taken; the oldest go first."""

Judge = Callable[[Sequence[Routing]], Sequence[Conflict]]


@dataclass(frozen=True, slots=True)
class Verdict:
    kind: str = ""
    """Empty: admitted."""
    text: str = ""


@dataclass(frozen=True, slots=True)
class Check:
    """Whether a proposal conflicts with anything that may be acted on. `run` off the decision loop, then call
    `checked`. A pure function of its fields; raises nothing that the judge does not."""

    token: int
    acted_on: tuple[Routing, ...]
    proposed: Routing
    first: bool
    """The region has no edition yet."""
    judge: Judge

    def run(self) -> Verdict:
        """Only what the proposal adds speaks against it: what is in force stays in force either way.

        A mix holds several editions of a region at once, as its gateways change one after another. A region's
        first edition may name regions that have none yet: where two name each other one has to come first,
        and until the other does, its rules find nothing there that accepts them.
        """
        before = {x.key for x in self.judge(self.acted_on)}
        names = {x.region.name for x in (*self.acted_on, self.proposed) if x.region is not None}
        own = "" if self.proposed.region is None else self.proposed.region.name
        for found in self.judge((*self.acted_on, self.proposed)):
            absent = found.kind == Kind.REFUSED.value and not names.issuperset(found.regions)
            # Who named the region while it had no edition conflicts with it in earnest now.
            stood = found.key in before and not (self.first and own in found.regions)
            if not stood and not (self.first and absent):
                return Verdict(found.kind, found.told())
        return Verdict()


Action = Send | Store | Drop | Check


@dataclass(frozen=True, slots=True)
class Line:
    """For the log."""

    level: str
    event: str
    fields: tuple[tuple[str, object], ...] = ()


@dataclass(slots=True)
class _Pending:
    """A proposal as the owner knows it."""

    since: float
    heard: float
    basis: tuple[Edition, ...] | None = None
    """What it is being judged against."""
    token: int = 0
    verdict: Verdict | None = None


@dataclass(slots=True)
class _Told:
    """A refusal whose reason is being fetched."""

    refusal: Refusal
    until: float
    by: str


@dataclass(slots=True)
class _Counts:
    admitted: int = 0
    refused: int = 0
    settled: int = 0
    unreadable: int = 0
    stale: int = 0
    """Orders older than one obeyed."""


@dataclass(slots=True)
class _State:
    """What this gateway knows of the duty."""

    book: Book = field(default_factory=Book)
    mark: tuple[int, int] = (0, 0)
    order_until: float = -math.inf
    owner: str = ""
    seen: int = 0
    """Number of the state obeyed last; the owner knows of one to come."""


class Routes:
    """A `Work` named routes; one for a run of a gateway whose script has a region."""

    name = "routes"
    lasting = True

    def __init__(
        self,
        region: Region,
        members: Members,
        router: Router,
        now: float,
        seed: int,
        judge: Judge = conflicts,
    ) -> None:
        self._region, self._key = region, key_of(region.name)
        self._members, self._router, self._judge = members, router, judge
        self.parts = Parts(members, now, seed)
        names = (members.name, *members.peers)
        self._named = {key_of(x): x for x in names}
        self._whole = len(names), sum(map(mark_of, names)) % 2**64
        self._durable: set[str] = set()
        self._storing: set[str] = set()
        self._state = _State()
        self._stages: dict[Edition, Stage] = {}
        self._acting = NONE
        self._mine: Proposal | None = None
        self._script = ""
        """Digest of what this gateway's script says."""
        self._forget = NONE
        """The edition beside which a person has said that nothing is acted on here."""
        self._pending: dict[tuple[bytes, bytes, bytes], _Pending] = {}
        self._reasons: dict[Edition, _Told] = {}
        self._out: list[Action] = []
        self._trouble = ""
        self._tokens = 0
        self._decided = Book()
        """What the last decision came to, accepted or not yet: what it names has to stay here."""
        self._decoded: dict[str, Routing] = {}
        self._notes: list[Line] = []
        self.counts = _Counts()
        self.last_refusal: dict[str, object] = {}
        router.stay(region)

    # What the daemon calls

    def restore(self, parts: Iterable[bytes]) -> None:
        """Routing parts that an earlier run kept; before `recall`."""
        for data in parts:
            try:
                self._durable.add(self.parts.offer(data))
            except ValueError as error:
                self._note("warning", "routes_part_unusable", cause=str(error))

    def doubt(self) -> None:
        """This run's disk is older than others know, or empty: what it recalls may have been given up since.
        Until it hears an order it is at home."""
        self._note("warning", "routes_at_home", edition=self._acting.hex())
        self._state, self._acting, self._stages = _State(), NONE, {}
        if self._mine is not None:
            self._move((self._mine.region, self._mine.edition), Event.ASKED)
        self._router.stay(self._region)

    def propose(self, now: float, routing: Routing, start: bool = False, forced: str = "") -> None:
        """What this gateway's script says, at its start and at each reload.

        At a start it is proposed only where nothing is admitted for the region: a gateway that comes back
        with a script of last week would else take the whole region back to it. A reload that says what is in
        force takes back what was proposed.

        `forced`: why it is to be admitted whatever it conflicts with, a person's word. What all must agree on
        (terms, lanes, witnesses) differs while gateways change one by one, so without it it stays as it is.
        """
        region = routing.region
        if region is None or region.name != self._region.name:
            self._note(
                "error",
                "routes_region_stays",
                region=self._region.name,
                found=None if region is None else region.name,
            )
            return
        edition = bytes.fromhex(routing.digest)
        self._script = routing.digest
        newest = self._state.book.newest.get(self._key, NONE)
        mine = self._mine
        same = mine is not None and (mine.edition, mine.base) == (edition, newest)
        if same and mine is not None and mine.forced >= bool(forced):
            return
        self._take_back("taken back by a reload")
        if edition == newest:
            return
        if start and newest != NONE:
            self._note("warning", "routes_script_differs", acting=newest.hex(), script=routing.digest)
            return
        try:
            self.parts.offer(routing.canonical)
        except ValueError as error:
            self._note("error", "routes_not_proposed", edition=routing.digest, cause=str(error))
            return
        self._store(routing.digest)
        after = max((x.number for x in self._state.book.refusals), default=0)
        by = key_of(self._members.name)
        self._mine = Proposal(self._key, edition, newest, after, by, bool(forced))
        self._move((self._key, edition), Event.ASKED)
        self._note("info", "routes_proposed", edition=routing.digest, against=newest.hex(), forced=forced)

    def forget_unheard(self, now: float) -> None:
        """A person's word: the gateways of this region that are not heard are gone, with what they act on."""
        self._forget = self._state.book.newest.get(self._key, NONE)
        self._note("warning", "routes_forget_unheard", region=self._region.name)

    def due(self) -> float:
        return -math.inf if self._out else self.parts.due()

    def tick(self, now: float) -> list[Action]:
        return self._fetched(now, self.parts.tick(now)) + self._taken()

    def received(self, now: float, message: Message) -> list[Action]:
        """A FETCH or a PART that members have taken."""
        return self._fetched(now, self.parts.received(now, message)) + self._taken()

    def stored(self, now: float, digest: str, trouble: str = "") -> None:
        """A routing part is on disk, or can't be: then it is tried again when it is next of use."""
        self._storing.discard(digest)
        if not trouble:
            self._durable.add(digest)
        elif trouble != self._trouble:  # tried twice a second, told once
            self._note("error", "routes_part_not_kept", edition=digest, cause=trouble)
        self._trouble = trouble

    def checked(self, now: float, token: int, verdict: Verdict) -> None:
        """What a `Check` came to."""
        for pending in self._pending.values():
            if pending.token == token:
                pending.verdict = verdict

    def drained(self) -> list[Line]:
        found, self._notes = self._notes, []
        return found

    # Work

    def own(self, now: float) -> bytes:
        proposals = []
        if self._mine is not None and self._mine.edition.hex() in self._durable:
            proposals.append(self._mine)
        if self._forget != NONE:
            by = key_of(self._members.name)
            proposals.append(Proposal(self._key, MIXED, self._forget, 0, by))
        mark = mark_of(self._members.name)
        acts = {self._key: self._acting}
        return Sum(1, mark, self._state.seen, acts, tuple(sorted(proposals))).pack()

    def join(self, parts: Sequence[bytes]) -> bytes:
        return joined(self._read(parts)).pack()

    def _read(self, parts: Iterable[bytes]) -> list[Sum]:
        sums = []
        for part in parts:
            try:
                sums.append(Sum.unpack(part))
            except EditionsError:
                self.counts.unreadable += 1
        return sums

    def decide(self, now: float, state: bytes, told: bytes) -> bytes:
        try:
            book = Book.unpack(state)
        except EditionsError as error:
            self.counts.unreadable += 1
            self._note("error", "routes_state_unreadable", cause=str(error))
            return state
        heard = joined(self._read([told] if told else []))
        self._sync(book)
        before = book
        for region in sorted(book.older):
            if self._alone(book, region, heard):
                book = book.settles(region)
                self.counts.settled += 1
        self._hear(now, book, heard.proposals)
        for proposal in heard.proposals:
            after = self._consider(now, book, proposal)
            if after is not None:
                book = after
                break  # the next is judged against what this one leaves
        self._decided = book
        self._keep()
        return state if book is before else book.pack()

    def obey(self, now: float, order: Order) -> None:
        if order.mark < self._state.mark:
            self.counts.stale += 1
            return
        self._obeyed(now, order, order.until)

    def recall(self, now: float, order: Order) -> None:
        """At a start: what an earlier run obeyed last goes on being in force, as far as it is on disk."""
        self._obeyed(now, order, now)

    def lapsed(self, now: float) -> None:
        """The editions in force stay in force, whole; nothing newer comes into force."""
        if self._state.order_until > -math.inf:
            self._state.order_until = -math.inf
            self._note("warning", "routes_unowned", edition=self._router.edition)

    # As owner

    def _alone(self, book: Book, region: bytes, heard: Sum) -> bool:
        """Whether nothing but its newest edition is acted on in a region: every gateway there is has told so
        since it was admitted, or a person says that the others are gone."""
        newest = book.newest[region]
        if any(x.edition == MIXED and x.region == region and x.base == newest for x in heard.proposals):
            return heard.acts.get(region, newest) == newest
        whole = (heard.count, heard.marks) == self._whole and heard.seen >= book.number
        return whole and heard.acts.get(region, newest) == newest

    def _hear(self, now: float, book: Book, proposals: Iterable[Proposal]) -> None:
        """Which proposals there are; those of which nothing is heard any more have been taken back."""
        for proposal in proposals:
            newest = book.newest.get(proposal.region, NONE)
            if proposal.edition in (MIXED, newest) or proposal.base != newest or _answered(book, proposal):
                continue  # its proposers know, or will from the next order, that it has ended
            pending = self._pending.setdefault(proposal.subject, _Pending(now, now))
            pending.heard = now
            edition = proposal.region, proposal.edition
            if self._stages.get(edition) is not Stage.PROPOSED:
                self._move(edition, Event.ASKED)
        for subject, pending in list(self._pending.items()):
            overtaken = subject[2] != book.newest.get(subject[0], NONE)
            if overtaken or now - pending.heard > UNHEARD:
                self._end(subject)

    def _end(self, subject: tuple[bytes, bytes, bytes]) -> None:
        del self._pending[subject]
        edition = subject[:2]
        mine = self._mine is not None and (self._mine.region, self._mine.edition) == edition
        if self._stages.get(edition) is Stage.PROPOSED and not mine:
            self._move(edition, Event.TAKEN_BACK)

    def _consider(self, now: float, book: Book, proposal: Proposal) -> Book | None:
        """The state with a proposal admitted or refused; None: not yet."""
        pending = self._pending.get(proposal.subject)
        if pending is None or pending.heard < now:
            return None
        region, edition = proposal.region, proposal.edition
        verdict = self._judged(now, book, proposal, pending)
        if verdict is None:
            if now - pending.since <= PATIENCE:
                return None
            missing = ", ".join(self._missing(book, proposal)) or "the judgement"
            verdict = Verdict("cannot-be-read", f"not had within {PATIENCE:g} s: {missing}")
        del self._pending[proposal.subject]
        if not verdict.kind:
            self.counts.admitted += 1
            return book.admits(region, edition)
        if proposal.forced and pending.verdict is verdict:
            self.counts.admitted += 1
            book, verdict = book.admits(region, edition), Verdict(FORCED, f"in spite of {verdict.text}")
        else:
            self.counts.refused += 1
        try:
            more = self.parts.offer(verdict.text[:MOST_TEXT].encode())
        except ValueError:
            more = ""
        return book.refuses(region, edition, verdict.kind, bytes.fromhex(more) or NONE)

    def _judged(self, now: float, book: Book, proposal: Proposal, pending: _Pending) -> Verdict | None:
        region = proposal.region
        if region not in book.newest and len(book.newest) >= MOST_REGIONS:
            return Verdict("too-many-regions", f"{MOST_REGIONS} regions have editions, and no more may")
        older = [x for x in book.may(region) if x != proposal.edition]
        in_all = sum(map(len, book.older.values())) - len(book.older.get(region, ())) + len(older)
        if len(older) > MOST_OLDER or in_all > MOST_OLDER_IN_ALL:
            names = ", ".join(x.hex() for x in older)
            return Verdict("unfinished", f"gateways that are not heard may still act on {names}")
        missing = self._missing(book, proposal)
        if missing:
            by = self._named.get(proposal.by, "")
            for digest in missing:
                self.parts.want(digest, (by,))
            return None
        proposed = self._routing(proposal.edition.hex())
        listed = [self._routing(x.hex()) for _, x in book.acted_on()]
        acted_on = tuple(x for x in listed if x is not None)
        if proposed is None or proposed.region is None or key_of(proposed.region.name) != region:
            return Verdict("unreadable", "the edition is no routing part of this region")
        name = proposed.region.name
        same = [x for x in acted_on if x.region is not None and key_of(x.region.name) == region]
        if any(x.region is not None and x.region.name != name for x in same):
            return Verdict("name-taken", f"{name} has the key of another region: name it otherwise")
        basis = book.acted_on()
        if pending.basis != basis:
            self._tokens += 1
            pending.basis, pending.token, pending.verdict = basis, self._tokens, None
            self._out.append(Check(self._tokens, acted_on, proposed, region not in book.newest, self._judge))
        return pending.verdict

    def _missing(self, book: Book, proposal: Proposal) -> list[str]:
        """What a proposal is judged by and is not here; the owner has it on disk before it is admitted."""
        needed = {x.hex() for _, x in book.acted_on()} | {proposal.edition.hex()}
        for digest in needed:
            self._store(digest)
        return sorted(needed - self._durable)

    # What is in force here

    def _obeyed(self, now: float, order: Order, until: float) -> None:
        try:
            book = Book.unpack(order.state)
        except EditionsError as error:
            self.counts.unreadable += 1
            self._note("error", "routes_state_unreadable", cause=str(error))
            return
        state = self._state
        state.mark, state.order_until, state.owner, state.seen = order.mark, until, order.owner, book.number
        if order.owner != self._members.name:  # whoever owns the duty now judges them
            self._decided = Book()
            for subject in list(self._pending):
                self._end(subject)
        self._sync(book)
        self._told_of(now, book)
        for newest in book.newest.values():
            digest = newest.hex()
            if self.parts.get(digest) is None:
                self.parts.want(digest, (order.owner,))
            else:
                self._store(digest)
        self._act(book)
        self._keep()

    def _act(self, book: Book) -> None:
        """What was admitted comes into force here, as far as it is on disk; until then what is in force
        stays, whole, as long as it may be acted on."""
        may = book.may(self._key)
        first = (book.newest.get(self._key, NONE), self._acting, *may[::-1])
        listed = [x.hex() for x in first if x in may and x.hex() in self._durable]
        own = next((x for x in map(self._routing, listed) if x is not None), None)
        if own is None:
            if self._acting != NONE and self._acting not in may:
                # What it acts on was given up by a person, or its disk is another's: at home it is safe.
                self._router.stay(self._region)
                self._note("warning", "routes_at_home", edition=self._acting.hex())
                self._acting = NONE
            return
        others = []
        for region in book.newest:
            if region == self._key:
                continue
            # The newest that is here: until all have it, its region counts as acting on the one before.
            here = [x.hex() for x in book.may(region)[::-1] if x.hex() in self._durable]
            others += [x for x in map(self._routing, here) if x is not None][:1]
        before, self._acting = self._acting, bytes.fromhex(own.digest)
        self._router.act(own, others)
        if before != self._acting:
            self._note(
                "info",
                "routes_in_force",
                edition=own.digest,
                before=before.hex(),
                mark=list(self._state.mark),
            )
            if self._script and self._script != own.digest and self._mine is None:
                self._note("warning", "routes_script_differs", acting=own.digest, script=self._script)

    def _told_of(self, now: float, book: Book) -> None:
        """What the state says of this gateway's proposal, and of refusals anywhere."""
        mine = self._mine
        if self._forget not in (NONE, book.newest.get(self._key)) or self._key not in book.older:
            self._forget = NONE
        for refusal in book.refusals:
            edition = refusal.region, refusal.edition
            told = self._reasons.get(edition)
            if told is None or told.refusal.number < refusal.number:
                self._reasons[edition] = _Told(refusal, now + PATIENCE, self._state.owner)
        named = {(x.region, x.edition) for x in book.refusals}
        self._reasons = {x: y for x, y in self._reasons.items() if x in named}
        self._reason(now)
        if mine is None:
            return
        newest = book.newest.get(self._key, NONE)
        if newest == mine.edition:
            self._mine = None
            self._note("info", "routes_admitted", edition=newest.hex())
        elif _answered(book, mine):
            self._mine = None
        elif newest != mine.base:
            why = "another edition was admitted first" if mine.base != NONE else "the region has an edition"
            self._take_back(f"{why}: {newest.hex()}")

    def _reason(self, now: float) -> None:
        """Refusals whose whole reason is here, or will not come, are told."""
        for edition, told in self._reasons.items():
            if told.until == math.inf:
                continue
            digest = told.refusal.more.hex()
            text = self.parts.get(digest)
            if text is None and now < told.until and told.refusal.more != NONE:
                self.parts.want(digest, (told.by,))
                continue
            told.until = math.inf
            self.last_refusal = {
                "edition": edition[1].hex(),
                "kind": told.refusal.kind,
                "why": "can't be had any more" if text is None else text.decode(errors="replace"),
                "own": edition[0] == self._key,
            }
            event = "routes_forced" if told.refusal.kind == FORCED else "routes_refused"
            self._note("warning", event, **self.last_refusal)

    def _take_back(self, why: str) -> None:
        if self._mine is not None:
            edition, self._mine = (self._mine.region, self._mine.edition), None
            self._note("warning", "routes_not_admitted", edition=edition[1].hex(), why=why)
            if self._stages.get(edition) is Stage.PROPOSED:
                self._move(edition, Event.TAKEN_BACK)

    # Bookkeeping

    def _sync(self, book: Book) -> None:
        """Editions move by what has changed in the state since the one that was known."""
        before, after = self._state.book.events(), book.events()
        self._state.book = book
        for edition in sorted(after):
            if before.get(edition) != after[edition]:
                self._move(edition, after[edition][0])
        for edition in sorted({*before, *(x for x, y in self._stages.items() if y is Stage.WITHDRAWN)}):
            if edition not in after:
                self._move(edition, Event.FORGOTTEN)

    def _move(self, edition: Edition, event: Event) -> None:
        after = NEXT[self._stages.get(edition, Stage.ABSENT), event]
        if after is Stage.ABSENT:
            self._stages.pop(edition, None)
        else:
            self._stages[edition] = after

    def _routing(self, digest: str) -> Routing | None:
        """A routing part that is here, and is the canonical form of what it says."""
        data = self.parts.get(digest)
        if data is not None and digest not in self._decoded:
            try:
                routing = decode(data)
            except RoutingError:
                return None
            if routing.digest == digest:
                self._decoded[digest] = routing
        return self._decoded.get(digest)

    def _store(self, digest: str) -> None:
        data = self.parts.get(digest)
        if data is not None and digest not in self._durable | self._storing:
            self._storing.add(digest)
            self._out.append(Store(digest, data))

    def _keep(self) -> None:
        """Forget what nothing names any more."""
        books = self._state.book, self._decided
        editions = {x.hex() for book in books for _, x in book.acted_on()}
        editions |= {x[1].hex() for x in self._pending}
        if self._mine is not None:
            editions.add(self._mine.edition.hex())
        if self._acting != NONE:
            editions.add(self._acting.hex())
        reasons = {x.more.hex() for book in books for x in book.refusals}
        self.parts.only(editions | reasons)
        self._decoded = {x: y for x, y in self._decoded.items() if x in editions}
        for digest in sorted(self._durable - editions):
            self._durable.discard(digest)
            self._out.append(Drop(digest))

    def _fetched(self, now: float, found: Iterable[Send | Got | Missed]) -> list[Action]:
        out: list[Action] = []
        texts = {x.refusal.more.hex() for x in self._reasons.values()}
        for one in found:
            match one:
                case Send():
                    out.append(one)
                case Got(digest) if digest in texts:
                    self._reason(now)
                case Got(digest):
                    self._store(digest)
                case Missed():
                    pass  # whoever still wants it does so at the next order or decision
        return out

    def _taken(self) -> list[Action]:
        out, self._out = self._out, []
        return out

    def _note(self, level: str, event: str, **fields: object) -> None:
        self._notes = [*self._notes, Line(level, event, tuple(fields.items()))][-MOST_NOTES:]

    def status(self, now: float) -> dict[str, object]:
        """For operators; read without a lock it may be a moment old."""
        book = self._state.book
        names = {}
        for region, newest in book.newest.items():
            routing = self._routing(newest.hex())
            names[region] = region.hex() if routing is None or routing.region is None else routing.region.name
        return {
            "region": self._region.name,
            "acting": self._router.edition,
            "script": self._script,
            "holds_s": max(0.0, round(self._state.order_until - now, 3)),
            "mark": list(self._state.mark),
            "editions": {
                names[x]: {
                    "newest": y.hex(),
                    "stage": self._stages.get((x, y), Stage.ABSENT).value,
                    "may_act_on": [z.hex() for z in book.older.get(x, ())],
                }
                for x, y in sorted(book.newest.items())
            },
            "proposed": None if self._mine is None else self._mine.edition.hex(),
            "pending": [
                {"edition": x[1].hex(), "since_s": round(now - y.since, 3), "judging": y.token > 0}
                for x, y in list(self._pending.items())
            ],
            "last_refusal": dict(self.last_refusal),
            "counts": {x: getattr(self.counts, x) for x in _Counts.__slots__},
            "parts_dropped": dict(self.parts.dropped),
            "router": self._router.status(),
        }


def _answered(book: Book, proposal: Proposal) -> bool:
    """Whether a refusal has been told since it was raised."""
    return any(
        (x.region, x.edition) == (proposal.region, proposal.edition) and x.number > proposal.after
        for x in book.refusals
    )

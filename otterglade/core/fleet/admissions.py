"""What the owner of the duty `routes` admits: proposals heard, judged, admitted or refused one at a time."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .edition_stages import EditionStages
from .editions import (
    FORCED,
    MIXED,
    MOST_OLDER,
    MOST_OLDER_IN_ALL,
    MOST_REGIONS,
    NONE,
    Book,
    Edition,
    Event,
    Proposal,
    Stage,
    Sum,
    key_of,
    mark_of,
)
from .members import Members
from .parts import Parts
from .route_checks import Check, Judge, Verdict
from .route_parts import Action, RoutingParts

PATIENCE = 30.0
"""Seconds for which a proposal waits for what it is judged by: as long as a fetch of a few large parts takes
with a third of the datagrams lost. Then it is refused, and says what could not be read."""
UNHEARD = 10.0
"""Seconds without a word of a proposal after which it counts as taken back: a change of owner and of the tree
that sums go up takes a few."""
MOST_TEXT = 2000
"""Letters of a refusal's reason."""

Subject = tuple[bytes, bytes, bytes]
"""Of a proposal: region, edition, and the edition that it is raised against."""


@dataclass(slots=True)
class Pending:
    """A proposal as the owner knows it."""

    since: float
    heard: float
    basis: tuple[Edition, ...] | None = None
    """What it is being judged against."""
    token: int = 0
    verdict: Verdict | None = None


@dataclass(slots=True)
class Counts:
    """What has come of proposals and states, for operators."""

    admitted: int = 0
    refused: int = 0
    settled: int = 0
    unreadable: int = 0
    stale: int = 0
    """Orders older than one obeyed."""


class Admissions:
    """The owner's part in the duty. Checks to be run are added to `outbox`."""

    def __init__(
        self,
        members: Members,
        parts: Parts,
        routings: RoutingParts,
        stages: EditionStages,
        judge: Judge,
        outbox: list[Action],
    ) -> None:
        self._parts, self._routings, self._stages = parts, routings, stages
        self._judge, self._outbox = judge, outbox
        names = (members.name, *members.peers)
        self._named = {key_of(x): x for x in names}
        self._whole = len(names), sum(map(mark_of, names)) % 2**64
        self._tokens = 0
        self.pending: dict[Subject, Pending] = {}
        self.counts = Counts()

    def checked(self, token: int, verdict: Verdict) -> None:
        """What a `Check` came to."""
        for pending in self.pending.values():
            if pending.token == token:
                pending.verdict = verdict

    def end_all(self, own: Proposal | None) -> None:
        """Another owns the duty, and judges them."""
        for subject in list(self.pending):
            self._end(subject, own)

    def settled(self, book: Book, region: bytes, heard: Sum) -> bool:
        """Whether nothing but its newest edition is acted on in a region: every gateway there is has told so
        since it was admitted, or a person says that the others are gone."""
        newest = book.newest[region]
        if any(x.edition == MIXED and x.region == region and x.base == newest for x in heard.proposals):
            return heard.acts.get(region, newest) == newest
        whole = (heard.count, heard.marks) == self._whole and heard.seen >= book.number
        return whole and heard.acts.get(region, newest) == newest

    def hear(self, now: float, book: Book, proposals: Iterable[Proposal], own: Proposal | None) -> None:
        """Which proposals there are, `own` this gateway's; those of which nothing is heard any more have been
        taken back."""
        for proposal in proposals:
            newest = book.newest.get(proposal.region, NONE)
            if proposal.edition in (MIXED, newest) or proposal.base != newest or answered(book, proposal):
                continue  # its proposers know, or will from the next order, that it has ended
            pending = self.pending.setdefault(proposal.subject, Pending(now, now))
            pending.heard = now
            edition = proposal.region, proposal.edition
            if self._stages.of(edition) is not Stage.PROPOSED:
                self._stages.move(edition, Event.ASKED)
        for subject, pending in list(self.pending.items()):
            overtaken = subject[2] != book.newest.get(subject[0], NONE)
            if overtaken or now - pending.heard > UNHEARD:
                self._end(subject, own)

    def _end(self, subject: Subject, own: Proposal | None) -> None:
        del self.pending[subject]
        edition = subject[:2]
        mine = own is not None and (own.region, own.edition) == edition
        if self._stages.of(edition) is Stage.PROPOSED and not mine:
            self._stages.move(edition, Event.TAKEN_BACK)

    def consider(self, now: float, book: Book, proposal: Proposal) -> Book | None:
        """The state with a proposal admitted or refused; None: not yet."""
        pending = self.pending.get(proposal.subject)
        if pending is None or pending.heard < now:
            return None
        region, edition = proposal.region, proposal.edition
        verdict = self._judged(now, book, proposal, pending)
        if verdict is None:
            if now - pending.since <= PATIENCE:
                return None
            missing = ", ".join(self._missing(book, proposal)) or "the judgement"
            verdict = Verdict("cannot-be-read", f"not had within {PATIENCE:g} s: {missing}")
        del self.pending[proposal.subject]
        if not verdict.kind:
            self.counts.admitted += 1
            return book.admits(region, edition)
        if proposal.forced and pending.verdict is verdict:
            self.counts.admitted += 1
            book, verdict = book.admits(region, edition), Verdict(FORCED, f"in spite of {verdict.text}")
        else:
            self.counts.refused += 1
        try:
            more = self._parts.offer(verdict.text[:MOST_TEXT].encode())
        except ValueError:
            more = ""
        return book.refuses(region, edition, verdict.kind, bytes.fromhex(more) or NONE)

    def _judged(self, now: float, book: Book, proposal: Proposal, pending: Pending) -> Verdict | None:
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
                self._parts.want(digest, (by,))
            return None
        proposed = self._routings.routing(proposal.edition.hex())
        listed = [self._routings.routing(x.hex()) for _, x in book.acted_on()]
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
            self._outbox.append(
                Check(self._tokens, acted_on, proposed, region not in book.newest, self._judge)
            )
        return pending.verdict

    def _missing(self, book: Book, proposal: Proposal) -> list[str]:
        """What a proposal is judged by and is not here; the owner has it on disk before it is admitted."""
        needed = {x.hex() for _, x in book.acted_on()} | {proposal.edition.hex()}
        for digest in needed:
            self._routings.store(digest)
        return sorted(needed - self._routings.durable)


def answered(book: Book, proposal: Proposal) -> bool:
    """Whether a refusal has been told since it was raised."""
    return any(
        (x.region, x.edition) == (proposal.region, proposal.edition) and x.number > proposal.after
        for x in book.refusals
    )

"""Admission of proposed editions by the owner of the task `routes`: checked, then admitted or refused in
turn."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .content_store import ContentStore
from .edition_stages import EditionStages
from .editions import (
    FORCED,
    MAX_REGIONS,
    MAX_SUPERSEDED,
    MAX_SUPERSEDED_PER_REGION,
    MIXED_EDITIONS,
    NO_EDITION,
    Edition,
    EditionEvent,
    EditionReport,
    EditionStage,
    Proposal,
    RolloutState,
    gateway_fingerprint,
    name_key,
)
from .members import Members
from .route_checks import Check, ConflictFinder, Verdict
from .routing_store import Action, RoutingStore

DECISION_TIMEOUT_SECONDS = 30.0
"""Time that a proposal waits for the editions and the check it depends on: as long as a few large items take
to fetch with a third of the datagrams lost. Then it is refused, and the reason lists what was missing."""
PROPOSAL_TIMEOUT_SECONDS = 10.0
"""Time without a report of a proposal after which it counts as withdrawn: a change of the owner and of the
report tree takes a few seconds."""
MAX_REASON_LENGTH = 2000
"""Characters of a refusal's reason."""

ProposalKey = tuple[bytes, bytes, bytes]
"""Region, edition, and the base of a proposal (`Proposal.key`)."""


@dataclass(slots=True)
class PendingProposal:
    """A proposal that the owner has not decided yet."""

    first_reported_at: float
    last_reported_at: float
    checked_against: tuple[Edition, ...] | None = None
    """The possibly active editions of the current check."""
    token: int = 0
    verdict: Verdict | None = None


@dataclass(slots=True)
class RolloutCounters:
    """Counters of proposals and states; the field names are keys of `/status`."""

    admitted: int = 0
    refused: int = 0
    settled: int = 0
    unreadable: int = 0
    stale: int = 0
    """Orders older than one applied before."""


class Admissions:
    """The owner's part of the task. Checks to run are appended to `outbox`."""

    def __init__(
        self,
        members: Members,
        content: ContentStore,
        routings: RoutingStore,
        stages: EditionStages,
        find_conflicts: ConflictFinder,
        outbox: list[Action],
    ) -> None:
        self._content, self._routings, self._stages = content, routings, stages
        self._find_conflicts, self._outbox = find_conflicts, outbox
        names = (members.name, *members.peers)
        self._gateways_by_key = {name_key(x): x for x in names}
        self._whole_fleet = len(names), sum(map(gateway_fingerprint, names)) % 2**64
        self._last_token = 0
        self.pending: dict[ProposalKey, PendingProposal] = {}
        self.counts = RolloutCounters()

    def checked(self, token: int, verdict: Verdict) -> None:
        """Record the result of a `Check`; a result of an outdated check is ignored."""
        for pending in self.pending.values():
            if pending.token == token:
                pending.verdict = verdict

    def discard_all(self, own: Proposal | None) -> None:
        """Discard all pending proposals, as another gateway owns the task; `own` is this gateway's
        proposal."""
        for key in list(self.pending):
            self._discard(key, own)

    def is_settled(self, rollout: RolloutState, region: bytes, report: EditionReport) -> bool:
        """Return whether only the newest edition of a region is active.

        Every gateway of the fleet must have reported so since it was admitted, unless an operator has
        declared the missing ones gone.
        """
        newest = rollout.newest[region]
        if any(
            x.edition == MIXED_EDITIONS and x.region == region and x.base == newest for x in report.proposals
        ):
            return report.active.get(region, newest) == newest
        is_complete = (
            report.gateway_count,
            report.fingerprint_sum,
        ) == self._whole_fleet and report.min_sequence >= rollout.sequence
        return is_complete and report.active.get(region, newest) == newest

    def update_pending(
        self, now: float, rollout: RolloutState, proposals: Iterable[Proposal], own: Proposal | None
    ) -> None:
        """Take over the reported proposals; drop those that are void or no longer reported.

        `own` is this gateway's proposal.
        """
        for proposal in proposals:
            newest = rollout.newest.get(proposal.region, NO_EDITION)
            if (
                proposal.edition in (MIXED_EDITIONS, newest)
                or proposal.base != newest
                or was_refused(rollout, proposal)
            ):
                continue  # decided: its proposers know, or will know from the next order
            pending = self.pending.setdefault(proposal.key, PendingProposal(now, now))
            pending.last_reported_at = now
            edition = proposal.region, proposal.edition
            if self._stages.stage_of(edition) is not EditionStage.PROPOSED:
                self._stages.apply_event(edition, EditionEvent.PROPOSED)
        for key, pending in list(self.pending.items()):
            is_void = key[2] != rollout.newest.get(key[0], NO_EDITION)
            if is_void or now - pending.last_reported_at > PROPOSAL_TIMEOUT_SECONDS:
                self._discard(key, own)

    def _discard(self, key: ProposalKey, own: Proposal | None) -> None:
        del self.pending[key]
        edition = key[:2]
        is_own = own is not None and (own.region, own.edition) == edition
        if self._stages.stage_of(edition) is EditionStage.PROPOSED and not is_own:
            self._stages.apply_event(edition, EditionEvent.WITHDRAWN)

    def consider(self, now: float, rollout: RolloutState, proposal: Proposal) -> RolloutState | None:
        """Return the state with a proposal admitted or refused; None while it cannot be decided."""
        pending = self.pending.get(proposal.key)
        if pending is None or pending.last_reported_at < now:
            return None
        region, edition = proposal.region, proposal.edition
        verdict = self._verdict(now, rollout, proposal, pending)
        if verdict is None:
            if now - pending.first_reported_at <= DECISION_TIMEOUT_SECONDS:
                return None
            missing = ", ".join(self._missing(rollout, proposal)) or "the result of the conflict check"
            verdict = Verdict(
                "cannot-be-read", f"not available within {DECISION_TIMEOUT_SECONDS:g} s: {missing}"
            )
        del self.pending[proposal.key]
        if not verdict.kind:
            self.counts.admitted += 1
            return rollout.with_admitted(region, edition)
        if proposal.forced and pending.verdict is verdict:
            self.counts.admitted += 1
            rollout, verdict = (
                rollout.with_admitted(region, edition),
                Verdict(FORCED, f"admitted despite {verdict.text}"),
            )
        else:
            self.counts.refused += 1
        try:
            reason_digest = self._content.add(verdict.text[:MAX_REASON_LENGTH].encode())
        except ValueError:
            reason_digest = ""
        return rollout.with_refusal(region, edition, verdict.kind, bytes.fromhex(reason_digest) or NO_EDITION)

    def _verdict(
        self, now: float, rollout: RolloutState, proposal: Proposal, pending: PendingProposal
    ) -> Verdict | None:
        region = proposal.region
        if region not in rollout.newest and len(rollout.newest) >= MAX_REGIONS:
            return Verdict("too-many-regions", f"{MAX_REGIONS} regions have editions, the most allowed")
        superseded = [x for x in rollout.possibly_active(region) if x != proposal.edition]
        total = (
            sum(map(len, rollout.superseded.values()))
            - len(rollout.superseded.get(region, ()))
            + len(superseded)
        )
        if len(superseded) > MAX_SUPERSEDED_PER_REGION or total > MAX_SUPERSEDED:
            names = ", ".join(x.hex() for x in superseded)
            return Verdict("unfinished", f"gateways that have not reported may still use {names}")
        missing = self._missing(rollout, proposal)
        if missing:
            proposer = self._gateways_by_key.get(proposal.proposer, "")
            for digest in missing:
                self._content.fetch(digest, (proposer,))
            return None
        proposed = self._routings.get(proposal.edition.hex())
        listed = [self._routings.get(x.hex()) for _, x in rollout.all_possibly_active()]
        active = tuple(x for x in listed if x is not None)
        if proposed is None or proposed.region is None or name_key(proposed.region.name) != region:
            return Verdict("unreadable", "the edition does not hold routing rules of this region")
        name = proposed.region.name
        same_key = [x for x in active if x.region is not None and name_key(x.region.name) == region]
        if any(x.region is not None and x.region.name != name for x in same_key):
            return Verdict("name-taken", f"region {name} has the same key as another region: rename it")
        all_active = rollout.all_possibly_active()
        if pending.checked_against != all_active:
            self._last_token += 1
            pending.checked_against, pending.token, pending.verdict = all_active, self._last_token, None
            self._outbox.append(
                Check(self._last_token, active, proposed, region not in rollout.newest, self._find_conflicts)
            )
        return pending.verdict

    def _missing(self, rollout: RolloutState, proposal: Proposal) -> list[str]:
        """Return the digests of editions needed for the check that are not on disk yet, and write those here.

        The owner admits an edition only once it has all of them on disk.
        """
        needed = {x.hex() for _, x in rollout.all_possibly_active()} | {proposal.edition.hex()}
        for digest in needed:
            self._routings.write(digest)
        return sorted(needed - self._routings.durable)


def was_refused(rollout: RolloutState, proposal: Proposal) -> bool:
    """Return whether the proposal has been refused since it was raised."""
    return any(
        (x.region, x.edition) == (proposal.region, proposal.edition) and x.sequence > proposal.after_refusal
        for x in rollout.refusals
    )

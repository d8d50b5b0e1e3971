"""The task `routes`: versioned routing rules by region, admitted by the task's owner and applied by all
gateways.

The owner admits an edition only if it does not conflict with any edition that may be active at that moment,
in any region and at any gateway, reachable or not; otherwise it refuses it, with a request that shows the
conflict. Gateways apply admitted editions only: never the rules of their own scripts (configuration files),
and, while the task has no owner, the edition they had before.

Orders name editions by digest; the routing rules themselves are transferred by `content_store.py`, and are on
a gateway's disk before it applies them. A conflict check may take long: it is handed out as a `Check` to run
off the decision loop, and its result counts only if the set of possibly active editions has not changed
since.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from .actions import SendMessage
from .admissions import Admissions, RolloutCounters, was_refused
from .conflicts import conflicts
from .content_store import ContentFetched, ContentStore, FetchFailed
from .edition_stages import EditionStages
from .editions import (
    MIXED_EDITIONS,
    NO_EDITION,
    EditionEvent,
    EditionReport,
    EditionsError,
    EditionStage,
    Proposal,
    RolloutState,
    gateway_fingerprint,
    merge_edition_reports,
    name_key,
)
from .leader_task import TaskOrder
from .log_buffer import LogBuffer, LogLine
from .members import Members
from .messages import Message
from .refusal_reasons import RefusalReasons
from .route_checks import ConflictFinder, Verdict
from .router import Router
from .routing import Region, Routing
from .routing_store import Action as StoreAction
from .routing_store import RoutingStore

Action = SendMessage | StoreAction


@dataclass(slots=True)
class _AppliedOrder:
    """The order that this gateway has applied last."""

    rollout: RolloutState = field(default_factory=RolloutState)
    version: tuple[int, int] = (0, 0)
    expires_at: float = -math.inf
    owner: str = ""
    sequence: int = 0
    """Of its state; unlike `rollout`, it is not set by the owner's own decisions that are not accepted
    yet."""


class RoutingTask:
    """The task `routes` of one gateway; one instance for each run of a gateway whose script has a region."""

    name = "routes"
    durable = True

    def __init__(
        self,
        region: Region,
        members: Members,
        router: Router,
        now: float,
        seed: int,
        find_conflicts: ConflictFinder = conflicts,
    ) -> None:
        self._region, self._region_key = region, name_key(region.name)
        self._members, self._router = members, router
        self.content = ContentStore(members, now, seed)
        self._log_buffer = LogBuffer()
        self._outbox: list[StoreAction] = []
        self._routings = RoutingStore(self.content, self._outbox)
        self._stages = EditionStages()
        self._admissions = Admissions(
            members, self.content, self._routings, self._stages, find_conflicts, self._outbox
        )
        self._applied = _AppliedOrder()
        self._active = NO_EDITION
        self._proposal: Proposal | None = None
        self._script_digest = ""
        """Digest of the rules in this gateway's script."""
        self._forget_base = NO_EDITION
        """The newest edition when an operator declared the region's unreachable gateways gone."""
        self._reasons = RefusalReasons(self._region_key, self.content, self._log_buffer)
        self._last_write_error = ""
        self._decided = RolloutState()
        """The state last decided here, accepted or not: the items it names must be kept."""
        router.use_home_only(region)

    # Called by the gateway

    def restore(self, stored_rules: Iterable[bytes]) -> None:
        """Load the routing rules that an earlier run stored; call it before `restore_order`."""
        for data in stored_rules:
            try:
                self._routings.restore(data)
            except ValueError as error:
                self._log_buffer.add("warning", "routes_part_unusable", cause=str(error))

    def discard_recalled_state(self) -> None:
        """Return to home mode (`RoutingMode.HOME`) until an order arrives.

        This run's disk is empty or older than peers know. The edition restored from disk may
        have been retired since.
        """
        self._log_buffer.add("warning", "routes_at_home", edition=self._active.hex())
        self._applied, self._active = _AppliedOrder(), NO_EDITION
        self._stages.clear()
        if self._proposal is not None:
            self._stages.apply_event((self._proposal.region, self._proposal.edition), EditionEvent.PROPOSED)
        self._router.use_home_only(self._region)

    def propose(self, now: float, routing: Routing, start: bool = False, forced: str = "") -> None:
        """Propose the rules of this gateway's script, at its start and at each reload.

        At a start they are proposed only if no edition of the region is admitted: else a gateway that comes
        back with an outdated script would revert the whole region. A reload with the rules in force withdraws
        a pending proposal.

        `forced` is an operator's reason to admit the rules despite conflicts. It is needed to change what all
        gateways must agree on (terms, lanes, witnesses), as they change their scripts one by one.
        """
        region = routing.region
        if region is None or region.name != self._region.name:
            self._log_buffer.add(
                "error",
                "routes_region_stays",
                region=self._region.name,
                found=None if region is None else region.name,
            )
            return
        edition = bytes.fromhex(routing.digest)
        self._script_digest = routing.digest
        newest = self._applied.rollout.newest.get(self._region_key, NO_EDITION)
        current = self._proposal
        is_same = current is not None and (current.edition, current.base) == (edition, newest)
        if is_same and current is not None and current.forced >= bool(forced):
            return
        self._withdraw("withdrawn by a reload")
        if edition == newest:
            return
        if start and newest != NO_EDITION:
            self._log_buffer.add(
                "warning", "routes_script_differs", acting=newest.hex(), script=routing.digest
            )
            return
        try:
            self.content.add(routing.canonical)
        except ValueError as error:
            self._log_buffer.add("error", "routes_not_proposed", edition=routing.digest, cause=str(error))
            return
        self._routings.write(routing.digest)
        after_refusal = max((x.sequence for x in self._applied.rollout.refusals), default=0)
        proposer = name_key(self._members.name)
        self._proposal = Proposal(self._region_key, edition, newest, after_refusal, proposer, bool(forced))
        self._stages.apply_event((self._region_key, edition), EditionEvent.PROPOSED)
        self._log_buffer.add(
            "info", "routes_proposed", edition=routing.digest, against=newest.hex(), forced=forced
        )

    def forget_unreachable(self, now: float) -> None:
        """Apply an operator's command: unreachable gateways of this region are gone, with their editions."""
        self._forget_base = self._applied.rollout.newest.get(self._region_key, NO_EDITION)
        self._log_buffer.add("warning", "routes_forget_unheard", region=self._region.name)

    def due(self) -> float:
        """Return the time at which `tick` is to be called next."""
        return -math.inf if self._outbox else self.content.due()

    def tick(self, now: float) -> list[Action]:
        """Advance fetches; return the actions to carry out."""
        return self._handle_content(now, self.content.tick(now)) + self._take_outbox()

    def receive(self, now: float, message: Message) -> list[Action]:
        """Handle a FETCH or PART message that the membership layer has accepted."""
        return self._handle_content(now, self.content.receive(now, message)) + self._take_outbox()

    def stored(self, now: float, digest: str, trouble: str = "") -> None:
        """Record the result of a `Store` action; a failed one (`trouble`) is repeated when next needed."""
        self._routings.write_finished(digest, not trouble)
        if trouble and trouble != self._last_write_error:  # repeated twice a second, logged once
            self._log_buffer.add("error", "routes_part_not_kept", edition=digest, cause=trouble)
        self._last_write_error = trouble

    def drain_lines(self) -> list[LogLine]:
        """Return the log lines since the last call."""
        return self._log_buffer.drain_lines()

    # The leader task

    def local_report(self, now: float) -> bytes:
        """Return this gateway's encoded report: its active edition, and proposals whose rules are on disk."""
        proposals = []
        if self._proposal is not None and self._proposal.edition.hex() in self._routings.durable:
            proposals.append(self._proposal)
        if self._forget_base != NO_EDITION:
            proposer = name_key(self._members.name)
            proposals.append(Proposal(self._region_key, MIXED_EDITIONS, self._forget_base, 0, proposer))
        fingerprint = gateway_fingerprint(self._members.name)
        active = {self._region_key: self._active}
        return EditionReport(1, fingerprint, self._applied.sequence, active, tuple(sorted(proposals))).pack()

    def merge_reports(self, parts: Sequence[bytes]) -> bytes:
        """Merge encoded reports; malformed ones are skipped and counted."""
        return merge_edition_reports(self._decode_reports(parts)).pack()

    def _decode_reports(self, parts: Iterable[bytes]) -> list[EditionReport]:
        reports = []
        for part in parts:
            try:
                reports.append(EditionReport.unpack(part))
            except EditionsError:
                self._admissions.counts.unreadable += 1
        return reports

    def decide(self, now: float, state: bytes, merged_report: bytes) -> bytes:
        """Return the next state: regions settled, and at most one proposal admitted or refused.

        The same bytes are returned if nothing changes.
        """
        try:
            rollout = RolloutState.unpack(state)
        except EditionsError as error:
            self._admissions.counts.unreadable += 1
            self._log_buffer.add("error", "routes_state_unreadable", cause=str(error))
            return state
        report = merge_edition_reports(self._decode_reports([merged_report] if merged_report else []))
        self._set_rollout(rollout)
        before = rollout
        for region in sorted(rollout.superseded):
            if self._admissions.is_settled(rollout, region, report):
                rollout = rollout.with_settled(region)
                self._admissions.counts.settled += 1
        self._admissions.update_pending(now, rollout, report.proposals, self._proposal)
        for proposal in report.proposals:
            after = self._admissions.consider(now, rollout, proposal)
            if after is not None:
                rollout = after
                break  # the next proposal is checked against the new state
        self._decided = rollout
        self._drop_unused()
        return state if rollout is before else rollout.pack()

    def apply_order(self, now: float, order: TaskOrder) -> None:
        """Apply an order; one older than the last one is counted and ignored."""
        if order.version < self._applied.version:
            self._admissions.counts.stale += 1
            return
        self._apply(now, order, order.expires_at)

    def restore_order(self, now: float, order: TaskOrder) -> None:
        """Apply the last order of an earlier run at a start, as far as its editions are on disk."""
        self._apply(now, order, now)

    def expire_order(self, now: float) -> None:
        """Keep the active editions; no newer ones are applied until the next order."""
        if self._applied.expires_at > -math.inf:
            self._applied.expires_at = -math.inf
            self._log_buffer.add("warning", "routes_unowned", edition=self._router.edition)

    def checked(self, now: float, token: int, verdict: Verdict) -> None:
        """Record the result of the `Check` with this token."""
        self._admissions.checked(token, verdict)

    @property
    def counts(self) -> RolloutCounters:
        """Counters of proposals and states."""
        return self._admissions.counts

    # The edition in force

    def _apply(self, now: float, order: TaskOrder, expires_at: float) -> None:
        try:
            rollout = RolloutState.unpack(order.state)
        except EditionsError as error:
            self._admissions.counts.unreadable += 1
            self._log_buffer.add("error", "routes_state_unreadable", cause=str(error))
            return
        applied = self._applied
        applied.version, applied.expires_at, applied.owner, applied.sequence = (
            order.version,
            expires_at,
            order.owner,
            rollout.sequence,
        )
        if order.owner != self._members.name:  # pending proposals are up to the current owner
            self._decided = RolloutState()
            self._admissions.discard_all(self._proposal)
        self._set_rollout(rollout)
        self._update_proposal(now, rollout)
        for newest in rollout.newest.values():
            digest = newest.hex()
            if self.content.get(digest) is None:
                self.content.fetch(digest, (order.owner,))
            else:
                self._routings.write(digest)
        self._activate(rollout)
        self._drop_unused()

    def _activate(self, rollout: RolloutState) -> None:
        """Activate the newest admitted editions that are on disk.

        Until this region's newest one is on disk, the active edition stays, as long as it is allowed to.
        """
        allowed = rollout.possibly_active(self._region_key)
        preferred = (rollout.newest.get(self._region_key, NO_EDITION), self._active, *allowed[::-1])
        listed = [x.hex() for x in preferred if x in allowed and x.hex() in self._routings.durable]
        own = next((x for x in map(self._routings.get, listed) if x is not None), None)
        if own is None:
            if self._active != NO_EDITION and self._active not in allowed:
                # An operator has retired the active edition, or the disk is not this gateway's own: home mode
                # is safe.
                self._router.use_home_only(self._region)
                self._log_buffer.add("warning", "routes_at_home", edition=self._active.hex())
                self._active = NO_EDITION
            return
        others = []
        for region in rollout.newest:
            if region == self._region_key:
                continue
            # The newest one available here: until all gateways have it, its predecessor counts as active too.
            available = [
                x.hex() for x in rollout.possibly_active(region)[::-1] if x.hex() in self._routings.durable
            ]
            others += [x for x in map(self._routings.get, available) if x is not None][:1]
        before, self._active = self._active, bytes.fromhex(own.digest)
        self._router.apply_edition(own, others)
        if before != self._active:
            self._log_buffer.add(
                "info",
                "routes_in_force",
                edition=own.digest,
                before=before.hex(),
                mark=list(self._applied.version),
            )
            if self._script_digest and self._script_digest != own.digest and self._proposal is None:
                self._log_buffer.add(
                    "warning", "routes_script_differs", acting=own.digest, script=self._script_digest
                )

    def _update_proposal(self, now: float, rollout: RolloutState) -> None:
        """Log refusals, and end this gateway's proposal if the state decides it or makes it void."""
        proposal = self._proposal
        if (
            self._forget_base not in (NO_EDITION, rollout.newest.get(self._region_key))
            or self._region_key not in rollout.superseded
        ):
            self._forget_base = NO_EDITION
        self._reasons.update(now, rollout.refusals, self._applied.owner)
        if proposal is None:
            return
        newest = rollout.newest.get(self._region_key, NO_EDITION)
        if newest == proposal.edition:
            self._proposal = None
            self._log_buffer.add("info", "routes_admitted", edition=newest.hex())
        elif was_refused(rollout, proposal):
            self._proposal = None
        elif newest != proposal.base:
            reason = (
                "another edition was admitted first"
                if proposal.base != NO_EDITION
                else "the region has an edition already"
            )
            self._withdraw(f"{reason}: {newest.hex()}")

    def _withdraw(self, reason: str) -> None:
        if self._proposal is not None:
            edition, self._proposal = (self._proposal.region, self._proposal.edition), None
            self._log_buffer.add("warning", "routes_not_admitted", edition=edition[1].hex(), why=reason)
            if self._stages.stage_of(edition) is EditionStage.PROPOSED:
                self._stages.apply_event(edition, EditionEvent.WITHDRAWN)

    # State and content

    def _set_rollout(self, rollout: RolloutState) -> None:
        self._stages.update(self._applied.rollout, rollout)
        self._applied.rollout = rollout

    def _drop_unused(self) -> None:
        """Drop content that no state, proposal or check refers to."""
        rollouts = self._applied.rollout, self._decided
        editions = {x.hex() for rollout in rollouts for _, x in rollout.all_possibly_active()}
        editions |= {x[1].hex() for x in self._admissions.pending}
        if self._proposal is not None:
            editions.add(self._proposal.edition.hex())
        if self._active != NO_EDITION:
            editions.add(self._active.hex())
        reasons = {x.reason_digest.hex() for rollout in rollouts for x in rollout.refusals}
        self._routings.retain(editions, reasons)

    def _handle_content(
        self, now: float, results: Iterable[SendMessage | ContentFetched | FetchFailed]
    ) -> list[Action]:
        out: list[Action] = []
        texts = self._reasons.digests()
        for result in results:
            match result:
                case SendMessage():
                    out.append(result)
                case ContentFetched(digest) if digest in texts:
                    self._reasons.log_ready(now)
                case ContentFetched(digest):
                    self._routings.write(digest)
                case FetchFailed():
                    pass  # still needed items are fetched again at the next order or decision
        return out

    def _take_outbox(self) -> list[Action]:
        out: list[Action] = [*self._outbox]
        self._outbox.clear()
        return out

    def status(self, now: float) -> dict[str, object]:
        """Return the `/status` section; read without a lock, so parts of it may differ by a moment."""
        rollout = self._applied.rollout
        names = {}
        for region, newest in rollout.newest.items():
            routing = self._routings.get(newest.hex())
            names[region] = region.hex() if routing is None or routing.region is None else routing.region.name
        return {
            "region": self._region.name,
            "acting": self._router.edition,
            "script": self._script_digest,
            "holds_s": max(0.0, round(self._applied.expires_at - now, 3)),
            "mark": list(self._applied.version),
            "editions": {
                names[x]: {
                    "newest": y.hex(),
                    "stage": self._stages.stage_of((x, y)).value,
                    "may_act_on": [z.hex() for z in rollout.superseded.get(x, ())],
                }
                for x, y in sorted(rollout.newest.items())
            },
            "proposed": None if self._proposal is None else self._proposal.edition.hex(),
            "pending": [
                {
                    "edition": x[1].hex(),
                    "since_s": round(now - y.first_reported_at, 3),
                    "judging": y.token > 0,
                }
                for x, y in list(self._admissions.pending.items())
            ],
            "last_refusal": dict(self._reasons.last),
            "counts": {x: getattr(self._admissions.counts, x) for x in RolloutCounters.__slots__},
            "parts_dropped": dict(self.content.dropped),
            "router": self._router.status(),
        }

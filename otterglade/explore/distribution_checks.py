"""What must hold in the explored world of the distribution, judged without the shipped bookkeeping.

The checker keeps the line of accepted revisions as plain mappings, computed from the drafts that it has seen.
Each method raises BrokenError with the name of the property that does not hold.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..core.distribution.items import EMPTY_ROOT, ItemStore
from ..core.distribution.messages import ReadAnswer, ReadRequest, Report
from ..core.distribution.revision import GENESIS, Change, Delta, Head, RevisionId
from .world import BrokenError

Identity = tuple[RevisionId, bytes]
"""A revision and the digest of its content."""
Content = dict[str, bytes]


def content_after(before: Content, changes: Iterable[Change]) -> Content:
    """The mapping after some changes."""
    after = dict(before)
    for change in changes:
        if change.value is None:
            after.pop(change.key, None)
        else:
            after[change.key] = change.value
    return after


def root_of(content: Content) -> bytes:
    """Digest of a mapping."""
    return ItemStore([Change(key, value) for key, value in sorted(content.items())]).root


class Checker:
    """Knows what was accepted, what was applied where, and what proposers were told."""

    def __init__(self) -> None:
        self.line: list[Identity] = [(GENESIS, EMPTY_ROOT)]
        """Accepted revisions in their order."""
        self.contents: dict[Identity, Content] = {self.line[0]: {}}
        """Of the accepted revisions."""
        self.drafted: dict[Identity, Delta] = {}
        """Whatever a writer has sent to a voter."""
        self.applied: dict[str, list[RevisionId]] = {}
        """By gateway, all that it has ever acted upon, in order."""
        self.accepted_keys: dict[str, RevisionId] = {}
        """Keys of proposals whose proposer was told of that revision."""
        self.refused_keys: dict[str, str] = {}
        """Keys of proposals whose proposer was told that nothing was done, with the proposal."""

    # Acceptance

    def draft(self, delta: Delta) -> None:
        """A writer asks a voter to keep this."""
        known = self.drafted.setdefault((delta.target, delta.root), delta)
        if known.base_root != delta.base_root:
            raise BrokenError("one content", f"{delta.target} is drafted from two bases")

    def accept(self, state: bytes, durable_at: int, voters: int) -> None:
        """The register has accepted a state; `durable_at`: voters that have its content on disk."""
        if not state:
            return
        head = Head.unpack(state)
        identity = (head.revision, head.root)
        if identity == self.line[-1]:
            return
        if any(revision == head.revision for revision, _ in self.line):
            raise BrokenError("one content", f"{head.revision} is accepted with two contents, or again")
        delta = self.drafted.get(identity)
        if delta is None or (delta.base, delta.base_root) != self.line[-1]:
            raise BrokenError("one line", f"{head.revision} does not follow on {self.line[-1][0]}")
        if head.revision <= self.line[-1][0]:
            raise BrokenError("one line", f"{head.revision} is accepted after {self.line[-1][0]}")
        content = content_after(self.contents[self.line[-1]], delta.changes)
        if root_of(content) != head.root:
            raise BrokenError("digest", f"{head.revision} is accepted with another digest than its content's")
        if durable_at <= voters // 2:
            raise BrokenError("durable", f"{head.revision} is accepted, and durable at {durable_at} voters")
        self.line.append(identity)
        self.contents[identity] = content
        self._check_proposers(identity)

    def _check_proposers(self, identity: Identity) -> None:
        """The latest revision against all that proposers were told."""
        content = self.contents[identity]
        for key, proposal in self.refused_keys.items():
            if key in content:
                raise BrokenError("refused", f"{proposal} was told Refused, and is in {identity[0]}")
        for key, revision in self.accepted_keys.items():
            if key not in content:
                raise BrokenError(
                    "accepted", f"{key} was accepted in {revision}, and is not in {identity[0]}"
                )

    # Proposers

    def told_accepted(self, proposal: str, key: str, revision: RevisionId) -> None:
        """A proposer was told that its proposal is in that revision."""
        content = next((self.contents[one] for one in self.line if one[0] == revision), None)
        if content is None:
            raise BrokenError("accepted", f"{proposal} was told of {revision}, which nobody has accepted")
        if key not in content:
            raise BrokenError("accepted", f"{proposal} was told of {revision}, which does not have it")
        self.accepted_keys[key] = revision

    def told_refused(self, proposal: str, key: str) -> None:
        """A proposer was told that its proposal was not accepted and will not be."""
        self.refused_keys[key] = proposal
        self._check_proposers(self.line[-1])

    # Readers

    def held(self, name: str, revision: RevisionId, root: bytes) -> None:
        """A control machine serves this from now on."""
        if (revision, root) not in self.contents:
            raise BrokenError("unaccepted", f"{name} holds {revision}, which nobody has accepted so")

    def served(self, name: str, answer: ReadAnswer) -> None:
        """A control machine answers a read."""
        revisions = {revision for revision, _ in self.line}
        offered = [answer.revision] + [x.target for x in (answer.delta, answer.transfer) if x is not None]
        for revision in offered:
            if revision not in revisions:
                raise BrokenError("unaccepted", f"{name} serves {revision}, which nobody has accepted")
        if answer.delta is not None and (answer.delta.target, answer.delta.root) not in self.contents:
            raise BrokenError("unaccepted", f"{name} serves another content of {answer.delta.target}")

    def applies(self, name: str, revision: RevisionId, store: ItemStore) -> None:
        """A gateway acts upon this from now on."""
        before = self.applied.setdefault(name, [GENESIS])
        if revision <= before[-1]:
            raise BrokenError("goes back", f"{name} applies {revision} after {before[-1]}")
        self.check_content(name, revision, store)
        before.append(revision)

    def check_content(self, name: str, revision: RevisionId, store: ItemStore) -> None:
        """A mapping is the one accepted under that name."""
        content = self.contents.get((revision, store.root))
        if content is None:
            raise BrokenError("unaccepted", f"{name} applies {revision}, which nobody has accepted so")
        if {change.key: change.value for change in store.changes()} != content:
            raise BrokenError("digest", f"{name} applies {revision} with another content than accepted")

    def acknowledges(self, request: ReadRequest) -> None:
        """A gateway says what it acts upon."""
        acting = self.applied.get(request.name, [GENESIS])[-1]
        if request.in_force != acting:
            raise BrokenError(
                "acknowledged", f"{request.name} acknowledges {request.in_force}; it acts upon {acting}"
            )

    def reports(self, name: str, report: Report, gateways: int) -> None:
        """A relay tells how many act upon what."""
        counted = sum(count.subscribers for count in report.counts) + report.older
        if max(counted, report.subscribers) > gateways or report.behind > gateways:
            raise BrokenError("report", f"{name} counts {report.subscribers} of {gateways} subscribers")
        for count in report.counts:
            able = sum(count.revision in ([GENESIS, *applied]) for applied in self.applied.values())
            able += (gateways - len(self.applied)) * (count.revision == GENESIS)
            if count.subscribers > able:
                raise BrokenError(
                    "report", f"{name} counts {count.subscribers} on {count.revision}; {able} have applied it"
                )

"""Counts of subscribers by the revision that they have in force, per relay and aggregated for the writer.

Each read carries the revision that its sender has in force. The relay updates its counts with every read, so
a report does not iterate over all subscribers. A subscriber that sends nothing for a while is removed, so
that one that moved to another relay is counted twice only for a short time. Relays themselves are not
counted; the reports that they send are added up.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import islice

from .messages import (
    MAX_COUNTED_REVISIONS,
    MAX_REASON_BYTES,
    MAX_STRAGGLERS,
    ReadRequest,
    Report,
    Straggler,
    SubscriberCount,
)
from .revision import GENESIS, RevisionId

MAX_SUBSCRIBERS = 4096
"""Subscribers that a relay counts: more than all gateways, in case every other relay is down."""
MAX_REPORTS = 64
"""Relays and voters whose reports are added up, at most."""
SUBSCRIBER_TIMEOUT_SECONDS = 25.0
"""Without a read or part request: a blocking read, its timeout, and one retry."""
MAX_SUPERSEDED_HEADS = 256
"""Earlier heads whose time of replacement is remembered."""
AHEAD_REASON = "acts upon a later revision than its relay holds"
"""Reason reported for a straggler whose revision is later than the relay's."""


@dataclass(slots=True)
class _Entry:
    run: str
    in_force: RevisionId
    seen_at: float
    reason: str
    report: Report | None


@dataclass(slots=True)
class _Group:
    """Subscribers that have the same revision in force."""

    behind_since: float
    """Since when a later revision is available; unused for the group at the head."""
    names: dict[str, None] = field(default_factory=dict)
    """Insertion-ordered: the earliest to reach this revision first."""


class Acknowledgements:
    """Tracks which revision each subscriber of one relay has in force."""

    def __init__(
        self, max_subscribers: int = MAX_SUBSCRIBERS, timeout_seconds: float = SUBSCRIBER_TIMEOUT_SECONDS
    ) -> None:
        self._max_subscribers, self._timeout_seconds = max_subscribers, timeout_seconds
        self._entries: OrderedDict[str, _Entry] = OrderedDict()
        """Least recently seen first."""
        self._groups: dict[RevisionId, _Group] = {}
        self._reporting: dict[str, None] = {}
        """Names of the relays and voters among the entries, as an ordered set."""
        self._head = GENESIS
        self._superseded: OrderedDict[RevisionId, float] = OrderedDict()
        """When each earlier head was replaced by a later one."""
        self.uncounted = 0
        """Reads of subscribers that exceeded the limits and were not counted."""

    def __len__(self) -> int:
        return len(self._entries)

    def record_read(self, now: float, request: ReadRequest, head: RevisionId) -> None:
        """Record what a subscriber has in force; `head` is the relay's latest revision."""
        self.tick(now)
        self._update_head(now, head)
        entry = self._entries.get(request.name)
        if entry is None and not self._has_capacity(request):
            self.uncounted += 1
            return
        if entry is not None and not _same_group(entry, request):
            self._remove_entry(request.name)
        self._add_entry(now, request)

    def record_activity(self, now: float, name: str) -> None:
        """Postpone the timeout of a subscriber that fetches a long transfer and so sends no reads."""
        entry = self._entries.get(name)
        if entry is not None:
            entry.seen_at = now
            self._entries.move_to_end(name)

    def remove_subscriber(self, name: str, run: str) -> None:
        """Remove a subscriber whose connection has closed, unless a later run of it has read since."""
        entry = self._entries.get(name)
        if entry is not None and entry.run == run:
            self._remove_entry(name)

    def tick(self, now: float) -> None:
        """Remove the subscribers that have timed out."""
        while self._entries:
            name, entry = next(iter(self._entries.items()))
            if now - entry.seen_at < self._timeout_seconds:
                return
            self._remove_entry(name)

    def report(self, now: float, head: RevisionId, excluded: Collection[str] = ()) -> Report:
        """Return the report of all subscribers below this relay, including those below relays that read here.

        `excluded` names relays whose reports are left out. A voter leaves out those of the other voters:
        voters read from one another, so their reports would circulate and be counted again each time.
        """
        self.tick(now)
        self._update_head(now, head)
        below = [self._entries[name].report or Report() for name in self._reporting if name not in excluded]
        return merge_subscriber_reports([self._own_report(now), *below])

    def _has_capacity(self, request: ReadRequest) -> bool:
        if len(self._entries) >= self._max_subscribers:
            return False
        return request.report is None or len(self._reporting) < MAX_REPORTS

    def _add_entry(self, now: float, request: ReadRequest) -> None:
        reason = _straggler_reason(request, self._head)
        self._entries[request.name] = _Entry(request.run, request.in_force, now, reason, request.report)
        self._entries.move_to_end(request.name)
        if request.report is not None:
            self._reporting[request.name] = None
            return
        group = self._groups.get(request.in_force)
        if group is None:
            since = self._superseded.get(request.in_force, now)
            group = self._groups[request.in_force] = _Group(since)
        group.names[request.name] = None

    def _remove_entry(self, name: str) -> None:
        entry = self._entries.pop(name)
        if entry.report is not None:
            del self._reporting[name]
            return
        group = self._groups[entry.in_force]
        del group.names[name]
        if not group.names:
            del self._groups[entry.in_force]

    def _update_head(self, now: float, head: RevisionId) -> None:
        """Remember when the previous head was superseded."""
        if head == self._head:
            return
        self._superseded[self._head] = now
        if len(self._superseded) > MAX_SUPERSEDED_HEADS:
            self._superseded.popitem(last=False)
        if self._head in self._groups:
            self._groups[self._head].behind_since = now
        self._head = head

    def _own_report(self, now: float) -> Report:
        total = sum(len(group.names) for group in self._groups.values())
        at_head = self._groups.get(self._head)
        behind = total - (0 if at_head is None else len(at_head.names))
        counts = {revision: len(group.names) for revision, group in self._groups.items()}
        stragglers = tuple(islice(self._stragglers(now), MAX_STRAGGLERS))
        return _build_report(counts, 0, behind, stragglers)

    def _stragglers(self, now: float) -> Iterator[Straggler]:
        """Yield the subscribers that are not at the head, longest behind first."""
        groups = [item for item in self._groups.items() if item[0] != self._head]
        for revision, group in sorted(groups, key=lambda item: (item[1].behind_since, item[0])):
            for name in group.names:
                yield Straggler(name, revision, now - group.behind_since, self._entries[name].reason)


def _same_group(entry: _Entry, request: ReadRequest) -> bool:
    return entry.in_force == request.in_force and (entry.report is None) == (request.report is None)


def _straggler_reason(request: ReadRequest, head: RevisionId) -> str:
    if request.rejection is not None and request.rejection.revision > request.in_force:
        return _truncate_reason(request.rejection.reason)
    return AHEAD_REASON if request.in_force > head else ""


def _truncate_reason(reason: str) -> str:
    return reason.encode()[:MAX_REASON_BYTES].decode(errors="ignore")


def merge_subscriber_reports(reports: Sequence[Report]) -> Report:
    """Merge reports into one of bounded size; the operation is commutative and associative."""
    counts: Counter[RevisionId] = Counter()
    for report in reports:
        for count in report.counts:
            counts[count.revision] += count.subscribers
    older = sum(report.older for report in reports)
    behind = sum(report.behind for report in reports)
    stragglers = [straggler for report in reports for straggler in report.stragglers]
    return _build_report(counts, older, behind, stragglers)


def _build_report(
    counts: dict[RevisionId, int], older: int, behind: int, stragglers: Sequence[Straggler]
) -> Report:
    latest = sorted(counts, reverse=True)
    listed = tuple(SubscriberCount(revision, counts[revision]) for revision in latest[:MAX_COUNTED_REVISIONS])
    folded = older + sum(counts[revision] for revision in latest[MAX_COUNTED_REVISIONS:])
    total = folded + sum(count.subscribers for count in listed)
    longest = sorted(stragglers, key=lambda straggler: (-straggler.behind_s, straggler.name))
    return Report(total, listed, folded, behind, tuple(longest[:MAX_STRAGGLERS]))

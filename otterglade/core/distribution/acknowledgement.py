"""Who acts upon which revision: kept by each relay for its own subscribers, and added up for the writer.

A subscriber's read says what it acts upon. The relay counts its subscribers by revision as they read, so a
report costs no walk over all of them. A subscriber that stays silent lapses, so that one that has moved to
another relay is not counted twice for long. Relays are not counted; their reports are.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import islice

from .messages import REASON_BYTES, REVISIONS, STRAGGLERS, Count, ReadRequest, Report, Straggler
from .revision import GENESIS, RevisionId

MOST_SUBSCRIBERS = 4096
"""Subscribers that a relay counts: more than all gateways, should every other relay be gone."""
MOST_REPORTS = 64
"""Relays and voters whose reports are added up."""
LAPSE_SECONDS = 25.0
"""Of silence: a blocking read, its timeout, and one more try."""
MOST_HEADS = 256
"""Earlier heads of which it is known until when they stood."""
AHEAD = "acts upon a later revision than its relay holds"
"""Reason of a straggler."""


@dataclass(slots=True)
class _Entry:
    run: str
    in_force: RevisionId
    seen_at: float
    reason: str
    report: Report | None


@dataclass(slots=True)
class _Group:
    """Subscribers that act upon one revision."""

    behind_since: float
    """Meaningless for the head's own group."""
    names: dict[str, None] = field(default_factory=dict)
    """In the order in which they came to this revision."""


class Acknowledgements:
    """What the subscribers of one relay act upon."""

    def __init__(self, most: int = MOST_SUBSCRIBERS, lapse: float = LAPSE_SECONDS) -> None:
        self._most, self._lapse = most, lapse
        self._entries: OrderedDict[str, _Entry] = OrderedDict()
        """Longest silent first."""
        self._groups: dict[RevisionId, _Group] = {}
        self._reporting: dict[str, None] = {}
        """Names of the entries that carry a report."""
        self._head = GENESIS
        self._superseded: OrderedDict[RevisionId, float] = OrderedDict()
        """When an earlier head was followed by the next."""
        self.uncounted = 0
        """Reads of subscribers for whom there was no room."""

    def __len__(self) -> int:
        return len(self._entries)

    def read(self, now: float, request: ReadRequest, head: RevisionId) -> None:
        """A subscriber has said what it acts upon; `head` is what this relay holds."""
        self.tick(now)
        self._follow(now, head)
        entry = self._entries.get(request.name)
        if entry is None and not self._room(request):
            self.uncounted += 1
            return
        if entry is not None and not _same_group(entry, request):
            self._remove(request.name)
        self._put(now, request)

    def touch(self, now: float, name: str) -> None:
        """A subscriber is there, and acts upon the same as before: it fetches a long transfer."""
        entry = self._entries.get(name)
        if entry is not None:
            entry.seen_at = now
            self._entries.move_to_end(name)

    def gone(self, name: str, run: str) -> None:
        """The connection of a subscriber has ended; an earlier run's end says nothing about a later one."""
        entry = self._entries.get(name)
        if entry is not None and entry.run == run:
            self._remove(name)

    def tick(self, now: float) -> None:
        """Forget who has been silent for too long."""
        while self._entries:
            name, entry = next(iter(self._entries.items()))
            if now - entry.seen_at < self._lapse:
                return
            self._remove(name)

    def report(self, now: float, head: RevisionId, without: Collection[str] = ()) -> Report:
        """All subscribers below this relay, those below other relays that read here included.

        `without`: relays whose reports are left out. A voter leaves out the other voters' in what it tells:
        while they read from one another, a report would go round and grow.
        """
        self.tick(now)
        self._follow(now, head)
        below = [self._entries[name].report or Report() for name in self._reporting if name not in without]
        return add([self._own_report(now), *below])

    def _room(self, request: ReadRequest) -> bool:
        if len(self._entries) >= self._most:
            return False
        return request.report is None or len(self._reporting) < MOST_REPORTS

    def _put(self, now: float, request: ReadRequest) -> None:
        reason = _reason(request, self._head)
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

    def _remove(self, name: str) -> None:
        entry = self._entries.pop(name)
        if entry.report is not None:
            del self._reporting[name]
            return
        group = self._groups[entry.in_force]
        del group.names[name]
        if not group.names:
            del self._groups[entry.in_force]

    def _follow(self, now: float, head: RevisionId) -> None:
        """Note when the head before this one was superseded."""
        if head == self._head:
            return
        self._superseded[self._head] = now
        if len(self._superseded) > MOST_HEADS:
            self._superseded.popitem(last=False)
        if self._head in self._groups:
            self._groups[self._head].behind_since = now
        self._head = head

    def _own_report(self, now: float) -> Report:
        total = sum(len(group.names) for group in self._groups.values())
        at_head = self._groups.get(self._head)
        behind = total - (0 if at_head is None else len(at_head.names))
        counts = {revision: len(group.names) for revision, group in self._groups.items()}
        stragglers = tuple(islice(self._stragglers(now), STRAGGLERS))
        return _report(counts, 0, behind, stragglers)

    def _stragglers(self, now: float) -> Iterator[Straggler]:
        """Longest behind first."""
        groups = [item for item in self._groups.items() if item[0] != self._head]
        for revision, group in sorted(groups, key=lambda item: (item[1].behind_since, item[0])):
            for name in group.names:
                yield Straggler(name, revision, now - group.behind_since, self._entries[name].reason)


def _same_group(entry: _Entry, request: ReadRequest) -> bool:
    return entry.in_force == request.in_force and (entry.report is None) == (request.report is None)


def _reason(request: ReadRequest, head: RevisionId) -> str:
    if request.rejection is not None and request.rejection.revision > request.in_force:
        return _cut(request.rejection.reason)
    return AHEAD if request.in_force > head else ""


def _cut(reason: str) -> str:
    return reason.encode()[:REASON_BYTES].decode(errors="ignore")


def add(reports: Sequence[Report]) -> Report:
    """Several reports as one, of bounded size; neither order nor grouping makes a difference."""
    counts: Counter[RevisionId] = Counter()
    for report in reports:
        for count in report.counts:
            counts[count.revision] += count.subscribers
    older = sum(report.older for report in reports)
    behind = sum(report.behind for report in reports)
    stragglers = [straggler for report in reports for straggler in report.stragglers]
    return _report(counts, older, behind, stragglers)


def _report(
    counts: dict[RevisionId, int], older: int, behind: int, stragglers: Sequence[Straggler]
) -> Report:
    latest = sorted(counts, reverse=True)
    kept = tuple(Count(revision, counts[revision]) for revision in latest[:REVISIONS])
    folded = older + sum(counts[revision] for revision in latest[REVISIONS:])
    total = folded + sum(count.subscribers for count in kept)
    longest = sorted(stragglers, key=lambda straggler: (-straggler.behind_s, straggler.name))
    return Report(total, kept, folded, behind, tuple(longest[:STRAGGLERS]))

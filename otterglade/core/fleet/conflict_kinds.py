"""Kinds of conflicts between regions' routing rules, and a conflict with an example request."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

import msgspec


class ConflictKind(StrEnum):
    """Kind of a conflict.

    A rule *decides* on a request if it matches it, and no other matching rule has a lower order, or an equal
    order and a name that sorts first (`routing.rule_for`).
    """

    REFUSED = "refused-there"
    """A rule decides on a request, and a region that it may go to (`Route.reachable_regions`) does not accept
    the class from the rule's region. A region without active rules accepts nothing."""
    CYCLE = "cycle"
    """For one class, title and account, requested in each region: deciding rules spill from their first
    region to a later one that accepts it, and on from there, back to the first. Reported once for each
    strongly connected component of regions, with the rules of all such steps within it."""
    OVERLAP = "overlap"
    """Two rules of a region have equal order and different lists of regions, and both match some request."""
    SHADOWED = "shadowed"
    """A rule decides on no request."""
    OVERCOMMITTED = "overcommitted"
    """A region's accepted shares sum to over 1, or more is spilled to it than it accepts.

    The second: take a class, and the accept blocks that are open to one spilling region (or to any). Sum,
    over all regions that may use no other blocks, the largest spill of a rule that decides on a request of
    the class. The sum is over that of the blocks' shares, or over 1. All regions weigh the same, as scripts
    do not state their sizes."""
    UNSERVED = "unserved"
    """A rule decides on a request for a title, all regions that it names list their cells, and the title is
    on none of these cells."""
    TERMS = "terms-differ"
    """Two routing sections define a class of one name with different effect, floor, seats, or retry
    budget."""
    LANES = "lanes-differ"
    """An account is in lanes of different names. Without lanes, all accounts are in one unnamed lane."""
    WITNESSES = "witnesses-differ"
    """A class is paid in both routing sections, but its witnesses are drawn from other members or in another
    number: two majorities need not intersect, so a viewer may be charged twice. Two sections without
    witnesses do not conflict."""


ConflictKey = tuple[str, tuple[str, ...], tuple[str, ...]]
"""Kind, regions and rules of a conflict."""


class Example(msgspec.Struct, frozen=True, rename={"session_class": "class"}):
    """An example request: from a viewer whose key has `account` before its first dot, at a gateway of
    `region`."""

    session_class: str
    title: str
    account: str
    region: str


class Conflict(msgspec.Struct, frozen=True):
    """A conflict among routing rules; two with equal `key` are the same conflict, whatever their examples."""

    kind: str
    regions: tuple[str, ...]
    """First the region of the rule, or the overcommitted region, then the others sorted; all sorted if the
    conflict is symmetric."""
    rules: tuple[str, ...]
    """Sorted names of rules, of the class (`terms-differ`) or of lanes. Accept blocks have no names:
    `accept 1` is the first in the order of `Routing.canonical`."""
    example: Example | None
    """None if no possible request shows the conflict, as for a rule that matches nothing."""

    @property
    def key(self) -> ConflictKey:
        """What identifies the conflict: kind, regions and rules."""
        return self.kind, self.regions, self.rules

    def summary(self) -> str:
        """Return a one-line description."""
        subject = " ".join((", ".join(x or "(no region)" for x in self.regions), *self.rules))
        if self.example is None:
            return f"{self.kind}: {subject}"
        x = self.example
        return (
            f"{self.kind}: {subject}: for example class {x.session_class}, title {x.title},"
            f" account {x.account} in {x.region or '(no region)'}"
        )


def deduplicate(conflicts: Iterable[Conflict]) -> list[Conflict]:
    """Return one conflict for each key, sorted by key; one with an example is preferred."""
    found: dict[ConflictKey, Conflict] = {}
    for conflict in conflicts:
        known = found.setdefault(conflict.key, conflict)
        if known.example is None and conflict.example is not None:
            found[conflict.key] = conflict
    return sorted(found.values(), key=lambda x: x.key)

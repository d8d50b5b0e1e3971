"""Kinds of conflicts between regions' rules, and a conflict with a request that shows it."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

import msgspec


class Kind(StrEnum):
    """What is wrong. *Decides*: the rule matches, and none with a lower order, or an equal one and a name
    before its own, does (`routing.rule_for`)."""

    REFUSED = "refused-there"
    """A rule decides on a request, and a region that it may go to (`Route.reach`) does not accept the class
    from the rule's region; a region that nobody acts for accepts nothing."""
    CYCLE = "cycle"
    """For one class, title and account, asked in each region: rules that decide spill from their first region
    to a later one that accepts it, and on from there, until it is back. One for each largest set of regions
    that reach one another so, with the rules of all such steps within the set."""
    OVERLAP = "overlap"
    """Two rules of a region with equal order, a request that both match, and other regions in their lists."""
    SHADOWED = "shadowed"
    """A rule that decides on no request."""
    OVERCOMMITTED = "overcommitted"
    """A region's accepted shares are over 1 in sum. Or more is spilled there than it accepts: for a class and
    the accept blocks that are open to one region that spills (or to any), the sum over all regions that have
    no other blocks, each by its largest spill of a rule that decides on a request of the class, is over the
    sum of the blocks' shares, or over 1. Regions count alike: their sizes are not in the scripts."""
    UNSERVED = "unserved"
    """A rule decides on a request for a title, and all regions that it names tell their cells, none of them
    among the title's."""
    TERMS = "terms-differ"
    """Two name a class alike and have another effect, floor, seats, or budget of further attempts for it."""
    LANES = "lanes-differ"
    """An account is in lanes of other names; who has no lanes has everybody in one without a name."""
    WITNESSES = "witnesses-differ"
    """A class is paid in both, and other members or another count choose its witnesses: two majorities need
    not meet, and the viewer is charged twice. Where neither has witnesses there is nothing to differ."""


Key = tuple[str, tuple[str, ...], tuple[str, ...]]


class Example(msgspec.Struct, frozen=True, rename={"session_class": "class"}):
    """A request that shows it: of a viewer whose key has `account` before its first dot, at a gateway of
    `region`."""

    session_class: str
    title: str
    account: str
    region: str


class Conflict(msgspec.Struct, frozen=True):
    """What is wrong; two with one `key` are one conflict, whatever request shows it."""

    kind: str
    regions: tuple[str, ...]
    """First whose rule it is, or what is overcommitted; the others sorted. Between equals, all are sorted."""
    rules: tuple[str, ...]
    """Names of rules, sorted; of the class (`terms-differ`) or of lanes. An accept block has no name:
    `accept 1` is the first as `canonical` sorts them."""
    example: Example | None
    """None: nothing that can be asked shows it, as a rule that matches nothing at all."""

    @property
    def key(self) -> Key:
        return self.kind, self.regions, self.rules

    def told(self) -> str:
        """For a person, one line."""
        who = " ".join((", ".join(x or "(no region)" for x in self.regions), *self.rules))
        if self.example is None:
            return f"{self.kind}: {who}"
        x = self.example
        return (
            f"{self.kind}: {who}: as class {x.session_class}, title {x.title}, account {x.account}"
            f" in {x.region or '(no region)'} shows"
        )


def each_once(conflicts: Iterable[Conflict]) -> list[Conflict]:
    """Each key once, with an example where there is one, sorted."""
    found: dict[Key, Conflict] = {}
    for conflict in conflicts:
        held = found.setdefault(conflict.key, conflict)
        if held.example is None and conflict.example is not None:
            found[conflict.key] = conflict
    return sorted(found.values(), key=lambda x: x.key)

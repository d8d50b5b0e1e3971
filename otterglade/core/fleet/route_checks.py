"""The check of a proposed edition for conflicts with all editions that may be active; run off the loop."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from .conflict_kinds import Conflict, ConflictKind
from .routing import Routing

ConflictFinder = Callable[[Sequence[Routing]], Sequence[Conflict]]
"""Returns all conflicts among routing rules that are active together."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of a check."""

    kind: str = ""
    """ConflictKind of the conflict; empty: the proposal is admitted."""
    text: str = ""


@dataclass(frozen=True, slots=True)
class Check:
    """A conflict check to run off the decision loop; pass its result to `RoutingTask.checked`.

    It is a pure function of its fields, and raises only what `find_conflicts` raises.
    """

    token: int
    active: tuple[Routing, ...]
    proposed: Routing
    is_first: bool
    """The region has no edition yet."""
    find_conflicts: ConflictFinder

    def run(self) -> Verdict:
        """Return the first conflict that the proposal adds; those among active editions persist either way.

        Several editions of a region may be active at once, as its gateways switch one after another. The
        first edition of a region may name regions that have none yet: if two regions name each other, one
        must come first, and until the other follows, no rule there accepts its sessions.
        """
        before = {x.key for x in self.find_conflicts(self.active)}
        names = {x.region.name for x in (*self.active, self.proposed) if x.region is not None}
        own = "" if self.proposed.region is None else self.proposed.region.name
        for found in self.find_conflicts((*self.active, self.proposed)):
            is_absent = found.kind == ConflictKind.REFUSED.value and not names.issuperset(found.regions)
            # A region that was named before it had an edition conflicts with it from now on.
            existed = found.key in before and not (self.is_first and own in found.regions)
            if not existed and not (self.is_first and is_absent):
                return Verdict(found.kind, found.summary())
        return Verdict()

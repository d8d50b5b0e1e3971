"""Whether a proposed edition conflicts with anything that may be acted on: judged off the decision loop."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from .conflict_kinds import Conflict, Kind
from .routing import Routing

Judge = Callable[[Sequence[Routing]], Sequence[Conflict]]
"""Finds all conflicts among routing parts that act together."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a proposal is admitted, and why not."""

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

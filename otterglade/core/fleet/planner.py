"""Plans a rollout: an order of the regions' changes in which old and new rules never conflict on the way.

Regions change one after another, and so do the gateways of one region: during a region's change both its
editions are active. So each *step*, the change of a region, has a mix of its own, as has each interval
between steps; all these mixes are checked. Conflicts that exist before the rollout do not count against it,
as long as their kind, regions and rules remain the same.

Most kinds of conflicts concern one routing section or two, so all that they imply is that a section is
invalid, that two exclude each other, or that one region must change before another does. This is a dependency
graph, whatever the number of regions. Only conflicts among several sections
(`ConflictChecker.joint_conflicts`) depend on the whole mix; they are checked as the search reaches a mix.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from itertools import chain

import msgspec

from .conflict_kinds import Conflict, ConflictKey, deduplicate
from .conflicts import ConflictChecker
from .routing import Routing
from .routing_view import RoutingIndex

MAX_EXHAUSTIVE_REGIONS = 12
"""Changing regions up to which all orders are considered: 4,096 sets of regions, 531,441 pairs of them."""
MAX_CHECKED_MIXES = 400
"""Mixes checked as a whole in a rollout of more regions; beyond this the plan is marked as not settled."""


class RolloutPlan(msgspec.Struct, frozen=True, kw_only=True):
    """How to get from the active to the proposed routing rules."""

    order: tuple[str, ...] | None
    """Regions in an order in which no mix conflicts; None: there is no such order."""
    together: tuple[str, ...] = ()
    """Without an order: the fewest regions that must change at one instant, in the groups of `steps`; empty:
    even that does not help, as conflicts remain when all regions have changed."""
    steps: tuple[tuple[str, ...], ...] = ()
    """The regions of each step; those of a step that are in `together` must change at one instant, on all
    their gateways."""
    conflicts: tuple[Conflict, ...] = ()
    """Without an order: the conflicts that prevent one."""
    standing: tuple[Conflict, ...] = ()
    """Conflicts that exist before anything has changed."""
    remaining: tuple[Conflict, ...] = ()
    """Those of `standing` that still exist when all regions have changed."""
    settled: bool = True
    """Without an order: whether there provably is none, and `together` is minimal. False if more than
    MAX_EXHAUSTIVE_REGIONS regions change and MAX_CHECKED_MIXES mixes did not suffice."""

    def summary(self) -> str:
        """Return a one-line description."""
        steps = ", then ".join(" with ".join(x or "(no region)" for x in step) for step in self.steps)
        if self.order is not None:
            return f"order: {steps}" if steps else "order: nothing changes"
        if not self.together:
            return "no order: the rules conflict even when all regions have changed"
        found = "no order" if self.settled else f"no order found in {MAX_CHECKED_MIXES} mixes"
        return f"{found}; at one instant, all their gateways: {', '.join(self.together)}; steps: {steps}"


def plan_from_routings(active: Iterable[Routing], proposed: Iterable[Routing]) -> RolloutPlan:
    """Return a plan for routing sections that are not grouped by region.

    Of several active sections of one region, the first is the one that changes; the others stay active
    throughout. Raises ValueError if two different sections are proposed for one region.
    """
    active_by_region: dict[str, Routing] = {}
    also_active: dict[str, list[Routing]] = {}
    for routing in active:
        first = active_by_region.setdefault(routing.region_name, routing)
        if first.digest != routing.digest:
            also_active.setdefault(routing.region_name, []).append(routing)
    by_region: dict[str, Routing] = {}
    for routing in proposed:
        if by_region.setdefault(routing.region_name, routing).digest != routing.digest:
            raise ValueError(f"found two editions for region {routing.region_name!r}; allowed: one")
    return plan(active_by_region, by_region, also_active)


def plan(
    active: Mapping[str, Routing],
    proposed: Mapping[str, Routing],
    also_active: Mapping[str, Sequence[Routing]] | None = None,
) -> RolloutPlan:
    """Return an order of the proposed changes, given the active and the proposed sections by region.

    `also_active`: editions that unreachable regions may use besides the known one; taken to be active
    throughout.
    """
    return _Planner(active, proposed, also_active or {}).plan()


class _Planner:
    """Searches for an order. Changing regions are numbered by name; a set of them is a mask."""

    def __init__(
        self,
        active: Mapping[str, Routing],
        proposed: Mapping[str, Routing],
        also_active: Mapping[str, Sequence[Routing]],
    ) -> None:
        self.checker = checker = ConflictChecker()
        self.names = sorted(x for x, y in proposed.items() if x not in active or active[x].digest != y.digest)
        extra = list(chain.from_iterable(also_active.values()))
        self.fixed = checker.indexes([*(y for x, y in active.items() if x not in self.names), *extra])
        self.old = [checker.index(active[x]) if x in active else None for x in self.names]
        self.new = [checker.index(proposed[x]) for x in self.names]
        self.before = checker.conflicts([*active.values(), *extra])
        self.known = {x.key for x in self.before}
        after = (
            {x.key for x in checker.conflicts([*{**active, **proposed}.values(), *extra])}
            if self.before
            else ()
        )
        self.remaining = tuple(x for x in self.before if x.key in after)
        self.joint_found: dict[ConflictKey, Conflict] = {}
        """New joint conflicts of the mixes checked so far."""
        self.full = (1 << len(self.names)) - 1
        self.checked_mixes = 0
        self._joint_ok: dict[tuple[bytes, ...], bool] = {}
        self._build_graph()

    def _build_graph(self) -> None:
        """Compute the constraints that single sections and pairs of them put on every order."""
        numbers = range(len(self.names))
        always_active = {x.region for x in self.fixed}
        self.final_conflicts: list[Conflict] = []
        """New conflicts that exist once all regions have changed, whatever the order."""
        self.excluded = [0] * len(self.names)
        """By region: the regions whose new section conflicts with its new one."""
        self.prerequisites = [0] * len(self.names)
        """By region: the regions that must have changed before it does; including itself if its own two
        editions cannot be active at once."""
        self.reasons: dict[tuple[int, int], list[Conflict]] = {}
        """By region and prerequisite: the conflicts behind it."""
        for n in numbers:
            new = self.new[n]
            found = [
                *self.checker.local_conflicts(new),
                *chain(*(self._pair_conflicts(new, x) for x in self.fixed)),
            ]
            absent = set(new.rules_by_target).difference(self.names, always_active)
            found += chain(*(self.checker.refused_conflicts(new, x, None) for x in absent))
            self.final_conflicts += self._without_known(found)
            for k in numbers:
                if k != n and (both := self._without_known(self._pair_conflicts(new, self.new[k]))):
                    self.final_conflicts += both
                    self.excluded[n] |= 1 << k
                if self.old[k] is None and self.names[k] in always_active:
                    continue
                if reasons := self._without_known(self._conflicts_with_old(n, k)):
                    self.reasons[n, k] = reasons
                    self.prerequisites[n] |= 1 << k

    def _conflicts_with_old(self, n: int, k: int) -> list[Conflict]:
        """Return the conflicts of region n's new section with region k's old one."""
        old, new = self.old[k], self.new[n]
        if old is None:
            return (
                self.checker.refused_conflicts(new, self.names[k], None)
                if self.names[k] in new.rules_by_target
                else []
            )
        return self._pair_conflicts(new, old)

    def _pair_conflicts(self, one: RoutingIndex, other: RoutingIndex) -> list[Conflict]:
        found = list(self.checker.pair_conflicts(one, other))
        if other.region in one.rules_by_target:
            found += self.checker.refused_conflicts(one, other.region, other)
        if one.region in other.rules_by_target:
            found += self.checker.refused_conflicts(other, one.region, one)
        return found

    def _without_known(self, found: Iterable[Conflict]) -> list[Conflict]:
        """Return the conflicts that do not exist before the rollout."""
        return [x for x in found if x.key not in self.known]

    def plan(self) -> RolloutPlan:
        if not self.names:
            return RolloutPlan(order=(), standing=tuple(self.before), remaining=self.remaining)
        self._mix_ok(self.full, None)
        if self.final_conflicts or self.joint_found:
            return RolloutPlan(
                order=None,
                conflicts=self._reported(self.final_conflicts),
                standing=tuple(self.before),
                remaining=self.remaining,
            )
        if len(self.names) <= MAX_EXHAUSTIVE_REGIONS:
            found = self._find_order()
            return self._result([1 << n for n in found]) if found is not None else self._grouped_plan()
        return self._plan_many()

    def _result(self, steps: Sequence[int], at_once: int = 0, is_proven: bool = True) -> RolloutPlan:
        """Return the plan for steps given as masks; `at_once`: the regions that change at one instant."""
        regions = tuple(tuple(self._members(x)) for x in steps)
        if not at_once:
            order = tuple(chain.from_iterable(regions))
            return RolloutPlan(
                order=order,
                steps=regions,
                standing=tuple(self.before),
                remaining=self.remaining,
                settled=is_proven,
            )
        return RolloutPlan(
            order=None,
            together=tuple(self._members(at_once)),
            steps=regions,
            conflicts=self._reported(
                chain.from_iterable(
                    y for (n, k), y in self.reasons.items() if at_once >> n & 1 and at_once >> k & 1
                )
            ),
            standing=tuple(self.before),
            remaining=self.remaining,
            settled=is_proven,
        )

    def _reported(self, more: Iterable[Conflict]) -> tuple[Conflict, ...]:
        return tuple(deduplicate([*self.joint_found.values(), *more]))

    def _members(self, mask: int) -> list[str]:
        return [x for n, x in enumerate(self.names) if mask >> n & 1]

    # One mix

    def _mix_ok(self, changed: int, changing: int | None) -> bool:
        """Return whether a mix has no new conflict: `changed` regions, and one that is changing or None."""
        active = changed if changing is None else changed | 1 << changing
        for n in range(len(self.names)):
            if active >> n & 1 and (
                self.prerequisites[n] & self.full & ~changed & ~(1 << n) or self.excluded[n] & active
            ):
                return False
        if changing is not None and self.prerequisites[changing] >> changing & 1:
            return False
        return self._has_no_joint_conflict(changed, changing)

    def _has_no_joint_conflict(self, changed: int, changing: int | None) -> bool:
        mix = list(self.fixed)
        for n, (old, new) in enumerate(zip(self.old, self.new, strict=True)):
            has_changed = changed >> n & 1
            if old is not None and (not has_changed or n == changing):
                mix.append(old)
            if has_changed or n == changing:
                mix.append(new)
        key = tuple(sorted({x.joint_key for x in mix}))
        if key not in self._joint_ok:
            self.checked_mixes += 1
            found = self._without_known(
                self.checker.joint_conflicts(
                    sorted({id(x): x for x in mix}.values(), key=lambda x: x.sort_key)
                )
            )
            for conflict in found:
                self.joint_found.setdefault(conflict.key, conflict)
            self._joint_ok[key] = not found
        return self._joint_ok[key]

    def _step_ok(self, changed: int, n: int) -> bool:
        """Return whether one more region may change: no new conflict during the change and after it."""
        return self._mix_ok(changed, n) and self._mix_ok(changed | 1 << n, None)

    # An order

    def _find_order(self, max_mixes: int | None = None) -> list[int] | None:
        """Return the first order by name; None if there is none, or none within `max_mixes` checked mixes."""
        dead_ends: set[int] = set()
        order: list[int] = []
        changed, start = 0, 0
        while changed != self.full:
            for n in range(start, len(self.names)):
                after = changed | 1 << n
                if not changed >> n & 1 and after not in dead_ends and self._step_ok(changed, n):
                    order.append(n)
                    changed, start = after, 0
                    break
            else:
                dead_ends.add(changed)
                if not order or (max_mixes is not None and self.checked_mixes > max_mixes):
                    return None
                last = order.pop()
                changed, start = changed & ~(1 << last), last + 1
        return order

    def _grouped_plan(self) -> RolloutPlan:
        """Return a plan of steps of one region, or of several at one instant, the latter as few as possible.

        This is the cheapest path through all sets of changed regions. Ties are broken by the smaller largest
        group, then by name.
        """
        valid_sets = [x for x in range(self.full + 1) if x in (0, self.full) or self._mix_ok(x, None)]
        # By set of changed regions: cost, largest group, steps, regions that change at one instant.
        best: dict[int, tuple[int, int, tuple[int, ...], int]] = {0: (0, 0, (), 0)}
        for changed in sorted(valid_sets, key=lambda x: (x.bit_count(), x)):
            if changed not in best:
                continue
            cost, largest, steps, at_once = best[changed]
            for after in valid_sets:
                group = after & ~changed
                if changed & ~after or not group:
                    continue
                size = group.bit_count()
                if size == 1 and self._mix_ok(changed, group.bit_length() - 1):
                    path = cost, largest, (*steps, group), at_once
                else:
                    path = cost + size, max(largest, size), (*steps, group), at_once | group
                if after not in best or path < best[after]:
                    best[after] = path
        _, _, steps, at_once = best[self.full]
        return self._result(steps, at_once)

    # Many regions

    def _plan_many(self) -> RolloutPlan:
        """Return a plan for too many regions to search all sets of them.

        The dependency graph is complete; joint conflicts are checked along one order that it allows, and
        along a few alternatives.
        """
        groups = self._dependency_groups()
        if all(x.bit_count() == 1 and not self.prerequisites[x.bit_length() - 1] & x for x in groups):
            found = self._find_order(MAX_CHECKED_MIXES)
            if found is not None:
                return self._result([1 << n for n in found])
            return self._result([self.full], self.full, is_proven=False)
        at_once = 0
        changed = 0
        for group in groups:
            n = group.bit_length() - 1
            single = group.bit_count() == 1 and not self.prerequisites[n] & group
            valid = self._step_ok(changed, n) if single else self._mix_ok(changed | group, None)
            if not valid:
                return self._result([self.full], self.full, is_proven=False)
            at_once |= 0 if single else group
            changed |= group
        return self._result(groups, at_once)

    def _dependency_groups(self) -> list[int]:
        """Return the strongly connected components of the dependency graph as masks, in topological order."""
        count = len(self.names)
        reachable = [self.prerequisites[n] & ~(1 << n) for n in range(count)]
        for k in range(count):
            for n in range(count):
                if reachable[n] >> k & 1:
                    reachable[n] |= reachable[k]
        groups = {
            n: sum(
                1 << k for k in range(count) if k == n or (reachable[n] >> k & 1 and reachable[k] >> n & 1)
            )
            for n in range(count)
        }
        ordered: list[int] = []
        done = 0
        while done != self.full:
            n = next(n for n in range(count) if not done >> n & 1 and not reachable[n] & ~groups[n] & ~done)
            ordered.append(groups[n])
            done |= groups[n]
        return ordered

"""In which order regions take over other rules, so that old and new never conflict on the way.

Regions change one after another, and the gateways of one change one after another too: while a region does,
both its editions act. So each *step* of a region has a mix of its own, and each rest between steps has one;
all that can come about are judged. What conflicts where nothing has changed yet is not held against the
change, as long as kind, regions and rules are the same.

Most kinds are of one part or of two, so they say no more than: this one can't stand, these two can't, or the
one has to have changed before the other begins. That is a graph, whatever the number of regions. Only what
several bring about together (`Judge.joint`) depends on the whole mix; it is judged where a step gets so far.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from itertools import chain

import msgspec

from .conflict_kinds import Conflict, Key, each_once
from .conflicts import Judge
from .routing import Routing
from .routing_view import View

MOST_CHANGED = 12
"""Regions that change for which all orders are weighed: their sets are 4,096, pairs of these 531,441."""
MOST_MIXES = 400
"""Mixes judged whole for a rollout of more regions; beyond, the plan says that it is not settled."""


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """How to get from what stands to what is proposed."""

    order: tuple[str, ...] | None
    """Regions one after another, no mix of which conflicts; None: there is no such order."""
    together: tuple[str, ...] = ()
    """Without an order: the fewest regions that must change at one instant, in the groups of `steps`; empty:
    not even that helps, as what is proposed conflicts itself."""
    steps: tuple[tuple[str, ...], ...] = ()
    """The regions of each step; those of a step that are in `together` change at one instant, all their
    gateways."""
    conflicts: tuple[Conflict, ...] = ()
    """Without an order: what stands in its way."""
    standing: tuple[Conflict, ...] = ()
    """What conflicts already, before anything has changed."""
    remaining: tuple[Conflict, ...] = ()
    """Of these, what still does when all have changed."""
    settled: bool = True
    """Without an order: whether that is certain, and `together` the fewest; not so where more than
    MOST_CHANGED regions change and MOST_MIXES did not do."""

    def told(self) -> str:
        """For a person, one line."""
        steps = ", then ".join(" with ".join(x or "(no region)" for x in step) for step in self.steps)
        if self.order is not None:
            return f"order: {steps}" if steps else "order: nothing changes"
        if not self.together:
            return "no order: what is proposed conflicts itself"
        found = "no order" if self.settled else f"no order found in {MOST_MIXES} mixes"
        return f"{found}; at one instant, all their gateways: {', '.join(self.together)}; steps: {steps}"


def plan_of(acting: Iterable[Routing], proposed: Iterable[Routing]) -> Plan:
    """The same of parts as they come: of several that act in one region the first is the one that changes,
    the others act to the end. Raises ValueError where two are proposed for one region."""
    standing: dict[str, Routing] = {}
    may: dict[str, list[Routing]] = {}
    for routing in acting:
        held = standing.setdefault(routing.named, routing)
        if held.digest != routing.digest:
            may.setdefault(routing.named, []).append(routing)
    wanted: dict[str, Routing] = {}
    for routing in proposed:
        if wanted.setdefault(routing.named, routing).digest != routing.digest:
            raise ValueError(f"found two editions for region {routing.named!r}; allowed: one")
    return plan(standing, wanted, may)


def plan(
    standing: Mapping[str, Routing],
    proposed: Mapping[str, Routing],
    may: Mapping[str, Sequence[Routing]] | None = None,
) -> Plan:
    """An order of the proposed changes. `may`: editions that regions which can't be heard may act on besides
    the one that is known; they act all the time."""
    return _Planner(standing, proposed, may or {}).plan()


class _Planner:
    """Regions that change are numbered; a set of those that have is a mask."""

    def __init__(
        self,
        standing: Mapping[str, Routing],
        proposed: Mapping[str, Routing],
        may: Mapping[str, Sequence[Routing]],
    ) -> None:
        self.judge = judge = Judge()
        self.names = sorted(
            x for x, y in proposed.items() if x not in standing or standing[x].digest != y.digest
        )
        extra = list(chain.from_iterable(may.values()))
        self.fixed = judge.views([*(y for x, y in standing.items() if x not in self.names), *extra])
        self.old = [judge.view(standing[x]) if x in standing else None for x in self.names]
        self.new = [judge.view(proposed[x]) for x in self.names]
        self.before = judge.conflicts([*standing.values(), *extra])
        self.known = {x.key for x in self.before}
        after = (
            {x.key for x in judge.conflicts([*{**standing, **proposed}.values(), *extra])}
            if self.before
            else ()
        )
        self.remaining = tuple(x for x in self.before if x.key in after)
        self.met: dict[Key, Conflict] = {}
        self.full = (1 << len(self.names)) - 1
        self.judged = 0
        self._joint: dict[tuple[bytes, ...], bool] = {}
        self._pairs()

    def _pairs(self) -> None:
        """What single parts and pairs of them say of each order."""
        numbers = range(len(self.names))
        always = {x.region for x in self.fixed}
        self.doomed: list[Conflict] = []
        """New, whatever the order, once all have changed."""
        self.apart = [0] * len(self.names)
        """By region: those whose new edition conflicts with its new one."""
        self.first = [0] * len(self.names)
        """By region: those that must have changed before it begins; itself, where its own two editions can't
        act at once."""
        self.why: dict[tuple[int, int], list[Conflict]] = {}
        for n in numbers:
            new = self.new[n]
            found = [*self.judge.alone(new), *chain(*(self._between(new, x) for x in self.fixed))]
            nowhere = set(new.reaching).difference(self.names, always)
            found += chain(*(self.judge.refused(new, x, None) for x in nowhere))
            self.doomed += self._fresh(found)
            for k in numbers:
                if k != n and (both := self._fresh(self._between(new, self.new[k]))):
                    self.doomed += both
                    self.apart[n] |= 1 << k
                if self.old[k] is None and self.names[k] in always:
                    continue
                if why := self._fresh(self._against_old(n, k)):
                    self.why[n, k] = why
                    self.first[n] |= 1 << k

    def _against_old(self, n: int, k: int) -> list[Conflict]:
        """What one's new edition and another's old one bring about."""
        old, new = self.old[k], self.new[n]
        if old is None:
            return self.judge.refused(new, self.names[k], None) if self.names[k] in new.reaching else []
        return self._between(new, old)

    def _between(self, one: View, other: View) -> list[Conflict]:
        found = list(self.judge.pair(one, other))
        if other.region in one.reaching:
            found += self.judge.refused(one, other.region, other)
        if one.region in other.reaching:
            found += self.judge.refused(other, one.region, one)
        return found

    def _fresh(self, found: Iterable[Conflict]) -> list[Conflict]:
        return [x for x in found if x.key not in self.known]

    def plan(self) -> Plan:
        if not self.names:
            return Plan(order=(), standing=tuple(self.before), remaining=self.remaining)
        self._good(self.full, None)
        if self.doomed or self.met:
            return Plan(
                order=None,
                conflicts=self._told(self.doomed),
                standing=tuple(self.before),
                remaining=self.remaining,
            )
        if len(self.names) <= MOST_CHANGED:
            found = self._ordered()
            return self._of([1 << n for n in found]) if found is not None else self._grouped()
        return self._many()

    def _of(self, steps: Sequence[int], at_once: int = 0, settled: bool = True) -> Plan:
        regions = tuple(tuple(self._members(x)) for x in steps)
        if not at_once:
            order = tuple(chain.from_iterable(regions))
            return Plan(
                order=order,
                steps=regions,
                standing=tuple(self.before),
                remaining=self.remaining,
                settled=settled,
            )
        return Plan(
            order=None,
            together=tuple(self._members(at_once)),
            steps=regions,
            conflicts=self._told(
                chain.from_iterable(
                    y for (n, k), y in self.why.items() if at_once >> n & 1 and at_once >> k & 1
                )
            ),
            standing=tuple(self.before),
            remaining=self.remaining,
            settled=settled,
        )

    def _told(self, more: Iterable[Conflict]) -> tuple[Conflict, ...]:
        return tuple(each_once([*self.met.values(), *more]))

    def _members(self, mask: int) -> list[str]:
        return [x for n, x in enumerate(self.names) if mask >> n & 1]

    # One mix

    def _good(self, changed: int, changing: int | None) -> bool:
        """Whether a mix has no new conflict: regions that have changed, and one that is at it."""
        acting = changed if changing is None else changed | 1 << changing
        for n in range(len(self.names)):
            if acting >> n & 1 and (
                self.first[n] & self.full & ~changed & ~(1 << n) or self.apart[n] & acting
            ):
                return False
        if changing is not None and self.first[changing] >> changing & 1:
            return False
        return self._joint_good(changed, changing)

    def _joint_good(self, changed: int, changing: int | None) -> bool:
        mix = list(self.fixed)
        for n, (old, new) in enumerate(zip(self.old, self.new, strict=True)):
            has = changed >> n & 1
            if old is not None and (not has or n == changing):
                mix.append(old)
            if has or n == changing:
                mix.append(new)
        key = tuple(sorted({x.joint_part for x in mix}))
        if key not in self._joint:
            self.judged += 1
            fresh = self._fresh(
                self.judge.joint(sorted({id(x): x for x in mix}.values(), key=lambda x: x.place))
            )
            for conflict in fresh:
                self.met.setdefault(conflict.key, conflict)
            self._joint[key] = not fresh
        return self._joint[key]

    def _step_good(self, changed: int, n: int) -> bool:
        """Whether one more region may change, and rest then."""
        return self._good(changed, n) and self._good(changed | 1 << n, None)

    # An order

    def _ordered(self, most: int | None = None) -> list[int] | None:
        """Regions one by one, the first by name where several can; None: there is no order."""
        dead: set[int] = set()
        order: list[int] = []
        changed, start = 0, 0
        while changed != self.full:
            for n in range(start, len(self.names)):
                after = changed | 1 << n
                if not changed >> n & 1 and after not in dead and self._step_good(changed, n):
                    order.append(n)
                    changed, start = after, 0
                    break
            else:
                dead.add(changed)
                if not order or (most is not None and self.judged > most):
                    return None
                last = order.pop()
                changed, start = changed & ~(1 << last), last + 1
        return order

    def _grouped(self) -> Plan:
        """Without an order: steps of one region, or of several at one instant; these as few as possible.

        The cheapest way through all sets of changed regions; of equal ones that whose largest group is
        smallest, then the first by name.
        """
        rests = [x for x in range(self.full + 1) if x in (0, self.full) or self._good(x, None)]
        best: dict[int, tuple[int, int, tuple[int, ...], int]] = {0: (0, 0, (), 0)}
        for changed in sorted(rests, key=lambda x: (x.bit_count(), x)):
            if changed not in best:
                continue
            cost, largest, steps, at_once = best[changed]
            for after in rests:
                group = after & ~changed
                if changed & ~after or not group:
                    continue
                size = group.bit_count()
                if size == 1 and self._good(changed, group.bit_length() - 1):
                    way = cost, largest, (*steps, group), at_once
                else:
                    way = cost + size, max(largest, size), (*steps, group), at_once | group
                if after not in best or way < best[after]:
                    best[after] = way
        _, _, steps, at_once = best[self.full]
        return self._of(steps, at_once)

    # Many regions

    def _many(self) -> Plan:
        """Too many regions for all sets of them: what must come first is known whole as a graph, what several
        bring about is judged along one order of it, and on a few ways aside."""
        groups = self._tied()
        if all(x.bit_count() == 1 and not self.first[x.bit_length() - 1] & x for x in groups):
            found = self._ordered(MOST_MIXES)
            if found is not None:
                return self._of([1 << n for n in found])
            return self._of([self.full], self.full, settled=False)
        at_once = 0
        changed = 0
        for group in groups:
            n = group.bit_length() - 1
            single = group.bit_count() == 1 and not self.first[n] & group
            sound = self._step_good(changed, n) if single else self._good(changed | group, None)
            if not sound:
                return self._of([self.full], self.full, settled=False)
            at_once |= 0 if single else group
            changed |= group
        return self._of(groups, at_once)

    def _tied(self) -> list[int]:
        """Regions that must each have changed before the other begins, as groups, in an order that holds."""
        count = len(self.names)
        reach = [self.first[n] & ~(1 << n) for n in range(count)]
        for k in range(count):
            for n in range(count):
                if reach[n] >> k & 1:
                    reach[n] |= reach[k]
        groups = {
            n: sum(1 << k for k in range(count) if k == n or (reach[n] >> k & 1 and reach[k] >> n & 1))
            for n in range(count)
        }
        ordered: list[int] = []
        done = 0
        while done != self.full:
            n = next(n for n in range(count) if not done >> n & 1 and not reach[n] & ~groups[n] & ~done)
            ordered.append(groups[n])
            done |= groups[n]
        return ordered

"""Cycles of spilled traffic: sets of regions that spill to one another for one class, title and account."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import chain, compress, islice

from .conflict_kinds import Conflict, ConflictKind, Example
from .patterns import PatternMasks, lowest_bit, representatives
from .routing_view import RoutingIndex

MAX_CYCLES = 100
"""Cycles reported for a mix: more are not read, and wide rules that spill everywhere have very many."""
MAX_EXAMINED_STEPS = 100_000
"""Spill steps examined for further cycles of a class once one is found, to bound the time to a fraction of a
second."""
SpillStep = tuple[str, str, RoutingIndex, int]
"""A step of spill: source region, target region, and the index and number of the rule."""


def strongly_connected_components(steps: Iterable[tuple[str, str]]) -> list[frozenset[str]]:
    """Return the strongly connected components, of at least two nodes, of the graph with these edges."""
    edges = set(steps)
    while True:  # nodes without incoming or outgoing edges are in no component: usually that is all of them
        kept = {x for x, _ in edges} & {x for _, x in edges}
        inside = {x for x in edges if x[0] in kept and x[1] in kept}
        if len(inside) == len(edges):
            break
        edges = inside
    number = {x: n for n, x in enumerate(sorted({x for x, _ in edges}))}
    successors, predecessors = [0] * len(number), [0] * len(number)
    for source, target in edges:
        successors[number[source]] |= 1 << number[target]
        predecessors[number[target]] |= 1 << number[source]
    left, found = (1 << len(number)) - 1, []
    while left:
        start = left & -left
        members = _reachable(successors, start) & _reachable(predecessors, start)
        found.append(frozenset(x for x, n in number.items() if members >> n & 1))
        left &= ~members & ~start
    return [x for x in found if len(x) > 1]


def _reachable(successors: list[int], start: int) -> int:
    """Return the mask of the nodes reachable from the mask `start`, which it includes."""
    reached = frontier = start
    while frontier:
        found = 0
        while frontier:
            low = frontier & -frontier
            found |= successors[low.bit_length() - 1]
            frontier ^= low
        frontier = found & ~reached
        reached |= frontier
    return reached


def _steps_on_cycles(steps: list[SpillStep]) -> list[SpillStep]:
    """Return the steps that are on a cycle of these steps."""
    component = {
        x: n
        for n, members in enumerate(strongly_connected_components((x[0], x[1]) for x in steps))
        for x in members
    }
    return [x for x in steps if x[0] in component and component[x[0]] == component.get(x[1])]


def cycle_conflicts(indexes: list[RoutingIndex], active: dict[str, list[RoutingIndex]]) -> Iterator[Conflict]:
    """Yield the cycles of spill, at most MAX_CYCLES; `active`: the indexes by region.

    Searches without regard to requests first, then class by class, account by account, title by title. Each
    stage keeps only the steps that may still be on a cycle, which are usually none.
    """
    component = {
        x: n
        for n, y in enumerate(strongly_connected_components(chain(*(x.spill_edges for x in indexes))))
        for x in y
    }
    steps: list[SpillStep] = [
        (first, target, index, n)
        for index in indexes
        if any(x in component and component[x] == component.get(y) for x, y in index.spill_edges)
        for n, rule in enumerate(index.rules)
        if rule.spill > 0
        for target in rule.regions[1:]
        if target in active
        and (first := rule.regions[0]) in component
        and component[first] == component.get(target)
    ]
    classes = {x for step in steps for x in step[2].classes}
    found = chain.from_iterable(
        ClassSpillGraph(
            session_class,
            [
                x
                for x in steps
                if x[2].class_masks.get(session_class, 0) >> x[3] & 1
                and _is_accepted(x, session_class, active)
            ],
        ).conflicts()
        for session_class in sorted(classes)
    )
    return islice(found, MAX_CYCLES)


def _is_accepted(step: SpillStep, session_class: str, active: dict[str, list[RoutingIndex]]) -> bool:
    """Return whether an active section of the target region accepts what a rule spills there."""
    _, target, index, _ = step
    return target == index.region or any(
        x.accepting_blocks(index.region, session_class) for x in active[target]
    )


class ClassSpillGraph:
    """The spill steps of one class that may be on a cycle."""

    def __init__(self, session_class: str, steps: list[SpillStep]) -> None:
        self.session_class = session_class
        self.steps = _steps_on_cycles(steps)
        self.indexes = list({id(x[2]): x[2] for x in self.steps}.values())

    def conflicts(self) -> Iterator[Conflict]:
        """Yield the cycles: whether there is one is exact, the search for further ones is bounded."""
        titles = self._titles() if self.steps else []
        known: set[tuple[frozenset[str], frozenset[str]]] = set()
        examined = 0
        for step_mask, accounts in self._accounts():
            steps = self._steps_in(step_mask)
            if not steps:
                continue
            used = {id(x[2]) for x in steps}
            indexes = [x for x in self.indexes if id(x) in used]
            for title, masks in titles:
                matching = _steps_on_cycles([x for x in steps if masks.get(id(x[2]), 0) >> x[3] & 1])
                if matching:
                    yield from self._decided_cycles(matching, indexes, title, accounts, masks, known)
                examined += len(steps)
                if known and examined > MAX_EXAMINED_STEPS:
                    return

    def _steps_in(self, mask: int) -> list[SpillStep]:
        """Return the steps in a mask, bit n for the n-th, that may still be on a cycle."""
        return _steps_on_cycles(list(compress(self.steps, map(int, reversed(f"{mask:b}")))))

    def _accounts(self) -> Iterable[tuple[int, list[str]]]:
        """Return representative accounts, grouped by the mask of the steps whose rules match them."""
        account_masks = PatternMasks([x[2].rules[x[3]].accounts for x in self.steps])
        found: dict[int, list[str]] = {}
        rules = chain.from_iterable(x.rules for x in self.indexes)
        for account in representatives(chain.from_iterable(x.accounts for x in rules)):
            found.setdefault(account_masks.matching(account), []).append(account)
        return found.items()

    def _titles(self) -> list[tuple[str, dict[int, int]]]:
        """Return one title for each set of titles that the same rules of the same regions match, with the
        masks of these rules by the `id` of their index."""
        found: dict[tuple[tuple[int, int], ...], str] = {}
        for title in sorted({x for index in self.indexes for x in index.title_names}):
            having = [x for x in self.indexes if title in x.title_names]
            masks = tuple(
                (id(x), x.class_masks[self.session_class] & x.title_masks.matching(title)) for x in having
            )
            found.setdefault(masks, title)
        return [(title, dict(masks)) for masks, title in found.items()]

    def _decided_cycles(
        self,
        steps: list[SpillStep],
        indexes: list[RoutingIndex],
        title: str,
        accounts: list[str],
        masks: dict[int, int],
        known: set[tuple[frozenset[str], frozenset[str]]],
    ) -> Iterator[Conflict]:
        """Yield the cycles of steps whose rules not only match one title and these accounts, but decide."""
        seen: set[tuple[int, ...]] = set()
        for account in accounts:
            lowest = {
                id(x): lowest_bit(masks.get(id(x), 0) & x.account_masks.matching(account)) for x in indexes
            }
            deciding_rules = tuple(lowest.values())
            if deciding_rules in seen:
                continue
            seen.add(deciding_rules)
            deciding = [x for x in steps if lowest[id(x[2])] == x[3]]
            for members in strongly_connected_components((x[0], x[1]) for x in deciding):
                inside = [x for x in deciding if x[0] in members and x[1] in members]
                rules = frozenset(x[2].rules[x[3]].name for x in inside)
                if (members, rules) not in known:
                    known.add((members, rules))
                    example = Example(self.session_class, title, account, min(x[2].region for x in inside))
                    yield Conflict(
                        ConflictKind.CYCLE.value, tuple(sorted(members)), tuple(sorted(rules)), example
                    )

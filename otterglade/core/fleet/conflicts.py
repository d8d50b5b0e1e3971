"""Conflicts among regions' rules: rules that are valid in each script but conflict together, found
before use.

A *mix* is the set of routing sections active at one instant: one for each region, or several for a region
whose gateways are switching between editions. Conflicts are decided exactly over all possible requests
(class, title, account, region of the gateway), as in header-space analysis, and reported with an example
request.

**Request space.** Classes and titles are those of the region's own script: a gateway rejects others before it
evaluates any rule, so a rule for an unknown title never matches, and a new title arrives with a new script,
which is checked then. Accounts are arbitrary strings: viewers choose the text before the first dot of their
keys. Patterns therefore stand for infinite sets; but a finite list of patterns partitions all strings into
finitely many sets, each of which a pattern contains wholly or not at all, so that one string of each set
suffices (`representatives`). What remains are boxes of classes, titles and accounts, stored as masks of
rules. `docs/design-routes.md` compares this with automata and solvers, and gives the growth.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import chain, combinations

from .conflict_kinds import Conflict, ConflictKind, Example, deduplicate
from .patterns import PatternMasks, lowest_bit, representatives
from .routing import Lane, Routing
from .routing_view import SHARE_TOLERANCE, RoutingIndex
from .spill_cycles import cycle_conflicts


class ConflictChecker:
    """Finds the conflicts of mixes; caches the results for each routing section and each pair of sections, so
    that checking many mixes of the same sections costs little more than checking one."""

    def __init__(self) -> None:
        self._indexes: dict[bytes, RoutingIndex] = {}
        self._local: dict[int, list[Conflict]] = {}
        self._refused_rule_conflicts: dict[tuple[int, int], list[Conflict]] = {}
        self._unserved_title_conflicts: dict[
            tuple[int, tuple[tuple[str, tuple[int, ...]], ...]], list[Conflict]
        ] = {}
        self._overcommitted_conflicts: dict[tuple[int, tuple[int, ...]], list[Conflict]] = {}
        self._lanes: dict[tuple[tuple[Lane, ...], tuple[Lane, ...]], list[tuple[str, str, str]]] = {}

    def index(self, routing: Routing) -> RoutingIndex:
        """Return the index of a routing section; sections with the same meaning share one."""
        key = routing.canonical
        if key not in self._indexes:
            self._indexes[key] = RoutingIndex(routing)
        return self._indexes[key]

    def conflicts(self, routings: Iterable[Routing]) -> list[Conflict]:
        """Return all conflicts of a mix, each key once, sorted."""
        indexes = self.indexes(routings)
        active = by_region(indexes)
        refused = (
            self.refused_conflicts(x, target, target_index)
            for x in indexes
            for target in x.rules_by_target
            for target_index in active.get(target) or (None,)
        )
        pairs = (self.pair_conflicts(x, y) for x, y in combinations(indexes, 2))
        return deduplicate(
            chain(*map(self.local_conflicts, indexes), *refused, *pairs, self.joint_conflicts(indexes))
        )

    def indexes(self, routings: Iterable[Routing]) -> list[RoutingIndex]:
        """Return the index of each distinct section, in an order independent of the order of the sections."""
        indexes = {id(x): x for x in map(self.index, routings)}.values()
        return sorted(indexes, key=lambda x: x.sort_key)

    def joint_conflicts(self, indexes: list[RoutingIndex]) -> Iterator[Conflict]:
        """Yield the conflicts that more than two regions may cause together."""
        active = by_region(indexes)
        cells = {
            x: declared
            for x, y in active.items()
            if (declared := tuple(sorted({z.cells for z in y if z.cells})))
        }
        cells_key = tuple(sorted(cells.items()))
        spilling: dict[str, list[RoutingIndex]] = {}
        for index in indexes:
            key = id(index), cells_key
            if key not in self._unserved_title_conflicts:
                self._unserved_title_conflicts[key] = list(_find_unserved_titles(index, cells))
            yield from self._unserved_title_conflicts[key]
            for target in index.spilling_rules:
                spilling.setdefault(target, []).append(index)
        for target, sources in spilling.items():
            for target_index in active.get(target, ()):
                pair = id(target_index), tuple(map(id, sources))
                if pair not in self._overcommitted_conflicts:
                    self._overcommitted_conflicts[pair] = list(_find_overcommitted(target_index, sources))
                yield from self._overcommitted_conflicts[pair]
        yield from cycle_conflicts(indexes, active)

    def local_conflicts(self, index: RoutingIndex) -> list[Conflict]:
        """Return the conflicts within one section."""
        if id(index) not in self._local:
            self._local[id(index)] = index.local_conflicts()
        return self._local[id(index)]

    def refused_conflicts(
        self, index: RoutingIndex, target: str, target_index: RoutingIndex | None
    ) -> list[Conflict]:
        """Return the conflicts of rules that go to a target region which does not accept them.

        `target_index` is None if the target region has no active section.
        """
        if target_index is None:
            return list(_find_refused_rules(index, target, None))
        key = id(index), id(target_index)
        if key not in self._refused_rule_conflicts:
            self._refused_rule_conflicts[key] = list(_find_refused_rules(index, target, target_index))
        return self._refused_rule_conflicts[key]

    def pair_conflicts(self, one: RoutingIndex, other: RoutingIndex) -> Iterator[Conflict]:
        """Yield the conflicts in what all sections must agree on and these two do not; symmetric."""
        a, b = one.routing, other.routing
        if a.fleet_wide_terms == b.fleet_wide_terms:
            return
        regions = tuple(sorted({one.region, other.region}))
        first = one if one.region == regions[0] else other
        terms_of_b = {x.name: x for x in b.classes}
        for terms in a.classes if a.budget != b.budget or a.classes != b.classes else ():
            theirs = terms_of_b.get(terms.name)
            # The account "0" here and below is arbitrary: the conflict exists for any account.
            if theirs is not None and (theirs != terms or a.budget != b.budget):
                example = first.any_request(terms.name, "0")
                yield Conflict(ConflictKind.TERMS.value, regions, (terms.name,), example)
        for lane, their_lane, account in self._lane_differences(a.lanes, b.lanes):
            example = first.any_request(first.classes[0], account) if first.classes else None
            yield Conflict(
                ConflictKind.LANES.value, regions, tuple(sorted(x for x in (lane, their_lane) if x)), example
            )
        if a.witness_selection != b.witness_selection:
            paid = sorted(a.paid_classes & b.paid_classes)
            if paid:
                yield Conflict(ConflictKind.WITNESSES.value, regions, (), first.any_request(paid[0], "0"))

    def _lane_differences(self, a: tuple[Lane, ...], b: tuple[Lane, ...]) -> list[tuple[str, str, str]]:
        """Return pairs of differently named lanes that some account is in, each with such an account."""
        if a == b:
            return []
        if (a, b) not in self._lanes:
            ours, theirs = (PatternMasks([x.accounts for x in lanes], empty_is_any=False) for lanes in (a, b))
            found: dict[tuple[str, str], str] = {}
            for account in representatives(chain.from_iterable(x.accounts for x in (*a, *b))):
                lane, other = _lane_name(a, ours.matching(account)), _lane_name(b, theirs.matching(account))
                if lane != other:
                    found.setdefault((lane, other), account)
            self._lanes[a, b] = [(x, y, account) for (x, y), account in found.items()]
        return self._lanes[a, b]


def by_region(indexes: Iterable[RoutingIndex]) -> dict[str, list[RoutingIndex]]:
    """Group the active sections by region."""
    active: dict[str, list[RoutingIndex]] = {}
    for index in indexes:
        active.setdefault(index.region, []).append(index)
    return active


def _lane_name(lanes: tuple[Lane, ...], mask: int) -> str:
    """Return the name of the first lane in the mask; of the last lane if the mask is empty."""
    if not lanes:
        return ""
    return lanes[lowest_bit(mask)].name


def _find_refused_rules(
    index: RoutingIndex, target: str, target_index: RoutingIndex | None
) -> Iterator[Conflict]:
    accepted = {
        x
        for x in index.classes
        if target_index is not None and target_index.accepting_blocks(index.region, x)
    }
    if len(accepted) == len(index.classes):
        return
    # A request that rule n decides on matches no earlier rule: the mask (1 << n) - 1 holds all of these.
    for n in index.rules_by_target.get(target, ()):
        rule = index.rules[n]
        classes = [x for x in (rule.classes or index.classes) if x not in accepted]
        example = index.find_request((n,), (1 << n) - 1, classes) if classes else None
        if example is not None:
            yield Conflict(ConflictKind.REFUSED.value, (index.region, target), (rule.name,), example)


DeclaredCells = dict[str, tuple[int, ...]]
"""By region: the masks of cells that its active sections declare; without regions that declare none."""


def _find_unserved_titles(index: RoutingIndex, cells: DeclaredCells) -> Iterator[Conflict]:
    """Yield the rules under which a title's cells lie outside all regions that the rule names."""
    outside = {
        (x, title_cells): any(not y & title_cells for y in declared)
        for x, declared in cells.items()
        for title_cells in index.cell_masks
    }
    for n, rule in enumerate(index.rules):
        if not rule.regions or not all(x in cells for x in rule.regions):
            continue
        unreachable = {x for x in index.cell_masks if all(outside[region, x] for region in rule.regions)}
        for group in index.title_groups_by_rule[n] if unreachable else ():
            if group[1] not in unreachable:
                continue
            example = index.find_request((n,), (1 << n) - 1, index.classes, group)
            if example is not None:
                others = tuple(sorted(set(rule.regions) - {index.region}))
                yield Conflict(ConflictKind.UNSERVED.value, (index.region, *others), (rule.name,), example)
                break


LargestSpill = tuple[float, str, Example]
"""Largest spill of one region: its share, the rule, and a request that the rule decides on."""


def _find_overcommitted(target_index: RoutingIndex, spilling: Sequence[RoutingIndex]) -> Iterator[Conflict]:
    """Yield, class by class, what is spilled to a region in excess of what it accepts."""
    for session_class in sorted({x for index in spilling for x in index.classes}):
        rules_by_region: dict[str, list[tuple[RoutingIndex, int]]] = {}
        for index in spilling:
            rules = [
                n
                for n in index.spilling_rules[target_index.region]
                if index.class_masks.get(session_class, 0) >> n & 1
            ]
            if rules and target_index.accepting_blocks(index.region, session_class):
                rules_by_region.setdefault(index.region, []).extend((index, n) for n in rules)
        upper_bounds = {x: max(index.rules[n].spill for index, n in y) for x, y in rules_by_region.items()}
        if not any(_groups_over_share(target_index, session_class, upper_bounds)):
            continue  # the usual case, which needs no search for requests
        largest = {
            x: found
            for x, y in rules_by_region.items()
            if (found := _largest_spill(session_class, y)) is not None
        }
        for within in _groups_over_share(target_index, session_class, {x: y[0] for x, y in largest.items()}):
            names = tuple(sorted({largest[x][1] for x in within}))
            yield Conflict(
                ConflictKind.OVERCOMMITTED.value,
                (target_index.region, *within),
                names,
                largest[within[0]][2],
            )


def _largest_spill(session_class: str, rules: list[tuple[RoutingIndex, int]]) -> LargestSpill | None:
    """Return the largest spill among the rules that decide on a request of a class; ties broken by name."""
    for index, n in sorted(rules, key=lambda x: (-x[0].rules[x[1]].spill, x[0].rules[x[1]].name)):
        example = index.request_decided_by(n, session_class)
        if example is not None:
            return index.rules[n].spill, index.rules[n].name, example
    return None


def _groups_over_share(
    target_index: RoutingIndex, session_class: str, spills: Mapping[str, float]
) -> Iterator[list[str]]:
    """Yield groups of regions whose total spill exceeds the shares of the accept blocks open to them."""
    blocks = {x: frozenset(target_index.accepting_blocks(x, session_class)) for x in spills}
    sets = set(blocks.values())
    for usable in sorted({*sets, frozenset(chain.from_iterable(sets))}, key=sorted):
        accepted_share = min(1.0, math.fsum(target_index.accepts[x].share for x in usable))
        within = [x for x in sorted(spills) if usable >= blocks[x]]
        if math.fsum(spills[x] for x in within) > accepted_share + SHARE_TOLERANCE:
            yield within


def conflicts(routings: Sequence[Routing]) -> list[Conflict]:
    """Return all conflicts of a mix, each key once, sorted by kind, regions and rules."""
    return ConflictChecker().conflicts(routings)


def conflicts_within(routing: Routing) -> list[Conflict]:
    """Return the conflicts within one routing section, without regard to other regions."""
    return deduplicate(ConflictChecker().index(routing).local_conflicts())

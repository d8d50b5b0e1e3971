"""An index of a routing section: precomputed lookups for finding conflicts."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from functools import cached_property, reduce
from itertools import chain
from operator import and_

import msgspec

from .conflict_kinds import Conflict, ConflictKind, Example
from .patterns import PatternMasks, mask_from_bits, representatives, set_bits
from .routing import ClassTerms, Routing

SHARE_TOLERANCE = 1e-9
"""Rounding error allowed in a sum of shares."""
TitleGroup = tuple[int, int, str]
"""Titles that the same rules match on the same cells: mask of the rules, mask of the cells, one title."""


class RoutingIndex:
    """A routing section with precomputed lookups; rules are numbered in order of precedence.

    Masks of rules have bit n set for rule n, masks of cells bit n for cell n.
    """

    def __init__(self, routing: Routing) -> None:
        self.routing = routing
        self.region = routing.region_name
        self.rules = sorted(routing.routes, key=lambda x: (x.order, x.name))
        self.classes = sorted(x.name for x in routing.classes)
        self.title_names = frozenset(x.name for x in routing.titles)
        self.cells = mask_from_bits(() if routing.region is None else routing.region.cells)
        self.accepts = sorted(routing.accepts, key=lambda x: (sorted(x.regions), sorted(x.classes), x.share))
        self.title_masks = PatternMasks([x.titles for x in self.rules])
        self.account_masks = PatternMasks([x.accounts for x in self.rules])
        by_class = PatternMasks([x.classes for x in self.rules])
        self.class_masks = {x: by_class.matching(x) for x in self.classes}
        groups: dict[tuple[int, int], str] = {}
        cell_masks = {x: self._cell_mask(*x) for x in {(x.home, x.holders) for x in routing.titles}}
        for title in sorted(routing.titles, key=lambda x: x.name):
            key = self.title_masks.matching(title.name), cell_masks[title.home, title.holders]
            groups.setdefault(key, title.name)
        self.cell_masks = set(cell_masks.values())
        self.title_groups = sorted(
            ((rules, cells, x) for (rules, cells), x in groups.items()), key=lambda x: x[0].bit_count()
        )
        accounts: dict[int, str] = {}
        for account in representatives(chain.from_iterable(x.accounts for x in self.rules)):
            accounts.setdefault(self.account_masks.matching(account), account)
        self.account_groups = sorted(accounts.items(), key=lambda x: x[0].bit_count())
        self.title_groups_by_rule: list[list[TitleGroup]] = [[] for _ in self.rules]
        """Per rule: the groups of titles that it matches."""
        self._account_groups_by_rule: list[list[tuple[int, str]]] = [[] for _ in self.rules]
        """Per rule: the groups of accounts that it matches."""
        for title_group in self.title_groups:
            for n in set_bits(title_group[0]):
                self.title_groups_by_rule[n].append(title_group)
        for account_group in self.account_groups:
            for n in set_bits(account_group[0]):
                self._account_groups_by_rule[n].append(account_group)
        self.spilling_rules: dict[str, list[int]] = {}
        """By target region, other than its own: the rules that may spill there."""
        self.spill_edges: set[tuple[str, str]] = set()
        """Pairs of regions from which and to which its rules may spill."""
        for n, rule in enumerate(self.rules):
            for target in rule.regions[1:] if rule.spill > 0 else ():
                self.spill_edges.add((rule.regions[0], target))
                if target != self.region:
                    self.spilling_rules.setdefault(target, []).append(n)
        self._covering_rules = [reduce(and_, (x for x, _ in y), -1) for y in self._account_groups_by_rule]
        """Per rule: mask of the rules that match all accounts that it matches."""
        self.rules_by_target: dict[str, list[int]] = {}
        """By target region, other than its own: the rules that may go there."""
        for n, rule in enumerate(self.rules):
            for target in rule.reachable_regions:
                if target != self.region:
                    self.rules_by_target.setdefault(target, []).append(n)
        self._decided_requests: dict[tuple[int, str], Example | None] = {}

    @property
    def sort_key(self) -> tuple[str, bytes]:
        """Sorts indexes the same way, whatever order the routing sections were given in."""
        return self.region, self.routing.canonical

    @cached_property
    def joint_key(self) -> bytes:
        """What matters to joint conflicts; sections with equal keys are interchangeable there."""
        kept = msgspec.structs.replace(
            self.routing,
            lanes=(),
            budget=(0.0, 0.0, 0.0),
            witnesses=0,
            members=(),
            classes=tuple(ClassTerms(name=x, effect="", floor=0, seats=0) for x in self.classes),
        )
        return kept.canonical

    def _cell_mask(self, home: int, holders: int) -> int:
        cells = max(1, self.routing.cells)
        return mask_from_bits((home + n) % cells for n in range(min(holders, cells)))

    def find_request(
        self, rules: tuple[int, ...], avoid: int, classes: Iterable[str], group: TitleGroup | None = None
    ) -> Example | None:
        """Return a request that all of `rules` and none of the mask `avoid` match; None if there is none.

        `group` restricts the search to the titles of one group.
        """
        need = mask_from_bits(rules)
        fewest = (
            rules[0] if len(rules) == 1 else min(rules, key=lambda x: len(self._account_groups_by_rule[x]))
        )
        accounts, covering = self._account_groups_by_rule[fewest], self._covering_rules[fewest]
        titles = min((self.title_groups_by_rule[x] for x in rules), key=len) if group is None else [group]
        tried: list[int] = []
        for name in classes:
            by_class = self.class_masks.get(name, 0)
            if by_class & need != need:
                continue
            for by_title, _, title in titles:
                left = by_class & by_title & avoid
                if by_title & need != need or left & covering or any(x & left == x for x in tried):
                    continue  # a superset of rules that left no account leaves none either
                wanted = need | left
                for by_account, account in accounts:
                    if by_account & wanted == need:
                        return Example(name, title, account, self.region)
                tried.append(left)
        return None

    def request_decided_by(self, rule: int, session_class: str) -> Example | None:
        """Return a request of a class that a rule decides on; None if there is none."""
        key = rule, session_class
        if key not in self._decided_requests:
            self._decided_requests[key] = self.find_request((rule,), (1 << rule) - 1, (session_class,))
        return self._decided_requests[key]

    def any_request(self, session_class: str, account: str) -> Example | None:
        """Return some request of a class and account, whatever rules match it; None if there is no title."""
        titles = self.routing.titles
        if not titles:
            return None
        return Example(session_class, min(x.name for x in titles), account, self.region)

    def accepting_blocks(self, region: str, session_class: str) -> tuple[int, ...]:
        """Return the numbers of the accept blocks that accept a class from another region."""
        return tuple(
            n
            for n, x in enumerate(self.accepts)
            if x.share > 0
            and (not x.regions or region in x.regions)
            and (not x.classes or session_class in x.classes)
        )

    def local_conflicts(self) -> list[Conflict]:
        """Return the conflicts within this section, which exist whatever else is active."""
        return [*self._shadowed(), *self._overlaps(), *self._overaccepted()]

    def _shadowed(self) -> Iterator[Conflict]:
        for n, rule in enumerate(self.rules):
            if self.find_request((n,), (1 << n) - 1, self.classes) is None:
                example = self.find_request((n,), 0, self.classes)
                yield Conflict(ConflictKind.SHADOWED.value, (self.region,), (rule.name,), example)

    def _overlaps(self) -> Iterator[Conflict]:
        for n, rule in enumerate(self.rules):
            for k in range(n + 1, len(self.rules)):
                other = self.rules[k]
                if other.order != rule.order:
                    break
                if other.regions == rule.regions:
                    continue
                both = n, k
                lower = (1 << next(x for x in range(n + 1) if self.rules[x].order == rule.order)) - 1
                example = self.find_request(both, lower, self.classes)
                if example is None and lower:
                    example = self.find_request(both, 0, self.classes)
                if example is not None:
                    names = tuple(sorted((rule.name, other.name)))
                    yield Conflict(ConflictKind.OVERLAP.value, (self.region,), names, example)

    def _overaccepted(self) -> Iterator[Conflict]:
        if math.fsum(x.share for x in self.accepts) <= 1.0 + SHARE_TOLERANCE:
            return
        names = tuple(f"accept {n + 1}" for n, x in enumerate(self.accepts) if x.share > 0)
        example = None
        for block in self.accepts:
            sender = next((x for x in sorted(block.regions) if x != self.region), "")
            classes = sorted(block.classes) or self.classes
            if example is None and sender and classes and block.share > 0:
                found = self.any_request(classes[0], "0")
                example = None if found is None else msgspec.structs.replace(found, region=sender)
        yield Conflict(ConflictKind.OVERCOMMITTED.value, (self.region,), names, example)

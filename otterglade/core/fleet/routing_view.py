"""A routing part with what the judgement of conflicts asks again and again, worked out once."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from functools import cached_property, reduce
from itertools import chain
from operator import and_

import msgspec

from .conflict_kinds import Conflict, Example, Kind
from .patterns import Masks, bits_of, mask_of, representatives
from .routing import Routing, Terms

SLACK = 1e-9
"""Shares are sums of decimal fractions: so much over is none."""
Group = tuple[int, int, str]
"""Titles that the same rules match on the same cells: masks of both, and one of the titles."""


class View:
    """A routing part with what is asked for again and again worked out once."""

    def __init__(self, routing: Routing) -> None:
        self.routing = routing
        self.region = routing.named
        self.rules = sorted(routing.routes, key=lambda x: (x.order, x.name))
        self.classes = sorted(x.name for x in routing.classes)
        self.title_names = frozenset(x.name for x in routing.titles)
        self.cells = mask_of(() if routing.region is None else routing.region.cells)
        self.accepts = sorted(routing.accepts, key=lambda x: (sorted(x.regions), sorted(x.classes), x.share))
        self.title_masks = Masks([x.titles for x in self.rules])
        self.account_masks = Masks([x.accounts for x in self.rules])
        of_class = Masks([x.classes for x in self.rules])
        self.class_masks = {x: of_class.of(x) for x in self.classes}
        groups: dict[tuple[int, int], str] = {}
        rows = {x: self._row(*x) for x in {(x.home, x.holders) for x in routing.titles}}
        for title in sorted(routing.titles, key=lambda x: x.name):
            key = self.title_masks.of(title.name), rows[title.home, title.holders]
            groups.setdefault(key, title.name)
        self.rows = set(rows.values())
        self.titles = sorted(((m, row, x) for (m, row), x in groups.items()), key=lambda x: x[0].bit_count())
        accounts: dict[int, str] = {}
        for account in representatives(chain.from_iterable(x.accounts for x in self.rules)):
            accounts.setdefault(self.account_masks.of(account), account)
        self.accounts = sorted(accounts.items(), key=lambda x: x[0].bit_count())
        self.groups_of: list[list[Group]] = [[] for _ in self.rules]
        """By rule: of the titles that it matches; and so for accounts."""
        self._accounts_of: list[list[tuple[int, str]]] = [[] for _ in self.rules]
        for group in self.titles:
            for n in bits_of(group[0]):
                self.groups_of[n].append(group)
        for held in self.accounts:
            for n in bits_of(held[0]):
                self._accounts_of[n].append(held)
        self.spills: dict[str, list[int]] = {}
        """By another region: the rules that may spill there."""
        self.ways: set[tuple[str, str]] = set()
        """From where to where its rules may spill."""
        for n, rule in enumerate(self.rules):
            for target in rule.regions[1:] if rule.spill > 0 else ():
                self.ways.add((rule.regions[0], target))
                if target != self.region:
                    self.spills.setdefault(target, []).append(n)
        self._everywhere = [reduce(and_, (x for x, _ in held), -1) for held in self._accounts_of]
        """By rule: those that match all accounts that it matches."""
        self.reaching: dict[str, list[int]] = {}
        """The rules that may go to another region."""
        for n, rule in enumerate(self.rules):
            for target in rule.reach:
                if target != self.region:
                    self.reaching.setdefault(target, []).append(n)
        self._decided: dict[tuple[int, str], Example | None] = {}

    @property
    def place(self) -> tuple[str, bytes]:
        """Orders views alike, whatever the order of the parts."""
        return self.region, self.routing.canonical

    @cached_property
    def joint_part(self) -> bytes:
        """What matters of it to conflicts of more than two: parts with the same are one to them."""
        kept = msgspec.structs.replace(
            self.routing,
            lanes=(),
            budget=(0.0, 0.0, 0.0),
            witnesses=0,
            members=(),
            classes=tuple(Terms(name=x, effect="", floor=0, seats=0) for x in self.classes),
        )
        return kept.canonical

    def _row(self, home: int, holders: int) -> int:
        cells = max(1, self.routing.cells)
        return mask_of((home + n) % cells for n in range(min(holders, cells)))

    def find(
        self, rules: tuple[int, ...], avoid: int, classes: Iterable[str], group: Group | None = None
    ) -> Example | None:
        """A request that these rules all match and none of `avoid` does; None: there is none. Titles of one
        group alone, if told."""
        need = mask_of(rules)
        fewest = rules[0] if len(rules) == 1 else min(rules, key=lambda x: len(self._accounts_of[x]))
        accounts, everywhere = self._accounts_of[fewest], self._everywhere[fewest]
        titles = min((self.groups_of[x] for x in rules), key=len) if group is None else [group]
        tried: list[int] = []
        for name in classes:
            of_class = self.class_masks.get(name, 0)
            if of_class & need != need:
                continue
            for of_title, _, title in titles:
                left = of_class & of_title & avoid
                if of_title & need != need or left & everywhere or any(x & left == x for x in tried):
                    continue  # who takes all accounts with fewer rules takes them with more
                wanted = need | left
                for of_account, account in accounts:
                    if of_account & wanted == need:
                        return Example(name, title, account, self.region)
                tried.append(left)
        return None

    def decided(self, rule: int, session_class: str) -> Example | None:
        """A request of a class that a rule decides on."""
        key = rule, session_class
        if key not in self._decided:
            self._decided[key] = self.find((rule,), (1 << rule) - 1, (session_class,))
        return self._decided[key]

    def anything(self, session_class: str, account: str) -> Example | None:
        """A request, where rules do not matter; None: there is no title."""
        titles = self.routing.titles
        if not titles:
            return None
        return Example(session_class, min(x.name for x in titles), account, self.region)

    def open_blocks(self, region: str, session_class: str) -> tuple[int, ...]:
        """Which accept blocks take a class from another region."""
        return tuple(
            n
            for n, x in enumerate(self.accepts)
            if x.share > 0
            and (not x.regions or region in x.regions)
            and (not x.classes or session_class in x.classes)
        )

    def alone(self) -> list[Conflict]:
        """What is wrong in this part, whatever else acts."""
        return [*self._shadowed(), *self._overlaps(), *self._overaccepted()]

    def _shadowed(self) -> Iterator[Conflict]:
        for n, rule in enumerate(self.rules):
            if self.find((n,), (1 << n) - 1, self.classes) is None:
                taken = self.find((n,), 0, self.classes)
                yield Conflict(Kind.SHADOWED.value, (self.region,), (rule.name,), taken)

    def _overlaps(self) -> Iterator[Conflict]:
        for n, rule in enumerate(self.rules):
            for k in range(n + 1, len(self.rules)):
                other = self.rules[k]
                if other.order != rule.order:
                    break
                if other.regions == rule.regions:
                    continue
                both = n, k
                below = (1 << next(x for x in range(n + 1) if self.rules[x].order == rule.order)) - 1
                shows = self.find(both, below, self.classes)
                if shows is None and below:
                    shows = self.find(both, 0, self.classes)
                if shows is not None:
                    names = tuple(sorted((rule.name, other.name)))
                    yield Conflict(Kind.OVERLAP.value, (self.region,), names, shows)

    def _overaccepted(self) -> Iterator[Conflict]:
        if math.fsum(x.share for x in self.accepts) <= 1.0 + SLACK:
            return
        names = tuple(f"accept {n + 1}" for n, x in enumerate(self.accepts) if x.share > 0)
        shows = None
        for block in self.accepts:
            asked = next((x for x in sorted(block.regions) if x != self.region), "")
            classes = sorted(block.classes) or self.classes
            if shows is None and asked and classes and block.share > 0:
                told = self.anything(classes[0], "0")
                shows = None if told is None else msgspec.structs.replace(told, region=asked)
        yield Conflict(Kind.OVERCOMMITTED.value, (self.region,), names, shows)

"""Spill that can come back: sets of regions that reach one another, for one class, title and account."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import chain, compress, islice

from .conflict_kinds import Conflict, Example, Kind
from .patterns import Masks, lowest_bit, representatives
from .routing_view import View

MOST_CYCLES = 100
"""Told of a mix: nobody reads more, and where wide rules are tangled there are very many."""
MOST_LOOKED = 100_000
"""Steps of spill that are looked at for more cycles of a class once one is found: a fraction of a second."""
Step = tuple[str, str, View, int]
"""Of spill: from, to, and whose rule."""


def knots(steps: Iterable[tuple[str, str]]) -> list[frozenset[str]]:
    """The largest sets, of two and more, whose members all reach one another."""
    ways = set(steps)
    while True:  # who is not reached, or reaches nobody, is in none: mostly that is all
        kept = {x for x, _ in ways} & {x for _, x in ways}
        inside = {x for x in ways if x[0] in kept and x[1] in kept}
        if len(inside) == len(ways):
            break
        ways = inside
    number = {x: n for n, x in enumerate(sorted({x for x, _ in ways}))}
    onward, back = [0] * len(number), [0] * len(number)
    for one, other in ways:
        onward[number[one]] |= 1 << number[other]
        back[number[other]] |= 1 << number[one]
    left, found = (1 << len(number)) - 1, []
    while left:
        start = left & -left
        members = _reached(onward, start) & _reached(back, start)
        found.append(frozenset(x for x, n in number.items() if members >> n & 1))
        left &= ~members & ~start
    return [x for x in found if len(x) > 1]


def _reached(onward: list[int], start: int) -> int:
    """Where ways lead from one, itself among them."""
    reached = front = start
    while front:
        more = 0
        while front:
            low = front & -front
            more |= onward[low.bit_length() - 1]
            front ^= low
        front = more & ~reached
        reached |= front
    return reached


def _knotted(steps: list[Step]) -> list[Step]:
    """Those that may be on a way back."""
    of = {x: n for n, members in enumerate(knots((x[0], x[1]) for x in steps)) for x in members}
    return [x for x in steps if x[0] in of and of[x[0]] == of.get(x[1])]


def cycles(views: list[View], acting: dict[str, list[View]]) -> Iterator[Conflict]:
    """Spill that can come back. First without looking at requests, then class by class, account by account,
    title by title: each time only what may still come back is kept, which is mostly nothing."""
    tied = {x: n for n, y in enumerate(knots(chain(*(x.ways for x in views)))) for x in y}
    steps: list[Step] = [
        (first, to, view, n)
        for view in views
        if any(x in tied and tied[x] == tied.get(y) for x, y in view.ways)
        for n, rule in enumerate(view.rules)
        if rule.spill > 0
        for to in rule.regions[1:]
        if to in acting and (first := rule.regions[0]) in tied and tied[first] == tied.get(to)
    ]
    classes = {x for step in steps for x in step[2].classes}
    found = chain.from_iterable(
        Knot(
            name, [x for x in steps if x[2].class_masks.get(name, 0) >> x[3] & 1 and _taken(x, name, acting)]
        ).told()
        for name in sorted(classes)
    )
    return islice(found, MOST_CYCLES)


def _taken(step: Step, name: str, acting: dict[str, list[View]]) -> bool:
    """Whether what a rule spills is accepted there, by some edition."""
    _, to, view, _ = step
    return to == view.region or any(x.open_blocks(view.region, name) for x in acting[to])


class Knot:
    """Steps of spill, of one class, that may lead back."""

    def __init__(self, session_class: str, steps: list[Step]) -> None:
        self.session_class = session_class
        self.steps = _knotted(steps)
        self.views = list({id(x[2]): x[2] for x in self.steps}.values())

    def told(self) -> Iterator[Conflict]:
        """Whether there is a way back is decided in any case; how many more are told is bounded."""
        titles = self._titles() if self.steps else []
        known: set[tuple[frozenset[str], frozenset[str]]] = set()
        looked = 0
        for of_account, accounts in self._accounts():
            steps = self._open(of_account)
            if not steps:
                continue
            held = {id(x[2]) for x in steps}
            views = [x for x in self.views if id(x) in held]
            for title, masks in titles:
                now = _knotted([x for x in steps if masks.get(id(x[2]), 0) >> x[3] & 1])
                if now:
                    yield from self._decided(now, views, title, accounts, masks, known)
                looked += len(steps)
                if known and looked > MOST_LOOKED:
                    return

    def _open(self, mask: int) -> list[Step]:
        """Steps of a mask, bit n for the n-th, as far as they may still lead back."""
        return _knotted(list(compress(self.steps, map(int, reversed(f"{mask:b}")))))

    def _accounts(self) -> Iterable[tuple[int, list[str]]]:
        """Accounts, together where the same of these rules match them."""
        matching = Masks([x[2].rules[x[3]].accounts for x in self.steps])
        found: dict[int, list[str]] = {}
        rules = chain.from_iterable(x.rules for x in self.views)
        for account in representatives(chain.from_iterable(x.accounts for x in rules)):
            found.setdefault(matching.of(account), []).append(account)
        return found.items()

    def _titles(self) -> list[tuple[str, dict[int, int]]]:
        """One title of all that the same rules match in the same regions, with masks of these by view."""
        found: dict[tuple[tuple[int, int], ...], str] = {}
        for title in sorted({x for view in self.views for x in view.title_names}):
            mine = [x for x in self.views if title in x.title_names]
            masks = tuple((id(x), x.class_masks[self.session_class] & x.title_masks.of(title)) for x in mine)
            found.setdefault(masks, title)
        return [(title, dict(masks)) for masks, title in found.items()]

    def _decided(
        self,
        steps: list[Step],
        views: list[View],
        title: str,
        accounts: list[str],
        masks: dict[int, int],
        known: set[tuple[frozenset[str], frozenset[str]]],
    ) -> Iterator[Conflict]:
        """Of rules that match one title and these accounts: those that decide, and still lead back."""
        seen: set[tuple[int, ...]] = set()
        for account in accounts:
            lowest = {id(x): lowest_bit(masks.get(id(x), 0) & x.account_masks.of(account)) for x in views}
            deciding = tuple(lowest.values())
            if deciding in seen:
                continue
            seen.add(deciding)
            now = [x for x in steps if lowest[id(x[2])] == x[3]]
            for members in knots((x[0], x[1]) for x in now):
                inside = [x for x in now if x[0] in members and x[1] in members]
                rules = frozenset(x[2].rules[x[3]].name for x in inside)
                if (members, rules) not in known:
                    known.add((members, rules))
                    shows = Example(self.session_class, title, account, min(x[2].region for x in inside))
                    yield Conflict(Kind.CYCLE.value, tuple(sorted(members)), tuple(sorted(rules)), shows)

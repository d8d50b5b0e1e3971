"""Conflicts of regions' rules: what is right in each script and wrong together, decided before it acts.

A *mix* is what acts at one instant: routing parts, several of one region where some of its gateways act on
another edition than the others do. Each conflict is decided exactly on what is asked (class, title, account,
region of the gateway) and comes with a request that shows it.

**What can be asked.** Classes and titles are those of the region's own script: a gateway answers others
before any rule is looked at, so a rule for a title that nobody has can never match, and a new title comes
with a script, which is judged then. Accounts are all strings: a viewer writes what he likes before the first
dot. So patterns are sets without an end; but all patterns at hand part the strings into finitely many sets
that each pattern holds whole or not at all, and one string of each is enough (`representatives`). What
remains are boxes of classes, titles and accounts, kept as masks of rules. `docs/design-routes.md` weighs
automata and solvers, and has the growth.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import chain, combinations

from .conflict_kinds import Conflict, Example, Kind, each_once
from .patterns import Masks, lowest_bit, representatives
from .routing import Lane, Routing
from .routing_view import SLACK, View
from .spill_cycles import cycles


class Judge:
    """Judges mixes; keeps what it has worked out of each routing part and each pair of them, so that many
    mixes of the same parts cost little more than one."""

    def __init__(self) -> None:
        self._views: dict[bytes, View] = {}
        self._alone: dict[int, list[Conflict]] = {}
        self._refused: dict[tuple[int, int], list[Conflict]] = {}
        self._unserved: dict[tuple[int, tuple[tuple[str, tuple[int, ...]], ...]], list[Conflict]] = {}
        self._overspilled: dict[tuple[int, tuple[int, ...]], list[Conflict]] = {}
        self._lanes: dict[tuple[tuple[Lane, ...], tuple[Lane, ...]], list[tuple[str, str, str]]] = {}

    def view(self, routing: Routing) -> View:
        key = routing.canonical
        if key not in self._views:
            self._views[key] = View(routing)
        return self._views[key]

    def conflicts(self, routings: Iterable[Routing]) -> list[Conflict]:
        """All conflicts of a mix, each once, sorted."""
        views = self.views(routings)
        acting = by_region(views)
        refused = (
            self.refused(x, target, there)
            for x in views
            for target in x.reaching
            for there in acting.get(target) or (None,)
        )
        pairs = (self.pair(x, y) for x, y in combinations(views, 2))
        return each_once(chain(*map(self.alone, views), *refused, *pairs, self.joint(views)))

    def views(self, routings: Iterable[Routing]) -> list[View]:
        """Each different part once, in an order that does not hang on theirs."""
        views = {id(x): x for x in map(self.view, routings)}.values()
        return sorted(views, key=lambda x: x.place)

    def joint(self, views: list[View]) -> Iterator[Conflict]:
        """What more than two regions may bring about together."""
        acting = by_region(views)
        cells = {
            x: told for x, y in acting.items() if (told := tuple(sorted({z.cells for z in y if z.cells})))
        }
        marked = tuple(sorted(cells.items()))
        spilling: dict[str, list[View]] = {}
        for view in views:
            key = id(view), marked
            if key not in self._unserved:
                self._unserved[key] = list(_unserved(view, cells))
            yield from self._unserved[key]
            for target in view.spills:
                spilling.setdefault(target, []).append(view)
        for target, those in spilling.items():
            for there in acting.get(target, ()):
                pair = id(there), tuple(map(id, those))
                if pair not in self._overspilled:
                    self._overspilled[pair] = list(_overspilled(there, those))
                yield from self._overspilled[pair]
        yield from cycles(views, acting)

    def alone(self, view: View) -> list[Conflict]:
        if id(view) not in self._alone:
            self._alone[id(view)] = view.alone()
        return self._alone[id(view)]

    def refused(self, view: View, target: str, there: View | None) -> list[Conflict]:
        """Rules of one that go to another which does not accept them; `there` None: nobody acts for it."""
        if there is None:
            return list(_refused(view, target, None))
        key = id(view), id(there)
        if key not in self._refused:
            self._refused[key] = list(_refused(view, target, there))
        return self._refused[key]

    def pair(self, one: View, other: View) -> Iterator[Conflict]:
        """What all must agree on and these two do not; the order of the two makes no difference."""
        a, b = one.routing, other.routing
        if a.agreed == b.agreed:
            return
        regions = tuple(sorted({one.region, other.region}))
        first = one if one.region == regions[0] else other
        of_b = {x.name: x for x in b.classes}
        for terms in a.classes if a.budget != b.budget or a.classes != b.classes else ():
            theirs = of_b.get(terms.name)
            if theirs is not None and (theirs != terms or a.budget != b.budget):
                shows = first.anything(terms.name, "0")
                yield Conflict(Kind.TERMS.value, regions, (terms.name,), shows)
        for lane, their_lane, account in self._moved(a.lanes, b.lanes):
            shows = first.anything(first.classes[0], account) if first.classes else None
            yield Conflict(
                Kind.LANES.value, regions, tuple(sorted(x for x in (lane, their_lane) if x)), shows
            )
        if a.witnessing != b.witnessing:
            paid = sorted(a.paid & b.paid)
            if paid:
                yield Conflict(Kind.WITNESSES.value, regions, (), first.anything(paid[0], "0"))

    def _moved(self, a: tuple[Lane, ...], b: tuple[Lane, ...]) -> list[tuple[str, str, str]]:
        """Lanes of other names that some account is in, with the account."""
        if a == b:
            return []
        if (a, b) not in self._lanes:
            ours, theirs = (Masks([x.accounts for x in lanes], empty_is_any=False) for lanes in (a, b))
            found: dict[tuple[str, str], str] = {}
            for account in representatives(chain.from_iterable(x.accounts for x in (*a, *b))):
                lane, other = _lane(a, ours.of(account)), _lane(b, theirs.of(account))
                if lane != other:
                    found.setdefault((lane, other), account)
            self._lanes[a, b] = [(x, y, account) for (x, y), account in found.items()]
        return self._lanes[a, b]


def by_region(views: Iterable[View]) -> dict[str, list[View]]:
    """The editions that act in each region."""
    acting: dict[str, list[View]] = {}
    for view in views:
        acting.setdefault(view.region, []).append(view)
    return acting


def _lane(lanes: tuple[Lane, ...], mask: int) -> str:
    """The first lane of those that hold an account; the last where none does."""
    if not lanes:
        return ""
    return lanes[lowest_bit(mask)].name


def _refused(view: View, target: str, there: View | None) -> Iterator[Conflict]:
    accepted = {x for x in view.classes if there is not None and there.open_blocks(view.region, x)}
    if len(accepted) == len(view.classes):
        return
    for n in view.reaching.get(target, ()):
        rule = view.rules[n]
        classes = [x for x in (rule.classes or view.classes) if x not in accepted]
        shows = view.find((n,), (1 << n) - 1, classes) if classes else None
        if shows is not None:
            yield Conflict(Kind.REFUSED.value, (view.region, target), (rule.name,), shows)


Cells = dict[str, tuple[int, ...]]
"""By region: the cells that its editions tell, those that tell any."""


def _unserved(view: View, cells: Cells) -> Iterator[Conflict]:
    """Rules under which a title's holders lie outside all regions named."""
    outside = {(x, row): any(not y & row for y in told) for x, told in cells.items() for row in view.rows}
    for n, rule in enumerate(view.rules):
        if not rule.regions or not all(x in cells for x in rule.regions):
            continue
        rows = {row for row in view.rows if all(outside[x, row] for x in rule.regions)}
        for group in view.groups_of[n] if rows else ():
            if group[1] not in rows:
                continue
            shows = view.find((n,), (1 << n) - 1, view.classes, group)
            if shows is not None:
                others = tuple(sorted(set(rule.regions) - {view.region}))
                yield Conflict(Kind.UNSERVED.value, (view.region, *others), (rule.name,), shows)
                break


Spilled = tuple[float, str, Example]
"""Most of one region: its share, the rule, and a request that it decides on."""


def _overspilled(there: View, spilling: Sequence[View]) -> Iterator[Conflict]:
    """What is spilled to a region over what it accepts, class by class."""
    for name in sorted({x for view in spilling for x in view.classes}):
        by_region: dict[str, list[tuple[View, int]]] = {}
        for view in spilling:
            rules = [n for n in view.spills[there.region] if view.class_masks.get(name, 0) >> n & 1]
            if rules and there.open_blocks(view.region, name):
                by_region.setdefault(view.region, []).extend((view, n) for n in rules)
        at_most = {x: max(view.rules[n].spill for view, n in y) for x, y in by_region.items()}
        if not any(_over(there, name, at_most)):
            continue  # mostly: and nothing has to be known of requests
        most = {x: told for x, y in by_region.items() if (told := _most(name, y)) is not None}
        for within in _over(there, name, {x: y[0] for x, y in most.items()}):
            names = tuple(sorted({most[x][1] for x in within}))
            yield Conflict(Kind.OVERCOMMITTED.value, (there.region, *within), names, most[within[0]][2])


def _most(name: str, rules: list[tuple[View, int]]) -> Spilled | None:
    """The largest spill of the rules that decide on a request of a class, of equal ones the first by name."""
    for view, n in sorted(rules, key=lambda x: (-x[0].rules[x[1]].spill, x[0].rules[x[1]].name)):
        shows = view.decided(n, name)
        if shows is not None:
            return view.rules[n].spill, view.rules[n].name, shows
    return None


def _over(there: View, name: str, spills: Mapping[str, float]) -> Iterator[list[str]]:
    """Regions that spill more in sum than the blocks have that are open to them."""
    blocks = {x: frozenset(there.open_blocks(x, name)) for x in spills}
    sets = set(blocks.values())
    for usable in sorted({*sets, frozenset(chain.from_iterable(sets))}, key=sorted):
        room = min(1.0, math.fsum(there.accepts[x].share for x in usable))
        within = [x for x in sorted(spills) if usable >= blocks[x]]
        if math.fsum(spills[x] for x in within) > room + SLACK:
            yield within


def conflicts(routings: Sequence[Routing]) -> list[Conflict]:
    """All conflicts among routing parts that act together, each once, sorted by kind, regions and rules."""
    return Judge().conflicts(routings)


def told_alone(routing: Routing) -> list[Conflict]:
    """What is wrong in one part, where nothing is known of other regions."""
    return each_once(Judge().view(routing).alone())

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
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from enum import StrEnum
from functools import cached_property, reduce
from itertools import chain, combinations, compress, count, islice
from operator import and_

import msgspec

from . import routing as parts

SLACK = 1e-9
"""Shares are sums of decimal fractions: so much over is none."""
MOST_CYCLES = 100
"""Told of a mix: nobody reads more, and where wide rules are tangled there are very many."""
MOST_LOOKED = 100_000
"""Steps of spill that are looked at for more cycles of a class once one is found: a fraction of a second."""


class Kind(StrEnum):
    """What is wrong. *Decides*: the rule matches, and none with a lower order, or an equal one and a name
    before its own, does (`routing.rule_for`)."""

    REFUSED = "refused-there"
    """A rule decides on a request, and a region that it may go to (`Route.reach`) does not accept the class
    from the rule's region; a region that nobody acts for accepts nothing."""
    CYCLE = "cycle"
    """For one class, title and account, asked in each region: rules that decide spill from their first region
    to a later one that accepts it, and on from there, until it is back. One for each largest set of regions
    that reach one another so, with the rules of all such steps within the set."""
    OVERLAP = "overlap"
    """Two rules of a region with equal order, a request that both match, and other regions in their lists."""
    SHADOWED = "shadowed"
    """A rule that decides on no request."""
    OVERCOMMITTED = "overcommitted"
    """A region's accepted shares are over 1 in sum. Or more is spilled there than it accepts: for a class and
    the accept blocks that are open to one region that spills (or to any), the sum over all regions that have
    no other blocks, each by its largest spill of a rule that decides on a request of the class, is over the
    sum of the blocks' shares, or over 1. Regions count alike: their sizes are not in the scripts."""
    UNSERVED = "unserved"
    """A rule decides on a request for a title, and all regions that it names tell their cells, none of them
    among the title's."""
    TERMS = "terms-differ"
    """Two name a class alike and have another effect, floor, seats, or budget of further attempts for it."""
    LANES = "lanes-differ"
    """An account is in lanes of other names; who has no lanes has everybody in one without a name."""
    WITNESSES = "witnesses-differ"
    """A class is paid in both, and other members or another count choose its witnesses: two majorities need
    not meet, and the viewer is charged twice. Where neither has witnesses there is nothing to differ."""


Key = tuple[str, tuple[str, ...], tuple[str, ...]]


class Example(msgspec.Struct, frozen=True, rename={"session_class": "class"}):
    """A request that shows it: of a viewer whose key has `account` before its first dot, at a gateway of
    `region`."""

    session_class: str
    title: str
    account: str
    region: str


class Conflict(msgspec.Struct, frozen=True):
    """What is wrong; two with one `key` are one conflict, whatever request shows it."""

    kind: str
    regions: tuple[str, ...]
    """First whose rule it is, or what is overcommitted; the others sorted. Between equals, all are sorted."""
    rules: tuple[str, ...]
    """Names of rules, sorted; of the class (`terms-differ`) or of lanes. An accept block has no name:
    `accept 1` is the first as `canonical` sorts them."""
    example: Example | None
    """None: nothing that can be asked shows it, as a rule that matches nothing at all."""

    @property
    def key(self) -> Key:
        return self.kind, self.regions, self.rules

    def told(self) -> str:
        """For a person, one line."""
        who = " ".join((", ".join(x or "(no region)" for x in self.regions), *self.rules))
        if self.example is None:
            return f"{self.kind}: {who}"
        x = self.example
        return (
            f"{self.kind}: {who}: as class {x.session_class}, title {x.title}, account {x.account}"
            f" in {x.region or '(no region)'} shows"
        )


def representatives(patterns: Iterable[str]) -> Iterator[str]:
    """One string of each set that these names and patterns part all strings into: each name; and for each
    prefix, the empty one too, what begins with it, with no longer one, and is no name.

    The last is never empty: only finitely many letters after the prefix are taken.
    """
    listed = set(patterns)
    names = {x for x in listed if not x.endswith("*")}
    stems = {x[:-1] for x in listed if x.endswith("*")} | {""}
    yield from sorted(names)
    for stem in sorted(stems):
        if stem and stem not in names:
            yield stem
        else:
            letters = chain("0x@", map(chr, count(0xA1)))
            yield next(y for x in letters if (y := stem + x) not in names and y not in stems)


class Masks:
    """Which of several lists of names and patterns hold a string: bit n for the n-th; an empty list holds all
    where it is `open`."""

    def __init__(self, lists: Sequence[Collection[str]], empty_is_any: bool = True) -> None:
        self._any = 0
        self._names: dict[str, int] = {}
        stems: dict[str, int] = {}
        for n, patterns in enumerate(lists):
            if not patterns and empty_is_any:
                self._any |= 1 << n
            for x in patterns:
                if x.endswith("*"):
                    stems[x[:-1]] = stems.get(x[:-1], 0) | 1 << n
                else:
                    self._names[x] = self._names.get(x, 0) | 1 << n
        self._any |= stems.pop("", 0)
        self._stems = stems
        self._lengths = sorted({len(x) for x in stems})

    def of(self, text: str) -> int:
        mask = self._any | self._names.get(text, 0)
        for length in self._lengths:
            if length > len(text):
                break
            mask |= self._stems.get(text[:length], 0)
        return mask


Group = tuple[int, int, str]
"""Titles that the same rules match on the same cells: masks of both, and one of the titles."""


class View:
    """A routing part with what is asked for again and again worked out once."""

    def __init__(self, routing: parts.Routing) -> None:
        self.routing = routing
        self.region = routing.named
        self.rules = sorted(routing.routes, key=lambda x: (x.order, x.name))
        self.classes = sorted(x.name for x in routing.classes)
        self.title_names = frozenset(x.name for x in routing.titles)
        self.cells = _mask(() if routing.region is None else routing.region.cells)
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
            for n in _bits(group[0]):
                self.groups_of[n].append(group)
        for held in self.accounts:
            for n in _bits(held[0]):
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
            self.routing, lanes=(), budget=(0.0, 0.0, 0.0), witnesses=0, members=(),
            classes=tuple(parts.Terms(name=x, effect="", floor=0, seats=0) for x in self.classes),
        )  # fmt: skip
        return kept.canonical

    def _row(self, home: int, holders: int) -> int:
        cells = max(1, self.routing.cells)
        return _mask((home + n) % cells for n in range(min(holders, cells)))

    def find(
        self, rules: tuple[int, ...], avoid: int, classes: Iterable[str], group: Group | None = None
    ) -> Example | None:
        """A request that these rules all match and none of `avoid` does; None: there is none. Titles of one
        group alone, if told."""
        need = _mask(rules)
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


def _mask(numbers: Iterable[int]) -> int:
    mask = 0
    for n in numbers:
        mask |= 1 << n
    return mask


def _bits(mask: int) -> Iterator[int]:
    while mask:
        low = mask & -mask
        yield low.bit_length() - 1
        mask ^= low


class Judge:
    """Judges mixes; keeps what it has worked out of each routing part and each pair of them, so that many
    mixes of the same parts cost little more than one."""

    def __init__(self) -> None:
        self._views: dict[bytes, View] = {}
        self._alone: dict[int, list[Conflict]] = {}
        self._refused: dict[tuple[int, int], list[Conflict]] = {}
        self._unserved: dict[tuple[int, tuple[tuple[str, tuple[int, ...]], ...]], list[Conflict]] = {}
        self._overspilled: dict[tuple[int, tuple[int, ...]], list[Conflict]] = {}
        self._lanes: dict[
            tuple[tuple[parts.Lane, ...], tuple[parts.Lane, ...]], list[tuple[str, str, str]]
        ] = {}

    def view(self, routing: parts.Routing) -> View:
        key = routing.canonical
        if key not in self._views:
            self._views[key] = View(routing)
        return self._views[key]

    def conflicts(self, routings: Iterable[parts.Routing]) -> list[Conflict]:
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

    def views(self, routings: Iterable[parts.Routing]) -> list[View]:
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

    def _moved(self, a: tuple[parts.Lane, ...], b: tuple[parts.Lane, ...]) -> list[tuple[str, str, str]]:
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


def each_once(conflicts: Iterable[Conflict]) -> list[Conflict]:
    """Each key once, with an example where there is one, sorted."""
    found: dict[Key, Conflict] = {}
    for conflict in conflicts:
        held = found.setdefault(conflict.key, conflict)
        if held.example is None and conflict.example is not None:
            found[conflict.key] = conflict
    return sorted(found.values(), key=lambda x: x.key)


def _lane(lanes: tuple[parts.Lane, ...], mask: int) -> str:
    """The first lane of those that hold an account; the last where none does."""
    if not lanes:
        return ""
    return lanes[_lowest(mask)].name


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
        self, steps: list[Step], views: list[View], title: str, accounts: list[str],
        masks: dict[int, int], known: set[tuple[frozenset[str], frozenset[str]]],
    ) -> Iterator[Conflict]:  # fmt: skip
        """Of rules that match one title and these accounts: those that decide, and still lead back."""
        seen: set[tuple[int, ...]] = set()
        for account in accounts:
            lowest = {id(x): _lowest(masks.get(id(x), 0) & x.account_masks.of(account)) for x in views}
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


def _lowest(mask: int) -> int:
    """The lowest bit's number; -1: none is set."""
    return (mask & -mask).bit_length() - 1


def conflicts(routings: Sequence[parts.Routing]) -> list[Conflict]:
    """All conflicts among routing parts that act together, each once, sorted by kind, regions and rules."""
    return Judge().conflicts(routings)


def told_alone(routing: parts.Routing) -> list[Conflict]:
    """What is wrong in one part, where nothing is known of other regions."""
    return each_once(Judge().view(routing).alone())

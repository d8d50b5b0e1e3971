"""Random mixes of regions' rules and random rollouts, small enough to be tried whole, and the trying."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import combinations, permutations, product
from typing import Any

import msgspec

from otterglade.core.fleet import routing as parts
from otterglade.core.fleet.conflict_kinds import Conflict
from otterglade.core.fleet.conflicts import conflicts
from otterglade.core.fleet.planner import plan
from otterglade.referee.routes import judge

CLASSES = ("film", "live", "pay")
LETTERS = [""] + ["".join(x) for n in (1, 2, 3) for x in product("ab", repeat=n)]
ACCOUNTS = sorted({x for x in LETTERS if x} | {x + "@" for x in LETTERS})
"""All accounts over two letters of up to three characters; and each with a letter after it that no pattern
has, for all the others: patterns here are no longer, so what they hold of these they hold of any."""
ACCOUNT_PATTERNS = ["*", *(x + end for x in LETTERS if x for end in ("", "*"))]
TITLES = ("t1", "t12", "t2", "u")
TITLE_PATTERNS = ("*", "t*", "t1*", "t1", "t12", "t2", "u", "u*", "gone")
REGIONS = ("a", "b", "c", "d")


def some(rng: random.Random, of: Any, most: int) -> tuple[Any, ...]:
    return tuple(rng.sample(list(of), rng.randint(0, min(most, len(of)))))


def small(rng: random.Random, regions: tuple[str, ...], region: str) -> parts.Routing:
    """A random routing part of a region, in a universe that can be tried whole."""
    classes = CLASSES[: rng.randint(2, 3)]
    open_minded = rng.random() < 0.4
    named = (*regions, "nobody") if rng.random() < 0.05 else regions
    lanes = ("gold", "silver")[: rng.randint(0, 2)]
    return parts.Routing(
        region=parts.Region(name=region, zones=(0,), cells=some(rng, range(6), 3)),
        routes=tuple(
            parts.Route(
                name=f"r{n}", order=rng.randint(1, 3), classes=some(rng, classes, 2),
                titles=some(rng, TITLE_PATTERNS, 2), accounts=some(rng, ACCOUNT_PATTERNS, 3),
                regions=some(rng, named, 3), spill=rng.choice((0.0, 0.2, 0.5)),
            ) for n in range(rng.randint(0, 5))
        ),
        accepts=(parts.Accept(share=0.9),) if open_minded else tuple(
            parts.Accept(
                regions=some(rng, regions, 2), classes=some(rng, classes, 1),
                share=rng.choice((0.0, 0.2, 0.5, 0.9)),
            ) for _ in range(rng.randint(0, 3))
        ),
        classes=tuple(
            parts.ClassTerms(
                name=x, effect="unsafe" if x == "pay" else "safe", floor=int(rng.random() < 0.05), seats=0
            ) for x in classes
        ),
        lanes=() if rng.random() < 0.5 else (
            *(parts.Lane(name=x, accounts=some(rng, ACCOUNT_PATTERNS[1:], 2) or ("a",)) for x in lanes),
            parts.Lane(name="rest"),
        ),
        titles=tuple(
            parts.TitlePlacement(name=x, home=rng.randint(0, 5), holders=rng.randint(1, 3))
            for x in TITLES[: rng.randint(3, 4)]
        ),
        cells=6, budget=(5.0, 3.0, 0.3 if rng.random() < 0.03 else 0.2),
        witnesses=rng.choice((0, 3, 3, 3)), members=("g1", "g2", "g3" if rng.random() < 0.9 else "g4"),
    )  # fmt: skip


def small_set(rng: random.Random) -> list[parts.Routing]:
    """A random mix: two to four regions, now and then two editions of one."""
    regions = REGIONS[: rng.randint(2, 4)]
    mix = [small(rng, regions, x) for x in regions]
    return [*mix, small(rng, regions, rng.choice(regions))] if rng.random() < 0.3 else mix


def shown(mix: list[parts.Routing], conflict: Conflict) -> bool:
    """Whether the example shows what it is said to, by the code that routes."""
    example = conflict.example
    if example is None:
        return conflict.kind in ("shadowed", "overcommitted")
    mine = [x for x in mix if x.region is not None and x.region.name == example.region]
    asked = example.session_class, example.title, example.account
    deciding = {y.name for x in mine for y in [parts.rule_for(x, *asked)] if y is not None}
    if conflict.kind == "overlap":
        return any(
            all(y.name not in conflict.rules or parts.route_matches(y, *asked) for y in x.routes)
            and set(conflict.rules) <= {y.name for y in x.routes}
            for x in mine
        )
    if conflict.kind == "shadowed":
        return any(
            y.name in conflict.rules and parts.route_matches(y, *asked) and parts.rule_for(x, *asked) != y
            for x in mine for y in x.routes
        )  # fmt: skip
    if conflict.kind == "lanes-differ":
        lanes = {_lane(x, example.account) for x in mix if x.region and x.region.name in conflict.regions}
        return set(conflict.rules) <= lanes
    if conflict.kind in ("terms-differ", "witnesses-differ"):
        return example.region in conflict.regions and bool(mine)
    if conflict.kind == "overcommitted" and conflict.rules[0].startswith("accept "):
        return example.region != conflict.regions[0]
    return bool(deciding & set(conflict.rules))


def _lane(part: parts.Routing, account: str) -> str:
    for lane in part.lanes:
        if parts.matches_any(lane.accounts, account):
            return lane.name
    return part.lanes[-1].name if part.lanes else ""


def difference(mix: list[parts.Routing]) -> tuple[str, Counter[str]]:
    """What the finder and the judge say differently of a mix; empty: nothing. And the kinds found."""
    found = conflicts(mix)
    keys = {x.key for x in found}
    wanted = judge([msgspec.to_builtins(x) for x in mix], ACCOUNTS)
    said = ""
    if keys != wanted or len(keys) != len(found):
        said = f"found alone {sorted(keys - wanted)}, missed {sorted(wanted - keys)}"
    for conflict in found:
        if not shown(mix, conflict):
            said = said or f"not shown: {conflict}"
    return said, Counter(x.kind for x in found)


def differs(seed: int) -> tuple[str, Counter[str]]:
    """Of the mix of a seed."""
    return difference(small_set(random.Random(seed)))


def rollout_differs(seed: int) -> tuple[str, Counter[str]]:
    """Of the rollout of a seed."""
    said, ended = plans_differ(random.Random(seed))
    return said, Counter([ended])


Fleet = dict[str, parts.Routing]
TERMS = tuple(
    parts.ClassTerms(name=x, effect=y, floor=0, seats=0)
    for x, y in zip(CLASSES, ("safe", "safe", "unsafe"), strict=True)
)


def _plain(rng: random.Random, regions: tuple[str, ...], region: str) -> parts.Routing:
    """A part with one rule a class at most, so that many mixes do not conflict."""
    first = region if rng.random() < 0.7 else rng.choice(regions)
    rest = [x for x in regions if x != first]
    return parts.Routing(
        region=parts.Region(name=region, zones=(0,), cells=(0,) if rng.random() < 0.6 else ()),
        routes=tuple(
            parts.Route(
                name=f"r{n}", order=n, classes=(x,), spill=rng.choice((0.0, 0.0, 0.3, 0.6)),
                regions=(first, *some(rng, rest, 2)),
            ) for n, x in enumerate(CLASSES[1:]) if rng.random() < 0.8
        ),
        accepts=tuple(
            parts.Accept(regions=some(rng, regions, len(regions)), share=rng.choice((0.5, 0.9)))
            for _ in range(rng.random() < 0.8)
        ),
        classes=TERMS, titles=(parts.TitlePlacement(name="t", home=rng.randint(0, 3), holders=3),), cells=4,
        budget=(5.0, 3.0, 0.2), witnesses=3, members=("g1", "g2", "g3"),
    )  # fmt: skip


def rollout(rng: random.Random) -> tuple[Fleet, Fleet, dict[str, list[parts.Routing]]]:
    """What stands, what is proposed, and what a region that is not heard may act on besides."""
    regions = REGIONS[: rng.randint(2, 4)]
    standing = {x: _plain(rng, regions, x) for x in regions}
    if rng.random() < 0.1:
        del standing[rng.choice(regions)]
    floor, proposed = rng.random() < 0.15, {}
    for x in regions:
        if rng.random() < 0.85:
            new, other = standing.get(x) or _plain(rng, regions, x), _plain(rng, regions, x)
            field = rng.choice(("accepts", "routes", "region"))
            new = msgspec.structs.replace(new, **{field: getattr(other, field)})
            if floor:
                raised = msgspec.structs.replace(TERMS[0], floor=1)
                new = msgspec.structs.replace(new, classes=(raised, *TERMS[1:]))
            proposed[x] = new
    unheard = rng.choice(regions)
    return standing, proposed, {unheard: [_plain(rng, regions, unheard)]} if rng.random() < 0.1 else {}


class Tried:
    """All orders of a rollout, each mix of them judged by the referee."""

    def __init__(self, standing: Fleet, proposed: Fleet, extra: Iterable[parts.Routing]) -> None:
        self.standing, self.proposed, self.extra = standing, proposed, list(extra)
        self.names = sorted(
            x for x, y in proposed.items() if x not in standing or standing[x].canonical != y.canonical
        )
        self.known = self._judged([*standing.values(), *self.extra])
        self.good: dict[tuple[frozenset[str], str], bool] = {}

    @staticmethod
    def _judged(mix: list[parts.Routing]) -> set[Any]:
        return set(judge([msgspec.to_builtins(x) for x in {y.canonical: y for y in mix}.values()]))

    def is_good(self, changed: Iterable[str], changing: str = "") -> bool:
        key = frozenset(changed), changing
        if key not in self.good:
            mix = [y for x, y in self.standing.items() if x not in key[0] or x not in self.names]
            mix += [self.proposed[x] for x in self.names if x in key[0] or x == changing]
            self.good[key] = self._judged([*mix, *self.extra]) <= self.known
        return self.good[key]

    def order(self) -> tuple[str, ...] | None:
        """The first by name of all that are good."""
        for order in permutations(self.names):
            if all(self.is_good(order[:n], x) and self.is_good(order[: n + 1]) for n, x in enumerate(order)):
                return order
        return None

    def at_once(self) -> int | None:
        """How many regions at least have to change at one instant; None: not even all at once will do."""
        costs = list(self._costs((), 0)) if self.is_good(self.names) else []
        return min(costs, default=None)

    def _costs(self, changed: tuple[str, ...], cost: int) -> Iterator[int]:
        left = [x for x in self.names if x not in changed]
        if not left:
            yield cost
        for size in range(1, len(left) + 1):
            for group in combinations(left, size):
                after = (*changed, *group)
                if self.is_good(after):
                    alone = size == 1 and self.is_good(changed, group[0])
                    yield from self._costs(after, cost if alone else cost + size)


def plans_differ(rng: random.Random) -> tuple[str, str]:
    """What the planner and the trying say differently of a rollout; empty: nothing. And how it ended."""
    standing, proposed, may = rollout(rng)
    got = plan(standing, proposed, may)
    tried = Tried(standing, proposed, [y for x in may.values() for y in x])
    order = tried.order()
    least = 0 if order is not None else tried.at_once()
    ended = "ordered" if order is not None else "at one instant" if least else "never"
    said = ""
    if got.order != order or len(got.together) != (least or 0) or not got.settled:
        said = f"planned {got}; tried: order {order}, at one instant {least}"
    if order is None and not got.conflicts:
        said = said or f"no reason told: {got}"
    return said, ended

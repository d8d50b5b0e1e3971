"""Whether editions of regions' rules that acted at one instant conflict: judged by trying every request.

Works on the routing parts as plain values, as a script's blocks give them and a lab writes them to JSON, and
knows nothing of the sets and masks by which the product decides the same; the definitions are those of
`docs/design-routes.md`, word for word. It is slow on purpose: every class, every title and every account of a
list are tried in every region.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

Part = Mapping[str, Any]
"""A routing part: region, routes, accepts, classes, lanes, titles, cells, budget, witnesses, members."""
Finding = tuple[str, tuple[str, ...], tuple[str, ...]]
"""Kind, regions, rules."""
Request = tuple[str, str, str]
"""Class, title, account."""


def accounts_of(scripts: Iterable[Part]) -> list[str]:
    """Accounts among which all patterns of these scripts show what they hold: each name and each stem, each
    with one letter after it that no pattern can have."""
    found = {"@"}
    for script in scripts:
        for block in (*script["routes"], *script["lanes"]):
            for pattern in block["accounts"]:
                stem = pattern.rstrip("*")
                found |= {stem, stem + "@"} if stem else set()
    return sorted(found)


def judge(scripts: Sequence[Part], accounts: Sequence[str] | None = None) -> set[Finding]:
    """All conflicts among scripts that act together; several may be of one region."""
    return _Court(scripts, accounts_of(scripts) if accounts is None else accounts).all()


def conflicting(one: Part, other: Part) -> set[Finding]:
    """What two editions that act at one instant bring about that neither has alone."""
    return judge([one, other]) - judge([one]) - judge([other])


def _holds(patterns: Sequence[str], text: str) -> bool:
    if not patterns:
        return True
    return any(text == x or (x[-1] == "*" and text[: len(x) - 1] == x[:-1]) for x in patterns)


def _region(script: Part) -> str:
    return str(script["region"]["name"]) if script["region"] else ""


class _Court:
    def __init__(self, scripts: Sequence[Part], accounts: Sequence[str]) -> None:
        self.scripts, self.accounts = scripts, accounts
        self.asked = [list(self.requests(x)) for x in scripts]
        self.rules = [[(x, self.matching(y, x)) for x in z] for y, z in zip(scripts, self.asked, strict=True)]

    def all(self) -> set[Finding]:
        found: set[Finding] = set()
        for script in self.scripts:
            found |= self.alone(script) | self.refused(script) | self.unserved(script)
        for target in self.scripts:
            found |= self.overspilled(target)
        for one, other in itertools.combinations(self.scripts, 2):
            found |= self.disagreed(one, other)
        return found | self.cycles()

    def requests(self, script: Part) -> Iterable[Request]:
        classes = sorted(x["name"] for x in script["classes"])
        return itertools.product(classes, sorted(x["name"] for x in script["titles"]), self.accounts)

    @staticmethod
    def matching(script: Part, request: Request) -> list[Part]:
        """The rules that match, the one that decides first."""
        name, title, account = request
        found = [
            x for x in script["routes"]
            if (not x["classes"] or name in x["classes"])
            and _holds(x["titles"], title) and _holds(x["accounts"], account)
        ]  # fmt: skip
        return sorted(found, key=lambda x: (x["order"], x["name"]))

    def all_rules(self, script: Part) -> list[tuple[Request, list[Part]]]:
        """Each request with the rules that match it, the one that decides first."""
        return self.rules[next(n for n, x in enumerate(self.scripts) if x is script)]

    def decided(self, script: Part) -> Iterable[tuple[Request, Part]]:
        """Each request with the rule that decides on it."""
        return ((request, rules[0]) for request, rules in self.all_rules(script) if rules)

    @staticmethod
    def takes(script: Part, region: str, name: str) -> frozenset[int]:
        """The accept blocks of a script that take a class from a region."""
        return frozenset(
            n for n, x in enumerate(script["accepts"])
            if x["share"] > 0 and region in (x["regions"] or [region]) and name in (x["classes"] or [name])
        )  # fmt: skip

    def acting(self, region: str) -> list[Part]:
        return [x for x in self.scripts if _region(x) == region]

    def alone(self, script: Part) -> set[Finding]:
        region = (_region(script),)
        found: set[Finding] = set()
        deciding: set[str] = set()
        for _, rules in self.all_rules(script):
            deciding |= {x["name"] for x in rules[:1]}
            for one, other in itertools.combinations(rules, 2):
                if one["order"] == other["order"] and list(one["regions"]) != list(other["regions"]):
                    found.add(("overlap", region, tuple(sorted((one["name"], other["name"])))))
        for rule in script["routes"]:
            if rule["name"] not in deciding:
                found.add(("shadowed", region, (rule["name"],)))
        if sum(x["share"] for x in script["accepts"]) > 1 + 1e-9:
            blocks = sorted(
                (sorted(x["regions"]), sorted(x["classes"]), x["share"]) for x in script["accepts"]
            )
            names = tuple(f"accept {n}" for n, x in enumerate(blocks, 1) if x[2] > 0)
            found.add(("overcommitted", region, names))
        return found

    def refused(self, script: Part) -> set[Finding]:
        mine = _region(script)
        found: set[Finding] = set()
        for (name, _, _), rule in self.decided(script):
            may = list(rule["regions"]) if rule["spill"] > 0 else list(rule["regions"][:1])
            for target in may:
                there = self.acting(target)
                if target != mine and (not there or any(not self.takes(x, mine, name) for x in there)):
                    found.add(("refused-there", (mine, target), (rule["name"],)))
        return found

    def unserved(self, script: Part) -> set[Finding]:
        mine = _region(script)
        found: set[Finding] = set()
        places = {x["name"]: x for x in script["titles"]}
        for (_, title, _), rule in self.decided(script):
            place, cells = places[title], max(1, script["cells"])
            holders = {(place["home"] + n) % cells for n in range(min(place["holders"], cells))}
            outside = [
                any(x["region"]["cells"] and not holders & set(x["region"]["cells"]) for x in self.acting(y))
                for y in rule["regions"]
            ]
            if outside and all(outside):
                others = tuple(sorted(set(rule["regions"]) - {mine}))
                found.add(("unserved", (mine, *others), (rule["name"],)))
        return found

    def overspilled(self, there: Part) -> set[Finding]:
        target = _region(there)
        found: set[Finding] = set()
        for name in {x["name"] for y in self.scripts for x in y["classes"]}:
            most: dict[str, tuple[float, str]] = {}
            for script in self.scripts:
                mine = _region(script)
                if mine == target or not self.takes(there, mine, name):
                    continue
                for request, rule in self.decided(script):
                    if request[0] == name and target in list(rule["regions"])[1:] and rule["spill"] > 0:
                        this = (-rule["spill"], rule["name"])
                        most[mine] = min(most.get(mine, this), this)
            opened = {x: self.takes(there, x, name) for x in most}
            for blocks in {*opened.values(), frozenset(itertools.chain(*opened.values()))}:
                within = sorted(x for x in most if opened[x] <= blocks)
                room = min(1.0, sum(there["accepts"][n]["share"] for n in blocks))
                if -sum(most[x][0] for x in within) > room + 1e-9:
                    rules = tuple(sorted({most[x][1] for x in within}))
                    found.add(("overcommitted", (target, *within), rules))
        return found

    def disagreed(self, one: Part, other: Part) -> set[Finding]:
        regions = tuple(sorted({_region(one), _region(other)}))
        found: set[Finding] = set()
        theirs = {x["name"]: x for x in other["classes"]}
        same_budget = list(one["budget"]) == list(other["budget"])
        for terms in one["classes"]:
            if terms["name"] in theirs and (theirs[terms["name"]] != terms or not same_budget):
                found.add(("terms-differ", regions, (terms["name"],)))
        for account in self.accounts:
            lanes = {self.lane(one, account), self.lane(other, account)}
            if len(lanes) > 1:
                found.add(("lanes-differ", regions, tuple(sorted(lanes - {""}))))
        paid = [x["name"] for x in one["classes"] if x["effect"] != "safe"]
        chosen = [(x["witnesses"], sorted(x["members"]) if x["witnesses"] else []) for x in (one, other)]
        if chosen[0] != chosen[1] and any(
            theirs.get(x, {"effect": "safe"})["effect"] != "safe" for x in paid
        ):
            found.add(("witnesses-differ", regions, ()))
        return found

    @staticmethod
    def lane(script: Part, account: str) -> str:
        for lane in script["lanes"]:
            if lane["accounts"] and _holds(lane["accounts"], account):
                return str(lane["name"])
        return str(script["lanes"][-1]["name"]) if script["lanes"] else ""

    def cycles(self) -> set[Finding]:
        steps: dict[tuple[str, str, str], list[tuple[str, str, str]]] = {}
        for script in self.scripts:
            mine = _region(script)
            for request, rule in self.decided(script):
                for target in list(rule["regions"])[1:] if rule["spill"] > 0 else []:
                    if target == mine or any(self.takes(x, mine, request[0]) for x in self.acting(target)):
                        steps.setdefault(request, []).append((rule["regions"][0], target, rule["name"]))
        found: set[Finding] = set()
        for together in {tuple(x) for x in steps.values()}:
            for start in {x[0] for x in together}:
                members = {x for x in self.reached(together, start) if start in self.reached(together, x)}
                if len(members) > 1:
                    rules = {x[2] for x in together if x[0] in members and x[1] in members}
                    found.add(("cycle", tuple(sorted(members)), tuple(sorted(rules))))
        return found

    @staticmethod
    def reached(steps: Iterable[tuple[str, str, str]], start: str) -> set[str]:
        """Where steps lead from somewhere, in one and more."""
        found: set[str] = set()
        front = {start}
        while front:
            front = {to for at, to, _ in steps if at in front} - found
            found |= front
        return found

"""The routing part of a script, as a gateway acts on it: regions, rules, and what they are judged by.

Plain values, the same for all gateways of a region. Two scripts mean the same where their canonical bytes are
the same, whatever their spaces and the order of their blocks; the digest of these is the *edition* that a
gateway acts on.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from functools import cached_property
from typing import TypeVar

import msgspec

DIGEST_BYTES = 8
P = TypeVar("P", bound="Part")


class Part(msgspec.Struct, frozen=True, kw_only=True, dict=True):
    """A value of the routing part; `dict`: what is worked out of it once is kept beside it."""


class Region(Part, frozen=True):
    """Whose gateway this is."""

    name: str
    zones: tuple[int, ...]
    """Of the list of hosts: those that are the region's own."""
    cells: tuple[int, ...] = ()
    """That lie there; empty: not told, and what is unserved shows in service only."""


class Route(Part, frozen=True):
    """A rule: which regions' hosts a session may go to. The lowest order that matches decides."""

    name: str
    order: int
    classes: tuple[str, ...] = ()
    titles: tuple[str, ...] = ()
    """Names, or patterns with one `*` at the end; so are accounts. Empty: any."""
    accounts: tuple[str, ...] = ()
    regions: tuple[str, ...] = ()
    """In order of preference; empty: any."""
    spill: float = 0.0
    """Largest share of the rule's sessions that may go beyond the first region."""

    @property
    def reach(self) -> tuple[str, ...]:
        """The regions that a session may go to; empty: any that accepts it."""
        return self.regions if self.spill > 0 else self.regions[:1]


class Accept(Part, frozen=True):
    """What this region's hosts take from others."""

    regions: tuple[str, ...] = ()
    classes: tuple[str, ...] = ()
    share: float = 1.0
    """Of its room, at most."""


class Terms(Part, frozen=True):
    """Of a class: what all must agree on."""

    name: str
    effect: str
    floor: int
    seats: int


class Lane(Part, frozen=True):
    """A priority block; its place among the others is its precedence."""

    name: str
    accounts: tuple[str, ...] = ()
    reserve: float = 0.0
    least: float = 0.0
    most_per_account: int = 0
    """0: no bound."""


class Placed(Part, frozen=True):
    """A title, on `holders` cells in a row from `home`."""

    name: str
    home: int
    holders: int


class Routing(Part, frozen=True):
    """The whole of it."""

    region: Region | None = None
    """None: no region block; routes and accepts are empty then."""
    routes: tuple[Route, ...] = ()
    accepts: tuple[Accept, ...] = ()
    classes: tuple[Terms, ...] = ()
    lanes: tuple[Lane, ...] = ()
    """In order of precedence: of this alone the order of blocks counts."""
    titles: tuple[Placed, ...] = ()
    cells: int = 0
    budget: tuple[float, float, float] = (0.0, 0.0, 0.0)
    """Window, free, share of further attempts."""
    witnesses: int = 0
    members: tuple[str, ...] = ()
    """Names of the gateways among which witnesses are drawn."""

    @property
    def named(self) -> str:
        """The region's name; empty: none."""
        return "" if self.region is None else self.region.name

    @cached_property
    def paid(self) -> frozenset[str]:
        """Classes of which a set-up twice may be charged twice."""
        return frozenset(x.name for x in self.classes if x.effect != "safe")

    @cached_property
    def witnessing(self) -> tuple[int, frozenset[str]]:
        """What chooses a session's witnesses; with none of them the members make no difference."""
        return self.witnesses, frozenset(self.members) if self.witnesses else frozenset()

    @cached_property
    def agreed(self) -> tuple[object, ...]:
        """What all regions must agree on: the same, and there is nothing to compare."""
        return frozenset(self.classes), self.budget, self.lanes, self.witnessing

    @cached_property
    def canonical(self) -> bytes:
        """The same for all scripts that mean the same."""
        flat = msgspec.structs.replace(
            self,
            region=None if self.region is None else _sorted(self.region, "zones", "cells"),
            routes=tuple(
                sorted(
                    (_sorted(x, "classes", "titles", "accounts") for x in self.routes),
                    key=lambda x: (x.order, x.name),
                )
            ),
            accepts=tuple(
                sorted(
                    (_sorted(x, "regions", "classes") for x in self.accepts),
                    key=lambda x: (x.regions, x.classes, x.share),
                )
            ),
            classes=tuple(sorted(self.classes, key=lambda x: x.name)),
            lanes=tuple(_sorted(x, "accounts") for x in self.lanes),
            titles=tuple(sorted(self.titles, key=lambda x: x.name)),
            members=tuple(sorted(self.members)),
        )
        return msgspec.msgpack.encode(flat, order="deterministic")

    @cached_property
    def digest(self) -> str:
        """Of the canonical bytes, 16 hexadecimal digits."""
        return hashlib.blake2b(self.canonical, digest_size=DIGEST_BYTES, person=b"otter-routing").hexdigest()


def _sorted(part: P, *fields: str) -> P:
    """The value with these fields, whose order means nothing, in order and without repetition."""
    return msgspec.structs.replace(part, **{x: tuple(sorted(set(getattr(part, x)))) for x in fields})


class RoutingError(ValueError):
    """Bytes that are no routing part of this program."""


def decode(data: bytes) -> Routing:
    """A routing part from its canonical bytes. Raises RoutingError."""
    try:
        return msgspec.msgpack.decode(data, type=Routing)
    except msgspec.MsgspecError as error:
        raise RoutingError(f"routing part: {error}") from error


def account_of(viewer: str) -> str:
    """The account of a viewer's key: what stands before its first dot."""
    return viewer.partition(".")[0]


def matches(patterns: Iterable[str], text: str) -> bool:
    """Whether a name matches one of these names and patterns."""
    return any(text.startswith(x[:-1]) if x.endswith("*") else x == text for x in patterns)


def decides(route: Route, session_class: str, title: str, account: str) -> bool:
    """Whether a rule matches a request."""
    return (
        (not route.classes or session_class in route.classes)
        and (not route.titles or matches(route.titles, title))
        and (not route.accounts or matches(route.accounts, account))
    )


def rule_for(routing: Routing, session_class: str, title: str, account: str) -> Route | None:
    """The rule that decides on a request; None: none does, and every region may serve it as without rules.

    Of equal orders the name decides, so that a set of rules with an overlap still acts alike everywhere.
    """
    found = [x for x in routing.routes if decides(x, session_class, title, account)]
    return min(found, key=lambda x: (x.order, x.name), default=None)

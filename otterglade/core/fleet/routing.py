"""The routing section of a script, as a gateway applies it: regions, rules, and what conflict checks need.

Plain values, the same for all gateways of a region. Two scripts have the same meaning if their canonical
bytes are equal, whatever their white space and the order of their blocks. The digest of these bytes
identifies the *edition* that a gateway applies.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from functools import cached_property
from typing import TypeVar

import msgspec

DIGEST_BYTES = 8
RoutingValueT = TypeVar("RoutingValueT", bound="RoutingValue")


class RoutingValue(msgspec.Struct, frozen=True, kw_only=True, dict=True):
    """A value of the routing section; `dict=True` lets instances cache derived properties.

    Field names are part of the canonical bytes, of JSON output and of run records: do not rename them.
    """


class Region(RoutingValue, frozen=True):
    """The region of the gateway."""

    name: str
    zones: tuple[int, ...]
    """The region's own zones in the host list."""
    cells: tuple[int, ...] = ()
    """Cells in the region; empty if not declared: unserved titles are then found only in operation."""


class Route(RoutingValue, frozen=True):
    """A rule: the regions whose hosts a session may use. The matching rule of the lowest order decides."""

    name: str
    order: int
    classes: tuple[str, ...] = ()
    titles: tuple[str, ...] = ()
    """Names, or patterns with one `*` at the end, as in `accounts`; empty: any."""
    accounts: tuple[str, ...] = ()
    regions: tuple[str, ...] = ()
    """In order of preference; empty: any."""
    spill: float = 0.0
    """Largest share of the rule's sessions that may go beyond the first region, 0 to 1."""

    @property
    def reachable_regions(self) -> tuple[str, ...]:
        """The regions that a session may go to; empty: any that accepts it."""
        return self.regions if self.spill > 0 else self.regions[:1]


class Accept(RoutingValue, frozen=True):
    """The sessions that this region's hosts take from other regions."""

    regions: tuple[str, ...] = ()
    classes: tuple[str, ...] = ()
    share: float = 1.0
    """Largest share of the region's capacity, 0 to 1."""


class ClassTerms(RoutingValue, frozen=True):
    """The properties of a class that all regions must agree on."""

    name: str
    effect: str
    floor: int
    seats: int


class Lane(RoutingValue, frozen=True):
    """A priority block; its position among the others is its precedence."""

    name: str
    accounts: tuple[str, ...] = ()
    reserve: float = 0.0
    least: float = 0.0
    most_per_account: int = 0
    """0: no limit."""


class TitlePlacement(RoutingValue, frozen=True):
    """A title, on `holders` consecutive cells from cell `home`."""

    name: str
    home: int
    holders: int


class Routing(RoutingValue, frozen=True):
    """The whole routing section of a script."""

    region: Region | None = None
    """None: no region block; routes and accepts are empty then."""
    routes: tuple[Route, ...] = ()
    accepts: tuple[Accept, ...] = ()
    classes: tuple[ClassTerms, ...] = ()
    lanes: tuple[Lane, ...] = ()
    """In order of precedence; the only field in which the order of blocks matters."""
    titles: tuple[TitlePlacement, ...] = ()
    cells: int = 0
    budget: tuple[float, float, float] = (0.0, 0.0, 0.0)
    """Retry budget: window in seconds, free attempts, share."""
    witnesses: int = 0
    members: tuple[str, ...] = ()
    """Names of the gateways among which witnesses are drawn."""

    @property
    def region_name(self) -> str:
        """The region's name; empty if there is none."""
        return "" if self.region is None else self.region.name

    @cached_property
    def paid_classes(self) -> frozenset[str]:
        """Names of the classes in which a repeated set-up may be charged twice."""
        return frozenset(x.name for x in self.classes if x.effect != "safe")

    @cached_property
    def witness_selection(self) -> tuple[int, frozenset[str]]:
        """What selects a session's witnesses: their number and the members; no members if the number is 0."""
        return self.witnesses, frozenset(self.members) if self.witnesses else frozenset()

    @cached_property
    def fleet_wide_terms(self) -> tuple[object, ...]:
        """What all regions must agree on; if equal, two routing sections need no further comparison."""
        return frozenset(self.classes), self.budget, self.lanes, self.witness_selection

    @cached_property
    def canonical(self) -> bytes:
        """MessagePack bytes, the same for all scripts with the same meaning."""
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
        """Hash of the canonical bytes, as 16 hexadecimal digits."""
        return hashlib.blake2b(self.canonical, digest_size=DIGEST_BYTES, person=b"otter-routing").hexdigest()


def _sorted(value: RoutingValueT, *fields: str) -> RoutingValueT:
    """Return the value with these fields, whose order has no meaning, sorted and without duplicates."""
    return msgspec.structs.replace(value, **{x: tuple(sorted(set(getattr(value, x)))) for x in fields})


class RoutingError(ValueError):
    """Bytes that do not encode a routing section."""


def decode_routing(data: bytes) -> Routing:
    """Decode a routing section from its canonical bytes. Raises RoutingError if they are malformed."""
    try:
        return msgspec.msgpack.decode(data, type=Routing)
    except msgspec.MsgspecError as error:
        raise RoutingError(f"routing section: {error}") from error


def account_of(viewer: str) -> str:
    """Return the account of a viewer's key: the text before its first dot."""
    return viewer.partition(".")[0]


def matches_any(patterns: Iterable[str], text: str) -> bool:
    """Return whether a string matches one of these names and patterns."""
    return any(text.startswith(x[:-1]) if x.endswith("*") else x == text for x in patterns)


def route_matches(route: Route, session_class: str, title: str, account: str) -> bool:
    """Return whether a rule matches a request."""
    return (
        (not route.classes or session_class in route.classes)
        and (not route.titles or matches_any(route.titles, title))
        and (not route.accounts or matches_any(route.accounts, account))
    )


def rule_for(routing: Routing, session_class: str, title: str, account: str) -> Route | None:
    """Return the rule that decides on a request; None if no rule matches: any region may then serve it.

    Ties in order are broken by name, so that overlapping rules decide alike at all gateways.
    """
    found = [x for x in routing.routes if route_matches(x, session_class, title, account)]
    return min(found, key=lambda x: (x.order, x.name), default=None)

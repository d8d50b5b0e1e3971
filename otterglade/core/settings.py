"""Reads a site's `Settings` from the `path=value` pairs of a start message or from a JSON configuration.

Both forms give equal `Settings` for the same values. Values that are present are checked strictly, since a
gateway with values that cannot be right would break its rules; each error begins with the path of its field.
A value that is absent gets its neutral default.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterable
from typing import Any

from . import interface as api

MS_PER_SECOND = 1000.0
MAX_DURATION_MS = 2.0**32
"""Longest time that is accepted: seven weeks, as for deadlines of requests."""
MAX_NUMBER = 1e12
"""Largest value of any other number: far over what links and fleets have, and its square is still finite."""
MAX_CELLS = 10_000
"""Most cells of a site: placing a request iterates over the cells of its title, which may be all of them."""
EFFECTS = {"idempotent": api.Effect.SAFE, "deduplicated": api.Effect.KEYED, "at_most_once": api.Effect.UNSAFE}
REPORT_MODES = ("piggyback", "pull", "silent")
FLAGS = {"1": True, "true": True, "0": False, "false": False}


def flag(text: str) -> bool:
    """Parse a flag of the wire leniently: any text that is not a known flag is False."""
    return FLAGS.get(text, False)


class PathValues:
    """Settings as `path=value` pairs, such as those of a start message. Parts without `=` are ignored."""

    def __init__(self, text: Iterable[str]) -> None:
        self.values = dict(part.split("=", 1) for part in text if "=" in part)

    # Access to values, overridden for JSON

    def get(self, path: str) -> Any:
        """The raw value at a path; None if it is absent or empty. JSON: raises ValueError below a scalar."""
        value = self.values.get(path, "")
        return None if value in ("", "-") else value

    def list_at(self, path: str) -> list[Any]:
        """The raw values of a list; empty if it is absent. JSON: raises ValueError if it is not a list."""
        value = self.get(path)
        return [] if value is None else value.split(",")

    def count(self, path: str) -> int:
        """Number of objects in a list. JSON: raises ValueError if an item is not an object."""
        return self.integer(f"{path}.count", 0)

    @staticmethod
    def parse_number(value: Any) -> float:
        """Convert a raw value. Raises ValueError, TypeError or OverflowError if it is not a number."""
        return float(value)

    @staticmethod
    def parse_flag(value: Any) -> bool | None:
        """Convert a raw value; None if it is not a flag."""
        return FLAGS.get(value)

    # Typed access; these methods raise ValueError if the value is of another type or out of range

    def _checked_number(self, path: str, value: Any, minimum: float, maximum: float) -> float:
        try:
            number = self.parse_number(value)
        except (ValueError, TypeError, OverflowError):
            number = math.nan
        if not minimum <= number <= maximum:
            raise ValueError(f"{path}: {str(value)[:40]!r} is not a number from {minimum:g} to {maximum:g}")
        return number

    def number(
        self, path: str, default: float = 0.0, minimum: float = 0.0, maximum: float = MAX_NUMBER
    ) -> float:
        """A number from `minimum` to `maximum`; `default` if it is absent."""
        value = self.get(path)
        return default if value is None else self._checked_number(path, value, minimum, maximum)

    def seconds(self, path: str, minimum: float = 0.0) -> float:
        """A time in seconds, given in milliseconds; `minimum` is in milliseconds too. Absent means 0."""
        return self.number(path, 0.0, minimum, MAX_DURATION_MS) / MS_PER_SECOND

    def integer(self, path: str, default: int, minimum: float = 0.0, maximum: float = MAX_NUMBER) -> int:
        """An integer from `minimum` to `maximum`; `default` if it is absent."""
        return self._as_integer(path, self.number(path, default, minimum, maximum))

    @staticmethod
    def _as_integer(path: str, number: float) -> int:
        if number != int(number):
            raise ValueError(f"{path}: {number!r} is not an integer")
        return int(number)

    def flag(self, path: str, default: bool = False) -> bool:
        """A boolean; `default` if it is absent."""
        value = self.get(path)
        return default if value is None else self._flag(path, value)

    def _flag(self, path: str, value: Any) -> bool:
        found = self.parse_flag(value)
        if found is None:
            raise ValueError(f"{path}: {str(value)[:40]!r} is not a boolean")
        return found

    def choice(self, path: str, default: str, known: Container[str]) -> str:
        """One of the known words; `default` if it is absent."""
        value = self.get(path)
        if value is None:
            return default
        if not isinstance(value, str) or value not in known:
            raise ValueError(f"{path}: {str(value)[:40]!r} is not one of the accepted words")
        return value

    def text(self, path: str) -> str:
        """A string; empty if it is absent."""
        value = self.get(path)
        if value is not None and not isinstance(value, str):
            raise ValueError(f"{path}: expected a string")
        return value or ""

    def numbers(self, path: str, minimum: float = 0.0, maximum: float = MAX_NUMBER) -> list[float]:
        """A list of numbers, each from `minimum` to `maximum`; empty if it is absent."""
        return [self._checked_number(path, x, minimum, maximum) for x in self.list_at(path)]

    def per_class(self, path: str, count: int) -> list[Any]:
        """The raw values of a list with one item for each class, or an empty list."""
        values = self.list_at(path)
        if values and len(values) != count:
            raise ValueError(f"{path}: {len(values)} values for {count} classes")
        return values

    def number_of_class(
        self,
        path: str,
        values: list[Any],
        i: int,
        default: float,
        minimum: float = 0.0,
        maximum: float = MAX_NUMBER,
    ) -> float:
        """Item `i` of such a list as a number; `default` if the list is empty."""
        return self._checked_number(path, values[i], minimum, maximum) if values else default

    def integer_of_class(
        self,
        path: str,
        values: list[Any],
        i: int,
        default: int,
        minimum: float = 0.0,
        maximum: float = MAX_NUMBER,
    ) -> int:
        """Item `i` of a list for each class as an integer; `default` if the list is empty."""
        return self._as_integer(path, self.number_of_class(path, values, i, default, minimum, maximum))

    def flag_of_class(self, path: str, values: list[Any], i: int) -> bool:
        """Item `i` of a list for each class as a boolean; False if the list is empty."""
        return self._flag(path, values[i]) if values else False


class JsonValues(PathValues):
    """Settings from JSON, whose values have types: neither a quoted number nor `true` is a number."""

    def __init__(self, value: dict[str, Any]) -> None:
        self.tree = value

    def get(self, path: str) -> Any:
        """The decoded value at a path; None if it is absent or null. Raises ValueError below a scalar."""
        node: Any = self.tree
        parent = ""
        for name in path.split("."):
            if isinstance(node, list) and name.isdigit():
                node = node[int(name)]
            elif isinstance(node, dict):
                node = node.get(name)
            elif node is None:
                return None
            else:
                raise ValueError(f"{parent}: expected an object")
            parent = f"{parent}.{name}" if parent else name
        return node

    def list_at(self, path: str) -> list[Any]:
        """The items of an array; empty if it is absent or null. Raises ValueError if it is not an array."""
        value = self.get(path)
        if value is not None and not isinstance(value, list):
            raise ValueError(f"{path}: expected a list")
        return value or []

    def count(self, path: str) -> int:
        """Length of an array of objects; 0 if it is absent. Raises ValueError if an item is not an object."""
        values = self.list_at(path)
        for index, value in enumerate(values):
            if not isinstance(value, dict):
                raise ValueError(f"{path}.{index}: expected an object")
        return len(values)

    @staticmethod
    def parse_number(value: Any) -> float:
        """Accept an int or float only. Raises TypeError for other types, OverflowError past float range."""
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise TypeError("not a number")
        return float(value)

    @staticmethod
    def parse_flag(value: Any) -> bool | None:
        """Accept `true` and `false` only; None for any other value, 0 and 1 included."""
        return value if isinstance(value, bool) else None


def _ladder(values: PathValues) -> tuple[float, ...]:
    path = "family_info.ladder_kb"
    ladder = values.numbers(path, minimum=1e-3)
    if ladder != sorted(ladder):
        raise ValueError(f"{path}: rates must not decrease")
    return tuple(ladder)


def _ladder_worths(values: PathValues, rungs: int) -> tuple[float, ...]:
    path = "family_info.ladder_worth"
    worths = values.numbers(path)
    if len(worths) != rungs:
        raise ValueError(f"{path}: {len(worths)} values for {rungs} rungs")
    return tuple(worths)


def _classes(values: PathValues, rungs: int) -> tuple[api.SessionClass, ...]:
    info, count, found = "family_info.", values.count("classes"), []
    scale, floor, top = info + "class_scale", info + "lowest_rung", info + "top_by_class"
    seats, live = info + "seats", info + "class_live"
    scales, floors, tops, all_seats, lives = (
        values.per_class(x, count) for x in (scale, floor, top, seats, live)
    )
    last = max(0, rungs - 1)
    for i in range(count):
        prefix = f"classes.{i}."
        lowest = values.integer_of_class(floor, floors, i, 0, 0, last)
        found.append(
            api.SessionClass(
                goal=values.seconds(prefix + "goal_time", minimum=1.0),
                worth=values.number(prefix + "points", 1.0),
                effect=EFFECTS[values.choice(prefix + "idempotency", "idempotent", EFFECTS)],
                scale=values.number_of_class(scale, scales, i, 1.0, minimum=1e-3),
                floor=lowest,
                top=values.integer_of_class(top, tops, i, last, lowest, last),
                seats=values.integer_of_class(seats, all_seats, i, 0),
                live=values.flag_of_class(live, lives, i),
                group=api.Group(values.choice(prefix + "group", "all", {x.value for x in api.Group})),
                dedup_window=values.seconds(prefix + "dedup_window"),
            )
        )
    return tuple(found)


def _streams(values: PathValues) -> tuple[int, ...]:
    path = "family_info.kind_slots"
    streams, kinds = values.numbers(path, minimum=1.0), values.list_at("shapes")
    if streams and len(streams) < len(kinds):
        raise ValueError(f"{path}: {len(streams)} values for {len(kinds)} kinds")
    return tuple(int(x) for x in streams)


def read_settings(values: PathValues) -> api.Settings:
    """Read the settings that the controller uses; others are ignored. Raises ValueError."""
    info = "family_info."
    ladder = _ladder(values)
    return api.Settings(
        gateways=values.integer("n_instances", 1, minimum=1.0),
        zone=values.integer("zone", 0),
        classes=_classes(values, len(ladder)),
        tenants=tuple(
            api.Tenant(values.number(f"tenants.{i}.quota_per_s"), values.text(f"tenants.{i}.name"))
            for i in range(values.count("tenants"))
        ),
        over_share_worth=values.number("over_share_worth", 1.0),
        ladder=ladder,
        ladder_worth=_ladder_worths(values, len(ladder)),
        cells=values.integer(info + "cells", 1, 1.0, MAX_CELLS),
        racks=values.integer(info + "shelves", 1, 1.0),
        rack_link=values.number(info + "rack_link_kb"),
        link_per_weight=values.number(info + "weight_kb"),
        streams=_streams(values),
        refuses_from=values.number(info + "refuses_from"),
        shared_adds=values.number(info + "shared_adds", 1.0, maximum=1.0),
        note_delay=values.seconds(info + "see"),
        note_interval=values.seconds(info + "reports_every"),
        stall=values.number(info + "stall"),
        switch_cost=values.number(info + "switch_cost_s"),
        reported=tuple(str(x) for x in values.list_at("report.names")),
        reports_by_probe=values.choice("report.how", "silent", REPORT_MODES) == "pull",
        probes=values.flag("bounds.probes"),
        probe_price=values.number("tariffs.probe"),
        handshake_price=values.number("tariffs.handshake"),
        idle_close=values.seconds("bounds.idle_close"),
        move_price=values.number("tariffs.moves"),
        zone_price=values.number("tariffs.cross_zone"),
        max_attempts=values.integer("bounds.max_attempts", 1, minimum=1.0),
        max_retry_after=values.seconds("bounds.max_retry_after")
        if values.flag("bounds.retry_after")
        else 0.0,
        connect_timeout=values.seconds("bounds.connect_timeout", minimum=1.0),
        cold=values.seconds("contract.cold"),
        start_capacity=values.number("contract.start_capacity", 1.0, maximum=1.0),
        overload_factor=values.number("contract.overload_factor", 1.0),
        fall=values.seconds("contract.fall"),
        budget_window=values.seconds("contract.counted_over"),
        budget_free=values.number("contract.free_resends"),
        budget_share=values.number("contract.extra_ratio"),
        ask_discovery=values.choice("discovery", "push", ("push", "ask")) == "ask",
        ask_within=values.seconds("contract.ask_within"),
    )

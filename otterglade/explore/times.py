"""Times that know that they are times, and states that are the same whenever they happen.

The real code keeps absolute times. Two worlds that differ only in when they happened are the same, so what is
a time has to be told from what is a number: a `Time` is a float that stays one through sums with durations
and becomes a plain duration where two are subtracted.
"""

from __future__ import annotations

import copyreg
import hashlib
import io
import pickle
from collections import OrderedDict, deque
from collections.abc import Callable
from enum import Enum
from typing import Any

from ..core import interface as api
from ..core.messages import SessionLimits, TitleLocation

BASE = 1000.0
"""The time that it is after each load."""
DIGITS = 6


class Time(float):
    """Seconds on the world's clock."""

    __slots__ = ()

    def __add__(self, other: float) -> Time:
        return Time(float.__add__(self, other))

    __radd__ = __add__

    def __sub__(self, other: float) -> float:
        found = float.__sub__(self, other)
        return found if type(other) is Time else Time(found)

    def __rsub__(self, other: float) -> float:
        return float.__rsub__(self, other)


CONSTANT: set[type] = {api.Settings, api.SessionClass, api.SessionRequest, SessionLimits, TitleLocation}
"""Never changed once made; requests are, and say nothing that the session manager does not."""
_shared: dict[int, Any] = {}


def _find(number: int) -> Any:
    return _shared[number]


def share(value: Any) -> Any:
    """Have packed states refer to this settings object instead of holding it; the same in every process."""
    for known in _shared.values():
        if known == value:
            return known
    _shared[len(_shared)] = value
    return value


def pack(world: Any) -> bytes:
    """A world as bytes; times are kept relative to `world.now`."""
    buffer = io.BytesIO()
    pickler = pickle.Pickler(buffer, protocol=5)
    now = float(world.now)
    numbers = {id(x): n for n, x in _shared.items()}

    def settings(value: Any) -> Any:
        number = numbers.get(id(value))
        return (_find, (number,)) if number is not None else value.__reduce_ex__(5)

    pickler.dispatch_table = copyreg.dispatch_table.copy() | {
        Time: lambda t: (Time, (round(float(t) - now, DIGITS) + BASE,)),
        api.Settings: settings, SessionLimits: settings,
    }  # fmt: skip
    pickler.dump(world)
    return buffer.getvalue()


def unpack(data: bytes) -> Any:
    return pickle.loads(data)


_FIELDS: dict[type, tuple[str, ...]] = {}


def _fields(kind: type) -> tuple[str, ...]:
    found = _FIELDS.get(kind)
    if found is None:
        names = [x for base in reversed(kind.__mro__) for x in getattr(base, "__slots__", ())]
        found = _FIELDS[kind] = tuple(names)
    return found


def canonical(world: Any) -> bytes:
    """A digest that is the same for worlds that differ in nothing but when they happened and in the order in
    which their sets and maps were filled."""
    out: list[object] = []
    put = out.append
    seen: dict[int, int] = {}
    now = float(world.now)

    def walk(value: Any) -> None:
        kind = type(value)
        if kind is Time:
            put(("t", round(float(value) - now, DIGITS)))
        elif kind in (int, str, bytes, bool, float) or value is None:
            put(value)
        elif kind in CONSTANT:
            put("constant")
        elif isinstance(value, Enum):
            put(value.name)
        elif kind in (list, tuple, deque):
            put(len(value))
            for one in value:
                walk(one)
        elif kind in (dict, OrderedDict):
            put(len(value))
            for key in sorted(value, key=_order):
                walk(key)
                walk(value[key])
        elif kind in (set, frozenset):
            put(sorted(value, key=_order))
        elif id(value) in seen:
            put(("again", seen[id(value)]))
        elif not callable(value):
            seen[id(value)] = len(seen)
            put(kind.__name__)
            for name in _fields(kind):
                walk(getattr(value, name, None))
            if hasattr(value, "__dict__"):
                for name, one in sorted(value.__dict__.items()):
                    put(name)
                    walk(one)

    walk(world)
    return hashlib.blake2b(repr(out).encode(), digest_size=16).digest()


_order: Callable[[Any], str] = repr

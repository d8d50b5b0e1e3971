"""What a schedule is called: its choices, where they are not the plain ones.

The plain choice: the task that has the baton keeps it; where it can't go on the first one that can; where
none can the one whose time is up first. A name is `POINT.TASK` for each other choice, joined by `-`, or
`plain`; a fault of the surroundings is `POINT.fNUMBER`. So `12.2-30.0` is: at point 12 go on with task 2, at
30 with task 0.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

from .scheduler import ScheduleError

PLAIN = "plain"
_ONE = re.compile(r"([0-9]{1,6})\.(f?)([0-9]{1,3})")
MOST = 256
"""Choices of a name that is read."""

Choice = tuple[int, bool]
"""A number, and whether it is one of the surroundings' faults rather than a task's."""
Plan = Mapping[int, Choice]


def named(plan: Plan) -> str:
    """A schedule's name."""
    return "-".join(f"{at}.{'f' if drawn else ''}{no}" for at, (no, drawn) in sorted(plan.items())) or PLAIN


def read(name: str) -> dict[int, Choice]:
    """A name's schedule. Raises ScheduleError."""
    if name == PLAIN:
        return {}
    parts = name.split("-")
    if len(parts) > MOST:
        raise ScheduleError(f"schedule: found {len(parts)} choices; allowed: {MOST}")
    plan: dict[int, Choice] = {}
    for part in parts:
        found = _ONE.fullmatch(part)
        if found is None:
            raise ScheduleError(f"schedule: found {part!r}; allowed: POINT.TASK or POINT.fNUMBER")
        plan[int(found[1])] = (int(found[3]), bool(found[2]))
    return plan

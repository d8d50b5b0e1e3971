"""The tables of docs/CAPACITY.md, written between markers from the kept points and from nothing else."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace
from itertools import groupby
from pathlib import Path

from otterglade.store.small import replace_file

from .figures import Curves, Figure, curves, figures
from .fit import Form
from .model import CONTROL_LIMITS, ONE_CORE, Charge, Resource
from .points import FOLDER
from .roles import ROLES
from .size import USERS_SIZE, Size

PAGE = Path(__file__).resolve().parents[2] / "docs" / "CAPACITY.md"
BEGIN = "<!-- tables: written by `python -m benchmarks.capacity --page`, never by hand -->"
END = "<!-- end of tables -->"
CONTROL_UNITS = {Resource.MESSAGES: "KB/s", Resource.CPU: "% of a core", Resource.MEMORY: "MB"}
MEDIA_HOSTS = (2_000, 3_600, 12_000)
"""Numbers for which the rows that depend on them are told."""
LOADS = (1.0, 0.6)
MOST_GATEWAYS = 1 << 17
LEAST_PLAIN = 1e-4
"""Below, numbers are printed with an exponent."""
FIT_DIGITS = 6
"""So that a reader can work the figures out again from what is printed."""

HEADER = (
    "| | what | fit over n (95% of the slope) | n | times | figure (95%) | limit | times the limit |"
    " reached at n | mechanism | measured |\n" + "| --- " * 11 + "|"
)


class PageError(ValueError):
    """A page that can't be written."""


def number(value: float, digits: int = 3) -> str:
    """Significant digits with thousands separators; no exponent but for the very small."""
    if value == 0 or not math.isfinite(value):
        return "0" if value == 0 else "-"
    rounded = float(f"{value:.{digits - 1}e}")
    if abs(rounded) < LEAST_PLAIN:
        return f"{value:.{digits - 1}e}"
    places = digits - 1 - math.floor(math.log10(abs(rounded)))
    return f"{rounded:,.{max(0, places)}f}"


def _fit_text(one: Figure) -> str:
    slope = number(one.second, FIT_DIGITS)
    interval = f"({number(one.second_low)} to {number(one.second_high)})"
    if one.form is Form.POWER:
        return f"{number(math.exp(one.first), FIT_DIGITS)}·n^{slope} {interval}"
    return f"{number(one.first, FIT_DIGITS)} + {slope}·n {interval}"


def _factor_text(factor: float | None) -> str:
    if factor is None:
        return "-"
    return f"**{number(factor, 2)}**" if factor > 1.0 else number(factor, 2)


def _measured_text(one: Figure) -> str:
    reach = f", extrapolated {number(one.extrapolated, 2)} times" if one.extrapolated > 1 else ""
    return f"to {number(one.largest)}, {one.plays} plays, {one.form.value}, off {one.residual:.1%}{reach}"


def _line(cells: Iterable[str]) -> str:
    return f"| {' | '.join(cells)} |"


def row(one: Figure) -> str:
    """A figure as a line of its role's table."""
    limit = "-" if one.limit is None else f"{number(one.limit.value)} {one.unit} ({one.limit.source})"
    reached = "-" if math.isinf(one.reached_at) else f"{number(one.reached_at)} {one.variable}"
    figure = f"{number(one.value, 4)} {one.unit} ({number(one.low)} to {number(one.high)})"
    return _line((
        one.resource.value, one.what, _fit_text(one), f"{number(one.at, FIT_DIGITS)} {one.variable}",
        f"{number(one.times, FIT_DIGITS)} ({one.why})", figure, limit, _factor_text(one.factor), reached,
        one.mechanism, _measured_text(one),
    ))  # fmt: skip


def _passed(found: Sequence[Figure]) -> str:
    """What passes its limit, the worst first."""
    over = [x for x in found if x.factor is not None and x.factor > 1.0]
    over.sort(key=lambda x: -(x.factor or 0.0))
    head = "| role | what | figure | limit | times the limit | reached at |\n" + "| --- " * 6 + "|"
    lines = [
        _line((
            x.title, f"{x.resource.value}: {x.what}", f"{number(x.value)} {x.unit}",
            f"{number(x.limit.value if x.limit else 0.0)} {x.unit}", _factor_text(x.factor),
            "at any size" if x.reached_at <= 0 else f"{number(x.reached_at)} {x.variable}",
        )) for x in over
    ]  # fmt: skip
    return "\n".join(("### Limits passed, worst first\n", head, *lines))


def _sum_line(name: str, unit: str, limit: float, mine: Sequence[Figure]) -> str:
    total = sum(x.value for x in mine)
    largest = sorted(mine, key=lambda x: -x.value)
    parts = ", ".join(f"{x.role}: {x.what} {number(x.value)}" for x in largest)
    figure, factor = f"{number(total, 4)} {unit}", _factor_text(total / limit)
    return _line((name, figure, f"{number(limit)} {unit}", factor, parts))


def _sums(found: Sequence[Figure]) -> str:
    """A gateway's control in all, and its process with viewers, as sums of the rows charged to them."""
    lines = ["### A gateway in all\n", "| | sum | limit | times the limit | made of |\n" + "| --- " * 5 + "|"]
    for resource, limit in CONTROL_LIMITS.items():
        unit = CONTROL_UNITS[resource]
        mine = [x for x in found if x.charged is Charge.CONTROL and x.unit == unit]
        lines.append(_sum_line(f"control, {resource.value}", unit, limit.value, mine))
    unit = CONTROL_UNITS[Resource.CPU]
    viewers = [x for x in found if x.charged is Charge.VIEWERS]
    lines.append(_sum_line("viewers, CPU", unit, ONE_CORE.value, viewers))
    return "\n".join(lines)


def _process_load(gateways: int, found: Curves) -> float:
    """Share of one core that viewers take of each of so many gateways."""
    sized = figures(ROLES, replace(USERS_SIZE, gateways=gateways), found)
    return sum(x.value for x in sized if x.charged is Charge.VIEWERS) / ONE_CORE.value


def gateways_for(load: float, found: Curves) -> int:
    """The least number of gateways at which viewers take no more of a core of each."""
    low, high = 1, MOST_GATEWAYS
    while low < high:
        middle = (low + high) // 2
        low, high = (low, middle) if _process_load(middle, found) <= load else (middle + 1, high)
    return low


def _needed(found: Curves) -> str:
    head = "| a core's load by viewers | gateways of one process | viewers of each |\n" + "| --- " * 3 + "|"
    lines = []
    for load in LOADS:
        gateways = gateways_for(load, found)
        viewers = USERS_SIZE.connections / gateways
        lines.append(_line((f"{load:.0%}", number(gateways), number(viewers))))
    return "\n".join(("### Gateways that the viewers need\n", head, *lines))


def _by_hosts(sized: Mapping[Size, Sequence[Figure]]) -> str:
    """What depends on the number of media hosts, which is not given, at several numbers of them."""
    columns = [f"{x.media_hosts:,} hosts" for x in sized]
    head = _line(("role", "what", "limit", *columns)) + "\n" + "| --- " * (3 + len(sized)) + "|"
    lines = []
    for same in zip(*sized.values(), strict=True):
        first, *others = same
        if first.limit is None or all(x.value == first.value for x in others):
            continue
        values = (f"{number(x.value)} ({_factor_text(x.factor)})" for x in same)
        limit = f"{number(first.limit.value)} {first.unit}"
        lines.append(_line((first.title, f"{first.resource.value}: {first.what}", limit, *values)))
    return "\n".join(("### By the number of media hosts (in brackets: times the limit)\n", head, *lines))


def tables(folder: Path = FOLDER) -> str:
    """All tables, as they stand between the markers, from the points of a folder. Raises PointsError."""
    fits = curves(ROLES, folder)
    found = figures(ROLES, USERS_SIZE, fits)
    sizes = [replace(USERS_SIZE, media_hosts=x) for x in MEDIA_HOSTS]
    by_hosts = {x: figures(ROLES, x, fits) for x in sizes}
    parts = [_passed(found), _sums(found), _needed(fits), _by_hosts(by_hosts)]
    for title, mine in groupby(found, key=lambda x: x.title):
        parts.append("\n".join((f"### {title}\n", HEADER, *map(row, mine))))
    return "\n\n".join(parts) + "\n"


def between(text: str, path: Path) -> tuple[str, str, str]:
    """A page's text before its tables, the tables, and after. Raises PageError."""
    before, begin, rest = text.partition(BEGIN + "\n")
    inside, end, after = rest.partition(END)
    if not begin or not end:
        raise PageError(f"{path}: the markers of the tables are missing")
    return before + begin, inside, end + after


def write(path: Path = PAGE, folder: Path = FOLDER) -> None:
    """Put the tables into the page. Raises PageError, PointsError, OSError."""
    before, _, after = between(path.read_text("utf-8"), path)
    replace_file(path, f"{before}{tables(folder)}{after}".encode())
    path.chmod(0o644)

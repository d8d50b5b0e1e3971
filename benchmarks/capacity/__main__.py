"""Measures what each role costs at several sizes, and works out what it costs at the users' size.

    python -m benchmarks.capacity [--role NAME] [--quick] [--json]
    python -m benchmarks.capacity --page [--json]

Measures and keeps the points in benchmarks/points; --quick plays small sizes once and keeps nothing. --page
measures nothing and writes the tables of docs/CAPACITY.md from the kept points.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec

from . import page, points
from .figures import Figure, curves, figures
from .model import Reading, Role
from .roles import ROLES
from .run import measure
from .size import USERS_SIZE

EXIT_BAD_INPUT = 2


def _arguments(given: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.capacity", description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )  # fmt: skip
    parser.add_argument("--role", choices=[x.name for x in ROLES], action="append", help="this role alone")
    parser.add_argument("--quick", action="store_true", help="small sizes once; nothing is kept")
    parser.add_argument("--page", action="store_true", help="write the tables; nothing is measured")
    parser.add_argument("--points", type=Path, default=points.FOLDER, help="folder of the kept points")
    parser.add_argument("--json", action="store_true", help="print JSON")
    return parser.parse_args(given)


def _print_json(value: Reading | Figure) -> None:
    print(msgspec.json.encode(value).decode(), flush=True)


def _print_reading(one: Reading) -> None:
    metric = one.metric
    print(
        f"{metric.role}: {metric.what}, {one.size:,} {metric.variable}: {one.value:.6g} {metric.unit}",
        flush=True,
    )


def _measure(roles: Sequence[Role], quick: bool, as_json: bool, folder: Path) -> None:
    if not quick:
        folder.mkdir(exist_ok=True)
    metrics = [y for x in roles for z in x.experiments for y in z.metrics]
    points.load_all(metrics, folder)  # a bad file is told before hours of measuring, not after
    for readings in measure(roles, quick):
        if not quick:
            points.append(readings, folder)
        for reading in readings:
            (_print_json if as_json else _print_reading)(reading)


def _write_page(as_json: bool, folder: Path) -> None:
    page.write(folder=folder)
    if not as_json:
        print(f"{page.PAGE}: written")
        return
    for one in figures(ROLES, USERS_SIZE, curves(ROLES, folder)):
        _print_json(one)


def main(given: Sequence[str] | None = None) -> int:
    """The exit code."""
    arguments = _arguments(given)
    chosen = [x for x in ROLES if not arguments.role or x.name in arguments.role]
    try:
        if arguments.page:
            _write_page(arguments.json, arguments.points)
        else:
            _measure(chosen, arguments.quick, arguments.json, arguments.points)
    except (points.PointsError, page.PageError, OSError) as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())

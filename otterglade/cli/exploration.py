"""What the explorations of `otterglade explore` share: their options, their bounds, their result."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import click

if TYPE_CHECKING:
    from ..explore.search import Found


@dataclass(frozen=True, slots=True)
class Options:
    """How far a search goes, and where it writes the story that it finds."""

    seconds: float
    states: int
    workers: int
    walk: int | None
    """Steps of random walks in all, in place of a search; None: a search."""
    seed: int
    save: Path | None


def parse_bounds(given: tuple[str, ...], known: Iterable[str], positive: tuple[str, ...]) -> dict[str, int]:
    """A scope's fields as they are written on the command line."""
    found: dict[str, int] = {}
    for bound in given:
        name, _, number = bound.partition("=")
        if name not in known or not (number.isascii() and number.isdigit()):
            raise click.ClickException(f"bounds: found {bound!r}; allowed: NAME=NUMBER of {', '.join(known)}")
        found[name] = int(number)
    for name in positive:
        if found.get(name, 1) < 1:
            raise click.ClickException(f"{name}: found 0; allowed: 1 and more")
    return found


def print_found(found: Found) -> NoReturn:
    """Print what a search came to; ends the process."""
    counted = f"{found.states} states, {found.steps} steps, depth {found.depth}, {found.seconds:.1f} s"
    click.echo(", ".join(f"{x} {y}" for x, y in sorted(found.acts.items())))
    bound = f"not complete, met its bound: {found.bound}"
    ended = f"broken: {found.broken}" if found.broken else "complete" if found.complete else bound
    click.echo(f"{counted}: {ended}")
    sys.exit(1 if found.broken else 0)

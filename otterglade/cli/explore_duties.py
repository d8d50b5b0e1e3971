"""`otterglade explore duties`: who owns a duty, and whose orders are obeyed."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import NoReturn

import click

from .exploration import Options, parse_bounds, print_found


def replay(path: Path) -> NoReturn:
    """Play a saved story of duties against the code; ends the process."""
    from ..explore import duty_search
    from ..explore.story import StoryError

    try:
        scope, acts, seed = duty_search.load(path)
        error = duty_search.play(scope, acts, seed)[1]
    except (StoryError, ValueError) as trouble:
        raise click.ClickException(str(trouble)) from trouble
    click.echo(duty_search.told(scope, acts, seed))
    click.echo(f"broken: {error}" if error else "no property breaks")
    sys.exit(1 if error else 0)


def explore(bounds: tuple[str, ...], options: Options) -> NoReturn:
    """Search the world of duties and print what was found; ends the process."""
    from ..explore import duties, duty_search

    fields = duties.Scope.__dataclass_fields__
    scope = duties.Scope(**parse_bounds(bounds, fields, ("voters", "gateways", "horizon", "fan_out")))
    if scope.voters > scope.gateways or scope.gateways > len(duties.NAMES):
        allowed = f"as many gateways as voters or more, {len(duties.NAMES)} at most"
        raise click.ClickException(f"gateways: found {scope.gateways}; allowed: {allowed}")
    if options.walk is not None:
        found = duty_search.walk(scope, options.seed, options.walk, workers=options.workers)
    else:
        found = duty_search.explore(
            scope, most=options.states, seconds=options.seconds, workers=options.workers
        )
    if found.broken:
        acts = duty_search.shrunk(scope, found.story, found.seed, found.broken)
        click.echo(duty_search.told(scope, acts, found.seed))
        if options.save is not None:
            duty_search.save(options.save, scope, acts, found.seed, found.broken, found.what)
            click.echo(f"saved: {options.save}")
    print_found(found)

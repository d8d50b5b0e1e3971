"""`otterglade explore distribution`: who applies which revision of the configuration, and who is told so."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import NoReturn

import click

from .exploration import Options, parse_bounds, print_found


def replay(path: Path) -> NoReturn:
    """Play a saved story of the distribution against the code; ends the process."""
    from ..explore import distribution_search
    from ..explore.story import StoryError

    try:
        scope, acts = distribution_search.load(path)
        error = distribution_search.play(scope, acts)
    except (StoryError, ValueError) as trouble:
        raise click.ClickException(str(trouble)) from trouble
    click.echo(distribution_search.told(scope, acts))
    click.echo(f"broken: {error}" if error else "no property breaks")
    sys.exit(1 if error else 0)


def explore(bounds: tuple[str, ...], options: Options) -> NoReturn:
    """Search the world of the distribution and print what was found; ends the process."""
    from ..explore import distribution, distribution_search

    fields = distribution.Scope.__dataclass_fields__
    scope = distribution.Scope(**parse_bounds(bounds, fields, ("voters", "gateways")))
    if options.walk is not None:
        found = distribution_search.walk(scope, options.seed, options.walk)
    else:
        found = distribution_search.explore(scope, most=options.states, seconds=options.seconds)
    if found.broken:
        acts = distribution_search.shrunk(scope, found.story, found.broken)
        click.echo(distribution_search.told(scope, acts))
        if options.save is not None:
            distribution_search.save(options.save, scope, acts, found.broken, found.what)
            click.echo(f"saved: {options.save}")
    print_found(found)

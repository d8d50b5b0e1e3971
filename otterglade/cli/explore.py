"""`otterglade explore`: every order of events in a small world around the core."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import NoReturn

import click

from . import explore_distribution, explore_duties, explore_threads
from .exploration import Options, parse_bounds, print_found


@click.command()
@click.argument("bounds", nargs=-1)
@click.option("--seconds", type=click.FloatRange(min=0.1), default=300.0, show_default=True)
@click.option("--states", type=click.IntRange(min=1), default=5_000_000, show_default=True)
@click.option("--workers", type=click.IntRange(1, 64), default=4, show_default=True)
@click.option("--walk", type=click.IntRange(min=1), help="Random walks of so many steps in all, by --seed.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--replay",
    type=click.Path(path_type=Path),
    help="Play a story's file against the code; of threads, a SUBJECT:SCHEDULE.",
)
@click.option("--save", type=click.Path(path_type=Path), help="Write the story that was found to a file.")
@click.option("--subject", help="Of threads: this one alone.")
@click.option("--preemptions", type=click.IntRange(min=0), help="Of threads: at most, in a schedule.")
def explore(
    bounds: tuple[str, ...],
    seconds: float,
    states: int,
    workers: int,
    walk: int | None,
    seed: int,
    replay: Path | None,
    save: Path | None,
    subject: str | None,
    preemptions: int | None,
) -> None:
    """Try every order in which things can happen in a small world around the real core; exit 1 if one breaks.

    BOUNDS are NAME=NUMBER, such as hosts=3 gateways=2 kills=1; see docs/design-explore.md. A story saved
    under tests/stories/ is a regression test from then on. Where the first word is `duties`, the world is
    that of who owns a duty, and its bounds are others; where it is `distribution`, that of revisions of the
    configuration. Where it is `threads`, every schedule of a few threads
    of the daemon is played; see docs/design-interleave.md.
    """
    if bounds == ("threads",):
        explore_threads.explore(subject, None if replay is None else str(replay), preemptions)
    if subject is not None or preemptions is not None:
        raise click.ClickException("--subject, --preemptions: allowed: with explore threads")
    options = Options(seconds, states, workers, walk, seed, save)
    if bounds[:1] == ("distribution",):
        if replay is not None:
            explore_distribution.replay(replay)
        explore_distribution.explore(bounds[1:], options)
    if bounds[:1] == ("duties",):
        if replay is not None:
            explore_duties.replay(replay)
        explore_duties.explore(bounds[1:], options)
    if replay is not None:
        _replay(replay)
    _explore_sessions(bounds, options)


def _explore_sessions(bounds: tuple[str, ...], options: Options) -> NoReturn:
    """Explore the world of hosts, gateways and viewers."""
    from ..explore import search, story
    from ..explore.world import Scope

    positive = ("hosts", "gateways", "viewers", "attempts")
    scope = Scope(**parse_bounds(bounds, Scope.__dataclass_fields__, positive))
    if options.walk is not None:
        found = search.walk(scope, options.seed, options.walk)
    else:
        found = search.explore(scope, most=options.states, seconds=options.seconds, workers=options.workers)
    if found.broken:
        click.echo(story.told(scope, found.story, found.broken, found.what))
        if options.save is not None:
            story.save(options.save, story.of(scope, found.story, found.broken, found.what))
            click.echo(f"saved: {options.save}")
    print_found(found)


def _replay(path: Path) -> NoReturn:
    """Play a saved story against the code; ends the process."""
    from ..explore import story

    try:
        error = story.replay(path)
    except story.StoryError as trouble:
        raise click.ClickException(str(trouble)) from trouble
    read = story.load(path)
    name, what = (error.name, error.what) if error else ("", "")
    click.echo(story.told(read.world(), read.acts(), name, what))
    click.echo(f"broken: {error}" if error else "no property breaks")
    sys.exit(1 if error else 0)

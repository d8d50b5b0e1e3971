"""`otterglade explore threads`: every schedule of a few threads of the daemon."""

from __future__ import annotations

import sys
from typing import NoReturn

import click


def explore(subject: str | None, schedule: str | None, preemptions: int | None) -> NoReturn:
    """Play one schedule, or all of the subjects; ends the process."""
    from ..interleave import report

    try:
        if schedule is not None:
            fault, lines = report.replayed(schedule)
            click.echo("\n".join([*lines, f"broken: {fault}" if fault else "nothing breaks"]))
            sys.exit(1 if fault else 0)
        subjects = report.SUBJECTS if subject is None else [report.chosen(subject)]
        results = report.explored(subjects, preemptions, lambda x: click.echo("\n".join(x.lines())))
    except report.ScheduleError as error:
        raise click.ClickException(str(error)) from error
    click.echo(f"{sum(x.found.schedules for x in results)} schedules of {len(results)} subjects")
    click.echo(report.verdict(results))
    sys.exit(1 if any(x.found.fault for x in results) else 0)

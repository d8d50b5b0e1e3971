"""`otterglade day` and `otterglade days`: scenarios of the lab, played on loopback and judged."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from ..config.script import ConfigError

if TYPE_CHECKING:
    from ..lab.campaign import Played
    from ..lab.scenarios import Day

DEFAULT_SECONDS = 60.0
"""Length of a built-in scenario where none is asked for."""


@click.command()
@click.argument("scenario", required=False, default="bad")
@click.option("--from", "day_file", type=click.Path(path_type=Path), help="A day file of the bench (JSON).")
@click.option("--seconds", type=click.FloatRange(min=2.0), help="Length of the day; 60 for a built-in one.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="End with one line of JSON.")
@click.option("--keep", type=click.Path(path_type=Path), help="Keep records and logs in this folder.")
@click.option("--gateways", type=click.IntRange(1, 400), help="Of a built-in scenario; 2, or 5.")
def day(
    scenario: str,
    day_file: Path | None,
    seconds: float | None,
    seed: int,
    as_json: bool,
    keep: Path | None,
    gateways: int | None,
) -> None:
    """Play SCENARIO on loopback and judge the six rules from what passed on the sockets; exit 1 if one broke.

    SCENARIO is a built-in name or a script (*.star). Registry, hosts, gateways and players are separate
    processes; all of them are ended. The records of a day that broke a rule are kept, and it says where.
    """
    from ..lab import campaign
    from ..lab import day as days
    from ..lab.stage import StageError

    plan = _plan(scenario, day_file, seconds, seed, gateways)
    if keep is not None and keep.exists() and any(keep.iterdir()):
        raise click.ClickException(f"--keep: {keep} is not empty")
    try:
        played = campaign.play_kept(plan, seed, keep)
    except StageError as error:
        raise click.ClickException(str(error)) from error
    click.echo(days.table(plan, played.verdict))
    if played.records is not None:
        click.echo(f"records: {played.records}")
    if as_json or plan.layout.voters:
        summary = days.summary(plan, played.verdict)
        click.echo(json.dumps(summary | {"records": str(played.records) if played.records else None}))
    sys.exit(1 if played.verdict.findings else 0)


@click.command()
@click.argument("scenario", required=False, default="bad")
@click.option("--first", type=int, required=True, help="The first seed.")
@click.option("--count", type=click.IntRange(min=1), default=30, show_default=True)
@click.option("--at-once", type=click.IntRange(1, 8), default=3, show_default=True)
@click.option("--seconds", type=click.FloatRange(min=2.0), help="Length of each day; 60 for a built-in one.")
@click.option("--gateways", type=click.IntRange(1, 400), help="Of a built-in scenario; 2, or 5.")
def days(
    scenario: str, first: int, count: int, at_once: int, seconds: float | None, gateways: int | None
) -> None:
    """Play SCENARIO on many seeds, some at a time; exit 1 if any broke a rule, its records are kept."""
    from ..lab import campaign
    from ..lab.stage import StageError

    def plan_of(seed: int) -> Day:
        return _plan(scenario, None, seconds, seed, gateways)

    try:
        played = campaign.play_many(plan_of, range(first, first + count), at_once, _print_played)
    except StageError as error:
        raise click.ClickException(str(error)) from error
    kept = sum(not x.verdict.findings for x in played)
    requests = sum(x.verdict.requests for x in played)
    click.echo(f"{kept} of {len(played)} days kept every rule; {requests} requests")
    sys.exit(0 if kept == len(played) else 1)


def _print_played(played: Played) -> None:
    """Print one day of many: what it came to, and what broke."""
    verdict = played.verdict
    click.echo(
        f"seed {played.seed}: {verdict.requests} requests, {verdict.further} further attempts,"
        f" service {verdict.service:.3f}: {'kept' if not verdict.findings else played.records}"
    )
    if verdict.figures:
        click.echo(f"  {json.dumps(verdict.figures)}")
    for remark in verdict.remarks:
        click.echo(f"  not carried out: {remark}")
    for finding in verdict.findings:
        click.echo(f"  broken: {finding.rule}: {finding.what}")


def _plan(
    scenario: str, day_file: Path | None, seconds: float | None, seed: int, gateways: int | None
) -> Day:
    """The day that was asked for. Raises ClickException with the reason where there is none."""
    from dataclasses import replace

    from ..config.script import nearest
    from ..lab import benchday, script
    from ..lab.scenarios import SCENARIOS, TWO, make

    if gateways is not None and (day_file is not None or scenario.endswith(".star")):
        raise click.ClickException("--gateways: a day file or a script states its own")

    try:
        if day_file is not None:
            return benchday.mapped(benchday.load(day_file), seconds)
        if scenario.endswith(".star"):
            if seconds is not None:
                raise click.ClickException("--seconds: a script states its own length, in day(seconds = ...)")
            return script.read(Path(scenario))
    except (benchday.DayFileError, ConfigError) as error:
        raise click.ClickException(str(error)) from error
    if scenario not in SCENARIOS:
        raise click.ClickException(f"scenario: found {scenario!r}; {nearest(scenario, SCENARIOS)}")
    return make(scenario, seconds or DEFAULT_SECONDS, seed, replace(TWO, gateways=gateways or TWO.gateways))

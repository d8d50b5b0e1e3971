"""`otterglade fleet`: several gateways, started on loopback or asked where they stand."""

from __future__ import annotations

import json
import sys
from typing import Any

import click

from .common import fetch_status

MOST_GATEWAYS = 400
"""Whole gateways at most, each a process of its own."""
MOST_HOLLOW_GATEWAYS = 10_000
"""Gateways with `--hollow` at most, many to a process."""


class FleetGroup(click.Group):
    """`fleet N` beside `fleet status`."""

    def resolve_command(self, ctx: click.Context, args: list[str]) -> Any:
        """A number stands for the command that starts so many gateways."""
        if args and args[0].isdigit():
            return super().resolve_command(ctx, ["run", *args])
        return super().resolve_command(ctx, args)


@click.group(cls=FleetGroup)
def fleet() -> None:
    """Several gateways: `fleet N` starts N of them on loopback, `fleet status ADDRESS...` asks them."""


@fleet.command("run", hidden=True)
@click.argument("count", type=click.IntRange(1, MOST_HOLLOW_GATEWAYS))
@click.option("--hosts", type=click.IntRange(1, 200), default=12, show_default=True)
@click.option("--seconds", type=click.FloatRange(min=2.0), default=30.0, show_default=True)
@click.option(
    "--rate", type=click.FloatRange(min=0.1), default=9.0, show_default=True, help="Viewers a second."
)
@click.option("--restart-half", is_flag=True, help="Kill half of the gateways at once, half way.")
@click.option("--power", is_flag=True, help="Have the power go everywhere, half way.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--hollow", is_flag=True, help="Gateways that only follow the configuration.")
@click.option("--relays", type=click.IntRange(3, 36), default=4, show_default=True, help="Of --hollow.")
@click.option("--changes-per-day", type=click.FloatRange(min=1.0), help="Of --hollow; 20 times 5,700.")
@click.option("--faults", is_flag=True, help="Of --hollow: kill, stop and cut off; lose exchanges.")
@click.option("--json", "as_json", is_flag=True, help="Of --hollow: end with one line of JSON.")
def run(
    count: int,
    hosts: int,
    seconds: float,
    rate: float,
    restart_half: bool,
    power: bool,
    seed: int,
    hollow: bool,
    relays: int,
    changes_per_day: float | None,
    faults: bool,
    as_json: bool,
) -> None:
    """Start COUNT gateways with hosts, registry and players; ends with one line of JSON; exit 1 on a
    finding. With --hollow: control machines, and gateways that only follow the configuration."""
    if hollow:
        from ..lab.hollow import command

        sys.exit(command.run(count, relays, seconds, seed, changes_per_day, faults=faults, as_json=as_json))
    if count > MOST_GATEWAYS:
        raise click.BadParameter(f"found {count}; allowed: {MOST_GATEWAYS} at most without --hollow")
    from ..lab import fleet as fleets
    from ..lab.stage import StageError

    try:
        result = fleets.play(count, hosts, seconds, rate, seed, restart_half=restart_half, power=power)
    except StageError as error:
        raise click.ClickException(str(error)) from error
    click.echo(json.dumps(result))
    sys.exit(1 if any(result["broken"].values()) else 0)


@fleet.command("status")
@click.argument("addresses", nargs=-1, required=True)
def status(addresses: tuple[str, ...]) -> None:
    """Where each gateway stands: its phase, since when, what ended the ones before, and what a person can do.

    Exit 1 where one can't be asked or is not in service.
    """
    from ..lab.fleet import line

    sound = True
    for address in addresses:
        try:
            text, in_service = line(address, fetch_status(address))
        except click.ClickException as error:
            text, in_service = f"{error.message}: not to be had; the others go on without it", False
        click.echo(text)
        sound = sound and in_service
    sys.exit(0 if sound else 1)

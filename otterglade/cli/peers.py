"""`otterglade peers`: how one gateway sees the others."""

from __future__ import annotations

import json

import click

from .common import fetch_status


@click.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="As the gateway tells it.")
def peers(address: str, as_json: bool) -> None:
    """How the gateway at ADDRESS (host:port, for players) sees the others, with reasons."""
    from ..lab.fleet import view

    status = fetch_status(address)
    if "fleet" not in status:
        raise click.ClickException(f"{address}: speaks to no other gateway; its script has no peers(...)")
    click.echo(json.dumps(status["fleet"]) if as_json else view(status))

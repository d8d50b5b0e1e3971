"""`otterglade replay`: a gateway's record, decided anew."""

from __future__ import annotations

from pathlib import Path

import click


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
def replay(file: Path) -> None:
    """Feed the record FILE of a gateway to the module anew; exit 1 where it decides otherwise."""
    from ..gateway import record

    try:
        steps, difference = record.replay(file)
    except record.RecordError as error:
        raise click.ClickException(str(error)) from error
    if difference is not None:
        raise click.ClickException(f"{steps} steps agree, then: {difference}")
    click.echo(f"{steps} steps, identical")

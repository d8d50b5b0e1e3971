"""`otterglade standin`: the outside systems that demo and days start, each as a process of its own."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from .common import print_ready, stop_event, wait_for_stop


@click.group(hidden=True)
def standin() -> None:
    """The outside systems of demo and days."""


def _failure_log() -> Any:
    from ..obs.logs import logger, on_failure

    return on_failure(logger("info"))


@standin.command("registry")
@click.option("--record", type=click.Path(path_type=Path), default=None)
@click.option("--late", type=float, default=0.0)
@click.option("--port", type=int, default=0)
def registry(record: Path | None, late: float, port: int) -> None:
    """A registry with blocking reads."""
    from ..standins.registry import StandInRegistry

    server = StandInRegistry(_failure_log(), record, port, late)
    server.start()
    _serve(server.listener.address)


@standin.command("host")
@click.argument("file", type=click.Path(path_type=Path))
def host(file: Path) -> None:
    """A media host after the specification in FILE (JSON)."""
    import msgspec

    from ..standins.host import HostSpec, MediaHost

    server = MediaHost(msgspec.json.decode(file.read_bytes(), type=HostSpec), _failure_log())
    server.start()
    _serve(server.listener.address)


@standin.command("players")
@click.argument("file", type=click.Path(path_type=Path))
def players(file: Path) -> None:
    """A crowd of players after the specification in FILE (JSON)."""
    import msgspec

    from ..standins.player import Players, PlayersSpec

    crowd = Players(msgspec.json.decode(file.read_bytes(), type=PlayersSpec), _failure_log())
    print_ready(address="")
    crowd.run()


def _serve(address: tuple[str, int]) -> None:
    """Say where a stand-in listens, and wait until it is told to stop."""
    name, port = address
    print_ready(address=f"{name}:{port}")
    wait_for_stop(stop_event())

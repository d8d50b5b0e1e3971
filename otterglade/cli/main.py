"""The command `otterglade`: the group of its subcommands, each of which has a module of its own."""

from __future__ import annotations

import click

from .check import check
from .control import control
from .day import day, days
from .demo import demo
from .explore import explore
from .fleet import fleet
from .peers import peers
from .replay import replay
from .run import run
from .soak import soak
from .standin import standin


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="otterglade")
def main() -> None:
    """A session front: places video sessions on media hosts and shapes them."""


for command in (run, check, replay, day, days, explore, demo, peers, fleet, control, standin, soak):
    main.add_command(command)


if __name__ == "__main__":
    main()

"""`otterglade soak`: short, dense trials of the platform's gateway under drawn faults, judged."""

from __future__ import annotations

import json
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from ..lab.soak.run import Played

KINDS = ("shutdown", "discovery", "clients", "network", "pieces")


@click.command()
@click.option(
    "--seed", type=int, default=1, show_default=True, help="Of the first run; the next ones follow."
)
@click.option("--runs", type=click.IntRange(1, 1000), default=1, show_default=True)
@click.option("--jobs", type=click.IntRange(1, 8), default=2, show_default=True, help="Runs side by side.")
@click.option("--only", type=click.Choice(KINDS), help="This kind of fault alone.")
@click.option("--keep", type=click.Path(path_type=Path), help="Keep configurations and logs in this folder.")
@click.option("--json", "as_json", is_flag=True, help="End with one line of JSON.")
def soak(seed: int, runs: int, jobs: int, only: str | None, keep: Path | None, as_json: bool) -> None:
    """Play RUNS short runs of real gateway processes on loopback, and judge what passed on the sockets.

    Exit 1 where a finding was made; each is printed with its seed and the gateway's log.
    """
    from ..lab.soak.report import describe, summary

    with tempfile.TemporaryDirectory(prefix="soak-") as made:
        folder = keep or Path(made)
        played = []
        with ProcessPoolExecutor(jobs, mp_context=get_context("spawn"), max_tasks_per_child=1) as pool:
            futures = [pool.submit(_play, x, only, folder / f"run-{x}") for x in range(seed, seed + runs)]
            for future in futures:
                one = future.result()
                played.append(one)
                kinds = ", ".join(sorted(x.value for x in one.plan.kinds))
                click.echo(f"seed {one.plan.seed}: {len(one.records.requests)} requests, {kinds}: "
                           f"{len(one.findings)} findings")  # fmt: skip
                for finding in one.findings:
                    click.echo(describe(one, finding))
    counts = summary(played)
    found = counts["findings"]
    if as_json:
        click.echo(json.dumps(counts))
    else:
        click.echo(f"{counts['runs']} runs, {counts['requests']} requests, findings: "
                   + ", ".join(f"{name} {count}" for name, count in found.items()))  # fmt: skip
    sys.exit(1 if any(found.values()) else 0)


def _play(seed: int, only: str | None, folder: Path) -> Played:
    """Play the run of one seed, in a process of its own."""
    from ..lab.soak.plan import Kind, draw_plan
    from ..lab.soak.run import play

    folder.mkdir(parents=True, exist_ok=True)
    return play(draw_plan(seed, None if only is None else Kind(only)), folder)

"""`otterglade check`: whether configuration scripts can be read, and whether they conflict."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from ..config.script import ConfigError, read

if TYPE_CHECKING:
    from ..config.schema import Config
    from ..core.fleet.conflict_kinds import Conflict
    from ..core.fleet.routing import Routing


class UnreadableScriptsError(click.ClickException):
    """A script, or a set of them, that can't be judged."""

    exit_code = 2


@dataclass(frozen=True, slots=True)
class Report:
    """What a check found."""

    conflicts: Sequence[Conflict]
    summary: str
    order: tuple[str, ...] | None = None
    """The regions in the order of their roll-out, where new scripts were proposed and an order exists."""
    details: dict[str, Any] = field(default_factory=dict)
    """Further fields of the JSON line, where no order exists."""

    def to_json(self) -> str:
        """The report as one line of JSON."""
        import msgspec

        fields = {"conflicts": self.conflicts, "order": self.order, **self.details}
        return msgspec.json.encode(fields).decode()


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option(
    "--proposed",
    multiple=True,
    type=click.Path(path_type=Path),
    help="A region's new script, to be rolled out where the others act; may be given several times.",
)
@click.option("--json", "as_json", is_flag=True, help="One line of JSON, with conflicts and order.")
def check(files: tuple[Path, ...], proposed: tuple[Path, ...], as_json: bool) -> None:
    """Check the configuration script FILE, or several that act together; exit 1 where they conflict.

    With --proposed: an order of regions in which no mix of old and new conflicts; exit 1 where there is none.
    Exit 2 where one of several scripts can't be read. See docs/design-routes.md for the kinds of conflicts.
    """
    alone = len(files) == 1 and not proposed
    failure = click.ClickException if alone and not as_json else UnreadableScriptsError
    configs = _read_all((*files, *proposed), failure)
    acting = [configs[x].routing() for x in files]
    if proposed:
        report = _check_proposed(acting, [configs[x] for x in proposed])
    elif alone:
        report = _check_alone(files[0], configs[files[0]], acting[0])
    else:
        report = _check_together(acting)
    if as_json:
        click.echo(report.to_json())
    else:
        for conflict in report.conflicts:
            click.echo(conflict.summary())
        click.echo(report.summary)
    sys.exit(1 if report.conflicts or (proposed and report.order is None) else 0)


def _read_all(files: Iterable[Path], failure: type[click.ClickException]) -> dict[Path, Config]:
    """Every script by its file. Raises `failure` with all the errors where any can't be read."""
    configs: dict[Path, Config] = {}
    errors: list[str] = []
    for file in files:
        try:
            configs[file] = read(file)
        except ConfigError as error:
            errors.append(str(error))
    if errors:
        raise failure("\n".join(errors))
    return configs


def _check_proposed(acting: list[Routing], proposed: list[Config]) -> Report:
    from ..core.fleet import planner

    try:
        plan = planner.plan_from_routings(acting, [config.routing() for config in proposed])
    except ValueError as error:
        raise UnreadableScriptsError(f"--proposed: {error}") from error
    details: dict[str, Any] = {}
    if plan.order is None:
        details = {"together": plan.together, "steps": plan.steps, "settled": plan.settled}
    return Report([*plan.conflicts, *plan.remaining], plan.summary(), plan.order, details)


def _check_alone(file: Path, config: Config, acting: Routing) -> Report:
    from ..core.fleet.conflicts import conflicts_within

    found = conflicts_within(acting)
    counts = f"{len(config.classes)} classes, {len(config.titles)} titles, {len(config.site.ladder)} rungs"
    return Report(found, f"{file}: {'read' if found else 'good'}: {config.site.name}, {counts}")


def _check_together(acting: list[Routing]) -> Report:
    from ..core.fleet.conflicts import conflicts

    found = conflicts(acting)
    return Report(found, f"{len(acting)} scripts that act together: {len(found) or 'no'} conflicts")

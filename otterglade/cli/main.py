"""The command `otterglade`."""

from __future__ import annotations

import json
import os
import signal
import sys
import threading
import time
from collections.abc import Iterable
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import click

from ..config.script import ConfigError, read

if TYPE_CHECKING:
    from ..explore.search import Found


def _ready(**fields: Any) -> None:
    """The one line on standard output that says a process is ready."""
    print(json.dumps({"ready": True, "pid": os.getpid(), **fields}), flush=True)


def _signals() -> threading.Event:
    """Set by SIGINT and SIGTERM, from now on."""
    asked = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: asked.set())
    return asked


def _until_signal(asked: threading.Event, limit: float | None = None) -> None:
    """Wait for a signal, or for the limit in seconds."""
    deadline = None if limit is None else time.monotonic() + limit
    while not asked.wait(0.1):
        if deadline is not None and time.monotonic() > deadline:
            return


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="otterglade")
def main() -> None:
    """A session front: places video sessions on media hosts and shapes them."""


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--conditions", default="", hidden=True, help="What a day of the lab asks of it.")
@click.option("--counted", is_flag=True, hidden=True, help="Count what is synced, for the lab's power loss.")
def run(file: Path, conditions: str, counted: bool) -> None:
    """Run a gateway with the configuration script FILE until SIGTERM."""
    from ..gateway import lifecycle
    from ..gateway.daemon import Gateway
    from ..obs.logs import logger

    try:
        config = read(file)
    except ConfigError as error:
        raise click.ClickException(str(error)) from error
    log = logger(config.log.level, config.log.form)
    try:
        if counted:
            from ..lab.power import CountingDisk

            gateway = Gateway(config, log, disk=CountingDisk())
        else:
            gateway = Gateway(config, log)
    except OSError as error:
        raise click.ClickException(f"{file}: gateway can't start: {error}") from error
    if conditions:
        from ..lab.conditions import CONDITIONS

        for name in conditions.split(","):
            if name not in CONDITIONS:
                raise click.ClickException(f"--conditions: found {name!r}; known are {', '.join(CONDITIONS)}")
            CONDITIONS[name](gateway)
    asked = _signals()
    try:
        gateway.start()
    except (OSError, ValueError) as error:
        raise click.ClickException(f"{file}: gateway can't start: {error}") from error
    lifecycle.steady()
    host, port = gateway.address
    more = {} if gateway.peers is None else {"peers": "{}:{}".format(*gateway.peers.address)}
    _ready(address=f"{host}:{port}", gateway=f"http://{host}:{port}", run=gateway.epoch, **more)
    again = threading.Event()
    signal.signal(signal.SIGHUP, lambda *_: again.set())
    sound = True
    while not asked.wait(0.1) and sound:
        sound = not gateway.broken.is_set()
        if again.is_set():
            again.clear()
            _reload(gateway, file, log)
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: os._exit(1))  # asked a second time: at once
    clean = gateway.stop()
    sys.exit(0 if sound and clean else 1)


def _reload(gateway: Any, file: Path, log: Any) -> None:
    """Read the script again: all of it is taken over, or nothing, and the log says which and why."""
    try:
        changed = gateway.reload(read(file))
    except ValueError as error:
        log.error("reload_refused", cause=str(error))
    else:
        log.info("reloaded", changed=changed)


class _Unread(click.ClickException):
    """A script, or a set of them, that can't be judged."""

    exit_code = 2


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option(
    "--proposed", multiple=True, type=click.Path(path_type=Path),
    help="A region's new script, to be rolled out where the others act; may be given several times.",
)  # fmt: skip
@click.option("--json", "as_json", is_flag=True, help="One line of JSON, with conflicts and order.")
def check(files: tuple[Path, ...], proposed: tuple[Path, ...], as_json: bool) -> None:
    """Check the configuration script FILE, or several that act together; exit 1 where they conflict.

    With --proposed: an order of regions in which no mix of old and new conflicts; exit 1 where there is none.
    Exit 2 where one of several scripts can't be read. See docs/design-routes.md for the kinds of conflicts.
    """
    from ..core.fleet import planner
    from ..core.fleet.conflicts import conflicts, told_alone

    alone = len(files) == 1 and not proposed
    configs, unread = {}, []
    for file in (*files, *proposed):
        try:
            configs[file] = read(file)
        except ConfigError as error:
            unread.append(str(error))
    if unread:
        raise (click.ClickException if alone and not as_json else _Unread)("\n".join(unread))
    acting = [configs[x].routing() for x in files]
    order: tuple[str, ...] | None = None
    more: dict[str, Any] = {}
    if proposed:
        try:
            plan = planner.plan_of(acting, [configs[x].routing() for x in proposed])
        except ValueError as error:
            raise _Unread(f"--proposed: {error}") from error
        order, found, said = plan.order, [*plan.conflicts, *plan.remaining], plan.told()
        if order is None:
            more = {"together": plan.together, "steps": plan.steps, "settled": plan.settled}
    elif alone:
        config = configs[files[0]]
        found = told_alone(acting[0])
        counts = (
            f"{len(config.classes)} classes, {len(config.titles)} titles, {len(config.site.ladder)} rungs"
        )
        said = f"{files[0]}: {'read' if found else 'good'}: {config.site.name}, {counts}"
    else:
        found = conflicts(acting)
        said = f"{len(files)} scripts that act together: {len(found) or 'no'} conflicts"
    if as_json:
        import msgspec

        click.echo(msgspec.json.encode({"conflicts": found, "order": order, **more}).decode())
    else:
        for conflict in found:
            click.echo(conflict.told())
        click.echo(said)
    sys.exit(1 if found or (proposed and order is None) else 0)


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
def replay(file: Path) -> None:
    """Feed the record FILE of a gateway to the module anew; exit 1 where it decides otherwise."""
    from ..gateway.record import RecordError
    from ..gateway.record import replay as feed

    try:
        steps, difference = feed(file)
    except RecordError as error:
        raise click.ClickException(str(error)) from error
    if difference is not None:
        raise click.ClickException(f"{steps} steps agree, then: {difference}")
    click.echo(f"{steps} steps, identical")


@main.command()
@click.argument("scenario", required=False, default="bad")
@click.option("--from", "day_file", type=click.Path(path_type=Path), help="A day file of the bench (JSON).")
@click.option("--seconds", type=click.FloatRange(min=2.0), help="Length of the day; 60 for a built-in one.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="End with one line of JSON.")
@click.option("--keep", type=click.Path(path_type=Path), help="Keep records and logs in this folder.")
@click.option("--gateways", type=click.IntRange(1, 400), help="Of a built-in scenario; 2, or 5.")
def day(
    scenario: str, day_file: Path | None, seconds: float | None, seed: int, as_json: bool, keep: Path | None,
    gateways: int | None,
) -> None:  # fmt: skip
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
        said = days.summary(plan, played.verdict)
        click.echo(json.dumps(said | {"records": str(played.records) if played.records else None}))
    sys.exit(1 if played.verdict.findings else 0)


@main.command()
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

    def told(played: campaign.Played) -> None:
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

    try:
        played = campaign.play_many(
            lambda seed: _plan(scenario, None, seconds, seed, gateways), range(first, first + count), at_once,
            told,
        )  # fmt: skip
    except StageError as error:
        raise click.ClickException(str(error)) from error
    kept = sum(not x.verdict.findings for x in played)
    requests = sum(x.verdict.requests for x in played)
    click.echo(f"{kept} of {len(played)} days kept every rule; {requests} requests")
    sys.exit(0 if kept == len(played) else 1)


def _plan(
    scenario: str, day_file: Path | None, seconds: float | None, seed: int, gateways: int | None = None
) -> Any:
    """The day that was asked for, or a clear word on why there is none."""
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
    return make(scenario, seconds or 60.0, seed, replace(TWO, gateways=gateways or TWO.gateways))


@main.command()
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
    bounds: tuple[str, ...], seconds: float, states: int, workers: int, walk: int | None, seed: int,
    replay: Path | None, save: Path | None, subject: str | None, preemptions: int | None,
) -> None:  # fmt: skip
    """Try every order in which things can happen in a small world around the real core; exit 1 if one breaks.

    BOUNDS are NAME=NUMBER, such as hosts=3 gateways=2 kills=1; see docs/design-explore.md. A story saved
    under tests/stories/ is a regression test from then on. Where the first word is `duties`, the world is
    that of who owns a duty, and its bounds are others. Where it is `threads`, every schedule of a few threads
    of the daemon is played; see docs/design-interleave.md.
    """
    if bounds == ("threads",):
        _threads(subject, None if replay is None else str(replay), preemptions)
    if subject is not None or preemptions is not None:
        raise click.ClickException("--subject, --preemptions: allowed: with explore threads")
    if bounds[:1] == ("duties",):
        _explore_duties(bounds[1:], seconds, states, workers, walk, seed, replay, save)
    from ..explore import search, story
    from ..explore.world import Scope

    if replay is not None:
        _replayed(replay)
        return
    scope = Scope(**_bounds(bounds, Scope.__dataclass_fields__, ("hosts", "gateways", "viewers", "attempts")))
    if walk is not None:
        found = search.walk(scope, seed, walk)
    else:
        found = search.explore(scope, most=states, seconds=seconds, workers=workers)
    if found.broken:
        click.echo(story.told(scope, found.story, found.broken, found.what))
        if save is not None:
            story.save(save, story.of(scope, found.story, found.broken, found.what))
            click.echo(f"saved: {save}")
    _counted(found)


def _threads(subject: str | None, replay: str | None, preemptions: int | None) -> NoReturn:
    from ..interleave import report

    try:
        if replay is not None:
            fault, told = report.replayed(replay)
            click.echo("\n".join([*told, f"broken: {fault}" if fault else "nothing breaks"]))
            sys.exit(1 if fault else 0)
        subjects = report.SUBJECTS if subject is None else [report.chosen(subject)]
        results = report.explored(subjects, preemptions, lambda x: click.echo("\n".join(x.lines())))
    except report.ScheduleError as error:
        raise click.ClickException(str(error)) from error
    click.echo(f"{sum(x.found.schedules for x in results)} schedules of {len(results)} subjects")
    click.echo(report.verdict(results))
    sys.exit(1 if any(x.found.fault for x in results) else 0)


def _bounds(given: tuple[str, ...], known: Iterable[str], positive: tuple[str, ...]) -> dict[str, int]:
    """A scope's fields as they are written on the command line."""
    found: dict[str, int] = {}
    for bound in given:
        name, _, number = bound.partition("=")
        if name not in known or not (number.isascii() and number.isdigit()):
            raise click.ClickException(f"bounds: found {bound!r}; allowed: NAME=NUMBER of {', '.join(known)}")
        found[name] = int(number)
    for name in positive:
        if found.get(name, 1) < 1:
            raise click.ClickException(f"{name}: found 0; allowed: 1 and more")
    return found


def _counted(found: Found) -> NoReturn:
    """What a search came to; ends the process."""
    counted = f"{found.states} states, {found.steps} steps, depth {found.depth}, {found.seconds:.1f} s"
    click.echo(", ".join(f"{x} {y}" for x, y in sorted(found.acts.items())))
    bound = f"not complete, met its bound: {found.bound}"
    ended = f"broken: {found.broken}" if found.broken else "complete" if found.complete else bound
    click.echo(f"{counted}: {ended}")
    sys.exit(1 if found.broken else 0)


def _explore_duties(
    bounds: tuple[str, ...], seconds: float, states: int, workers: int, walk: int | None, seed: int,
    replay: Path | None, save: Path | None,
) -> NoReturn:  # fmt: skip
    """`explore duties`: who owns a duty, and whose orders are obeyed."""
    from ..explore import duties, duty_search
    from ..explore.story import StoryError

    if replay is not None:
        try:
            scope, acts, seed = duty_search.load(replay)
            error = duty_search.play(scope, acts, seed)[1]
        except (StoryError, ValueError) as trouble:
            raise click.ClickException(str(trouble)) from trouble
        click.echo(duty_search.told(scope, acts, seed))
        click.echo(f"broken: {error}" if error else "no property breaks")
        sys.exit(1 if error else 0)
    fields = duties.Scope.__dataclass_fields__
    scope = duties.Scope(**_bounds(bounds, fields, ("voters", "gateways", "horizon", "fan_out")))
    if scope.voters > scope.gateways or scope.gateways > len(duties.NAMES):
        allowed = f"as many gateways as voters or more, {len(duties.NAMES)} at most"
        raise click.ClickException(f"gateways: found {scope.gateways}; allowed: {allowed}")
    if walk is not None:
        found = duty_search.walk(scope, seed, walk, workers=workers)
    else:
        found = duty_search.explore(scope, most=states, seconds=seconds, workers=workers)
    if found.broken:
        acts = duty_search.shrunk(scope, found.story, found.seed, found.broken)
        click.echo(duty_search.told(scope, acts, found.seed))
        if save is not None:
            duty_search.save(save, scope, acts, found.seed, found.broken, found.what)
            click.echo(f"saved: {save}")
    _counted(found)


def _replayed(path: Path) -> None:
    from ..explore import story

    try:
        error = story.replay(path)
    except story.StoryError as trouble:
        raise click.ClickException(str(trouble)) from trouble
    read = story.load(path)
    click.echo(
        story.told(read.world(), read.acts(), error.name if error else "", error.what if error else "")
    )
    click.echo(f"broken: {error}" if error else "no property breaks")
    sys.exit(1 if error else 0)


@main.command()
@click.option("--port", type=click.IntRange(0, 65535), default=0, help="For players; 0: any free one.")
@click.option(
    "--for", "seconds", type=click.FloatRange(min=0.1), default=None, help="End after so many seconds."
)
@click.option("--hosts", type=click.IntRange(1, 32), default=6, show_default=True)
def demo(port: int, seconds: float | None, hosts: int) -> None:
    """Registry, hosts and one gateway in one command: point an HLS player at the printed address."""
    import tempfile
    from dataclasses import replace

    from ..lab.stage import Layout, Stage, StageError

    layout = replace(Layout(hosts=hosts, gateways=1, late_list=0.0), by_probe=False)
    with tempfile.TemporaryDirectory(prefix="otterglade-") as made:
        stage = Stage(layout, Path(made), listen=f"127.0.0.1:{port}")
        asked = _signals()
        try:
            stage.start()
            address = stage.gateways[0].address
            first = (
                f"http://{address}/watch/{layout.classes[0]['name']}/{layout.title_names[0]}.m3u8?viewer=me"
            )
            click.echo(f"play {first}\nend with Ctrl-C", err=True)
            _ready(
                gateway=f"http://{address}", classes=[x["name"] for x in layout.classes],
                titles=list(layout.title_names),
            )  # fmt: skip
            _until_signal(asked, limit=seconds)
        except StageError as error:
            raise click.ClickException(str(error)) from error
        finally:
            stage.stop()


def _asked(address: str) -> dict[str, Any]:
    """A gateway's /status. Raises ClickException where it has none."""
    import msgspec

    from ..config.script import address as of
    from ..net.http import Client, ExchangeError

    try:
        client = Client(of(address.removeprefix("http://").rstrip("/"), "ADDRESS"), 2.0)
        answer = client.exchange(b"GET", b"/status", deadline=time.monotonic() + 3.0)
        client.close_idle()
        return dict(msgspec.json.decode(answer.body))
    except (ExchangeError, ValueError) as error:
        raise click.ClickException(f"{address}: {error}") from error


@main.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="As the gateway tells it.")
def peers(address: str, as_json: bool) -> None:
    """How the gateway at ADDRESS (host:port, for players) sees the others, with reasons."""
    from ..lab.fleet import view

    said = _asked(address)
    if "fleet" not in said:
        raise click.ClickException(f"{address}: speaks to no other gateway; its script has no peers(...)")
    click.echo(json.dumps(said["fleet"]) if as_json else view(said))


class _Fleet(click.Group):
    """`fleet N` beside `fleet status`."""

    def resolve_command(self, ctx: click.Context, args: list[str]) -> Any:
        if args and args[0].isdigit():
            return super().resolve_command(ctx, ["run", *args])
        return super().resolve_command(ctx, args)


@main.group(cls=_Fleet)
def fleet() -> None:
    """Several gateways: `fleet N` starts N of them on loopback, `fleet status ADDRESS...` asks them."""


@fleet.command("run", hidden=True)
@click.argument("count", type=click.IntRange(1, 400))
@click.option("--hosts", type=click.IntRange(1, 200), default=12, show_default=True)
@click.option("--seconds", type=click.FloatRange(min=2.0), default=30.0, show_default=True)
@click.option(
    "--rate", type=click.FloatRange(min=0.1), default=9.0, show_default=True, help="Viewers a second."
)
@click.option("--restart-half", is_flag=True, help="Kill half of the gateways at once, half way.")
@click.option("--power", is_flag=True, help="Have the power go everywhere, half way.")
@click.option("--seed", type=int, default=1, show_default=True)
def fleet_run(
    count: int, hosts: int, seconds: float, rate: float, restart_half: bool, power: bool, seed: int
) -> None:
    """Start COUNT gateways with hosts, registry and players; ends with one line of JSON; exit 1 on a
    finding."""
    from ..lab import fleet as fleets
    from ..lab.stage import StageError

    try:
        said = fleets.play(count, hosts, seconds, rate, seed, restart_half=restart_half, power=power)
    except StageError as error:
        raise click.ClickException(str(error)) from error
    click.echo(json.dumps(said))
    sys.exit(1 if any(said["broken"].values()) else 0)


@fleet.command("status")
@click.argument("addresses", nargs=-1, required=True)
def fleet_status(addresses: tuple[str, ...]) -> None:
    """Where each gateway stands: its phase, since when, what ended the ones before, and what a person can do.

    Exit 1 where one can't be asked or is not in service.
    """
    from ..lab.fleet import line

    sound = True
    for address in addresses:
        try:
            told, good = line(address, _asked(address))
        except click.ClickException as error:
            told, good = f"{error.message}: not to be had; the others go on without it", False
        click.echo(told)
        sound = sound and good
    sys.exit(0 if sound else 1)


@main.group(hidden=True)
def standin() -> None:
    """The outside systems of demo and days."""


def _standin_log() -> Any:
    from ..obs.logs import logger, on_failure

    return on_failure(logger("info"))


@standin.command("registry")
@click.option("--record", type=click.Path(path_type=Path), default=None)
@click.option("--late", type=float, default=0.0)
@click.option("--port", type=int, default=0)
def standin_registry(record: Path | None, late: float, port: int) -> None:
    """A registry with blocking reads."""
    from ..standins.registry import StandInRegistry

    registry = StandInRegistry(_standin_log(), record, port, late)
    registry.start()
    host, port = registry.listener.address
    _ready(address=f"{host}:{port}")
    _until_signal(_signals())


@standin.command("host")
@click.argument("file", type=click.Path(path_type=Path))
def standin_host(file: Path) -> None:
    """A media host after the specification in FILE (JSON)."""
    import msgspec

    from ..standins.host import HostSpec, MediaHost

    media = MediaHost(msgspec.json.decode(file.read_bytes(), type=HostSpec), _standin_log())
    media.start()
    host, port = media.listener.address
    _ready(address=f"{host}:{port}")
    _until_signal(_signals())


@standin.command("players")
@click.argument("file", type=click.Path(path_type=Path))
def standin_players(file: Path) -> None:
    """A crowd of players after the specification in FILE (JSON)."""
    import msgspec

    from ..standins.player import Players, PlayersSpec

    players = Players(msgspec.json.decode(file.read_bytes(), type=PlayersSpec), _standin_log())
    _ready(address="")
    players.run()


if __name__ == "__main__":
    main()

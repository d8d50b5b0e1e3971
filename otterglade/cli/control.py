"""The command `otterglade control`: run a control machine, propose changes, ask how one stands."""

from __future__ import annotations

import json
import signal
import sys
import threading
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from ..core.distribution.revision import Change

BAD_USAGE = 2
REFUSED = 1
STATUS_CONNECT_SECONDS = 2.0
STATUS_SECONDS = 5.0


class UsageError(click.ClickException):
    """Something that was given can't be used."""

    exit_code = BAD_USAGE


class UnansweredError(click.ClickException):
    """Nobody has accepted or refused the proposal."""

    exit_code = BAD_USAGE


@click.group()
def control() -> None:
    """Control machines, which distribute the configuration to all gateways."""


@control.command()
@click.argument("file", metavar="CONFIG.json", type=click.Path(path_type=Path))
def run(file: Path) -> None:
    """Run a control machine until SIGTERM, which hands its duty over first.

    Exit 2 where the configuration can't be used, 1 where the machine can't start or ends unsoundly.
    """
    from ..gateway import lifecycle
    from ..gateway.distribution.config import ConfigError, load
    from ..gateway.distribution.control import ControlMachineProcess, StartError
    from ..obs.logs import logger

    try:
        config = load(file)
    except ConfigError as error:
        raise UsageError(str(error)) from error
    stop_requested = threading.Event()
    try:
        machine = ControlMachineProcess(config, logger(config.log_level), on_broken=stop_requested.set)
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, lambda *_: stop_requested.set())
        machine.start()
    except (OSError, StartError) as error:
        raise click.ClickException(f"{file}: control machine can't start: {error}") from error
    lifecycle.tune_interpreter()
    ready = {"ready": True, "control": config.name, "address": machine.address}
    print(json.dumps(ready), flush=True)
    stop_requested.wait()
    sys.exit(0 if machine.stop() else 1)


@control.command()
@click.option(
    "--config", "config_file", metavar="CONFIG.json", required=True, envvar="OTTERGLADE_CONTROL_CONFIG",
    type=click.Path(path_type=Path), help="A control machine's configuration: its keys seal the proposal.",
)  # fmt: skip
@click.option(
    "--to", "addresses", multiple=True, metavar="HOST:PORT",
    help="Control machines to ask, in this order; without any: those of the configuration.",
)  # fmt: skip
@click.option("--set", "values", multiple=True, metavar="KEY=VALUE", help="Set a key to a text.")
@click.option(
    "--set-file", "files", multiple=True, metavar="KEY=PATH", help="Set a key to the content of a file."
)
@click.option("--delete", "deleted", multiple=True, metavar="KEY", help="Delete a key.")
@click.option("--limit", default=30.0, show_default=True, type=click.FloatRange(min=0.1), help="Seconds.")
@click.option("--json", "as_json", is_flag=True, help="One line of JSON.")
def propose(
    config_file: Path, addresses: tuple[str, ...], values: tuple[str, ...], files: tuple[str, ...],
    deleted: tuple[str, ...], limit: float, as_json: bool,
) -> None:  # fmt: skip
    """Propose changes, which all become one revision; asks until they are accepted or refused.

    Exit 0: accepted by a majority of voters. 1: refused. 2: something given can't be used, or nobody has
    accepted or refused within the limit; then the changes may still come into force.
    """
    from ..gateway.distribution import proposing
    from ..gateway.distribution.config import ConfigError, load
    from ..gateway.distribution.envelope import Envelope

    changes = _changes(values, files, deleted)
    try:
        config = load(config_file)
        envelope = Envelope(config.key_bytes, config.sign_with)
        asked = addresses or tuple(x.address for x in config.machines)
        answer = proposing.propose(changes, asked, envelope, limit, _note)
    except (ConfigError, ValueError) as error:
        raise UsageError(str(error)) from error
    except proposing.UnansweredError as error:
        raise UnansweredError(str(error)) from error
    revision = None if answer.revision is None else str(answer.revision)
    if as_json:
        print(json.dumps({"accepted": answer.accepted, "revision": revision, "reason": answer.reason}))
    elif answer.accepted:
        print(f"accepted as revision {revision}")
    else:
        print(f"refused: {answer.reason}", file=sys.stderr)
    sys.exit(0 if answer.accepted else REFUSED)


def _note(line: str) -> None:
    print(f"asking on: {line}", file=sys.stderr)


def _changes(values: tuple[str, ...], files: tuple[str, ...], deleted: tuple[str, ...]) -> list[Change]:
    """The changes of a command line, each checked. Raises UsageError."""
    from ..core.distribution.revision import Change, RevisionError, check_change

    changes = [Change(key, value.encode()) for key, value in (_pair(x, "--set") for x in values)]
    changes += [Change(key, _content(path)) for key, path in (_pair(x, "--set-file") for x in files)]
    changes += [Change(key, None) for key in deleted]
    keys = [x.key for x in changes]
    repeated = sorted({x for x in keys if keys.count(x) > 1})
    if repeated:
        raise UsageError(f"key {repeated[0]!r}: found in {keys.count(repeated[0])} changes; allowed: one")
    if not changes:
        raise UsageError("no change: give --set, --set-file or --delete")
    try:
        for change in changes:
            check_change(change)
    except (RevisionError, UnicodeEncodeError) as error:
        raise UsageError(str(error)) from error
    return changes


def _pair(text: str, option: str) -> tuple[str, str]:
    key, equals, value = text.partition("=")
    if not key or not equals:
        raise UsageError(f"{option}: found {text!r}; allowed: KEY=..., with a key")
    return key, value


def _content(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise UsageError(f"--set-file: {path}: {error.strerror or error}") from error


@control.command()
@click.argument("address", metavar="HOST:PORT")
@click.option("--json", "as_json", is_flag=True, help="One line of JSON.")
def status(address: str, as_json: bool) -> None:
    """Say how a control machine stands, and who acts upon which revision below it."""
    import time

    from ..config.script import address as parse_address
    from ..gateway.distribution.exchange import STATUS_PATH
    from ..net.http import Client, ExchangeError

    try:
        client = Client(parse_address(address, "HOST:PORT"), STATUS_CONNECT_SECONDS)
    except ValueError as error:
        raise UsageError(str(error)) from error
    try:
        answer = client.exchange(b"GET", STATUS_PATH, deadline=time.monotonic() + STATUS_SECONDS)
    except ExchangeError as error:
        raise click.ClickException(f"{address}: {error}") from error
    if answer.status != 200:
        raise click.ClickException(f"{address}: answered {answer.status}")
    if as_json:
        print(answer.body.decode())
        return
    for line in _lines(json.loads(answer.body)):
        print(line)


def _lines(told: dict[str, Any]) -> list[str]:
    """A status for people."""
    report = told["report"]
    lines = [
        f"{told['name']}: {told['role']}, head {told['head']}, {told['keys']} keys",
        f"writer: {told['writer'] or 'unknown'}, term {told['term']}",
        f"readers: {told['readers']}, reads from: {told['reads_from'] or 'nobody'}",
        f"acting on {told['head']}: {report['acting']} of {report['subscribers']} subscribers",
    ]
    lines += [f"  revision {x['revision']}: {x['subscribers']}" for x in report["revisions"]]
    if report["older"]:
        lines.append(f"  older revisions: {report['older']}")
    for late in report["stragglers"]:
        why = f": {late['reason']}" if late["reason"] else ""
        lines.append(f"  behind: {late['name']} on {late['in_force']} for {late['behind_s']:.1f} s{why}")
    if told["damaged"]:
        lines.append(f"folder put aside at the start: {told['damaged']}")
    return lines

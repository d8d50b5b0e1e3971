"""`otterglade run`: a gateway with a configuration script, until it is told to stop."""

from __future__ import annotations

import os
import signal
import sys
import threading
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from ..config.script import ConfigError, read
from .common import SIGNAL_POLL_SECONDS, print_ready, stop_event

if TYPE_CHECKING:
    from ..config.schema import Config
    from ..gateway.daemon import Gateway


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--conditions", default="", hidden=True, help="What a day of the lab asks of it.")
@click.option("--counted", is_flag=True, hidden=True, help="Count what is synced, for the lab's power loss.")
def run(file: Path, conditions: str, counted: bool) -> None:
    """Run a gateway with the configuration script FILE until SIGTERM."""
    from ..gateway import lifecycle
    from ..obs.logs import logger

    try:
        config = read(file)
    except ConfigError as error:
        raise click.ClickException(str(error)) from error
    log = logger(config.log.level, config.log.form)
    gateway = _create(config, log, file, counted)
    if conditions:
        _apply_conditions(gateway, conditions)
    stop_requested = stop_event()
    try:
        gateway.start()
    except (OSError, ValueError) as error:
        raise click.ClickException(f"{file}: gateway can't start: {error}") from error
    lifecycle.tune_interpreter()
    _announce(gateway)
    sound = _serve(gateway, file, log, stop_requested)
    _exit_on_next_signal()
    clean = gateway.stop()
    sys.exit(0 if sound and clean else 1)


def _create(config: Config, log: Any, file: Path, counted: bool) -> Gateway:
    from ..gateway.daemon import Gateway

    try:
        if counted:
            from ..lab.power import CountingDisk

            return Gateway(config, log, disk=CountingDisk())
        return Gateway(config, log)
    except OSError as error:
        raise click.ClickException(f"{file}: gateway can't start: {error}") from error


def _apply_conditions(gateway: Gateway, conditions: str) -> None:
    """Put the lab's conditions, named in a comma-separated list, on the gateway."""
    from ..lab.conditions import CONDITIONS

    for name in conditions.split(","):
        if name not in CONDITIONS:
            raise click.ClickException(f"--conditions: found {name!r}; known are {', '.join(CONDITIONS)}")
        CONDITIONS[name](gateway)


def _announce(gateway: Gateway) -> None:
    host, port = gateway.address
    more = {} if gateway.peers is None else {"peers": "{}:{}".format(*gateway.peers.address)}
    print_ready(address=f"{host}:{port}", gateway=f"http://{host}:{port}", run=gateway.epoch, **more)


def _serve(gateway: Gateway, file: Path, log: Any, stop_requested: threading.Event) -> bool:
    """Reload on each SIGHUP until a stop is requested; False where the gateway broke before."""
    reload_requested = threading.Event()
    signal.signal(signal.SIGHUP, lambda *_: reload_requested.set())
    sound = True
    while not stop_requested.wait(SIGNAL_POLL_SECONDS) and sound:
        sound = not gateway.broken.is_set()
        if reload_requested.is_set():
            reload_requested.clear()
            _reload(gateway, file, log)
    return sound


def _reload(gateway: Gateway, file: Path, log: Any) -> None:
    """Read the script again: all of it is taken over, or nothing, and the log says which and why."""
    try:
        changed = gateway.reload(read(file))
    except ValueError as error:
        log.error("reload_refused", cause=str(error))
    else:
        log.info("reloaded", changed=changed)


def _exit_on_next_signal() -> None:
    """Let a second request to stop end the process at once."""
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: os._exit(1))

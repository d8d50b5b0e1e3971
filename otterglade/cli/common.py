"""Helpers that several commands share: the ready line, waiting for a signal, reading a gateway's status."""

from __future__ import annotations

import json
import os
import signal
import threading
import time
from typing import Any

import click

SIGNAL_POLL_SECONDS = 0.1
"""How often a waiting command looks for a signal and for its time limit."""
STATUS_CONNECT_SECONDS = 2.0
STATUS_DEADLINE_SECONDS = 3.0


def print_ready(**fields: Any) -> None:
    """Print the one line on standard output that says a process is ready."""
    print(json.dumps({"ready": True, "pid": os.getpid(), **fields}), flush=True)


def stop_event() -> threading.Event:
    """An event that SIGINT and SIGTERM set from now on."""
    stop_requested = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stop_requested.set())
    return stop_requested


def wait_for_stop(stop_requested: threading.Event, limit: float | None = None) -> None:
    """Wait until a stop is requested, or for `limit` seconds."""
    deadline = None if limit is None else time.monotonic() + limit
    while not stop_requested.wait(SIGNAL_POLL_SECONDS):
        if deadline is not None and time.monotonic() > deadline:
            return


def fetch_status(address: str) -> dict[str, Any]:
    """The /status of the gateway at `address`. Raises ClickException where it can't be fetched."""
    import msgspec

    from ..config.script import address as parse_address
    from ..net.http import Client, ExchangeError

    try:
        endpoint = parse_address(address.removeprefix("http://").rstrip("/"), "ADDRESS")
        client = Client(endpoint, STATUS_CONNECT_SECONDS)
        answer = client.exchange(b"GET", b"/status", deadline=time.monotonic() + STATUS_DEADLINE_SECONDS)
        client.close_idle()
        return dict(msgspec.json.decode(answer.body))
    except (ExchangeError, ValueError) as error:
        raise click.ClickException(f"{address}: {error}") from error

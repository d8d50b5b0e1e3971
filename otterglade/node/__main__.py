"""Entry point `python -m otterglade.node`: runs one gateway, as the platform starts it."""

from __future__ import annotations

import signal
import socket
import time
from types import FrameType

# Installed first: a signal that arrives during the other imports would end the process.
_wakeup, _signalled = socket.socketpair()
_wakeup.setblocking(False)
_signalled.setblocking(False)
signal.set_wakeup_fd(_signalled.fileno(), warn_on_full_buffer=False)
_received_at: dict[int, float] = {}
"""When each signal first arrived (Unix seconds): the time of the kill counts from there."""


def _note_signal(number: int, frame: FrameType | None) -> None:
    _received_at.setdefault(number, time.time())


for _number in (signal.SIGTERM, signal.SIGHUP):
    signal.signal(_number, _note_signal)

import os  # noqa: E402
import sys  # noqa: E402


def main() -> int:
    """Run until SIGTERM. Returns the exit code: 0, 1 if it can't listen, 2 for an invalid configuration."""
    from ..net.reactor import Reactor
    from .config import ConfigError, load_config
    from .gateway import Gateway

    started_at, line_count = time.monotonic(), 0

    def log(text: str) -> None:
        nonlocal line_count
        line_count += 1
        if line_count <= MAX_LOG_LINES:
            print(f"{time.monotonic() - started_at:.3f} {text}", file=sys.stderr, flush=True)

    path = os.environ.get("BALANCER_CONFIG", "")
    try:
        config = load_config(path)
    except ConfigError as error:
        print(f"otterglade: BALANCER_CONFIG: {error}", file=sys.stderr)
        return 2
    reactor = Reactor(time.time)
    try:
        gateway = Gateway(config, path, reactor, log)
    except OSError as error:
        print(f"otterglade: listen {config.listen[0]}:{config.listen[1]}: {error}", file=sys.stderr)
        return 1
    gateway.watch_signals(_wakeup, _received_at)
    reactor.run()
    # The interpreter restores default handlers as it exits: another SIGTERM would end it with status -15.
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    return 0


MAX_LOG_LINES = 20_000
"""Maximum of lines written to the log: an ever-growing log counts as memory."""

if __name__ == "__main__":
    sys.exit(main())

"""`otterglade fleet N --hollow`: checks what was asked for, plays it, and prints the result."""

from __future__ import annotations

import signal
import sys
from types import FrameType

import msgspec

from .fleet import FleetError
from .layout import CHANGES_PER_DAY, Layout, LayoutError
from .play import play
from .result import Result

EXIT_SOUND, EXIT_FINDING, EXIT_NOT_PLAYED = 0, 1, 2


def run(
    gateways: int, relays: int, seconds: float, seed: int, changes_per_day: float | None, *, faults: bool,
    as_json: bool,
) -> int:  # fmt: skip
    """Play a hollow fleet; what happens goes to standard error, the result to standard output. The exit
    status: 0 where nothing was late or stale, 1 where something was, 2 where it could not be played."""
    before = signal.signal(signal.SIGTERM, _end_children_first)
    try:
        layout = Layout(gateways, relays, seconds, seed, changes_per_day or CHANGES_PER_DAY, faults)
        result = play(layout, _say)
    except (LayoutError, FleetError) as error:
        _say(f"error: {error}")
        return EXIT_NOT_PLAYED
    finally:
        signal.signal(signal.SIGTERM, before)
    print(msgspec.json.encode(result).decode() if as_json else described(result), flush=True)
    return EXIT_SOUND if result.sound else EXIT_FINDING


def described(result: Result) -> str:
    """A result for people, a line for each figure."""
    return "\n".join(f"{name}: {value}" for name, value in msgspec.structs.asdict(result).items())


def _end_children_first(number: int, frame: FrameType | None) -> None:
    """Leave by an exception, so that no process stays behind."""
    raise SystemExit(EXIT_NOT_PLAYED)


def _say(text: str) -> None:
    print(text, file=sys.stderr, flush=True)

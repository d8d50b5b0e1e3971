"""What the stand-ins and the stage recorded, read together."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

Event = dict[str, Any]


class RecordsError(ValueError):
    """Records that are missing or can't be read."""


@dataclass(frozen=True, slots=True)
class Records:
    """Events in order of time; `t` is the machine's monotonic time in seconds."""

    hosts: tuple[Event, ...]
    players: tuple[Event, ...]
    registry: tuple[Event, ...]
    stage: tuple[Event, ...]
    gateways: tuple[Event, ...] = ()
    """Of the gateways' logs: the lines with a time by that clock, of all runs."""

    def of(self, events: tuple[Event, ...], *kinds: str) -> list[Event]:
        return [x for x in events if x["ev"] in kinds]


def _lines(path: Path) -> list[Event]:
    """The events of a file; the last line may have been cut by a kill, no other."""
    events = []
    lines = path.read_bytes().split(b"\n")
    for number, line in enumerate(lines[:-1], 1):
        try:
            events.append(msgspec.json.decode(line, type=Event))
        except msgspec.MsgspecError as error:
            raise RecordsError(f"{path}:{number}: {error}") from error
    return events


def _logged(path: Path) -> list[Event]:
    """The lines of a gateway's log that tell when something was, as events; other lines are for people."""
    events = []
    for line in path.read_bytes().split(b"\n")[:-1]:
        try:
            found = msgspec.json.decode(line, type=Event)
        except msgspec.MsgspecError:
            continue  # a word of the interpreter's or of a library's
        if "t" in found:
            events.append(found | {"ev": found["event"]})
    return events


def load(folder: Path) -> Records:
    """Read a stage's folder. Raises RecordsError, naming what is missing or the line that can't be read."""

    def all_of(pattern: str) -> tuple[Event, ...]:
        paths = sorted(folder.glob(pattern))
        if not paths:
            raise RecordsError(f"{folder}/{pattern}: no record")
        return tuple(sorted((x for path in paths for x in _lines(path)), key=lambda x: float(x["t"])))

    logs = sorted((*folder.glob("gateway-*.log"), *folder.glob("twin-*.log")))
    return Records(
        all_of("host-*.jsonl"), all_of("players*.jsonl"), all_of("registry*.jsonl"), all_of("stage.jsonl"),
        tuple(sorted((x for path in logs for x in _logged(path)), key=lambda x: float(x["t"]))),
    )  # fmt: skip

"""The record of a run: each event of the placement module with the actions it led to, and the replay.

One JSON value a line: first the settings and the seed, then `[time, event, actions]`. An incomplete last
line, as a kill leaves it, raises RecordError once the lines before it have been read.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, BinaryIO

import msgspec

from ..core import interface as api
from ..core.policy import Controller
from ..core.sessions import PlacementModule

RECORDED_TYPES: dict[str, type[Any]] = {
    kind.__name__: kind
    for kind in (
        api.ServerList, api.SessionRequest, api.SessionHandedOver, api.SessionPlays, api.AttemptEnded,
        api.SessionGone, api.DeliveryNote, api.RungNote, api.LoadNote, api.ProbeAnswered, api.TimerFired,
        api.StartAttempt, api.ChooseRung, api.Refuse, api.Fail, api.MoveSession, api.Probe, api.SetTimer,
        api.AskForList, api.Log,
    )
}  # fmt: skip
FORMAT_VERSION = 1


class RecordError(ValueError):
    """A record can't be read; the message names file and line."""


def _encode_value(value: Any) -> list[Any]:
    return [type(value).__name__, value]


class Recorder:
    """Writes a record; the session manager calls it on the decision loop."""

    def __init__(self, path: Path, settings: api.Settings, seed: int) -> None:
        """Raises OSError if the file can't be created."""
        self._file: BinaryIO = path.open("wb")
        self._encoder = msgspec.json.Encoder()
        self._write_line({"version": FORMAT_VERSION, "seed": seed, "settings": settings})

    def _write_line(self, value: Any) -> None:
        self._file.write(self._encoder.encode(value) + b"\n")
        self._file.flush()  # a kill loses no step whose actions were executed

    def __call__(self, now: float, event: api.Event | None, actions: list[api.Action]) -> None:
        """Append one step and flush; `now` is in seconds, `event` None at the start. Raises OSError."""
        self._write_line(
            [now, None if event is None else _encode_value(event), [_encode_value(x) for x in actions]]
        )

    def close(self) -> None:
        """Close the file; no step may be recorded afterwards."""
        self._file.close()


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedStep:
    """One line of a record; `event` is None for the start of the module."""

    line: int
    now: float
    event: api.Event | None
    actions: tuple[Any, ...]


def _decode_value(pair: Any) -> Any:
    name, fields = pair
    return msgspec.convert(fields, RECORDED_TYPES[name])


def read(path: Path) -> tuple[api.Settings, int, Iterator[RecordedStep]]:
    """Settings, seed and steps of a record. Raises RecordError, for a step once the iterator reaches it."""
    try:
        lines = path.read_bytes().split(b"\n")
        head = msgspec.json.decode(lines[0])
        if head.get("version") != FORMAT_VERSION:
            raise RecordError(f"{path}:1: version {head.get('version')!r}; expected {FORMAT_VERSION}")
        settings, seed = msgspec.convert(head["settings"], api.Settings), int(head["seed"])
    except (OSError, msgspec.MsgspecError, KeyError, AttributeError) as error:
        raise RecordError(f"{path}:1: not a record header: {error}") from error

    def steps() -> Iterator[RecordedStep]:
        for number, line in enumerate(lines[1:-1], 2):
            try:
                now, event, actions = msgspec.json.decode(line)
                done = tuple(_decode_value(x) for x in actions)
                yield RecordedStep(number, now, None if event is None else _decode_value(event), done)
            except (msgspec.MsgspecError, KeyError, ValueError, TypeError) as error:
                raise RecordError(f"{path}:{number}: not a recorded step: {error}") from error
        if lines[-1]:
            raise RecordError(f"{path}:{len(lines)}: truncated after {len(lines) - 2} complete steps")

    return settings, seed, steps()


def replay(
    path: Path, make_module: Callable[[api.Settings, int], PlacementModule] = Controller
) -> tuple[int, str | None]:
    """Replay a recorded run: the number of steps that agree, and the first difference or None."""
    settings, seed, steps = read(path)
    module, count = make_module(settings, seed), 0
    for step in steps:
        event = step.event
        actions = module.start(step.now) if event is None else module.handle(step.now, event)
        if tuple(actions) != step.actions:
            return count, f"{path}:{step.line}: {event!r}: recorded {step.actions!r}, now {actions!r}"
        count += 1
    return count, None

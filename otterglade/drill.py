"""Adapter between the drill's line protocol and controllers: lines to events, actions to lines."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from typing import TextIO

from .core import interface as api
from .core.policy import Controller
from .core.settings import MS_PER_SECOND, PathValues, flag, read_settings

SERVER_STATES = {0: api.State.GONE, 1: api.State.READY, 2: api.State.DRAINING}
OUTCOMES = {
    "done": api.Outcome.DONE,
    "err": api.Outcome.ERROR,
    "busy": api.Outcome.BUSY,
    "etimedout": api.Outcome.TIMED_OUT,
    "econnrefused": api.Outcome.REFUSED,
    "econnreset": api.Outcome.RESET,
    "ecanceled": api.Outcome.CANCELLED,
    "skipped": api.Outcome.SKIPPED,
}
FIELD_COUNTS = {  # values after the word of each message, instance number included; None: any number
    "BOOT": None, "KILLED": 1, "REGISTRY": 4, "QUERY": 12, "HANDOVER": 13, "HEADERS": 5, "PROGRESS": 6,
    "COMPLETED": 8, "ABANDONED": 2, "REMINDER": 2, "CHECKED": 5, "NEIGHBOUR_SAYS": 3,
}  # fmt: skip


class BadLineError(ValueError):
    """A known message with missing, surplus or malformed values."""


def _parse_load(text: str) -> api.Load | None:
    if text in ("-", ""):
        return None
    values = dict(pair.split(":", 1) for pair in text.split(",") if ":" in pair)

    def number_of(name: str) -> float | None:
        return float(values[name]) if name in values and values[name] != "-" else None

    return api.Load(streams=number_of("rif"), link=number_of("x0"), uplink=number_of("x1"))


def _parse_entry(parts: list[str]) -> api.ServerEntry:
    started = 0.0 if parts[6] == "-" else float(parts[6]) / MS_PER_SECOND
    return api.ServerEntry(
        int(parts[0]), int(parts[1]), int(parts[2]), int(parts[3]), SERVER_STATES[int(parts[4])],
        float(parts[5]), started,
    )  # fmt: skip


def _parse_request(
    session: str, class_no: str, tenant: str, title: str, patience: str, estimate: str, home: str,
    holders: str, top: str, flag_bits: str,
) -> api.SessionRequest:  # fmt: skip
    flags = int(flag_bits)
    hint = float(estimate) / MS_PER_SECOND if flags & 1 and estimate != "-" else None
    return api.SessionRequest(
        int(session), int(class_no), int(tenant) if tenant != "-" else 0, title,
        0.0 if patience == "-" else float(patience) / MS_PER_SECOND, hint, int(home), int(holders), int(top),
        moved=bool(flags & 8), again=bool(flags & 16),
    )  # fmt: skip


def _parse_event(
    word: str, values: list[str], tables: dict[int, tuple[api.ServerEntry, ...]]
) -> api.Event | None:
    """Parse an event from its values, the instance's number first. None if the controller does not use it."""
    if word == "REGISTRY":
        kind = int(values[1])
        if kind == 4:
            return api.ServerList((), complete=False, failed=True)
        return api.ServerList(tables[int(values[3])], complete=kind != 2, cached=kind == 0)
    if word == "QUERY":
        return _parse_request(
            values[1], values[2], values[3], values[5], values[6], values[7], values[8], values[9],
            values[10], values[11],
        )  # fmt: skip
    if word == "HANDOVER":
        request = _parse_request(
            values[1], values[3], values[8], values[12], values[6], values[5], values[4], values[2],
            values[11], values[9],
        )  # fmt: skip
        return api.SessionHandedOver(request, int(values[7]))
    if word == "HEADERS":
        return api.SessionPlays(
            int(values[1]), int(values[3]), int(values[4]), float(values[2]) / MS_PER_SECOND
        )
    if word == "COMPLETED":
        return api.AttemptEnded(
            int(values[1]), int(values[3]), int(values[2]), OUTCOMES[values[4]],
            float(values[5]) / MS_PER_SECOND, flag(values[6]), _parse_load(values[7]),
        )  # fmt: skip
    if word == "PROGRESS":
        value, server, kind = float(values[3]), int(values[4]), int(values[5])
        if kind == 1:
            return api.DeliveryNote(server, value)
        if kind == 2:
            return api.RungNote(int(values[1]), int(value))
        if kind in (3, 4):
            return api.LoadNote(server, api.Load(link=value) if kind == 3 else api.Load(uplink=value))
        return None
    if word == "ABANDONED":
        return api.SessionGone(int(values[1]))
    if word == "REMINDER":
        return api.TimerFired(int(values[1]))
    if word == "CHECKED":
        return api.ProbeAnswered(
            int(values[3]), OUTCOMES[values[2]], float(values[1]) / MS_PER_SECOND, _parse_load(values[4])
        )
    return None


def format_action(instance: int, action: api.Action) -> str:
    """Format one action as a line of the protocol; times are in milliseconds."""
    match action:
        case api.StartAttempt(session, server, time_out):
            return f"DELIVER {instance} {session} {server} {time_out * MS_PER_SECOND:.3f}"
        case api.ChooseRung(session, rung):
            return f"CHOOSE_RATE {instance} {session} {rung}"
        case api.Refuse(session, come_back):
            return f"BOUNCE {instance} {session} {come_back * MS_PER_SECOND:.3f}"
        case api.Fail(session):
            return f"FAIL {instance} {session}"
        case api.MoveSession(session):
            return f"RELOCATE {instance} {session}"
        case api.Probe(server):
            return f"PROBE {instance} {server}"
        case api.SetTimer(token, at):
            return f"SCHEDULE {instance} {token} {at * MS_PER_SECOND:.3f}"
        case api.AskForList():
            return f"STREAM_CHANGES {instance} 1"
        case api.Log(text):
            return f"SAY_LOG {instance} {text}"


class DrillAdapter:
    """All instances of one process, each with its own controller; they share no state."""

    def __init__(self, output: TextIO, errors: TextIO) -> None:
        self.output, self.errors = output, errors
        self.controllers: dict[int, Controller] = {}
        self.tables: dict[int, tuple[api.ServerEntry, ...]] = {}
        self.unknown_words: set[str] = set()
        self.open_table: tuple[int, int, list[api.ServerEntry]] | None = None

    def serve(self, lines: Iterable[str]) -> None:
        """Answer each batch of lines until the input ends. Raises SystemExit(2) on an unreadable table."""
        now, replies = 0.0, list[str]()
        for raw in lines:
            line = raw.rstrip("\r\n")
            word, _, rest = line.partition(" ")
            if word == "TURN":
                now, replies = float(rest) / MS_PER_SECOND, []
            elif word == "EOF_BATCH":
                self.output.write("\n".join([*replies, "OK\n"]))
                self.output.flush()
            elif line:
                replies += self._handle_line(now, line, word, rest.split(" ") if rest else [])

    def _handle_line(self, now: float, line: str, word: str, values: list[str]) -> list[str]:
        if word in ("TABLE", "M"):
            return self._with_error_reply(line, None, lambda: self._read_table_line(word, values))
        if word not in FIELD_COUNTS:
            if word not in self.unknown_words:
                self.unknown_words.add(word)
                print(f"skipped unknown message: {line}", file=self.errors, flush=True)
            return []
        instance = int(values[0]) if values and values[0].isdigit() else None
        return self._with_error_reply(line, instance, lambda: self._handle_instance_line(now, word, values))

    def _with_error_reply(self, line: str, instance: int | None, read: Callable[[], list[str]]) -> list[str]:
        try:
            return read()
        except (ValueError, KeyError, IndexError) as error:
            print(f"bad line: {line!r}: {error!r}", file=self.errors, flush=True)
            if instance is None:
                raise SystemExit(2) from error
            return [f"BUG {instance} bad line {line[:200]!r}: {error!r}"]

    def _read_table_line(self, word: str, values: list[str]) -> list[str]:
        if word == "TABLE":
            self.tables[int(values[0])] = ()
            self.open_table = (int(values[0]), int(values[1]), [])
            return []
        if self.open_table is None or len(values) != 7:
            raise BadLineError("entry outside a table, or with a wrong number of values")
        number, size, entries = self.open_table
        entries.append(_parse_entry(values))
        if len(entries) == size:
            self.tables[number] = tuple(entries)
        return []

    def _handle_instance_line(self, now: float, word: str, values: list[str]) -> list[str]:
        count = FIELD_COUNTS[word]
        if count is not None and len(values) != count:
            raise BadLineError(f"{count} values expected")
        instance = int(values[0])
        if word == "KILLED":
            self.controllers.pop(instance, None)
            return []
        if word == "BOOT":
            controller = Controller(read_settings(PathValues(values[2:])), int(values[1]))
            self.controllers[instance] = controller
            actions = controller.start(now)
        else:
            event = _parse_event(word, values, self.tables)
            if event is None or instance not in self.controllers:
                return []
            actions = self.controllers[instance].handle(now, event)
        return [format_action(instance, action) for action in actions]


def main() -> None:
    """Serve standard input and output."""
    DrillAdapter(sys.stdout, sys.stderr).serve(sys.stdin)


if __name__ == "__main__":
    main()

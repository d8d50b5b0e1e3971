"""Stories for people: numbered steps, a sequence diagram, and files that play again."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from .acts import Act, do
from .search import play
from .times import pack, unpack
from .world import BrokenError, Call, Scope, World


class StoryError(ValueError):
    """A file that is no story, or one that can't happen any more; names the file."""


class Story(msgspec.Struct, frozen=True):
    """A story as a file."""

    scope: dict[str, int]
    steps: list[list[Any]]
    broken: str = ""
    """The property that it broke when it was found; the regression test wants that it breaks none."""
    what: str = ""

    def acts(self) -> list[Act]:
        return [tuple(x) for x in self.steps]

    def world(self) -> Scope:
        return Scope(**self.scope)


def of(scope: Scope, acts: list[Act], broken: str, what: str) -> Story:
    return Story(
        {x: getattr(scope, x) for x in Scope.__dataclass_fields__}, [list(x) for x in acts], broken, what
    )


def save(path: Path, story: Story) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(story)) + b"\n")


def load(path: Path) -> Story:
    """Raises StoryError."""
    try:
        story = msgspec.json.decode(path.read_bytes(), type=Story)
        story.world()
    except (OSError, msgspec.MsgspecError, TypeError) as error:
        raise StoryError(f"{path}: no story: {error}") from error
    return story


def replay(path: Path) -> BrokenError | None:
    """Play a file's story against the code as it is now. Raises StoryError where it can't happen any more:
    that is an end of a story too, and the caller says what it means."""
    story = load(path)
    try:
        return play(story.world(), story.acts())[1]
    except ValueError as error:
        raise StoryError(f"{path}: {error}") from error


OF_CALLS = frozenset(
    ("claimed", "claim told", "claim lost", "no claim", "arrive", "busy", "cut", "answer", "refused", "reset",
     "asked", "word", "silent", "silence", "witnessed", "witness keeps", "witness told", "witness lost")
)  # fmt: skip
"""Acts whose first number is that of an exchange."""


def _arrow(world: World, act: Act) -> tuple[str, str, str]:
    """From whom, to whom, what; an act of one alone has no second."""
    name, n = act[0], int(act[1])
    call: Call | None = None
    if name in OF_CALLS:
        call = world.calls[n]
    gate = f"g{call.gate}" if call else f"g{n}"
    host = "" if call is None else f"h{call.server}" if call.witness < 0 else f"w{call.witness}"
    setup = call.setup if call else ""
    match name:
        case "ask":
            return f"v{n}", f"g{act[2]}", "asks for the title"
        case "segment":
            return f"v{n}", f"g{act[2]}", "asks for a segment by his address"
        case "leave" | "stop":
            return f"v{n}", "", "leaves while he waits" if name == "leave" else "stops watching"
        case "give up":
            return f"v{n}", "", "gives up: nothing came"
        case "arrive":
            late = " (nobody waits for it any more)" if call and call.state == "closed" else ""
            return gate, host, f"set-up {setup} arrives{late}"
        case "busy":
            return gate, host, f"set-up {setup} is turned away: it never ran"
        case "answer":
            return host, gate, f"answers {setup}: {call.answer.value if call else ''}"
        case "cut":
            return host, gate, f"the connection of {setup} breaks"
        case "refused" | "reset":
            return host, gate, f"{name} connection for {setup}"
        case "asked":
            return gate, host, f"what became of {setup}?"
        case "word":
            return host, gate, f"word on {setup}: {call.answer[0] if call else ''}"
        case "silent" | "silence":
            return host, gate, f"no word on {setup}"
        case "claimed":
            return gate, host, f"claims {setup}"
        case "claim told":
            granted = call is None or call.answer is True
            stands = "granted" if granted else f"{world.calls[n].answer.setup} stands"
            return host, gate, f"claim of {setup}: {stands}"
        case "witnessed":
            return gate, host, f"has {setup} witnessed"
        case "witness keeps":
            return host, "", f"has the claim of {setup} on its disk"
        case "witness told":
            other = call.answer.other if call is not None and call.answer is not None else None
            return host, gate, f"on {setup}: {f'{other.setup} stands' if other else 'granted'}"
        case "witness lost":
            return host, gate, f"no word on {setup}"
        case "power":
            return "", "", "the power goes everywhere: hosts forget, what was not synced is gone"
        case "claim lost" | "no claim":
            return host, gate, f"no word on the claim of {setup}"
        case "release" | "release lost":
            setup, server, run = world.releases[n]
            lost = " is lost" if name == "release lost" else ""
            return run.partition(".")[0], f"h{server}", f"release of {setup}{lost}"
        case "event":
            return "", f"g{world.events[n][0]}", f"is told that {world.events[n][2]} has ended"
        case "forget":
            return f"h{n}", "", "starts anew and has forgotten"
        case "idle":
            return f"g{n}", "", f"finds session {act[2]} quiet and ends it"
        case "learn":
            return f"h{act[2]}", f"g{n}", "is known to have started anew"
        case "alarm":
            alarm = world.gates[n].alarms[int(act[2])]
            return f"g{n}", "", f"alarm: {alarm.kind.value} of {alarm.token}"
        case "write" | "write fails":
            records = len(world.gates[n].queue)
            return f"g{n}", "", f"{records} records are on disk" if name == "write" else "the disk is full"
        case "written":
            return f"g{n}", "", f"the session manager hears that {world.gates[n].synced[0][1]} is on disk"
        case _:
            return f"g{n}", "", {"kill": "is killed", "start": "starts again"}.get(str(name), str(name))


def told(scope: Scope, acts: list[Act], broken: str = "", what: str = "") -> str:
    """A story as numbered steps with a column for each viewer, gateway and host."""
    world = World(scope)
    columns = [f"v{n}" for n in range(scope.viewers)] + [f"g{n}" for n in range(scope.gateways)]
    columns += [f"h{n}" for n in range(scope.hosts)] + [f"w{n}" for n in range(scope.witnesses)]
    lines = ["     " + "".join(f"{x:^5}" for x in columns)]
    for number, act in enumerate(acts, 1):
        world = unpack(pack(world))
        source, target, said = _arrow(world, act)
        lines.append(
            f"{number:3d}  {_row(columns, source, target)}  {' '.join(x for x in (source, said) if x)}"
        )
        try:
            do(world, act)
        except BrokenError:
            break
    if broken:
        lines.append(f"     broken: {broken}: {what}")
    return "\n".join(lines)


def _row(columns: list[str], source: str, target: str) -> str:
    cells = list("  |  " * len(columns))
    places = sorted(columns.index(x) * 5 + 2 for x in (source, target) if x in columns)
    if len(places) == 2:
        for n in range(places[0], places[1]):
            cells[n] = "-"
        cells[places[0]] = cells[places[1]] = "+"
        cells[columns.index(target) * 5 + 2] = ">" if columns.index(target) > columns.index(source) else "<"
    elif places:
        cells[places[0]] = "*"
    return "".join(cells)

"""What can happen next in the explored world of the distribution: the step in order, and the departures."""

from __future__ import annotations

import msgspec

from ..core.distribution.messages import PartAnswer, ProposeRequest, ReadAnswer, StoreRequest
from ..core.distribution.revision import Change, Delta
from ..core.distribution.writer import PROPOSAL_TIMEOUT_SECONDS
from .distribution import (
    KINDS,
    REGISTER,
    Act,
    Asked,
    Body,
    Flight,
    Process,
    Question,
    Reply,
    Scope,
    World,
    considered,
    idle,
)
from .world import BrokenError

FOREVER = float("inf")
DAMAGE = b"damaged"
"""A value that nobody proposed."""


# The step in order


def default_act(world: World) -> Act | None:
    """What happens where nothing departs from the order; None: nothing is left to do."""
    return (
        _arrival(world, late=False)
        or _decision(world)
        or _reading(world)
        or _recovery(world)
        or _timeout(world)
        or _arrival(world, late=True)
        or _renewal(world)
        or _retry(world)
        or _proposal(world)
    )


def _arrival(world: World, late: bool) -> Act | None:
    for index, flight in enumerate(world.flights):
        if flight.late == late and _deliverable(world, flight):
            return ("deliver", index)
    return None


def _deliverable(world: World, flight: Flight) -> bool:
    return flight.to == REGISTER or not world.processes[flight.to].stopped


def _decision(world: World) -> Act | None:
    for name in world.voters:
        process = world.processes[name]
        if process.acts and _may_decide(process):
            return ("vote", name)
    return None


def _may_decide(process: Process) -> bool:
    looked_at = considered(process)
    if process.voting is not None:
        return False
    return bool(looked_at) and looked_at != process.considered


def _reading(world: World) -> Act | None:
    for process in world.processes.values():
        if idle(process):
            return ("read", process.name)
    return None


def _timeout(world: World) -> Act | None:
    return next(iter(_timeouts(world)), None)


def _timeouts(world: World) -> list[Act]:
    """Readers whose exchange can't bring anything any more."""
    waiting = [one for one in world.processes.values() if one.acts and one.exchange]
    return [("fail", process.name) for process in waiting if not _under_way(world, process)]


def _under_way(world: World, process: Process) -> bool:
    """Whether a reader's exchange may still bring something in time."""
    asked = (process.exchange, process.life)
    for flight in world.flights:
        body = flight.body
        asks = isinstance(body, Question) and flight.sender == process.name
        answers = isinstance(body, Reply) and flight.to == process.name
        if flight.late or not (asks or answers):
            continue
        if isinstance(body, Question | Reply) and (body.read_id, body.life) == asked:
            return True
    held = [one for other in world.processes.values() if other.runs for one in other.held]
    return any(name == process.name and (q.read_id, q.life) == asked for name, q in held)


def _recovery(world: World) -> Act | None:
    return next(iter(_returns(world)), None)


def _returns(world: World) -> list[Act]:
    acts: list[Act] = []
    for process in world.processes.values():
        if process.stopped:
            acts.append(("continue", process.name))
        if process.cut:
            acts.append(("heal", process.name))
        if not process.runs:
            acts.append(("start", process.name))
    return acts


def _renewal(world: World) -> Act | None:
    """An owner that is gone is followed by another; lost votes and orders come again."""
    last = world.orders[-1]
    owner = world.processes[last.owner]
    if owner.life != world.owner_life:
        return ("replace", world.voters[0], int(bool(world.votes)))
    if owner.voting is not None and owner.voting.version > last.version:
        return ("vote", owner.name)
    for name in world.voters:
        process = world.processes[name]
        assert process.work is not None, "all voters run"
        fence = process.fence
        if fence is None or fence.version < last.version or not process.work.status().writer:
            return ("tell", name)
    return None


def _retry(world: World) -> Act | None:
    for name in world.voters:
        work = world.processes[name].work
        if work is not None and work.due() < FOREVER:
            return ("retry", name)
    return None


def _proposal(world: World) -> Act | None:
    owner = world.orders[-1].owner
    for proposal, asked in world.asked.items():
        if not asked.voter:
            return ("propose", int(proposal[1:]), owner)
    if not world.asked and world.proposed < world.scope.proposals:
        return ("propose", world.proposed, owner)
    return None


def begun(scope: Scope) -> World:
    """The world in which a story begins."""
    world = World(scope)
    while scope.settled:
        act = default_act(world)
        if act is None or act[0] == "propose":
            break
        do(world, act)
    world.steps = 0
    return world


# Departures


def possible(world: World) -> list[Act]:
    """All that can happen: the step in order first, if there is one."""
    act = default_act(world)
    acts = [] if act is None else [act]
    if act is None:
        return acts
    acts += [one for one in _free(world) if one != act]
    if world.steps >= world.scope.horizon or sum(world.spent.values()) >= world.scope.faults:
        return acts
    kinds = [kind for kind in KINDS if world.spent.get(kind, 0) < getattr(world.scope, kind)]
    return acts + [one for kind in kinds for one in _departures(world, kind)]


def _free(world: World) -> list[Act]:
    """What has departed from the order may come back to it at any time."""
    late = [
        ("deliver", n)
        for n, flight in enumerate(world.flights)
        if flight.late and _deliverable(world, flight)
    ]
    return [*late, *_returns(world), *_timeouts(world)]


def _departures(world: World, kind: str) -> list[Act]:
    match kind:
        case "lost" | "late" | "doubled" | "damaged":
            return _of_flights(world, kind)
        case "kills":
            return _kills(world)
        case "empty":
            return [("empty", "r")] if world.processes["r"].runs else []
        case "stops":
            return [(kind, one.name) for one in world.processes.values() if one.acts]
        case "cuts":
            return [(kind, one.name) for one in world.processes.values() if one.runs and not one.cut]
        case "early":
            return _early(world)
        case "renewed":
            return [(kind,)]
        case _:
            return _of_voters(world, kind)


def _of_flights(world: World, kind: str) -> list[Act]:
    acts: list[Act] = []
    for index, flight in enumerate(world.flights):
        if flight.late or (kind == "doubled" and isinstance(flight.body, ProposeRequest)):
            continue
        if kind != "damaged" or damaged(flight.body) is not None:
            acts.append((kind, index))
    return acts


def _kills(world: World) -> list[Act]:
    acts: list[Act] = []
    for process in world.processes.values():
        if process.runs:
            acts.append(("kills", process.name, 1))
            if process.unsynced is not None:
                acts.append(("kills", process.name, 0))
    return acts


def _early(world: World) -> list[Act]:
    owner = world.orders[-1].owner
    again = [int(proposal[1:]) for proposal, asked in world.asked.items() if not asked.voter]
    if world.asked and world.proposed < world.scope.proposals:
        again.append(world.proposed)
    return [("early", number, owner) for number in again]


def _of_voters(world: World, kind: str) -> list[Act]:
    acts: list[Act] = []
    able = [name for name in world.voters if world.processes[name].hears]
    for name in able:
        work = world.processes[name].work
        assert work is not None, "it runs"
        match kind:
            case "replaced" if name != world.orders[-1].owner and len(able) > len(world.voters) // 2:
                acts += [("replaced", name, adopted) for adopted in range(1 + bool(world.votes))]
            case "lapsed" if work.status().writer:
                acts.append(("lapsed", name))
            case "decided" if _may_decide(world.processes[name]):
                acts.append(("decided", name))
            case "expired" if work.due() < FOREVER:
                acts.append(("expired", name))
    return acts


# Acts


def damaged(body: Body) -> Body | None:
    """A message with other content than was sent, under the same announced digest; None: it has none."""
    match body:
        case StoreRequest(delta=delta) if not _is_damaged(delta):
            return msgspec.structs.replace(body, delta=_damaged_delta(delta))
        case Reply(answer=ReadAnswer(delta=Delta() as delta) as answer) if not _is_damaged(delta):
            changed = msgspec.structs.replace(answer, delta=_damaged_delta(delta))
            return Reply(body.read_id, body.life, changed)
        case Reply(answer=PartAnswer(data=data) as part) if data:
            changed_part = msgspec.structs.replace(part, data=data[:-1] + bytes([data[-1] ^ 1]))
            return Reply(body.read_id, body.life, changed_part)
        case _:
            return None


def _is_damaged(delta: Delta) -> bool:
    return any(change.value == DAMAGE for change in delta.changes)


def _damaged_delta(delta: Delta) -> Delta:
    changes = tuple(Change(change.key, DAMAGE) for change in delta.changes)
    return msgspec.structs.replace(delta, changes=changes)


def do(world: World, act: Act) -> None:
    """Let it happen. Raises BrokenError where a property does not hold, or the shipped code fails."""
    kind = str(act[0])
    world.steps += 1
    if kind in KINDS:
        world.spent[kind] = world.spent.get(kind, 0) + 1
    try:
        _do(world, kind, act)
    except (ArithmeticError, AssertionError, AttributeError, LookupError, TypeError, ValueError) as error:
        raise BrokenError("raises", f"{type(error).__name__}: {error}") from error


def _do(world: World, kind: str, act: Act) -> None:
    match kind:
        case "deliver" | "lost" | "late" | "doubled" | "damaged":
            _do_flight(world, kind, int(act[1]))
        case "propose" | "early":
            number = int(act[1])
            world.proposed = max(world.proposed, number + 1)
            world.propose(number, str(act[2]))
        case "renewed":
            world.tell_all()
        case _:
            _do_process(world, kind, world.processes[str(act[1])], bool(act[2]) if len(act) > 2 else False)


def _do_flight(world: World, kind: str, index: int) -> None:
    flight = world.flights[index]
    match kind:
        case "deliver":
            del world.flights[index]
            world.deliver(flight)
        case "lost":
            del world.flights[index]
            if isinstance(flight.body, ProposeRequest):
                world.asked[flight.body.proposal] = Asked("", 0)
        case "late":
            flight.late = True
        case "doubled":
            world.flights.append(Flight(flight.sender, flight.to, flight.body, late=True))
        case "damaged":
            flight.body = damaged(flight.body) or flight.body


def _do_process(world: World, kind: str, process: Process, choice: bool) -> None:
    match kind:
        case "vote" | "decided":
            world.vote(process)
        case "read":
            world.read(process)
        case "fail":
            world.fail(process)
        case "continue":
            process.stopped = False
        case "heal":
            process.cut = False
        case "start":
            world.start(process)
        case "replace" | "replaced":
            world.replace(process.name, choice)
        case "tell":
            world.tell(process.name)
        case "kills":
            world.kill(process, choice)
        case "empty":
            world.kill(process, synced=False)
            process.disk_log = None
        case "stops":
            process.stopped = True
        case "cuts":
            process.cut = True
        case _:
            _do_voter(world, kind, process)


def _do_voter(world: World, kind: str, process: Process) -> None:
    work = process.work
    assert work is not None, "it runs"
    match kind:
        case "lapsed":
            process.owns = None
            work.expire_order(0.0)
            world.after(process)
        case "retry":
            world.tick(process, work.due())
        case "expired":
            world.tick(process, PROPOSAL_TIMEOUT_SECONDS)

"""What can happen next in a world, and how it does: the steps of the search.

An act is a short tuple of a name and numbers, so that a story is a list that can be written down and played
again. Time passes only where an alarm rings: messages may take any time before it, none or more than all.
"""

from __future__ import annotations

from typing import Any

from ..core import messages as m
from ..core.attempts import HostAnswer
from ..core.interface import Outcome
from ..core.managed_session import Phase
from .world import PATIENCE, BrokenError, Call, Gate, Viewer, World

Act = tuple[Any, ...]
"""Its name, then the numbers of whom it happens to."""


def possible(world: World) -> list[Act]:
    """Every act that can happen now, in an order that does not depend on chance."""
    _forget_stale(world)
    eager = _eager(world)
    if eager is not None:
        return [eager]
    acts: list[Act] = []
    left = world.left
    up = [x for x in world.gates if x.up]
    for n, viewer in enumerate(world.viewers):
        if viewer.state in ("away", "broken") and viewer.asks:
            acts += [("ask", n, x.number) for x in up]
        if viewer.state == "waiting" and left["leaves"]:
            acts.append(("leave", n))
        if viewer.state == "playing":
            acts.append(("stop", n))
            if left["segments"]:
                acts += [("segment", n, x.number) for x in up if not _knows(world, x, viewer)]
    for n, call in enumerate(world.calls):
        acts += _of_call(world, n, call)
    for n, release in enumerate(world.releases):
        if release not in world.releases[:n]:
            acts.append(("release", n))
            if left["lost"]:
                acts.append(("release lost", n))
    acts += [("event", n) for n, _ in enumerate(world.events)]
    for gate in world.gates:
        if not gate.up:
            acts.append(("start", gate.number))
            continue
        if gate.queue:
            acts.append(("write", gate.number))
            if left["full"] and any(x[1] is not None for x in gate.queue):
                acts.append(("write fails", gate.number))
        if gate.synced:
            acts.append(("written", gate.number))
        acts += [("idle", gate.number, x) for x in _unwatched(world, gate)]
        if left["kills"]:
            acts.append(("kill", gate.number))
        for n, host in enumerate(world.hosts):
            if gate.epochs[n] != host.epoch:
                acts.append(("learn", gate.number, n))
    if left["forgets"]:
        acts += [("forget", n) for n, _ in enumerate(world.hosts)]
    if left["powers"]:
        acts.append(("power", 0))
    return acts + _alarms(world)


def _forget_stale(world: World) -> None:
    """Drop alarms that the session manager would ignore: time may pass without them."""
    for gate in world.gates:
        if not gate.up:
            continue
        manager, kept = gate.alive()[0], []
        waits = {x.waiter for y in manager.resolving.values() for _, x in y}
        for alarm in gate.alarms:
            session = manager.sessions.get(alarm.token)
            placing = session is not None and session.phase is Phase.PLACING
            attempt = session is not None and session.attempt_out == alarm.attempt
            if (
                (alarm.kind is m.TimerKind.DEADLINE and placing)
                or (alarm.kind is m.TimerKind.ATTEMPT and placing and attempt)
                or (alarm.kind is m.TimerKind.RECOVERY and alarm.token in waits)
                or alarm.kind in (m.TimerKind.MODULE, m.TimerKind.MOVE)
            ):
                kept.append(alarm)
        gate.alarms = kept


def _eager(world: World) -> Act | None:
    """An act whose order among all others makes no difference, so that only one order is looked at.

    A release of a key that does not play and of which nothing is under way: it leaves a mark that nobody can
    meet any more. Word of disk or registrar to an attempt that waits for more of them: it is only counted. A
    write of what nobody waits for, where no kill can come: only a kill tells it from later.
    (Partial-order reduction by singletons; anything wider would have to know what the module looks at.)
    """
    for n, (setup, server, _) in enumerate(world.releases):
        under_way = any(x.setup == setup and x.claim is None for x in world.calls)
        if not under_way and setup not in world.hosts[server].plays:
            return ("release", n)
    for gate in world.gates:
        if gate.up and gate.synced:
            waits = gate.alive()[1].pending.get(gate.synced[0][1])
            if waits is not None and (waits.registrars_pending or _polled(gate, gate.synced[0][1])):
                return ("written", gate.number)
    if not world.left["silent"]:
        for n, call in enumerate(world.calls):
            if call.claim is not None and call.witness < 0 and call.state == "answered":
                waits = world.gates[call.gate].alive()[1].pending.get(call.setup)
                polled = _polled(world.gates[call.gate], call.setup)
                if waits is None or len(waits.registrars_pending) > 1 or not waits.written or polled:
                    return ("claim told", n)
    if not world.left["kills"] and not world.left["full"]:
        for gate in world.gates:
            if gate.up and gate.queue and all(x[1] is None for x in gate.queue):
                return ("write", gate.number)
    return None


def _polled(gate: Gate, setup: str) -> bool:
    """Whether an attempt waits for its witnesses."""
    poll = gate.alive()[1].polls.get(setup)
    return poll is not None and poll.verdict is None


def _knows(world: World, gate: Gate, viewer: Viewer) -> bool:
    manager, _ = gate.alive()
    return (viewer.name, 0, "a") in manager.sessions_by_key


def _unwatched(world: World, gate: Gate) -> list[int]:
    """Sessions that a gateway holds, and whose viewer fetches nothing there: it finds them quiet some day."""
    found = []
    for number, session in sorted(gate.alive()[0].sessions.items()):
        viewer = world.viewers[world.viewer_named(session.key[0])]
        here = viewer.state == "playing" and viewer.gate == gate.number
        if session.phase is Phase.PLAYING and not here and viewer.state != "waiting":
            found.append(number)
    return found


def _of_call(world: World, n: int, call: Call) -> list[Act]:
    left, question = world.left, call.entry is not None
    if call.witness >= 0:
        name = {"sent": "witnessed", "closed": "witnessed", "kept": "witness keeps"}.get(
            call.state, "witness told"
        )
        lost = left["silent"] and call.state != "closed"
        return [(name, n)] + ([("witness lost", n)] if lost else [])
    if call.claim is not None:
        if call.state == "broken":
            return [("no claim", n)]
        at_once: Act = ("claimed", n) if call.state != "answered" else ("claim told", n)
        return [at_once] + ([("claim lost", n)] if left["silent"] and call.state != "closed" else [])
    if call.state == "sent" and question:
        return [("asked", n)] + ([("silent", n)] if left["silent"] else [])
    if call.state == "sent":
        acts: list[Act] = [("arrive", n)]
        if left["busy"]:
            acts.append(("busy", n))
        if left["refused"]:
            acts.append(("refused", n))
        if left["cuts"]:
            acts.append(("cut", n))
        return acts
    if call.state == "closed":
        return [("arrive", n)]
    if call.state == "broken":
        return [("silence", n)] if question else [("reset", n)]
    if question:
        return [("word", n)] + ([("silent", n)] if left["silent"] else [])
    return [("answer", n)] + ([("cut", n)] if left["cuts"] else [])


def _alarms(world: World) -> list[Act]:
    """The alarms that are due first, of gateways and of viewers who give up; none else can ring before."""
    due: list[tuple[float, Act]] = [
        (alarm.due_at, ("alarm", x.number, n)) for x in world.gates for n, alarm in enumerate(x.alarms)
    ]
    due += [(x.patience, ("give up", n)) for n, x in enumerate(world.viewers) if x.state == "waiting"]
    first = min((at for at, _ in due), default=0.0)
    return [act for at, act in due if at <= first + 1e-9]


def do(world: World, act: Act) -> None:
    """Let it happen. Raises BrokenError where a property breaks by it."""
    name, *numbers = act
    n = int(numbers[0])
    match name:
        case "ask":
            _ask(world, n, int(numbers[1]))
        case "segment":
            _segment(world, n, int(numbers[1]))
        case "leave":
            _leave(world, n)
        case "stop":
            _stop(world, n)
        case "give up":
            viewer = world.viewers[n]
            raise BrokenError("one answer", f"request {viewer.request} of {viewer.name} was never answered")
        case "arrive" | "busy":
            _spend(world, "busy", name == "busy")
            world.arrive(world.calls[n], busy=name == "busy")
        case "asked":
            world.asked(world.calls[n])
        case "word":
            world.word(world.calls[n], None)
        case "silent" | "silence":
            _spend(world, "silent", name == "silent")
            world.word(world.calls[n], HostAnswer.NO_ANSWER)
        case "claimed":
            call = world.calls[n]
            late = call.state == "closed"
            world.claimed(call)
            if late:
                world.calls.remove(call)
        case "claim told" | "claim lost" | "no claim":
            _spend(world, "silent", name == "claim lost")
            world.claim_told(world.calls[n], silent=name != "claim told")
        case "witnessed":
            call = world.calls[n]
            late = call.state == "closed"
            world.witnessed(call)
            if late:  # nobody hears its word, and its record is written all the same
                if call.record is not None:
                    world.witness_keeps(call)
                world.calls.remove(call)
        case "witness keeps":
            world.witness_keeps(world.calls[n])
        case "witness told" | "witness lost":
            _spend(world, "silent", name == "witness lost")
            world.witness_told(world.calls[n], silent=name == "witness lost")
        case "power":
            _spend(world, "powers")
            world.power()
        case "answer":
            call = world.calls.pop(n)
            world.outcome(call, call.answer)
        case "refused":
            _spend(world, "refused")
            world.outcome(world.calls.pop(n), Outcome.REFUSED)
        case "reset":
            world.outcome(world.calls.pop(n), Outcome.RESET)
        case "cut":
            _cut(world, world.calls[n])
        case "release" | "release lost":
            _spend(world, "lost", name == "release lost")
            setup, server, gate = world.releases.pop(n)
            if name == "release":
                world.release(setup, server, gate)
        case "event":
            number, run, setup = world.events.pop(n)
            if world.gates[number].up and world.gates[number].run == run:
                world.told_ended(world.gates[number], setup)
        case "forget":
            _spend(world, "forgets")
            world.forget(n)
        case _:
            _of_gate(world, str(name), world.gates[n], numbers)


def _of_gate(world: World, name: str, gate: Gate, numbers: list[str | int]) -> None:
    match name:
        case "kill":
            _spend(world, "kills")
            world.kill(gate)
        case "start":
            world.start(gate)
        case "write" | "write fails":
            _spend(world, "full", name == "write fails")
            _write(world, gate, name == "write")
        case "written":
            _, persistence = gate.alive()
            setup, key = gate.synced.pop(0)
            world.carry(gate, persistence.record_written(gate.alive()[0], world.now, setup, key, ""))
        case "idle":
            world.carry(gate, gate.alive()[0].end_idle_sessions(world.now, [int(numbers[1])]))
        case "learn":
            host = int(numbers[1])
            gate.epochs[host] = world.hosts[host].epoch
            world.carry(gate, gate.alive()[0].host_lost(world.now, host, "host started anew"))
        case "alarm":
            alarm = gate.alarms.pop(int(numbers[1]))
            world.now = max(world.now, alarm.due_at)
            world.carry(gate, gate.alive()[0].timer_fired(world.now, alarm))
        case _:
            raise ValueError(f"no such act: {name}")


def _spend(world: World, what: str, really: bool = True) -> None:
    if really:
        world.left[what] -= 1


def _request(world: World, n: int, number: int) -> Viewer:
    viewer = world.viewers[n]
    world.requests += 1
    viewer.state, viewer.gate, viewer.run = "waiting", number, world.gates[number].run
    viewer.request, viewer.patience = world.requests, world.now + PATIENCE
    world.gates[number].waiters[viewer.request] = n
    return viewer


def _ask(world: World, n: int, number: int) -> None:
    gate = world.gates[number]
    viewer = _request(world, n, number)
    viewer.asks -= 1
    manager, _ = gate.alive()
    number = manager.next_session
    orders = manager.request_session(world.now, m.ViewerRequest(viewer.request, (viewer.name, 0, "a"), 2))
    if manager.next_session != number:
        gate.taken.append(world.now)
    world.carry(gate, orders)


def _segment(world: World, n: int, number: int) -> None:
    """A playing viewer's next segment, asked for where his session is not known."""
    _spend(world, "segments")
    gate = world.gates[number]
    viewer = _request(world, n, number)
    ask, entry = world.claim_of(viewer)
    world.carry(gate, gate.alive()[0].resume_session(world.now, ask, entry))


def _leave(world: World, n: int) -> None:
    _spend(world, "leaves")
    viewer = world.viewers[n]
    viewer.state = "away"
    gate = world.gates[viewer.gate]
    gate.waiters.pop(viewer.request, None)
    world.answers[viewer.request] = "left"
    world.carry(gate, gate.alive()[0].waiter_left(world.now, viewer.request))


def _stop(world: World, n: int) -> None:
    """A viewer stops watching: whoever holds the session finds it quiet, sooner or later."""
    viewer = world.viewers[n]
    viewer.state = "away"
    for charge in world.charges:
        charge.over = charge.over or charge.setup == viewer.plays


def _cut(world: World, call: Call) -> None:
    """A connection breaks under a set-up: what was on its way to the host may still arrive."""
    _spend(world, "cuts")
    if call.state == "sent":
        call.state = "closed"
    else:
        world.calls.remove(call)
    world.outcome(call, Outcome.RESET)


def _write(world: World, gate: Gate, good: bool) -> None:
    """The log's thread writes all that it was handed, with one sync; or the disk takes nothing of it."""
    queue, gate.queue = gate.queue, []
    if good:
        gate.disk += [record for record, _, _ in queue]
        gate.synced += [(setup, key) for _, setup, key in queue if setup is not None]
        return
    manager, persistence = gate.alive()
    for _, setup, key in queue:
        if setup is not None:
            world.carry(gate, persistence.record_written(manager, world.now, setup, key, "disk full"))

"""What has to hold in every world, whatever happened before; one function each, with the rule that it states.

Some are looked at where something happens and stand in `world.py`, raised as BrokenError by these names:

- **one answer**: each request gets one answer, while its gateway lives before its viewer gives up (rule 1);
- **two out**: a gateway never has two attempts of a viewer's session out (rule 2);
- **charged twice**: no set-up runs while an earlier one of the viewer ran, but where he saw that one play and
  it is over (rule 2). It holds what a resend may follow: an earlier attempt that can still run would;
- **refused though it ran**: a refusal says that nothing ran, so nothing did, and nothing does later (rule 2);
- **floor**: no set-up under the class's floor (rule 5).

The others are looked at after every act, and where nothing can happen any more.
"""

from __future__ import annotations

from ..core.attempts import AttemptState
from ..core.managed_session import Phase
from .acts import Act
from .world import PAID, BrokenError, World

NAMES = (
    "one answer", "two out", "charged twice", "refused though it ran", "floor", "seats", "budget", "books",
    "left behind", "stuck",
)  # fmt: skip
FAULTS = frozenset(
    (
        "kill", "forget", "busy", "refused", "cut", "silent", "leave", "ask", "segment", "stop",
        "release lost", "write fails", "claim lost", "witness lost", "power",
    )
)  # fmt: skip
"""Acts that need not happen: a story may end where only these can."""


def check(world: World) -> None:
    """Raises BrokenError."""
    _seats(world)
    _budget(world)
    _books(world)


def _seats(world: World) -> None:
    """Rule 5: a gateway holds no more sessions of a title than it has seats."""
    for gate in world.gates:
        if gate.up:
            manager, _ = gate.alive()
            sessions = [
                x for x in manager.sessions.values() if x.phase is Phase.PLAYING or x.attempt_out is not None
            ]
            if len(sessions) > PAID.seats:
                raise BrokenError("seats", f"gateway {gate.number} holds {len(sessions)}, seats {PAID.seats}")


def _budget(world: World) -> None:
    """Rule 6: in a window up to any further attempt these stay within a few plus a share of what was taken in
    it, over a gateway's restarts."""
    s = world.settings
    for gate in world.gates:
        for number, at in enumerate(gate.further, 1):
            start = float(at) - s.budget_window
            further = sum(float(x) > start for x in gate.further[:number])
            taken = sum(start < float(x) <= at for x in gate.taken)
            if further > s.budget_free + s.budget_share * taken:
                raise BrokenError("budget", f"gateway {gate.number}: {further} further, {taken} taken")


def _books(world: World) -> None:
    """The session manager's tables agree: a key leads to its session, each waiter waits for one."""
    for gate in world.gates:
        if not gate.up:
            continue
        manager, _ = gate.alive()
        for key, session in manager.sessions_by_key.items():
            if session.key != key or manager.sessions.get(session.number) is not session:
                raise BrokenError("books", f"gateway {gate.number}: {key} leads nowhere")
        known = set(manager.sessions_by_waiter) | {x.waiter for y in manager.resolving.values() for _, x in y}
        if known != set(gate.waiters):
            raise BrokenError("books", f"gateway {gate.number}: waiting {known}, asked {set(gate.waiters)}")


def check_quiet(world: World, acts: list[Act]) -> None:
    """Where nothing has to happen any more: nobody waits, and nothing is held for nobody."""
    if any(act[0] not in FAULTS for act in acts):
        return
    for viewer in world.viewers:
        if viewer.state == "waiting":
            raise BrokenError("stuck", f"{viewer.name} waits, and nothing will happen")
    for gate in world.gates:
        if not gate.up:
            continue
        manager, persistence = gate.alive()
        if any(x.phase is not Phase.PLAYING for x in manager.sessions.values()):
            raise BrokenError("left behind", f"gateway {gate.number} holds what does not play")
        if manager.resolving or persistence.recovery.open:
            raise BrokenError("left behind", f"gateway {gate.number} is still finding out")
        keys = {gate.key_of(x.number, max(0, x.attempts - 1)) for x in manager.sessions.values()}
        if any(x.setup not in keys for x in persistence.attempts.in_state(AttemptState.BEGUN)):
            raise BrokenError("left behind", f"gateway {gate.number} has an attempt open in its book")
        for session in manager.sessions.values():
            setup = gate.key_of(session.number, max(0, session.attempts - 1))
            if setup not in world.hosts[session.server].plays and _told_of(
                world, gate.number, session.server
            ):
                raise BrokenError("left behind", f"gateway {gate.number} holds {setup}, its host does not")
    owned = {x for y in world.hosts for x in y.plays}
    held_keys = {
        gate.key_of(x.number, max(0, x.attempts - 1))
        for gate in world.gates if gate.up for x in gate.alive()[0].sessions.values()
    }  # fmt: skip
    lossless = world.left["lost"] == world.scope.lost and not world.scope.kills
    if lossless and owned - held_keys:
        raise BrokenError("left behind", f"hosts hold {sorted(owned - held_keys)} for nobody")


def _told_of(world: World, gate: int, server: int) -> bool:
    return world.gates[gate].epochs[server] == world.hosts[server].epoch

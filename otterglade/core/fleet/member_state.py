"""State machine of a fleet member as one gateway sees it, after SWIM (Das, Gupta, Motivala 2002).

Every update about a member carries its version `(boot, incarnation)`. The boot counts the member's starts and
is stored on its disk; the incarnation increases each time the member refutes a claim about itself. An update
is compared with the version already known, so messages of an earlier run, late messages and duplicates change
nothing. No clocks are compared.
"""

from __future__ import annotations

from enum import Enum

MemberVersion = tuple[int, int]
"""Boot and incarnation; a higher pair is later."""


class MemberState(Enum):
    """State of a member; the values are sent to peers and shown in `/status`."""

    UNKNOWN = "unknown"
    """Configured, but no message from it or about it has arrived yet."""
    ALIVE = "alive"
    SUSPECT = "suspect"
    """A probe of it failed somewhere; it may still refute this."""
    DEAD = "dead"
    """The suspicion expired without being refuted. The member may return with a higher version."""
    LEFT = "left"
    """It announced its own shutdown."""


class MemberEvent(Enum):
    """An update compared with the known version (`_SAME`, `_NEWER`, `STALE`), or a local observation."""

    STALE = "any word with an older number"
    ALIVE_SAME = "alive, same number"
    SUSPECT_SAME = "suspect, same number"
    DEAD_SAME = "dead, same number"
    LEFT_SAME = "left, same number"
    ALIVE_NEWER = "alive, higher number"
    SUSPECT_NEWER = "suspect, higher number"
    DEAD_NEWER = "dead, higher number"
    LEFT_NEWER = "left, higher number"
    PROBE_TIMED_OUT = "own question unanswered"
    SUSPICION_EXPIRED = "suspicion ran out"


_U, _A, _S, _D, _L = MemberState

_ROWS: dict[MemberState, tuple[MemberState | None, ...]] = {
    # Columns in the order of MemberEvent. None: impossible, for the reason given in UNREACHABLE.
    _U: (None, None, None, None, None, _A, _S, _D, _L, None, None),
    _A: (_A, _A, _S, _D, _L, _A, _S, _D, _L, _S, None),
    _S: (_S, _S, _S, _D, _L, _A, _S, _D, _L, _S, _D),
    _D: (_D, _D, _D, _D, _L, _A, _S, _D, _L, _D, None),
    _L: (_L, _L, _L, _L, _L, _A, _S, _D, _L, _L, None),
}
TRANSITIONS: dict[tuple[MemberState, MemberEvent], MemberState] = {
    (state, event): after
    for state, row in _ROWS.items()
    for event, after in zip(MemberEvent, row, strict=True)
    if after is not None
}
"""State of a member after an event.

Only PROBE_TIMED_OUT and SUSPICION_EXPIRED depend on local observations. The other events lead to the same
state for the highest version in whatever order they arrive; of DEAD and LEFT with one version, LEFT wins.
"""

UNREACHABLE: dict[tuple[MemberState, MemberEvent], str] = {
    **{
        (_U, event): "an unknown member has version (0, 0), and boots count from 1"
        for event in (
            MemberEvent.STALE, MemberEvent.ALIVE_SAME, MemberEvent.SUSPECT_SAME, MemberEvent.DEAD_SAME,
            MemberEvent.LEFT_SAME,
        )
    },
    (_U, MemberEvent.PROBE_TIMED_OUT): "an unknown member is only pinged as an introduction, and a missing"
        " answer is ignored",
    **{(state, MemberEvent.SUSPICION_EXPIRED): "only a suspicion expires" for state in (_U, _A, _D, _L)},
}  # fmt: skip
"""The remaining pairs of state and event, each with the reason why it cannot occur."""

_SAME = {
    _A: MemberEvent.ALIVE_SAME, _S: MemberEvent.SUSPECT_SAME, _D: MemberEvent.DEAD_SAME,
    _L: MemberEvent.LEFT_SAME,
}  # fmt: skip
_NEWER = {
    _A: MemberEvent.ALIVE_NEWER, _S: MemberEvent.SUSPECT_NEWER, _D: MemberEvent.DEAD_NEWER,
    _L: MemberEvent.LEFT_NEWER,
}  # fmt: skip
NEWER_EVENTS = frozenset(_NEWER.values())
"""Updates whose version is higher than the known one."""


def classify_update(known: MemberVersion, state: MemberState, version: MemberVersion) -> MemberEvent:
    """The event that an update with `state` (not UNKNOWN) and `version` is, given the `known` version."""
    if version < known:
        return MemberEvent.STALE
    return (_SAME if version == known else _NEWER)[state]

"""How a peer stands in a gateway's eyes: one table of state and event, after SWIM (Das, Gupta, Motivala
2002).

Every word about a peer carries its number, `(boot, turn)`: the boot counts its starts and is on its disk, the
turn rises each time it refutes what is said of it. A word is weighed by how its number compares with the one
that is held, so that an old run, a late message and a repeated one change nothing. No clock is compared.
"""

from __future__ import annotations

from enum import Enum

Number = tuple[int, int]
"""Boot and turn; a higher one is later."""


class Standing(Enum):
    UNKNOWN = "unknown"
    """Configured, never heard of."""
    ALIVE = "alive"
    SUSPECT = "suspect"
    """Somebody's question went unanswered; it may refute."""
    DEAD = "dead"
    """The suspicion ran out unrefuted. It may return with a higher number."""
    LEFT = "left"
    """It has said itself that it stops."""


class Said(Enum):
    """Something learned of a peer; SAME and NEWER by the number that came with it."""

    STALE = "any word with an older number"
    ALIVE_SAME = "alive, same number"
    SUSPECT_SAME = "suspect, same number"
    DEAD_SAME = "dead, same number"
    LEFT_SAME = "left, same number"
    ALIVE_NEWER = "alive, higher number"
    SUSPECT_NEWER = "suspect, higher number"
    DEAD_NEWER = "dead, higher number"
    LEFT_NEWER = "left, higher number"
    MISSED = "own question unanswered"
    EXPIRED = "suspicion ran out"


_U, _A, _S, _D, _L = Standing

_ROWS: dict[Standing, tuple[Standing | None, ...]] = {
    # In the order of Said. None: can't happen, with the reason below.
    _U: (None, None, None, None, None, _A, _S, _D, _L, None, None),
    _A: (_A, _A, _S, _D, _L, _A, _S, _D, _L, _S, None),
    _S: (_S, _S, _S, _D, _L, _A, _S, _D, _L, _S, _D),
    _D: (_D, _D, _D, _D, _L, _A, _S, _D, _L, _D, None),
    _L: (_L, _L, _L, _L, _L, _A, _S, _D, _L, _L, None),
}
NEXT: dict[tuple[Standing, Said], Standing] = {
    (state, said): after
    for state, row in _ROWS.items()
    for said, after in zip(Said, row, strict=True)
    if after is not None
}
"""What a peer is after a word. Not one of one's own perceptions, but MISSED and EXPIRED, so the same words in
any order leave the same standing for the highest number, but for DEAD and LEFT, of which LEFT counts."""

UNREACHABLE: dict[tuple[Standing, Said], str] = {
    **{
        (_U, said): "who is unknown has number (0, 0), and boots count from 1"
        for said in (
            Said.STALE, Said.ALIVE_SAME, Said.SUSPECT_SAME, Said.DEAD_SAME, Said.LEFT_SAME,
        )
    },
    (_U, Said.MISSED): "who was never heard of is asked to meet him, and owes no answer",
    **{(state, Said.EXPIRED): "only a suspicion runs out" for state in (_U, _A, _D, _L)},
}  # fmt: skip
"""The other pairs, each with its reason."""

_SAME = {_A: Said.ALIVE_SAME, _S: Said.SUSPECT_SAME, _D: Said.DEAD_SAME, _L: Said.LEFT_SAME}
_NEWER = {_A: Said.ALIVE_NEWER, _S: Said.SUSPECT_NEWER, _D: Said.DEAD_NEWER, _L: Said.LEFT_NEWER}
NEWER = frozenset(_NEWER.values())
"""Words with a higher number than the one that is held."""


def said(held: Number, standing: Standing, number: Number) -> Said:
    """Which event a word is, by the number that is held. `standing`: what is claimed, not UNKNOWN."""
    if number < held:
        return Said.STALE
    return (_SAME if number == held else _NEWER)[standing]

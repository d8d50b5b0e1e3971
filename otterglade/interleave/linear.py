"""Whether a history of operations can be put in one order that explains it (Herlihy and Wing 1990).

By search over which operation comes next, with states already refuted remembered (Wing and Gong 1993; Lowe
2017). For histories of a few operations.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

S = TypeVar("S", bound=Hashable)
O = TypeVar("O")  # noqa: E741 - an operation
MOST = 20
"""Operations of a history: the search is exponential in those that overlap."""


@dataclass(frozen=True, slots=True)
class Call(Generic[O]):
    """An operation with the moments of its call and return; one without a return may be put off for ever."""

    what: O
    called: int
    returned: int | None


def linearizable(history: Sequence[Call[O]], start: S, after: Callable[[S, O], Sequence[S]]) -> bool:
    """Whether some order of the calls, one returned before another's call coming first, leads from state to
    state. `after`: the states that an operation may leave; none: it can't come here. Raises ValueError."""
    if len(history) > MOST:
        raise ValueError(f"history: found {len(history)} operations; allowed: {MOST}")
    refuted: set[tuple[int, S]] = set()

    def possible(done: int, state: S) -> bool:
        left = [n for n in range(len(history)) if not done >> n & 1]
        if all(history[n].returned is None for n in left):
            return True
        if (done, state) in refuted:
            return False
        first = min(r for n in left if (r := history[n].returned) is not None)
        for n in left:
            if history[n].called <= first and any(
                possible(done | 1 << n, x) for x in after(state, history[n].what)
            ):
                return True
        refuted.add((done, state))
        return False

    return possible(0, start)

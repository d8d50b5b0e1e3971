"""What a duty is to the work that is done under it: what each gateway tells, what the owner decides, what all
obey.

A *duty* is a named piece of work that one gateway does for all. `duty.py` settles who owns it, has what the
owner decides accepted by a majority of voters before anybody hears of it, and brings it to every gateway with
its term, its number and how long it holds. The work itself, in modules of its own (`lanes.py`, `routes.py`),
knows nothing of voters and messages: it is asked and told here, on the decision loop, and does no I/O.

An order licenses nothing. It makes a gateway more careful, or shares out what each may do anyway.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

MOST_STATE = 640
"""Bytes of a duty's state: with its ballot and seal it fits one datagram, as voters hold it whole."""
MOST_SUM = 400
"""Bytes of what a gateway tells for itself and those below it; a sum does not grow with the fleet."""


@dataclass(frozen=True, slots=True)
class Order:
    """What the owner of a duty has had accepted by a majority, as a gateway heard it."""

    duty: str
    term: int
    """Of the ownership; only rises."""
    number: int
    """Counts the owner's decisions under that term; rises within it."""
    owner: str
    state: bytes
    until: float
    """When it holds no more, on this gateway's own clock."""

    @property
    def mark(self) -> tuple[int, int]:
        """Which of two orders is the later one."""
        return self.term, self.number


class Work(Protocol):
    """One for each duty and run of a gateway; belongs to the decision loop."""

    name: str
    """Of the duty, the same in all gateways."""
    lasting: bool
    """Its effect outlives a process: the highest order obeyed is durable before `obey` is called, and told to
    `recall` at the next start."""

    def own(self, now: float) -> bytes:
        """This gateway's part of what the owner is to know; MOST_SUM bytes at most."""

    def join(self, parts: Sequence[bytes]) -> bytes:
        """What several gateways told, as one; MOST_SUM bytes at most, whatever their number.

        The order of `parts` makes no difference; bytes that cannot be read are passed over and counted.
        """

    def decide(self, now: float, state: bytes, told: bytes) -> bytes:
        """As owner: what is to stand, given what stands and what the fleet tells; the same bytes: no change.

        `state`: accepted by a majority, of this term or of one before; empty: nothing ever was. Asked once a
        period. The answer counts only once a majority has accepted it.
        """

    def obey(self, now: float, order: Order) -> None:
        """An order that holds now, and is no older than any obeyed before; told again at each renewal."""

    def lapsed(self, now: float) -> None:
        """No order holds any more: the duty's safe state, from where the last one left."""

    def recall(self, now: float, order: Order) -> None:
        """What an earlier run obeyed last, of a duty whose effect lasts; its `until` is now."""

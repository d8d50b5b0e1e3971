"""Brings a proposal to whichever control machine is the writer, and asks until it is accepted or refused."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable, Sequence

from ...core.distribution.messages import ProposeAnswer, ProposeRequest
from ...core.distribution.revision import Change
from .envelope import Envelope
from .exchange import Carrier, CarryError

EXCHANGE_SECONDS = 17.0
"""For one control machine to answer: a little more than it takes at most itself."""
PAUSE_SECONDS = 0.25
"""After each round in which nobody accepted or refused."""
PROPOSAL_BYTES = 16

Note = Callable[[str], None]


class UnansweredError(Exception):
    """Nobody has accepted or refused the proposal in time; it may still come into force."""


def propose(
    changes: Sequence[Change],
    addresses: Sequence[str],
    envelope: Envelope,
    limit: float,
    note: Note = lambda line: None,
) -> ProposeAnswer:
    """Ask one control machine after another, the named writer first, with the same proposal each time, so
    that it is not applied twice. `note` is told of each machine that did not accept or refuse.

    Raises UnansweredError after `limit` seconds, ValueError for an address that is none.
    """
    request = ProposeRequest(secrets.token_hex(PROPOSAL_BYTES), tuple(changes))
    carriers = {x: Carrier(x, envelope) for x in addresses}
    deadline = time.monotonic() + limit
    last = "no control machine was asked"
    while True:
        left = list(addresses)
        asked: set[str] = set()
        while left:
            address = left.pop(0)
            seconds = min(EXCHANGE_SECONDS, deadline - time.monotonic())
            if address in asked or seconds <= 0:
                continue
            asked.add(address)
            carrier = carriers.setdefault(address, Carrier(address, envelope))
            try:
                answer = carrier.exchange(request, ProposeAnswer, seconds).message
            except CarryError as error:
                last = f"{address}: {error}"
                note(last)
                continue
            if answer.accepted or not answer.writer:
                return answer
            last = f"{address}: the writer is {answer.writer}"
            note(last)
            left.insert(0, answer.writer)
        if time.monotonic() + PAUSE_SECONDS >= deadline:
            raise UnansweredError(f"neither accepted nor refused within {limit:g} s; {last}")
        time.sleep(PAUSE_SECONDS)

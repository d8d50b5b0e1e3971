"""Faults planted in a gateway on purpose, one for each rule: proof that the referee sees what it judges.

All but one wrap the module and spoil what passes between it and the desk. Nothing here is reachable but by
the hidden option of `otterglade run`.
"""

from __future__ import annotations

import itertools
import math
import os
import signal
import time
from collections.abc import Callable, Sequence
from dataclasses import replace

from ..core import budget as window
from ..core import interface as api
from ..core import messages as d
from ..core.desk import Desk
from ..core.fleet.editions import Book
from ..core.fleet.register import Proposer
from ..core.fleet.routes import Routes
from ..core.fleet.work import Order
from ..core.messages import Reply, SetUp
from ..core.policy import Controller
from ..core.sessions import Decider
from ..gateway.daemon import Gateway
from ..gateway.duties import digest


class _Planted:
    """The module with something spoilt; by default nothing is."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.inner = Controller(settings, seed)

    def start(self, now: float) -> list[api.Action]:
        return self.inner.start(now)

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        return self.inner.handle(now, event)


class Twice(_Planted):
    """A paid set-up that may have run is taken for one that never did, and sent again."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.AttemptEnded) and event.outcome in (
            api.Outcome.TIMED_OUT,
            api.Outcome.RESET,
        ):
            event = replace(event, outcome=api.Outcome.BUSY)
        actions = super().handle(now, event)
        return [replace(x, time_out=0.4) if isinstance(x, api.StartAttempt) else x for x in actions]


class Drain(_Planted):
    """Word of a drain is not believed."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.ServerList):
            event = replace(event, entries=tuple(replace(x, state=api.State.READY) for x in event.entries))
        return super().handle(now, event)


class Cold(_Planted):
    """A host that has just started is taken for a warm one, and for the one that is idlest."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.fresh: set[int] = set()
        self.first = True

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.ServerList):
            if not self.first:
                self.fresh |= {x.server for x in event.entries if x.started > 0}
            self.first = False
            event = replace(event, entries=tuple(replace(x, started=0.0) for x in event.entries))
        actions = super().handle(now, event)
        fresh = sorted(self.fresh)
        return [
            replace(x, server=fresh[0]) if fresh and isinstance(x, api.StartAttempt) else x for x in actions
        ]


class Floor(_Planted):
    """Every session plays on the lowest rung, whatever its terms say."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        return [
            replace(x, rung=0) if isinstance(x, api.ChooseRung) else x for x in super().handle(now, event)
        ]


class Budget(_Planted):
    """Further attempts are not rationed."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(replace(settings, budget_window=0.0, max_attempts=6), seed)


MODULES: dict[str, Callable[[api.Settings, int], Decider]] = {
    "twice": Twice, "drain": Drain, "cold": Cold, "terms": Floor, "budget": Budget,
}  # fmt: skip


class Counter:
    """A duty's work whose state changes at each decision, and which does nothing."""

    name = "counter"
    lasting = True

    def own(self, now: float) -> bytes:
        return b""

    def join(self, parts: Sequence[bytes]) -> bytes:
        return b""

    def decide(self, now: float, state: bytes, told: bytes) -> bytes:
        return b"%d" % (int(state or b"0") + 1)

    def obey(self, now: float, order: Order) -> None:
        """What it leads to is told by `_act`."""

    def lapsed(self, now: float) -> None:
        """Without an order there is nothing to go on with."""

    def recall(self, now: float, order: Order) -> None:
        """An order of before is not acted on."""


ACTS = 0.05
"""Seconds between two acts under the counter's order."""


def _busy_duty(gateway: Gateway) -> None:
    """A duty that is never idle, and acts by its order all the time, each act in the log."""
    peers = gateway.peers
    if peers is None:
        return
    peers.works.append(Counter())
    start = peers.start

    def act(desk: Desk, now: float) -> list[d.Order]:
        order = peers.order(Counter.name, now)
        if order is not None:
            gateway.log.debug(
                "acted", t=now, duty=order.duty, term=order.term, number=order.number,
                state=digest(order.state),
            )  # fmt: skip
        gateway.loop.at(now + ACTS, act)
        return []

    def start_and_act() -> None:
        start()
        gateway.loop.put(act)

    peers.start = start_and_act  # type: ignore[method-assign]


def _late_owner(gateway: Gateway) -> None:
    """Whoever owns a duty believes so until somebody tells it otherwise: its lease never runs out."""
    lapse = Proposer.lapse

    def forget(self: Proposer, now: float) -> None:
        if self.owns:
            self.lease = math.inf
        lapse(self, now)

    Proposer.lapse = forget  # type: ignore[method-assign]


def _own_rules(gateway: Gateway) -> None:
    """What the script says of routes is acted on once it is proposed, admitted or not."""
    act = Routes._act

    def forestall(self: Routes, book: Book) -> None:
        mine = self._mine
        if mine is not None and mine.edition.hex() in self._durable:
            book = book.admits(mine.region, mine.edition)
        act(self, book)

    Routes._act = forestall  # type: ignore[method-assign]


def _clock_ahead(gateway: Gateway) -> None:
    """This process's wall clock is an hour ahead of the others'."""
    real = time.time
    time.time = lambda: real() + 3600.0


KILLS = ("kill-before-write", "kill-after-write", "kill-after-answer")
"""Steps of a paid attempt at which the process ends at once, as by kill -9."""
DAEMONS: dict[str, Callable[[Gateway], None]] = {
    "busy-duty": _busy_duty,
    "clock-ahead": _clock_ahead,
    "late-owner": _late_owner,
    "own-rules": _own_rules,
}
NAMES = (*MODULES, "lost", "forgets", "unwitnessed", *KILLS, *DAEMONS)


def _die(*_: object) -> None:
    os.kill(os.getpid(), signal.SIGKILL)


def _plant_kill(gateway: Gateway, name: str) -> None:
    if name == "kill-before-write":
        gateway.journal.commit = _die  # type: ignore[method-assign, assignment]
    elif name == "kill-after-answer":
        gateway.journal.fated = _die  # type: ignore[method-assign, assignment]
    else:
        send = gateway.hosts.set_up

        def die_if_paid(order: SetUp) -> None:
            """The attempt is on disk by now, and not a byte of it sent."""
            if order.paid:
                _die()
            send(order)

        gateway.hosts.set_up = die_if_paid  # type: ignore[method-assign]


def plant(gateway: Gateway, name: str) -> None:
    """Spoil a gateway that has not started. Raises KeyError for an unknown name."""
    if name in DAEMONS:
        DAEMONS[name](gateway)
        return
    if name in KILLS:
        _plant_kill(gateway, name)
        return
    if name == "forgets":  # a restart begins with a fresh window
        gateway._resume_budget = lambda desk, now: []  # type: ignore[method-assign]
        return
    if name == "unwitnessed":  # what hosts forget nobody knows
        gateway.journal.keeper._witness_count = 0
        return
    if name == "lost":
        tell, count = gateway.front.verdict, itertools.count()

        def forget(reply: Reply) -> None:
            """Every third answer goes nowhere."""
            if next(count) % 3:
                tell(reply)

        gateway.front.verdict = forget  # type: ignore[method-assign]
        return
    gateway.desk.controller = MODULES[name](gateway.desk.settings, 1)
    if name == "budget":  # the desk holds to it as well
        gateway.desk.budget = window.Budget(replace(gateway.desk.settings, budget_window=0.0))

"""What a day asks of its gateways beside traffic: work that is never idle, a wall clock that is wrong.

Nothing here is reachable but by the hidden option of `otterglade run`.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence

from ..core import messages as d
from ..core.fleet.leader_task import TaskOrder
from ..core.session_manager import SessionManager
from ..gateway.daemon import Gateway
from ..gateway.leader_tasks import state_digest


class Counter:
    """A duty's work whose state changes at each decision, and which does nothing."""

    name = "counter"
    durable = True

    def local_report(self, now: float) -> bytes:
        return b""

    def merge_reports(self, parts: Sequence[bytes]) -> bytes:
        return b""

    def decide(self, now: float, state: bytes, merged_report: bytes) -> bytes:
        return b"%d" % (int(state or b"0") + 1)

    def apply_order(self, now: float, order: TaskOrder) -> None:
        """What it leads to is told by `_act`."""

    def expire_order(self, now: float) -> None:
        """Without an order there is nothing to go on with."""

    def restore_order(self, now: float, order: TaskOrder) -> None:
        """An order of before is not acted on."""


ACTS = 0.05
"""Seconds between two acts under the counter's order."""


def _busy_duty(gateway: Gateway) -> None:
    """A duty that is never idle, and acts by its order all the time, each act in the log."""
    peers = gateway.peers
    if peers is None:
        return
    peers.extra_leader_tasks.append(Counter())
    start = peers.start

    def act(manager: SessionManager, now: float) -> list[d.Order]:
        order = peers.order_in_force(Counter.name, now)
        if order is not None:
            gateway.log.debug(
                "acted", t=now, duty=order.task_name, term=order.term, number=order.number,
                state=state_digest(order.state),
            )  # fmt: skip
        gateway.loop.call_at(now + ACTS, act)
        return []

    def start_and_act() -> None:
        start()
        gateway.loop.put(act)

    peers.start = start_and_act  # type: ignore[method-assign]


def _clock_ahead(gateway: Gateway) -> None:
    """This process's wall clock is an hour ahead of the others'."""
    real = time.time
    time.time = lambda: real() + 3600.0


CONDITIONS: dict[str, Callable[[Gateway], None]] = {"busy-duty": _busy_duty, "clock-ahead": _clock_ahead}

"""Does to a running fleet what was drawn for it, and notes which outages that makes."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Sequence

from ...net.threads import spawn
from .faults import LOST_SHARE, Fault, FaultKind
from .fleet import Fleet
from .judge import Outage
from .processes import ProcessError
from .proxy import ProxyCommand


class FaultPlayer:
    """Does what was drawn, from a thread of its own, and notes which outages that makes."""

    def __init__(self, fleet: Fleet, writer: Callable[[], str]) -> None:
        self._fleet, self._writer = fleet, writer
        self._cut: tuple[str, ...] = ()
        self.ended = threading.Event()

    def start(self, faults: Sequence[Fault], began: float) -> None:
        """Play all of them, each at its time after the monotonic time `began`."""
        if not faults:
            self.ended.set()
            return

        def run() -> None:
            self._fleet.command_proxies(ProxyCommand(lost=LOST_SHARE))
            for fault in faults:
                time.sleep(max(0.0, began + fault.after - time.monotonic()))
                self._play(fault, began)
            self.ended.set()

        spawn("faults", run, self._fleet.failed)

    def _play(self, fault: Fault, began: float) -> None:
        subject = fault.subject or self._writer()
        since = time.monotonic()
        try:
            self._begin(fault, subject)
            time.sleep(max(0.0, began + fault.until - time.monotonic()))
            self._undo(fault, subject)
        except (OSError, ProcessError) as error:
            self._fleet.missed_faults.append(f"{fault.kind.value} {subject}: {error}")
            return
        until = time.monotonic()
        self._fleet.played_faults.append(
            f"{fault.kind.value} {subject} {since - began:.1f}-{until - began:.1f}"
        )
        if fault.kind is FaultKind.CUT_ZONE:
            self._fleet.outages.append(Outage(fault.kind.value, since, until, subject))
        elif fault.kind is FaultKind.KILL_WRITER:  # the fault is over at once: others are to take its place
            self._fleet.outages.append(Outage(fault.kind.value, since, since, None))

    def _begin(self, fault: Fault, subject: str) -> None:
        if fault.kind is FaultKind.CUT_ZONE:
            self._fleet.command_proxies(ProxyCommand(lost=LOST_SHARE, cut=(subject,)))
        elif fault.kind is FaultKind.STOP_RELAY:
            self._fleet.children.running[subject].stand_still()
        else:
            self._fleet.children.running[subject].kill()

    def _undo(self, fault: Fault, subject: str) -> None:
        if fault.kind is FaultKind.CUT_ZONE:
            self._fleet.command_proxies(ProxyCommand(lost=LOST_SHARE))
        elif fault.kind is FaultKind.STOP_RELAY:
            self._fleet.children.running[subject].go_on()
        else:
            self._fleet.start_machine(subject)

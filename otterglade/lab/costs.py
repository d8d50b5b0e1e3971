"""What gateways cost while a day is played: the processor, and bytes to one another."""

from __future__ import annotations

import time
from collections import defaultdict

from .fleet import cost
from .stage import Stage

EVERY = 2.0
"""Seconds between two looks; a look asks each gateway for its status."""


class Costs:
    """Looks on from a thread of its own; a restart counts as another gateway."""

    def __init__(self) -> None:
        self._seen: dict[str, list[tuple[float, float, int]]] = defaultdict(list)
        """By run: when, CPU seconds and bytes sent so far."""

    def watch(self, stage: Stage) -> None:
        """Until the stage has been stopped."""
        while not stage.stopped.wait(EVERY):
            for number in list(stage.gateways):
                status = stage.status(number)
                if status is None:
                    continue
                try:
                    _, used = cost(stage.gateways[number].child.pid)
                except (OSError, IndexError):
                    continue  # it has ended since
                run = f"{status['gateway']}.{status['epoch']}"
                self._seen[run].append((time.monotonic(), used, int(status["fleet"]["sent_bytes"])))

    def figures(self) -> dict[str, object]:
        """A gateway's share of a core and bytes a second, the median's and the largest; none, where too
        little was seen."""
        spans = [(x[0], x[-1]) for x in self._seen.values() if x[-1][0] - x[0][0] >= 2.0 * EVERY]
        if not spans:
            return {}
        cpu = sorted((b[1] - a[1]) / (b[0] - a[0]) for a, b in spans)
        sent = sorted((b[2] - a[2]) / (b[0] - a[0]) for a, b in spans)
        return {
            "cpu_share": [round(cpu[len(cpu) // 2], 4), round(cpu[-1], 4)],
            "bytes_a_second": [round(sent[len(sent) // 2]), round(sent[-1])],
        }

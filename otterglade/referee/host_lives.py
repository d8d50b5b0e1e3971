"""When a host's process ended, from the records of hosts and stage: nothing is out at it after that."""

from __future__ import annotations

import bisect
import math
from collections import defaultdict

from .records import Event, Records


class HostLives:
    """The processes that ran under each host's number, one after another.

    A host that hangs or has fallen ends nothing: its process may still answer.
    """

    def __init__(self, records: Records) -> None:
        self._starts: dict[int, list[float]] = defaultdict(list)
        for event in records.of(records.hosts, "up"):
            self._starts[event["host"]].append(float(event["t"]))
        for starts in self._starts.values():
            starts.sort()
        self._kills: dict[tuple[int, int], float] = {}
        for event in (*records.of(records.stage, "host_killed"), *_crashes(records)):
            life = self._life(event)
            self._kills[life] = min(float(event["t"]), self._kills.get(life, math.inf))
        self._last_words: dict[tuple[int, int], float] = {}
        for event in records.hosts:
            life = self._life(event)
            self._last_words[life] = max(float(event["t"]), self._last_words.get(life, -math.inf))

    def end_after(self, event: Event) -> float | None:
        """The soonest that the process which noted this event can have ended; None: nothing ended it.

        The stage notes a kill before it sends it, so a process that still wrote something ended after that.
        """
        life = self._life(event)
        killed = self._kills.get(life)
        return None if killed is None else max(killed, self._last_words[life])

    def _life(self, event: Event) -> tuple[int, int]:
        """The host, and which of its starts came last before the event."""
        starts = self._starts.get(event["host"], [])
        return event["host"], bisect.bisect_right(starts, event["t"])


def _crashes(records: Records) -> list[Event]:
    """What hosts noted of a command to end at once."""
    return [x for x in records.of(records.hosts, "fault") if x["kind"] == "crash"]

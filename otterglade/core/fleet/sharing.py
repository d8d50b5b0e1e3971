"""How many new sessions of each lane may pass: from what the fleet asks, what plays and what hosts carry.

The danger is two hundred that act on one old number (Mitzenmacher 2000). So what a cut is worked out from,
the sessions that are *asked*, does not move when the cut does; only the room does, and what is made up of
that is spread over the loop's lag times e, the least at which a loop with such a lag does not swing.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence

from .routing import Lane
from .tally import PERIOD, RECENT, InLane, Tally

SPAN = 3.0
"""Loops over which rates are smoothed while chance explains how they differ: a loop's worth of a few hundred
sessions a second would still move cuts by 0.1."""
TIMES = 3.0
"""Each of several means is so many times as long as the next shorter one."""
SURE = 4.0
"""Standard deviations of a Poisson count beyond which a change of what is asked is none of chance."""
LIKELY = 2.0
"""The same, beyond which more is asked than seemed, by what is beyond."""
HELD = 1.0
"""Standard deviations of what the lanes above ask within the loop's time: held free from those below (trunk
reservation, Key 1990), so that those above find room in any order of coming."""
DENIED = 8.0
"""Times the module's refusals that are taken off what is given out, once they have lasted for the loop."""


class Smooth:
    """A rate of which chance is taken out: the longest of several means that no shorter one disproves.

    As ADWIN does with windows (Bifet and Gavalda 2007): a step is followed by the shortest at once, a drift
    by those between, and while neither is there the longest holds still. What a shorter mean makes likely is
    taken for true where it is more: asks that rise unnoticed fill the room of those who go first.
    """

    def __init__(self, longest: float) -> None:
        self._spans = [RECENT]
        while self._spans[-1] * TIMES < longest:
            self._spans.append(self._spans[-1] * TIMES)
        self._means = [0.0] * len(self._spans)
        self._seen = 0.0

    def take(self, rate: float, passed: float) -> float:
        self._seen += passed
        self._means[0] = rate  # told as a mean over RECENT already
        for n, span in enumerate(self._spans[1:], 1):
            self._means[n] += (rate - self._means[n]) * min(1.0, passed / min(span, self._seen))
        value, likely = self._means[0], 0.0
        for n in range(1, len(self._spans)):
            mean, shorter = self._means[n], self._means[n - 1]
            chance = math.sqrt(max(shorter, 1.0 / RECENT) / (2.0 * self._spans[n - 1]))
            if abs(mean - shorter) > SURE * chance:
                break
            value, likely = mean, max(likely, shorter - LIKELY * chance)
        return max(value, likely)


class Hazard:
    """Of the sessions that play, the part that ends in a second: steadier than their ends are, and right at
    once when their number has changed."""

    def __init__(self, span: float) -> None:
        self._span, self._seen, self._ended, self._playing = span, 0.0, 0.0, 0.0

    def ends(self, ended: float, playing: float, passed: float) -> float:
        """Sessions a second that are to end of those that play now."""
        self._seen = min(self._span, self._seen + passed)
        part = min(1.0, passed / self._seen) if self._seen > 0 else 1.0
        self._ended += (ended - self._ended) * part
        self._playing += (playing - self._playing) * part
        return playing * self._ended / self._playing if self._playing > 0 else 0.0


def made_up(missing: float, size: float, loop: float, life: float) -> float:
    """Sessions a second that make up for what is missing of `size`, or over it where that is negative.

    What chance explains, a standard deviation of a Poisson count, goes with the sessions' own coming and
    going: made up for sooner it would move the cut for nothing. What is beyond that is no chance, and goes in
    `loop`."""
    chance = min(abs(missing), math.sqrt(max(size, 1.0)))
    return math.copysign(chance / max(loop, life) + (abs(missing) - chance) / loop, missing)


def share_out(
    lanes: Sequence[Lane], told: Sequence[InLane], room: float, denied: float, loop: float
) -> list[float]:
    """For each lane how many new sessions a second may pass, of those asked.

    `room`: sessions that hosts carry at floors; `loop`: seconds over which free room is given out, or what is
    over it made up for. Each lane's `least` goes first, or somebody starves; then reserves; what is left goes
    by precedence, to all who ask, so no room is kept from anybody for a lane that does not ask.
    """
    playing, ended = sum(x.playing for x in told), sum(x.ended for x in told)
    life = playing / max(ended, 1e-9)
    free = made_up(room - playing, room, loop, life)
    left = ended + free - min(denied, max(0.0, free))

    def owed(n: int, share: float) -> float:
        """What brings the lane to its share of the room, or keeps it there; nothing to one that will be over
        it by more than chance when this takes effect: what others are refused meanwhile would be for
        nothing."""
        part, row = share * room, told[n]
        if not part or row.playing - row.ended * 2 * PERIOD > part + math.sqrt(part):
            return 0.0
        return max(0.0, min(row.asked, row.ended + (part - row.playing) / loop))

    passes = [owed(n, x.least) for n, x in enumerate(lanes)]
    left -= sum(passes)
    for n, lane in enumerate(lanes):
        more = max(0.0, min(owed(n, lane.reserve) - passes[n], left))
        passes[n] += more
        left -= more
    above = 0.0
    for n, row in enumerate(told):
        held = HELD * math.sqrt(loop * above) / loop
        more = max(0.0, min(row.asked - passes[n], left - held))
        passes[n] += more
        left -= more
        above += row.asked
    return passes


class Judge:
    """Makes cuts of tallies, one after another: of the whole fleet as owner, of its own as one alone."""

    def __init__(self, lanes: Sequence[Lane], stale: float) -> None:
        """`stale`: seconds by which readings are old when they are told."""
        self.lanes = tuple(lanes)
        self._stale = stale
        self.loop = math.e * (stale + 2 * PERIOD)
        """Seconds: readings, a sum's way up and an order's way down are old by these together, times e."""
        self._forget()

    def _forget(self) -> None:
        self._at = self._since = -math.inf
        self._asked = [Smooth(SPAN * self.loop) for _ in self.lanes]
        self._ended = [Hazard(SPAN * self.loop) for _ in self.lanes]
        self._denied = 0.0
        self._played: deque[tuple[float, float]] = deque()
        """When, and how many played for each gateway that was heard: what old readings were read of."""
        self._most = 1
        """Gateways heard at once at most."""
        self._room = 0.0
        """Sessions that fit, for each gateway that is heard."""
        self.passes: list[float] = []

    def cuts(self, now: float, tally: Tally, stands: Sequence[float], alike: int = 1) -> list[float]:
        """What is to stand after `stands`; the same while too little is known to go by.

        `alike`: so many are taken to have what the tally has; chance in the hosts' room, which all share, is
        that of all together.
        """
        passed = now - self._at
        if passed > self.loop:
            self._forget()
            self._since, passed = now, PERIOD
        self._at = now
        gateways = max(1, tally.gateways)
        # In numbers of as many gateways as were heard at once: a part of the tree that is late moves no rate.
        self._most = max(self._most, gateways)
        whole, times = self._most / gateways, float(alike)
        playing = sum(x.playing for x in tally.lanes)
        self._played.append((now, playing / gateways))
        while len(self._played) > 1 and self._played[1][0] <= now - self._stale:
            self._played.popleft()
        told = [
            InLane(
                asked=times * self._asked[n].take(x.asked * whole, passed),
                ended=times * self._ended[n].ends(x.ended * whole, x.playing * whole, passed),
                playing=times * x.playing * whole,
            )
            for n, x in enumerate(tally.lanes)
        ]
        if not tally.heard:
            return list(stands)
        if tally.full <= 0:
            return [0.0] * len(self.lanes)
        room = self._played[0][1] / tally.full
        new = not self._room
        self._room += (room - self._room) * (1.0 if new else min(1.0, passed / (self._stale + PERIOD)))
        fits = self._room * self._most * times
        # What is refused where hosts are read to be full says nothing new; elsewhere, that the room is not
        # where it is asked for.
        there = fits - times * whole * playing > math.sqrt(max(fits, 1.0))
        refused = sum(x.refused for x in tally.lanes) * whole * times if there else 0.0
        self._denied += passed / self.loop * (refused * DENIED - self._denied)
        self.passes = share_out(self.lanes, told, fits, self._denied, self.loop)
        if now - self._since < self._stale:
            return list(stands)  # one sum is chance, and who comes to the duty does not start with a jump
        return [_cut(x.asked, y) for x, y in zip(told, self.passes, strict=True)]


def _cut(asked: float, passes: float) -> float:
    """Who does not ask is not cut: his first find the door open, the next sum tells of them."""
    return 0.0 if asked <= passes + 1e-9 else 1.0 - passes / asked

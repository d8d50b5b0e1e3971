"""What befalls duties: their owner stopped, killed, deaf or mute; voters' disks slow, cut off at a sync, or
old; two processes with one name; the fleet split and healed piece by piece.

Whom it befalls is often known at that time alone: the owner is asked for then.
"""

from __future__ import annotations

import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from . import power
from .links import both_ways
from .scenarios import Trouble
from .stage import Process, Stage

OWNER = (
    "owner_freeze", "owner_kill", "owner_stop", "owner_deaf", "owner_mute", "owner_disk", "owner_dies",
    "owner_split",
)  # fmt: skip
KINDS = (*OWNER, "propose", "links_bad", "links_split", "disk_slow", "voter_dies", "twin", "old_disk")


@dataclass(slots=True)
class DutyActs:
    """Carries these troubles out on a stage, and what ends them."""

    stage: Stage
    later: Callable[[float, Callable[[], None]], None]
    """Do something so many seconds from now."""
    down: set[tuple[str, int]]
    """What an earlier trouble has not given back yet; shared with the other troubles."""
    skipped: list[str] = field(default_factory=list)

    def carry(self, trouble: Trouble) -> None:
        kind, target = trouble.kind, trouble.target
        if kind == "propose":
            self._propose(trouble)
            return
        if kind == "links_bad":
            self._links_bad(trouble)
            return
        if kind == "links_split":
            self._split(trouble, None)
            return
        if kind in OWNER:
            owner = self.stage.owner()
            if owner is None:
                self.skipped.append(f"{kind} at {trouble.at:.1f} s: nobody owns a duty")
                return
            target = owner
        if kind == "owner_split":
            self._split(trouble, f"g{target}")
            return
        if ("gateway", target) in self.down:
            self.skipped.append(f"{kind} of gateway {target} at {trouble.at:.1f} s: it was down")
            return
        self.stage.record.write("trouble", kind=kind, target=target, seconds=trouble.seconds)
        if kind in ("owner_deaf", "owner_mute"):
            self._one_way(target, trouble)
        elif kind in ("owner_disk", "disk_slow"):
            self.stage.disk(target, power.Trouble(until=time.monotonic() + trouble.seconds))
        else:
            self.down.add(("gateway", target))
            self._takes_down(kind, target, trouble)

    def _back(self, target: int) -> None:
        self.stage.restart_gateway(target)
        self.down.discard(("gateway", target))

    def _takes_down(self, kind: str, target: int, trouble: Trouble) -> None:
        stage, seconds = self.stage, trouble.seconds
        if kind == "owner_freeze":
            stage.freeze_gateway(target, True)

            def thaw() -> None:
                stage.freeze_gateway(target, False)
                self.down.discard(("gateway", target))

            self.later(seconds, thaw)
        elif kind == "owner_kill":
            stage.kill_gateway(target)
            self.later(seconds, lambda: self._back(target))
        elif kind == "owner_stop":
            stage.stop_gateway(target)
            self.later(seconds, lambda: self._back(target))
        elif kind in ("owner_dies", "voter_dies"):
            # Between a record that is durable and the word of it, or just before it is.
            when = "after" if trouble.value else "before"
            stage.disk(target, power.Trouble(folder="duties", kill=when))
            if not stage.dies(target, 1.5):
                self.skipped.append(f"{kind} of gateway {target}: it had nothing to write; killed as it was")
            self.later(seconds, lambda: self._back(target))
        elif kind == "twin":
            twin = stage.start_twin(target)
            self.later(seconds, lambda: self._one_left(twin, target))
        else:
            assert kind == "old_disk", kind
            stage.kill_gateway(target)
            stage.copy_disk(target)
            stage.restart_gateway(target)
            self.later(seconds, lambda: self._older(target))

    def _one_left(self, twin: Process, target: int) -> None:
        """The later of two with one name ends, and the one that stood aside starts anew."""
        self.stage.record.write("twin_down", gateway=target)
        twin.kill()
        self.stage.kill_gateway(target)
        self._back(target)

    def _older(self, target: int) -> None:
        self.stage.kill_gateway(target)
        self.stage.old_disk(target)
        self._back(target)

    def _propose(self, trouble: Trouble) -> None:
        """Other rules in the scripts of a region, all of whose gateways that run read them at once."""
        stage = self.stage
        region = stage.layout.regions[trouble.target]
        stage.routing[region] = stage.layout.rules[trouble.target][int(trouble.value)]
        stage.record.write("trouble", kind="propose", region=region, rules=int(trouble.value))
        stage.edition(region)
        for number, process in stage.gateways.items():
            if stage.layout.region_of(number) == region and process.child.poll() is None:
                stage.reload(number)

    # Links

    def _one_way(self, target: int, trouble: Trouble) -> None:
        links = self.stage.links
        assert links is not None, "there are duties"
        me, others = f"g{target}", [x for x in links.members if x != f"g{target}"]
        deaf = trouble.kind == "owner_deaf"
        pairs = {(x, me) if deaf else (me, x) for x in others}
        links.sever(pairs)
        self.later(trouble.seconds, lambda: links.mend(pairs))

    def _links_bad(self, trouble: Trouble) -> None:
        """Of all messages a share is lost, as many are doubled, and each is up to a second late."""
        links = self.stage.links
        assert links is not None, "there are duties"
        self.stage.record.write("trouble", kind=trouble.kind, seconds=trouble.seconds, value=trouble.value)
        links.command(lost=trouble.value, doubled=trouble.value, late=1.0)
        self.later(trouble.seconds, lambda: links.command(lost=0.0, doubled=0.0, late=0.0))

    def _split(self, trouble: Trouble, owner: str | None) -> None:
        """Parted into groups, an owner in the first; healed two groups at a time, in an order drawn by the
        seed."""
        links = self.stage.links
        assert links is not None, "there are duties"
        draw = random.Random(f"{self.stage.seed} {trouble.at}")
        names = list(links.members)
        draw.shuffle(names)
        if owner is not None:  # they are taken from the end
            names.sort(key=lambda x: x == owner)
        groups: list[list[str]] = []
        for share in trouble.groups:
            # The last group takes what is left: shares are of the whole, rounded.
            size = len(names) if len(groups) == len(trouble.groups) - 1 else round(share * len(links.members))
            groups.append([names.pop() for _ in range(min(size, len(names)))])
        self.stage.record.write("trouble", kind=trouble.kind, seconds=trouble.seconds, groups=groups)
        parted = [both_ways(one, two) for one, two in itertools.combinations(groups, 2)]
        draw.shuffle(parted)
        for number, pairs in enumerate(parted):
            links.sever(pairs)
            self.later(trouble.seconds + 0.7 * number, lambda pairs=pairs: links.mend(pairs))  # type: ignore[misc]

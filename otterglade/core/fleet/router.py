"""Applies the routing rules in force at a gateway: which zones' hosts a session may use.

There is one router for each gateway, called on the decision loop. It selects one region for a session; the
placement module then selects among the hosts there, and rejects the session if they lack capacity. Two limits
bind regions together: the spill of a rule (the largest share of its sessions that may go to a region other
than the first), and the share of its capacity that a region offers to others (in an accept block of its
routing section). Each gateway enforces its own part of them on its own sessions, as for the retry budget;
gateways do not communicate for this.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from .. import interface as api
from ..messages import Key, TitleLocation
from .routing import Accept, Region, Route, Routing, account_of

NO_ZONES = (-1,)
"""A zone without hosts; an empty tuple would mean any zone."""
DEFAULT_WINDOW_SECONDS = 10.0
"""Window in which a rule's sessions and its spill are counted if the script (the gateway's configuration
file) sets no window for the retry budget."""
MAX_REMEMBERED_REFUSALS = 4096
"""Refusals remembered, by rule and region; dropping the oldest may cost a session another refusal."""


class RoutingMode(Enum):
    """What a gateway's routing is based on."""

    FREE = "no rules"
    """The script has no region, or had none when the gateway started and no edition is admitted yet."""
    HOME = "its own hosts alone"
    """No admitted edition of the region is known here; using its own hosts only cannot take capacity from
    other regions."""
    RULES = "an admitted edition"


@dataclass(frozen=True, slots=True)
class _CompiledPatterns:
    """Names and patterns, split once for lookup in time independent of the number of names."""

    names: frozenset[str]
    prefixes: tuple[str, ...]

    @staticmethod
    def compile(patterns: Iterable[str]) -> _CompiledPatterns:
        listed = [*patterns]
        return _CompiledPatterns(
            frozenset(x for x in listed if not x.endswith("*")),
            tuple(x[:-1] for x in listed if x.endswith("*")),
        )

    def match(self, text: str) -> bool:
        return (not self.names and not self.prefixes) or text in self.names or text.startswith(self.prefixes)


class RuleTable:
    """The rules of a routing section, compiled once; decides as `routing.rule_for` does."""

    def __init__(self, routing: Routing) -> None:
        listed = sorted(routing.routes, key=lambda x: (x.order, x.name))
        self._rules = [
            (
                frozenset(x.classes),
                _CompiledPatterns.compile(x.titles),
                _CompiledPatterns.compile(x.accounts),
                x,
            )
            for x in listed
        ]

    def decide(self, session_class: str, title: str, account: str) -> Route | None:
        """Return the rule that decides on a request; None if no rule matches."""
        for classes, titles, accounts, rule in self._rules:
            if (not classes or session_class in classes) and titles.match(title) and accounts.match(account):
                return rule
        return None


class SpillCounter:
    """Counts a rule's sessions at this gateway within the window, and those beyond its first region."""

    __slots__ = ("beyond", "taken")

    def __init__(self) -> None:
        self.taken: deque[float] = deque()
        """Times in seconds at which a new session was routed by the rule."""
        self.beyond: deque[float] = deque()
        """Times in seconds at which a session went beyond the first region."""

    def add_session(self, now: float, window: float) -> None:
        """Drop the times that are older than the window in seconds, and count a session."""
        for times in (self.taken, self.beyond):
            while times and times[0] <= now - window:
                times.popleft()
        self.taken.append(now)

    def allows(self, share: float) -> bool:
        """Return whether one more session may go beyond the first region within this share."""
        return len(self.beyond) + 1 <= share * len(self.taken)


@dataclass(frozen=True, slots=True)
class _RemoteSession:
    """A session of this gateway on another region's hosts."""

    region: str
    session_class: str
    rate: float
    """kB/s at the highest rung that it may use: its current rung changes, but its capacity stays reserved."""


class Router:
    """Applies the routing rules in force; a `SessionRouter` of the state machine in `sessions.py`."""

    def __init__(self, settings: api.Settings, classes: Iterable[str]) -> None:
        """`classes`: names in the order of the class numbers."""
        self._settings, self._classes = settings, tuple(classes)
        self._window = settings.budget_window or DEFAULT_WINDOW_SECONDS
        self.mode = RoutingMode.FREE
        self.edition = ""
        """Digest of the edition in force here; empty: none."""
        self._region: Region | None = None
        self._rules: RuleTable | None = None
        self._other_editions: dict[str, Routing] = {}
        """By name of another region: its edition, if known here."""
        self._spill_counters: dict[str, SpillCounter] = {}
        self._full_until: OrderedDict[tuple[str, str], float] = OrderedDict()
        """By rule and region: until when the hosts there are taken to lack capacity."""
        self._routed: dict[int, tuple[str, str]] = {}
        """Rule and region of each session."""
        self._remote_sessions: dict[int, _RemoteSession] = {}
        self._used_rates: dict[tuple[str, str], float] = {}
        """By region and class: total rate of the remote sessions in kB/s."""
        self.counts: dict[str, int] = {}
        """Routing outcomes of sessions, by name."""

    # What is in force

    def use_home_only(self, region: Region) -> None:
        """Restrict sessions to the region's own hosts, as no admitted edition of the region is known."""
        self.mode, self.edition, self._region, self._rules = RoutingMode.HOME, "", region, None
        self._other_editions = {}

    def apply_edition(self, own: Routing, others: Iterable[Routing]) -> None:
        """Put an admitted edition into force, with the editions of other regions that are known here.

        Active sessions stay on their hosts and are counted there. Raises ValueError if `own` has no region.
        """
        if own.region is None:
            raise ValueError("an edition without a region")
        self._other_editions = {x.region.name: x for x in others if x.region is not None}
        if self.mode is RoutingMode.RULES and self.edition == own.digest:
            return
        self.mode, self.edition, self._region, self._rules = (
            RoutingMode.RULES, own.digest, own.region, RuleTable(own),
        )  # fmt: skip
        rule_names = {x.name for x in own.routes}
        self._spill_counters = {x: y for x, y in self._spill_counters.items() if x in rule_names}
        self._full_until.clear()

    # Sessions

    def zones(
        self, now: float, session: int, key: Key, top: int, location: TitleLocation, moved: bool,
        entries: Mapping[int, api.ServerEntry],
    ) -> tuple[int, ...]:  # fmt: skip
        """Return the zones whose hosts a session may use; empty: any.

        `top` is the highest rung of the session; `moved`: it replaces one that is moving.
        """
        viewer, class_no, title = key
        if self.mode is RoutingMode.FREE or self._region is None:
            return ()
        if self._rules is None:
            self._count("kept at home")
            return self._region.zones or NO_ZONES
        rule = self._rules.decide(self._classes[class_no], title, account_of(viewer))
        if rule is None:
            return ()
        return self._zones_by_rule(now, rule, session, class_no, top, location, moved, entries)

    def _zones_by_rule(
        self, now: float, rule: Route, session: int, class_no: int, top: int, location: TitleLocation,
        moved: bool, entries: Mapping[int, api.ServerEntry],
    ) -> tuple[int, ...]:  # fmt: skip
        assert self._region is not None, "rules require a region"
        counter = self._spill_counters.setdefault(rule.name, SpillCounter())
        if not moved:  # moves are initiated by the gateway and do not add to the spill share
            counter.add_session(now, self._window)
        rate = self._rate(class_no, top)
        own_region = self._region.name
        regions = rule.regions or (own_region, *sorted(x for x in self._other_editions if x != own_region))
        chosen = None
        for n, region in enumerate(regions):
            beyond = n > 0 and bool(rule.regions)
            if beyond and not counter.allows(rule.spill):
                self._count("over the spill")
                break
            if not self._is_accepted(region, class_no, rate, entries):
                self._count("not accepted")
                continue
            if chosen is None:
                chosen = n  # the first that accepts it, if all lack capacity: the module rejects it there
            if self._is_available(now, rule, region, location, entries):
                chosen = n
                break
        if chosen is None:
            self._count("nowhere")
            return NO_ZONES
        region = regions[chosen]
        if chosen > 0 and rule.regions:
            counter.beyond.append(now)
            self._count("spilt")
        self._routed[session] = (rule.name, region)
        if region != own_region:
            self._add_remote_session(session, _RemoteSession(region, self._classes[class_no], rate))
        return self._zones_of(region) or NO_ZONES

    def _is_available(
        self,
        now: float,
        rule: Route,
        region: str,
        location: TitleLocation,
        entries: Mapping[int, api.ServerEntry],
    ) -> bool:
        """Return whether a region has a ready host with the title, and did not lack capacity when last tried
        for the rule."""
        if now < self._full_until.get((rule.name, region), -math.inf):
            return False
        zones, cells = self._zones_of(region), self._settings.cells
        title_cells = {(location.home + n) % cells for n in range(min(location.holders, cells))}
        return any(
            x.state is api.State.READY and x.zone in zones and x.cell in title_cells for x in entries.values()
        )

    def _zones_of(self, region: str) -> tuple[int, ...]:
        if self._region is not None and region == self._region.name:
            return self._region.zones
        routing = self._other_editions.get(region)
        return () if routing is None or routing.region is None else routing.region.zones

    # What other regions accept

    def _is_accepted(
        self, region: str, class_no: int, rate: float, entries: Mapping[int, api.ServerEntry]
    ) -> bool:
        """Return whether a region accepts one more session of this class from here.

        This gateway may use its part of the accepted share. A region whose edition is unknown here accepts
        nothing.
        """
        assert self._region is not None, "rules require a region"
        if region == self._region.name:
            return True
        routing = self._other_editions.get(region)
        if routing is None or routing.region is None:
            return False
        own_region, session_class = self._region.name, self._classes[class_no]
        blocks = [x for x in routing.accepts if block_accepts(x, own_region, session_class)]
        if not blocks:
            return False
        part = self._capacity(routing.region.zones, entries) / self._settings.gateways
        return any(self._used_rate(region, x) + rate <= x.share * part for x in blocks)

    def _capacity(self, zones: tuple[int, ...], entries: Mapping[int, api.ServerEntry]) -> float:
        """Return the total link rate of the ready hosts in these zones in kB/s."""
        ready = (x for x in entries.values() if x.state is api.State.READY and x.zone in zones)
        return sum(x.weight or 1.0 for x in ready) * self._settings.link_per_weight

    def _used_rate(self, region: str, block: Accept) -> float:
        """Return the rate in kB/s of this gateway's sessions in a region that an accept block covers."""
        classes = block.classes or self._classes
        return sum(self._used_rates.get((region, x), 0.0) for x in {*classes})

    def _rate(self, class_no: int, top: int) -> float:
        """Return the rate in kB/s of a session at its highest rung."""
        terms = self._settings.classes[class_no]
        return self._settings.ladder[max(terms.floor, min(top, terms.top))] * terms.scale

    def _add_remote_session(self, session: int, remote: _RemoteSession) -> None:
        self._remote_sessions[session] = remote
        key = (remote.region, remote.session_class)
        self._used_rates[key] = self._used_rates.get(key, 0.0) + remote.rate

    def adopted(self, session: int, key: Key, top: int, zone: int) -> None:
        """Count a session that was taken over on its current host, in a zone; it need not leave that zone."""
        _, class_no, _ = key
        for region, routing in self._other_editions.items():
            in_region = routing.region is not None and zone in routing.region.zones
            if in_region and (self._region is None or region != self._region.name):
                self._add_remote_session(
                    session, _RemoteSession(region, self._classes[class_no], self._rate(class_no, top))
                )
                return

    def refused(self, session: int, until: float) -> None:
        """Note that the hosts where a session was routed lacked capacity, and that it may retry at `until`.

        Until then the rule's next sessions go on to its next region, as far as its spill allows.
        """
        routed = self._routed.get(session)
        if routed is not None:
            self._full_until[routed] = max(until, self._full_until.pop(routed, -math.inf))
            if len(self._full_until) > MAX_REMEMBERED_REFUSALS:
                self._full_until.popitem(last=False)

    def session_ended(self, session: int) -> None:
        """Stop counting a session."""
        self._routed.pop(session, None)
        remote = self._remote_sessions.pop(session, None)
        if remote is not None:
            key = (remote.region, remote.session_class)
            left = self._used_rates[key] - remote.rate
            if left > 1e-6:
                self._used_rates[key] = left
            else:  # sums of floating-point rates leave a small remainder
                del self._used_rates[key]

    def _count(self, outcome: str) -> None:
        self.counts[outcome] = self.counts.get(outcome, 0) + 1

    def status(self) -> dict[str, object]:
        """Return the router's part of the gateway's `/status`; rates are in kB/s."""
        return {
            "mode": self.mode.value,
            "edition": self.edition,
            "abroad": {f"{x}/{y}": round(z, 3) for (x, y), z in sorted(self._used_rates.items())},
            "spilt": {
                x: {"taken": len(y.taken), "beyond": len(y.beyond)}
                for x, y in sorted(self._spill_counters.items())
            },
            "counts": dict(self.counts),
        }


def block_accepts(block: Accept, region: str, session_class: str) -> bool:
    """Return whether an accept block accepts this class from this region."""
    return (not block.regions or region in block.regions) and (
        not block.classes or session_class in block.classes
    )

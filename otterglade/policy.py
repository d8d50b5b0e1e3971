"""The decisions of a gateway; its settings, events and actions are in interface.py.

A session goes to the holder of its title with the least C/W among those that the guards admit. C counts
this gateway's own sessions there, set-ups included; W = sqrt((rho_s*S*Rs)^2 + (rho_l*L*Rl)^2), S and L the
server's most streams and told link over the list's means, Rs and Rl the idle shares that were last reported.
It starts at the highest rung that this gateway's part of the free room holds, climbs a step when the room
holds that, and is stepped down, highest rung first, when the server delivers short.

In the order a session lives: request, guards, choice, rung, set-up, answer; then, each beat, pressure,
climbs and swaps while it plays; then its end. A gateway knows only its own events: room is shared out among
the gateways, and every limit that binds them together is kept by each keeping to its part.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterator

from . import interface as api

RHO_STREAMS = 0.5  # proportion factors of the weight; they sum to 1
RHO_LINK = 0.5
TARGET = 0.90  # share of a link to fill: true rates vary by a fifth, and running short costs `stall` times
SHORT = 0.98  # delivered share under which sessions lose worth, by the wire's contract
PRESSURE = 1.02  # reported use that counts as a note of short delivery: over 1 by the noise of one report
HINT_TRUST = 0.3  # least remaining length, as a share of the time played: hints are rough
PAYBACK = 2.0  # a change of rung must earn this multiple of what it costs
SWAP_GAIN = 1.2  # a swap's gain in worth a kB over its loss: hysteresis against swapping back
DEVIATIONS = 6.0  # a set-up is overdue this many mean deviations over its mean time
TRIES_IN_GOAL = 3.0  # a time-out leaves room for so many tries within the goal
COLD_PART = 0.5  # share of the pace that makes a cold server fall that all gateways together may use
BREAK_BASE = 4.0  # connect time-outs for which a breaker first opens; doubled at each further sign
EWMA = 0.2  # weight of the newest set-up time

BEAT, WAIT = 0, 1  # what a timer is for, in its token's lowest bit


class _Session:
    """A session from its request to the end of its last attempt."""

    def __init__(self, request: api.SessionRequest, now: float) -> None:
        self.request, self.taken = request, now
        self.rung = 0
        self.rate = 0.0
        self.server: _Server | None = None
        self.tried: list[int] = []
        self.attempts = 0
        self.may_have_run: _Server | None = None
        self.ran_at = now
        self.playing = self.over = False
        self.started = now


class _Server:
    """What this gateway knows of one server."""

    def __init__(self, entry: api.ServerEntry) -> None:
        self.entry = entry
        self.sessions: dict[int, _Session] = {}
        self.streams: float | None = None
        self.link = _Use()
        self.cold_until = -math.inf
        self.next_cold = -math.inf
        self.open_until = -math.inf
        self.trips = 0
        self.last_sign = -math.inf
        self.trial: int | None = None
        self.settle_until = -math.inf  # no further step down before the last one can have been seen
        self.climb_after = -math.inf


class _Use:
    """Use of a link or uplink: the last reading and this gateway's own changes that it can't hold yet."""

    def __init__(self) -> None:
        self.value: float | None = None
        self.at = -math.inf
        self.changes: deque[tuple[float, float]] = deque()

    def read(self, value: float, now: float, lag: float) -> None:
        self.value, self.at = value, now
        while self.changes and self.changes[0][0] < now - lag:
            self.changes.popleft()

    def estimate(self, size: float, fallback: float) -> float:
        if self.value is None or size <= 0:
            return fallback
        return max(0.0, self.value + sum(rate for _, rate in self.changes) / size)


class Controller:
    """The decisions of one gateway. Feed it every event in order; carry out what it returns in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        _check(settings)
        self.s = settings
        self.random = random.Random(seed)
        self.servers: dict[int, _Server] = {}
        self.cells: dict[int, list[_Server]] = {}
        self.racks: dict[int, _Use] = {}
        self.sessions: dict[int, _Session] = {}
        self.waiting: dict[int, _Session] = {}
        self.mean_streams = self.mean_link = 1.0
        self.setup_mean: float | None = None
        self.setup_dev = 0.0
        self.taken: deque[float] = deque()
        self.further: deque[float] = deque()
        self.began = 0.0
        self.out: list[api.Action] = []
        self.now = 0.0

    def start(self, now: float) -> list[api.Action]:
        """The gateway has started: it knows nothing yet, and the list that follows may be old."""
        self.now = self.began = now
        self.out = [api.AskForList()] if self.s.ask_discovery else []
        self._beat_in(self.s.note_delay * self.random.random())
        return self.out

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event."""
        self.now, self.out = now, []
        match event:
            case api.SessionRequest():
                self._request(event)
            case api.AttemptEnded():
                self._ended(event)
            case api.SessionPlays():
                self._plays(event)
            case api.DeliveryNote(server, share):
                self._short(self.servers.get(server), share)
            case api.LoadNote(server, load):
                self._loaded(self.servers.get(server), load, self.s.note_delay)
            case api.RungNote(session, rung):
                if session in self.sessions:
                    self._set_rung(self.sessions[session], rung, tell=False)
            case api.TimerFired(token):
                self._timer(token)
            case api.ServerList():
                self._list(event)
            case api.SessionHandedOver():
                self._handed_over(event)
            case api.SessionGone(session):
                self._gone(session)
            case api.ProbeAnswered():
                self._probed(event)
        return self.out

    # The fleet

    def _list(self, event: api.ServerList) -> None:
        if event.failed:
            if self.s.ask_discovery:
                self.out.append(api.AskForList())
            return
        named = {entry.server for entry in event.entries}
        if event.complete:
            for server in self.servers.values():
                if server.entry.server not in named:
                    server.entry = _with_state(server.entry, api.State.GONE)
        for entry in event.entries:
            known = self.servers.get(entry.server)
            if known is None:
                known = self.servers[entry.server] = _Server(entry)
            elif entry.started > known.entry.started:
                known.link, known.streams = _Use(), None
            if entry.started > 0 and entry.state is api.State.READY:
                self._cold_from(known, entry.started)
            known.entry = entry
        ready = [x for x in self.servers.values() if x.entry.state is api.State.READY]
        self.cells = {}
        for server in ready:
            self.cells.setdefault(server.entry.cell, []).append(server)
        if ready:
            self.mean_streams = sum(self._slots(x) for x in ready) / len(ready) or 1.0
            self.mean_link = sum(self._link(x) for x in ready) / len(ready) or 1.0

    def _slots(self, server: _Server) -> float:
        kind = server.entry.kind
        return float(self.s.streams[kind]) if kind < len(self.s.streams) else self.mean_streams

    def _link(self, server: _Server) -> float:
        return self.s.link_per_weight * (server.entry.weight or 1.0)

    def _rack(self, server: _Server) -> _Use:
        return self.racks.setdefault(server.entry.cell % self.s.racks, _Use())

    def _cold_from(self, server: _Server, start: float) -> None:
        server.cold_until = max(server.cold_until, start + self.s.cold)

    # A request: guards, choice, set-up

    def _request(self, request: api.SessionRequest) -> None:
        session = self.sessions[request.session] = _Session(request, self.now)
        self.taken.append(self.now)
        self._place(session)

    def _place(self, session: _Session) -> None:
        """Send a session to a holder, let it wait for a cold one's turn, or turn it away."""
        if not self._seat_free(session):
            self._give_up(session)
            return
        server, wait = self._choose(session)
        if server is not None:
            self._send(session, server)
        elif self.now + wait < session.taken + self._class(session).goal / 2:
            self.waiting[session.request.session] = session
            self.out.append(api.SetTimer(session.request.session << 1 | WAIT, self.now + wait))
        else:
            self._give_up(session, wait)

    def _class(self, session: _Session) -> api.SessionClass:
        return self.s.classes[session.request.lane]

    def _seat_free(self, session: _Session) -> bool:
        seats, request = self._class(session).seats, session.request
        if not seats:
            return True
        held = sum(
            1
            for other in self.sessions.values()
            if other.server and other.request.lane == request.lane and other.request.title == request.title
        )
        return held < seats

    def _holders(self, session: _Session) -> list[_Server]:
        r = session.request
        cells = [(r.home + j) % self.s.cells for j in range(min(r.holders, self.s.cells))]
        found = [x for cell in cells for x in self.cells.get(cell, ()) if x.entry.server not in session.tried]
        return [x for x in found if self._terms_allow(session, x)]

    def _terms_allow(self, session: _Session, server: _Server) -> bool:
        """Whether a further attempt may go here, given one that may have run."""
        ran, terms = session.may_have_run, self._class(session)
        if ran is None or terms.effect is api.Effect.SAFE:
            return True
        if terms.effect is api.Effect.UNSAFE or self.now > session.ran_at + terms.dedup_window:
            return False
        a, b = ran.entry, server.entry
        return terms.group is api.Group.ALL or (
            a.zone == b.zone if terms.group is api.Group.ZONE else a.cell == b.cell
        )

    def _choose(self, session: _Session) -> tuple[_Server | None, float]:
        """The holder with the least C/W that the guards admit; else how long until one may be admitted."""
        holders = self._holders(session)
        paced = [x for x in holders if self._cold_wait(x) <= 0]
        sound = [x for x in paced if self._closed(x, session)]
        free = [x for x in sound if not self._is_full(x)]
        if free or sound:
            return self._least(free or sound, session), 0.0
        if paced:  # every breaker is open: the one that is due to close first is the least bad
            return min(paced, key=lambda x: x.open_until), 0.0
        return None, min((self._cold_wait(x) for x in holders), default=self.s.fall)

    def _least(self, servers: list[_Server], session: _Session) -> _Server:
        weights = {x.entry.server: self._weight(x) for x in servers}
        some = [x for x in servers if weights[x.entry.server] > 0] or servers

        def rank(x: _Server) -> tuple[float, bool, float, float]:
            weight = weights[x.entry.server]
            ratio = len(x.sessions) / weight if weight > 0 else float(len(x.sessions))
            away = self.s.zone_price > 0 and x.entry.zone != self.s.zone
            return ratio, away, -weight, self.random.random()

        return min(some, key=rank)

    def _weight(self, server: _Server) -> float:
        streams = RHO_STREAMS * self._slots(server) / self.mean_streams * self._idle_streams(server)
        link = RHO_LINK * self._link(server) / self.mean_link * max(0.0, 1.0 - self._used(server))
        return math.hypot(streams, link)

    def _idle_streams(self, server: _Server) -> float:
        used = server.streams if server.streams is not None else len(server.sessions) * self.s.gateways
        return max(0.0, 1.0 - used / max(1.0, self._slots(server)))

    def _used(self, server: _Server) -> float:
        """Use of the tighter of a server's link and its rack's uplink."""
        own = sum(x.rate for x in server.sessions.values()) * self.s.gateways / self._link(server)
        link = server.link.estimate(self._link(server), own)
        return max(link, self._rack(server).estimate(self.s.rack_link, 0.0))

    def _is_full(self, server: _Server) -> bool:
        """It would turn a set-up away, or it delivers short: a set-up takes from all that play there."""
        limit = min(self.s.refuses_from or math.inf, 1.0)
        return self._used(server) >= limit or self.now < server.settle_until

    def _closed(self, server: _Server, session: _Session) -> bool:
        """Circuit breaker: once its time is up, single set-ups that may be repeated are let through."""
        if not server.trips:
            return True
        if self.now < server.open_until or server.trial in self.sessions:
            return False
        return self._class(session).effect is not api.Effect.UNSAFE

    def _cold_wait(self, server: _Server) -> float:
        """Slow start: how long until this gateway's turn at a server that is, or may be, cold."""
        fresh = self.now < self.began + self.s.cold and not server.sessions
        if self.now >= server.cold_until and not fresh:
            return 0.0
        return server.next_cold - self.now

    def _cold_pace(self, server: _Server) -> float:
        """Seconds between this gateway's set-ups at a cold server."""
        per_second = self._slots(server) / max(self.s.cold, 1e-3) * self.s.start_capacity
        return self.s.gateways / max(per_second * self.s.overload_factor * COLD_PART, 1e-3)

    def _send(self, session: _Session, server: _Server) -> None:
        request, terms = session.request, self._class(session)
        if session.attempts:
            self.further.append(self.now)
        if server.trips and self.now >= server.open_until:
            server.trial = request.session
        server.next_cold = self.now + self._cold_pace(server)
        session.attempts += 1
        session.tried.append(server.entry.server)
        session.server, session.ran_at = server, self.now
        server.sessions[request.session] = session
        self._set_rung(session, self._fitting(session, server))
        again = terms.effect is api.Effect.SAFE and session.attempts < self.s.max_attempts
        left = session.taken + request.patience - self.now
        limit = min(left, self._overdue(terms)) if again else 0.0
        self.out.append(api.StartAttempt(request.session, server.entry.server, limit))

    def _overdue(self, terms: api.SessionClass) -> float:
        """When a set-up is given up for another: far outside what was seen, but within the goal."""
        most = terms.goal / 2
        if self.setup_mean is None:
            return most
        return min(most, max(terms.goal / TRIES_IN_GOAL, self.setup_mean + DEVIATIONS * self.setup_dev))

    # Rungs

    def _room(self, server: _Server) -> float:
        """This gateway's part of the free room of link and uplink; negative when over target."""
        own = sum(x.rate for x in server.sessions.values()) * self.s.gateways / self._link(server)
        room = (TARGET - server.link.estimate(self._link(server), own)) * self._link(server)
        if self.s.rack_link > 0:
            rack = self._rack(server).estimate(self.s.rack_link, 0.0)
            room = min(room, (TARGET - rack) * self.s.rack_link)
        return room / self.s.gateways

    def _top(self, session: _Session) -> int:
        return max(self._class(session).floor, min(session.request.top, self._class(session).top))

    def _rate(self, session: _Session, server: _Server, rung: int) -> float:
        """What a session adds to the link: a further viewer of a shared live stream adds less."""
        terms = self._class(session)
        rate = self.s.ladder[rung] * terms.scale
        if terms.live and self.s.shared_adds < 1 and any(
            other is not session and other.rung == rung and other.request.lane == session.request.lane
            and other.request.title == session.request.title for other in server.sessions.values()
        ):  # fmt: skip
            return rate * self.s.shared_adds
        return rate

    def _fitting(self, session: _Session, server: _Server) -> int:
        room, floor = self._room(server), self._class(session).floor
        rungs = range(self._top(session), floor, -1)
        return next((x for x in rungs if self._rate(session, server, x) <= room), floor)

    def _set_rung(self, session: _Session, rung: int, tell: bool = True) -> None:
        server = session.server
        if server is None:
            return
        change = self._rate(session, server, rung) - session.rate
        self._note_change(server, change)
        session.rung, session.rate = rung, session.rate + change
        if tell:
            self.out.append(api.ChooseRung(session.request.session, rung))

    def _note_change(self, server: _Server, change: float) -> None:
        server.link.changes.append((self.now, change))
        self._rack(server).changes.append((self.now, change))

    def _step_worth(self, session: _Session, rung: int) -> float:
        """Worth a second, for each kB, of the step up to this rung."""
        rates, worths, terms = self.s.ladder, self.s.ladder_worth, self._class(session)
        gain = (worths[rung] - worths[rung - 1]) * terms.worth
        return gain / max((rates[rung] - rates[rung - 1]) * terms.scale, 1e-9)

    def _pays(self, session: _Session, rung: int) -> bool:
        """Whether a step to this rung earns its cost in what is left of the session."""
        played = self.now - session.started
        hint = session.request.hint
        left = max((hint - played) if hint is not None else played, HINT_TRUST * played)
        worth = self.s.ladder_worth[rung] - self.s.ladder_worth[rung - 1]
        return worth * left > PAYBACK * self.s.switch_cost

    # The beat: climbs and swaps, and short delivery

    def _beat_in(self, wait: float) -> None:
        self.out.append(api.SetTimer(BEAT, self.now + wait))

    def _timer(self, token: int) -> None:
        if token & 1 == WAIT:
            session = self.waiting.pop(token >> 1, None)
            if session and not session.over:
                self._place(session)
            return
        self._beat_in(self.s.note_delay * (0.75 + 0.5 * self.random.random()))
        self._probe_some()
        for server in self.servers.values():
            if server.sessions and self.now >= max(server.settle_until, server.climb_after):
                self._climb(server)

    def _climb(self, server: _Server) -> None:
        """Step up the session that earns most for each kB, into free room or in place of one that earns less."""
        playing = [x for x in server.sessions.values() if x.playing]
        able = [x for x in playing if x.rung < self._top(x) and self._pays(x, x.rung + 1)]
        if not able:
            return
        low = max(able, key=lambda x: self._step_worth(x, x.rung + 1))
        need = self._rate(low, server, low.rung + 1) - low.rate
        room = self._room(server)
        if need <= room:
            self._set_rung(low, low.rung + 1)
            return
        high = [x for x in playing if x.rung > max(low.rung + 1, self._class(x).floor)]
        if not high:
            return
        other = min(high, key=lambda x: (-x.rung, self._step_worth(x, x.rung)))
        freed = other.rate - self._rate(other, server, other.rung - 1)
        gain = self._step_worth(low, low.rung + 1) / max(self._step_worth(other, other.rung), 1e-12)
        if gain > SWAP_GAIN and need <= freed + max(0.0, room):
            self._set_rung(other, other.rung - 1)
            self._set_rung(low, low.rung + 1)

    def _short(self, server: _Server | None, share: float) -> None:
        """A server delivers short: this gateway covers the missing share of its own rates, highest first."""
        if server is None or share >= SHORT or self.now < server.settle_until:
            return
        own = sum(x.rate for x in server.sessions.values())
        need = own * (1.0 - TARGET * max(share, 0.5))
        while need > 0:
            able = [x for x in server.sessions.values() if x.playing and x.rung > self._class(x).floor]
            if not able:
                break
            session = min(able, key=lambda x: (-x.rung, self._step_worth(x, x.rung)))
            before = session.rate
            self._set_rung(session, session.rung - 1)
            need -= max(before - session.rate, 1e-9)
        wait = 2.0 * self.s.note_delay + 1.0
        server.settle_until = self.now + wait * (1.0 + 0.2 * self.random.random())
        server.climb_after = server.settle_until + wait * self.random.random()

    # What is reported

    def _loaded(self, server: _Server | None, load: api.Load | None, lag: float) -> None:
        if server is None or load is None:
            return
        if load.streams is not None:
            server.streams = load.streams
        if load.link is not None:
            server.link.read(load.link, self.now, lag)
        if load.uplink is not None:
            self._rack(server).read(load.uplink, self.now, lag)
        if server.sessions and max(load.link or 0.0, load.uplink or 0.0) > PRESSURE:
            self._short(server, 1.0 / max(load.link or 0.0, load.uplink or 0.0))

    def _probe_some(self) -> None:
        """Where load is told to probes only: one probe for each session taken, at the longest unheard."""
        if not (self.s.probes and self.s.reports_by_probe):
            return
        self._trim(self.taken, max(self.s.budget_window, self.s.cold))
        ready = [x for x in self.servers.values() if x.entry.state is api.State.READY]
        if not ready:
            return
        taken = sum(1 for at in self.taken if at > self.now - self.s.cold) / max(self.s.cold, 1e-3)
        count = taken * self.s.note_delay
        whole = int(count) + (self.random.random() < count % 1.0)
        for server in sorted(ready, key=lambda x: x.link.at)[:whole]:
            server.link.at = self.now
            self.out.append(api.Probe(server.entry.server))

    def _probed(self, event: api.ProbeAnswered) -> None:
        server = self.servers.get(event.server)
        if server is None:
            return
        if event.outcome is api.Outcome.DONE:
            self._loaded(server, event.load, self.s.note_delay)
        elif event.outcome in (api.Outcome.TIMED_OUT, api.Outcome.REFUSED, api.Outcome.RESET):
            self._bad_sign(server)

    # Set-ups answered, sessions ended

    def _plays(self, event: api.SessionPlays) -> None:
        session = self.sessions.get(event.session)
        if session is None or session.server is None:
            return
        session.playing, session.started = True, self.now
        mean = self.setup_mean if self.setup_mean is not None else event.took
        self.setup_dev += EWMA * (abs(event.took - mean) - self.setup_dev)
        self.setup_mean = mean + EWMA * (event.took - mean)
        self._good_sign(session.server)

    def _good_sign(self, server: _Server) -> None:
        if server.trips:
            self.out.append(api.Log(f"breaker closed: server {server.entry.server}"))
            self._cold_from(server, self.now)  # what was silent may have come back cold
        server.trips, server.trial, server.open_until = 0, None, -math.inf

    def _bad_sign(self, server: _Server) -> None:
        """Opens the breaker; signs that come together are one sign."""
        if self.now - server.last_sign < self.s.connect_timeout:
            return
        server.last_sign = self.now
        if not server.trips:
            self.out.append(api.Log(f"breaker open: server {server.entry.server}"))
        wait = min(self.s.connect_timeout * BREAK_BASE * 2.0**server.trips, max(self.s.cold, 1.0))
        server.trips, server.trial = server.trips + 1, None
        server.open_until = self.now + wait * (0.75 + 0.5 * self.random.random())

    def _handed_over(self, event: api.SessionHandedOver) -> None:
        server = self.servers.get(event.server)
        if server is None:
            return
        session = self.sessions[event.request.session] = _Session(event.request, self.now)
        session.server, session.playing, session.attempts = server, True, 1
        server.sessions[event.request.session] = session
        self._set_rung(session, self._class(session).floor, tell=False)

    def _ended(self, event: api.AttemptEnded) -> None:
        session, server = self.sessions.get(event.session), self.servers.get(event.server)
        if event.outcome is not api.Outcome.CANCELLED:
            self._loaded(server, event.load, self.s.note_delay)
        if server is not None and event.outcome in (
            api.Outcome.RESET, api.Outcome.TIMED_OUT, api.Outcome.REFUSED
        ):  # fmt: skip
            self._bad_sign(server)
        if session is None or session.server is None:
            return
        self._leave(session)
        if event.outcome not in api.NEVER_RAN:
            session.may_have_run = session.may_have_run or server
        if event.final or session.over:
            self.sessions.pop(event.session, None)
            session.over = True
            return
        session.playing = False
        if self._may_try_again(session):
            self._place(session)
        else:
            self._give_up(session)

    def _leave(self, session: _Session) -> None:
        server = session.server
        if server is None:
            return
        server.sessions.pop(session.request.session, None)
        self._note_change(server, -session.rate)
        session.rate, session.server = 0.0, None

    def _may_try_again(self, session: _Session) -> bool:
        if session.attempts >= self.s.max_attempts:
            return False
        if self.now >= session.taken + session.request.patience:
            return False
        if session.may_have_run and self._class(session).effect is api.Effect.UNSAFE:
            return False
        if self.s.budget_window <= 0:
            return True
        self._trim(self.further, self.s.budget_window)
        self._trim(self.taken, max(self.s.budget_window, self.s.cold))
        taken = sum(1 for at in self.taken if at > self.now - self.s.budget_window)
        return len(self.further) + 1 <= self.s.budget_free + self.s.budget_share * taken

    def _trim(self, times: deque[float], window: float) -> None:
        while times and times[0] < self.now - window:
            times.popleft()

    def _give_up(self, session: _Session, wait: float = 0.0) -> None:
        """The final answer, at once: refused with a time to come back where nothing can have run, else failed."""
        terms = self._class(session)
        refusable = (
            session.may_have_run is None
            or terms.effect is api.Effect.SAFE
            or (terms.effect is api.Effect.KEYED and terms.group is api.Group.ALL)
        )
        if refusable:
            come_back = min(self.s.max_retry_after, max(wait, self.s.note_delay))
            self.out.append(api.Refuse(session.request.session, come_back))
        else:
            self.out.append(api.Fail(session.request.session))
        session.over = True
        self.sessions.pop(session.request.session, None)

    def _gone(self, number: int) -> None:
        session = self.sessions.get(number)
        if session is None:
            return
        session.over = True
        if session.server is None:
            self.sessions.pop(number, None)
            self.waiting.pop(number, None)


def _with_state(entry: api.ServerEntry, state: api.State) -> api.ServerEntry:
    return api.ServerEntry(entry.server, entry.zone, entry.kind, entry.cell, state, entry.weight, entry.started)


def _problems(s: api.Settings) -> Iterator[str]:
    if not s.ladder:
        yield "ladder: empty"
    if len(s.ladder_worth) != len(s.ladder):
        yield "ladder_worth: not one for each rung"
    if not s.classes:
        yield "classes: empty"
    for terms in s.classes:
        if not 0 <= terms.floor < max(len(s.ladder), 1):
            yield "floor: not on the ladder"
        if not terms.floor <= terms.top < max(len(s.ladder), 1):
            yield "top: not on the ladder, or under the floor"
    for name in ("cells", "racks", "gateways", "max_attempts"):
        if getattr(s, name) < 1:
            yield f"{name}: under 1"


def _check(settings: api.Settings) -> None:
    for problem in _problems(settings):
        raise ValueError(problem)

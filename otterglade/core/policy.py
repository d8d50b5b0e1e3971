"""Placement decisions of one gateway: the server and rung of each session, and changes of rung.

Settings, events and actions are in interface.py, the state of servers and sessions in state.py.

A session goes to the holder of its title with the least C/W that the guards admit. C counts this gateway's
own sessions there, set-ups included; W = sqrt((rho_s*S*Rs)^2 + (rho_l*L*Rl)^2), where S and L are streams and
link over the list's means, Rs and Rl their idle shares. It starts at the highest rung that fits this
gateway's share of the free room, is stepped up when there is room, and stepped down, highest rung first, on
short delivery. A gateway sees only its own events: each keeps to its share of a limit that is for all.
"""

from __future__ import annotations

import math
import random

from . import interface as api
from .state import Fleet, LinkUse, Server, Session, SlidingCount

SCORE_JITTER = 0.5  # random share added to C/W where no server may be probed: near ties are drawn
RHO_STREAMS, RHO_LINK = 0.1, 0.9  # rho_s and rho_l, summing to 1: links run short before streams do
TARGET_USE = 0.95  # share of a link to fill: rates vary by the second; short delivery costs `settings.stall`
CROWDED_TARGET_USE = 0.9  # the same where many share a link: all act on readings that are old
STEP_UP_TARGET_USE = 0.8  # the same for steps up: leaves room for set-ups, which can start high at no cost
SHORT_DELIVERY = 0.98  # delivered share below which sessions lose worth, by contract with the servers
MIN_SWAP_GAIN = 1.2  # a swap's gain in worth per kB over its loss: hysteresis against swapping back
MIN_STEP_PAYBACK = 8.0  # a step up must earn this multiple of its cost
ATTEMPTS_WITHIN_GOAL = 2.0  # a set-up times out early enough for so many attempts within the goal
COLD_SHARE = 0.5  # share of the rate that overloads a cold server that all gateways together may use
SLOT_VALIDITY = 0.5  # share of `fall` for which a slot lasts: a burst is (1 + this) * COLD_SHARE at most
ERRORS_TO_TRIP = 3  # errors in a row that count as a failure: a server that fails at once looks idle
BREAKER_BASE_TIMEOUTS = 4.0  # connect time-outs for which a breaker first opens; doubled with each failure
MAX_PROBES = 3  # probes for one session
MAX_TURNOVER = 0.3  # share of a link that may have been taken since a reading before it is probed again
FRESH_READING_DELAYS = 2.0  # note delays for which a reading counts as new
SHORTAGE_COVER = 1.5  # multiple of a shortage to step down by: a missing rate costs `settings.stall` times
SETTLE_DELAYS = 2.0  # note delays without a step up after a step down: until its effect is reported

TICK_TIMER, SESSION_TIMER = 0, 1  # purpose of a timer: the lowest bit of its token
FAILURES = (api.Outcome.RESET, api.Outcome.TIMED_OUT, api.Outcome.REFUSED)  # these open a server's breaker


class Controller:
    """Decisions of one gateway. Feed it every event in order, and carry out the returned actions in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.fleet = Fleet(settings)
        self.sessions: dict[int, Session] = {}
        self.waiting: dict[int, Session] = {}
        self.requests_taken, self.further_attempts = SlidingCount(), SlidingCount()
        self.step_worths: dict[tuple[int, int], float] = {}  # cache of `_step_worth` by class and rung
        self.mean_link_use = 0.0
        self.started_at = self.now = 0.0
        self.answers_due_by = math.inf
        """When every answer is due at the latest, whatever the viewer's patience."""
        self.actions: list[api.Action] = []

    def start(self, now: float) -> list[api.Action]:
        """Start knowing no servers; the first list may be old. Call once, before any event."""
        self.now = self.started_at = now
        self.actions = [api.AskForList()] if self.settings.ask_discovery else []
        self._schedule_tick(self.settings.note_delay * self.random.random())
        return self.actions

    def limit_answers(self, due_by: float) -> None:
        """Choose every answer by `due_by` (seconds of the clock), as the process ends soon after it."""
        self.answers_due_by = due_by

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Handle one event at `now`, in seconds that never decrease; returns the actions to carry out."""
        self.now, self.actions = now, []
        match event:
            case api.SessionRequest():
                self._handle_request(event)
            case api.AttemptEnded():
                self._handle_end(event)
            case api.SessionPlays():
                self._handle_playing(event)
            case api.DeliveryNote(server, share):
                if server in self.fleet.servers:
                    link = self.fleet.servers[server].link
                    if self.settings.reports_by_probe and share < SHORT_DELIVERY:  # a reading without a probe
                        link.record_reading(1.0 / max(share, 0.1), now, self.settings.note_delay)
                    self._cover_shortage(link, share)
            case api.LoadNote(server, load):
                self._record_load(self.fleet.servers.get(server), load)
            case api.RungNote(number, rung):
                session = self.sessions.get(number)
                if session and session.server:
                    session.server.assign_session(session, rung, now, self.settings)
            case api.TimerFired(token):
                self._handle_timer(token)
            case api.ServerList():
                self._apply_list(event)
            case api.SessionHandedOver():
                self._take_over(event)
            case api.SessionGone(number):
                self._handle_viewer_left(number)
            case api.ProbeAnswered():
                self._handle_probe(event)
        return self.actions

    def _apply_list(self, event: api.ServerList) -> None:
        if event.failed:
            self.actions += [api.AskForList()] if self.settings.ask_discovery else []
            return
        for server in self.fleet.apply_list(event):
            warm_at = server.entry.started + self.settings.cold
            if warm_at > server.cold_until:  # only for a new start: a repeated list must not lose the slot
                server.cold_until, server.next_setup_at = warm_at, self._draw_slot(server)

    # Placing a session: guards, choice of a server, set-up

    def _handle_request(self, request: api.SessionRequest) -> None:
        session = Session(request, self.settings.classes[request.class_no], self.now)
        self.sessions[request.session] = session
        self.requests_taken.add(self.now, 1.0)
        if not self._can_end_in_time(session):
            self._reject(session)
        elif not self._probe_holders(session):
            self._place(session)

    def _place(self, session: Session) -> None:
        """Send a session to a holder, let it wait for a slot at a cold one, or reject it."""
        if (
            not self._can_end_in_time(session)
            or not self._has_free_seat(session)
            or not self._budget_allows(session)
        ):
            self._reject(session)
            return
        server, wait = self._choose(session)
        if server is not None and not any(self._is_starved(x) for x in (server.link, server.uplink)):
            self._start_attempt(session, server)
        elif server is None and self._can_wait(session, wait):
            self._wait(session, wait)
        else:
            self._reject(session, wait)

    def _can_wait(self, session: Session, wait: float) -> bool:
        """Whether a set-up may start so late: within half of its goal, and with time for its answer."""
        within_goal = self.now + wait < session.requested_at + session.terms.goal / 2
        return within_goal and self._can_end_in_time(session, wait)

    def _can_end_in_time(self, session: Session, wait: float = 0.0) -> bool:
        """Whether an attempt that starts after `wait` seconds has the usual time before all answers are
        due: one that is cut off has run for nothing."""
        usual_time = min(session.terms.goal, session.request.patience) / ATTEMPTS_WITHIN_GOAL
        return self.now + wait + usual_time <= self.answers_due_by

    def _is_starved(self, use: LinkUse) -> bool:
        """Whether it is over capacity and no own session can step down; wrong if readings are stale."""
        return use.estimate(0.0) > 1.0 / SHORT_DELIVERY and self._session_to_step_down(use) is None

    def _has_free_seat(self, session: Session) -> bool:
        if not session.terms.seats:
            return True
        class_no, title = session.request.class_no, session.request.title
        placed = [x for x in self.sessions.values() if x.server and x.request.title == title]
        return sum(x.request.class_no == class_no for x in placed) < session.terms.seats

    def _budget_allows(self, session: Session) -> bool:
        """Whether the site's retry budget allows an attempt, so that retries do not worsen an outage."""
        start = self.now - self.settings.budget_window
        if not session.tried or self.settings.budget_window <= 0:
            return True
        taken, further = (self.requests_taken.since(start + 1e-3), self.further_attempts.since(start - 1e-3))
        return further + 1 <= self.settings.budget_free + self.settings.budget_share * taken

    def _choose(self, session: Session) -> tuple[Server | None, float]:
        """The holder with the least C/W that the guards admit, or None and the seconds until one may be."""
        holders = [x for x in self.fleet.holders(session.request) if x.entry.server not in session.tried]
        in_slot = [x for x in holders if self._slot_wait(x) <= 0]
        admitted = [x for x in in_slot if self._breaker_admits(x, session)]
        free = [x for x in admitted if not self._is_full(x)]
        if admitted:
            return self._best_of(free or admitted), 0.0
        if in_slot:  # all breakers are open: the one that is due to close first is the least bad
            return min(in_slot, key=lambda x: x.breaker_open_until), 0.0
        return None, min((self._slot_wait(x) for x in holders), default=self.settings.fall)

    def _probe_holders(self, session: Session) -> bool:
        """Where only probes report load, probe a few holders before the choice. Returns whether it waits.

        A probe is charged to the session and answered at once: it is sent only if it can change the choice.
        """
        if not (self.settings.probes and self.settings.reports_by_probe):
            return False
        crowded, holders = self._links_are_crowded(), self.fleet.holders(session.request)
        best = sorted(
            (x for x in holders if self._breaker_admits(x, session)), key=lambda x: self._score(x, crowded)
        )
        if crowded:  # the best of several fresh readings would be the choice of all gateways
            session.awaited_probes = {x.entry.server for x in best[:1] if self._reading_is_stale(x)}
        else:
            fresh_after = self.now - FRESH_READING_DELAYS * self.settings.note_delay
            session.awaited_probes = {
                x.entry.server for x in best[:MAX_PROBES] if x.link.read_at < fresh_after
            }
        if session.awaited_probes:
            self.actions += [api.Probe(x) for x in sorted(session.awaited_probes)]
            self._wait(session, self.settings.connect_timeout)
        return bool(session.awaited_probes)

    def _reading_is_stale(self, server: Server) -> bool:
        """Whether set-ups since the reading may have used up the tighter of link and uplink."""
        link_use, uplink_use = self._link_uses(server)
        use, links = self._links_and_counts(server)[uplink_use >= link_use]
        added_rate = self._setups_per_link(links) * self._mean_session_rate()
        return use.last_reading is None or added_rate * (self.now - use.read_at) > MAX_TURNOVER * use.capacity

    def _wait(self, session: Session, wait: float) -> None:
        self.waiting[session.number] = session
        self.actions.append(api.SetTimer(session.number << 1 | SESSION_TIMER, self.now + wait))

    def _best_of(self, servers: list[Server]) -> Server:
        """The least C/W; ties go to the larger weight if holders were just probed, else to a weighted draw.

        The draw keeps gateways that see the same state from all picking the same server. Where no probes are
        allowed C counts this set-up too: a server is known to be idle only while an own session plays there,
        and would always be passed over for one without.
        """
        crowded = self.settings.probes and self._links_are_crowded()
        weighted = [x for x in servers if self._weight(x) > 0] or servers
        return min(weighted, key=lambda x: self._score(x, crowded))

    def _score(self, server: Server, crowded: bool) -> tuple[float, float, float]:
        """Sort key of a server, least first: C/W, the tie-breaker, a random number."""
        weight, draw, blind = self._weight(server) or 1.0, self.random.random(), not self.settings.probes
        tie = -weight if self.settings.reports_by_probe else -math.log(1.0 - draw) / weight
        count = float(len(server.sessions))
        if crowded:  # a gateway's few sessions at a server are chance and say nothing of its load
            usual = len(self.sessions) / max(1, len(self.fleet.ready))
            count = max(0.0, count - usual - 2.0 * math.sqrt(usual))
            if self.now - server.last_setup_at < self.settings.idle_close:
                tie -= self.settings.handshake_price
        return (count + blind) / weight * (1.0 + SCORE_JITTER * blind * draw), tie, draw

    def _weight(self, server: Server) -> float:
        """W; the idle share of the link is the product of those of the link and of its rack's uplink.

        With the lesser of the two alone, links overflow by chance where all uplinks are nearly full.
        """
        used = server.streams if server.streams is not None else len(server.sessions)
        streams = (
            server.max_streams / self.fleet.mean_streams * max(0.0, 1.0 - used / max(1.0, server.max_streams))
        )
        idle = math.prod(max(0.0, 1.0 - used) for used in self._link_uses(server))
        return math.hypot(
            RHO_STREAMS * streams, RHO_LINK * server.link.capacity / self.fleet.mean_link * idle
        )

    def _link_uses(self, server: Server) -> tuple[float, float]:
        """Estimated use of a server's link and of its rack's uplink."""
        unread = self.mean_link_use + server.link.own_rate / server.link.capacity
        return server.link.estimate(unread), server.uplink.estimate(0.0)

    def _is_full(self, server: Server) -> bool:
        """Whether it refuses set-ups or delivers short: one more session takes from all that play there."""
        limit = min(self.settings.refuses_from or math.inf, 1.0)
        return (
            self.now < max(server.busy_until, server.link.step_up_after)
            or max(self._link_uses(server)) >= limit
        )

    def _breaker_admits(self, server: Server, session: Session) -> bool:
        """Circuit breaker: half open after its time, it admits one set-up at a time that may be repeated."""
        if not server.breaker_trips:
            return True
        if self.now < server.breaker_open_until or server.trial in self.sessions:
            return False
        return session.terms.effect is api.Effect.SAFE

    def _slot_wait(self, server: Server) -> float:
        """Slow start: seconds until this gateway may send a cold server a set-up; at most 0 if it may now.

        A slot that is not used in time expires and another is drawn. If slots were kept, gateways without
        requests would save theirs up, and a burst that reaches all would send them at once.
        """
        if self.now >= server.cold_until:
            return 0.0
        if self.now > server.next_setup_at + SLOT_VALIDITY * self.settings.fall:
            server.next_setup_at = self._draw_slot(server)
        return server.next_setup_at - self.now

    def _draw_slot(self, server: Server) -> float:
        """Time of the next slot, random within an interval so that gateways do not use theirs together."""
        return self.now + self._slot_interval(server) * self.random.random()

    def _slot_interval(self, server: Server) -> float:
        """Seconds between this gateway's slots at a cold server."""
        rate = server.max_streams * self.settings.start_capacity * self.settings.overload_factor * COLD_SHARE
        return self.settings.gateways * self.settings.cold / max(rate, 1e-3)

    def _start_attempt(self, session: Session, server: Server) -> None:
        if session.tried:
            self.further_attempts.add(self.now, 1.0)
        if server.breaker_trips and self.now >= server.breaker_open_until:
            server.trial = session.number
        server.next_setup_at = self.now + self._slot_interval(server)
        session.tried.append(server.entry.server)
        session.sent_at = server.last_setup_at = self.now
        even = self._even_rung(session, server)
        self._set_rung(session, server, self._starting_rung(session, server) if even is None else even)
        retry = session.terms.effect is api.Effect.SAFE and len(session.tried) < self.settings.max_attempts
        limit = session.terms.goal / ATTEMPTS_WITHIN_GOAL if retry else 0.0
        self.actions.append(api.StartAttempt(session.number, server.entry.server, limit))

    # Room on the links and choice of rungs

    def _share_of_room(self, use: LinkUse, links: int, joining: bool) -> float:
        """This gateway's share of the room that was last read, less what it has taken since (kB per second).

        A set-up shares it with the square root of the set-ups that all gateways send there in the reading's
        age: ending sessions make up for the mean, chance remains. A step up shares it with what plays there
        and can wait: none without a reading. At most half; with all gateways if nothing was read so far.
        """
        if use.capacity <= 0:
            return math.inf
        others = self.settings.gateways - 1.0
        if joining and (use.last_reading is not None or self.mean_link_use > 0):
            age = self.settings.note_delay + min(self.now - use.read_at, self.settings.cold)
            others = min(others, max(1.0, math.sqrt(self._usual_request_rate() * others * age / links)))
        elif not joining and (use.last_reading is None or use.own_rate <= 0):
            return 0.0
        elif not joining and use.last_reading is not None:
            others = min(others, max(1.0, use.last_reading * use.capacity / use.own_rate - 1.0))
        value = self.mean_link_use if use.last_reading is None else use.last_reading
        own = use.own_rate if use.last_reading is None else use.own_rate_change
        return ((TARGET_USE if joining else STEP_UP_TARGET_USE) - value) * use.capacity / (1.0 + others) - own

    def _room(self, server: Server, joining: bool = False) -> float:
        """Free room for this gateway on both link and uplink, in kB per second; negative when over target."""
        return min(self._share_of_room(use, links, joining) for use, links in self._links_and_counts(server))

    def _links_and_counts(self, server: Server) -> tuple[tuple[LinkUse, int], tuple[LinkUse, int]]:
        """A server's link and its rack's uplink, each with the number of such links in the fleet."""
        return (server.link, max(1, len(self.fleet.ready))), (server.uplink, self.settings.racks)

    def _starting_rung(self, session: Session, server: Server) -> int:
        """The highest rung that fits. A much higher own session is stepped down if that earns more."""
        room = self._room(server, joining=True)
        rung = self._fitting_rung(session, server, room)
        for use in (server.uplink, server.link):
            high = self._session_to_step_down(use) if rung < session.top else None
            if high is None or high.server is None or high.rung < rung + 2:
                continue
            freed = high.rate - high.server.rate_at(high, high.rung - 1, self.settings)
            better = self._fitting_rung(session, server, room + freed)
            if better > rung and self._step_worth(
                session.request.class_no, better
            ) > MIN_SWAP_GAIN * self._step_worth(high.request.class_no, high.rung):
                self._set_rung(high, high.server, high.rung - 1)
                rung = better
        return rung

    def _usual_request_rate(self) -> float:
        """Requests per second over a long window."""
        span = max(min(self.now - self.started_at, self.settings.cold) + self.settings.note_delay, 1e-3)
        return self.requests_taken.since(self.now - span) / span

    def _request_rate(self) -> float:
        """Requests per second: over a long window, or the surge that a short one shows beyond chance."""
        rate, short = self._usual_request_rate(), max(self.settings.note_delay, 1e-3)
        for span in (short, SETTLE_DELAYS * short):
            count = max(0.0, self.requests_taken.since(self.now - span) - 1.0)  # less the current request
            rate = max(rate, (count - math.sqrt(count)) / span)
        return rate

    def _mean_session_rate(self) -> float:
        """Mean rate of this gateway's placed sessions in kB per second; a middle rung's if there are none."""
        rates = [x.rate for x in self.sessions.values() if x.server is not None]
        return sum(rates) / len(rates) if rates else self.settings.ladder[len(self.settings.ladder) // 2]

    def _setups_per_link(self, links: int) -> float:
        """Set-ups per second that all gateways send to one of so many links."""
        return self._request_rate() * self.settings.gateways / links

    def _setups_in_loop(self, capacity: float, age: float, links: int) -> float:
        """Set-ups that all gateways send to a link before a correction shows in its use; 0.0 if too few.

        A correction is spread over e times the reading's age and delay: a faster control loop oscillates. Too
        few: the standard deviation is a third of the count or more (9 or fewer), or its rate over the margin.
        """
        if capacity <= 0 or self.settings.gateways < 2:
            return 0.0
        setups = self._setups_per_link(links) * math.e * (age + self.settings.note_delay)
        chance = math.sqrt(setups) * self._mean_session_rate()
        return setups if setups > 9 and chance < (1.0 - TARGET_USE) * capacity else 0.0

    def _links_are_crowded(self) -> bool:
        """Whether links hold so many sessions that one is within their margin and chance evens out."""
        if self._mean_session_rate() > (1.0 - TARGET_USE) * self.fleet.mean_link:
            return False
        if self.settings.rack_link > 0:
            return self._setups_in_loop(self.settings.rack_link, 0.0, self.settings.racks) > 0
        return self._setups_in_loop(self.fleet.mean_link, 0.0, max(1, len(self.fleet.ready))) > 0

    def _even_rung(self, session: Session, server: Server) -> int | None:
        """Where many gateways share a link, the rung at which all set-ups there can start; None if few do.

        All see the same room and act alike, so each takes what ending sessions free, plus or minus a share of
        the room. If each took what fits, all would start at the top, and at the floor once the link is full;
        the same rate dealt out evenly earns more.
        """
        if not self._links_are_crowded():
            return None
        least = math.inf
        playing = [x for x in self.sessions.values() if x.server is not None]
        ends = sum(
            x.rate / max(x.request.hint or self.settings.cold, self.settings.note_delay) for x in playing
        )
        freed = min(self._mean_session_rate(), ends / self._request_rate())
        for use, links in self._links_and_counts(server):
            age = 0.0 if use.last_reading is None else min(self.now - use.read_at, self.settings.cold)
            setups = self._setups_in_loop(use.capacity, age, links)
            if setups > 0 and (use.last_reading is not None or use is server.link):
                value = self.mean_link_use if use.last_reading is None else use.last_reading
                least = min(least, freed + (CROWDED_TARGET_USE - value) * use.capacity / setups)
        return None if least == math.inf else self._rung_for_mean(session, least)

    def _rung_for_mean(self, session: Session, mean: float) -> int:
        """This session's rung if sessions are to take `mean` kB per second on average.

        The rate goes to the steps that earn most per kB over the classes as they occur here. The last step is
        given by a random draw, so that the mean is kept.
        """
        rates, present = self.settings.ladder, [x.request.class_no for x in self.sessions.values()]
        share = [present.count(n) / len(present) for n in range(len(self.settings.classes))]
        steps, left, rung = [], mean, session.terms.floor
        for class_no, terms in enumerate(self.settings.classes):
            left -= share[class_no] * rates[terms.floor] * terms.scale
            steps += [
                (-self._step_worth(class_no, x), class_no, x) for x in range(terms.floor + 1, terms.top + 1)
            ]
        for _, class_no, step in sorted(steps):
            cost = share[class_no] * (rates[step] - rates[step - 1]) * self.settings.classes[class_no].scale
            if left <= 0:
                break
            if class_no == session.request.class_no and left > cost * self.random.random():
                rung = max(rung, step)
            left -= cost
        return min(rung, session.top)

    def _fitting_rung(self, session: Session, server: Server, room: float) -> int:
        rungs = range(session.top, session.terms.floor, -1)
        return next(
            (x for x in rungs if server.rate_at(session, x, self.settings) <= room), session.terms.floor
        )

    def _session_to_step_down(self, use: LinkUse) -> Session | None:
        """The own playing session to step down first: the highest rung, and of those the least worth."""
        found, top, least = None, 0, math.inf
        for x in use.sessions.values():
            if x.rung >= top and x.playing and x.rung > x.terms.floor:
                worth = self._step_worth(x.request.class_no, x.rung)
                if x.rung > top or worth < least:
                    found, top, least = x, x.rung, worth
        return found

    def _set_rung(self, session: Session, server: Server, rung: int) -> None:
        server.assign_session(session, rung, self.now, self.settings)
        self.actions.append(api.ChooseRung(session.number, rung))

    def _step_worth(self, class_no: int, rung: int) -> float:
        """Worth per second and kB of the step up to this rung, for a class."""
        known = self.step_worths.get((class_no, rung))
        if known is None:
            worths, rates, terms = (
                self.settings.ladder_worth, self.settings.ladder, self.settings.classes[class_no],
            )  # fmt: skip
            gain = (worths[rung] - worths[rung - 1]) * terms.worth
            known = gain / max((rates[rung] - rates[rung - 1]) * terms.scale, 1e-9)
            self.step_worths[class_no, rung] = known
        return known

    def _pays(self, session: Session, rung: int) -> bool:
        """Whether a step up to this rung earns its cost in the expected rest of the session."""
        played, hint = self.now - session.playing_since, session.request.hint
        left = played if hint is None else hint - played
        gain = self.settings.ladder_worth[rung] - self.settings.ladder_worth[rung - 1]
        return gain * left > MIN_STEP_PAYBACK * self.settings.switch_cost

    # While sessions play: the periodic tick, steps up, short delivery

    def _schedule_tick(self, wait: float) -> None:
        self.actions.append(api.SetTimer(TICK_TIMER, self.now + max(wait, 1e-3)))

    def _handle_timer(self, token: int) -> None:
        if token & 1 == SESSION_TIMER:
            session = self.waiting.pop(token >> 1, None)
            if session:
                self._place(session)
            return
        self._schedule_tick(self.settings.note_delay * (0.75 + 0.5 * self.random.random()))
        for use in self.fleet.uplinks.values():
            if self.now >= use.step_up_after:
                self._step_up(use)

    def _step_up(self, uplink: LinkUse) -> None:
        """Step up a rack's sessions while there is room, those that earn most per kB first."""
        able = [
            x for x in uplink.sessions.values() if x.playing and x.rung < x.top and self._pays(x, x.rung + 1)
        ]
        for session in sorted(able, key=lambda x: -self._step_worth(x.request.class_no, x.rung + 1)):
            server = session.server
            if server is None or self.now < server.link.step_up_after:
                continue
            if server.rate_at(session, session.rung + 1, self.settings) - session.rate <= self._room(server):
                self._set_rung(session, server, session.rung + 1)

    def _cover_shortage(self, use: LinkUse, share: float) -> None:
        """On short delivery, step sessions down by this gateway's part of the shortage, highest rung first.

        Notes are late: what was stepped down since a note was taken counts as covered, so that each note can
        be acted on at once and none twice. A note later than `note_delay` makes this cover too much.
        """
        if share >= SHORT_DELIVERY:
            return
        covered = use.reductions.since(self.now - 2.5 * SETTLE_DELAYS * self.settings.note_delay)
        need = (use.own_rate + covered) * SHORTAGE_COVER * (1.0 - share / SHORT_DELIVERY) - covered
        if self.now > use.rounding_drawn_at + SETTLE_DELAYS * self.settings.note_delay:
            use.rounding_share, use.rounding_drawn_at = self.random.random(), self.now
        while session := self._session_to_step_down(use):
            server = session.server
            step = (
                session.rate - server.rate_at(session, session.rung - 1, self.settings)
                if server
                else math.inf
            )
            if server is None or need <= step * use.rounding_share:
                break
            self._set_rung(session, server, session.rung - 1)
            for x in (server.link, server.uplink):
                x.reductions.add(self.now, step)
            need -= step
        use.step_up_after = self.now + self.settings.note_delay * (SETTLE_DELAYS + self.random.random())

    # Load reports, probes and failures

    def _record_load(self, server: Server | None, load: api.Load | None) -> None:
        if server is None or load is None:
            return
        server.streams = server.streams if load.streams is None else load.streams
        if load.link is not None:
            server.link.record_reading(load.link, self.now, self.settings.note_delay)
            self.mean_link_use = self.fleet.mean_link_use()
        if load.uplink is not None:
            server.uplink.record_reading(load.uplink, self.now, self.settings.note_delay)
        for use, value in ((server.uplink, load.uplink), (server.link, load.link)):
            if value is not None and value > 1.0 / SHORT_DELIVERY:
                self._cover_shortage(use, 1.0 / value)

    def _handle_probe(self, event: api.ProbeAnswered) -> None:
        server = self.fleet.servers.get(event.server)
        if event.outcome is api.Outcome.DONE:
            self._record_load(server, event.load)
        elif server is not None and event.outcome in FAILURES:
            self._record_failure(server)
        for session in [x for x in self.waiting.values() if event.server in x.awaited_probes]:
            session.awaited_probes.discard(event.server)
            if not session.awaited_probes:
                del self.waiting[session.number]
                self._place(session)

    def _record_failure(self, server: Server) -> None:
        """Open the server's circuit breaker; failures within a connect time-out count once."""
        if self.now - server.failed_at < self.settings.connect_timeout:
            return
        if not server.breaker_trips:
            self.actions.append(api.Log(f"breaker open: server {server.entry.server}"))
        wait = min(
            self.settings.connect_timeout * BREAKER_BASE_TIMEOUTS * 2.0 ** min(server.breaker_trips, 30),
            self.settings.cold,
        )
        server.breaker_trips, server.trial, server.failed_at = server.breaker_trips + 1, None, self.now
        server.breaker_open_until = self.now + wait * (0.75 + 0.5 * self.random.random())

    # The answer to a set-up, the end of a session

    def _handle_playing(self, event: api.SessionPlays) -> None:
        session = self.sessions.get(event.session)
        if session is None or session.server is None:
            return
        session.playing, session.playing_since = True, self.now
        if session.server.breaker_trips:
            self.actions.append(api.Log(f"breaker closed: server {event.server}"))
        session.server.breaker_trips, session.server.trial, session.server.errors = (0, None, 0)

    def _take_over(self, event: api.SessionHandedOver) -> None:
        server, request = self.fleet.servers.get(event.server), event.request
        if server is None:
            return
        session = Session(
            request, self.settings.classes[request.class_no], self.now, playing_since=self.now, playing=True
        )
        self.sessions[request.session] = session
        session.tried.append(event.server)
        server.assign_session(session, session.terms.floor, self.now, self.settings)

    def _handle_end(self, event: api.AttemptEnded) -> None:
        session, server = self.sessions.get(event.session), self.fleet.servers.get(event.server)
        if server is not None:
            self._record_load(server, event.load)
            server.errors += event.outcome is api.Outcome.ERROR
            if event.outcome in FAILURES or (
                event.outcome is api.Outcome.ERROR
                and (server.breaker_trips or server.errors >= ERRORS_TO_TRIP)
            ):  # requests for titles that no server has count against servers too, until one succeeds
                self._record_failure(server)
            elif event.outcome is api.Outcome.BUSY:
                server.busy_until = self.now + self.settings.note_delay * (1.0 + self.random.random())
        if session is None or session.server is None:
            return
        session.server.remove_session(session, self.now)
        session.playing = False
        if event.outcome not in api.NEVER_RAN:
            session.may_have_run = session.may_have_run or server
        if event.final or session.viewer_left:
            del self.sessions[event.session]
        elif self._may_retry(session):
            self._place(session)
        else:
            self._reject(session)

    def _may_retry(self, session: Session) -> bool:
        if session.may_have_run and session.terms.effect is not api.Effect.SAFE:
            return False
        in_time = self.now < session.requested_at + session.request.patience
        return in_time and len(session.tried) < self.settings.max_attempts

    def _reject(self, session: Session, wait: float = 0.0) -> None:
        """Give the final answer at once: refused if nothing can have run, else failed."""
        if session.may_have_run is None or session.terms.effect is api.Effect.SAFE:
            come_back = min(self.settings.max_retry_after, max(wait, self.settings.note_delay))
            self.actions.append(api.Refuse(session.number, come_back))
        else:
            self.actions.append(api.Fail(session.number))
        self.sessions.pop(session.number, None)

    def _handle_viewer_left(self, number: int) -> None:
        session = self.sessions.get(number)
        if session is None:
            return
        session.viewer_left = True
        self.waiting.pop(number, None)
        if session.server is None:
            del self.sessions[number]

"""One gateway: passes events from its sockets to the core and executes the orders that the core returns.

No decisions are made here. The orders of one event are executed before the next event is passed on; an order
may itself cause an event (such as a connection that can't be opened), which is queued.
"""

from __future__ import annotations

import os
import resource
import signal
import socket
from collections import deque
from collections.abc import Callable, Mapping

from ..core import interface as api
from ..core import setups
from ..core.shutdown import schedule_shutdown
from ..core.used_session_ids import UsedSessionIds
from ..net.reactor import Reactor
from ..wire import dns, rtsp
from . import messages
from .config import Config, ConfigError, ConfigFileError, load_config
from .discovery import Discovery
from .frontend import ClientSession, Frontend
from .handovers import PendingHandOvers
from .host_links import Attempt
from .hosts import EstablishedSession, Host, HostPool
from .shutdown import Shutdown

MAINTENANCE_SECONDS = 0.25
"""Seconds between two runs of the periodic maintenance (idle connections, expired entries)."""
RESERVED_DESCRIPTORS = 24
"""Descriptors reserved for other uses: standard streams, epoll, listening sockets, files."""
HOST_SHARE_DIVISOR = 3
"""One in this many of the remaining descriptors is for connections to hosts, the others are for viewers."""


class Gateway:
    """Connects the viewers' frontend, the media hosts, the name service and the core on one event loop."""

    def __init__(self, config: Config, path: str, reactor: Reactor, log: Callable[[str], None]) -> None:
        """Raises OSError if the listening address can't be bound.

        `path`: file of the configuration, read again on SIGHUP; `log` gets lines for the log.
        """
        self.config, self._path, self.reactor, self.log = config, path, reactor, log
        settings = config.settings
        self.setups = setups.SetupManager(settings, config.seed)
        reactor.on_timer = self.setups.margin.record_timer
        self._queue: deque[Callable[[float], list[setups.Order]]] = deque()
        self._executing = False
        self._timer_due = 0.0
        self._sessions: dict[int, ClientSession] = {}
        self._descriptions: dict[int, bytes] = {}
        self._used_ids = UsedSessionIds()
        self.shutdown: Shutdown | None = None
        """The planned stop; None: none was ordered."""
        self._reload_pending = False
        self._reserve: int | None = os.open(os.devnull, os.O_RDONLY)
        """A descriptor kept in reserve for reading the configuration when viewers use all others."""
        sockets = min(config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self._max_connections = max(32, sockets - RESERVED_DESCRIPTORS)
        self._host_link_quota = links = self._max_connections // HOST_SHARE_DIVISOR
        self.hosts = HostPool(
            reactor, self, settings.connect_timeout, links, log, settings.idle_close, settings.probes
        )
        self.hand_overs = PendingHandOvers()
        self.discovery = Discovery(
            reactor, config.resolver, config.serial, lambda x: self._apply_host_list(x.hosts), log
        )
        self._dispatch(self.setups.start)  # may order a query to the name service
        self._apply_host_list(config.hosts)
        self.frontend = Frontend(
            reactor,
            config.listen,
            self,
            settings,
            config.classes,
            self._max_viewers,
            config.memory_mb << 20,
            log,
        )
        reactor.call_at(reactor.clock() + MAINTENANCE_SECONDS, self._maintain)

    def _max_viewers(self) -> int:
        """Maximum of viewers' connections now: connections to many hosts may need more than their share, but
        at least a third of all connections is left to viewers."""
        return max(
            self._max_connections // 3,
            self._max_connections - max(self._host_link_quota, self.hosts.link_count()),
        )

    # Events and orders

    def _dispatch(self, *events: Callable[[float], list[setups.Order]]) -> None:
        """Pass events to the core, in order, and execute the orders that it returns."""
        self._queue.extend(events)
        if self._executing:
            return
        self._executing = True
        try:
            while self._queue:
                for order in self._queue.popleft()(self.reactor.clock()):
                    self._execute(order)
        finally:
            self._executing = False
        due = self.setups.next_due_at()
        if due is not None and (self._timer_due <= 0.0 or due < self._timer_due):
            self._timer_due = due
            self.reactor.call_at(due, lambda: self._timer_fired(due))

    def _timer_fired(self, due_at: float) -> None:
        if due_at == self._timer_due:
            self._timer_due = 0.0
            self._dispatch(self.setups.fire_timers)

    def _execute(self, order: setups.Order) -> None:
        match order:
            case setups.SendAttempt():
                self._send_attempt(order)
            case setups.CancelAttempt(number, attempt, host, late):
                self._cancel_attempt(number, attempt, host, late)
            case setups.ConfirmSession(number):
                client = self._sessions[number]
                if not self.frontend.confirm_session(client, self._descriptions.pop(number, b"")):
                    self._dispatch(lambda now: self.setups.viewer_left(now, number))
            case setups.Refuse(number, retry_after):
                client = self._sessions[number]
                self.frontend.reject_setup(client, messages.setup_refused(client.session, retry_after))
            case setups.Fail(number):
                client = self._sessions[number]
                self.frontend.reject_setup(client, messages.setup_failed(client.session))
            case setups.SetRung(number, host, rung):
                self._with_host(host, lambda x: x.set_rung(self._sessions[number].session, rung))
            case setups.EndSession(number, host):
                self._with_host(host, lambda x: x.end_session(self._sessions[number].session))
            case setups.MoveViewer(number, host):
                client = self._sessions[number]
                self.frontend.send_to_viewer(client, messages.redirect(client.session))
                self._with_host(
                    host, lambda x: x.end_session(client.session, messages.redirect(client.session))
                )
            case setups.ReleaseViewer(number, outcome):
                if outcome is not api.Outcome.CANCELLED:
                    client = self._sessions[number]
                    self.frontend.send_to_viewer(
                        client, messages.teardown(client.session, messages.CAUSE_BY_OUTCOME.get(outcome, 41))
                    )
            case setups.ForgetRequest():
                self._forget_request(order)
            case setups.ProbeHost(host):
                self._with_host(host, lambda x: x.probe())
            case setups.RequestHostList():
                self.discovery.query()
            case setups.LogLine(text):
                self.log(text)

    def _with_host(self, number: int, action: Callable[[Host], None]) -> None:
        host = self.hosts.by_number.get(number)
        if host is not None:
            action(host)

    def _send_attempt(self, order: setups.SendAttempt) -> None:
        host, client = self.hosts.by_number.get(order.host), self._sessions[order.number]
        number, attempt = order.number, order.attempt
        if host is None:
            self._dispatch(lambda now: self.setups.attempt_ended(now, number, attempt, api.Outcome.REFUSED))
            return
        if not self.is_wanted(number):
            self._dispatch(lambda now: self.setups.viewer_left(now, number))
            return
        message = messages.setup_request(
            client.session, client.class_no, client.title, client.description, order.rung, order.time_out
        )
        host.start_attempt(Attempt(number, attempt, client.session, message))

    def _cancel_attempt(self, number: int, attempt: int, server: int, late: bool) -> None:
        host, client = self.hosts.by_number.get(server), self._sessions[number]
        if host is not None and client.session in host.attempts:
            host.cancel_attempt(client.session, late)
            return
        outcome = api.Outcome.TIMED_OUT if late else api.Outcome.CANCELLED
        self._dispatch(lambda now: self.setups.attempt_ended(now, number, attempt, outcome))

    def _forget_request(self, order: setups.ForgetRequest) -> None:
        client = self._sessions.pop(order.number)
        self._descriptions.pop(order.number, None)
        if order.may_have_run:
            self._used_ids.add(self.reactor.clock(), client.session)
        self._with_host(order.host, lambda x: x.forget_session(client.session))
        self.frontend.forget_session(client)

    # From viewers

    def may_have_run(self, session: bytes) -> bool:
        """Whether an earlier set-up with this session id may have run."""
        return self._used_ids.may_have_run(self.reactor.clock(), session)

    def session_requested(
        self, client: ClientSession, request: api.SessionRequest, playing_at: str | None
    ) -> None:
        """A viewer asked for a session, or handed over one that plays at the host `playing_at`."""
        if playing_at is not None:
            self._add_handed_over(client, request, playing_at)
            return

        def pass_on(now: float) -> list[setups.Order]:
            number, orders = self.setups.add_request(now, request)
            client.number = number
            self._sessions[number] = client
            return orders

        self._dispatch(pass_on)

    def _add_handed_over(self, client: ClientSession, request: api.SessionRequest, name: str) -> None:
        number = self.setups.host_numbers.get(name)
        if number is None and self.hand_overs.add(self.reactor.clock(), client, request, name):
            return  # the list with its host may not have arrived yet
        host = None if number is None else self.hosts.by_number.get(number)
        if host is None or host.is_unlisted:
            # Its host is no longer listed and can't report the session's end, so it ends now.
            self._release_handed_over(client)
            return

        def pass_on(now: float) -> list[setups.Order]:
            session, orders = self.setups.add_handed_over(now, request, host.number)
            client.number = session
            self._sessions[session] = client
            host.take_over(client.session, EstablishedSession(session, 0, now))
            return orders

        self._dispatch(pass_on)

    def _release_handed_over(self, client: ClientSession) -> None:
        self.frontend.send_to_viewer(client, messages.teardown(client.session, 41))
        self.frontend.forget_session(client)

    def viewer_left(self, client: ClientSession) -> None:
        """A viewer withdrew its request or left its session."""
        if self.hand_overs.viewer_left(client):
            self.frontend.forget_session(client)
            return
        # The number is looked up when the event is handled: the request that sets it is queued before it.
        self._dispatch(lambda now: self.setups.viewer_left(now, client.number))

    # From hosts

    def is_wanted(self, number: int) -> bool:
        """Whether an attempt of this request may be sent; checked just before sending. False: its viewer has
        left, even if that has not been read yet."""
        setup, client = self.setups.setups_by_number.get(number), self._sessions.get(number)
        if setup is None or setup.viewer_left or client is None:
            return False
        return not self.frontend.has_left(client)

    def session_established(self, number: int, attempt: int, description: bytes) -> None:
        """A host accepted an attempt; `description` is passed on to the viewer."""
        self._descriptions[number] = description
        self._dispatch(lambda now: self.setups.attempt_playing(now, number, attempt))

    def attempt_ended(self, number: int, attempt: int, outcome: api.Outcome, load: api.Load | None) -> None:
        """An attempt, or the session that it established, ended."""

        def pass_on(now: float) -> list[setups.Order]:
            return self.setups.attempt_ended(now, number, attempt, outcome, load)

        client = self._sessions.get(number)
        if client is not None and outcome in (api.Outcome.BUSY, api.Outcome.ERROR):
            self.frontend.note_host_refusal(client, usable=outcome is api.Outcome.BUSY)
        if client is not None and client.is_pending and self.frontend.has_left(client):
            # Reported first, so that no further attempt starts and a withdrawn request gets no refusal.
            self._dispatch(lambda now: self.setups.viewer_left(now, number), pass_on)
        else:
            self._dispatch(pass_on)

    def note_received(self, server: int, number: int | None, message: rtsp.Message) -> None:
        """A host sent an ANNOUNCE; `number`: the session that it names, None: an unknown one."""
        note = messages.parse_note(message, server)
        if isinstance(note, int):
            if number is not None:
                self.rung_reported(number, note)
        elif note is not None:
            valid_note = note
            self._dispatch(lambda now: self.setups.handle_note(now, valid_note))

    def rung_reported(self, number: int, rung: int) -> None:
        """A host reported the rung of a session."""
        self._dispatch(lambda now: self.setups.rung_reported(now, number, rung))

    def probe_answered(self, server: int, outcome: api.Outcome, took: float, load: api.Load | None) -> None:
        """A load probe ended after `took` seconds."""
        self._dispatch(lambda now: self.setups.probe_answered(now, server, outcome, took, load))

    # From the name service

    def _apply_host_list(self, hosts: tuple[dns.HostRecord, ...]) -> None:
        numbered = {self.setups.host_number(x.name): x for x in hosts}
        zones, kinds = self.config.zones, self.config.kinds
        entries = [messages.server_entry(x, n, zones, kinds) for n, x in numbered.items()]
        started = {x.server: x.started for x in entries}
        listed = {n: (x.name, (x.address, x.port), started[n], x.draining) for n, x in numbered.items()}

        def pass_on(now: float) -> list[setups.Order]:
            # Attempts that end with the list are reported after it; before, the core would retry the same
            # host.
            self.hosts.apply_host_list(listed)
            return self.setups.apply_host_list(now, entries)

        self._dispatch(pass_on)
        self._dispatch(lambda now: self._resume_hand_overs({x.name for x in hosts}))

    def _resume_hand_overs(self, names: set[str]) -> list[setups.Order]:
        """Continue the hand-overs that have waited for these hosts."""
        for hand_over in self.hand_overs.take_listed(names):
            host = self.hosts.by_number[self.setups.host_number(hand_over.host)]
            if hand_over.viewer_left:
                host.end_session(hand_over.client.session)
            else:
                self._add_handed_over(hand_over.client, hand_over.request, hand_over.host)
        return []

    # Signals and time

    def handle_signal(self, number: int, received_at: float | None = None) -> None:
        """SIGHUP reloads the configuration; the first SIGTERM starts the shutdown.

        `received_at`: when the process got the signal (seconds of the clock); None: now.
        """
        if number == signal.SIGHUP:
            self._reload()
        elif self.shutdown is None:
            self._start_shutdown(self.reactor.clock() if received_at is None else received_at)

    def _start_shutdown(self, terminated_at: float) -> None:
        now = self.reactor.clock()
        lateness = self.setups.margin.lateness(now)
        schedule = schedule_shutdown(now, terminated_at, self.config.longest_deadline, lateness)
        self.log(
            f"SIGTERM: answering what comes, then ending: {self._count_open_setups()} set-ups open, "
            f"answers within {schedule.answers_due_at - now:.3f} s, "
            f"exit within {schedule.exit_by - now:.3f} s"
        )
        self.shutdown = Shutdown(
            self.reactor,
            self.frontend,
            self.hosts,
            schedule,
            open_setups=self._count_open_setups,
            answer_due_setups=lambda: self._dispatch(self.setups.fire_timers),
            log=self.log,
        )
        self._dispatch(lambda now: self.setups.begin_shutdown(now, schedule.answers_due_at))

    def _count_open_setups(self) -> int:
        return sum(x.is_pending for x in self._sessions.values())

    def _reload(self) -> None:
        """Read the configuration again; if its file can't be opened, retry with the next maintenance."""
        first, self._reload_pending = not self._reload_pending, False
        self._release_reserve()
        try:
            config = load_config(self._path)
        except ConfigError as error:
            if first:
                self.log(f"SIGHUP: the old configuration stays: {error}")
            self._reload_pending = isinstance(error, ConfigFileError)
            return
        finally:
            self._acquire_reserve()
        self.log(f"SIGHUP: name service at {config.resolver[0]}:{config.resolver[1]}")
        self.config = config
        self.discovery.change_resolver(config.resolver)

    def _release_reserve(self) -> None:
        if self._reserve is not None:
            os.close(self._reserve)
            self._reserve = None

    def _acquire_reserve(self) -> None:
        try:
            self._reserve = os.open(os.devnull, os.O_RDONLY)
        except OSError as error:  # other processes use all descriptors of the machine
            self.log(f"no descriptor in reserve: {error}")

    def _maintain(self) -> None:
        now = self.reactor.clock()
        self.reactor.call_at(now + MAINTENANCE_SECONDS, self._maintain)
        if self._reload_pending:
            self._reload()
        self._used_ids.expire(now)
        self.hosts.maintain()
        for hand_over in self.hand_overs.take_expired(now):
            if not hand_over.viewer_left:
                self._release_handed_over(hand_over.client)
        self.frontend.maintain()

    def watch_signals(self, wakeup: socket.socket, received_at: Mapping[int, float]) -> None:
        """Handle the signals whose numbers arrive as bytes on this socket (see `signal.set_wakeup_fd`).

        `received_at`: when the process first got each (seconds of the clock); it may have been starting then.
        """

        def ready(events: int) -> None:
            for number in wakeup.recv(64):
                if number in (signal.SIGHUP, signal.SIGTERM):
                    self.handle_signal(number, received_at.get(number))

        self.reactor.watch(wakeup.fileno(), ready)

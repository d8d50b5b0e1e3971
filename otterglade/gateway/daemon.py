"""The gateway process: builds its components, and starts, reloads and stops them in order."""

from __future__ import annotations

import itertools
import os
import secrets
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from msgspec import to_builtins
from msgspec.structs import replace as replace_struct

from ..config import schema
from ..config.schema import Config
from ..config.script import address, peer_seal, signing_keys, token_keys
from ..core import carryover, messages
from ..core import interface as api
from ..core.fleet.lanes import LoadShedder
from ..core.fleet.recovery import RecoveryEvent, StartKind
from ..core.fleet.router import Router
from ..core.fleet.routing import Region
from ..core.fleet.trust import StoredItem, is_used
from ..core.policy import Controller
from ..core.session_manager import SessionManager
from ..core.sessions import PlacementModule
from ..core.shutdown import DrainSchedule, schedule_drain
from ..core.tokens import TokenSigner
from ..net.http import Client, Exchange, Timeouts, serve
from ..net.listener import Address, Listener, bind_socket
from ..net.stream import Stream
from ..net.threads import spawn
from ..obs.logs import Log, on_failure
from ..store.disk import Disk
from ..store.ring import Ring
from ..store.small import replace_file
from ..wire import http1
from .distribution.envelope import Envelope
from .distribution.host_source import HostSource
from .fleet import HostList, HostListCache, HostListError, RegistryClock, server_list
from .front import Front, FrontOptions
from .hosts import HostClient
from .journal import Journal
from .lifecycle import RELOADABLE_BLOCKS, Lock, needs_restart
from .loop import Loop
from .peers import PeerClient
from .record import Recorder
from .registry import RegistryClient
from .sessions import SessionTable
from .titles import TitleCatalogue

FIRST_LIST_TIMEOUT_SECONDS = 2.0
"""Time that a start waits for a host list, from disk or registry, before it accepts players."""
IDLE_CHECK_INTERVAL_SECONDS = 0.1
"""Interval of the checks for sessions whose viewers have stopped fetching. A short interval ends few sessions
at a time, so that set-ups are not delayed."""
IDLE_CHECKS_PER_SNAPSHOT = 5
"""Idle checks per snapshot of the state that a restart needs."""
HANDOVER_TIMEOUT_SECONDS = 1.0
"""Time that a stop waits for the handover of its leader tasks: several rounds of messages and syncs."""
WRITE_OUT_SECONDS = 0.5
"""Time that a stop waits for connections to send the rest of their answers."""
STATUS_TIMEOUT_SECONDS = 0.5
"""Time that the status waits for figures computed on the loop; after it they are left out."""
BUSY_RESPONSE = http1.response(
    503, [(b"Retry-After", b"1"), (b"Content-Type", b"text/plain")], b"too many connections\n",
    keep_alive=False,
)  # fmt: skip

SLOW_HEAD_RESPONSE = http1.response(
    408, [(b"Content-Type", b"text/plain")], b"head took too long\n", keep_alive=False
)


PlacementModuleFactory = Callable[[api.Settings, int], PlacementModule]
"""Builds a placement module from the settings and a seed."""


def _load_signing_key(folder: Path) -> bytes:
    """The key that signs session names, stored in the state folder; made on first use. Raises OSError."""
    path = folder / "secret"
    try:
        found = path.read_bytes()
        if len(found) == 32:
            return found
    except FileNotFoundError:
        pass
    key = secrets.token_bytes(32)
    replace_file(path, key)
    return key


def _seconds_until(deadline: float) -> float:
    """Seconds until a time of the monotonic clock; 0 if it has passed."""
    return max(0.0, deadline - time.monotonic())


def _set_event(done: threading.Event) -> Callable[[SessionManager, float], list[messages.Order]]:
    """Returns an input that sets an event, once all inputs before it have run."""

    def set_done(manager: SessionManager, now: float) -> list[messages.Order]:
        done.set()
        return []

    return set_done


class Gateway:
    """One gateway. `start` returns once it accepts players; `stop` first answers the requests accepted."""

    def __init__(
        self,
        config: Config,
        log: Log,
        make_placement_module: PlacementModuleFactory = Controller,
        disk: Disk | None = None,
    ) -> None:
        """Raises OSError naming the address or the state folder if it can't be used."""
        self.config = config
        limits, settings = config.limits, config.settings()
        self.epoch = secrets.token_hex(4)
        self.log = log.bind(gateway=config.gateway.name, epoch=self.epoch)
        self._on_thread_failure = on_failure(self.log)
        seed = config.gateway.seed
        self._seed = secrets.randbits(63) if seed is None else seed
        folder = Path(config.gateway.state_dir)
        folder.mkdir(parents=True, exist_ok=True)
        self._lock = Lock(folder)
        self.phase = "starting"
        """starting, taking, stopping or stopped; the status reports `finding out` during recovery."""
        self._carryover_path = folder / "carryover"
        self._carryover: carryover.Carryover | None = None
        self._spent_retries: Ring | None = None
        self._carryover_write_failed = False
        self._cache, self._clock = HostListCache(folder), RegistryClock.now()
        self._recorder = (
            Recorder(Path(config.gateway.record), settings, self._seed) if config.gateway.record else None
        )
        tokens = token_keys(config) or TokenSigner({"own": _load_signing_key(folder)}, "own")
        token_lifetime = config.tokens.life if config.tokens is not None else schema.TOKEN_LIFE
        self.sessions = SessionTable(tokens, tuple(x.name for x in config.classes), token_lifetime)
        self.titles = TitleCatalogue(len(settings.ladder))
        self.session_manager = SessionManager(
            settings, make_placement_module(settings, self._seed),
            messages.SessionLimits(
                tuple(x.patience for x in config.classes), limits.margin, limits.sessions,
                registrar_count=config.contract.registrars, durable=True
            ),
            {x.name: messages.TitleLocation(x.home, x.holders) for x in config.titles}, self._recorder,
        )  # fmt: skip
        router = None
        if config.region is not None:
            self.session_manager.router = router = Router(settings, [x.name for x in config.classes])
            router.use_home_only(config.routing().region or Region(name="", zones=()))
        if config.lanes and isinstance(self.session_manager.controller, Controller):
            self.session_manager.load_shedder = LoadShedder.for_gateway(
                config.routing().lanes,
                settings,
                self.session_manager.controller,
                time.monotonic(),
                self._seed + 3,
            )
        self.loop = Loop(self.session_manager, self._execute_order, self._loop_failed)
        self.hosts = HostClient(
            gateway=config.gateway.name, epoch=self.epoch, classes=tuple(x.name for x in config.classes),
            loop=lambda: self.loop, connect=limits.connect, silence=limits.host_silence,
            setups=limits.setups, log=self.log, on_failure=self._on_thread_failure, seed=self._seed,
        )  # fmt: skip
        self.journal = Journal(
            folder / "attempts", loop=lambda: self.loop, hosts=self.hosts, log=self.log,
            on_failure=self._on_thread_failure, unsure_for=self.session_manager.terms.unsure_for, disk=disk,
            classes=tuple(x.name for x in config.classes),
            gateways=() if config.peers is None else tuple(config.peers.members),
            witnesses=0 if config.peers is None else config.peers.witnesses, peers=lambda: self.peers,
        )  # fmt: skip
        self.peers: PeerClient | None = None
        if config.peers is not None:
            self.peers = PeerClient(
                config.peers, name=config.gateway.name, run=self.epoch, folder=folder,
                codec=peer_seal(config), seed=self._seed + 2,
                abstain_seconds=self.session_manager.terms.unsure_for, loop=lambda: self.loop,
                witness_poll_ended=self.journal.witness_poll_ended,
                attempts_resolved=lambda: not self.journal.recovery.open,
                host_run_ids=self.hosts.epochs, log=self.log, on_failure=self._on_thread_failure,
                disk=disk,
                leader_tasks=[x for x in (self.session_manager.load_shedder,) if x is not None],
                routing=config.routing(), router=router,
            )  # fmt: skip
        self.front = Front(
            options=FrontOptions(
                {x.name: n for n, x in enumerate(config.classes)}, frozenset(x.name for x in config.titles),
                tuple(x.patience for x in config.classes), len(settings.ladder) - 1, limits.margin,
            ),
            sessions=self.sessions, titles=self.titles, loop=lambda: self.loop, client=self._client,
            status=self.status, log=self.log,
        )  # fmt: skip
        self._timeouts = Timeouts(idle=limits.idle, head=limits.head, body=limits.head, send=limits.send)
        try:
            sock = bind_socket(address(config.gateway.listen, "gateway.listen"))
        except OSError:
            self._lock.release()
            raise
        self.listener = Listener(
            sock,
            self._serve,
            budget=limits.connections,
            busy_response=BUSY_RESPONSE,
            on_failure=self._on_thread_failure,
            is_complete=http1.head_is_whole,
            timeout_response=SLOW_HEAD_RESPONSE,
            idle_timeout=limits.idle,
            head_timeout=limits.head,
        )
        self.registry: RegistryClient | None = None
        if config.registry is not None:
            self.registry = self._make_registry(config.registry)
        self.distribution: HostSource | None = None
        """Source of the host list in place of the registry."""
        if config.distribution is not None:
            self.distribution = self._make_distribution(config.distribution, folder)
        self._stopped, self._list_applied = threading.Event(), threading.Event()
        self.broken = threading.Event()
        """Set when the decision loop has failed; the process has to end."""
        self._started_at = time.monotonic()

    def _make_registry(self, registry: schema.Registry) -> RegistryClient:
        return RegistryClient(
            address(registry.address, "registry.address"),
            name=f"{self.config.gateway.name}.{self.epoch}", wait=registry.wait,
            retry=registry.retry, on_list=self._on_list, log=self.log, on_failure=self._on_thread_failure,
            seed=self._seed + 1,
        )  # fmt: skip

    def _make_distribution(self, distribution: schema.Distribution, folder: Path) -> HostSource:
        return HostSource(
            distribution,
            Envelope(*signing_keys(self.config)),
            name=self.config.gateway.name,
            run=self.epoch,
            folder=folder,
            hand_over=self._apply_distributed_list,
            log=self.log,
            on_failure=self._on_thread_failure,
            seed=self._seed + 1,
        )

    @property
    def address(self) -> Address:
        """The address on which players connect."""
        return self.listener.address

    def start(self) -> None:
        """Start all components; blocks until players are accepted."""
        self.journal.open()
        if self.peers is not None:
            self.peers.open(time.monotonic())
        self.loop.start()
        self.loop.put(self.journal.prepare)
        self._carryover = self._load_carryover()
        try:
            self._spent_retries = Ring(self._carryover_path.with_name("spent"))
        except OSError as error:  # free sessions still run: only a kill within the window would lose retries
            self.log.warning("spent_not_kept", cause=str(error))
        if self.peers is not None:
            self.peers.start()
            self.peers.ready.wait()  # bounded by its own timeout
        self.loop.put(self._restore_budget)
        cached = self._load_list()
        if cached is not None:
            self.log.info("cached_list", index=cached.index, hosts=len(cached.hosts))
            self._apply_list(cached, cached=True)
        if self.registry is not None:
            self.registry.start()
        if self.distribution is not None:
            self.distribution.start()
        if not self._list_applied.wait(FIRST_LIST_TIMEOUT_SECONDS):
            # Players are refused until a list arrives.
            self.log.warning("no_host_list", waited=FIRST_LIST_TIMEOUT_SECONDS)
        self.loop.put(self._notify_hosts_listed)
        self.journal.resolve_open_attempts()
        self.phase = "taking"
        spawn("sweep", self._run_idle_checks, self._on_thread_failure)
        self.listener.start()
        self.log.info("started", address=f"{self.address[0]}:{self.address[1]}", pid=os.getpid())

    def stop(self) -> bool:
        """Accept no new players, answer waiting ones, release all sessions; returns False if time ran out.

        Takes at most `limits.drain` seconds, whatever viewers, hosts and peers do.
        """
        schedule = schedule_drain(time.monotonic(), self.config.limits.drain)
        self.log.info("stopping", waiting=self.front.waiting, playing=len(self.sessions.live))
        self.front.stopping, self.phase = True, "stopping"
        self.listener.stop_accepting()
        self._hand_over_leader_tasks(schedule)
        if self.registry is not None:
            self.registry.stop()
        if self.distribution is not None:
            self.distribution.stop()
        while self.front.waiting and time.monotonic() < schedule.answers_due_at:
            time.sleep(0.01)
        unanswered = self.front.waiting
        done = threading.Event()
        self.loop.put(lambda manager, now: manager.close(now))
        self.loop.put(_set_event(done))
        answered = done.wait(_seconds_until(schedule.released_by))
        released = self.hosts.stop(_seconds_until(schedule.released_by))
        self._stopped.set()
        if self.peers is not None:
            self.peers.stop()
        self.loop.put(self._close_store)
        self.loop.stop()
        self.listener.wait_empty(min(schedule.exit_by, time.monotonic() + WRITE_OUT_SECONDS))
        self.listener.abort_all()  # idle keep-alive connections; their players reconnect to other gateways
        if self._recorder is not None:
            self._recorder.close()
        self._wait_until_closed(schedule.exit_by)
        self.phase = "stopped"
        self._lock.release()
        self.log.info("stopped", unanswered=unanswered, released=released)
        return answered and released and not unanswered

    def _hand_over_leader_tasks(self, schedule: DrainSchedule) -> None:
        limit = min(HANDOVER_TIMEOUT_SECONDS, _seconds_until(schedule.answers_due_at))
        if self.peers is not None and not self.peers.hand_over(limit):
            self.log.warning("duties_not_handed_over", waited=limit)

    def _wait_until_closed(self, deadline: float) -> None:
        """Wait for the threads that write, until `deadline` (monotonic seconds).

        Another run may use the folder once the lock is released: by then the loop must pass no more work to
        other threads, and the logs' threads must have written theirs.
        """
        if not self.loop.wait_closed(_seconds_until(deadline)):
            self.log.warning("loop_not_ended")
        if not self.journal.wait_closed(_seconds_until(deadline)):
            self.log.warning("store_not_closed")
        if self.peers is not None:
            self.peers.wait_closed(deadline)
        if self.distribution is not None and not self.distribution.closed(_seconds_until(deadline)):
            self.log.warning("distribution_not_closed")

    def reload(self, config: Config) -> list[str]:
        """Apply a configuration that was read again and validated; returns the changed blocks.

        Raises ValueError, and changes nothing, if a field differs that needs a restart.
        """
        unchangeable = needs_restart(self.config, config)
        if unchangeable:
            raise ValueError(f"these need a restart: {', '.join(unchangeable)}")
        changed = [x for x in RELOADABLE_BLOCKS if getattr(config, x) != getattr(self.config, x)]
        limits, routing = config.limits, config.routing()
        self.config = config
        self._timeouts = Timeouts(idle=limits.idle, head=limits.head, body=limits.head, send=limits.send)
        self.listener.budget = limits.connections
        self.listener.pending.idle_timeout, self.listener.pending.head_timeout = limits.idle, limits.head
        self.hosts.set_limits(connect=limits.connect, silence=limits.host_silence, setups=limits.setups)
        keys = token_keys(config)
        if "tokens" in changed and keys is not None and config.tokens is not None:
            self.sessions.set_signer(keys, config.tokens.life)

        def apply(manager: SessionManager, now: float) -> list[messages.Order]:
            manager.terms = replace(manager.terms, answer_margin=limits.margin, max_sessions=limits.sessions)
            if self.peers is not None and config.peers is not None:
                self.peers.propose_routing(now, routing, config.peers)
            if manager.load_shedder is not None and "lanes" in changed:
                manager.load_shedder.reload(now, routing.lanes)
            return []

        self.loop.put(apply)
        return changed

    def status(self) -> dict[str, object]:
        """Figures for operators; counts are read without a lock and may be slightly out of date."""
        last = None if self.registry is None else self.registry.last_answer_at
        return {
            "gateway": self.config.gateway.name,
            "epoch": self.epoch,
            "phase": "finding out" if self.phase == "taking" and self.journal.recovery.open else self.phase,
            "uptime_s": round(time.monotonic() - self._started_at, 3),
            "connections": self.listener.connections,
            "connections_most": self.listener.max_open,
            "connections_waiting": self.listener.pending.count,
            "turned_away": self.listener.turned_away,
            "heads_late": self.listener.timed_out,
            "threads": threading.active_count(),
            "waiting": self.front.waiting,
            "playing": len(self.sessions.live),
            "held": len(self.session_manager.sessions),
            "unsure": len(self.session_manager.unsure),
            "store": self.journal.write_error or "good",
            "finding_out": len(self.journal.recovery.open),
            "loop_inputs": self.loop.input_count,
            "loop_busy_s": round(self.loop.busy_seconds, 4),
            "loop_lag_s": round(self.loop.timer_lag_seconds, 4),
            "pauses": self.loop.pause_count,
            "registry_age_s": None if last is None else round(time.monotonic() - last, 3),
            **(
                {} if self.distribution is None else {"distribution": to_builtins(self.distribution.status())}
            ),
            **({} if self.peers is None else {"fleet": self.peers.status()}),
            **self._lane_status(),
            **(
                {}
                if self.peers is None or self.peers.routes is None
                else {"routes": self.peers.routes.status(time.monotonic())}
            ),
            "hosts": {
                x.listed.name: {
                    "state": x.listed.state,
                    "playing": len(self.session_manager.playing_by_server.get(number, ())),
                }
                for number, x in self.hosts.hosts.items()
            },
        }

    def _lane_status(self) -> dict[str, object]:
        """The lanes' status, read on the loop because reading it advances their state."""
        lane_status, done = dict[str, object](), threading.Event()

        def read_status(manager: SessionManager, now: float) -> list[messages.Order]:
            if manager.load_shedder is not None:
                lane_status["lanes"] = manager.load_shedder.status(now)
            done.set()
            return []

        if self.session_manager.load_shedder is not None:
            self.loop.put(read_status)
            done.wait(STATUS_TIMEOUT_SECONDS)
        return lane_status

    # Callbacks between the components

    def _client(self, server: int) -> Client | None:
        host = self.hosts.hosts.get(server)
        return None if host is None else host.client

    def _serve(self, stream: Stream, peer: Address, first: bytes) -> None:
        serve(stream, peer, self._handle, self._timeouts, stopping=lambda: self.front.stopping, first=first)

    def _handle(self, exchange: Exchange) -> bytes | None:
        return self.front.handle(exchange)

    def _loop_failed(self, thread: str, error: BaseException) -> None:
        self._on_thread_failure(thread, error)
        self.broken.set()

    def _load_list(self) -> HostList | None:
        """The host list that an earlier run stored; None if there is none or it can't be read."""
        if self.distribution is not None:
            return self.distribution.held_list
        try:
            return self._cache.load()
        except HostListError as error:
            self.log.warning("cached_list_unusable", cause=str(error))
            return None

    def _apply_distributed_list(self, listed: HostList, applied: threading.Event) -> None:
        """Apply the host list of a revision; `applied` is set once its orders were executed."""
        self._apply_list(listed, cached=False)
        self.loop.put(_set_event(applied))

    def _on_list(self, listed: HostList) -> None:
        self.log.info("host_list", index=listed.index, hosts=len(listed.hosts))
        self._apply_list(listed, cached=False)  # before the save, so that a drain does not wait for the disk
        try:
            self._cache.save(listed)
        except OSError as error:
            self.log.warning("cache_not_saved", cause=str(error))

    def _apply_list(self, listed: HostList, cached: bool) -> None:
        def apply(manager: SessionManager, now: float) -> list[messages.Order]:
            self.hosts.update(listed.hosts)  # addresses first: the module may use a host at once
            orders = manager.update_servers(now, server_list(listed, self._clock, cached))
            found, self._carryover = self._carryover, None
            if found is not None and isinstance(manager.controller, Controller):
                found = replace_struct(
                    found,
                    host_pacing=found.host_pacing
                    if is_used(StoredItem.COLD_HOST_PACING, self._start_kind)
                    else (),
                    links=found.links if is_used(StoredItem.LOAD_READINGS, self._start_kind) else (),
                    uplinks=found.uplinks if is_used(StoredItem.LOAD_READINGS, self._start_kind) else (),
                )
                turns, readings = carryover.restore_fleet(manager.controller, found, now, time.time())
                self.log.info("fleet_resumed", turns=turns, readings=readings)
            self._list_applied.set()
            return orders

        self.loop.put(apply)

    def _run_idle_checks(self) -> None:
        for count in itertools.count(1):
            if self._stopped.wait(IDLE_CHECK_INTERVAL_SECONDS):
                return
            self.loop.put_low_priority(self._end_if_idle(x) for x in self._idle_sessions())
            if count % IDLE_CHECKS_PER_SNAPSHOT == 0:
                self.loop.put(self._retry_store)
                self._save_carryover()

    def _retry_store(self, manager: SessionManager, now: float) -> list[messages.Order]:
        self.journal.retry()
        return []

    def _idle_sessions(self) -> list[int]:
        fetch_gap, titles = self.config.limits.fetch_gap, self.titles
        return self.sessions.idle_sessions(
            time.monotonic(), lambda title: fetch_gap * titles.target_duration(title)
        )

    def _end_if_idle(self, session: int) -> Callable[[SessionManager, float], list[messages.Order]]:
        """Returns an input that ends a session, unless its viewer has fetched again since the idle check."""

        def end(manager: SessionManager, now: float) -> list[messages.Order]:
            managed = manager.sessions.get(session)
            live = self.sessions.by_key(managed.key) if managed is not None else None
            fetch_gap = self.config.limits.fetch_gap
            if live is None or now - live.last_fetch_at <= fetch_gap * self.titles.target_duration(
                live.view.key[2]
            ):
                return []
            return manager.end_idle_sessions(now, [session])

        return end

    def _save_carryover(self) -> None:
        """Save the state that the next run needs.

        Runs on the idle checks' thread: replacing a file can take a quarter of a second on a busy disk, and
        would delay the loop's timers. The file is not synced: it survives a kill of the process, and after a
        power cut its contents would be out of date anyway.
        """
        snapshots, done = list[bytes](), threading.Event()

        def take_snapshot(manager: SessionManager, now: float) -> list[messages.Order]:
            if isinstance(manager.controller, Controller):
                snapshots.append(
                    carryover.encode(carryover.capture(manager, manager.controller, now, time.time()))
                )
            done.set()
            return []

        self.loop.put(take_snapshot)
        if not done.wait(IDLE_CHECK_INTERVAL_SECONDS * IDLE_CHECKS_PER_SNAPSHOT) or not snapshots:
            return
        try:
            new_file = self._carryover_path.with_suffix(".new")
            new_file.write_bytes(snapshots[0])
            new_file.replace(self._carryover_path)
        except OSError as error:
            if not self._carryover_write_failed:
                self.log.warning("carryover_not_saved", cause=str(error))
            self._carryover_write_failed = True
        else:
            self._carryover_write_failed = False

    def _load_carryover(self) -> carryover.Carryover | None:
        try:
            return carryover.decode(self._carryover_path.read_bytes())
        except FileNotFoundError:
            return None
        except (OSError, carryover.CarryoverError) as error:
            self.log.warning("carryover_unusable", cause=str(error))
            return None

    def _restore_budget(self, manager: SessionManager, now: float) -> list[messages.Order]:
        if not is_used(StoredItem.BUDGET, self._start_kind):
            return []
        controller, spent = (
            manager.controller,
            self._spent_retries.recovered if self._spent_retries is not None else [],
        )
        if isinstance(controller, Controller) and (self._carryover is not None or spent):
            count = carryover.restore_budget(manager, controller, self._carryover, spent, now, time.time())
            self.log.info("budget_resumed", further=count)
        return []

    @property
    def _start_kind(self) -> StartKind | None:
        return None if self.peers is None else self.peers.start_kind

    def _notify_hosts_listed(self, manager: SessionManager, now: float) -> list[messages.Order]:
        if self.peers is not None:
            self.peers.handle_recovery_event(manager, now, RecoveryEvent.HOSTS_LISTED)
        return []

    def _close_store(self, manager: SessionManager, now: float) -> list[messages.Order]:
        self.journal.close()
        return []

    def _queue_orders(self, orders: list[messages.Order]) -> None:
        """Queue the orders that an order led to: they are executed after the current ones, like any input."""
        if orders:
            self.loop.put(lambda manager, now: orders)

    def _execute_order(self, order: messages.Order) -> None:
        """Execute an order of the session manager; runs on the decision loop, so it must not block."""
        match order:
            case messages.Reply():
                self.front.deliver_verdict(order)
            case messages.SetUp():
                self.hosts.set_up(order)
            case messages.CommitAttempt():
                self._queue_orders(self.journal.commit(self.session_manager, self.session_manager.now, order))
            case messages.RetrySpent():
                if self._spent_retries is not None:
                    self._spent_retries.put(order.number, time.time())
            case messages.QueryAttempt():
                self.journal.query_attempt(order)
            case messages.AttemptStateChanged():
                self._queue_orders(
                    self.journal.attempt_state_changed(self.session_manager, self.session_manager.now, order)
                )
            case messages.CancelAttempt():
                self.hosts.cancel_attempt(order)
            case messages.Release():
                self.hosts.release(order)
            case messages.ChangeRung():
                self.hosts.change_rung(order)
            case messages.RequestLoad():
                self.hosts.probe(order)
            case messages.Publish(view):
                host = self.hosts.hosts.get(view.server)
                if host is not None:
                    self.sessions.publish(
                        view, self.hosts.setup_key(view.session, view.attempt),
                        f"http://{host.listed.address}", time.monotonic(),
                    )  # fmt: skip
            case messages.Withdraw(key, session, resumable):
                self.sessions.withdraw(key, session, resumable)
            case messages.LogLine(level, event, fields):
                getattr(self.log, level)(event, **dict(fields))
            case messages.Timer():
                raise AssertionError("the loop handles timers itself")

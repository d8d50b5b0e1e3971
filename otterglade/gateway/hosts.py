"""HTTP client for media hosts (`docs/host-protocol.md`): set-ups, releases, claims, load probes, events."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from ..core import interface as api
from ..core import messages
from ..core.attempts import AttemptRecord, HostAnswer, interpret_answer
from ..core.claims import Claim, claim_from_record
from ..core.outcomes import FailureKind, Phase, outcome_of_failure, outcome_of_response
from ..net.http import Answer, Call, Client, ExchangeError
from ..net.stream import TimedOutError
from ..net.threads import Failure, spawn
from ..net.workers import Workers
from ..obs.logs import Log
from ..wire import http1, orca, sse
from .fleet import ListedHost
from .loop import Loop

NEVER_RAN_HEADER = b"setup-ran"
"""Header of a refusal; the value `no` states that the set-up was not started."""
BACKGROUND_INTERVAL_SECONDS = 0.0005
"""Delay between the starts of two background jobs while the gateway is in service."""
CLAIM_TIMEOUT_SECONDS = 0.5
"""Time for a registrar's answer; a paid set-up waits for it."""
RELEASE_TIMEOUT_SECONDS = 2.0
"""Time for a release, a change of rung or a withdrawn claim; no viewer waits for these."""


@dataclass(frozen=True, slots=True)
class Host:
    """A host under one address; a restart under another address makes a new object."""

    listed: ListedHost
    client: Client


class SetupBody(msgspec.Struct, frozen=True):
    """JSON body of a set-up request."""

    viewer: str
    session_class: str = msgspec.field(name="class")
    title: str
    rung: int
    paid: bool
    gateway: str


class EventData(msgspec.Struct, frozen=True):
    """JSON data of an event in a host's stream; each kind of event uses some of the fields.

    `x0` and `x1` are the wire names of `api.Load.link` and `api.Load.uplink` in a load report.
    """

    share: float | None = None
    setup: str | None = None
    cause: str = ""
    streams: float | None = None
    x0: float | None = None
    x1: float | None = None


@dataclass(slots=True)
class _EventFollower:
    """State of the thread that follows a host's event stream."""

    stopped: threading.Event = field(default_factory=threading.Event)
    address: str = ""


class HostClient:
    """Executes the session manager's orders to hosts, and queues their answers and events on the loop."""

    def __init__(
        self, *, gateway: str, epoch: str, classes: tuple[str, ...], loop: Callable[[], Loop],
        connect: float, silence: float, setups: int, log: Log, on_failure: Failure, seed: int,
    ) -> None:  # fmt: skip
        """`connect`: seconds to open a connection; `silence`: seconds without an event until a host is lost.

        `setups`: set-ups in progress at once.
        """
        self._gateway, self._epoch, self._classes = gateway, epoch, classes
        self.run = f"{gateway}.{epoch}"
        self._loop, self._log, self._on_failure = loop, log, on_failure
        self._connect_timeout, self._silence_limit = connect, silence
        # Each pool keeps one thread, so that `submit` never raises: an exception would end the decision loop.
        self._setups = Workers("set-up", setups, on_failure, min_threads=1)
        self._background = Workers(
            "chore", 16, on_failure, start_interval=BACKGROUND_INTERVAL_SECONDS, min_threads=1
        )
        self._random = random.Random(seed)
        self.hosts: dict[int, Host] = {}
        self._calls: dict[tuple[int, int], Call] = {}
        self._followers: dict[int, _EventFollower] = {}
        self._listed_numbers: frozenset[int] = frozenset()
        self._adopted_setups: dict[int, str] = {}
        self.epochs: dict[int, str] = {}
        """Epoch of each host's current run, as its event stream reported it."""

    def setup_key(self, session: int, attempt: int) -> str:
        """The key that identifies an attempt to its host, unique among all attempts of all gateways.

        A session adopted from an earlier run keeps the key under which its host knows it.
        """
        if session in self._adopted_setups:
            return self._adopted_setups[session]
        return f"{self.run}.{session}.{attempt}"

    def set_limits(self, *, connect: float, silence: float, setups: int) -> None:
        """Replace the limits; open connections and streams keep their old ones until they end."""
        self._connect_timeout, self._silence_limit, self._setups.max_threads = connect, silence, setups

    def adopt_session(self, session: int, setup: str) -> None:
        """Use a set-up key of an earlier run for a session of this run."""
        self._adopted_setups[session] = setup

    def forget_session(self, session: int) -> None:
        """Drop the adopted set-up key of a session that has ended."""
        self._adopted_setups.pop(session, None)

    def query_attempt(self, entry: AttemptRecord, callback: Callable[[HostAnswer], None]) -> None:
        """Ask a host for the state of a set-up key; `callback` is called on a thread of the pool."""

        def query() -> None:
            host, result = self.hosts.get(entry.server), HostAnswer.NO_ANSWER
            if host is not None:
                try:
                    answer = host.client.exchange(
                        b"GET", f"/sessions/{entry.setup}".encode(), deadline=time.monotonic() + 1.0,
                        fields=[(b"Taken-By", self.run.encode())],
                    )  # fmt: skip
                    epoch = (answer.get(b"host-epoch") or b"").decode("ascii", "replace")
                    result = interpret_answer(
                        entry, answer.status, answer.get(NEVER_RAN_HEADER) == b"no", epoch
                    )
                except ExchangeError as error:
                    self._log.info("fate_trouble", setup=entry.setup, cause=str(error))
            callback(result)

        self._setups.submit(query)

    def release_key(self, server: int, setup: str, run: str) -> None:
        """Release a set-up key at a host on behalf of `run`, the gateway run that may have set it up."""
        self._background.submit(lambda: self._release(server, setup, run))

    def claim(
        self,
        server: int,
        entry: AttemptRecord,
        replaces: tuple[str, ...],
        callback: Callable[[bool, AttemptRecord | None], None],
    ) -> None:
        """Claim an attempt at a registrar.

        `callback` is called on a thread of the pool: whether the claim is granted, and if not, the attempt
        that holds it; False and None if the registrar can't be reached.
        """
        claim = claim_from_record(entry, self._classes[entry.key[1]], replaces)

        def send() -> None:
            granted, other = False, None
            try:
                answer = self._exchange_claim(b"PUT", server, claim, CLAIM_TIMEOUT_SECONDS)
                granted = answer is not None and answer.status == 204
                if answer is not None and answer.status == 409:
                    found = msgspec.json.decode(answer.body, type=Claim)
                    other = found.to_record(entry.key[1], time.time())
            except (ExchangeError, msgspec.MsgspecError) as error:
                self._log.info("claim_trouble", server=server, setup=entry.setup, cause=str(error))
            callback(granted, other)

        self._setups.submit(send)

    def _exchange_claim(self, method: bytes, server: int, claim: Claim, limit: float) -> Answer | None:
        """One exchange about a claim; None if the registrar is not listed. Raises ExchangeError."""
        host = self.hosts.get(server)
        if host is None:
            return None
        return host.client.exchange(
            method, b"/claims", body=msgspec.json.encode(claim), deadline=time.monotonic() + limit,
            fields=[(b"Content-Type", b"application/json")],
        )  # fmt: skip

    def _send_claim_in_background(
        self, method: bytes, server: int, entry: AttemptRecord, limit: float
    ) -> None:
        """Send a claim's update on a background thread; a failure is only logged."""
        claim = claim_from_record(entry, self._classes[entry.key[1]], ())

        def send() -> None:
            try:
                self._exchange_claim(method, server, claim, limit)
            except ExchangeError as error:
                self._log.debug("claim_trouble", server=server, setup=entry.setup, cause=str(error))

        self._background.submit(send)

    def mark_claim_seen(self, server: int, entry: AttemptRecord) -> None:
        """Mark a claim as seen by its viewer; if the update is lost, others assume it may not have been."""
        self._send_claim_in_background(b"PUT", server, entry, CLAIM_TIMEOUT_SECONDS)

    def withdraw_claim(self, server: int, entry: AttemptRecord) -> None:
        """Withdraw a claim; a claim that is left behind costs the next claimant a query."""
        self._send_claim_in_background(b"DELETE", server, entry, RELEASE_TIMEOUT_SECONDS)

    def update(self, listed: tuple[ListedHost, ...]) -> None:
        """Replace the list of hosts; on the loop, before the session manager receives the list."""
        hosts = {}
        for entry in listed:
            old = self.hosts.get(entry.id)
            if old is not None and old.listed.address == entry.address:
                hosts[entry.id] = Host(entry, old.client)
            else:
                hosts[entry.id] = Host(entry, Client(entry.socket_address, self._connect_timeout))
        for number, old in self.hosts.items():
            if number not in hosts:  # kept, so that sessions playing there can still be released
                hosts[number] = old
        self.hosts, self._listed_numbers = hosts, frozenset(x.id for x in listed)
        for number, host in hosts.items():
            follower = self._followers.get(number)
            if follower is None or follower.address != host.listed.address:
                if follower is not None:
                    follower.stopped.set()
                follower = self._followers[number] = _EventFollower(address=host.listed.address)
                spawn(f"events-{number}", self._follow_events(number, host, follower), self._on_failure)

    def stop(self, limit: float) -> bool:
        """Stop following events, finish queued background jobs; returns whether `limit` seconds sufficed."""
        for follower in self._followers.values():
            follower.stopped.set()
        self._background.start_interval = 0.0
        return self._background.wait_idle(limit)

    # Set-ups

    def set_up(self, order: messages.SetUp) -> None:
        """Start a set-up on the pool; the loop receives its outcome."""
        call = self._calls[order.session, order.attempt] = Call()
        self._setups.submit(lambda: self._set_up(order, call))

    def cancel_attempt(self, order: messages.CancelAttempt) -> None:
        """Cancel a set-up's exchange, if it is still in progress."""
        call = self._calls.get((order.session, order.attempt))
        if call is not None:
            call.cancel()

    def _set_up(self, order: messages.SetUp, call: Call) -> None:
        load = None
        try:
            outcome, load = self._exchange_set_up(order, call)
        except ExchangeError as error:
            outcome = outcome_of_failure(error.phase, error.failure)
            self._log.info(
                "setup_trouble", session=order.session, attempt=order.attempt, server=order.server,
                cause=str(error), outcome=outcome.value,
            )  # fmt: skip
        finally:
            self._calls.pop((order.session, order.attempt), None)
        self._loop().put(
            lambda manager, now: manager.attempt_ended(
                now, order.session, order.attempt, order.server, outcome, load
            )
        )

    def _exchange_set_up(self, order: messages.SetUp, call: Call) -> tuple[api.Outcome, api.Load | None]:
        host = self.hosts.get(order.server)
        if host is None or call.cancelled:
            raise ExchangeError(Phase.CONNECT, FailureKind.CANCELLED, "not listed, or cancelled while queued")
        viewer, class_no, title = order.key
        remaining_seconds = max(0.0, order.until - time.monotonic())
        body = SetupBody(viewer, self._classes[class_no], title, order.rung, order.paid, self._gateway)
        answer = host.client.exchange(
            b"PUT", f"/sessions/{self.setup_key(order.session, order.attempt)}".encode(),
            fields=[(b"Content-Type", b"application/json"), (b"Setup-Within", b"%.3f" % remaining_seconds)],
            body=msgspec.json.encode(body),
            # After the session manager's own timer, which alone decides between an answer and a timeout.
            deadline=order.until + 0.05, fresh=order.paid, call=call,
        )  # fmt: skip
        outcome = outcome_of_response(answer.status, answer.get(NEVER_RAN_HEADER) == b"no")
        return outcome, _load(answer.get(orca.HEADER))

    # Background jobs

    def release(self, order: messages.Release) -> None:
        """Release a session's set-up at its host, on a background thread."""
        key = self.setup_key(order.session, order.attempt)
        self._background.submit(lambda: self._release(order.server, key, self.run))

    def _release(self, server: int, key: str, run: str) -> None:
        """Release a set-up, in at most three attempts.

        A set-up that is not released uses capacity at the host until the host notices that its viewer left.
        `run`: the gateway run on whose behalf it is released. The host ignores the release if another run has
        adopted the session since: a late release of an earlier run must not end a resumed session.
        """
        for delay in (0.1, 0.5, 0.0):
            host = self.hosts.get(server)
            if host is None:
                return
            try:
                host.client.exchange(
                    b"DELETE", f"/sessions/{key}".encode(),
                    deadline=time.monotonic() + RELEASE_TIMEOUT_SECONDS,
                    fields=[(b"Gateway", run.encode())],
                )  # fmt: skip
                return
            except ExchangeError as error:
                if error.failure is FailureKind.REFUSED:
                    return  # the host's process is gone, and its sessions with it
                self._log.debug("release_trouble", server=server, setup=key, cause=str(error))
                time.sleep(delay)

    def change_rung(self, order: messages.ChangeRung) -> None:
        """Send a session's new rung to its host, on a background thread."""
        key = self.setup_key(order.session, order.attempt)
        body = msgspec.json.encode({"rung": order.rung, "order": order.sequence})

        def send() -> None:
            host = self.hosts.get(order.server)
            if host is None:
                return
            try:
                host.client.exchange(
                    b"PUT", f"/sessions/{key}/rung".encode(), body=body,
                    fields=[(b"Content-Type", b"application/json")],
                    deadline=time.monotonic() + RELEASE_TIMEOUT_SECONDS,
                )  # fmt: skip
            except ExchangeError as error:  # the host still counts the segments fetched
                self._log.debug("rung_trouble", server=order.server, setup=key, cause=str(error))

        self._background.submit(send)

    def probe(self, order: messages.RequestLoad) -> None:
        """Request a host's load; the loop receives the outcome, the duration and the load."""
        self._setups.submit(lambda: self._probe(order.server))

    def _probe(self, server: int) -> None:
        started_at, load = time.monotonic(), None
        host = self.hosts.get(server)
        if host is None:
            outcome = api.Outcome.SKIPPED
        else:
            try:
                answer = host.client.exchange(
                    b"GET", b"/load", deadline=started_at + self._connect_timeout * 2
                )
                outcome = api.Outcome.DONE if answer.status in (200, 204) else api.Outcome.ERROR
                load = _load(answer.get(orca.HEADER))
            except ExchangeError as error:
                outcome = outcome_of_failure(error.phase, error.failure)
        duration = time.monotonic() - started_at
        self._loop().put(lambda manager, now: manager.probe_answered(now, server, outcome, duration, load))

    # Event streams

    def _follow_events(self, server: int, host: Host, follower: _EventFollower) -> Callable[[], None]:
        return lambda: self._run_event_stream(server, host, follower)

    def _run_event_stream(self, server: int, host: Host, follower: _EventFollower) -> None:
        """Follow a host's events until it is listed under another address, reconnecting after failures."""
        last_id = [""]
        last_epoch: bytes | None = None
        failures = 0
        while not follower.stopped.is_set():
            try:
                last_epoch = self._read_event_stream(server, host, last_id, last_epoch, follower)
                failures = 0
            except ExchangeError as error:
                failures += 1
                if error.phase is not Phase.CONNECT or error.failure is FailureKind.REFUSED or failures > 2:
                    self._report_lost(server, follower, str(error))
                if error.failure is FailureKind.REFUSED and server not in self._listed_numbers:
                    return  # the process is gone, and not expected back under this address
            except TimedOutError:
                failures += 1
                self._report_lost(server, follower, f"silent for {self._silence_limit} s")
            except (OSError, http1.ProtocolError, sse.StreamError) as error:
                failures += 1  # broken stream: the reconnect shows whether the host is up
                self._log.info("events_broken", server=server, cause=str(error))
            delay = min(2.0, 0.05 * 2.0 ** min(failures, 6)) * (0.5 + self._random.random())
            follower.stopped.wait(delay)

    def _report_lost(self, server: int, follower: _EventFollower, cause: str) -> None:
        if not follower.stopped.is_set():
            self._loop().put(lambda manager, now: manager.host_lost(now, server, cause))

    def _read_event_stream(
        self, server: int, host: Host, last_id: list[str], last_epoch: bytes | None, follower: _EventFollower
    ) -> bytes | None:
        """Read one connection's events until it ends; `last_id` is kept, an incomplete event is dropped."""
        reader = sse.StreamReader()
        fields = [(b"Accept", b"text/event-stream")]
        if last_id[0]:
            fields.append((b"Last-Event-ID", last_id[0].encode("ascii", "replace")))
        target = f"/events?gateway={self._gateway}".encode()
        answer = host.client.open(target, deadline=time.monotonic() + self._silence_limit, fields=fields)
        try:
            if answer.head.status != 200:
                raise http1.ProtocolError(502, f"the host answered {answer.head.status}")
            epoch = answer.head.get(b"host-epoch")
            if epoch is not None:
                self.epochs[server] = epoch.decode("ascii", "replace")
            if last_epoch is not None and epoch != last_epoch:
                last_id[0] = ""
                self._report_lost(server, follower, "host started anew")
            for chunk in answer.chunks(self._silence_limit):
                if follower.stopped.is_set():
                    break
                for event in reader.feed(chunk):
                    last_id[0] = event.last_id
                    self._handle_event(server, event)
            return epoch
        finally:
            answer.close()

    def _handle_event(self, server: int, event: sse.StreamEvent) -> None:
        """Queue an event on the loop; unknown kinds are ignored."""
        try:
            data = msgspec.json.decode(event.data, type=EventData)
        except msgspec.MsgspecError as error:
            self._log.warning("bad_event", server=server, kind=event.kind, cause=str(error))
            return
        loop = self._loop()
        if event.kind == "delivery" and data.share is not None:
            share = data.share
            loop.put(lambda manager, now: manager.delivery_reported(now, server, share))
        elif event.kind == "load":
            load = api.Load(data.streams, data.x0, data.x1)
            loop.put(lambda manager, now: manager.load_reported(now, server, load))
        elif event.kind == "ended" and data.setup is not None:
            own_attempt = self._session_for_setup(data.setup)
            if own_attempt is not None:
                session, attempt = own_attempt
                cause, taken_over = data.cause or "ended", data.cause == "taken over"
                loop.put(lambda manager, now: manager.session_ended(now, session, attempt, cause, taken_over))

    def _session_for_setup(self, key: str) -> tuple[int, int] | None:
        """Session and attempt of a set-up key of this run, or of a session adopted from an earlier one."""
        for session, setup in list(self._adopted_setups.items()):
            if setup == key:
                return session, 0
        head, _, rest = key.rpartition(f"{self.run}.")
        number, _, attempt = rest.partition(".")
        return (int(number), int(attempt)) if not head and number.isdigit() and attempt.isdigit() else None


def _load(header: bytes | None) -> api.Load | None:
    figures = orca.read(header) if header is not None else None
    if figures is None:
        return None
    return api.Load(figures.get("streams"), figures.get("x0"), figures.get("x1"))

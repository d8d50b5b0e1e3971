"""A control machine as a process: its folder, its sockets, its threads, and their start and end."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from pathlib import Path

from ...config.script import address as parse_address
from ...core.distribution.items import DigestError
from ...core.distribution.log import GapError, RevisionLog
from ...core.distribution.relay import Relay
from ...core.distribution.revision import Change, Delta, RevisionError, RevisionId, Snapshot
from ...core.distribution.subscriber import RELAY_TIMING, Subscriber
from ...core.distribution.writer import ConfigurationTask
from ...net.listener import Listener, bind_socket
from ...obs.logs import Log, on_failure
from ...wire import http1
from .. import identity
from ..lifecycle import Lock
from .client import SubscriberClient
from .config import ControlConfig
from .decisions import Decisions
from .envelope import Envelope
from .events import ContentRead, EventQueue, ReplySlot, StopAsked
from .files import Recovered, RevisionFiles
from .service import PLAIN, TIMEOUTS, Service
from .voter import ConfigurationVoter
from .voting import VotingMember

RUN_BYTES = 8
SEED_BITS = 32
DURABLE_SECONDS = 30.0
"""For a revision that was read to be durable; after that it is acknowledged all the same."""
CLOSE_SECONDS = 5.0
"""For each part of a stop: the decision thread, the disk, the connections."""
OTHER_CONNECTIONS = 64
"""At once, beside those of readers: proposers, the writer's candidates, operators."""
BUSY = http1.response(503, [PLAIN], b"too many connections\n", keep_alive=False)
LATE = http1.response(408, [PLAIN], b"head took too long\n", keep_alive=False)


class StartError(Exception):
    """A control machine that can't start; the text says why."""


class ControlMachineProcess:
    """One control machine of this process. `start` once, `stop` once."""

    def __init__(self, config: ControlConfig, log: Log, on_broken: Callable[[], None]) -> None:
        """`on_broken`: called, from any thread, where it can't go on. Raises OSError, StartError."""
        self._config, self._log, self._on_broken = config, log, on_broken
        self._sound = True
        self._failure = on_failure(log)
        self._run = secrets.token_hex(RUN_BYTES)
        self._seed = secrets.randbits(SEED_BITS)
        folder = Path(config.folder)
        folder.mkdir(parents=True, exist_ok=True)
        self._lock = Lock(folder)
        self._envelope = Envelope(config.key_bytes, config.sign_with)
        self._events = EventQueue()
        self._files, recovered = RevisionFiles.open(folder, log, self._failed)
        self._revisions = self._rebuilt(recovered)
        self._relay = Relay(config.name, self._revisions)
        self._service = Service(self._envelope, self._events, config.most_readers)
        self._decisions = Decisions(
            config,
            self._relay,
            self._files,
            self._events,
            self._service,
            self._new_client,
            log,
            self._failed,
            recovered.damaged,
        )
        self._member: VotingMember | None = None
        if config.me.voter:
            self._add_voter(recovered)
        listen = parse_address(config.listen or config.me.address, "listen")
        self._listener = Listener(
            bind_socket(listen),
            self._service.serve,
            budget=config.most_readers + OTHER_CONNECTIONS,
            busy_response=BUSY,
            on_failure=self._failed,
            name="control",
            is_complete=http1.head_is_whole,
            timeout_response=LATE,
            idle_timeout=TIMEOUTS.idle,
            head_timeout=TIMEOUTS.head,
        )

    @property
    def address(self) -> str:
        """HOST:PORT that it listens on."""
        host, port = self._listener.address
        return f"{host}:{port}"

    def _failed(self, thread: str, error: BaseException) -> None:
        """A thread has failed: without its decision thread a machine is of no use."""
        self._failure(thread, error)
        if thread == "decisions":
            self._break()

    def _break(self) -> None:
        self._sound = False
        self._on_broken()

    def _rebuilt(self, recovered: Recovered) -> RevisionLog:
        """The revisions that an earlier run left, as far as they fit together."""
        log = RevisionLog()
        try:
            if recovered.snapshot is not None:
                log.reset(recovered.snapshot)
            for delta in recovered.deltas:
                if delta.target > log.head:
                    log.append(delta)
        except (GapError, DigestError, RevisionError) as error:
            self._log.warning("revisions_cut", head=str(log.head), cause=str(error))
            self._files.compact(log.snapshot())
        self._log.info(
            "revisions_open",
            head=str(log.head),
            keys=len(log.store),
            candidates=len(recovered.candidates),
        )
        return log

    def _add_voter(self, recovered: Recovered) -> None:
        config, now = self._config, time.monotonic()
        work = ConfigurationTask(config.name, [x.name for x in config.voters], self._revisions, now)
        for request in recovered.candidates:
            work.restore_candidate(request)
        self._member = VotingMember(
            config,
            work,
            run=self._run,
            seed=self._seed,
            events=self._events,
            log=self._log,
            on_failure=self._failed,
            superseded=self._break,
        )
        try:
            self._member.open(now)
        except identity.IdentityError as error:
            raise StartError(str(error)) from error
        self._decisions.voter = ConfigurationVoter(
            config,
            work,
            self._member,
            self._files,
            self._events,
            self._envelope,
            self._decisions.publish,
            self._log,
            self._failed,
        )

    def _new_client(self) -> SubscriberClient:
        """What reads from other machines, from the head on."""
        me = self._config.me
        subscriber = Subscriber(
            me.name,
            self._run,
            (),
            me.region,
            me.zone,
            time.monotonic(),
            self._seed,
            RELAY_TIMING,
            self._revisions.snapshot(),
        )
        return SubscriberClient(
            subscriber,
            self._envelope,
            on_applied=_held_by_the_relay,
            on_persist=self._hold,
            report=lambda: self._decisions.report(),
            log=self._log,
            on_failure=self._failed,
        )

    def _hold(self, content: Delta | Snapshot) -> None:
        """On the client's thread: have the decision thread hold a revision, and wait until it is durable."""
        event = ContentRead(content, ReplySlot())
        self._events.put(event)
        if not event.slot.wait(DURABLE_SECONDS):
            self._log.warning("revision_not_durable", cause=f"not within {DURABLE_SECONDS:g} s")
        elif event.slot.reply:
            self._log.warning("revision_not_durable", cause=event.slot.reply)

    # Start and stop

    def start(self) -> None:
        """Begin to vote, to read and to serve. Raises OSError where another process listens there."""
        self._listener.start()
        if self._member is not None:
            self._member.start()
        self._decisions.start()
        self._log.info("control_started", control=self._config.name, address=self.address)

    def stop(self) -> bool:
        """Hand the duty over, end what is under way, and write what is to be kept; whether all went well."""
        self._events.put(StopAsked())
        clean = self._decisions.closed(CLOSE_SECONDS)
        self._service.stopping = True
        self._listener.stop_accepting()
        self._listener.abort_all()
        clean = self._listener.wait_empty(time.monotonic() + CLOSE_SECONDS) and clean
        clean = self._files.close(CLOSE_SECONDS) and clean
        if self._member is not None:
            clean = self._member.closed(CLOSE_SECONDS) and clean
        self._lock.release()
        self._log.info("control_stopped", clean=clean, sound=self._sound)
        return clean and self._sound


def _held_by_the_relay(revision: RevisionId, changes: tuple[Change, ...], whole: bool) -> None:
    """A relay acts upon a revision by holding it, which `on_persist` has done."""

"""A gateway's list of hosts from control machines: reads revisions, applies them, keeps the last on disk.

A revision is handed to the gateway as one list, and only after the decision loop has taken it does the next
read go out, which acknowledges it. The revision in force is kept on disk and is acted upon at a restart,
whether a control machine answers or not.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from ...config.schema import Distribution
from ...core.distribution.items import DigestError, ItemStore, build_store
from ...core.distribution.placement import ControlMachine
from ...core.distribution.revision import GENESIS, Change, Delta, RevisionError, RevisionId, Snapshot
from ...core.distribution.subscriber import Content, Subscriber, SubscriberTiming
from ...net.threads import Failure
from ...obs.logs import Log
from ..fleet import HostList
from .client import SubscriberClient
from .envelope import Envelope
from .files import FilesError, HeldRevision
from .host_list import HostEntries, changes_of, rejection_reason

HELD_FILE = "revision"
"""Name of the file of the revision in force, in the gateway's state folder."""
APPLY_WARNING_SECONDS = 1.0
"""For which the decision loop may take its time with a list before that is logged."""

HandOver = Callable[[HostList, threading.Event], None]
"""Gives a list to the decision loop, which sets the event once it acts upon it."""


class RejectionStatus(msgspec.Struct, frozen=True):
    """The latest revision that could not be applied."""

    revision: str
    reason: str


class DistributionStatus(msgspec.Struct, frozen=True):
    """What a gateway tells operators of its revisions."""

    in_force: str
    relay: str
    """The control machine that is read from."""
    age_s: float | None
    """Seconds since a control machine answered; None: none has yet."""
    rejection: RejectionStatus | None
    last_failure: str
    not_kept: str
    """Why the revision in force could not be written to disk; empty: it was."""


class HostSource:
    """Follows the control machines from `start` to `stop`."""

    def __init__(
        self,
        distribution: Distribution,
        envelope: Envelope,
        *,
        name: str,
        run: str,
        folder: Path,
        hand_over: HandOver,
        log: Log,
        on_failure: Failure,
        seed: int,
    ) -> None:
        """`name`, `run`: of the gateway; `folder`: for what outlives the process."""
        self._log, self._hand_over = log, hand_over
        self._entries = HostEntries()
        self._file = HeldRevision(folder / HELD_FILE)
        self._not_kept = ""
        self._stopping = threading.Event()
        held = self._load()
        self._in_force = GENESIS if held is None else held.revision
        """What the decision loop acts upon."""
        self._subscriber = self._make_subscriber(distribution, name, run, seed, held)
        self._client = SubscriberClient(
            self._subscriber,
            envelope,
            on_applied=self._apply,
            on_persist=self._keep,
            log=log,
            on_failure=on_failure,
        )
        self.held_list = None if held is None else self._entries.listed(held.revision)
        """What an earlier run acted upon last; None: there is nothing usable on disk."""

    def _load(self) -> Snapshot | None:
        """The revision on disk, checked as one that is read; None where there is none that can be used."""
        try:
            held = self._file.load()
            if held is None:
                return None
            build_store(held.items, held.root)
        except (OSError, FilesError, DigestError, RevisionError) as error:
            self._log.warning("held_revision_unusable", cause=str(error))
            return None
        reason = rejection_reason(held.items)
        if reason:
            self._log.warning("held_revision_unusable", cause=reason)
            return None
        self._entries.apply(held.items, whole=True)
        return held

    def _make_subscriber(
        self, distribution: Distribution, name: str, run: str, seed: int, held: Snapshot | None
    ) -> Subscriber:
        timing = SubscriberTiming(spacing=distribution.spacing, wait=distribution.wait)
        return Subscriber(
            name,
            run,
            control_machines(distribution),
            distribution.region,
            distribution.zone,
            time.monotonic(),
            seed,
            timing,
            held,
            self._accepts,
        )

    def start(self) -> None:
        """Begin to read."""
        self._client.start()

    def stop(self) -> None:
        """Apply nothing more; see `closed`."""
        self._stopping.set()
        self._client.stop()

    def closed(self, limit: float) -> bool:
        """Wait, at most `limit` seconds, until nothing more is handed over or written."""
        return self._client.closed(limit)

    def status(self) -> DistributionStatus:
        """For operators; read without a lock, and may be a moment old."""
        subscriber, last = self._subscriber, self._client.last_answer
        rejection = subscriber.rejection
        return DistributionStatus(
            in_force=str(self._in_force),
            relay=subscriber.relay,
            age_s=None if last is None else round(time.monotonic() - last, 3),
            rejection=None
            if rejection is None
            else RejectionStatus(str(rejection.revision), rejection.reason),
            last_failure=subscriber.last_failure,
            not_kept=self._not_kept,
        )

    # On the client's thread

    def _accepts(self, content: Content, store: ItemStore) -> str:
        reason = rejection_reason(changes_of(content))
        if reason:
            target = content.revision if isinstance(content, Snapshot) else content.target
            self._log.error("revision_rejected", revision=str(target), cause=reason)
        return reason

    def _apply(self, revision: RevisionId, changes: tuple[Change, ...], whole: bool) -> None:
        """Return once the decision loop acts upon the revision, or this is stopped: then there is no further
        read, so that nothing is acknowledged that is not in force."""
        changed = self._entries.apply(changes, whole)
        listed = self._entries.listed(revision)
        taken = threading.Event()
        self._hand_over(listed, taken)
        while not taken.wait(APPLY_WARNING_SECONDS):
            if self._stopping.is_set():
                return
            self._log.warning("revision_waits_for_loop", revision=str(revision))
        self._in_force = revision
        self._log.info(
            "revision_in_force", revision=str(revision), hosts=len(listed.hosts), hosts_changed=changed
        )

    def _keep(self, content: Delta | Snapshot) -> None:
        """Write the revision in force to disk; without that it is in force as well, until a restart."""
        subscriber = self._subscriber
        held = Snapshot(subscriber.in_force, subscriber.store.root, subscriber.store.changes())
        try:
            self._file.save(held)
        except OSError as error:
            self._not_kept = str(error)
            self._log.warning("revision_not_kept", revision=str(held.revision), cause=str(error))
        else:
            self._not_kept = ""


def control_machines(distribution: Distribution) -> list[ControlMachine]:
    """The machines of a script, each with its place."""
    return [
        ControlMachine(name, address, *_place_of(distribution, name), voter=False)
        for name, address in distribution.machines.items()
    ]


def _place_of(distribution: Distribution, machine: str) -> tuple[str, str]:
    """Region and zone of a control machine."""
    place = distribution.places.get(machine)
    if place is None:
        return distribution.region, distribution.zone
    region, _, zone = place.partition("/")
    return region, zone

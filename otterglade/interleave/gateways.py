"""Subjects of `gateway`: journal, peers' saves and socket, stop; loop, log and pool are the shipped ones."""

from __future__ import annotations

import importlib
import types
from collections.abc import Callable
from pathlib import PosixPath
from types import SimpleNamespace
from typing import Any

from ..core import messages as d
from ..core.attempts import AttemptState
from .controlled import Stage
from .disk import MemoryDisk
from .scene import Check, Scene, need
from .scheduler import Place
from .shipped import ROOT

JOURNAL = ("net.threads", "store.log", "gateway.loop", "gateway.journal")
JOURNAL_SHARED = (("store.log", "Log"), ("gateway.loop", "Loop"), ("gateway.journal", "Journal"))
STOP = ("net.threads", "net.workers", "store.log", "gateway.loop", "gateway.journal", "gateway.peers",
        "gateway.daemon")  # fmt: skip
STOP_SHARED = (*JOURNAL_SHARED, ("gateway.peers", "PeerClient"), ("gateway.daemon", "Gateway"))


class Folder(PosixPath):
    """A folder of the disk in memory."""

    def mkdir(self, mode: int = 0o777, parents: bool = False, exist_ok: bool = False) -> None: ...


class Silent:
    """A logger that nobody reads."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *args, **fields: None


class SessionManager:
    """What journal and loop call of the session manager, on the loop's thread alone."""

    def __init__(self, scene: Scene) -> None:
        self._scene = scene
        self.catalogue: dict[str, Any] = {}
        self.settings = None
        self.terms = d.SessionLimits((4.0,), 0.1, 100, registrar_count=0)
        self.told: list[tuple[int, str]] = []
        self.durable: Callable[[int], bool] = lambda session: True
        self.paid_refusal_cause = ""
        self.load_shedder = None

    def start(self, now: float) -> list[d.Order]:
        return []

    def close(self, now: float) -> list[d.Order]:
        return []

    def attempt_committed(self, now: float, session: int, attempt: int, trouble: str = "") -> list[d.Order]:
        task = self._scene.stage.playing().current
        need(task is not None and task.name == "decisions", "the session manager is told on another thread")
        need(all(x != session for x, _ in self.told), f"session {session} told twice")
        need(bool(trouble) or self.durable(session), f"session {session} told durable, and is not")
        self.told.append((session, trouble))
        return []


class _Daemon:
    """Loop, journal and disk of a gateway."""

    def __init__(self, scene: Scene) -> None:
        self.scene, self.session_manager, self.disk = scene, SessionManager(scene), MemoryDisk(scene.stage)
        module = scene.shipped.module
        time = module("gateway.loop").time
        self.loop = module("gateway.loop").Loop(
            self.session_manager, self.carry, scene.failed, time.monotonic
        )
        hosts: Any = SimpleNamespace(
            run="g.1", epochs={}, setup_key=lambda session, attempt: f"g.1.{session}.{attempt}",
            forget_session=lambda session: None, claim=None, withdraw_claim=None, mark_claim_seen=None,
        )  # fmt: skip
        self.journal = module("gateway.journal").Journal(
            Folder("/log"), loop=lambda: self.loop, hosts=hosts, log=Silent(), on_failure=scene.failed,
            unsure_for=60.0, disk=self.disk, classes=("paid",),
        )  # fmt: skip
        self.session_manager.durable = self.durable
        self.committed: list[int] = []

    def carry(self, order: d.Order) -> None:
        raise AssertionError(f"no order is due here: {order}")

    def durable(self, session: int) -> bool:
        found = self.scene.memory
        image = self.disk.image()
        if image not in found:
            module = self.scene.shipped.module("store.log")

            def look() -> bytes:
                left = module.Log(
                    Folder("/log"), self.disk.after_a_cut(), 4 << 20, self.scene.failed
                )._recover()
                return b"".join(left.records)

            found[image] = self.scene.quiet(look)
        return f"g.1.{session}.0".encode() in found[image]

    def commit(self, session: int) -> Callable[[Any, float], list[d.Order]]:
        setup = d.SetUp(session, 0, 1, (f"v{session}", 0, "film"), 0, True, 4.0)

        def work(manager: Any, now: float) -> list[d.Order]:
            self.committed.append(session)
            return list(self.journal.commit(manager, now, d.CommitAttempt(setup, 4)))

        return work

    def fated(self, session: int) -> Callable[[Any, float], list[d.Order]]:
        return lambda manager, now: list(
            self.journal.attempt_state_changed(
                manager, now, d.AttemptStateChanged(session, 0, AttemptState.RAN)
            )
        )

    def close_store(self, manager: Any, now: float) -> list[d.Order]:
        self.journal.close()
        return []


def journal_stop(scene: Scene) -> Check:
    daemon = _Daemon(scene)
    daemon.journal.open()
    daemon.loop.start()
    closed: list[int] = []

    def asks() -> None:
        daemon.loop.put(daemon.commit(1))
        daemon.loop.put(daemon.commit(2))

    def stops() -> None:
        def close(manager: Any, now: float) -> list[d.Order]:
            closed.extend(daemon.committed)
            return daemon.close_store(manager, now)

        daemon.loop.put(daemon.fated(1))
        daemon.loop.put(close)
        daemon.loop.stop()

    scene.go("asks", asks)
    scene.go("stops", stops)

    def check() -> None:
        for session in closed:
            need(daemon.durable(session), f"session {session} was handed in before close, and is not kept")
        order = [x for x, _ in daemon.session_manager.told]
        need(order == sorted(order), f"told in the order {order}")
        need(not daemon.disk.open_files, "the log's file is left open")

    return check


class _Peers:
    """A peers' client without members: its saves, its stop and its log, as they ship."""

    def __init__(self, scene: Scene, daemon: _Daemon) -> None:
        self.scene, self.daemon = scene, daemon
        module = scene.shipped.module("gateway.peers")
        client = self.client = object.__new__(module.PeerClient)
        identity = module.identity.Identity
        client._identity, client._folder = identity(boot=1), Folder("/state")
        client._log, client._loop = Silent(), lambda: daemon.loop
        client._identity_writer = module.Workers("identity", 1, scene.failed)
        client._identity_lock = module.threading.Lock()
        client._part_files = SimpleNamespace(wait_idle=lambda limit: None)
        client._witness_log = client._task_log = None
        client._stopped = False
        client._socket = SimpleNamespace(close=lambda: None)
        client.fleet = SimpleNamespace(members=SimpleNamespace(leave=lambda now: []), leader_tasks=None)
        client._handed_over = module.threading.Event()
        self.kept: list[Any] = []
        self.place = Place(("folder", "identity"), always=True)
        scene.stage.hooks["save"] = self.save
        self.free = False

    def save(self, folder: Any, identity: Any) -> None:
        self.scene.stage.playing().act(self.place, True, what="keeps its identity")
        need(not self.free, "its identity is kept after the folder is another run's")
        self.kept.append(identity)

    def hears(self, name: str, boot: int) -> Callable[[Any, float], list[d.Order]]:
        members = SimpleNamespace(peers={name: SimpleNamespace(name=name, known_boot=boot)})

        def work(manager: Any, now: float) -> list[d.Order]:
            self.client._save_peer_boots(members)
            return []

        return work


def peers_socket(scene: Scene) -> Check:
    daemon = _Daemon(scene)
    client: Any = _Peers(scene, daemon).client
    arrived = scene.shipped.module("gateway.loop").queue.SimpleQueue()
    taken: list[bytes] = []

    def receive(most: int) -> tuple[bytes, tuple[str, int]]:
        data = arrived.get()
        if data is None:
            raise OSError("closed")
        return data, ("127.0.0.1", 1)

    def carry(manager: Any, now: float, out: list[Any]) -> list[d.Order]:
        taken.extend(out)
        return []

    def close() -> None:
        arrived.put(None)

    client._socket = SimpleNamespace(recvfrom=receive, close=close)
    client._codec = SimpleNamespace(decode=lambda data: data)
    client._queued_count = client._processed_count = client.received_count = client.rate_limited_count = 0
    client.fleet.receive = lambda now, message: [message]
    client._execute = carry
    daemon.loop.start()

    def sends() -> None:
        arrived.put(b"1")
        arrived.put(b"2")

    def stops() -> None:
        client.stop()
        daemon.loop.stop()

    scene.go("peers", client._read)
    scene.go("sends", sends)
    scene.go("stops", stops)

    def check() -> None:
        left = client.received_count - len(taken)
        counted = client._queued_count - client._processed_count
        need(client.rate_limited_count == 0, "dropped as a flood")
        need(counted == left, f"{counted} counted as waiting, {left} not taken")
        need(taken == sorted(taken), f"taken in the order {taken}")

    return check


def identity_stand_in(stage: Stage) -> dict[str, types.ModuleType]:
    """`gateway.identity` with its writing on the scene's disk."""
    identity = importlib.import_module(f"{ROOT}.gateway.identity")
    module = types.ModuleType(identity.__name__)
    module.__dict__.update(
        {**vars(identity), "save": lambda folder, value: stage.hooks["save"](folder, value)}
    )
    return {identity.__name__: module}


def peers_saves(scene: Scene) -> Check:
    daemon = _Daemon(scene)
    peers = _Peers(scene, daemon)
    daemon.loop.start()

    def hears() -> None:
        daemon.loop.put(peers.hears("b", 1))
        daemon.loop.put(peers.hears("b", 2))
        daemon.loop.stop()

    scene.go("hears", hears)
    scene.go("saves", lambda: peers.client._save_identity())

    def check() -> None:
        need(peers.kept[-1] == peers.client._identity, f"kept last: {peers.kept[-1]}")

    return check


def _gateway(scene: Scene, daemon: _Daemon, peers: _Peers | None) -> Any:
    """A gateway whose stop and reload are the shipped ones, with stand-ins for sockets."""
    module = scene.shipped.module("gateway.daemon")
    gateway = object.__new__(module.Gateway)
    nothing: Callable[..., None] = lambda *args, **fields: None  # noqa: E731 - a stand-in
    fields = {
        "config": SimpleNamespace(limits=SimpleNamespace(drain=5.0)), "log": Silent(), "phase": "taking",
        "front": SimpleNamespace(waiting=0, stopping=False), "sessions": SimpleNamespace(live={}),
        "listener": SimpleNamespace(stop_accepting=nothing, wait_empty=nothing, abort_all=nothing),
        "registry": SimpleNamespace(stop=nothing), "distribution": None,
        "hosts": SimpleNamespace(stop=lambda limit: True),
        "loop": daemon.loop, "journal": daemon.journal, "session_manager": daemon.session_manager,
        "_recorder": None,
        "peers": None if peers is None else peers.client, "_stopped": module.threading.Event(),
        "_lock": SimpleNamespace(release=nothing), "broken": module.threading.Event(),
    }  # fmt: skip
    for name, value in fields.items():
        setattr(gateway, name, value)
    return gateway


def _stop(scene: Scene, store: bool) -> Check:
    daemon = _Daemon(scene)
    if store:
        daemon.journal.open()
    peers = _Peers(scene, daemon)
    gateway = _gateway(scene, daemon, peers)
    freed: list[int] = []

    def release() -> None:
        scene.stage.playing().act(peers.place, True, what="frees the folder")
        peers.free = True
        freed.append(1)
        scene.stage.touch(daemon.disk, "disk", False)
        need(not daemon.disk.open_files, "the folder is another run's, and the log's file is open")

    gateway._lock = SimpleNamespace(release=release)
    daemon.loop.start()

    scene.go("hears", lambda: daemon.loop.put(peers.hears("b", 1)))
    scene.go("stops", gateway.stop)

    def check() -> None:
        need(bool(freed), "the folder is never free")

    return check


def stop(scene: Scene) -> Check:
    return _stop(scene, store=True)


def stop_without_store(scene: Scene) -> Check:
    return _stop(scene, store=False)

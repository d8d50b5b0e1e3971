"""The subjects: threads of the product's own modules, each in a scene as small as shows what can go wrong."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from . import gateways
from .disk import MemoryDisk
from .kernel import Connection, Kernel, Listening, modules
from .linear import Call, linearizable
from .scene import Check, Scene, Subject, need
from .scheduler import Place
from .search import Bounds

FOLDER = Path("/log")
LOG = ("net.threads", "store.log")
LOG_SHARED = (("store.log", "Log"),)
WORKERS = ("net.threads", "net.workers")
WORKERS_SHARED = (("net.workers", "Workers"),)

# The log's writer

Records = tuple[bytes, ...]


class _Logged:
    """What was handed to a log, when, and what was told of it."""

    def __init__(self, scene: Scene, disk: MemoryDisk, segment: int = 4 << 20) -> None:
        self.scene, self.disk = scene, disk
        module = scene.shipped.module("store.log")
        self._make: Callable[..., Any] = module.Log
        self.log, _ = module.Log.open(FOLDER, scene.failed, segment=segment, disk=disk)
        self.called: dict[bytes, int] = {}
        self.told: dict[bytes, list[tuple[int, OSError | None]]] = {}
        self.compacted: dict[bytes, Records] = {}
        self.order: list[bytes] = []

    def append(self, record: bytes) -> None:
        self.called[record] = self.scene.tick()
        self.log.append(record, lambda error: self._done(record, error))

    def compact(self, name: bytes, snapshot: Records) -> None:
        self.called[name], self.compacted[name] = self.scene.tick(), snapshot
        self.log.compact(snapshot, lambda error: self._done(name, error))

    def _done(self, name: bytes, error: OSError | None) -> None:
        self.told.setdefault(name, []).append((self.scene.tick(), error))
        self.order.append(name)
        if error is None:
            kept = self.kept()
            if name in self.compacted:
                need(
                    kept[: len(self.compacted[name])] == self.compacted[name],
                    f"{name!r} told before it is durable",
                )
            elif name not in kept:
                self._covered(name)

    def _covered(self, name: bytes) -> None:
        need(
            any(self.called[x] > self.called[name] or x in self.told for x in self.compacted),
            f"{name!r} told durable and not on the disk",
        )

    def kept(self) -> Records:
        """What the next start reads if the power goes now."""
        image, read = self.disk.image(), self.scene.memory
        if image in read:
            known: Records = read[image]
            return known

        def look() -> Records:
            found = self._make(FOLDER, self.disk.after_a_cut(), 4 << 20, self.scene.failed)._recover()
            return (*found.snapshot, *found.records)

        found = self.scene.quiet(look)
        assert isinstance(found, tuple), "records"
        read[image] = found
        return found

    def check(self, closed: bool = True) -> None:
        for name in self.called:
            count = len(self.told.get(name, ()))
            need(count == 1, f"{name!r}: told {count} times")
        if closed:
            need(not self.disk.open_files, f"{self.disk.open_files} files left open")
        kept = self.kept()
        history: list[Call[tuple[str, bytes]]] = []
        for name, called in self.called.items():
            at, error = self.told[name][0]
            what = "failed" if error else "compact" if name in self.compacted else "append"
            history.append(Call((what, name), called, at))
        end = self.scene.tick()
        history.append(Call(("read", b""), end, end + 1))

        def after(state: Records, op: tuple[str, bytes]) -> list[Records]:
            what, name = op
            if what == "read":
                return [state] if state == kept else []
            done = self.compacted.get(name, (*state, name))
            return [state, done] if what == "failed" else [done]

        empty: Records = ()
        need(linearizable(history, empty, after), f"no order explains that {kept!r} is kept of {self.told!r}")


def _ended(scene: Scene, count: int, then: Callable[[], None]) -> Callable[[], None]:
    """For so many threads to call at their end: the last one goes on."""
    left = [count]

    def one() -> None:
        scene.mark()
        left[0] -= 1
        if not left[0]:
            then()

    return one


def _log_appends(scene: Scene) -> Check:
    logged = _Logged(scene, MemoryDisk(scene.stage))
    end = _ended(scene, 2, logged.log.close)

    def writer(name: bytes) -> Callable[[], None]:
        def work() -> None:
            logged.append(name + b"1")
            logged.append(name + b"2")
            end()

        return work

    scene.go("a", writer(b"a"))
    scene.go("b", writer(b"b"))

    def check() -> None:
        logged.check()
        for name in (b"a", b"b"):
            need(
                logged.order.index(name + b"1") < logged.order.index(name + b"2"),
                f"{name!r} told out of order",
            )

    return check


def _log_compacts(scene: Scene) -> Check:
    logged = _Logged(scene, MemoryDisk(scene.stage), segment=40)
    end = _ended(scene, 2, logged.log.close)

    def keeper() -> None:
        logged.append(b"a1")
        logged.compact(b"snap", (b"S",))
        logged.append(b"a2")
        end()

    def other() -> None:
        logged.append(b"b1")
        logged.append(b"b2")
        end()

    scene.go("keeper", keeper)
    scene.go("other", other)
    return logged.check


def _log_fails(scene: Scene) -> Check:
    failing = frozenset(("write", "sync", "create", "sync_folder", "replace"))
    disk = MemoryDisk(scene.stage)
    logged = _Logged(scene, disk)
    disk.failing = failing

    def keeper() -> None:
        logged.append(b"a1")
        logged.compact(b"snap", (b"S",))
        logged.append(b"a2")
        logged.log.close()

    scene.go("keeper", keeper)
    return logged.check


def _log_close(scene: Scene) -> Check:
    logged = _Logged(scene, MemoryDisk(scene.stage))

    def writer() -> None:
        logged.append(b"a1")
        logged.append(b"a2")

    scene.go("writer", writer)
    scene.go("closer", logged.log.close)
    return logged.check


# Workers


class _Pool:
    def __init__(self, scene: Scene, most: int, idle: float = 10.0, pace: float = 0.0) -> None:
        self.scene, self.most = scene, most
        self.pool = scene.shipped.module("net.workers").Workers(
            "pool", most, scene.failed, idle_timeout=idle, start_interval=pace
        )
        self.ran: list[str] = []
        self.refused: list[str] = []
        self.given: list[str] = []
        self.at_once = self.peak = 0

    def submit(self, name: str, then: Callable[[], None] = lambda: None) -> None:
        self.given.append(name)

        def job() -> None:
            self.scene.step(f"begins {name}")
            self.ran.append(name)
            self.at_once += 1
            self.peak = max(self.peak, self.at_once)
            self.scene.step(f"runs {name}")
            then()
            self.at_once -= 1

        try:
            self.pool.submit(job)
        except RuntimeError:
            self.refused.append(name)

    def check(self) -> None:
        for name, count in (Counter(self.given) + Counter()).items():
            ran, refused = self.ran.count(name), self.refused.count(name)
            need(ran + refused == count, f"{name}: ran {ran} times, refused {refused} times")
        need(self.peak <= self.most, f"{self.peak} jobs at once, allowed {self.most}")
        need(self.pool._pending == 0, f"{self.pool._pending} jobs pending, and none there")
        alive = self.scene.stage.playing().left.count("pool")
        need(self.pool._threads == alive, f"{self.pool._threads} threads counted, {alive} there")


def _workers_limit(scene: Scene) -> Check:
    pool = _Pool(scene, 1)

    def two() -> None:
        pool.submit("a1")
        pool.submit("a2")

    scene.go("a", two)
    scene.go("b", lambda: pool.submit("b1"))
    return pool.check


def _workers_order(scene: Scene) -> Check:
    pool = _Pool(scene, 1)

    def three() -> None:
        pool.submit("a1", then=lambda: pool.submit("n1"))
        pool.submit("a2")
        pool.submit("a3")
        need(pool.pool.wait_idle(5.0), "all is done, and wait_idle says no")
        need(len(pool.ran) == 4, f"wait_idle when {pool.ran} had run")

    scene.go("a", three)

    def check() -> None:
        pool.check()
        mine = [x for x in pool.ran if x[0] == "a"]
        need(mine == sorted(mine), f"ran in the order {pool.ran}")

    return check


def _workers_idle(scene: Scene) -> Check:
    pool = _Pool(scene, 1, idle=1.0)

    def again() -> None:
        pool.submit("a1")
        scene.sleep(1.0)
        pool.submit("a2")

    scene.go("a", again)
    return pool.check


def _workers_no_thread(scene: Scene) -> Check:
    scene.stage.refusals = 2
    scene.expected = (RuntimeError,)
    pool = _Pool(scene, 2)
    scene.go("a", lambda: pool.submit("a1"))
    scene.go("b", lambda: pool.submit("b1"))
    return pool.check


# The loop's inbox


class _SessionManager:
    """What the loop calls of the session manager: alarms."""

    def __init__(self) -> None:
        self.rung: list[float] = []

    def start(self, now: float) -> list[Any]:
        return []

    def timer_fired(self, now: float, timer: Any) -> list[Any]:
        self.rung.append(timer.due_at)
        return []


class _Inbox:
    def __init__(self, scene: Scene) -> None:
        self.scene, self.session_manager = scene, _SessionManager()
        self.did: list[str] = []
        self.put_before_stop: list[str] = []
        self.stopped = False
        time = scene.shipped.module("gateway.loop").time
        self.loop = scene.shipped.module("gateway.loop").Loop(
            self.session_manager, lambda order: None, scene.failed, time.monotonic
        )
        self._inside = False

    def input(self, name: str) -> Callable[[Any, float], list[Any]]:
        def work(manager: Any, now: float) -> list[Any]:
            need(not self._inside, "two decisions at once")
            self._inside = True
            self.scene.step(f"decides {name}")
            self.did.append(name)
            self._inside = False
            return []

        return work

    def put(self, name: str) -> None:
        self.loop.put(self.input(name))
        self.scene.mark()
        if not self.stopped:
            self.put_before_stop.append(name)

    def stop(self) -> None:
        self.scene.mark()
        self.stopped = True
        self.loop.stop()

    def check(self) -> None:
        for name, count in Counter(self.did).items():
            need(count == 1, f"{name}: done {count} times")
        for name in self.put_before_stop:
            need(name in self.did, f"{name} was put before stop, and never done")
        for x in "ab":
            mine = [y for y in self.did if y[0] == x]
            need(mine == sorted(mine), f"order {self.did}")
        run = self.scene.stage.playing()
        need(all(x.done for x in run.tasks), "the loop does not end")


def _loop_stop(scene: Scene) -> Check:
    inbox = _Inbox(scene)
    inbox.loop.start()

    def first() -> None:
        inbox.put("a1")
        inbox.put("a2")
        inbox.stop()

    def second() -> None:
        inbox.put("b1")

    scene.go("a", first)
    scene.go("b", second)
    return inbox.check


def _loop_alarm(scene: Scene) -> Check:
    inbox = _Inbox(scene)
    inbox.loop.call_at(2.0, inbox.input("d1"))
    inbox.loop.start()

    def first() -> None:
        inbox.put("a1")
        scene.sleep(1.0)  # time passes where nothing else can go on
        need({"c1", "c2"} <= set(inbox.did), "low-priority inputs wait while the loop is idle")
        scene.sleep(2.0)
        need("d1" in inbox.did, "the timer has not fired")
        inbox.stop()

    scene.go("a", first)
    scene.go("b", lambda: inbox.loop.put_low_priority([inbox.input("c1"), inbox.input("c2")]))

    def check() -> None:
        inbox.check()
        need(inbox.did.index("c1") < inbox.did.index("c2"), f"order {inbox.did}")

    return check


# Starting threads


def _spawn(scene: Scene) -> Check:
    threads = scene.shipped.module("net.threads")
    made: list[Any] = []
    ran: list[str] = []

    def starter(name: str) -> Callable[[], None]:
        return lambda: made.append(threads.spawn(name, lambda: ran.append(name), scene.failed))

    scene.go("a", starter("a1"))
    scene.go("b", starter("b1"))

    def check() -> None:
        need(sorted(ran) == ["a1", "b1"], f"ran: {ran}")
        for thread in made:
            need(thread.stack == threads.STACK_BYTES, f"{thread.name} has a stack of {thread.stack}")
        need(scene.stage.stack == 0, f"the process's stack size stays {scene.stage.stack}")

    return check


# The listener's count


LISTENER = ("net.threads", "net.workers", "net.stream", "net.pending_connections", "net.listener")
LISTENER_SHARED = (("net.listener", "Listener"), ("net.workers", "Workers"))


def _listener(scene: Scene, budget: int, stops: bool, reloads: int = 0) -> Check:
    kernel = Kernel(scene.stage)
    scene.stage.hooks["kernel"] = lambda: kernel
    door = Listening(kernel)
    serving, peak, served = [0], [0], list[object]()

    def serve(stream: Any, peer: Any, first: bytes) -> None:
        scene.step("begins to serve")
        serving[0] += 1
        peak[0] = max(peak[0], serving[0])
        served.append(stream.socket)
        scene.step("serves")
        serving[0] -= 1

    listener = scene.shipped.module("net.listener").Listener(
        door, serve, budget=budget, busy_response=b"busy", on_failure=scene.failed,
        is_complete=lambda data, before: len(data) > 1,
    )  # fmt: skip
    listener.start()
    callers = [Connection(kernel, b"xx"), Connection(kernel, b"x" if stops else b"yy")]

    def calls() -> None:
        for caller in callers:
            door.come(caller)

    def ends() -> None:
        listener.stop_accepting()
        listener.abort_all()

    def reload() -> None:
        listener.budget = reloads

    scene.go("calls", calls)
    if reloads:
        scene.go("reloads", reload)
    if stops:
        scene.go("stops", ends)

    def check() -> None:
        busy = sum(x.heard == b"busy" for x in callers)
        need(listener.turned_away == busy, f"{listener.turned_away} counted, {busy} turned away")
        need(listener.connections == 0, f"{listener.connections} connections counted, none there")
        need(all(x.closed for x in callers), "a connection is left open")
        most = max(budget, reloads)
        need(peak[0] <= most, f"{peak[0]} served at once, allowed {most}")
        for caller in callers:
            need(
                served.count(caller) + (caller.heard == b"busy") <= 1,
                "served twice, or served and turned away",
            )
        if not stops:
            need(len(served) + busy == len(callers), f"{len(served)} served, {busy} turned away")

    return check


def _listener_limit(scene: Scene) -> Check:
    return _listener(scene, 1, stops=False)


def _listener_reload(scene: Scene) -> Check:
    return _listener(scene, 1, stops=False, reloads=2)


def _listener_stop(scene: Scene) -> Check:
    return _listener(scene, 2, stops=True)


# An exchange beside its cancellation


class _Wire:
    """A connection of a client's pool: what is aborted answers nobody."""

    def __init__(self, scene: Scene) -> None:
        self._scene, self.user, self.closed = scene, "", False
        self.aborted = ""
        """Whose exchange was under way when it was."""
        self.place = Place(("wire", "state"))

    def abort(self) -> None:
        self._scene.stage.playing().act(self.place, True, what="aborts a connection")
        self.aborted = self.user or "nobody's"

    def close(self) -> None:
        self._scene.stage.playing().act(self.place, True, what="closes a connection")
        self.closed = True

    def closed_by_peer(self) -> bool:
        self._scene.stage.playing().act(self.place, False, what="looks at a connection")
        return self.closed or bool(self.aborted)

    def has_bytes(self) -> bool:
        return False

    def use(self, who: str) -> bool:
        """Send, or read: whether it goes."""
        self._scene.stage.playing().act(self.place, True, what=f"uses a connection for {who}")
        need(not self.closed, f"{who} uses a closed connection")
        self.user = who
        return not self.aborted


def _call_cancel(scene: Scene) -> Check:
    module = scene.shipped.module("net.http")
    answered: dict[str, str] = {}
    cancelled: list[int] = []

    base: Any = module.Client

    class Client(base):  # type: ignore[misc]
        def _connect(self, deadline: float, call: Any) -> Any:
            return SimpleNamespace(
                stream=_Wire(scene),
                idle_since=0.0,
                reader=SimpleNamespace(idle=True, expect=lambda method: None),
            )

        def _send(self, connection: Any, data: bytes, deadline: float, call: Any) -> None:
            self._go(connection, data[1:2].decode())

        def _read(self, connection: Any, deadline: float, call: Any) -> tuple[Any, bytes]:
            self._go(connection, connection.stream.user)
            return SimpleNamespace(keep_alive=True, status=200, fields=()), b""

        @staticmethod
        def _go(connection: Any, who: str) -> None:
            if not connection.stream.use(who):
                raise module.ExchangeError(module.Phase.SENT, module.FailureKind.BROKEN, who)

    client = Client(("127.0.0.1", 1), 1.0)
    call = module.Call()

    def asks(who: str, given: Any) -> Callable[[], None]:
        def work() -> None:
            scene.mark()
            before = given is not None and bool(cancelled)
            try:
                client.exchange(who.encode(), b"/", deadline=9.0, call=given)
                answered[who] = "answered"
            except module.ExchangeError as error:
                answered[who] = str(error.failure.value)
            need(not before or answered[who] == "cancelled", "sent though it was cancelled before")

        return work

    def cancels() -> None:
        call.cancel()
        scene.mark()
        cancelled.append(1)

    scene.go("a", asks("Xa", call))
    scene.go("b", cancels)
    scene.go("c", asks("Xc", None))

    def check() -> None:
        need(answered.get("Xc") == "answered", f"one that nobody cancelled: {answered}")
        need(answered["Xa"] in ("answered", "cancelled", "broken"), f"{answered}")

    return check


LOOP = ("net.threads", "gateway.loop")
LOOP_SHARED = (("gateway.loop", "Loop"),)

ALL = Bounds(preemptions=None)
STILL = Bounds(early=0, ticks=0)
"""No time passes: whoever waits with a limit has to be woken."""
ONE = replace(STILL, preemptions=1)
DAEMON, DAEMON_SHARED = gateways.STOP, gateways.STOP_SHARED
PEERS, PEERS_SHARED = DAEMON[:-1], DAEMON_SHARED[:-1]
IDENTITY = gateways.identity_stand_in

SUBJECTS = (
    Subject("log-appends", "two threads append, group commit, close", LOG, LOG_SHARED, _log_appends),
    Subject("log-compacts", "appends beside a compaction and new segments", LOG, LOG_SHARED, _log_compacts),
    Subject("log-fails", "appends, a compaction, any two steps of the disk failing", LOG, LOG_SHARED,
            _log_fails, Bounds(faults=2)),
    Subject("log-close", "appends beside close", LOG, LOG_SHARED, _log_close, ALL),
    Subject("workers-limit", "two submit to a pool of one", WORKERS, WORKERS_SHARED, _workers_limit,
            replace(STILL, preemptions=None)),
    Subject("workers-order", "one thread, a job that submits, wait_idle", WORKERS, WORKERS_SHARED,
            _workers_order, Bounds(early=0)),
    Subject("workers-idle", "a thread ends for want of work beside submit", WORKERS, WORKERS_SHARED,
            _workers_idle, Bounds(preemptions=None, early=2)),
    Subject("workers-no-thread", "two submit, the system refuses up to two threads", WORKERS, WORKERS_SHARED,
            _workers_no_thread, Bounds(early=0, faults=2)),
    Subject("loop-stop", "two put, one stops", LOOP, LOOP_SHARED, _loop_stop, ALL),
    Subject("loop-alarm", "a timer, background inputs, stop", LOOP, LOOP_SHARED, _loop_alarm,
            Bounds(early=0)),
    Subject("spawn", "two threads start others at once", ("net.threads",), (), _spawn, ALL),
    Subject("listener-limit", "two call where one has room", LISTENER, LISTENER_SHARED, _listener_limit,
            STILL, modules),
    Subject("listener-reload", "two call while room for two is given", LISTENER, LISTENER_SHARED,
            _listener_reload, ONE, modules),
    Subject("listener-stop", "two call beside stop", LISTENER, LISTENER_SHARED, _listener_stop, ONE, modules),
    Subject("call-cancel", "an exchange, its cancellation, another on the connection", ("net.http",),
            (("net.http", "Call"), ("net.http", "Client")), _call_cancel,
            replace(STILL, preemptions=None)),
    Subject("journal-stop", "done-callbacks beside stop", gateways.JOURNAL, gateways.JOURNAL_SHARED,
            gateways.journal_stop, ONE),
    Subject("peers-socket", "datagrams read and taken by two threads, stop", PEERS, PEERS_SHARED,
            gateways.peers_socket, ONE, IDENTITY),
    Subject("peers-saves", "identity saved on the loop and beside it", PEERS, PEERS_SHARED,
            gateways.peers_saves, STILL, IDENTITY),
    Subject("stop", "the daemon's stop beside a peer's word", DAEMON, DAEMON_SHARED, gateways.stop, ONE,
            IDENTITY),
    Subject("stop-no-store", "the same, where the attempts' log can't be used", DAEMON, DAEMON_SHARED,
            gateways.stop_without_store, ONE, IDENTITY),
)  # fmt: skip
BY_NAME = {x.name: x for x in SUBJECTS}

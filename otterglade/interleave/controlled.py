"""What the product's threads share, as the scheduler owns it: stand-ins for `threading`, `queue`, `time`, and
for containers and attributes. Each does what the interpreter's own does, at one point, atomically.
"""

from __future__ import annotations

import threading
import types
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from queue import Empty, Full
from typing import Any

from .scheduler import Place, Ready, Run, Task

EPOCH = 1.7e9
"""Wall time at which a run begins, in seconds since 1970."""


class Stage:
    """What the stand-ins belong to: they outlive a run, their state does not."""

    def __init__(self) -> None:
        self.run: Run | None = None
        self.stack = 0
        """The process's stack size for new threads."""
        self.refusals = 0
        """Threads that the system may refuse to start."""
        self.hooks: dict[str, Callable[..., Any]] = {}
        """What a scene lets stand-ins of its own call."""
        self._places: dict[tuple[int, str], Place] = {}
        self.stack_place = Place(("process", "stack size"))

    def begin(self, run: Run) -> None:
        self.run, self.stack, self.refusals = run, 0, 0
        self._places = {}
        self.stack_place = Place(("process", "stack size"))

    def playing(self) -> Run:
        assert self.run is not None, "nothing of the product runs outside of a run"
        return self.run

    def place_of(self, owner: object, name: str, kind: str = "") -> Place:
        found = self._places.get((id(owner), name))
        if found is None:
            key = (kind or type(owner).__name__, name)
            found = self._places[(id(owner), name)] = Place(key, owner=owner)
        return found

    def touch(self, owner: object, name: str, write: bool, kind: str = "") -> None:
        run = self.run
        if run is not None and run.current is not None and not run.quiet:
            run.act(self.place_of(owner, name, kind), write)


class _Primitive:
    """Its state is that of the run it is used in: a module's own lock is new in each."""

    _stage: Stage
    _kind = ""

    def __init__(self) -> None:
        self._run: Run | None = None
        self._place = Place((self._kind, ""), always=True)
        self._owner: Task | None = None

    def _begun(self) -> Run:
        run = self._stage.playing()
        if self._run is not run:
            self._run, self._place, self._owner = run, Place((self._kind, ""), always=True), None
            self._reset()
        return run

    def _reset(self) -> None:
        raise NotImplementedError


class _Lock(_Primitive):
    _kind = "lock"
    _again = False

    def _reset(self) -> None:
        self._held = 0

    def _free(self) -> bool:
        return not self._held or (self._again and self._run is not None and self._owner is self._run.current)

    def _ready_for(self, task: Task | None) -> Ready:
        return lambda: not self._held or (self._again and self._owner is task)

    def acquire(self, blocking: bool = True, timeout: float = -1) -> bool:
        run = self._begun()
        deadline = run.now + timeout if timeout >= 0 else None
        if blocking:
            if not run.act(self._place, True, self._ready_for(run.current), deadline, "takes a lock"):
                return False
        else:
            run.act(self._place, True, what="tries a lock")
            if not self._free():
                return False
        self._held += 1
        self._owner = run.current
        return True

    def release(self) -> None:
        run = self._begun()
        if run.stopped:
            return
        if not self._held:
            raise RuntimeError("release unlocked lock")
        # No point before it: whoever could go on here can as well after it (a left mover, Lipton 1975).
        run.note(self._place, True)
        self._held -= 1
        if not self._held:
            self._owner = None

    def locked(self) -> bool:
        self._begun().act(self._place, False)
        return bool(self._held)

    def __enter__(self) -> bool:
        return self.acquire()

    def __exit__(self, *_: object) -> None:
        self.release()

    def give_up(self) -> int:
        """Release whatever is held, for a condition's wait."""
        run = self._begun()
        if self._owner is not run.current and not run.quiet:
            raise RuntimeError("cannot wait on un-acquired lock")
        run.note(self._place, True)
        held, self._held, self._owner = self._held, 0, None
        return held

    def take_back(self, held: int) -> None:
        run = self._begun()
        run.act(self._place, True, self._ready_for(None), what="takes a lock back")
        self._held, self._owner = held, run.current

    def mine(self) -> bool:
        run = self._begun()
        return bool(self._held) and self._owner is run.current


class _RLock(_Lock):
    _kind = "rlock"
    _again = True


class _Waiter:
    __slots__ = ("told",)

    def __init__(self) -> None:
        self.told = False


class _Condition(_Primitive):
    _kind = "condition"
    _rlock: type[_RLock]

    def __init__(self, lock: _Lock | None = None) -> None:
        super().__init__()
        self._lock = lock if lock is not None else self._rlock()
        self.acquire, self.release = self._lock.acquire, self._lock.release

    def _reset(self) -> None:
        self._waiters: list[_Waiter] = []

    def __enter__(self) -> bool:
        return self._lock.acquire()

    def __exit__(self, *_: object) -> None:
        self._lock.release()

    def wait(self, timeout: float | None = None, truth: Ready | None = None) -> bool:
        run = self._begun()
        me = _Waiter()
        self._waiters.append(me)
        held = self._lock.give_up()
        run.note(self._place, True)
        deadline = None if timeout is None else run.now + max(0.0, timeout)
        told = run.act(self._place, True, lambda: me.told, deadline, "waits for a condition", truth)
        if not told:
            run.act(self._place, True, what="waits no longer")  # until here a notify may be spent on it
            if me in self._waiters:
                self._waiters.remove(me)
        self._lock.take_back(held)
        return told

    def wait_for(self, predicate: Callable[[], bool], timeout: float | None = None) -> bool:
        run = self._begun()
        until = None if timeout is None else run.now + timeout
        found = predicate()
        while not found:
            left = None if until is None else until - run.now
            if left is not None and left <= 0:
                break
            self.wait(left, lambda: bool(predicate()))
            found = predicate()
        return found

    def notify(self, count: int = 1) -> None:
        run = self._begun()
        if not self._lock.mine() and not run.stopped:
            raise RuntimeError("cannot notify on un-acquired lock")
        run.act(self._place, True, what="notifies")
        for waiter in self._waiters[:count]:
            waiter.told = True
        del self._waiters[:count]

    def notify_all(self) -> None:
        self._begun()
        self.notify(len(self._waiters) or 1)


class _Event(_Primitive):
    _kind = "event"

    def _reset(self) -> None:
        self._is = False

    def is_set(self) -> bool:
        self._begun().act(self._place, False, what="looks at an event")
        return self._is

    def set(self) -> None:
        self._begun().act(self._place, True, what="sets an event")
        self._is = True

    def clear(self) -> None:
        self._begun().act(self._place, True, what="clears an event")
        self._is = False

    def wait(self, timeout: float | None = None) -> bool:
        run = self._begun()
        deadline = None if timeout is None else run.now + max(0.0, timeout)
        return run.act(self._place, False, lambda: self._is, deadline, "waits for an event")


class _SimpleQueue(_Primitive):
    _kind = "queue"

    def _reset(self) -> None:
        self._items: deque[Any] = deque()

    def put(self, item: Any, block: bool = True, timeout: float | None = None) -> None:
        self._begun().act(self._place, True, what="puts into a queue")
        self._items.append(item)

    def put_nowait(self, item: Any) -> None:
        self.put(item)

    def get(self, block: bool = True, timeout: float | None = None) -> Any:
        run = self._begun()
        if not block:
            run.act(self._place, True, what="tries a queue")
            if not self._items:
                raise Empty
            return self._items.popleft()
        deadline = None if timeout is None else run.now + max(0.0, timeout)
        if not run.act(self._place, True, lambda: bool(self._items), deadline, "takes from a queue"):
            raise Empty
        return self._items.popleft()

    def get_nowait(self) -> Any:
        return self.get(block=False)

    def empty(self) -> bool:
        self._begun().act(self._place, False, what="looks at a queue")
        return not self._items

    def qsize(self) -> int:
        self._begun().act(self._place, False, what="looks at a queue")
        return len(self._items)

    @classmethod
    def __class_getitem__(cls, item: object) -> type:
        return cls


class _Thread:
    _stage: Stage

    def __init__(
        self, group: None = None, target: Callable[..., None] | None = None, name: str | None = None,
        args: Iterable[Any] = (), kwargs: dict[str, Any] | None = None, *, daemon: bool | None = None,
    ) -> None:  # fmt: skip
        self._target, self._args, self._kwargs = target, tuple(args), kwargs or {}
        self.name, self.daemon = name or "thread", bool(daemon)
        self.task: Task | None = None
        self.stack = -1
        """Bytes of its stack, as it was made."""

    def start(self) -> None:
        run, stage = self._stage.playing(), self._stage
        run.act(stage.stack_place, False, what=f"starts {self.name}")
        if stage.refusals and run.draw(2):
            stage.refusals -= 1
            raise RuntimeError("can't start new thread")
        self.stack = stage.stack
        target = self._target
        assert target is not None, "the product's threads have one"
        self.task = run.fork(self.name, lambda: target(*self._args, **self._kwargs), self.daemon)

    def join(self, timeout: float | None = None) -> None:
        run, task = self._stage.playing(), self.task
        assert task is not None, "started before"
        deadline = None if timeout is None else run.now + max(0.0, timeout)
        run.act(
            Place(("thread", "end"), always=True), False, lambda: task.done, deadline, f"joins {self.name}"
        )

    def is_alive(self) -> bool:
        return self.task is not None and not self.task.done


def _sub(base: type, stage: Stage, **more: object) -> Any:
    return type(base.__name__.lstrip("_"), (base,), {"_stage": stage, **more})


def threading_of(stage: Stage) -> types.ModuleType:
    """`threading`, as far as the product uses it; what is not here is an AttributeError, not the real one."""

    def stack_size(size: int = 0) -> int:
        run = stage.playing()
        run.act(stage.stack_place, True, what=f"sets the stack size to {size}")
        before, stage.stack = stage.stack, size
        return before

    module = types.ModuleType("threading")
    lock, rlock = _sub(_Lock, stage), _sub(_RLock, stage)
    found = {
        "Lock": lock, "RLock": rlock, "Condition": _sub(_Condition, stage, _rlock=rlock),
        "Event": _sub(_Event, stage), "Thread": _sub(_Thread, stage), "stack_size": stack_size,
        "active_count": lambda: sum(not x.done for x in stage.playing().tasks),
        "get_ident": threading.get_ident,
    }  # fmt: skip
    module.__dict__.update(found)
    return module


def queue_of(stage: Stage) -> types.ModuleType:
    """`queue`: SimpleQueue, and unbounded Queue where nobody joins it."""
    module = types.ModuleType("queue")
    made = _sub(_SimpleQueue, stage)
    module.__dict__.update({"SimpleQueue": made, "Queue": made, "Empty": Empty, "Full": Full})
    return module


def time_of(stage: Stage) -> types.ModuleType:
    """`time`: it passes only where a time-out is chosen or nothing else can go on."""

    def monotonic() -> float:
        run = stage.playing()
        run.act(run.clock, False)
        return run.now

    def sleep(seconds: float) -> None:
        run = stage.playing()
        run.act(run.clock, False, lambda: False, run.now + max(0.0, seconds), f"sleeps {seconds:g} s")

    module = types.ModuleType("time")
    found: dict[str, object] = {
        "monotonic": monotonic, "sleep": sleep, "time": lambda: EPOCH + monotonic(),
        "thread_time": lambda: 0.0, "perf_counter": monotonic,
    }  # fmt: skip
    module.__dict__.update(found)
    return module


# Containers and attributes


def containers_of(stage: Stage) -> dict[type, Any]:
    """For each kind of container one whose reads and writes are points."""

    def shared(base: Any, reads: str, writes: str) -> type:
        def wrapped(name: str, write: bool) -> Callable[..., object]:
            inner = getattr(base, name)

            def method(self: object, *args: object, **kwargs: object) -> object:
                stage.touch(self, getattr(self, "where", base.__name__), write, "shared")
                return inner(self, *args, **kwargs)

            return method

        def each(self: Any) -> Iterator[object]:
            stage.touch(self, getattr(self, "where", base.__name__), False, "shared")
            return iter(base.__iter__(self))

        made = {x: wrapped(x, False) for x in reads.split()} | {x: wrapped(x, True) for x in writes.split()}
        return type(f"Shared{base.__name__.title()}", (base,), {**made, "__iter__": each})

    return {
        set: shared(set, "__len__ __contains__ copy", "add discard remove pop clear update"),
        dict: shared(
            dict, "__len__ __contains__ __getitem__ get keys values items copy",
            "__setitem__ __delitem__ pop popitem clear update setdefault",
        ),
        deque: shared(deque, "__len__ __getitem__", "append appendleft extend pop popleft clear"),
        list: shared(list, "__len__ __getitem__ __contains__", "append extend insert pop remove clear"),
    }  # fmt: skip


def watch(cls: type, names: frozenset[str], stage: Stage, containers: dict[type, Any]) -> None:
    """Make each read and write of these attributes a point, and containers in any attribute shared ones."""
    plain: Any = cls
    plain_get: Callable[[object, str], object] = plain.__getattribute__
    plain_set: Callable[[object, str, object], None] = plain.__setattr__

    def get(self: object, name: str) -> object:
        if name in names:
            stage.touch(self, name, False, cls.__name__)
        return plain_get(self, name)

    def put(self: object, name: str, value: object) -> None:
        if name in names:
            stage.touch(self, name, True, cls.__name__)
        made = containers.get(type(value))
        if made is not None:
            value = made(value)
            if hasattr(value, "__dict__"):
                value.__dict__["where"] = f"{cls.__name__}.{name}"
        plain_set(self, name, value)

    cls.__getattribute__ = get  # type: ignore[assignment]
    cls.__setattr__ = put  # type: ignore[assignment]

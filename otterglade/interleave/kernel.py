"""Sockets, pipes and epoll for a listener under the scheduler: connections that come, speak and go."""

from __future__ import annotations

import errno
import os
import select
import socket
import types
from collections import deque

from .controlled import Stage
from .scheduler import Place


class Kernel:
    """What threads share through it: what is ready, by descriptor."""

    def __init__(self, stage: Stage) -> None:
        self.stage = stage
        self._place = Place(("kernel", "sockets"), always=True)
        self._next = 100
        self.pipes: dict[int, int] = {}
        """Bytes in a pipe, by its reading end; the writing end is one more."""
        self.waiting: dict[int, deque[Connection]] = {}
        """Connections to be accepted, by listening socket."""
        self.connections: dict[int, Connection] = {}

    def act(self, what: str, write: bool = True) -> None:
        self.stage.playing().act(self._place, write, what=what)

    def descriptor(self) -> int:
        self._next += 2
        return self._next

    def ready(self, fd: int) -> bool:
        if fd in self.pipes:
            return self.pipes[fd] > 0
        if fd in self.waiting:
            return bool(self.waiting[fd])
        found = self.connections.get(fd)
        return found is not None and (bool(found.sent) or found.ended)

    def wait(self, watched: dict[int, int], timeout: float) -> list[tuple[int, int]]:
        run = self.stage.playing()
        deadline = None if timeout < 0 else run.now + timeout
        ready = lambda: any(self.ready(x) for x in watched)  # noqa: E731 - asked by the scheduler
        if not run.act(self._place, False, ready, deadline, "polls"):
            return []
        return [(x, select.EPOLLIN) for x in sorted(watched) if self.ready(x)]


class Connection:
    """One end of a connection; `sent`: what its peer has said, `heard`: what it was told."""

    family = socket.AF_INET

    def __init__(self, kernel: Kernel, sent: bytes) -> None:
        self._kernel, self.sent, self.heard = kernel, sent, b""
        self.fd = kernel.descriptor()
        self.ended = self.closed = self.aborted = False
        kernel.connections[self.fd] = self

    def _open(self, what: str) -> None:
        self._kernel.act(what)
        if self.closed:
            raise OSError(errno.EBADF, f"{what}: closed")

    def settimeout(self, limit: float | None) -> None: ...

    def setsockopt(self, *_: object) -> None: ...

    def fileno(self) -> int:
        return -1 if self.closed else self.fd

    def recv(self, most: int, flags: int = 0) -> bytes:
        self._open("reads a connection")
        if not self.sent and not self.ended and not self.aborted:
            raise BlockingIOError(errno.EAGAIN, "nothing there")
        data, self.sent = self.sent, b""
        return data

    def send(self, data: bytes, flags: int = 0) -> int:
        self._open("writes to a connection")
        self.heard += data
        return len(data)

    def shutdown(self, how: int) -> None:
        self._open("shuts a connection down")
        self.aborted = self.aborted or how == socket.SHUT_RDWR

    def close(self) -> None:
        self._kernel.act("closes a connection")
        self.closed = True


class Listening:
    """A listening socket."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel, self.fd = kernel, kernel.descriptor()
        self._shut = self._closed = False
        kernel.waiting[self.fd] = deque()

    def come(self, connection: Connection) -> None:
        """A connection reaches it; one that it does not listen to any more is refused."""
        self._kernel.act("connects")
        if self._shut or self._closed:
            connection.closed = True
        else:
            self._kernel.waiting[self.fd].append(connection)

    def getsockname(self) -> tuple[str, int]:
        return "127.0.0.1", 1

    def fileno(self) -> int:
        return -1 if self._closed else self.fd

    def listen(self, backlog: int) -> None: ...

    def setblocking(self, flag: bool) -> None: ...

    def accept(self) -> tuple[Connection, tuple[str, int]]:
        self._kernel.act("accepts")
        if self._closed or self._shut:
            raise OSError(errno.EINVAL, "does not listen")
        if not self._kernel.waiting[self.fd]:
            raise BlockingIOError(errno.EAGAIN, "nobody waits")
        return self._kernel.waiting[self.fd].popleft(), ("127.0.0.1", 2)

    def shutdown(self, how: int) -> None:
        self._kernel.act("stops listening")
        self._shut = True
        for left in self._kernel.waiting[self.fd]:
            left.closed = True  # the system resets what was not accepted
        self._kernel.waiting[self.fd].clear()

    def close(self) -> None:
        self._kernel.act("closes the listening socket")
        self._closed = True


def modules(stage: Stage) -> dict[str, types.ModuleType]:
    """`select` and `os`, as far as a listener uses them; the kernel is the scene's, by the hook `kernel`."""

    def kernel() -> Kernel:
        found = stage.hooks["kernel"]()
        assert isinstance(found, Kernel), "made by the scene"
        return found

    class Epoll:
        def __init__(self) -> None:
            self._watched: dict[int, int] = {}
            self._closed = False

        def register(self, fd: int, mask: int) -> None:
            if fd < 0 or fd in self._watched:
                raise OSError(errno.EBADF, "register")
            self._watched[fd] = mask

        def unregister(self, fd: int) -> None:
            if fd not in self._watched:
                raise FileNotFoundError(errno.ENOENT, "unregister")
            del self._watched[fd]

        def poll(self, timeout: float = -1) -> list[tuple[int, int]]:
            return kernel().wait(self._watched, timeout)

        def close(self) -> None:
            self._closed = True

    def pipe2(flags: int) -> tuple[int, int]:
        fd = kernel().descriptor()
        kernel().pipes[fd] = 0
        return fd, fd + 1

    def write(fd: int, data: bytes) -> int:
        kernel().act("writes to a pipe")
        if fd - 1 not in kernel().pipes:
            raise OSError(errno.EBADF, "write")
        kernel().pipes[fd - 1] += len(data)
        return len(data)

    def read(fd: int, most: int) -> bytes:
        kernel().act("reads a pipe")
        count = min(most, kernel().pipes[fd])
        kernel().pipes[fd] -= count
        return b"x" * count

    def close(fd: int) -> None:
        kernel().act("closes a pipe")
        kernel().pipes.pop(fd, None)

    ours, polls = types.ModuleType("os"), types.ModuleType("select")
    ours.__dict__.update(
        {"pipe2": pipe2, "write": write, "read": read, "close": close, "O_NONBLOCK": os.O_NONBLOCK,
         "O_CLOEXEC": os.O_CLOEXEC}
    )  # fmt: skip
    polls.__dict__.update({"epoll": Epoll, "EPOLLIN": select.EPOLLIN})
    return {"os": ours, "select": polls}

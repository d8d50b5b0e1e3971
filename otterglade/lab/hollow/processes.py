"""The processes of a hollow fleet: each started from a file, said to be ready, and ended by its id."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

READY_SECONDS = 60.0
"""That a process may take to say that it is ready, on a busy machine."""
END_SECONDS = 20.0
"""That a process may take to end when asked."""


class ProcessError(RuntimeError):
    """A process did not come up or did not end, with what it said."""


@dataclass(slots=True)
class Child:
    """One process; its standard output and errors go to files in the fleet's folder."""

    name: str
    process: subprocess.Popen[bytes]
    output: Path
    log: Path
    read_bytes: int = 0
    """Of its output, those that `new_lines` has returned."""

    @property
    def pid(self) -> int:
        """Its id."""
        return self.process.pid

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self.process.poll() is None

    def new_lines(self) -> list[bytes]:
        """Whole lines of its output since the last call."""
        with self.output.open("rb") as file:
            file.seek(self.read_bytes)
            data = file.read()
        whole = data[: data.rfind(b"\n") + 1]
        self.read_bytes += len(whole)
        return whole.splitlines()

    def wait_ready(self, deadline: float) -> bytes:
        """Its first line. Raises ProcessError where there is none by the monotonic `deadline`."""
        while time.monotonic() < deadline and self.running:
            lines = self.new_lines()
            if lines:
                return lines[0]
            time.sleep(0.02)
        raise ProcessError(f"{self.name}: not ready: {self.last_words()}")

    def last_words(self) -> str:
        """The end of its log."""
        return self.log.read_text(errors="replace")[-2000:]

    def tell(self, line: bytes) -> None:
        """Write a line to its standard input. Raises OSError where it has ended."""
        assert self.process.stdin is not None, "started with a pipe"
        self.process.stdin.write(line + b"\n")
        self.process.stdin.flush()

    def kill(self) -> None:
        """End it at once."""
        self.process.kill()
        self.process.wait()

    def stand_still(self) -> None:
        """Stop it until `go_on`."""
        self.process.send_signal(signal.SIGSTOP)

    def go_on(self) -> None:
        """Continue it."""
        self.process.send_signal(signal.SIGCONT)

    def end(self) -> None:
        """Ask it to end."""
        if self.running:
            self.process.terminate()


@dataclass(slots=True)
class Children:
    """All processes of a fleet, and the folder of their files."""

    folder: Path
    running: dict[str, Child] = field(default_factory=dict)
    """By name: the latest of that name."""
    _started: int = 0

    def start(self, name: str, module: str, *arguments: str) -> Child:
        """Start a module with arguments. Raises OSError."""
        self._started += 1
        output = self.folder / f"{name}-{self._started}.out"
        log = self.folder / f"{name}-{self._started}.log"
        with output.open("wb") as out, log.open("wb") as errors:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.PIPE, stdout=out, stderr=errors, env=os.environ | {"PYTHONHASHSEED": "0"},
            )  # fmt: skip
        child = Child(name, process, output, log)
        self.running[name] = child
        return child

    def end_all(self) -> None:
        """End every process, those that do not end when asked by force."""
        for child in self.running.values():
            if child.running:
                child.go_on()
                child.end()
        deadline = time.monotonic() + END_SECONDS
        for child in self.running.values():
            try:
                child.process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                child.kill()

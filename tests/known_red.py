"""KNOWN-RED.txt at the root: tests that fail for a real fault which is not mended yet, for all to see.

A line a test: `tests/test_x.py::test_y | cause | #39`; blank lines and lines that begin with # are comments.
These tests, and only these, are expected to fail, strictly: one that passes again, is skipped, or breaks
before or after its own call fails the run. No file: no known red.
"""

from __future__ import annotations

import re
from collections.abc import Generator
from dataclasses import dataclass
from fnmatch import fnmatch
from pathlib import Path
from typing import Any

import pytest

NAME = "KNOWN-RED.txt"
MOST = 3
"""Lines at most: whoever meets a fourth mends one first."""
TEST = re.compile(r"(?P<file>[\w./-]+\.py)::(?P<names>\w+(?:::\w+)*)(?:\[.*\])?")


@dataclass(frozen=True)
class Known:
    test: str
    cause: str
    issue: str

    @property
    def file(self) -> str:
        return self.test.partition("::")[0]

    @property
    def names(self) -> list[str]:
        """Of class and function, without parameters."""
        return self.test.partition("[")[0].split("::")[1:]


def read(path: Path) -> list[Known]:
    """The lines of the file. Raises pytest.UsageError with the line that is wrong."""
    try:
        lines = path.read_bytes().decode().splitlines()
    except FileNotFoundError:
        return []
    except (OSError, UnicodeDecodeError) as error:
        raise pytest.UsageError(f"{NAME}: can't be read: {error}") from None
    found: dict[str, Known] = {}
    for number, line in enumerate(lines, 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = line.rsplit(" | ", 2)  # a parameter may hold a bar, a cause not
        if (
            len(fields) != 3
            or any(not x or x != x.strip() for x in fields)
            or not TEST.fullmatch(fields[0])
            or not re.fullmatch(r"#[1-9]\d*", fields[2])
        ):
            raise pytest.UsageError(
                f"{NAME}:{number}: {line!r} is not of the form 'tests/test_x.py::test_y | cause | #39'"
            )
        if fields[0] in found:
            raise pytest.UsageError(f"{NAME}:{number}: {fields[0]} is there twice")
        found[fields[0]] = Known(*fields)
        if len(found) > MOST:
            raise pytest.UsageError(f"{NAME}:{number}: more than {MOST} lines: mend one first")
    return list(found.values())


class KnownRed:
    """Marks the tests that are listed, sees that each fails as it should, and prints them."""

    def __init__(self, config: pytest.Config) -> None:
        """Raises pytest.UsageError for a file that can't be read."""
        self.config = config
        self.known = {x.test: x for x in read(config.rootpath / NAME)}
        self._broken = False
        self._failed: set[str] = set()

    # Collection: in each worker, or in the one process

    def pytest_collectreport(self, report: pytest.CollectReport) -> None:
        self._broken |= report.failed

    @pytest.hookimpl(tryfirst=True)  # before -k, -m and --deselect take tests out
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        for item in items:
            known = self.known.get(item.nodeid)
            if known is not None:
                mark = pytest.mark.xfail(reason=f"{known.cause} {known.issue}", strict=True)
                item.add_marker(mark, append=False)  # before a mark of the test's own, which may be lax
        collected = {x.nodeid for x in items}
        missing = [x.test for x in self.known.values() if x.test not in collected and self._due(x, items)]
        if not missing or self._broken:  # a file that can't be collected fails the run anyhow, and says why
            return
        text = f"{NAME}: no such test: {', '.join(missing)}"
        if not hasattr(self.config, "workeroutput"):
            raise pytest.UsageError(text)
        self.config.workeroutput["known_red"] = text  # a worker's own error would be told as a crash
        items.clear()

    def _due(self, known: Known, items: list[pytest.Item]) -> bool:
        """Whether a test that was not collected should have been: the run was to hold its whole file, or its
        file was read and has no such name. A run of other files, or of other tests of it, says nothing."""
        path = (self.config.rootpath / known.file).resolve()
        if not path.is_file():
            return True
        for item in items:
            if item.path.resolve() == path and (module := item.getparent(pytest.Module)) is not None:
                found: Any = module.obj
                for name in known.names:
                    found = getattr(found, name, None)
                if found is None:
                    return True
        if self.config.getoption("lf", False) or any(self._left_out(path)):
            return False
        given = [Path(self.config.invocation_params.dir, x) for x in self.config.args if "::" not in x]
        return any(path.is_relative_to(x.resolve()) for x in given)

    def _left_out(self, path: Path) -> Generator[bool]:
        for given in self.config.getoption("ignore") or []:
            yield path.is_relative_to(Path(self.config.invocation_params.dir, given).resolve())
        for given in self.config.getoption("ignore_glob") or []:
            yield fnmatch(str(path), str(Path(self.config.invocation_params.dir, given)))

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node: Any) -> None:
        text = getattr(node, "workeroutput", {}).get("known_red")
        if text:
            raise pytest.UsageError(text)

    # Runs

    @pytest.hookimpl(wrapper=True, tryfirst=True)
    def pytest_runtest_makereport(
        self, item: pytest.Item, call: pytest.CallInfo[None]
    ) -> Generator[None, pytest.TestReport, pytest.TestReport]:
        """Only a failure of the test's own call is the one that is listed."""
        report = yield
        if item.nodeid not in self.known or not report.skipped:
            return report
        assert call.excinfo is not None, "an exception is what skips a test, or fails it as expected"
        skips = call.excinfo.errisinstance((pytest.skip.Exception, pytest.xfail.Exception))
        if call.when != "call" or skips:
            report.outcome = "failed"
            report.__dict__.pop("wasxfail", None)
            if skips:
                report.longrepr = f"listed in {NAME}, and not run to its end: {call.excinfo.value}"
        return report

    # The controller, or the one process

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if report.when == "call" and report.skipped and hasattr(report, "wasxfail"):
            self._failed.add(report.nodeid)

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for test, known in self.known.items():
            state = "failed" if test in self._failed else "has not failed here"
            terminalreporter.write_line(f"known red: {test}: {known.cause} ({known.issue}): {state}")

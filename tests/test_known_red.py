"""KNOWN-RED.txt: what is listed must fail, and nothing else may. Runs of pytest on a small suite."""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from . import known_red

RED = "tests/test_some.py::test_red | a fault | #39"
SUITE = {
    "tests/test_some.py": """
import pytest

@pytest.fixture
def breaks_before():
    raise AssertionError("before")

@pytest.fixture
def breaks_after():
    yield
    raise AssertionError("after")

def test_red(): assert False, "the fault"
def test_green(): pass
def test_set_up(breaks_before): assert False
def test_teardown(breaks_after): assert False
def test_skips(): pytest.skip("not here")
def test_lax(): pytest.xfail("perhaps")
@pytest.mark.skip(reason="never")
def test_marked(): assert False
@pytest.mark.xfail(strict=False, reason="lax")
def test_own_mark(): pass
@pytest.mark.parametrize("x", ["a | b", "c"])
def test_bar(x): assert x == "c"
""",
    "tests/test_other.py": "def test_other(): pass\n",
}
ALONE = "test_red or test_green or test_other"


@pytest.fixture
def suite(tmp_path: Path) -> Path:
    (tmp_path / "tests").mkdir()
    for name in ("conftest.py", "known_red.py", "__init__.py"):
        shutil.copy(Path(__file__).parent / name, tmp_path / "tests" / name)
    for name, text in SUITE.items():
        (tmp_path / name).write_text(text)
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    return tmp_path


def run(suite: Path, listed: str | None, *arguments: str) -> tuple[int, str]:
    """The exit code and all that was printed."""
    if listed is not None:
        (suite / known_red.NAME).write_text(listed)
    env = {k: v for k, v in os.environ.items() if not k.startswith("PYTEST_")}
    env["PYTEST_DISABLE_PLUGIN_AUTOLOAD"] = "1"  # what else is installed takes a second to load
    found = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *arguments],
        cwd=suite, env=env, capture_output=True, text=True, timeout=60.0,
    )  # fmt: skip
    return found.returncode, found.stdout + found.stderr


both_ways = pytest.mark.parametrize("workers", [(), ("-p", "xdist", "-n", "2")], ids=["alone", "n2"])


@both_ways
def test_what_is_listed_fails_and_is_printed_once(suite: Path, workers: tuple[str, ...]) -> None:
    code, said = run(suite, f"# mended next\n\n{RED}\n", "-k", ALONE, *workers)
    assert code == 0 and "2 passed" in said and "1 xfailed" in said, said
    assert re.findall("known red: .*", said) == [
        "known red: tests/test_some.py::test_red: a fault (#39): failed"
    ]


@both_ways
def test_without_a_list_nothing_is_expected_or_printed(suite: Path, workers: tuple[str, ...]) -> None:
    code, said = run(suite, None, "-k", ALONE, *workers)
    assert code == 1 and "1 failed, 2 passed" in said and "known red" not in said


NOT_ITS_CALL = (
    {"test_green": r"XPASS\(strict\)", "test_set_up": "Error: before", "test_skips": "its end: not here"},
    {"test_teardown": "Error: after", "test_marked": "its end: never", "test_lax": "its end: perhaps"},
    {"test_own_mark": r"XPASS\(strict\)"},
)


@both_ways
@pytest.mark.parametrize("told", NOT_ITS_CALL, ids=" ".join)
def test_only_a_failure_of_the_test_itself_is_the_one_listed(
    suite: Path, workers: tuple[str, ...], told: dict[str, str]
) -> None:
    listed = "\n".join(f"tests/test_some.py::{x} | a fault | #39" for x in told)
    code, said = run(suite, listed, "-k", " or ".join(told), *workers)
    assert code == 1, said
    for test, text in told.items():
        assert re.search(f"(FAILED|ERROR) tests/test_some.py::{test}", said), said
        assert re.search(text, said), said


def test_a_parameter_is_listed_alone_and_may_hold_a_bar(suite: Path) -> None:
    code, said = run(suite, "tests/test_some.py::test_bar[a | b] | a fault | #39", "-k", "test_bar")
    assert code == 0 and "1 passed" in said and "1 xfailed" in said, said
    code, said = run(suite, "tests/test_some.py::test_bar | a fault | #39", "-k", "test_bar")
    assert code == 4 and "no such test: tests/test_some.py::test_bar" in said


@both_ways
@pytest.mark.parametrize("listed", ["tests/test_some.py::test_gone", "tests/test_gone.py::test_red"])
def test_a_line_that_names_no_test_stops_the_run(suite: Path, workers: tuple[str, ...], listed: str) -> None:
    code, said = run(suite, f"{listed} | a fault | #39", "-k", ALONE, *workers)
    assert code == 4 and f"ERROR: KNOWN-RED.txt: no such test: {listed}" in said, said
    assert "passed" not in said and "INTERNALERROR" not in said


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["tests/test_other.py"], 0),  # of a file that is not run nothing is known
        (["tests/test_some.py::test_green"], 0),
        (["--ignore=tests/test_some.py"], 0),
        (["--ignore-glob=tests/test_so*"], 0),
        (["--deselect=tests/test_some.py::test_red", "-k", ALONE], 0),
        (["-k", "test_other"], 0),
        (["tests/test_some.py", "-k", "test_green"], 0),
        (["tests", "-k", "test_green"], 0),
    ],
)
def test_a_run_of_a_part_asks_for_no_more(suite: Path, arguments: list[str], code: int) -> None:
    assert run(suite, RED, *arguments)[0] == code
    gone = RED.replace("test_red", "test_gone")
    reads = not any("ignore" in x or x == "tests/test_other.py" for x in arguments)
    assert run(suite, gone, *arguments)[0] == (4 if reads else 0)


def test_a_file_that_cannot_be_collected_says_why_itself(suite: Path) -> None:
    (suite / "tests/test_some.py").write_text("import nothing_of_the_kind\n")
    code, said = run(suite, RED)
    assert code == 2 and "nothing_of_the_kind" in said and "no such test" not in said


WRONG = {
    "two fields": "tests/test_some.py::test_red | #39",
    "no issue": "tests/test_some.py::test_red | a fault | 39",
    "no cause": "tests/test_some.py::test_red |  | #39",
    "no test": "tests/test_some.py | a fault | #39",
    "bar in the cause": "tests/test_some.py::test_red | a | fault | #39",
    "other bars": "tests/test_some.py::test_red|a fault|#39",
    "space ahead": f" {RED}",
    "twice": f"{RED}\n{RED}",
    "a fourth": "\n".join(RED.replace("red", f"red{x}") for x in range(4)),
}


@pytest.mark.parametrize("kind", WRONG)
def test_a_line_that_cannot_be_read_is_named(tmp_path: Path, kind: str) -> None:
    (tmp_path / known_red.NAME).write_text(f"# first\n{WRONG[kind]}\n")
    with pytest.raises(pytest.UsageError, match=rf"^KNOWN-RED.txt:{2 + WRONG[kind].count(chr(10))}: "):
        known_red.read(tmp_path / known_red.NAME)


@both_ways
def test_a_list_that_cannot_be_read_stops_the_run(suite: Path, workers: tuple[str, ...]) -> None:
    for listed in (WRONG["twice"], WRONG["a fourth"], "\0"):
        code, said = run(suite, listed, *workers)
        assert code == 4 and "ERROR: KNOWN-RED.txt:" in said and "passed" not in said, said
    (suite / known_red.NAME).write_bytes(b"\xff\xfe")
    code, said = run(suite, None, *workers)
    assert code == 4 and "ERROR: KNOWN-RED.txt: can't be read" in said, said


def test_the_list_at_the_root_can_be_read() -> None:
    assert len(known_red.read(Path(__file__).parent.parent / known_red.NAME)) <= known_red.MOST

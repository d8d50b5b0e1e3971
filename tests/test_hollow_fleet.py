"""Hollow fleets: real control machines and subscribers over sockets, and planted faults."""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner
from click.testing import Result as ClickResult

from otterglade.cli.main import main
from otterglade.lab.hollow.gateways import SubscriberPath
from otterglade.lab.hollow.layout import Layout
from otterglade.lab.hollow.play import play
from otterglade.lab.hollow.result import Result

GATEWAYS, RELAYS, SECONDS = 200, 4, 15.0
LIMIT_SECONDS = 150.0
PLANTED = Layout(
    gateways=6, relays=3, seconds=4.0, seed=1, changes_per_day=100_000.0, drain_seconds=6.0
)  # some five changes


def say(text: str) -> None:
    print(text, file=sys.stderr)


def output_of(command: list[str]) -> str:
    """What a command prints that must succeed. Where it takes too long it is asked to end, so that it ends
    its own processes."""
    process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
    try:
        output, errors = process.communicate(timeout=LIMIT_SECONDS)
    except subprocess.TimeoutExpired:
        process.terminate()
        output, errors = process.communicate()
    assert process.returncode == 0, errors + output
    return output


@pytest.mark.long
def test_two_hundred_gateways_act_on_every_change_in_time() -> None:
    command = [
        sys.executable, "-m", "otterglade.cli.main", "fleet", str(GATEWAYS), "--hollow",
        "--relays", str(RELAYS), "--seconds", str(SECONDS), "--seed", "1", "--json",
    ]  # fmt: skip
    result = json.loads(output_of(command).splitlines()[-1])
    assert result["gateways"] == GATEWAYS
    assert result["relays"] == RELAYS
    assert result["changes"] > 5
    assert result["late"] == 0
    assert result["stale"] == 0
    assert result["unverified"] == 0
    assert result["in_force_max_s"] < 18.0
    assert result["bytes_s_max"] < 14_000.0
    assert result["records"] is None


@pytest.mark.long
@pytest.mark.parametrize("name", ["GoesBack", "TakesAnything"])
def test_a_subscriber_that_acts_on_what_it_should_not_is_stale(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    result = play_planted(name, monkeypatch)
    assert result.stale > 0
    assert not result.sound


@pytest.mark.long
def test_a_subscriber_that_never_applies_is_late(monkeypatch: pytest.MonkeyPatch) -> None:
    result = play_planted("NeverApplies", monkeypatch)
    assert result.late == result.changes
    assert result.late_at_gateways == result.changes * PLANTED.gateways
    assert not result.sound


def play_planted(name: str, monkeypatch: pytest.MonkeyPatch) -> Result:
    """A small fleet whose subscribers have a planted fault."""
    root = str(Path(__file__).parent.parent)
    monkeypatch.setenv("PYTHONPATH", os.pathsep.join([root, os.environ.get("PYTHONPATH", "")]))
    result = play(PLANTED, say, SubscriberPath("tests.planted_hollow", name))
    assert result.records is not None, "the records of a finding are kept"
    shutil.rmtree(result.records)
    return result


def fleet_command(*arguments: str) -> ClickResult:
    """The command without any process of a fleet."""
    return CliRunner().invoke(main, ["fleet", *arguments])


def test_a_fleet_that_can_not_be_played_is_refused_with_the_reason() -> None:
    refused = fleet_command("200", "--hollow", "--relays", "4", "--seconds", "30", "--faults")
    assert refused.exit_code == 2
    assert "with faults: 90 or more" in refused.output
    assert fleet_command("200", "--hollow", "--relays", "2").exit_code == 2


def test_thousands_of_full_gateways_are_refused() -> None:
    refused = fleet_command("3200", "--seconds", "5")
    assert refused.exit_code == 2
    assert "allowed: 400 at most without --hollow" in refused.output

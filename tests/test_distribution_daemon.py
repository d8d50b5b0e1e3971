"""A gateway that takes its hosts from control machines: all of them are processes."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

from otterglade.cli.main import main
from otterglade.config.schema import Distribution
from otterglade.config.script import ConfigError, parse
from otterglade.core.distribution.messages import ProposeAnswer
from otterglade.gateway.distribution.host_source import HostSource
from otterglade.gateway.fleet import HostList
from otterglade.lab.stage import Layout, Process, Stage
from otterglade.net.http import ExchangeError
from otterglade.obs.logs import logger
from otterglade.standins.player import Browser
from otterglade.standins.record import read
from tests.control_fleet import BOUND_SECONDS, KEY, ControlFleet, control_fleet, until

LAYOUT = Layout(hosts=3, racks=1, titles=2, title_seconds=6.0, segment=0.5, by_probe=False, log="debug")
RELAY = "r0"
REGISTRY = "registry(address = '127.0.0.1:1', wait = 5.0, retry = 0.2)\n"
TOKENS = f"tokens(keys = {{'lab': '{KEY.hex()}'}}, sign_with = 'lab')\n"
AFTER_DRAIN = 10
"""Set-ups elsewhere, later than the grace, that show where sessions go."""
QUICK_SPACING = 0.05


def distribution_block(addresses: dict[str, str]) -> str:
    """The relay is nearer to the gateway than the voters."""
    places = {x: "east/z0" for x in addresses if x != RELAY}
    return (
        f"distribution(machines = {addresses}, places = {places}, region = 'east', zone = 'z1',\n"
        f"             wait = 2.0, spacing = {QUICK_SPACING})\n"
    )


def script(addresses: dict[str, str], state: str, more: str = "") -> str:
    """A gateway's script with the distribution in place of the registry."""
    text = LAYOUT.script("g0", "127.0.0.1:1", state, "127.0.0.1:0")
    assert REGISTRY in text, "the block that is replaced"
    return text.replace(REGISTRY, distribution_block(addresses) + TOKENS + more)


class Site:
    """Control machines, hosts and one gateway, started by the test in the order that it wants."""

    def __init__(self, folder: Path, fleet: ControlFleet) -> None:
        self.folder, self.fleet = folder, fleet
        self.stage = Stage(LAYOUT, folder / "stage")
        self.script = folder / "gateway.star"
        self.script.write_text(script(fleet.addresses, str(folder / "state")))
        self.gateway: Process | None = None
        self._runs = 0
        self._viewers = 0
        self._browser = Browser()

    def start_hosts(self) -> None:
        starting = [self.stage._start_host(n, cold=False) for n in range(LAYOUT.hosts)]
        for number, process in enumerate(starting):
            self.stage.hosts[number] = self.stage._ready(process)

    def start_gateway(self) -> None:
        self._runs += 1
        process = self.stage._spawn(f"gateway-{self._runs}", "run", str(self.script))
        self.gateway = self.stage._ready(process)

    def kill_gateway(self) -> None:
        assert self.gateway is not None
        self.gateway.kill()

    def propose_host(self, number: int, state: str = "ready", **changes: Any) -> ProposeAnswer:
        entry = {
            "id": number, "name": f"box-{number}", "address": self.stage.hosts[number].address,
            "state": state, "cell": number,
        } | changes  # fmt: skip
        answer = self.fleet.propose(f"host/{number}", json.dumps(entry))
        assert answer.accepted, answer.reason
        return answer

    @property
    def address(self) -> str:
        assert self.gateway is not None
        return self.gateway.address

    def status(self) -> dict[str, Any]:
        try:
            answer = self._browser.get(f"http://{self.address}/status", time.monotonic() + BOUND_SECONDS)[0]
        except ExchangeError:
            return {}
        return dict(json.loads(answer.body))

    def distribution(self) -> dict[str, Any]:
        return dict(self.status().get("distribution", {}))

    def in_force(self, answer: ProposeAnswer) -> float:
        """Wait until the gateway acts upon a revision; a time by which it did."""
        until(lambda: self.distribution().get("in_force") == str(answer.revision), f"{answer.revision}")
        return time.monotonic()

    def watch(self) -> int:
        """A new viewer comes; the status of the answer."""
        self._viewers += 1
        url = f"http://{self.address}/watch/timelapse/job-0.m3u8?viewer=w{self._viewers}"
        return self._browser.get(url, time.monotonic() + BOUND_SECONDS)[0].status

    def setups(self, number: int) -> list[float]:
        """When sessions were set up at a host."""
        events = read(self.stage.folder / f"host-{number}.jsonl")
        return [float(x["t"]) for x in events if x["ev"] == "setup" and x.get("ran")]

    def watch_until(self, condition: Any, what: str) -> None:
        """Viewers come, one after another, until something holds."""

        def comes() -> Any:
            self.watch()
            return condition()

        until(comes, what)


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    with control_fleet(tmp_path / "control", voters=3, relays=1) as fleet:
        made = Site(tmp_path, fleet)
        try:
            made.start_hosts()
            yield made
        finally:
            made.stage.stop()
            for process in made.stage.processes:
                if process.child.poll() is None:
                    process.kill()


def fleet_status(address: str) -> Result:
    return CliRunner().invoke(main, ["fleet", "status", address])


def test_a_host_that_is_proposed_gets_sessions_and_a_drained_one_nothing_after_the_grace(site: Site) -> None:
    site.propose_host(0)
    first = site.propose_host(1)
    site.start_gateway()
    site.in_force(first)
    site.watch_until(lambda: site.setups(0) and site.setups(1), "sessions at both hosts")
    assert not site.setups(2), "it is not listed yet"
    assert site.distribution()["relay"] == RELAY

    added = site.propose_host(2)
    site.in_force(added)
    site.watch_until(lambda: site.setups(2), "a session at the host that was added")

    drained = site.propose_host(0, "draining")
    late = site.in_force(drained) + LAYOUT.grace

    def enough_elsewhere() -> bool:
        return sum(x > late for n in (1, 2) for x in site.setups(n)) >= AFTER_DRAIN

    site.watch_until(enough_elsewhere, "sessions later than the grace")
    assert [x for x in site.setups(0) if x > late] == []
    assert site.status()["hosts"]["box-0"]["state"] == "draining"
    told = fleet_status(site.address)
    assert (told.exit_code, f"; revision {drained.revision} in force" in told.output) == (0, True), (
        told.output
    )


def test_a_bad_entry_rejects_its_revision_whole_and_the_writer_names_it(site: Site) -> None:
    good = site.propose_host(0)
    site.start_gateway()
    site.in_force(good)
    bad = site.propose_host(1, cell=-1)
    rejection = until(lambda: site.distribution().get("rejection"), "a rejection")
    assert rejection["revision"] == str(bad.revision)
    assert rejection["reason"].startswith("host/1: ")
    assert "cell" in rejection["reason"]

    def named() -> list[dict[str, Any]]:
        report = site.fleet.status(site.fleet.writer()).get("report", {})
        return [x for x in report.get("stragglers", ()) if x["name"] == "g0"]

    straggler = until(lambda: [x for x in named() if x["reason"]], "the reason at the writer")[0]
    assert straggler["reason"] == rejection["reason"]
    assert straggler["in_force"] == str(good.revision)

    assert site.distribution()["in_force"] == str(good.revision)
    assert list(site.status()["hosts"]) == ["box-0"]
    assert site.watch() == 200
    told = fleet_status(site.address).output
    assert f"revision {good.revision} in force; {bad.revision} rejected: host/1: " in told
    # A later revision with another good change is still rejected as a whole, as the bad entry is in it.
    worse = site.propose_host(2)
    until(lambda: site.distribution()["rejection"]["revision"] == str(worse.revision), "another rejection")
    assert list(site.status()["hosts"]) == ["box-0"]
    log = (site.stage.folder / "gateway-1.log").read_text()
    assert log.count('"revision_rejected"') == 2, "each is tried once"

    mended = site.propose_host(1)
    site.in_force(mended)
    assert site.distribution()["rejection"] is None
    assert list(site.status()["hosts"]) == ["box-0", "box-1", "box-2"]


def test_a_gateway_restarted_without_any_control_machine_serves_from_disk(site: Site) -> None:
    site.propose_host(0, "draining")
    last = site.propose_host(1)
    site.start_gateway()
    site.in_force(last)
    until(lambda: (site.folder / "state" / "revision").exists(), "the revision on disk")
    until(lambda: _acting(site) == 1, "an acknowledgement, after which it is on disk")
    site.fleet.kill(*site.fleet.running)
    assert site.watch() == 200, "it serves on"
    site.kill_gateway()
    site.start_gateway()
    assert site.watch() == 200
    told = site.distribution()
    assert (told["in_force"], told["age_s"]) == (str(last.revision), None)
    assert until(lambda: site.distribution()["last_failure"], "why there is no answer")
    assert site.status()["hosts"]["box-0"]["state"] == "draining"
    assert site.setups(0) == []

    site.fleet.start()
    later = site.propose_host(2)
    site.in_force(later)
    site.watch_until(lambda: site.setups(2), "a session at a host that was added later")


def _acting(site: Site) -> int:
    """Gateways that act upon the relay's head, as the relay knows it."""
    return int(site.fleet.status(RELAY)["report"]["acting"])


class Lists:
    """Takes lists in place of a decision loop, which takes its time."""

    def __init__(self) -> None:
        self.given: list[tuple[HostList, threading.Event]] = []

    def hand_over(self, listed: HostList, taken: threading.Event) -> None:
        self.given.append((listed, taken))


def test_a_revision_is_acknowledged_only_after_the_decision_loop_has_taken_it(tmp_path: Path) -> None:
    lists, log = Lists(), tmp_path / "log"
    with control_fleet(tmp_path / "control", voters=1, relays=0) as fleet, log.open("a") as log_file:
        source = HostSource(
            Distribution(machines=fleet.addresses, region="east", zone="z0", spacing=QUICK_SPACING),
            fleet.envelope, name="g0", run="run", folder=tmp_path, hand_over=lists.hand_over,
            log=logger("debug", "json", log_file), on_failure=lambda *_: None, seed=1,
        )  # fmt: skip
        source.start()
        try:
            answer = fleet.propose("host/7", '{"id":7,"name":"a","address":"h:1","state":"ready","cell":0}')
            until(lambda: lists.given, "a list")
            until(lambda: log.read_text().count('"revision_waits_for_loop"') == 2, "many times the spacing")
            assert fleet.status("v0")["report"]["acting"] == 0
            assert source.status().in_force == "0.0"
            listed, taken = lists.given[-1]
            assert [x.name for x in listed.hosts] == ["a"]
            taken.set()
            until(lambda: fleet.status("v0")["report"]["acting"] == 1, "the acknowledgement")
            assert source.status().in_force == str(answer.revision)
        finally:
            source.stop()
            assert source.closed(BOUND_SECONDS)


def test_a_damaged_revision_on_disk_is_said_and_passed_over(tmp_path: Path) -> None:
    (tmp_path / "revision").write_bytes(b"OTGREV1\nnot what was written")
    log = tmp_path / "log"
    with log.open("a") as log_file:
        source = HostSource(
            Distribution(machines={"v0": "127.0.0.1:1"}, region="east", zone="z0"),
            ControlFleet(tmp_path).envelope, name="g0", run="run", folder=tmp_path,
            hand_over=Lists().hand_over, log=logger("debug", "json", log_file),
            on_failure=lambda *_: None, seed=1,
        )  # fmt: skip
    assert source.held_list is None
    assert source.status().in_force == "0.0"
    assert "held_revision_unusable" in log.read_text()
    assert "damaged" in log.read_text()


MACHINES = {"v0": "127.0.0.1:7500"}
WRONG = {
    "with the registry": (
        TOKENS,
        TOKENS + REGISTRY,
        "registry: found with distribution(...); allowed: one of the two",
    ),
    "without keys": (TOKENS, "", "distribution: found no tokens(...); allowed: with keys"),
    "an address": ("'127.0.0.1:7500'", "'here'", "distribution: machines.v0: found 'here'; allowed: host"),
    "a port": ("'127.0.0.1:7500'", "'h:65536'", "distribution.machines.v0: found 'h:65536'; allowed: host"),
    "no machine": ("{'v0': '127.0.0.1:7500'}", "{}", "distribution.machines"),
    "a place": ("'east/z0'", "'east'", "distribution.places[...]: found"),
    "a stranger's place": ("places = {'v0'", "places = {'v1'", "distribution: places: found 'v1'; allowed:"),
    "no region": ("region = 'east', ", "", "distribution: Object missing required field `region`"),
    "a time": ("wait = 2.0", "wait = 0", "distribution.wait: found 0; allowed: `float` > 0.0"),
    "a field": ("wait = 2.0", "weit = 2.0", "distribution.weit: unknown field; did you mean wait?"),
    "neither": (distribution_block(MACHINES), "", "registry: missing; a block registry(...) or distribution"),
}  # fmt: skip


@pytest.mark.parametrize("case", WRONG)
def test_a_block_that_can_not_be_used_is_told_by_file_and_field(case: str) -> None:
    good = script(MACHINES, "state")
    assert parse(good).distribution is not None
    old, new, said = WRONG[case]
    assert old in good, "the test changes what is there"
    with pytest.raises(ConfigError) as refusal:
        parse(good.replace(old, new, 1), "site.star")
    assert said in str(refusal.value)
    assert str(refusal.value).startswith("site.star:")


def test_the_line_of_the_block_is_told() -> None:
    text = script(MACHINES, "state")
    line = next(n for n, x in enumerate(text.splitlines(), 1) if x.startswith("distribution("))
    for old, new in (("wait = 2.0", "wait = 0"), ("'127.0.0.1:7500'", "'here'"), ("{'v0': 'e", "{'v1': 'e")):
        assert old in text, "the test changes what is there"
        with pytest.raises(ConfigError, match=f"^site.star:{line}: distribution"):
            parse(text.replace(old, new, 1), "site.star")
    both = text.replace("distribution(", f"{REGISTRY}distribution(")
    with pytest.raises(ConfigError, match=f"^site.star:{line + 1}: distribution: found with registry"):
        parse(both, "site.star")

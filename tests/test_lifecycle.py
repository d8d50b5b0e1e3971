"""Operation of a daemon: exclusive state folder, reload of the script under load, signals."""

from __future__ import annotations

import signal
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any

import pytest

from otterglade.config.schema import Config
from otterglade.config.script import parse
from otterglade.gateway.lifecycle import Lock, needs_restart
from otterglade.lab.stage import Stage
from otterglade.net.http import ExchangeError
from otterglade.standins.player import Browser

from .house import BOUND, SMALL, until
from .test_gateway import Build, build  # noqa: F401 - a fixture


def test_folder_lock_excludes_a_second_process_and_ends_with_its_holder(tmp_path: Path) -> None:
    first = Lock(tmp_path)
    with pytest.raises(OSError, match=r"state_dir in use by process \d+"):
        Lock(tmp_path)
    first.release()
    holder = subprocess.Popen(
        [sys.executable, "-c", "import sys,time; from pathlib import Path\n"
         "from otterglade.gateway.lifecycle import Lock; lock = Lock(Path(sys.argv[1]))\n"
         "print('held', flush=True); time.sleep(60)", str(tmp_path)], stdout=subprocess.PIPE,
    )  # fmt: skip
    assert holder.stdout is not None
    assert holder.stdout.readline() == b"held\n"
    with pytest.raises(OSError, match=f"in use by process {holder.pid}"):
        Lock(tmp_path)
    holder.kill()
    holder.wait(BOUND)
    Lock(tmp_path).release()


def test_second_gateway_in_the_same_folder_does_not_start(build: Build) -> None:  # noqa: F811
    house = build()
    with pytest.raises(OSError, match="state_dir in use"):
        house.start_gateway()
    assert house.watch().status == 200


def test_reload_applies_a_script_as_a_whole_or_not_at_all(build: Build) -> None:  # noqa: F811
    house = build()
    gateway = house.gateway
    text = house.layout.script("g0", house.address_of(house.registry.listener), str(house.folder / "state"),
                               "127.0.0.1:0")  # type: ignore[union-attr]  # fmt: skip
    more = text.replace("fetch_gap = 4.0", "fetch_gap = 9.0, connections = 7, sessions = 1")
    assert gateway.reload(parse(more)) == ["limits"]
    assert gateway.listener.budget == 7
    assert house.watch(viewer="a").status == 200
    until(lambda: gateway.session_manager.terms.max_sessions == 1)
    assert house.watch(viewer="b").status == 503
    before = gateway.config
    other = more.replace("cold = 12.0", "cold = 13.0").replace("connections = 7", "connections = 9")
    with pytest.raises(ValueError, match=r"these need a restart: contract\.cold"):
        gateway.reload(parse(other))
    assert gateway.config is before
    assert gateway.listener.budget == 7
    assert needs_restart(parse(text), parse(text.replace("'job-1'", "'job-9'"))) == ["titles"]
    before_order = _peers(text, "witnesses = 1")
    with_order = _peers(text, "witnesses = 1, routes_forget = 'g1 burnt'")
    assert needs_restart(before_order, with_order) == [], "an operator may change it in a running gateway"
    assert needs_restart(with_order, _peers(text, "witnesses = 0")) == ["peers.witnesses"]


def _peers(text: str, fields: str) -> Config:
    key = "tokens(keys = {'k': '00112233445566778899aabbccddeeff'}, sign_with = 'k')"
    return parse(f"{text}{key}\npeers(listen = '127.0.0.1:0', members = {{'g0': '127.0.0.1:1'}}, {fields})\n")


@pytest.fixture
def stage(tmp_path: Path) -> Any:
    made = Stage(SMALL, tmp_path)
    try:
        made.start()
        yield made
    finally:
        made.stop()


def test_invalid_script_under_load_changes_nothing_and_is_logged(stage: Stage) -> None:
    process, path = stage.gateways[0], stage.folder / "gateway-0.star"
    good, log = path.read_text(), stage.folder / f"{stage.gateways[0].name}.log"
    statuses: list[int] = []
    stop = threading.Event()

    def load() -> None:
        browser, n = Browser(), 0
        while not stop.is_set():
            url = f"http://{process.address}/watch/timelapse/job-0.m3u8?viewer={n % 3}"
            statuses.append(browser.get(url, time.monotonic() + BOUND)[0].status)
            n += 1

    thread = threading.Thread(target=load)
    thread.start()
    path.write_text(good.replace("grace = ", "grase = "))
    process.child.send_signal(signal.SIGHUP)
    until(lambda: "reload_refused" in log.read_text())
    assert "contract.grase: unknown field; did you mean grace?" in log.read_text()
    path.write_text(good.replace("fetch_gap = 4.0", "fetch_gap = 5.0"))
    process.child.send_signal(signal.SIGHUP)
    until(lambda: '"reloaded"' in log.read_text())
    stop.set()
    thread.join(BOUND)
    assert set(statuses) == {200}


def test_second_sigterm_ends_a_stop_at_once(stage: Stage) -> None:
    process = stage.gateways[0]
    for number in stage.hosts:
        stage.fault(stage.hosts[number].address, "hang", 60.0)

    def wait_for_answer() -> None:
        with pytest.raises(ExchangeError):
            Browser().get(
                f"http://{process.address}/watch/sign-off/job-0.m3u8?viewer=v", time.monotonic() + BOUND
            )

    thread = threading.Thread(target=wait_for_answer)
    thread.start()
    log = stage.folder / f"{process.name}.log"
    until(lambda: any('"asked"' in (stage.folder / f"host-{n}.jsonl").read_text() for n in stage.hosts)
          or Browser().get(f"http://{process.address}/status", time.monotonic() + BOUND)[0].body.count(
              b'"waiting":1'))  # fmt: skip
    process.child.send_signal(signal.SIGTERM)
    until(lambda: '"stopping"' in log.read_text())
    process.child.send_signal(signal.SIGTERM)
    assert process.child.wait(BOUND) == 1
    thread.join(BOUND)
    assert '"stopped"' not in log.read_text()


@pytest.mark.parametrize("drain", [1.0, 2.0])
def test_stop_ends_within_the_drain_time_while_hosts_hang(stage: Stage, drain: float) -> None:
    """Set-ups and the releases of what plays get no answer; a supervisor kills after `limits.drain`."""
    process, path = stage.gateways[0], stage.folder / "gateway-0.star"
    log = stage.folder / f"{process.name}.log"
    path.write_text(path.read_text().replace("fetch_gap = 4.0", f"fetch_gap = 4.0, drain = {drain}"))
    process.child.send_signal(signal.SIGHUP)
    until(lambda: '"reloaded"' in log.read_text())
    playing = f"http://{process.address}/watch/timelapse/job-0.m3u8?viewer=plays"
    assert Browser().get(playing, time.monotonic() + BOUND)[0].status == 200
    for number in stage.hosts:
        stage.fault(stage.hosts[number].address, "hang", 60.0)
    statuses: list[int] = []

    def wait_for_answer(viewer: int) -> None:
        url = f"http://{process.address}/watch/sign-off/job-0.m3u8?viewer={viewer}"
        statuses.append(Browser().get(url, time.monotonic() + BOUND)[0].status)

    threads = [threading.Thread(target=wait_for_answer, args=(n,)) for n in range(3)]
    for thread in threads:
        thread.start()
    status = f"http://{process.address}/status"
    until(lambda: b'"waiting":3' in Browser().get(status, time.monotonic() + BOUND)[0].body)
    process.child.send_signal(signal.SIGTERM)
    terminated_at = time.monotonic()
    process.child.wait(BOUND)
    took = time.monotonic() - terminated_at
    for thread in threads:
        thread.join(BOUND)
    assert len(statuses) == 3, f"answered with {statuses}"
    assert took < drain, f"ended after {took:.2f} s"
    assert '"stopped"' in log.read_text()

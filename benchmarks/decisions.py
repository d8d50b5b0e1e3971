"""CPU of the decision loop for a set-up, with 12 and with 150 hosts: session manager and module, no sockets.

    python -m benchmarks.decisions [--quick]

Each set-up: a request, its attempt's answer, a load note, and its end. The module is asked as in service.
"""

from __future__ import annotations

import statistics
import sys
import time
from dataclasses import replace

from otterglade.config.script import parse
from otterglade.core import interface as api
from otterglade.core import messages as d
from otterglade.core.policy import Controller
from otterglade.core.session_manager import SessionManager
from otterglade.lab.stage import Layout


def run(hosts: int, count: int, playing: int) -> float:
    """CPU seconds for each set-up, with so many sessions playing beside."""
    layout = replace(Layout(), hosts=hosts, racks=max(1, hosts // 8), titles=40, link=1e6, slots=10_000,
                     by_probe=False, budget=(0.0, 0.0, 0.0))  # fmt: skip
    settings = parse(layout.script("g", "127.0.0.1:1", "s", "127.0.0.1:0")).settings()
    places = {x.name: d.TitleLocation(x.home, x.holders) for x in layout.title_specs()}
    manager = SessionManager(
        settings, Controller(settings, 1), d.SessionLimits((5.0, 3.0), 0.1, 1 << 20), places
    )
    now = 1000.0
    manager.start(now)
    entries = tuple(api.ServerEntry(n, 0, 0, n, api.State.READY, 1.0, 0.0) for n in range(hosts))
    manager.update_servers(now, api.ServerList(entries, complete=True))
    titles, live, waiter = list(places), [], 0

    def one(waiter: int) -> int:
        """A set-up from request to playing; the session's number."""
        orders = manager.request_session(
            now, d.ViewerRequest(waiter, (f"v{waiter}", 0, titles[waiter % len(titles)]), 4)
        )
        setup = next(x for x in orders if isinstance(x, d.SetUp))
        manager.attempt_ended(now, setup.session, setup.attempt, setup.server, api.Outcome.DONE)
        manager.load_reported(now, setup.server, api.Load(link=0.3, uplink=0.3))
        return setup.session

    for waiter in range(playing):
        now += 0.01
        live.append(one(waiter))
    began = time.process_time()
    for waiter in range(playing, playing + count):
        now += 0.01
        live.append(one(waiter))
        manager.end_idle_sessions(now, [live.pop(0)])
    return (time.process_time() - began) / count


def main() -> None:
    quick = "--quick" in sys.argv
    count, rounds = (500, 3) if quick else (2000, 5)
    small, large = [], []
    for _ in range(rounds):
        small.append(run(12, count, 200) * 1e6)
        large.append(run(150, count, 200) * 1e6)
    a, b = statistics.median(small), statistics.median(large)
    print(
        f"CPU of decisions a set-up, 200 sessions playing: 12 hosts {a:.0f} us, 150 hosts {b:.0f} us,"
        f" ratio {b / a:.2f}; one core bears {1e6 / b:.0f} set-ups a second with 150 hosts"
    )


if __name__ == "__main__":
    main()

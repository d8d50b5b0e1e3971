"""What witnesses add to a paid set-up: delay and refusals, three gateways, one after another in one run.

    python -m benchmarks.witness [--count 60]

The same hosts and links each time; only `peers(witnesses = ...)` differs. Ratios are of the delays with
witnesses to those without, paid set-ups in turn so that each pair meets the same disk.
"""

from __future__ import annotations

import argparse
import tempfile
import threading
import time
from pathlib import Path

from otterglade.core.fleet.messages import Seal
from otterglade.gateway.daemon import Gateway
from otterglade.lab.links import Links
from otterglade.lab.stage import KEY
from tests.house import SMALL, House, with_class

from .common import percentile

NAMES = ("g0", "g1", "g2")


def trio(house: House, links: Links, witnesses: int) -> list[Gateway]:
    """Three gateways that speak."""
    made: list[Gateway] = []
    more = (
        f"peers(listen = '127.0.0.1:0', members = {links.members}, witnesses = {witnesses})\n"
        f"tokens(keys = {{'lab': '{KEY.hex()}'}}, sign_with = 'lab')\n"
    )

    def start(name: str) -> None:
        made.append(house.start_gateway(name=name, more=more, state=f"{name}-{witnesses}"))

    threads = [threading.Thread(target=start, args=(x,)) for x in NAMES]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return made


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=60)
    count = parser.parse_args().count
    layout = with_class(SMALL, "sign-off", patience=5.0, goal=1.5, seats=0)
    folder = Path(tempfile.mkdtemp(prefix="otterglade-witness-"))
    house = House(folder, layout)
    house.start_registry()
    for number in range(layout.hosts):
        house.start_host(number, slots=1000, link=1e6, uplink=1e6)
    links = {n: Links(NAMES, Seal({"lab": KEY}, "lab"), 1, house.fail) for n in (0, 3)}
    for one in links.values():
        one.start()
    gates = {n: trio(house, links[n], n) for n in (0, 3)}
    time.sleep(2.0)
    took: dict[int, list[float]] = {0: [], 3: []}
    refused = {0: 0, 3: 0}
    for n in range(count):
        for kind in ((0, 3), (3, 0))[n % 2]:
            gate = gates[kind][n % 3]
            url = f"http://{house.address_of(gate.listener)}/watch/sign-off/job-0.m3u8?viewer=w{kind}-{n}"
            answer = house.get(url)
            if answer.status == 200:
                took[kind].append(answer.took)
            else:
                refused[kind] += 1
    house.stop()
    for one in links.values():
        one.stop()
    print(f"paid set-ups, {count} each, refused {refused[0]} without witnesses and {refused[3]} with three")
    for share in (0.5, 0.99):
        without, with_three = percentile(took[0], share), percentile(took[3], share)
        print(
            f"p{share * 100:.0f}: {without * 1e3:.1f} ms without, {with_three * 1e3:.1f} ms with:"
            f" {with_three / without:.2f} times"
        )


if __name__ == "__main__":
    main()

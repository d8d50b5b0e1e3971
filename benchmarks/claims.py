"""What a claim adds to a paid set-up, and what is refused for it when a holder is down.

python -m benchmarks.claims [--quick]

The same stage with claims at two holders and with none, in turn; then with one host of four dead.
"""

from __future__ import annotations

import statistics
import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

from otterglade.lab.stage import Layout
from otterglade.net.http import Client

from .common import ROOMY, Roomy, Script, address_of, percentile


def layout_of(registrars: int) -> Layout:
    """A roomy stage of four hosts with one paid class, whose gateway claims at so many holders."""

    class Paid(Script):
        limits = "fetch_gap = 0.2"

        def script(self, *arguments: Any, **named: Any) -> str:
            text = super().script(*arguments, **named)
            return text.replace("contract(", f"contract(registrars = {registrars}, ")

    paid = ({"name": "film", "effect": "unsafe", "goal": 1.5, "patience": 8.0, "worth": 1.0},)
    one = replace(ROOMY, hosts=4, racks=2, titles=4, classes=paid)
    return Paid(**{x: getattr(one, x) for x in one.__dataclass_fields__})


def ask(client: Client, count: int, run: str) -> tuple[list[float], int]:
    """Seconds of the paid set-ups that played, and how many were refused."""
    times, refused = [], 0
    for n in range(count):
        target = f"/watch/film/job-{n % 4}.m3u8?viewer={run}-{n}".encode()
        answer = client.exchange(b"GET", target, deadline=time.monotonic() + 10.0)
        if answer.status == 200:
            times.append(answer.elapsed)
        else:
            refused += 1
    return times, refused


def main() -> None:
    count, rounds = (100, 2) if "--quick" in sys.argv else (300, 5)
    stages: dict[int, Roomy] = {}
    with tempfile.TemporaryDirectory() as folder:
        try:
            for registrars in (0, 2):
                stage = stages[registrars] = Roomy(layout_of(registrars), Path(folder) / str(registrars))
                stage.start()
            found: dict[int, list[list[float]]] = {0: [], 2: []}
            for n in range(rounds):
                for registrars, stage in stages.items():
                    client = Client(address_of(stage.gateways[0].address), 2.0)
                    found[registrars].append(ask(client, count, f"r{n}")[0])
            median = {x: statistics.median(percentile(y, 0.5) for y in rows) for x, rows in found.items()}
            tail = {x: statistics.median(percentile(y, 0.99) for y in rows) for x, rows in found.items()}
            print(
                f"paid set-ups, {rounds} rounds of {count}: median {median[2] * 1000:.2f} ms with claims,"
                f" {median[0] * 1000:.2f} without, ratio {median[2] / median[0]:.2f}; p99"
                f" {tail[2] * 1000:.2f} and {tail[0] * 1000:.2f} ms"
            )
            for registrars, stage in stages.items():
                stage.crash_host(0)
                client = Client(address_of(stage.gateways[0].address), 2.0)
                times, refused = ask(client, count, "down")
                print(
                    f"one host of four dead, {registrars} registrars: {refused} of {count} refused, median"
                    f" {percentile(times, 0.5) * 1000:.2f} ms"
                )
        finally:
            for stage in stages.values():
                stage.stop()


if __name__ == "__main__":
    main()

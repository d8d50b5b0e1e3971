"""What witnesses add to a paid set-up: delay and refusals, three gateways as processes, in one run.

    python -m benchmarks.witness [--count 120]

Two stages that differ in `peers(witnesses = ...)` alone stand beside each other and are asked in turn, so
that each pair of set-ups meets the same disk and the same machine.
"""

from __future__ import annotations

import argparse
import shutil
import tempfile
import time
from dataclasses import replace
from pathlib import Path

from otterglade.lab.stage import Layout, Stage
from otterglade.standins.player import Browser

from .common import percentile


def stage_of(witnesses: int, folder: Path) -> Stage:
    """Three gateways and two hosts with room for all that is asked."""
    layout = Layout(hosts=2, gateways=3, titles=1, holders=2, slots=2000, link=1e6, peers=True)
    classes = tuple(replace_seats(x) for x in layout.classes)
    stage = Stage(replace(layout, witnesses=witnesses, classes=classes), folder / f"witnesses-{witnesses}")
    stage.start()
    return stage


def replace_seats(terms: dict[str, object]) -> dict[str, object]:
    return {**terms, "seats": 0, "patience": 5.0}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=120)
    count = parser.parse_args().count
    folder = Path(tempfile.mkdtemp(prefix="otterglade-witness-"))
    stages: dict[int, Stage] = {}
    took: dict[int, list[float]] = {0: [], 3: []}
    refused = {0: 0, 3: 0}
    try:
        for kind in took:
            stages[kind] = stage_of(kind, folder)
        time.sleep(2.0)
        for n in range(-9, count):
            for kind in ((0, 3), (3, 0))[n % 2]:
                address = stages[kind].gateways[n % 3].address
                browser, began = Browser(), time.monotonic()
                url = f"http://{address}/watch/sign-off/job-0.m3u8?viewer=w{kind}-{n}"
                answer, _ = browser.get(url, began + 6.0)
                browser.close()
                if n < 0:
                    continue  # the first of each gateway fetch playlists and open connections
                if answer.status == 200:
                    took[kind].append(time.monotonic() - began)
                else:
                    refused[kind] += 1
    finally:
        for stage in stages.values():
            stage.stop()
    shutil.rmtree(folder)
    print(f"paid set-ups, {count} each, refused {refused[0]} without witnesses and {refused[3]} with three")
    for share in (0.5, 0.9, 0.99):
        without, with_three = percentile(took[0], share), percentile(took[3], share)
        print(
            f"p{share * 100:.0f}: {without * 1e3:.1f} ms without, {with_three * 1e3:.1f} ms with:"
            f" {with_three / without:.2f} times"
        )


if __name__ == "__main__":
    main()

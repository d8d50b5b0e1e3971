"""States a second and memory a state of the explorer, with one worker against four in one run.

python -m benchmarks.explore [--quick]
"""

from __future__ import annotations

import os
import sys

from otterglade.explore.search import explore
from otterglade.explore.times import pack
from otterglade.explore.world import Scope, World

from .common import process_figures


def main() -> None:
    quick = "--quick" in sys.argv
    scope = Scope(hosts=2, asks=2, busy=1, cuts=1, kills=1, forgets=0 if quick else 1, registrars=0)
    before = process_figures_of_self()
    four = explore(scope, workers=4)
    each = (process_figures_of_self() - before) / four.states * 1024
    one = explore(scope, workers=1)
    assert (one.states, one.complete, four.complete) == (four.states, True, True)
    rates = [x.states / x.seconds for x in (one, four)]
    print(
        f"{one.states} states, {one.steps} steps: {rates[0]:.0f} states a second on one worker,"
        f" {rates[1]:.0f} on four, ratio {rates[1] / rates[0]:.2f}; {each:.0f} bytes a state in the search's"
        f" own process; a packed state has {len(pack(World(scope)))} bytes at the start"
    )


def process_figures_of_self() -> float:
    """Resident KiB of this process."""
    return process_figures(os.getpid())["rss_kib"]


if __name__ == "__main__":
    main()

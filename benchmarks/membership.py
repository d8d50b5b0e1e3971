"""Membership in the mesh of simulated time: detection, false deaths and bytes at sizes and losses.

    python -m benchmarks.membership [--sizes 5,20,50,200] [--seconds 60]

Each row is one mesh of that size: one member is killed and one stopped for ten seconds once the news of the
start has been told. Times are of the killed one, at the median member and at the last.
"""

from __future__ import annotations

import argparse
import time

from otterglade.core.fleet.member_state import MemberState
from otterglade.explore.gossip import Links, Mesh


def row(size: int, lost: float, seconds: float, seed: int) -> str:
    """One mesh, told as a line of the table."""
    began = time.perf_counter()
    names = [f"g{n}" for n in range(size)]
    mesh = Mesh(names, seed, Links(lost=lost))
    mesh.run(30.0 + 0.5 * size)
    killed, stopped = names[1], names[2]
    at, before, messages = mesh.now, mesh.bytes, mesh.messages
    mesh.run(at + 5.0)
    rate, count = (mesh.bytes - before) / 5.0 / size, (mesh.messages - messages) / 5.0 / size
    mesh.kill(killed)
    gone = mesh.now
    mesh.run(gone + 2.0)
    mesh.stop(stopped)
    mesh.run(gone + 12.0)
    mesh.go_on(stopped)
    mesh.run(gone + seconds)
    dead = [(when, who, x.name) for when, who, x in mesh.changes if x.after is MemberState.DEAD and when > at]
    took = sorted(when - gone for when, _, name in dead if name == killed)
    false = [x for x in dead if x[2] not in (killed, stopped)]
    asleep = [x for x in dead if x[2] == stopped]
    middle = f"{took[len(took) // 2]:.1f} | {took[-1]:.1f}" if took else "- | -"
    return (
        f"| {size} | {lost:.0%} | {len(took)} of {size - 1} | {middle} | {len(false)} | {len(asleep)} |"
        f" {rate:.0f} | {count:.1f} | {time.perf_counter() - began:.0f} |"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="5,20,50,200")
    parser.add_argument("--losses", default="0,0.1,0.3")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    print(
        "| members | lost | know it | median s | last s | false deaths | of the stopped | bytes/s | msgs/s |"
        " took |"
    )
    print("| --- " * 10 + "|")
    for size in given.sizes.split(","):
        for lost in given.losses.split(","):
            print(row(int(size), float(lost), given.seconds, given.seed), flush=True)


if __name__ == "__main__":
    main()

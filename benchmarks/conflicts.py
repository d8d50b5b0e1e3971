"""What it costs to find conflicts among many regions, and whether the finder agrees with brute force.

    python -m benchmarks.conflicts [--quick]                  time and memory, clean and tangled
    python -m benchmarks.conflicts --random 10000 [--seed 1]  random mixes against the referee's judge
    python -m benchmarks.conflicts --rollouts 10000           the planner against all orders of rollouts

Each size is measured in a process of its own: its peak of resident memory is the system's word, and nothing
of another size is in it.
"""

from __future__ import annotations

import argparse
import gc
import multiprocessing as mp
import random
import resource
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

import msgspec

from otterglade.core.fleet import routing as parts
from otterglade.core.fleet.conflicts import conflicts

from .mixes import CLASSES, differs, rollout_differs


def fleet(regions: int, rules: int, seed: int, tangled: bool, titles: int = 300) -> list[parts.Routing]:
    """Regions whose rules name titles by lists and patterns, accounts by both, and three regions each.

    Clean: orders differ, wide rules come last, spill goes to regions with a higher number. `tangled`: orders
    repeat, rules of any width come in any order, and everybody spills everywhere.
    """
    rng = random.Random(seed)
    names = [f"region-{n:03}" for n in range(regions)]
    classes = tuple(
        parts.ClassTerms(name=x, effect=y, floor=0, seats=0)
        for x, y in zip(CLASSES, ("safe", "keyed", "unsafe"), strict=True)
    )
    placed = tuple(
        parts.TitlePlacement(name=f"{'abcdefgh'[n % 8]}-{n:05}", home=n % 12, holders=12)
        for n in range(titles)
    )
    lanes = (
        parts.Lane(name="gold", accounts=tuple(f"gold{n}*" for n in range(50))), parts.Lane(name="rest")
    )  # fmt: skip
    made = []
    for n, name in enumerate(names):
        routes = []
        for k in range(rules):
            ahead = range(n + 1, regions) if not tangled else [x for x in range(regions) if x != n]
            wide = rng.random() < 0.3 if tangled else k >= rules - 2
            accounts = (f"acc{rng.randint(0, 99) if tangled else k}", f"org{rng.randint(0, 99)}*")
            routes.append(
                parts.Route(
                    name=f"rule-{k:04}", order=rng.randint(1, 20) if tangled else k + 1,
                    classes=() if wide else tuple(rng.sample(CLASSES, rng.randint(1, 3))),
                    titles=(() if k % 2 else ("a*", "b-*")) if wide
                    else tuple(x.name for x in rng.sample(placed, min(titles, rng.randint(1, 8)))),
                    accounts=() if wide else accounts[: rng.randint(1, 2)],
                    regions=(name, *(names[x] for x in rng.sample(ahead, min(2, len(ahead))))),
                    spill=0.1 if tangled else 0.9 / (regions + 1),
                )
            )  # fmt: skip
        made.append(
            parts.Routing(
                region=parts.Region(name=name, zones=(n,), cells=tuple(range(12))),
                routes=tuple(routes), accepts=(parts.Accept(share=1.0),), classes=classes, lanes=lanes,
                titles=placed, cells=12, budget=(5.0, 3.0, 0.2), witnesses=3, members=("g1", "g2", "g3"),
            )
        )  # fmt: skip
    return made


def _measured(regions: int, rules: int, kind: str) -> tuple[float, float, float, dict[str, int]]:
    mix = fleet(regions, rules, 1, kind == "tangled", 10_000 if kind == "long list" else 300)
    if kind == "long list":
        every = tuple(x.name for x in mix[0].titles)
        routes = (msgspec.structs.replace(mix[0].routes[0], titles=every), *mix[0].routes[1:])
        mix[0] = msgspec.structs.replace(mix[0], routes=routes)
    gc.collect()
    began, ran = time.perf_counter(), time.process_time()
    found = conflicts(mix)
    took, ran = time.perf_counter() - began, time.process_time() - ran
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    return took, ran, peak, dict(Counter(x.kind for x in found))


def measured(regions: int, rules: int, kind: str) -> tuple[float, float, float, dict[str, int]]:
    """In a process of its own: seconds, of them on a core, megabytes at the peak, and kinds found."""
    with ProcessPoolExecutor(1, mp.get_context("spawn")) as pool:
        return pool.submit(_measured, regions, rules, kind).result(timeout=600)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--quick", action="store_true", help="small sizes alone")
    parser.add_argument("--random", type=int, default=0, help="so many random sets against brute force")
    parser.add_argument("--rollouts", type=int, default=0, help="so many random rollouts against all orders")
    parser.add_argument("--seed", type=int, default=1, help="the first of them")
    parser.add_argument("--workers", type=int, default=2)
    given = parser.parse_args()
    if given.random or given.rollouts:
        compare = differs if given.random else rollout_differs
        began, ends, wrong = time.perf_counter(), Counter[str](), 0
        with mp.get_context("spawn").Pool(given.workers) as pool:
            seeds = range(given.seed, given.seed + (given.random or given.rollouts))
            for seed, (said, found) in zip(seeds, pool.imap(compare, seeds, chunksize=20), strict=True):
                ends += found
                if said:
                    wrong += 1
                    print(f"seed {seed}: {said}")
        took = time.perf_counter() - began
        print(f"{len(seeds)} tried, {wrong} differ, {took:.0f} s; found: {dict(ends)}")
        raise SystemExit(1 if wrong else 0)
    sizes = (
        [(10, 50), (20, 50), (20, 100)] if given.quick else [(50, 200), (100, 200), (200, 100), (200, 200)]
    )
    print(f"{'fleet':>10} {'regions':>8} {'rules each':>10} {'s':>7} {'CPU s':>7} {'MB':>6}  conflicts")
    for kind in ("clean", "long list", "tangled"):
        for regions, rules in sizes if kind != "long list" else sizes[:1]:
            took, ran, peak, kinds = measured(regions, rules, kind)
            print(
                f"{kind:>10} {regions:>8} {rules:>10} {took:>7.2f} {ran:>7.2f} {peak:>6.0f}  {kinds}",
                flush=True,
            )


if __name__ == "__main__":
    main()

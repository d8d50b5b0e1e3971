"""Priority lanes in a mesh of simulated time: service by lane, inversions, swings; sums at sizes.

    python -m benchmarks.lanes [--quick] [--parts height,cases,sizes] [--seed 7]

Demand is twice the room, premium a fifth of it. The same viewers come to today's build and to a fleet with
lanes; each row tells what happened a second into what is measured. Service: viewers served of those who came,
after four tries at most.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Sequence
from dataclasses import replace

import msgspec

from otterglade.lab.mesh import HAPPENS, Fleet, Spec, play


def row(what: str, fleet: Fleet, took: float) -> str:
    lanes = range(len(fleet.spec.lanes))
    share, found, total = fleet.inversions()
    swing = fleet.swing(fleet.measure_from, fleet.measure_until)
    return (
        f"| {what} | {' / '.join(f'{fleet.service(n):.3f}' for n in lanes)} | {fleet.in_use():.3f} |"
        f" {share:.4f} ({found} of {total}) |"
        f" {' / '.join(f'{fleet.least_kept(n, fleet.measure_from):.2f}' for n in lanes)} |"
        f" {' / '.join(f'{x:.3f}' for x in swing) or '-'} | {took:.0f} |"
    )


def played(what: str, spec: Spec, seed: int, happens: str = "nothing") -> Fleet:
    began = time.perf_counter()
    fleet = play(spec, seed, happens)
    print(row(what, fleet, time.perf_counter() - began), flush=True)
    return fleet


HEAD = (
    "| | service by lane | room in use | inversions | least kept | swing of cuts | took s |\n" + "| --- " * 7
)


def height(spec: Spec, seed: int) -> None:
    """Twice the room: today's build, lanes, the owner killed."""
    print(f"{spec.gateways} gateways, room for {spec.room} sessions of {spec.life:g} s\n\n{HEAD}|")
    easy = played("today, demand 0.8 of the room", replace(spec, demand=(0.4, 0.2, 0.2), shed=False), seed)
    today = played("today, twice the room", replace(spec, shed=False), seed)
    lanes = played("lanes, twice the room", spec, seed)
    killed = played("owner killed", spec, seed, "owner killed")
    print(
        f"\npremium over what it has without overload: {lanes.service(0) / easy.service(0):.3f}, today"
        f" {today.service(0) / easy.service(0):.3f}; service in all over today's:"
        f" {lanes.service_in_all() / today.service_in_all():.3f}, room in use over today's"
        f" {lanes.in_use() / today.in_use():.3f}; premium with the owner killed falls by"
        f" {lanes.service(0) - killed.service(0):.3f}\n"
    )


def cases(spec: Spec, seed: int) -> None:
    """What may happen at the height."""
    print(f"{spec.gateways} gateways, room for {spec.room} sessions of {spec.life:g} s\n\n{HEAD}|")
    for happens in HAPPENS:
        if happens not in ("nothing", "owner killed", "flood"):
            played(happens, spec, seed, happens)
    bound = msgspec.structs.replace(spec.lanes[0], most_per_account=40)
    played("flood, bound 40", replace(spec, lanes=(bound, *spec.lanes[1:])), seed, "flood")
    played("one with forty times the traffic", replace(spec, hot=40.0), seed)
    played("all premium", replace(spec, demand=(2.0, 0.0, 0.0)), seed)
    played("none premium", replace(spec, demand=(0.0, 1.0, 1.0)), seed)
    played("a tenth of messages lost", replace(spec, lost=0.1), seed)
    played("five gateways, room for 200", replace(spec, gateways=5, room=200), seed)


def sizes(counts: Sequence[int], seed: int) -> None:
    """Age and error of sums, bytes, at numbers of gateways."""
    print("\n| gateways | age of sums s | error of sessions told | bytes/s a gateway | at most | swing |")
    print("| --- " * 6 + "|")
    for size in counts:
        fleet = play(Spec(gateways=size, room=max(4000, 10 * size), life=20.0), seed, measured=1.0)
        tells = fleet.tells
        told = [x.bytes / fleet.now for x in fleet.seats]
        swing = max(fleet.swing(fleet.measure_from, fleet.measure_until))
        age, error = (sum(x) / len(x) for x in (tells.ages, tells.errors))
        print(
            f"| {size} | {age:.2f} | {error:.4f} | {sum(told) / len(told):.0f} | {max(told):.0f} |"
            f" {swing:.3f} |",
            flush=True,
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="twenty gateways in place of 200 and 2,000")
    parser.add_argument("--parts", default="height,cases,sizes")
    parser.add_argument("--seed", type=int, default=7)
    given = parser.parse_args()
    small = Spec(gateways=20, life=20.0)
    parts = given.parts.split(",")
    if "height" in parts:
        height(small if given.quick else Spec(gateways=200, room=20_000, life=20.0), given.seed)
    if "cases" in parts:
        cases(small, given.seed)
    if "sizes" in parts:
        sizes((20, 200) if given.quick else (20, 200, 2000), given.seed)


if __name__ == "__main__":
    main()

"""Plays the experiments of roles, each play in a process of its own, one at a time."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .isolated import isolated
from .model import Reading, Role

PLAYS = 3
"""At each size."""


def measure(roles: Iterable[Role], quick: bool) -> Iterator[tuple[Reading, ...]]:
    """The readings of each play. Sizes alternate, so that what passes on the machine meets all of them."""
    for role in roles:
        for experiment in role.experiments:
            sizes = experiment.quick_sizes if quick else experiment.sizes
            for _ in range(1 if quick else PLAYS):
                for size in sizes:
                    yield isolated(experiment.play, size)

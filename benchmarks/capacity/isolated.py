"""Plays in processes of their own, so that memory and caches of one do not count into another's."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import ParamSpec, TypeVar

from ..common import SPAWN, process_figures

P = ParamSpec("P")
T = TypeVar("T")


def isolated(work: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T:
    """The result of a module-level function, called in a fresh process."""
    with ProcessPoolExecutor(max_workers=1, mp_context=SPAWN) as pool:
        return pool.submit(work, *args, **kwargs).result()


def resident_bytes() -> float:
    """Resident memory of this process."""
    return process_figures(os.getpid())["rss_kib"] * 1024.0


class CpuTimer:
    """Sums the CPU time of this process over `with` blocks."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self._began = 0.0

    def __enter__(self) -> CpuTimer:
        self._began = time.process_time()
        return self

    def __exit__(self, *_: object) -> None:
        self.seconds += time.process_time() - self._began

"""Names and patterns as sets of strings: one string of each set, and masks of lists."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Sequence
from itertools import chain, count


def representatives(patterns: Iterable[str]) -> Iterator[str]:
    """One string of each set that these names and patterns part all strings into: each name; and for each
    prefix, the empty one too, what begins with it, with no longer one, and is no name.

    The last is never empty: only finitely many letters after the prefix are taken.
    """
    listed = set(patterns)
    names = {x for x in listed if not x.endswith("*")}
    stems = {x[:-1] for x in listed if x.endswith("*")} | {""}
    yield from sorted(names)
    for stem in sorted(stems):
        if stem and stem not in names:
            yield stem
        else:
            letters = chain("0x@", map(chr, count(0xA1)))
            yield next(y for x in letters if (y := stem + x) not in names and y not in stems)


class Masks:
    """Which of several lists of names and patterns hold a string: bit n for the n-th; an empty list holds all
    where it is `open`."""

    def __init__(self, lists: Sequence[Collection[str]], empty_is_any: bool = True) -> None:
        self._any = 0
        self._names: dict[str, int] = {}
        stems: dict[str, int] = {}
        for n, patterns in enumerate(lists):
            if not patterns and empty_is_any:
                self._any |= 1 << n
            for x in patterns:
                if x.endswith("*"):
                    stems[x[:-1]] = stems.get(x[:-1], 0) | 1 << n
                else:
                    self._names[x] = self._names.get(x, 0) | 1 << n
        self._any |= stems.pop("", 0)
        self._stems = stems
        self._lengths = sorted({len(x) for x in stems})

    def of(self, text: str) -> int:
        mask = self._any | self._names.get(text, 0)
        for length in self._lengths:
            if length > len(text):
                break
            mask |= self._stems.get(text[:length], 0)
        return mask


def mask_of(numbers: Iterable[int]) -> int:
    mask = 0
    for n in numbers:
        mask |= 1 << n
    return mask


def bits_of(mask: int) -> Iterator[int]:
    while mask:
        low = mask & -mask
        yield low.bit_length() - 1
        mask ^= low


def lowest_bit(mask: int) -> int:
    """The lowest bit's number; -1: none is set."""
    return (mask & -mask).bit_length() - 1

"""Names and prefix patterns as sets of strings: representatives of their partition, and membership masks."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Sequence
from itertools import chain, count


def representatives(patterns: Iterable[str]) -> Iterator[str]:
    """Yield one string from each set of the partition of all strings by these names and patterns.

    The sets are: each name; and for each prefix, and the empty prefix, the strings that begin with it, have
    no longer prefix of the patterns, and are not names. The latter set is never empty, since the patterns
    have only finitely many characters after the prefix.
    """
    listed = set(patterns)
    names = {x for x in listed if not x.endswith("*")}
    prefixes = {x[:-1] for x in listed if x.endswith("*")} | {""}
    yield from sorted(names)
    for prefix in sorted(prefixes):
        if prefix and prefix not in names:
            yield prefix
        else:
            letters = chain("0x@", map(chr, count(0xA1)))
            yield next(y for x in letters if (y := prefix + x) not in names and y not in prefixes)


class PatternMasks:
    """Maps a string to the mask of the lists of names and patterns that match it: bit n for the n-th list.

    If `empty_is_any`, an empty list matches every string, otherwise none.
    """

    def __init__(self, lists: Sequence[Collection[str]], empty_is_any: bool = True) -> None:
        self._any = 0
        self._names: dict[str, int] = {}
        prefixes: dict[str, int] = {}
        for n, patterns in enumerate(lists):
            if not patterns and empty_is_any:
                self._any |= 1 << n
            for x in patterns:
                if x.endswith("*"):
                    prefixes[x[:-1]] = prefixes.get(x[:-1], 0) | 1 << n
                else:
                    self._names[x] = self._names.get(x, 0) | 1 << n
        self._any |= prefixes.pop("", 0)
        self._prefixes = prefixes
        self._lengths = sorted({len(x) for x in prefixes})

    def matching(self, text: str) -> int:
        """Return the mask of the lists that match a string."""
        mask = self._any | self._names.get(text, 0)
        for length in self._lengths:
            if length > len(text):
                break
            mask |= self._prefixes.get(text[:length], 0)
        return mask


def mask_from_bits(numbers: Iterable[int]) -> int:
    """Return the mask with the bits of these numbers set."""
    mask = 0
    for n in numbers:
        mask |= 1 << n
    return mask


def set_bits(mask: int) -> Iterator[int]:
    """Yield the numbers of the bits that are set, lowest first."""
    while mask:
        low = mask & -mask
        yield low.bit_length() - 1
        mask ^= low


def lowest_bit(mask: int) -> int:
    """Return the number of the lowest bit that is set, -1 if there is none."""
    return (mask & -mask).bit_length() - 1

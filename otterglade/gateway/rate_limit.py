"""How many datagrams a sender may have read: what floods is dropped before its seal is looked at."""

from __future__ import annotations

MOST_SENDERS = 4096
"""Addresses that are counted at once: addresses can be made up."""


class SenderRateLimit:
    """A token bucket for each sender's address."""

    def __init__(self, rate: float) -> None:
        """`rate`: datagrams a second, and as many at once."""
        self._rate = rate
        self._left: dict[tuple[str, int], tuple[float, float]] = {}

    def take(self, sender: tuple[str, int], now: float) -> bool:
        """Whether one more datagram of this sender is read."""
        if sender not in self._left and len(self._left) >= MOST_SENDERS:
            self._left.clear()
        left, at = self._left.get(sender, (self._rate, now))
        left = min(self._rate, left + (now - at) * self._rate)
        self._left[sender] = (left - 1.0 if left >= 1.0 else left, now)
        return left >= 1.0

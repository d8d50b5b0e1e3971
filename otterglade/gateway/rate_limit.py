"""Limits the datagrams that are read from one sender; the excess is dropped before it is authenticated."""

from __future__ import annotations

MAX_TRACKED_SENDERS = 4096
"""Bounds the memory used when sender addresses are forged; beyond it all buckets start anew."""


class SenderRateLimit:
    """One token bucket per sender address. Not thread-safe."""

    def __init__(self, rate_per_second: float) -> None:
        """`rate_per_second`: datagrams a second from one sender; a burst has as many at most."""
        self._rate = rate_per_second
        self._buckets: dict[tuple[str, int], tuple[float, float]] = {}
        """Tokens left and the time of the last datagram, by sender."""

    def allow(self, sender: tuple[str, int], now: float) -> bool:
        """Return whether to read one more datagram of this sender, and take a token for it."""
        if sender not in self._buckets and len(self._buckets) >= MAX_TRACKED_SENDERS:
            self._buckets.clear()
        tokens, updated_at = self._buckets.get(sender, (self._rate, now))
        tokens = min(self._rate, tokens + (now - updated_at) * self._rate)
        self._buckets[sender] = (tokens - 1.0 if tokens >= 1.0 else tokens, now)
        return tokens >= 1.0

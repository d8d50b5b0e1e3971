"""How fast a subscriber may receive, and how long it waits after a failure."""

from __future__ import annotations

import random

_ROUNDING_BYTES = 0.5
"""Missing bytes that count as none: a wait that has just passed must not leave another one."""


class TokenBucket:
    """Bytes that may go: `rate` a second, and `burst` at once after a silence."""

    def __init__(self, rate: float, burst: float, now: float = 0.0) -> None:
        """Raises ValueError for a rate or burst that is not positive."""
        if rate <= 0 or burst <= 0:
            raise ValueError(f"token bucket of {rate} bytes/s, burst {burst}; allowed: above 0")
        self.rate, self.burst = rate, burst
        self._tokens = float(burst)
        self._filled_at = now

    def wait(self, now: float, size: float) -> float:
        """Seconds until so many bytes may go; more than a burst may go once the bucket is full."""
        self._fill(now)
        missing = min(size, self.burst) - self._tokens
        return 0.0 if missing < _ROUNDING_BYTES else missing / self.rate

    def spend(self, now: float, size: float) -> None:
        """So many bytes have gone. The bucket may go below empty, which lengthens the next wait."""
        self._fill(now)
        self._tokens -= size

    def _fill(self, now: float) -> None:
        passed = max(0.0, now - self._filled_at)
        self._tokens = min(self.burst, self._tokens + passed * self.rate)
        self._filled_at = max(self._filled_at, now)


class Backoff:
    """Waits that double with each failure in a row, drawn between nothing and their limit (full jitter)."""

    def __init__(self, first: float, most: float, source: random.Random) -> None:
        self._first, self._most, self._source = first, most, source
        self.failures = 0
        """In a row."""

    def failed(self) -> float:
        """One more failure; the seconds to wait."""
        limit = min(self._most, self._first * 2.0 ** min(self.failures, 32))
        self.failures += 1
        return self._source.uniform(0.0, limit)

    def succeeded(self) -> None:
        """The next failure is the first again."""
        self.failures = 0

"""Rate limiting of received bytes, and delays after failures."""

from __future__ import annotations

import random

_ROUNDING_TOLERANCE_BYTES = 0.5
"""Missing tokens that are ignored: rounding must not cause another wait right after one has passed."""


class TokenBucket:
    """Token bucket over bytes: `bytes_per_second` on average, `burst_bytes` at once when it is full."""

    def __init__(self, bytes_per_second: float, burst_bytes: float, now: float = 0.0) -> None:
        """Start with a full bucket. Raises ValueError if the rate or burst is not positive."""
        if bytes_per_second <= 0 or burst_bytes <= 0:
            raise ValueError(
                f"token bucket of {bytes_per_second} bytes/s, burst {burst_bytes}; allowed: above 0"
            )
        self.bytes_per_second, self.burst_bytes = bytes_per_second, burst_bytes
        self._tokens = float(burst_bytes)
        self._refilled_at = now

    def seconds_until(self, now: float, size: float) -> float:
        """Return the seconds until `size` bytes are allowed; a full bucket allows any size."""
        self._refill(now)
        missing = min(size, self.burst_bytes) - self._tokens
        return 0.0 if missing < _ROUNDING_TOLERANCE_BYTES else missing / self.bytes_per_second

    def spend(self, now: float, size: float) -> None:
        """Remove `size` tokens. The level may become negative, which lengthens the next wait."""
        self._refill(now)
        self._tokens -= size

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._tokens = min(self.burst_bytes, self._tokens + elapsed * self.bytes_per_second)
        self._refilled_at = max(self._refilled_at, now)


class Backoff:
    """Exponential backoff with full jitter: delays are drawn from 0 to a limit that doubles per failure."""

    def __init__(self, initial_seconds: float, max_seconds: float, random_source: random.Random) -> None:
        self._initial_seconds, self._max_seconds, self._random = initial_seconds, max_seconds, random_source
        self.failures = 0
        """Consecutive failures."""

    def next_delay(self) -> float:
        """Count a failure and return the seconds to wait before the next attempt."""
        limit = min(self._max_seconds, self._initial_seconds * 2.0 ** min(self.failures, 32))
        self.failures += 1
        return self._random.uniform(0.0, limit)

    def reset(self) -> None:
        """Reset the limit after a success."""
        self.failures = 0

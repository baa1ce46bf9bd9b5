"""A budget of calls that refills with time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.core import Clock

__all__ = ["TokenBucket"]


class TokenBucket:
    """Allow `rate_per_s` calls a second on the whole, and `burst` at once."""

    def __init__(self, clock: Clock, rate_per_s: float, burst: float) -> None:
        """Start full; `burst` is at least 1."""
        if rate_per_s <= 0 or burst < 1:
            raise ValueError(f"rate {rate_per_s}/s and burst {burst} allow no call")
        self._clock = clock
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst  # negative: reserved by calls that wait
        self._refilled_at_s = clock.monotonic()

    def reserve(self, max_wait_s: float) -> float | None:
        """Take a token and return the seconds to wait for it; `None` if that is too long."""
        self._refill()
        wait_s = max(0.0, (1 - self._tokens) / self._rate_per_s)
        if wait_s > max_wait_s:
            return None
        self._tokens -= 1
        return wait_s

    def give_back(self) -> None:
        """Return the token of a call that was not made."""
        self._tokens = min(self._burst, self._tokens + 1)

    def _refill(self) -> None:
        now_s = self._clock.monotonic()
        gained = (now_s - self._refilled_at_s) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at_s = now_s

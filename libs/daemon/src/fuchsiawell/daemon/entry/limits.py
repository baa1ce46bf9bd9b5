"""How much one caller, and all callers together, may have in flight at one daemon."""

from __future__ import annotations

from collections import Counter

__all__ = ["CallerLimits"]

CALLER_SHARE = 4  # one caller may hold a quarter of what the daemon takes
RETRY_AFTER_S = 0.5


class CallerLimits:
    """Count the requests in flight by caller, in memory bounded by their total."""

    def __init__(self, max_in_flight: int) -> None:
        self._max_in_flight = max_in_flight
        self._max_of_one = max(1, max_in_flight // CALLER_SHARE)
        self._count_by_caller: Counter[str] = Counter()
        self.in_flight = 0

    def enter(self, caller: str) -> bool:
        """Count a request in; false if the caller, or all of them, have too many."""
        if self.in_flight >= self._max_in_flight:
            return False
        if self._count_by_caller[caller] >= self._max_of_one:
            return False
        self.in_flight += 1
        self._count_by_caller[caller] += 1
        return True

    def leave(self, caller: str) -> None:
        """Count a request out that was counted in."""
        self.in_flight -= 1
        self._count_by_caller[caller] -= 1
        if not self._count_by_caller[caller]:
            del self._count_by_caller[caller]

"""A budget that refills with time."""

from __future__ import annotations

__all__ = ["Budget"]


class Budget:
    """Allow a number of actions a minute, and at most as many at once (a token bucket)."""

    def __init__(self, per_min: float, now_s: float) -> None:
        self._per_min = per_min
        self._left = per_min
        self._filled_s = now_s

    def has(self, now_s: float) -> bool:
        """Tell whether an action is left."""
        refill = (now_s - self._filled_s) / 60 * self._per_min
        self._left = min(self._per_min, self._left + refill)
        self._filled_s = now_s
        return self._left >= 1

    def take(self, now_s: float) -> bool:
        """Use up one action, or return false if none is left."""
        if not self.has(now_s):
            return False
        self._left -= 1
        return True

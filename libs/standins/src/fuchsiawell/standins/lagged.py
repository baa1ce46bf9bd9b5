"""A value that its readers see some time after it was set."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from fuchsiawell.core import Clock

__all__ = ["Lagged"]

T = TypeVar("T")


class Lagged(Generic[T]):
    """Keep the values of the last `lag_s` seconds and show the one before them."""

    def __init__(self, clock: Clock, lag_s: float, first: T) -> None:
        """Show `first` from the start."""
        self._clock = clock
        self.lag_s = lag_s
        self._shown = first
        self._pending: deque[tuple[float, T]] = deque()

    def set(self, value: T) -> None:
        """Replace the value; readers see it once the lag has passed."""
        self._settle()
        self._pending.append((self._clock.monotonic(), value))

    def shown(self) -> T:
        """Return the value that readers see now."""
        self._settle()
        return self._shown

    def _settle(self) -> None:
        seen_until_s = self._clock.monotonic() - self.lag_s
        while self._pending and self._pending[0][0] <= seen_until_s:
            self._shown = self._pending.popleft()[1]

"""Calls in each of the last seconds, for the benchmarks."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.core import Clock
    from fuchsiawell.platform import CallKind

__all__ = ["CallRates"]

KEPT_S = 60


class CallRates:
    """Count calls by kind and whole second of the clock."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._counts_by_second: deque[tuple[int, Counter[CallKind]]] = deque()

    def add(self, kind: CallKind) -> None:
        """Count one call in the present second."""
        second = int(self._clock.monotonic())
        if not self._counts_by_second or self._counts_by_second[-1][0] != second:
            self._counts_by_second.append((second, Counter()))
        self._counts_by_second[-1][1][kind] += 1
        while self._counts_by_second[0][0] < second - KEPT_S:
            self._counts_by_second.popleft()

    def last_seconds(self) -> list[dict[CallKind, int]]:
        """Return the counts of the last whole seconds since the first call, oldest first."""
        now = int(self._clock.monotonic())
        kept = {second: dict(counts) for second, counts in self._counts_by_second}
        first = max(min(kept, default=now), now - KEPT_S)
        return [kept.get(second, {}) for second in range(first, now)]

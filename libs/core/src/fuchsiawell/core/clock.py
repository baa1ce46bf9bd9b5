"""Clock interface; code that decides by time takes a clock and never reads the system time."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from datetime import UTC, datetime, timedelta

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(ABC):
    """Provide wall-clock time for logs and monotonic time for everything else."""

    @abstractmethod
    def now(self) -> datetime:
        """Return the wall-clock time in UTC; it may jump, so use it for display and logs only."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never decreases, not comparable across hosts."""


class SystemClock(Clock):
    """Read the clocks of this host; monotonic time includes time in which the host is suspended."""

    def now(self) -> datetime:
        return datetime.now(tz=UTC)

    def monotonic(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """Advance only by calls of `advance`; for tests."""

    def __init__(self, start_s: float = 0.0) -> None:
        self._elapsed_s = start_s
        self._epoch = datetime(2026, 1, 1, tzinfo=UTC)

    def now(self) -> datetime:
        """Return a fixed date plus the time advanced so far."""
        return self._epoch + timedelta(seconds=self._elapsed_s)

    def monotonic(self) -> float:
        return self._elapsed_s

    def advance(self, seconds: float) -> None:
        """Move the time forward; raises ValueError if `seconds` is negative."""
        if seconds < 0:
            raise ValueError(f"cannot move the clock back by {-seconds} s")
        self._elapsed_s += seconds

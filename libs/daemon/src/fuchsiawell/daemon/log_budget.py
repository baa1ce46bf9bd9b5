"""A bound on how many events of one kind are logged a second."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.core import Clock, EventLog

__all__ = ["LogBudget"]


class LogBudget:
    """Log events up to a number a second, and how many were left out."""

    def __init__(self, log: EventLog, clock: Clock, most_per_s: int) -> None:
        self._log = log
        self._clock = clock
        self._most_per_s = most_per_s
        self._second = 0
        self._logged = 0
        self._left_out = 0

    def event(self, name: str, **fields: object) -> None:
        """Log the event, or count it as left out."""
        second = int(self._clock.monotonic())
        if second != self._second:
            self._second = second
            self._logged = 0
        if self._logged >= self._most_per_s:
            self._left_out += 1
            return
        self._logged += 1
        if self._left_out:
            fields["left_out_before"] = self._left_out
            self._left_out = 0
        self._log.event(name, **fields)

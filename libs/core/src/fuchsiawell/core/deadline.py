"""Deadlines that shrink from hop to hop and never trust another host's clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.core.clock import Clock

__all__ = ["Deadline"]


@dataclass(frozen=True, slots=True, order=True)
class Deadline:
    """Hold the monotonic time of this host after which an answer is of no use."""

    at_s: float

    @classmethod
    def after(cls, clock: Clock, budget_s: float) -> Deadline:
        """Return the deadline `budget_s` seconds from now."""
        return cls(clock.monotonic() + budget_s)

    def remaining_s(self, clock: Clock) -> float:
        """Return the seconds left; negative once the deadline has passed."""
        return self.at_s - clock.monotonic()

    def passed(self, clock: Clock) -> bool:
        """Tell whether no time is left."""
        return self.remaining_s(clock) <= 0

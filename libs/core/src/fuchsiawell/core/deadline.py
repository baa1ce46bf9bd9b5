"""Request deadlines; hops pass on the time left, so no host relies on another host's clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.core.clock import Clock

__all__ = ["Deadline"]


@dataclass(frozen=True, slots=True, order=True)
class Deadline:
    """A monotonic time of this host, in seconds, after which a response is useless."""

    expires_at_s: float

    @classmethod
    def after(cls, clock: Clock, budget_s: float) -> Deadline:
        """Return the deadline `budget_s` seconds from now."""
        return cls(clock.monotonic() + budget_s)

    def remaining_s(self, clock: Clock) -> float:
        """Return the seconds left; negative once the deadline has expired."""
        return self.expires_at_s - clock.monotonic()

    def expired(self, clock: Clock) -> bool:
        return self.remaining_s(clock) <= 0

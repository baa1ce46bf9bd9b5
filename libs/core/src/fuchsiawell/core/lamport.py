"""A logical clock that orders events of several hosts without trusting their clocks."""

from __future__ import annotations

__all__ = ["LamportClock"]


class LamportClock:
    """Count events so that a message's sending always counts lower than its receipt.

    Source: L. Lamport, "Time, clocks, and the ordering of events in a distributed system", 1978.
    """

    def __init__(self) -> None:
        self._count = 0

    def tick(self) -> int:
        """Advance for a local event or a message to be sent, and return the new count."""
        self._count += 1
        return self._count

    def merge(self, received: int) -> int:
        """Advance past the count that came with a message, and return the new count."""
        self._count = max(self._count, received) + 1
        return self._count

"""Lamport clock: orders events of several hosts without relying on their wall clocks."""

from __future__ import annotations

__all__ = ["LamportClock"]


class LamportClock:
    """Count events so that the sending of a message has a lower count than its receipt.

    Source: L. Lamport, "Time, clocks, and the ordering of events in a distributed system", 1978.
    """

    def __init__(self) -> None:
        self._count = 0

    def tick(self) -> int:
        """Advance for a local event or a message to be sent, and return the new count."""
        self._count += 1
        return self._count

    def merge(self, received: int) -> int:
        """Advance past the count received with a message, and return the new count."""
        self._count = max(self._count, received) + 1
        return self._count

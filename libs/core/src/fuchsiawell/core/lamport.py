"""Lamport clock: orders events of several hosts without relying on their wall clocks."""

from __future__ import annotations

__all__ = ["LamportClock"]

# At a million events a second it takes 285 years to reach this.
MAX_COUNT = 2**53


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
        """Advance past the count received with a message, and return the new count.

        A count that no clock can have reached is ignored: counts must stay within 64 bits.
        """
        self._count = max(self._count, received if received <= MAX_COUNT else 0) + 1
        return self._count

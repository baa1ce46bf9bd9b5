"""Count what each server has in hand: own requests, and those that other daemons reported."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

__all__ = ["InFlightCounts", "short_id"]

# Seconds after which a silent daemon's report is no longer believed; a few reporting intervals.
REPORT_LIFE_S = 1.0


def short_id(backend_id: str) -> int:
    """Return 32 bits that stand for a server in reports between daemons."""
    return zlib.crc32(backend_id.encode())


class InFlightCounts:
    """Outstanding requests by server."""

    def __init__(self) -> None:
        self._own: dict[str, int] = {}
        self._reports: dict[str, tuple[float, Mapping[int, int]]] = {}
        self._others: dict[int, int] = {}

    def own_count(self, backend_id: str) -> int:
        """Return how many requests of this daemon a server has."""
        return self._own.get(backend_id, 0)

    def total(self, backend_id: str) -> int:
        """Return how many requests a server has, as far as known."""
        return self.own_count(backend_id) + self._others.get(short_id(backend_id), 0)

    def started(self, backend_id: str) -> None:
        """Count a request that was sent."""
        self._own[backend_id] = self.own_count(backend_id) + 1

    def finished(self, backend_id: str) -> None:
        """Count a request that ended."""
        left = self.own_count(backend_id) - 1
        if left > 0:
            self._own[backend_id] = left
        else:
            self._own.pop(backend_id, None)

    def own_report(self) -> dict[int, int]:
        """Return this daemon's counts for the others."""
        return {short_id(backend_id): count for backend_id, count in self._own.items()}

    def combined_report(self, sources: Collection[str]) -> dict[int, int]:
        """Return this daemon's counts and those of some other sources, added up."""
        total = self.own_report()
        for source in sources:
            if source in self._reports:
                _add(total, self._reports[source][1])
        return total

    def full_report(self) -> dict[int, int]:
        """Return all that is known, added up."""
        total = self.own_report()
        _add(total, self._others)
        return total

    def discard_report(self, source: str) -> None:
        """Drop what a source reported: it comes by another way now."""
        if self._reports.pop(source, None) is not None:
            self._sum(max((at_s for at_s, _ in self._reports.values()), default=0.0))

    def apply_report(self, daemon: str, counts: Mapping[int, int], now_s: float) -> None:
        """Take the counts of another daemon, or of several together."""
        self._reports[daemon] = (now_s, counts)
        self._sum(now_s)

    def expire(self, now_s: float) -> None:
        """Drop reports of daemons that fell silent."""
        if any(now_s - at_s > REPORT_LIFE_S for at_s, _ in self._reports.values()):
            self._sum(now_s)

    def _sum(self, now_s: float) -> None:
        self._reports = {
            daemon: (at_s, counts)
            for daemon, (at_s, counts) in self._reports.items()
            if now_s - at_s <= REPORT_LIFE_S
        }
        self._others = {}
        for _, counts in self._reports.values():
            _add(self._others, counts)


def _add(total: dict[int, int], counts: Mapping[int, int]) -> None:
    for key, count in counts.items():
        total[key] = total.get(key, 0) + count

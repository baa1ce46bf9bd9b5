"""In-flight requests by backend server: this daemon's own and those that other daemons report."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

__all__ = ["InFlightCounts", "short_id"]

# A report that is not renewed for this long, a few reporting intervals, is dropped.
REPORT_TTL_S = 1.0


def short_id(backend_id: str) -> int:
    """Return the 32-bit id of a server in reports between daemons."""
    return zlib.crc32(backend_id.encode())


class InFlightCounts:
    """Count in-flight requests by backend server."""

    def __init__(self) -> None:
        self._own_by_id: dict[str, int] = {}
        # Whether reports to other daemons include this daemon's own requests.
        self.reports_own = True
        self._report_by_source: dict[str, tuple[float, Mapping[int, int]]] = {}
        self._others_by_short_id: dict[int, int] = {}

    def own_count(self, backend_id: str) -> int:
        """Return the number of this daemon's in-flight requests at a server."""
        return self._own_by_id.get(backend_id, 0)

    def total(self, backend_id: str) -> int:
        """Return the number of in-flight requests at a server, including those in reports."""
        return self.own_count(backend_id) + self._others_by_short_id.get(short_id(backend_id), 0)

    def started(self, backend_id: str) -> None:
        """Count a request that is sent to a server."""
        self._own_by_id[backend_id] = self.own_count(backend_id) + 1

    def finished(self, backend_id: str) -> None:
        """Stop counting a request that is no longer in flight."""
        remaining = self.own_count(backend_id) - 1
        if remaining > 0:
            self._own_by_id[backend_id] = remaining
        else:
            self._own_by_id.pop(backend_id, None)

    def own_report(self) -> dict[int, int]:
        """Return this daemon's counts by short id, to send to other daemons."""
        if not self.reports_own:
            return {}
        return {short_id(backend_id): count for backend_id, count in self._own_by_id.items()}

    def combined_report(self, sources: Collection[str]) -> dict[int, int]:
        """Return the sum of this daemon's counts and the last reports of `sources`."""
        total = self.own_report()
        for source in sources:
            if source in self._report_by_source:
                _add_counts(total, self._report_by_source[source][1])
        return total

    def full_report(self) -> dict[int, int]:
        """Return the sum of this daemon's counts and all reports."""
        total = self.own_report()
        _add_counts(total, self._others_by_short_id)
        return total

    def discard_report(self, source: str) -> None:
        """Discard the report of a source whose counts now arrive in another report."""
        _, counts = self._report_by_source.pop(source, (0.0, {}))
        for key, count in counts.items():
            remaining = self._others_by_short_id[key] - count
            if remaining > 0:
                self._others_by_short_id[key] = remaining
            else:
                del self._others_by_short_id[key]

    def apply_report(self, source: str, counts: Mapping[int, int], now_s: float) -> None:
        """Replace the last report of `source`: one daemon, or a sum over several."""
        self.discard_report(source)
        # Without counts of 0, so that each count of a report has its part in the sum.
        present = {key: count for key, count in counts.items() if count}
        self._report_by_source[source] = (now_s, present)
        _add_counts(self._others_by_short_id, present)

    def expire(self, now_s: float) -> None:
        """Drop reports older than `REPORT_TTL_S`."""
        expired = [
            source
            for source, (at_s, _) in self._report_by_source.items()
            if now_s - at_s > REPORT_TTL_S
        ]
        for source in expired:
            self.discard_report(source)


def _add_counts(total: dict[int, int], counts: Mapping[int, int]) -> None:
    for key, count in counts.items():
        total[key] = total.get(key, 0) + count

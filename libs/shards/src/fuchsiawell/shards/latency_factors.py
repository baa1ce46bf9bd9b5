"""Latency factors of backend servers, averaged over the reports of all daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["LatencyFactors"]

# Weight of a report in the moving average, so that about the last ten count; each daemon sends
# three per second.
REPORT_WEIGHT = 0.1
MIN_LATENCY_FACTOR = 0.1


class LatencyFactors:
    """Average the latency factors that daemons report."""

    def __init__(self) -> None:
        self._average_by_short_id: dict[int, float] = {}

    def apply_report(self, percent_by_short_id: Mapping[int, int]) -> None:
        """Apply a daemon's report: latency factors in percent by short id of the server."""
        for short_id, percent in percent_by_short_id.items():
            average = self._average_by_short_id.get(short_id, 1.0)
            self._average_by_short_id[short_id] = average + REPORT_WEIGHT * (
                percent / 100 - average
            )

    def latency_factor(self, short_id: int) -> float:
        """Return the latency factor of the server with this short id; 1.0 without reports."""
        return max(MIN_LATENCY_FACTOR, self._average_by_short_id.get(short_id, 1.0))

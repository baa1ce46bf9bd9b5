"""Counts and latencies of one daemon, in bounded memory."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from hdrh.histogram import HdrHistogram

from fuchsiawell.core import Answered, NotRun, Unknown

if TYPE_CHECKING:
    from fuchsiawell.core import Outcome

__all__ = ["Metrics"]

HIGHEST_US = 600_000_000  # ten minutes; longer ones count as this
SIGNIFICANT_DIGITS = 2  # 50 KB a histogram, each value within 1 in 100
US_PER_S = 1_000_000
US_PER_MS = 1_000
MAX_NAMES = 256  # further service and kind names share one histogram
OTHER = "other"


class Metrics:
    """Count outcomes, and record how long callers waited, by service and kind."""

    def __init__(self) -> None:
        self._count_by_outcome: Counter[str] = Counter()
        self._waits_by_name: dict[str, HdrHistogram] = {}

    def record(self, service: str, kind: str, outcome: Outcome, waited_s: float) -> None:
        """Count one request that ended; only whole answers enter the latencies."""
        match outcome:
            case Answered():
                self._count_by_outcome["answered"] += 1
                histogram = self._histogram(f"{service}/{kind}")
                histogram.record_value(min(HIGHEST_US, max(1, int(waited_s * US_PER_S))))
            case NotRun(reason):
                self._count_by_outcome[f"not-run/{reason.value}"] += 1
            case Unknown():
                self._count_by_outcome["unknown"] += 1

    def count_cut(self) -> None:
        """Count one answer that was cut, or whose caller went away."""
        self._count_by_outcome["cut"] += 1

    def to_json(self) -> dict[str, Any]:
        """Return `outcomes` by name, and `latency_ms` by service and kind."""
        return {
            "outcomes": dict(self._count_by_outcome),
            "latency_ms": {
                name: {
                    "count": histogram.get_total_count(),
                    "p50": histogram.get_value_at_percentile(50) / US_PER_MS,
                    "p99": histogram.get_value_at_percentile(99) / US_PER_MS,
                    "max": histogram.get_max_value() / US_PER_MS,
                }
                for name, histogram in self._waits_by_name.items()
            },
        }

    def _histogram(self, name: str) -> HdrHistogram:
        known = self._waits_by_name.get(name)
        if known is not None:
            return known
        if len(self._waits_by_name) >= MAX_NAMES:
            name = OTHER
        return self._waits_by_name.setdefault(name, HdrHistogram(1, HIGHEST_US, SIGNIFICANT_DIGITS))

"""Counters and latency histograms of one daemon in the text format of a metrics collector."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["Metrics"]

MIN_TRACKABLE_MS, MAX_TRACKABLE_MS, SIGNIFICANT_DIGITS = 1, 60_000, 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)
# Further labels of a counter are counted together as "other".
MAX_SERIES_PER_COUNTER = 500


class Metrics:
    """Count by name and label; labels come from bounded sets such as routes, servers, statuses."""

    def __init__(self) -> None:
        self._counters: dict[str, Counter[str]] = {}
        self._histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, label: str = "", by: int = 1) -> None:
        series = self._counters.setdefault(name, Counter())
        if label not in series and len(series) >= MAX_SERIES_PER_COUNTER:
            label = "other"
        series[label] += by

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = HdrHistogram(
                MIN_TRACKABLE_MS, MAX_TRACKABLE_MS, SIGNIFICANT_DIGITS
            )
        histogram.record_value(min(MAX_TRACKABLE_MS, max(MIN_TRACKABLE_MS, round(seconds * 1000))))

    def total(self, name: str) -> int:
        """Return a counter's sum over all labels."""
        return sum(self._counters.get(name, {}).values())

    def render(self, gauges: Mapping[str, float]) -> str:
        """Return all metrics as text, one per line, with the given gauges."""
        lines = [f"fuchsiawell_{name} {value:g}" for name, value in sorted(gauges.items())]
        for name, series in sorted(self._counters.items()):
            for label, value in sorted(series.items()):
                tag = f'{{label="{label}"}}' if label else ""
                lines.append(f"fuchsiawell_{name}_total{tag} {value}")
        for name, histogram in sorted(self._histograms.items()):
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile)
                lines.append(f'fuchsiawell_{name}_ms{{quantile="{quantile / 100:g}"}} {value}')
            lines.append(f"fuchsiawell_{name}_ms_count {histogram.get_total_count()}")
        return "\n".join(lines) + "\n"

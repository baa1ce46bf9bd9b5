"""Raise Lamport counts that lag behind the other processes.

A process that has just started, or was suspended, continues from an old count until the next
message from another process. Sorted by count alone its events would come long before they happened.
Each such event is placed relative to the next event of its process that has caught up: the time
between the two, by the process's own clock, is mapped to counts with the log of another process.
Only time differences are compared, never the clocks themselves.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fuchsiawell.cli.log_lines import LogLine

__all__ = ["CountCurve", "CountedLine", "raise_lagging_counts"]

# A smaller lag is not corrected, since counts of running daemons differ somewhat.
MIN_LAG_COUNTS = 100


@dataclass(frozen=True, slots=True)
class CountedLine:
    """Hold a log line and the Lamport count by which it is sorted."""

    count: float
    line: LogLine


class CountCurve:
    """Map counts to times and back for one process, with linear interpolation between events."""

    def __init__(self, events: Sequence[CountedLine]) -> None:
        self._counts: list[float] = []
        self._times_s: list[float] = []
        for event in events:
            time_s = event.line.time.timestamp()
            if not self._counts or (event.count > self._counts[-1] and time_s > self._times_s[-1]):
                self._counts.append(event.count)
                self._times_s.append(time_s)

    def covers(self, count: float) -> bool:
        """Tell whether the process logged events before `count` and at or after it."""
        return bool(self._counts) and self._counts[0] < count <= self._counts[-1]

    def count_before(self, count: float, span_s: float) -> float:
        """Return the count that the process had `span_s` before it reached `count`."""
        time_s = _interpolate(count, self._counts, self._times_s) - span_s
        return _interpolate(time_s, self._times_s, self._counts)


def raise_lagging_counts(
    events: Sequence[CountedLine], other_curves: Sequence[CountCurve]
) -> list[CountedLine]:
    """Return the events of one process with lagging counts raised.

    Each event uses the first of `other_curves` that covers the count of the event after it.
    """
    adjusted = list(events)
    for index in range(len(adjusted) - 2, -1, -1):
        event, next_event = adjusted[index], adjusted[index + 1]
        curve = next((curve for curve in other_curves if curve.covers(next_event.count)), None)
        if curve is None:
            continue
        span_s = max(0.0, (next_event.line.time - event.line.time).total_seconds())
        estimate = min(curve.count_before(next_event.count, span_s), next_event.count)
        # The curve is inexact over long spans, so the lag must also exceed the span in counts.
        if estimate - event.count > max(MIN_LAG_COUNTS, next_event.count - estimate):
            adjusted[index] = CountedLine(estimate, event.line)
    return adjusted


def _interpolate(x: float, xs: list[float], ys: list[float]) -> float:
    index = bisect_right(xs, x)
    if index == 0:
        return ys[0]
    if index == len(xs):
        return ys[-1]
    fraction = (x - xs[index - 1]) / (xs[index] - xs[index - 1])
    return ys[index - 1] + fraction * (ys[index] - ys[index - 1])

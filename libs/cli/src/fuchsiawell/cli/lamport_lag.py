"""Counts of the logical clock for events of a process that had not heard of others for a while.

A process that starts, or that was paused, counts on from an old value until the next message. By
count alone its events would stand long before they happened. They are placed by the span that its
own clock shows up to the next event that has caught up, laid onto another process's log. Spans are
compared and never the clocks themselves.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fuchsiawell.cli.log_lines import LogLine

__all__ = ["Counted", "Curve", "catch_up"]

LEAST_LAG = 100  # counts; a smaller one is left, since counts of running daemons differ somewhat


@dataclass(frozen=True, slots=True)
class Counted:
    """Hold an event and the count by which it is ordered."""

    count: float
    line: LogLine


class Curve:
    """Map counts to times and back as one process's log shows them, straight between its events."""

    def __init__(self, events: Sequence[Counted]) -> None:
        self._counts: list[float] = []
        self._times_s: list[float] = []
        for event in events:
            time_s = event.line.time.timestamp()
            if not self._counts or (event.count > self._counts[-1] and time_s > self._times_s[-1]):
                self._counts.append(event.count)
                self._times_s.append(time_s)

    def covers(self, count: float) -> bool:
        """Tell whether the process logged events before and after `count`."""
        return bool(self._counts) and self._counts[0] < count <= self._counts[-1]

    def count_before(self, count: float, span_s: float) -> float:
        """Return the count that the process had `span_s` seconds before it had `count`."""
        time_s = _interpolate(count, self._counts, self._times_s) - span_s
        return _interpolate(time_s, self._times_s, self._counts)


def catch_up(events: Sequence[Counted], others: Sequence[Curve]) -> list[Counted]:
    """Return the events of one process with the counts of stale ones raised."""
    placed = list(events)
    for at in range(len(placed) - 2, -1, -1):
        event, later = placed[at], placed[at + 1]
        curve = next((curve for curve in others if curve.covers(later.count)), None)
        if curve is None:
            continue
        span_s = max(0.0, (later.line.time - event.line.time).total_seconds())
        wanted = min(curve.count_before(later.count, span_s), later.count)
        # Over long spans the curve is rough; the lag must be large beside what it spans.
        if wanted - event.count > max(LEAST_LAG, later.count - wanted):
            placed[at] = Counted(wanted, event.line)
    return placed


def _interpolate(x: float, xs: list[float], ys: list[float]) -> float:
    at = bisect_right(xs, x)
    if at == 0:
        return ys[0]
    if at == len(xs):
        return ys[-1]
    share = (x - xs[at - 1]) / (xs[at] - xs[at - 1])
    return ys[at - 1] + share * (ys[at] - ys[at - 1])

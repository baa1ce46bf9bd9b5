"""Merge the events of all processes into one causal order, independent of clock skew.

The order within each process is kept. Between processes the Lamport clock decides: an event that
caused another one always has the lower count (Lamport 1978). The hosts' clocks only break ties.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from itertools import groupby
from operator import attrgetter
from typing import TYPE_CHECKING

from fuchsiawell.cli.lamport_lag import CountCurve, CountedLine, raise_lagging_counts

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from datetime import datetime

    from fuchsiawell.cli.log_lines import LogLine

__all__ = ["ClockLag", "EventFilter", "find_clock_lags", "merge"]

KEY_SEGMENT = 3  # index in a path split at "/", whose segment 0 is empty
MIN_REPORTED_LAG = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class EventFilter:
    """Select events that match every given value; `None` matches all."""

    key: str | None = None
    request: str | None = None
    server: str | None = None  # in the field `server` or `peer`
    daemon: str | None = None
    event: str | None = None
    since: datetime | None = None
    until: datetime | None = None

    def matches(self, line: LogLine) -> bool:
        return (
            (self.key is None or self._has_key(line, self.key))
            and (self.request is None or line.has_value("request", self.request))
            and (self.server is None or self._has_server(line, self.server))
            and (self.daemon is None or line.process == self.daemon)
            and (self.event is None or line.event == self.event)
            and (self.since is None or line.time >= self.since)
            and (self.until is None or line.time <= self.until)
        )

    @staticmethod
    def _has_key(line: LogLine, key: str) -> bool:
        # A rejected request is logged with its path, /service/kind/key.
        segments = str(line.fields.get("path", "")).split("/")
        return line.has_value("key", key) or segments[KEY_SEGMENT : KEY_SEGMENT + 1] == [key]

    @staticmethod
    def _has_server(line: LogLine, server: str) -> bool:
        return line.has_value("server", server) or line.has_value("peer", server)


@dataclass(frozen=True, slots=True)
class ClockLag:
    """A process whose host clock lags behind the merged order of events."""

    process: str
    lag: timedelta

    def __str__(self) -> str:
        lag_s = self.lag.total_seconds()
        return f"the clock of {self.process} is up to {lag_s:.1f} s behind the order of events"


def merge(logs: Iterable[list[LogLine]]) -> list[LogLine]:
    """Return all events in causal order; each log must be in the order of its process."""
    events_by_process = {process: _with_counts(lines) for process, lines in _by_process(logs)}
    entries: list[tuple[float, datetime, str, int, LogLine]] = []
    for process, events in events_by_process.items():
        adjusted = raise_lagging_counts(events, _curves_of_others(process, events_by_process))
        entries += [
            (event.count, event.line.time, process, index, event.line)
            for index, event in enumerate(adjusted)
        ]
    # The index keeps the order within a process where count and time are equal.
    entries.sort(key=lambda entry: entry[:4])
    return [line for *_, line in entries]


def find_clock_lags(lines: Iterable[LogLine]) -> list[ClockLag]:
    """Return the processes whose clock lags by over 1 s in merged `lines`, largest lag first."""
    latest: datetime | None = None
    lag_by_process: dict[str, timedelta] = {}
    for line in lines:
        if latest is None or line.time > latest:
            latest = line.time
        lag = latest - line.time
        if lag > lag_by_process.get(line.process, MIN_REPORTED_LAG):
            lag_by_process[line.process] = lag
    lags = [ClockLag(process, lag) for process, lag in lag_by_process.items()]
    return sorted(lags, key=lambda clock: (-clock.lag, clock.process))


def _by_process(logs: Iterable[list[LogLine]]) -> Iterator[tuple[str, list[LogLine]]]:
    """Yield the lines of each process; of its logs, the one that starts earliest comes first."""
    by_start = sorted((log for log in logs if log), key=lambda log: log[0].time)
    lines = [line for log in by_start for line in log]
    lines.sort(key=attrgetter("process"))  # a stable sort keeps the order within each process
    for process, group in groupby(lines, key=attrgetter("process")):
        yield process, list(group)


def _with_counts(lines: list[LogLine]) -> list[CountedLine]:
    """Return the lines with counts that increase even if a restarted process began at 0 again."""
    counted: list[CountedLine] = []
    last = -1
    for line in lines:
        last = max(last + 1, line.lamport)
        counted.append(CountedLine(last, line))
    return counted


def _curves_of_others(
    process: str, events_by_process: dict[str, list[CountedLine]]
) -> list[CountCurve]:
    """Return the curves of the other processes, the one with most events first."""
    others = [events for name, events in events_by_process.items() if name != process]
    return [CountCurve(events) for events in sorted(others, key=len, reverse=True)]

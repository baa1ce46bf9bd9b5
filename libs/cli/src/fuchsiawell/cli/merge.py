"""One order of events over all processes that does not trust their clocks.

Each process's own order is kept. Between processes the logical clock decides: what caused another
event always counts lower (Lamport 1978). The hosts' clocks only break ties.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from itertools import groupby
from operator import attrgetter
from typing import TYPE_CHECKING

from fuchsiawell.cli.lamport_lag import Counted, Curve, catch_up

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from datetime import datetime

    from fuchsiawell.cli.log_lines import LogLine

__all__ = ["ClockStep", "Filter", "clock_steps", "merge"]

KEY_SEGMENT = 3  # of a path, after the empty one before its first slash
CLOCK_STEP = timedelta(seconds=1)  # a clock this far back against the order is worth a note


@dataclass(frozen=True, slots=True)
class Filter:
    """Choose events; `None` chooses all."""

    key: str | None = None
    request: str | None = None
    server: str | None = None  # named as server or as peer
    daemon: str | None = None
    event: str | None = None
    since: datetime | None = None
    until: datetime | None = None

    def takes(self, line: LogLine) -> bool:
        """Tell whether the event is chosen."""
        return (
            (self.key is None or self._names_key(line, self.key))
            and (self.request is None or line.names("request", self.request))
            and (self.server is None or self._names_server(line, self.server))
            and (self.daemon is None or line.process == self.daemon)
            and (self.event is None or line.event == self.event)
            and (self.since is None or line.time >= self.since)
            and (self.until is None or line.time <= self.until)
        )

    @staticmethod
    def _names_key(line: LogLine, key: str) -> bool:
        # A refused request is logged with its path, /service/kind/key.
        segments = str(line.fields.get("path", "")).split("/")
        return line.names("key", key) or segments[KEY_SEGMENT : KEY_SEGMENT + 1] == [key]

    @staticmethod
    def _names_server(line: LogLine, server: str) -> bool:
        return line.names("server", server) or line.names("peer", server)


@dataclass(frozen=True, slots=True)
class ClockStep:
    """Report a process whose clock lies behind the order of events."""

    process: str
    behind: timedelta

    def __str__(self) -> str:
        """Return the report as one line."""
        seconds = self.behind.total_seconds()
        return f"the clock of {self.process} is up to {seconds:.1f} s behind the order of events"


def merge(logs: Iterable[list[LogLine]]) -> list[LogLine]:
    """Return all events in one order, from logs that are each in their process's order."""
    counted = {process: _counted(lines) for process, lines in _by_process(logs)}
    entries: list[tuple[float, datetime, str, int, LogLine]] = []
    for process, events in counted.items():
        placed = catch_up(events, _curves_besides(process, counted))
        entries += [
            (event.count, event.line.time, process, place, event.line)
            for place, event in enumerate(placed)
        ]
    # The place keeps a process's own order where count and time are equal.
    entries.sort(key=lambda entry: entry[:4])
    return [line for *_, line in entries]


def clock_steps(lines: Iterable[LogLine]) -> list[ClockStep]:
    """Return the processes whose clock goes back against the order, worst first."""
    latest: datetime | None = None
    behind_by_process: dict[str, timedelta] = {}
    for line in lines:
        if latest is None or line.time > latest:
            latest = line.time
        behind = latest - line.time
        if behind > behind_by_process.get(line.process, CLOCK_STEP):
            behind_by_process[line.process] = behind
    steps = [ClockStep(process, behind) for process, behind in behind_by_process.items()]
    return sorted(steps, key=lambda step: (-step.behind, step.process))


def _by_process(logs: Iterable[list[LogLine]]) -> Iterator[tuple[str, list[LogLine]]]:
    """Yield each process's lines; of several logs, the one that starts earlier comes first."""
    started = sorted((log for log in logs if log), key=lambda log: log[0].time)
    lines = [line for log in started for line in log]
    lines.sort(key=attrgetter("process"))  # stable: keeps the order within each process
    for process, group in groupby(lines, key=attrgetter("process")):
        yield process, list(group)


def _counted(lines: list[LogLine]) -> list[Counted]:
    """Count on where a restarted process began at zero again, so that its order is kept."""
    counted: list[Counted] = []
    last = -1
    for line in lines:
        last = max(last + 1, line.lamport)
        counted.append(Counted(last, line))
    return counted


def _curves_besides(process: str, counted: dict[str, list[Counted]]) -> list[Curve]:
    """Return the curves of the other processes, the one with most events first."""
    others = [events for name, events in counted.items() if name != process]
    return [Curve(events) for events in sorted(others, key=len, reverse=True)]

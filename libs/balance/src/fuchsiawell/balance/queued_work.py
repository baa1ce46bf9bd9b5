"""Work that waits for backend servers at all daemons, by urgency class, from their reports."""

from __future__ import annotations

from itertools import zip_longest
from typing import TYPE_CHECKING

from fuchsiawell.balance.in_flight import short_id

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

__all__ = ["QueuedWork", "WorkByServer", "expected_class_wait_s", "subtract_work"]

# Milliseconds of queued work by class, by short id of the server.
WorkByServer = dict[int, list[int]]

# A report that is not renewed for this long, a few reporting intervals, is dropped.
REPORT_TTL_S = 1.0


def expected_class_wait_s(
    own_ms: Sequence[int],
    others_ms: Sequence[int],
    urgency: int,
    running_s: float,
    slots: int,
    latency_factor: float,
) -> float:
    """Return the expected wait of a request at a server with a given latency factor.

    It waits for the work that runs, and for the queued work of its class and more urgent ones.
    """
    queued_ms = sum(own_ms[: urgency + 1]) + sum(others_ms[: urgency + 1])
    return (queued_ms / 1000 + running_s) * latency_factor / max(1, slots)


class QueuedWork:
    """Sum the queued work in the last report of each source."""

    def __init__(self) -> None:
        self._report_by_source: dict[str, tuple[float, WorkByServer]] = {}
        self._others: WorkByServer = {}

    def others_ms(self, backend_id: str) -> Sequence[int]:
        """Return the queued work of other daemons for a server, by class; empty if unknown."""
        return self._others.get(short_id(backend_id), ())

    def combined_report(
        self, own: Mapping[int, Sequence[int]], sources: Collection[str]
    ) -> WorkByServer:
        """Return the sum of this daemon's queued work and the last reports of `sources`."""
        total: WorkByServer = {}
        _add_work(total, own)
        for source in sources:
            if source in self._report_by_source:
                _add_work(total, self._report_by_source[source][1])
        return total

    def full_report(self, own: Mapping[int, Sequence[int]]) -> WorkByServer:
        """Return the sum of this daemon's queued work and all reports."""
        total: WorkByServer = {}
        _add_work(total, own)
        _add_work(total, self._others)
        return total

    def apply_report(self, source: str, work: WorkByServer, now_s: float) -> None:
        """Replace the last report of `source`: one daemon, or a sum over several."""
        self.discard_report(source)
        if work:
            self._report_by_source[source] = (now_s, work)
            _add_work(self._others, work)

    def discard_report(self, source: str) -> None:
        """Discard the report of a source."""
        _, work = self._report_by_source.pop(source, (0.0, {}))
        self._others = subtract_work(self._others, work)

    def expire(self, now_s: float) -> None:
        """Drop reports older than `REPORT_TTL_S`."""
        expired = [
            source
            for source, (at_s, _) in self._report_by_source.items()
            if now_s - at_s > REPORT_TTL_S
        ]
        for source in expired:
            self.discard_report(source)


def subtract_work(total: WorkByServer, work: Mapping[int, Sequence[int]]) -> WorkByServer:
    """Return a sum without one part of it; servers without queued work are left out."""
    remaining: WorkByServer = {}
    for server, by_class in total.items():
        part = work.get(server)
        if part is not None:
            rest = zip_longest(by_class, part, fillvalue=0)
            by_class = [max(0, a - b) for a, b in rest]
        if any(by_class):
            remaining[server] = by_class
    return remaining


def _add_work(total: WorkByServer, work: Mapping[int, Sequence[int]]) -> None:
    """Add queued work to a sum."""
    for server, by_class in work.items():
        known = total.get(server, [])
        total[server] = [a + b for a, b in zip_longest(known, by_class, fillvalue=0)]

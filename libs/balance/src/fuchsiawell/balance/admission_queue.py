"""Requests that wait for room: those that can still be in time first, the most urgent first."""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["QueuedRequest", "AdmissionQueue"]

# Waiting requests at most; above what a daemon can hold at a few seconds of overload.
LONGEST_LIST = 600
# Weight of a new sample in the time between two places that became free.
SAMPLE_WEIGHT = 0.1
# Seconds for which the measured time is believed: were it kept, requests refused for it would never
# wait, so that nothing would be measured again.
GAP_LIFE_S = 2.0


@dataclass(order=True)
class QueuedRequest:
    """A waiting request, ordered by rank, then by its deadline."""

    priority: int
    due_s: float
    order: int
    # Until then it must start to be answered within its target.
    in_time_until_s: float = field(compare=False)
    wake: Callable[[], None] = field(compare=False)
    woken: bool = field(default=False, compare=False)
    late: bool = field(default=False, compare=False)
    gone: bool = field(default=False, compare=False)


class AdmissionQueue:
    """Waiters for the same room at this daemon: a service's, or one server's.

    Under overload a plain queue answers everyone late. Requests that have missed their target wait
    behind those that have not, of whatever rank, so that as many as possible are in time.
    """

    def __init__(self) -> None:
        self._in_time: list[QueuedRequest] = []
        self._late: list[QueuedRequest] = []
        self._order = count()
        self._gap_s: float | None = None
        self._measured_s = float("-inf")
        self._last_start_s = float("-inf")
        self._live: Counter[tuple[bool, int]] = Counter()
        self._total = 0

    def __len__(self) -> int:
        """Return how many wait."""
        return self._total

    def expected_wait_s(self, priority: int, now_s: float, late: bool = False) -> float:
        """Return how long a new request of this rank would wait, in seconds; 0 if nobody knows."""
        if self._gap_s is None or now_s - self._measured_s > GAP_LIFE_S:
            return 0.0
        ahead = sum(
            number
            for (behind, rank), number in self._live.items()
            if (late and not behind) or (behind == late and rank <= priority)
        )
        return (ahead + 1) * self._gap_s

    def started(self, now_s: float, waited_since_s: float | None = None) -> None:
        """Note that a request got a place; gaps count only while requests wait.

        Where many daemons share a server, each sends it a request now and then: the time before
        the request began to wait says nothing of how long places take to become free.
        """
        if waited_since_s is not None:
            gap_s = now_s - max(waited_since_s, self._last_start_s)
            if self._gap_s is None or now_s - self._measured_s > GAP_LIFE_S:
                self._gap_s = gap_s
            else:
                self._gap_s += SAMPLE_WEIGHT * (gap_s - self._gap_s)
            self._measured_s = now_s
        self._last_start_s = now_s

    def enqueue(
        self, priority: int, due_s: float, in_time_until_s: float, wake: Callable[[], None]
    ) -> QueuedRequest | None:
        """Enter a request; None when the list is full."""
        if self._total >= LONGEST_LIST:
            return None
        waiter = QueuedRequest(priority, due_s, next(self._order), in_time_until_s, wake)
        heapq.heappush(self._in_time, waiter)
        self._live[False, priority] += 1
        self._total += 1
        return waiter

    def requeue(self, waiter: QueuedRequest) -> None:
        """Let a woken request that found no room wait on at its place in the order."""
        if waiter.woken and not waiter.gone:
            waiter.woken = False
            heapq.heappush(self._late if waiter.late else self._in_time, waiter)

    def remove(self, waiter: QueuedRequest) -> None:
        """Take a request out, whether it got a place or gave up."""
        if not waiter.gone:
            waiter.gone = True
            self._live[waiter.late, waiter.priority] -= 1
            self._total -= 1

    def wake(self, places: int, now_s: float) -> None:
        """Let as many requests look for room as there are places."""
        while places > 0 and (waiter := self._next(now_s)) is not None:
            waiter.woken = True
            places -= 1
            waiter.wake()

    def _next(self, now_s: float) -> QueuedRequest | None:
        while self._in_time:
            waiter = heapq.heappop(self._in_time)
            if waiter.gone or waiter.woken:
                continue
            if now_s <= waiter.in_time_until_s:
                return waiter
            waiter.late = True
            self._live[False, waiter.priority] -= 1
            self._live[True, waiter.priority] += 1
            heapq.heappush(self._late, waiter)
        while self._late:
            waiter = heapq.heappop(self._late)
            if not waiter.gone and not waiter.woken:
                return waiter
        return None

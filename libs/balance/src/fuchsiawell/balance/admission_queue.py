"""Admission queue: requests that wait for free capacity at the backend servers."""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

    from fuchsiawell.balance.queue_review import ReviewState

__all__ = ["AdmissionQueue", "QueuedRequest"]

# Above the number of requests that queue up at one daemon during a few seconds of overload.
MAX_QUEUED_REQUESTS = 600
# Weight of a new sample in the moving average of the time between two admissions.
SAMPLE_WEIGHT = 0.1
# An older average is discarded: requests refused because of it never queue, so that it would never
# be measured again.
GAP_TTL_S = 2.0


@dataclass(order=True)
class QueuedRequest:
    """A request in the lane of its class, ordered by priority, due time and arrival."""

    priority: int
    # The deadline; the latest start in services with several classes.
    due_s: float
    sequence: int
    # Latest start with which the response still meets the target latency of the route.
    latest_start_s: float = field(compare=False)
    wake: Callable[[], None] = field(compare=False)
    # Urgency class, 0 for the most urgent and for services without classes.
    urgency: int = field(default=0, compare=False)
    # Expected work at a server, for reports to other daemons.
    work_s: float = field(default=0.0, compare=False)
    woken: bool = field(default=False, compare=False)
    late: bool = field(default=False, compare=False)
    removed: bool = field(default=False, compare=False)
    # Set if the request is reviewed while it waits.
    review: ReviewState | None = field(default=None, compare=False)


@dataclass
class _Lane:
    """The queued requests of an urgency class, as heaps."""

    on_time: list[QueuedRequest] = field(default_factory=list)
    late: list[QueuedRequest] = field(default_factory=list)


class AdmissionQueue:
    """Queue this daemon's requests for one service, or for one backend server.

    Under overload a first-in first-out queue makes every response late. Requests that have missed
    their latest start queue behind all of their urgency class that have not, whatever their
    priority, so that as many as possible meet their target latency.
    """

    def __init__(self) -> None:
        self._lane_by_class: dict[int, _Lane] = {}
        self._sequence = count()
        self._admission_gap_s: float | None = None
        self._gap_measured_s = float("-inf")
        self._last_start_s = float("-inf")
        # By class, lateness and priority, for the expected wait.
        self._count_by_rank: Counter[tuple[int, bool, int]] = Counter()
        self._work_s_by_class: defaultdict[int, float] = defaultdict(float)
        self._queued_count = 0

    def __len__(self) -> int:
        """Return the number of queued requests, including woken ones until they are removed."""
        return self._queued_count

    def any_ahead(self, urgency: int) -> bool:
        """Return whether requests of a class, or of a more urgent one, are queued."""
        return self._queued_count > 0 and any(
            number > 0 and other <= urgency for (other, _, _), number in self._count_by_rank.items()
        )

    def count(self, urgency: int) -> int:
        """Return the number of queued requests of a class."""
        return sum(n for (other, _, _), n in self._count_by_rank.items() if other == urgency)

    def work_ms(self, classes: int) -> list[int]:
        """Return the expected work of the queued requests by class."""
        return [max(0, round(1000 * self._work_s_by_class[urgency])) for urgency in range(classes)]

    def in_order(self, now_s: float) -> Iterator[QueuedRequest]:
        """Yield the queued requests in the order in which they are woken, except woken ones."""
        for urgency in sorted(self._lane_by_class):
            lane = self._lane_by_class[urgency]
            requests = [r for r in (*lane.on_time, *lane.late) if not r.removed and not r.woken]
            yield from sorted(requests, key=lambda r: (r.late or now_s > r.latest_start_s, r))

    def expected_wait_s(
        self, priority: int, now_s: float, late: bool = False, urgency: int = 0
    ) -> float:
        """Return the expected wait of a new request; 0.0 without a recent measurement."""
        if self._admission_gap_s is None or now_s - self._gap_measured_s > GAP_TTL_S:
            return 0.0
        ahead = sum(
            number
            for rank, number in self._count_by_rank.items()
            if rank <= (urgency, late, priority)
        )
        return (ahead + 1) * self._admission_gap_s

    def record_admission(self, now_s: float, waited_since_s: float | None = None) -> None:
        """Record an admission; `waited_since_s` is None for a request that did not queue.

        Time between admissions counts only while a request waits: where many daemons share a
        server, each daemon sends it a request only now and then, and the time before the request
        was queued says nothing about how fast capacity becomes free.
        """
        if waited_since_s is not None:
            gap_s = now_s - max(waited_since_s, self._last_start_s)
            if self._admission_gap_s is None or now_s - self._gap_measured_s > GAP_TTL_S:
                self._admission_gap_s = gap_s
            else:
                self._admission_gap_s += SAMPLE_WEIGHT * (gap_s - self._admission_gap_s)
            self._gap_measured_s = now_s
        self._last_start_s = now_s

    def enqueue(
        self,
        priority: int,
        deadline_s: float,
        latest_start_s: float,
        wake: Callable[[], None],
        urgency: int | None = None,
        work_s: float = 0.0,
    ) -> QueuedRequest | None:
        """Add a request; return None when the queue is full.

        `wake` is called when the request may try to get capacity. `urgency` is None in services
        with a single class.
        """
        if self._queued_count >= MAX_QUEUED_REQUESTS:
            return None
        request = QueuedRequest(
            priority,
            # With classes, work that must start early is not passed by work with a long deadline.
            deadline_s if urgency is None else latest_start_s,
            next(self._sequence),
            latest_start_s,
            wake,
            urgency or 0,
            work_s,
        )
        heapq.heappush(self._lane(request.urgency).on_time, request)
        self._count_by_rank[request.urgency, False, priority] += 1
        self._work_s_by_class[request.urgency] += work_s
        self._queued_count += 1
        return request

    def requeue(self, request: QueuedRequest) -> None:
        """Put back a woken request that found no free capacity; it keeps its position."""
        if request.woken and not request.removed:
            request.woken = False
            lane = self._lane(request.urgency)
            heapq.heappush(lane.late if request.late else lane.on_time, request)

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request that was admitted or has given up."""
        if not request.removed:
            request.removed = True
            self._count_by_rank[request.urgency, request.late, request.priority] -= 1
            self._work_s_by_class[request.urgency] -= request.work_s
            self._queued_count -= 1

    def wake(self, free_slots: int, now_s: float) -> None:
        """Wake up to `free_slots` requests, in the order of the queue."""
        self.wake_by_class((free_slots,), now_s)

    def wake_by_class(self, free_by_class: Sequence[int], now_s: float) -> None:
        """Wake the requests that have room, in the order of the queue.

        `free_by_class` holds the room of each class; all woken requests count towards it.
        """
        woken = 0
        for urgency in sorted(self._lane_by_class):
            free_slots = free_by_class[min(urgency, len(free_by_class) - 1)]
            while woken < free_slots and (request := self._pop_next(urgency, now_s)) is not None:
                request.woken = True
                woken += 1
                request.wake()

    def _lane(self, urgency: int) -> _Lane:
        return self._lane_by_class.setdefault(urgency, _Lane())

    def _pop_next(self, urgency: int, now_s: float) -> QueuedRequest | None:
        lane = self._lane_by_class[urgency]
        while lane.on_time:
            request = heapq.heappop(lane.on_time)
            if request.removed or request.woken:
                continue
            if now_s <= request.latest_start_s:
                return request
            request.late = True
            self._count_by_rank[urgency, False, request.priority] -= 1
            self._count_by_rank[urgency, True, request.priority] += 1
            heapq.heappush(lane.late, request)
        while lane.late:
            request = heapq.heappop(lane.late)
            if not request.removed and not request.woken:
                return request
        return None

"""One service's servers and their queues in virtual time."""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from typing import TYPE_CHECKING

from fuchsiawell.bench.policy.traces import DURATION_S, arrivals
from fuchsiawell.core import RequestId
from fuchsiawell.load import Admission, Admit, Entry, Queued, QueueSettings, Shed
from fuchsiawell.load.coalesce import Coalescer

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.bench.policy.routing import Router
    from fuchsiawell.bench.policy.traces import Arrival, Outage, Trace
    from fuchsiawell.load import Progress

__all__ = ["WINDOW_S", "CellRun", "RunFigures"]

WINDOW_S = 60.0  # over which a server's busy time is compared with the mean
TICK_S = 1.0  # between two thoughts of the controller
CHECK_S = 0.05  # between two looks at each queue
DETECT_S = 1.5  # from a server's loss to the proof that it is lost
RETURN_S = 1.0  # from a server's return to its use
COLD_S = 10.0  # during which a server that returned takes twice as long
SLOW_FACTOR = 1.5
CALLERS = 50


@dataclass(slots=True)
class RunFigures:
    """Collect what one run measures."""

    answered_in_time: int = 0
    failed: int = 0
    unavailable_s: float = 0.0  # of callers without an answer in time, from asking to giving up
    latencies_s: list[float] = field(default_factory=list)
    busy_by_window: dict[int, dict[int, float]] = field(default_factory=dict)
    imbalance_by_window: dict[int, float] = field(default_factory=dict)
    keys_moved: int = 0
    keys_moved_by_loss: int = 0  # part of `keys_moved` that no policy can avoid

    def p99_ms(self) -> float:
        """Return the 99th percentile of the time to an answer."""
        ordered = sorted(self.latencies_s)
        return ordered[int(0.99 * (len(ordered) - 1))] * 1000 if ordered else 0.0

    def imbalance(self) -> float:
        """Return the mean over windows but the first, in which all policies start alike."""
        rest = [value for window, value in self.imbalance_by_window.items() if window > 0]
        return sum(rest) / len(rest)


@dataclass(slots=True)
class _Request:
    arrival: Arrival
    server: int
    generation: int


class CellRun:
    """Feed one trace through one policy; every request ends in exactly one way."""

    def __init__(self, trace: Trace, router: Router, seed: int, *, coalesce: bool = False) -> None:
        self._trace = trace
        self._site = trace.site
        self._router = router
        self._seed = seed
        settings = QueueSettings(slots=self._site.slots, initial_service_s=self._site.service_s)
        self._queues = [Admission(settings) for _ in range(self._site.servers)]
        self._generations = [0] * self._site.servers
        self._down: set[int] = set()
        self._cold_until_s = [0.0] * self._site.servers
        self._coalescers: list[Coalescer[Entry]] | None = None
        if coalesce:
            self._coalescers = [Coalescer() for _ in range(self._site.servers)]
        self._requests: dict[Entry, _Request] = {}
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = count()
        router.usable_slots = lambda server, now_s: self._queues[server].limit(now_s)
        self.figures = RunFigures()

    def run(self) -> RunFigures:
        """Play the trace to its end, and let what was admitted finish."""
        self._repeat(TICK_S, self._router.tick)
        self._repeat(CHECK_S, self._check_queues)
        for outage in self._trace.outages:
            self._plan(outage)
        for number, arrival in enumerate(arrivals(self._trace, self._seed)):
            self._play_until(arrival.at_s)
            self._arrive(arrival, number)
        self._play_until(DURATION_S + 2 * self._site.deadline_s)
        self.figures.keys_moved = self._router.keys_moved
        self.figures.keys_moved_by_loss = self._router.keys_moved_by_loss
        self._close_windows()
        return self.figures

    def _at(self, at_s: float, action: Callable[[float], None]) -> None:
        heappush(self._events, (at_s, next(self._sequence), action))

    def _repeat(self, every_s: float, action: Callable[[float], None]) -> None:
        def again(now_s: float) -> None:
            action(now_s)
            if now_s < DURATION_S + self._site.deadline_s:
                self._at(now_s + every_s, again)

        self._at(every_s, again)

    def _play_until(self, end_s: float) -> None:
        while self._events and self._events[0][0] <= end_s:
            at_s, _, action = heappop(self._events)
            action(at_s)

    def _plan(self, outage: Outage) -> None:
        for server in outage.servers:
            self._at(outage.from_s, lambda now_s, s=server: self._lose(s))  # type: ignore[misc]
            self._at(
                outage.from_s + DETECT_S,
                lambda now_s, s=server: self._router.lost(s, now_s),  # type: ignore[misc]
            )
            self._at(
                outage.until_s,
                lambda now_s, s=server: self._return(s, now_s),  # type: ignore[misc]
            )

    def _lose(self, server: int) -> None:
        self._down.add(server)
        self._generations[server] += 1
        for entry in self._queues[server].suspend():
            self._fail(entry)

    def _return(self, server: int, now_s: float) -> None:
        self._down.discard(server)
        self._cold_until_s[server] = now_s + COLD_S
        self._queues[server].resume(now_s)
        self._at(now_s + RETURN_S, lambda later_s: self._router.returned(server, later_s))

    def _arrive(self, arrival: Arrival, number: int) -> None:
        deadline_s = arrival.at_s + self._site.deadline_s
        entry = Entry(RequestId(""), "read", f"c{number % CALLERS}", deadline_s)
        server, ready_s = self._router.route(arrival.key, arrival.at_s)
        self._requests[entry] = _Request(arrival, server, 0)
        self._router.outstanding(server, 1)
        if ready_s > arrival.at_s:
            self._at(ready_s, lambda now_s: self._offer(entry, now_s))
        else:
            self._offer(entry, arrival.at_s)

    def _offer(self, entry: Entry, now_s: float) -> None:
        request = self._requests[entry]
        if self._coalescers and request.arrival.is_read:
            fingerprint = request.arrival.key.to_bytes(4)
            if self._coalescers[request.server].join(fingerprint, entry) is not None:
                return
        match self._queues[request.server].offer(entry, now_s):
            case Admit():
                self._start(entry, now_s)
            case Queued(displaced):
                for shed in displaced:
                    self._shed(shed.entry, now_s)
            case Shed():
                self._shed(entry, now_s)

    def _start(self, entry: Entry, now_s: float) -> None:
        request = self._requests[entry]
        if self._coalescers:
            self._coalescers[request.server].started(entry)
        request.generation = self._generations[request.server]
        service_s = request.arrival.service_s
        if now_s < self._cold_until_s[request.server]:
            service_s *= 2
        if request.server == self._trace.slow_server:
            service_s *= SLOW_FACTOR
        self._at(now_s + service_s, lambda end_s: self._finish(entry, service_s, end_s))

    def _finish(self, entry: Entry, service_s: float, now_s: float) -> None:
        request = self._requests[entry]
        server = request.server
        was_lost = request.generation != self._generations[server]
        progress = self._queues[server].finish(entry, now_s, measured=not was_lost)
        if was_lost:
            self._fail(entry)
        else:
            self._count_busy(server, service_s, now_s)
            self._router.record(server, request.arrival.key, service_s, now_s)
            members = self._coalescers[server].finish(entry) if self._coalescers else ()
            for answered in (entry, *members):
                self._answer(answered, now_s)
        self._follow(progress, now_s)

    def _answer(self, entry: Entry, now_s: float) -> None:
        request = self._requests.pop(entry)
        self._router.outstanding(request.server, -1)
        took_s = now_s - request.arrival.at_s
        self.figures.latencies_s.append(took_s)
        if now_s <= entry.deadline_s:
            self.figures.answered_in_time += 1
        else:
            self.figures.failed += 1
            self.figures.unavailable_s += took_s

    def _shed(self, entry: Entry, now_s: float) -> None:
        request = self._requests[entry]
        expected_s = self._queues[request.server].expected_s(entry.kind)
        self._router.record(request.server, request.arrival.key, expected_s, now_s)
        self._fail(entry)

    def _fail(self, entry: Entry) -> None:
        request = self._requests.pop(entry)
        if self._coalescers:
            for member in self._coalescers[request.server].finish(entry):
                self._fail(member)
        self._router.outstanding(request.server, -1)
        self.figures.failed += 1
        self.figures.unavailable_s += self._site.deadline_s

    def _follow(self, progress: Progress, now_s: float) -> None:
        for shed in progress.shed:
            self._shed(shed.entry, now_s)
        for entry in progress.start:
            self._start(entry, now_s)

    def _check_queues(self, now_s: float) -> None:
        for queue in self._queues:
            if queue.queued:
                self._follow(queue.expire(now_s), now_s)

    def _count_busy(self, server: int, service_s: float, now_s: float) -> None:
        window = int((now_s - service_s / 2) / WINDOW_S)
        busy = self.figures.busy_by_window.setdefault(window, {})
        busy[server] = busy.get(server, 0.0) + service_s

    def _close_windows(self) -> None:
        for window in range(int(DURATION_S / WINDOW_S)):
            steady = [s for s in range(self._site.servers) if self._was_up(s, window)]
            busy = [self.figures.busy_by_window[window].get(server, 0.0) for server in steady]
            self.figures.imbalance_by_window[window] = max(busy) * len(busy) / sum(busy)

    def _was_up(self, server: int, window: int) -> bool:
        from_s, until_s = window * WINDOW_S, (window + 1) * WINDOW_S
        return not any(
            server in outage.servers and outage.from_s < until_s and outage.until_s > from_s
            for outage in self._trace.outages
        )

"""Admission rules under comparison for one server's slots."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.load import Admission, Admit, Progress, Queued, QueueSettings, Shed

if TYPE_CHECKING:
    from random import Random

    from fuchsiawell.load import Entry

__all__ = ["AdmissionRule", "DeadlineQueue", "LoadManager", "NoControl", "Step"]

SET_POINT = 0.9  # share of the server's throughput that the load manager aims at
ESTIMATE_GAIN = 0.5  # a second, of the estimated throughput
PROBE_FACTOR = 1.2  # an interval without a queue, until the estimate is nominal again


@dataclass(frozen=True, slots=True)
class Step:
    """List what starts, and what is refused with its time to come back (`None`: not told)."""

    start: tuple[Entry, ...] = ()
    shed: tuple[tuple[Entry, float | None], ...] = ()


class AdmissionRule(ABC):
    """Decide which requests get the slots of one server."""

    name: str

    @abstractmethod
    def offer(self, entry: Entry, now_s: float) -> Step:
        """Take a new request."""

    @abstractmethod
    def finish(self, entry: Entry, now_s: float) -> Step:
        """Take back the slot of a request that ended."""

    def tick(self, now_s: float) -> Step:
        """Reconsider, twenty times a second."""
        return Step()


class NoControl(AdmissionRule):
    """Queue everything, first come first served."""

    name = "no-control"

    def __init__(self, slots: int) -> None:
        self._free = slots
        self._waiting: deque[Entry] = deque()

    def offer(self, entry: Entry, now_s: float) -> Step:
        """Start or queue the request."""
        self._waiting.append(entry)
        return self._fill()

    def finish(self, entry: Entry, now_s: float) -> Step:
        """Start the next request."""
        self._free += 1
        return self._fill()

    def _fill(self) -> Step:
        start = []
        while self._free and self._waiting:
            self._free -= 1
            start.append(self._waiting.popleft())
        return Step(tuple(start))


class LoadManager(NoControl):
    """Drop a share of arrivals so that throughput keeps up with the queue.

    Source: R. Brondolin et al., "Performance-aware load shedding for monitoring events in
    container based environments", 2018: mu(t+1) = lambda(t) + mu_max * e(t), with
    e(t) = U(t) - set point and U(t) = (lambda(t) + Q(t)) / mu_max.
    """

    def __init__(self, slots: int, mu_max: float, interval_s: float, random: Random) -> None:
        super().__init__(slots)
        self.name = f"load-manager-{interval_s:g}s"
        self._nominal = mu_max
        self._mu_max = mu_max
        self._interval_s = interval_s
        self._random = random
        self._arrived = 0
        self._finished = 0
        self._drop_chance = 0.0
        self._next_s = interval_s

    def offer(self, entry: Entry, now_s: float) -> Step:
        """Drop the request by chance, or queue it."""
        self._arrived += 1
        if self._random.random() < self._drop_chance:
            return Step(shed=((entry, None),))
        return super().offer(entry, now_s)

    def finish(self, entry: Entry, now_s: float) -> Step:
        """Count the throughput."""
        self._finished += 1
        return super().finish(entry, now_s)

    def tick(self, now_s: float) -> Step:
        """Compute the chance to drop for the next interval."""
        if now_s + 1e-9 < self._next_s:
            return Step()
        self._next_s += self._interval_s
        rate = self._arrived / self._interval_s
        self._estimate_throughput()
        utilization = (rate + len(self._waiting)) / self._mu_max
        wanted = rate + self._mu_max * (utilization - SET_POINT)
        kept = SET_POINT * self._mu_max
        self._drop_chance = 1 - kept / wanted if wanted > kept else 0.0
        self._arrived = self._finished = 0
        return Step()

    def _estimate_throughput(self) -> None:
        """Follow what a busy server finishes; return to the nominal rate while it has room."""
        if self._waiting:
            finished = self._finished / self._interval_s
            gain = min(1.0, ESTIMATE_GAIN * self._interval_s)
            self._mu_max = max(1.0, self._mu_max + gain * (finished - self._mu_max))
        else:
            self._mu_max = min(self._nominal, self._mu_max * PROBE_FACTOR)


class DeadlineQueue(AdmissionRule):
    """Use the leader's own queue."""

    name = "deadline-queue"

    def __init__(self, slots: int, service_s: float) -> None:
        self._queue = Admission(QueueSettings(slots=slots, initial_service_s=service_s))

    def offer(self, entry: Entry, now_s: float) -> Step:
        """Ask the queue."""
        match self._queue.offer(entry, now_s):
            case Admit():
                return Step(start=(entry,))
            case Queued(displaced):
                return Step(shed=tuple((s.entry, s.shed.retry_after_s) for s in displaced))
            case Shed(_, retry_after_s):
                return Step(shed=((entry, retry_after_s),))

    def finish(self, entry: Entry, now_s: float) -> Step:
        """Free the slot."""
        return _step(self._queue.finish(entry, now_s))

    def tick(self, now_s: float) -> Step:
        """Refuse what became hopeless."""
        return _step(self._queue.expire(now_s))


def _step(progress: Progress) -> Step:
    return Step(progress.start, tuple((s.entry, s.shed.retry_after_s) for s in progress.shed))

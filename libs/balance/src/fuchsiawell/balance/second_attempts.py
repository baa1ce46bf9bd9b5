"""Second attempts for the slowest answers: after which time, and how many (request hedging)."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from math import ceil
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from fuchsiawell.balance.second_attempt_rules import SecondAttemptRules

__all__ = ["SecondAttemptDenial", "SecondAttempts"]

# A request that has taken longer than this part of its route's requests gets a second attempt.
DELAY_QUANTILE = 0.95
# With fewer, no sample lies above the quantile. A daemon of a large site sees a route some six
# times a second, one of a small site less often.
MIN_SAMPLES = 20
# Response times and work are counted over the last WINDOW_S. Times are kept in slices, of which the
# oldest is dropped whole: the window is between 8 and 10 s long.
WINDOW_S = 10.0
SLICE_S = 2.0
# How long a computed quantile is used; to compute it takes about 0.6 ms.
DELAY_TTL_S = 0.5
# Histograms of one route take about 60 KB; routes beyond this number get no second attempts.
MAX_ROUTES = 64
MIN_TRACKABLE_MS, MAX_TRACKABLE_MS, SIGNIFICANT_DIGITS = 1, 60_000, 2
# Second attempts that win less than one time in ten do not pay: they are off for LOSING_OFF_S.
MIN_WIN_RATE = 0.1
LOSING_OFF_S = 5.0
# Number of the last ends that are judged. Attempts that win three times in ten fall below
# MIN_WIN_RATE by chance in 1 % of cases.
JUDGED_ENDS = 20


class SecondAttemptDenial(StrEnum):
    """Why a request that is due for a second attempt gets none."""

    QUEUE = "queue"
    LOSING = "losing"
    EXTRA_WORK = "extra work"
    RETRY_BUDGET = "retry budget"
    TIME = "time"
    NO_SERVER = "no server"
    SUSPECTED = "suspected of crashes"


class SecondAttempts:
    """Decide on the second attempts of this daemon, each daemon by its own work alone."""

    def __init__(self, rules: SecondAttemptRules) -> None:
        self._rules = rules
        self._times_by_route: dict[str, _RouteTimes] = {}
        self._work_by_service: dict[str, _ServiceWork] = {}

    @property
    def rules(self) -> SecondAttemptRules:
        """The limits in force."""
        return self._rules

    @rules.setter
    def rules(self, rules: SecondAttemptRules) -> None:
        """Apply changed limits; what is known of services without second attempts is dropped."""
        self._rules = rules
        if not rules.enabled:
            self._times_by_route.clear()
        self._work_by_service = {
            service: work
            for service, work in self._work_by_service.items()
            if self.applies_to(service)
        }

    def applies_to(self, service: str) -> bool:
        """Return whether requests to a service may get second attempts."""
        return self._rules.max_extra_work_of(service) > 0.0

    def record_time(self, route: str, took_s: float, now_s: float) -> None:
        """Record how long a first attempt took, or a lower bound if it was cancelled."""
        times = self._times_by_route.get(route)
        if times is None:
            if len(self._times_by_route) >= MAX_ROUTES:
                self._remove_idle_routes(now_s)
                if len(self._times_by_route) >= MAX_ROUTES:
                    return
            times = self._times_by_route[route] = _RouteTimes()
        times.record(took_s, now_s)

    def delay_s(self, route: str, now_s: float) -> float | None:
        """Return after which time a second attempt is due, None with too few samples."""
        times = self._times_by_route.get(route)
        return None if times is None else times.delay_s(now_s)

    def record_work(self, service: str, work_s: float, now_s: float) -> None:
        """Record the work of an attempt that is no second one."""
        self._work(service).record(now_s, first_s=work_s)

    def denied_by(
        self, service: str, work_s: float, queued: int, now_s: float
    ) -> SecondAttemptDenial | None:
        """Return which limit denies a second attempt of `work_s` of work, None if none does.

        `queued` requests wait for free capacity of the service.
        """
        work = self._work(service)
        if queued:
            return SecondAttemptDenial.QUEUE
        if now_s < work.off_until_s:
            return SecondAttemptDenial.LOSING
        first_s, second_s = work.sums(now_s)
        if second_s + work_s > self._rules.max_extra_work_of(service) * first_s:
            return SecondAttemptDenial.EXTRA_WORK
        return None

    def record_sent(self, service: str, work_s: float, now_s: float) -> None:
        """Record a second attempt of `work_s` of work.

        All of it counts even if it is cancelled: the server may work on it to its end.
        """
        self._work(service).record(now_s, second_s=work_s)

    def record_ended(self, service: str, won: bool, excess_work_s: float, now_s: float) -> None:
        """Record the end of a second attempt of `excess_work_s` more work than was expected.

        The work of one that lost is not known; it may have as much as the first attempt.
        """
        work = self._work(service)
        work.record(now_s, second_s=max(0.0, excess_work_s))
        work.ends.append(won)
        if len(work.ends) == JUDGED_ENDS and sum(work.ends) < MIN_WIN_RATE * JUDGED_ENDS:
            work.off_until_s = now_s + LOSING_OFF_S
            work.ends.clear()

    def _work(self, service: str) -> _ServiceWork:
        work = self._work_by_service.get(service)
        if work is None:
            work = self._work_by_service[service] = _ServiceWork()
        return work

    def _remove_idle_routes(self, now_s: float) -> None:
        self._times_by_route = {
            route: times
            for route, times in self._times_by_route.items()
            if now_s - times.last_recorded_s < WINDOW_S
        }


class _RouteTimes:
    """Response times of one route in the last WINDOW_S."""

    def __init__(self) -> None:
        self.last_recorded_s = float("-inf")
        # (number, times) of the last slices, the oldest first.
        self._slices: deque[tuple[int, HdrHistogram]] = deque()
        self._total = _new_histogram()
        self._delay_s: float | None = None
        self._computed_s = float("-inf")

    def record(self, took_s: float, now_s: float) -> None:
        number = int(now_s // SLICE_S)
        if not self._slices or self._slices[-1][0] != number:
            self._remove_expired(number)
            self._slices.append((number, _new_histogram()))
        # Rounded up, as most requests would seem due where all take the same time.
        took_ms = min(MAX_TRACKABLE_MS, max(MIN_TRACKABLE_MS, ceil(took_s * 1000)))
        self._slices[-1][1].record_value(took_ms)
        self.last_recorded_s = now_s

    def delay_s(self, now_s: float) -> float | None:
        if now_s - self._computed_s >= DELAY_TTL_S:
            self._computed_s = now_s
            self._delay_s = self._compute_delay_s(now_s)
        return self._delay_s

    def _compute_delay_s(self, now_s: float) -> float | None:
        self._remove_expired(int(now_s // SLICE_S))
        if sum(times.get_total_count() for _, times in self._slices) < MIN_SAMPLES:
            return None
        self._total.reset()
        for _, times in self._slices:
            self._total.add(times)
        return float(self._total.get_value_at_percentile(DELAY_QUANTILE * 100) / 1000)

    def _remove_expired(self, number: int) -> None:
        while self._slices and self._slices[0][0] <= number - WINDOW_S / SLICE_S:
            self._slices.popleft()


@dataclass
class _Second:
    number: int
    first_s: float = 0.0
    second_s: float = 0.0


@dataclass
class _ServiceWork:
    """Work of one service in the last WINDOW_S, in parts of a second, and how attempts ended."""

    seconds: deque[_Second] = field(default_factory=deque)
    ends: deque[bool] = field(default_factory=lambda: deque(maxlen=JUDGED_ENDS))
    off_until_s: float = float("-inf")

    def record(self, now_s: float, first_s: float = 0.0, second_s: float = 0.0) -> None:
        if not self.seconds or self.seconds[-1].number != int(now_s):
            self._remove_expired(now_s)
            self.seconds.append(_Second(int(now_s)))
        self.seconds[-1].first_s += first_s
        self.seconds[-1].second_s += second_s

    def sums(self, now_s: float) -> tuple[float, float]:
        """Return the work of first and of second attempts."""
        self._remove_expired(now_s)
        return (
            sum(second.first_s for second in self.seconds),
            sum(second.second_s for second in self.seconds),
        )

    def _remove_expired(self, now_s: float) -> None:
        while self.seconds and self.seconds[0].number <= int(now_s) - WINDOW_S:
            self.seconds.popleft()


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(MIN_TRACKABLE_MS, MAX_TRACKABLE_MS, SIGNIFICANT_DIGITS)

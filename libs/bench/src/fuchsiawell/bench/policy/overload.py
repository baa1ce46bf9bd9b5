"""One server, callers that try again, and an overload whose trigger goes away."""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from fuchsiawell.core import RequestId
from fuchsiawell.load import Entry

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.bench.policy.admission_rules import AdmissionRule, Step

__all__ = ["MU_MAX", "SERVICE_S", "SLOTS", "TRIGGERS", "OverloadFigures", "OverloadRun", "Trigger"]

SLOTS = 4
SERVICE_S = 0.1
MU_MAX = SLOTS / SERVICE_S  # requests a second
LOAD = 0.7
DEADLINE_S = 0.8
ATTEMPTS = 4  # of a caller that gets no answer in time
BACKOFF_S = 0.5  # where the refusal names no time to come back
DURATION_S = 240.0
TRIGGER_S = (60.0, 90.0)
WINDOW_S = 5.0
RECOVERED = 0.95  # of new callers answered in time at their first attempt, in a window
STEADY_WINDOWS = 6
TICK_S = 0.05
CALLERS = 20


@dataclass(frozen=True, slots=True)
class Trigger:
    """Say what overloads the server for a while."""

    name: str
    slower: float = 1.0  # factor on the service time
    more: float = 1.0  # factor on the callers


TRIGGERS = (Trigger("slow-server", slower=4.0), Trigger("surge", more=3.0))


@dataclass(slots=True)
class OverloadFigures:
    """Collect what one run measures."""

    callers_by_window: dict[int, int] = field(default_factory=dict)
    first_try_by_window: dict[int, int] = field(default_factory=dict)
    answered_by_window: dict[int, int] = field(default_factory=dict)
    latencies_s: list[float] = field(default_factory=list)  # of answers, late ones included
    wasted_runs: int = 0  # that ended after their caller had given up

    def first_try_share(self, window: int) -> float:
        """Return the share of the window's callers who were answered at once and in time."""
        callers = self.callers_by_window.get(window, 0)
        return self.first_try_by_window.get(window, 0) / callers if callers else 1.0

    def recovery_s(self) -> float:
        """Return the time from the trigger's end to half a minute of good windows only.

        A run that never gets there returns all of the time that was left.
        """
        first, end = int(TRIGGER_S[1] / WINDOW_S), int(DURATION_S / WINDOW_S)
        for start in range(first, end - STEADY_WINDOWS + 1):
            windows = range(start, start + STEADY_WINDOWS)
            if all(self.first_try_share(window) >= RECOVERED for window in windows):
                return start * WINDOW_S - TRIGGER_S[1]
        return DURATION_S - TRIGGER_S[1]

    def goodput(self) -> float:
        """Return the callers answered in time, a second, from the trigger's start on."""
        first = int(TRIGGER_S[0] / WINDOW_S)
        answered = sum(n for window, n in self.answered_by_window.items() if window >= first)
        return answered / (DURATION_S - TRIGGER_S[0])

    def p99_ms(self) -> float:
        """Return the 99th percentile of the time from an attempt to its answer."""
        ordered = sorted(self.latencies_s)
        return ordered[int(0.99 * (len(ordered) - 1))] * 1000


@dataclass(slots=True)
class _Attempt:
    at_s: float
    number: int
    asked_s: float  # when the caller first asked
    service_s: float


class OverloadRun:
    """Play one trigger against one rule."""

    def __init__(self, trigger: Trigger, rule: AdmissionRule, seed: int) -> None:
        self._trigger = trigger
        self._rule = rule
        self._random = Random(f"{trigger.name}/{seed}")
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = count()
        self._attempts: dict[Entry, _Attempt] = {}
        self.figures = OverloadFigures()

    def run(self) -> OverloadFigures:
        """Play to the end, then stop."""
        self._at(0.0, self._next_caller)
        self._at(TICK_S, self._tick)
        while self._events:
            at_s, _, action = heappop(self._events)
            if at_s >= DURATION_S:
                break
            action(at_s)
        return self.figures

    def _at(self, at_s: float, action: Callable[[float], None]) -> None:
        heappush(self._events, (at_s, next(self._sequence), action))

    def _triggered(self, now_s: float) -> bool:
        return TRIGGER_S[0] <= now_s < TRIGGER_S[1]

    def _next_caller(self, now_s: float) -> None:
        rate = LOAD * MU_MAX * (self._trigger.more if self._triggered(now_s) else 1.0)
        service_s = self._random.gammavariate(4.0, SERVICE_S / 4.0)
        self._at(now_s + self._random.expovariate(rate), self._next_caller)
        window = int(now_s / WINDOW_S)
        self.figures.callers_by_window[window] = self.figures.callers_by_window.get(window, 0) + 1
        self._ask(_Attempt(now_s, 1, now_s, service_s))

    def _ask(self, attempt: _Attempt) -> None:
        caller = f"c{int(attempt.asked_s * 1000) % CALLERS}"
        entry = Entry(RequestId(""), "read", caller, attempt.at_s + DEADLINE_S)
        self._attempts[entry] = attempt
        self._at(entry.deadline_s, lambda now_s: self._give_up(entry, now_s))
        self._follow(self._rule.offer(entry, attempt.at_s), attempt.at_s)

    def _tick(self, now_s: float) -> None:
        self._follow(self._rule.tick(now_s), now_s)
        self._at(now_s + TICK_S, self._tick)

    def _follow(self, step: Step, now_s: float) -> None:
        for entry, retry_after_s in step.shed:
            self._retry(entry, now_s, BACKOFF_S if retry_after_s is None else retry_after_s)
        for entry in step.start:
            self._start(entry, now_s)

    def _start(self, entry: Entry, now_s: float) -> None:
        attempt = self._attempts.get(entry)
        service_s = SERVICE_S if attempt is None else attempt.service_s
        if self._triggered(now_s):
            service_s *= self._trigger.slower
        self._at(now_s + service_s, lambda end_s: self._finish(entry, end_s))

    def _finish(self, entry: Entry, now_s: float) -> None:
        attempt = self._attempts.pop(entry, None)
        if attempt is None:
            self.figures.wasted_runs += 1
        else:
            self._count_answer(attempt, now_s)
        self._follow(self._rule.finish(entry, now_s), now_s)

    def _count_answer(self, attempt: _Attempt, now_s: float) -> None:
        window = int(attempt.asked_s / WINDOW_S)
        self.figures.latencies_s.append(now_s - attempt.at_s)
        answered = self.figures.answered_by_window
        answered[window] = answered.get(window, 0) + 1
        if attempt.number == 1:
            first = self.figures.first_try_by_window
            first[window] = first.get(window, 0) + 1

    def _give_up(self, entry: Entry, now_s: float) -> None:
        """Let a caller whose deadline passed ask again at once."""
        if entry in self._attempts:
            self._retry(entry, now_s, 0.0)

    def _retry(self, entry: Entry, now_s: float, wait_s: float) -> None:
        attempt = self._attempts.pop(entry)
        if attempt.number >= ATTEMPTS:
            return
        later = _Attempt(now_s + wait_s, attempt.number + 1, attempt.asked_s, attempt.service_s)
        self._at(later.at_s, lambda _: self._ask(later))

"""Bound what is sent beyond the first try, so that repeats never swamp a service."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

__all__ = ["RetryBudget", "RetryRules"]


@dataclass(frozen=True)
class RetryRules:
    """The budget that all daemons share: `ratio` of the requests in a window, plus `slack`."""

    ratio: float
    slack: float
    window_s: float


# Part of the shared budget that is used; the rest covers windows that slide across the daemons'.
USED_PART = 0.75


@dataclass
class _Window:
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


class RetryBudget:
    """This daemon's part of the budget: its own requests' ratio and an equal share of the slack."""

    def __init__(self, rules: RetryRules) -> None:
        self.rules = rules
        self._by_service: dict[str, _Window] = {}

    def record_request(self, service: str, now_s: float) -> None:
        """Count a client's request for a service."""
        self._window(service, now_s).requests.append(now_s)

    def try_acquire(self, service: str, daemons: int, now_s: float) -> bool:
        """Take leave for one repeat; `daemons` share the slack."""
        window = self._window(service, now_s)
        allowed = USED_PART * (
            self.rules.ratio * len(window.requests) + self.rules.slack / max(1, daemons)
        )
        if len(window.repeats) + 1 > allowed:
            return False
        window.repeats.append(now_s)
        return True

    def _window(self, service: str, now_s: float) -> _Window:
        window = self._by_service.setdefault(service, _Window())
        for times in (window.requests, window.repeats):
            while times and times[0] < now_s - self.rules.window_s:
                times.popleft()
        return window

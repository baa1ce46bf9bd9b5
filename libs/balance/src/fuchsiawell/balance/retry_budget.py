"""Retry budget: bounds the retries sent to a service, so that they cannot overload it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

__all__ = ["RetryBudget", "RetryRules"]


@dataclass(frozen=True)
class RetryRules:
    """The retries of all daemons in a window: `ratio` of the requests, plus `slack`."""

    ratio: float
    slack: float
    window_s: float


# Share of the budget that is spent; the rest covers windows that are not aligned with the sliding
# windows of the daemons.
USED_SHARE = 0.75


@dataclass
class _Window:
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


class RetryBudget:
    """This daemon's share: the ratio of its own requests and an equal part of the slack."""

    def __init__(self, rules: RetryRules) -> None:
        self.rules = rules
        self._by_service: dict[str, _Window] = {}

    def record_request(self, service: str, now_s: float) -> None:
        """Record a client's request to a service, not its retries."""
        self._window(service, now_s).requests.append(now_s)

    def try_acquire(
        self, service: str, daemon_count: int, now_s: float, usable_share: float = 1.0
    ) -> bool:
        """Spend the budget for one retry; return False when `usable_share` of it is exhausted.

        `daemon_count` daemons share the slack.
        """
        window = self._window(service, now_s)
        allowed = USED_SHARE * (
            self.rules.ratio * len(window.requests) + self.rules.slack / max(1, daemon_count)
        )
        if len(window.retries) + 1 > usable_share * allowed:
            return False
        window.retries.append(now_s)
        return True

    def _window(self, service: str, now_s: float) -> _Window:
        window = self._by_service.setdefault(service, _Window())
        for times in (window.requests, window.retries):
            while times and times[0] < now_s - self.rules.window_s:
                times.popleft()
        return window

"""Weigh requests for keys by their work, in requests of the slowest route of the service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

__all__ = ["KeyWork"]

# Weight of a request in the mean; about the last hundred requests of the service count, a few
# seconds of a daemon's share.
MEAN_WEIGHT_DECAY = 0.01


class KeyWork:
    """Count requests by work, and average the work of a request by service."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._mean_by_service: dict[str, float] = {}

    def count(self, service: str, service_time_s: float, slowest_s: float) -> int:
        """Return for how many requests of the slowest route one counts, rounded at random.

        The planner multiplies counts by the service time of the slowest route, and reports hold
        whole numbers. No random number is drawn for a request of the slowest route.
        """
        weight = min(1.0, service_time_s / slowest_s) if slowest_s > 0 else 1.0
        mean = self._mean_by_service.get(service, weight)
        self._mean_by_service[service] = mean + MEAN_WEIGHT_DECAY * (weight - mean)
        return 1 if weight == 1.0 or self._random.random() < weight else 0

    def mean_weight(self, service: str) -> float:
        """Return the mean weight of a request; 1.0 before the first request for a key."""
        return self._mean_by_service.get(service, 1.0)

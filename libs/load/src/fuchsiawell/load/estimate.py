"""How long a kind of request keeps a slot, from what was measured."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ServiceTimes"]

MEAN_GAIN = 1 / 16  # weight of the newest sample in the mean
DEVIATION_GAIN = 1 / 8
MIN_MEAN_S = 1e-4  # keeps every request's share of a server above zero
INITIAL_DEVIATION = 0.5  # of the initial mean


@dataclass(slots=True)
class _Estimate:
    mean_s: float
    deviation_s: float


class ServiceTimes:
    """Follow the mean and mean deviation of the service time of each kind.

    Source: V. Jacobson, "Congestion avoidance and control", 1988 (the estimator of round trips).
    """

    def __init__(self, initial_s: float) -> None:
        self._initial_s = initial_s
        self._by_kind: dict[str, _Estimate] = {}

    def record(self, kind: str, service_s: float) -> None:
        """Take in one measured service time."""
        found = self._by_kind.get(kind)
        if found is None:
            self._by_kind[kind] = _Estimate(service_s, service_s * INITIAL_DEVIATION)
            return
        error_s = service_s - found.mean_s
        found.mean_s += MEAN_GAIN * error_s
        found.deviation_s += DEVIATION_GAIN * (abs(error_s) - found.deviation_s)

    def mean_s(self, kind: str) -> float:
        """Return the expected service time."""
        found = self._by_kind.get(kind)
        return self._initial_s if found is None else max(found.mean_s, MIN_MEAN_S)

    def deviation_s(self, kind: str) -> float:
        """Return the mean deviation of the service time."""
        found = self._by_kind.get(kind)
        return self._initial_s * INITIAL_DEVIATION if found is None else found.deviation_s

    def forget(self) -> None:
        """Start over, as after the server was replaced."""
        self._by_kind.clear()

"""Estimate service times by route, and the latency of each server relative to them."""

from __future__ import annotations

from dataclasses import dataclass

from fuchsiawell.balance.in_flight import short_id
from fuchsiawell.balance.shared_paces import (
    MIN_SHARED_FACTOR,
    WEIGHT_HALF_LIFE_S,
    PaceSamples,
    SharedPaces,
)

__all__ = ["LatencyEstimates"]

# Weight of a new sample; a server that becomes 4 times slower shows after about 6 responses.
SAMPLE_WEIGHT = 0.15
# For a route without responses yet; the order of magnitude of the figures in the requirements.
INITIAL_SERVICE_TIME_S = 0.1
# Bounds of the latency factor: healthy servers differ by a factor of 3, impaired ones by 12.
LATENCY_FACTOR_RANGE = (0.2, 20.0)
# With fewer recent samples the own estimate is less than half of the way to what they show.
MIN_OWN_SAMPLES = 4.0
# Age up to which the latency factor of a server is reported to other daemons.
MAX_REPORTED_AGE_S = 1.0
# Half-life of the logarithm of an unused server's latency factor, which returns to 1.
DECAY_HALF_LIFE_S = 12.0


@dataclass
class _Estimate:
    latency_factor: float = 1.0
    updated_at_s: float = 0.0
    # Samples behind it, of which half count after the half-life that reports have, too.
    samples: float = 0.0

    def samples_at(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self.updated_at_s)
        return float(self.samples * 0.5 ** (age_s / WEIGHT_HALF_LIFE_S))


class LatencyEstimates:
    """Estimate service times by route and latency factors by server from response times."""

    def __init__(self) -> None:
        self._service_time_by_route: dict[str, float] = {}
        self._estimate_by_id: dict[str, _Estimate] = {}
        # Factors of all daemons, and this daemon's samples for its next report.
        self.shared = SharedPaces()
        self.samples = PaceSamples()

    def service_time_s(self, route: str) -> float:
        """Return the service time of a route, without queueing, at a latency factor of 1."""
        return self._service_time_by_route.get(route, INITIAL_SERVICE_TIME_S)

    def is_measured(self, route: str) -> bool:
        """Return whether the service time of a route rests on responses."""
        return route in self._service_time_by_route

    def latency_factor(self, backend_id: str, now_s: float) -> float:
        """Return a server's latency relative to the usual one of the route; 1.0 if unknown.

        A factor of all daemons shows servers that are clearly slow; it is used where this daemon's
        estimate is older or has fewer samples.
        """
        own_factor = self.own_latency_factor(backend_id, now_s)
        shared = self.shared.get(short_id(backend_id), now_s)
        if shared is None or shared.latency_factor < MIN_SHARED_FACTOR:
            return own_factor
        own = self._estimate_by_id.get(backend_id)
        if (
            own is not None
            and own.updated_at_s >= shared.updated_at_s
            and own.samples_at(now_s) >= max(MIN_OWN_SAMPLES, shared.samples_at(now_s))
        ):
            return own_factor
        return max(own_factor, shared.latency_factor)

    def own_latency_factor(self, backend_id: str, now_s: float) -> float:
        """Return the latency factor by this daemon's own responses alone."""
        estimate = self._estimate_by_id.get(backend_id)
        if estimate is None:
            return 1.0
        decay = 0.5 ** (max(0.0, now_s - estimate.updated_at_s) / DECAY_HALF_LIFE_S)
        return float(estimate.latency_factor**decay)

    def recent_latency_factor(self, backend_id: str, now_s: float) -> float | None:
        """Return the latency factor if younger than `MAX_REPORTED_AGE_S`, None otherwise."""
        estimate = self._estimate_by_id.get(backend_id)
        if estimate is None or now_s - estimate.updated_at_s > MAX_REPORTED_AGE_S:
            return None
        return estimate.latency_factor

    def record_response(
        self, route: str, backend_id: str, queueing_factor: float, took_s: float, now_s: float
    ) -> None:
        """Record a response time; `queueing_factor` is the expected slowdown (1.0: none)."""
        sample_s = took_s / max(1.0, queueing_factor)
        latency_factor = self.own_latency_factor(backend_id, now_s)
        known_s = self._service_time_by_route.get(route)
        if known_s is None:
            known_s = self._service_time_by_route[route] = sample_s / latency_factor
        usual_s = known_s + SAMPLE_WEIGHT / 3 * (sample_s / latency_factor - known_s)
        self._service_time_by_route[route] = max(0.001, usual_s)
        ratio = sample_s / max(0.001, known_s)
        latency_factor += SAMPLE_WEIGHT * (ratio - latency_factor)
        low, high = LATENCY_FACTOR_RANGE
        estimate = self._estimate_by_id.get(backend_id, _Estimate())
        self._estimate_by_id[backend_id] = _Estimate(
            min(high, max(low, latency_factor)), now_s, estimate.samples_at(now_s) + 1.0
        )
        self.samples.add(backend_id, ratio)

    def record_cancelled(
        self, route: str, backend_id: str, queueing_factor: float, took_s: float, now_s: float
    ) -> None:
        """Record that an attempt was cancelled after `took_s`, a lower bound of its response time.

        Only a time above the expected one says anything: the server may have been about to answer.
        """
        known_s = self._service_time_by_route.get(route)
        if known_s is None:
            return
        expected_s = known_s * self.latency_factor(backend_id, now_s) * max(1.0, queueing_factor)
        if took_s > expected_s:
            self.record_response(route, backend_id, queueing_factor, took_s, now_s)

    def record_overdue(self, backend_id: str, factor: float, now_s: float) -> None:
        """Record that a response has already taken `factor` times its expected latency."""
        latency_factor = max(
            self.own_latency_factor(backend_id, now_s), min(factor, LATENCY_FACTOR_RANGE[1])
        )
        self._estimate_by_id[backend_id] = _Estimate(latency_factor, now_s)

    def forget(self, backend_id: str) -> None:
        """Discard the estimate of a server that was removed."""
        self._estimate_by_id.pop(backend_id, None)
        self.samples.forget(backend_id)
        self.shared.forget(short_id(backend_id))

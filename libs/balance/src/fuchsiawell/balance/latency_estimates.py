"""Learn how long work takes: by route, and how fast each server is compared with the others."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["LatencyEstimates"]

# Weight of a new sample; a server that turns 4 times slower shows after about 6 answers.
SAMPLE_WEIGHT = 0.15
# Work of a route of which nothing was seen yet, in seconds; of the order of the users' sheets.
FIRST_WORK_S = 0.1
# Bounds of a server's relative slowness: speeds differ by 3 times, disturbed servers by 12 times.
SLOWNESS_RANGE = (0.2, 20.0)
# Seconds for which what was seen of a server is told to others.
RECENT_S = 1.0
# Seconds after which an unused server's slowness has gone half way back to the usual.
FORGET_S = 12.0


@dataclass
class _Pace:
    latency_factor: float = 1.0
    seen_at: float = 0.0


class LatencyEstimates:
    """Estimate work times from answers; slowness of an idle server fades back to the usual."""

    def __init__(self) -> None:
        self._work_by_route: dict[str, float] = {}
        self._pace_by_id: dict[str, _Pace] = {}

    def service_time_s(self, route: str) -> float:
        """Return the usual work time of a route, in seconds on a usual server."""
        return self._work_by_route.get(route, FIRST_WORK_S)

    def latency_factor(self, backend_id: str, now_s: float) -> float:
        """Return how many times longer than usual the server takes."""
        pace = self._pace_by_id.get(backend_id)
        if pace is None:
            return 1.0
        fade = 0.5 ** (max(0.0, now_s - pace.seen_at) / FORGET_S)
        return float(pace.latency_factor**fade)

    def recent_latency_factor(self, backend_id: str, now_s: float) -> float | None:
        """Return the slowness of a server that was used lately, None for others."""
        pace = self._pace_by_id.get(backend_id)
        if pace is None or now_s - pace.seen_at > RECENT_S:
            return None
        return pace.latency_factor

    def observe(
        self, route: str, backend_id: str, crowding: float, took_s: float, now_s: float
    ) -> None:
        """Take the time of an answer; `crowding` is how much queueing was expected (1: none)."""
        sample_s = took_s / max(1.0, crowding)
        latency_factor = self.latency_factor(backend_id, now_s)
        known_s = self._work_by_route.get(route)
        if known_s is None:
            known_s = self._work_by_route[route] = sample_s / latency_factor
        usual_s = known_s + SAMPLE_WEIGHT / 3 * (sample_s / latency_factor - known_s)
        self._work_by_route[route] = max(0.001, usual_s)
        ratio = sample_s / max(0.001, known_s)
        latency_factor += SAMPLE_WEIGHT * (ratio - latency_factor)
        low, high = SLOWNESS_RANGE
        self._pace_by_id[backend_id] = _Pace(min(high, max(low, latency_factor)), now_s)

    def record_overdue(self, backend_id: str, factor: float, now_s: float) -> None:
        """Note that a server has been silent for `factor` times the expected time."""
        latency_factor = max(self.latency_factor(backend_id, now_s), min(factor, SLOWNESS_RANGE[1]))
        self._pace_by_id[backend_id] = _Pace(latency_factor, now_s)

    def forget(self, backend_id: str) -> None:
        """Drop what is known of a server that is gone."""
        self._pace_by_id.pop(backend_id, None)

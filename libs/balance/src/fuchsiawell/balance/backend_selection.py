"""Choose a server: where the answer is expected first, weighed against bytes between zones."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable
    from random import Random

    from fuchsiawell.balance.in_flight import InFlightCounts
    from fuchsiawell.balance.latency_estimates import LatencyEstimates
    from fuchsiawell.balance.outlier_detection import OutlierDetector
    from fuchsiawell.routing import Backend

__all__ = ["Candidate", "BackendSelector", "expected_latency_s", "free_capacity"]

# Requests a server may have in hand for each of its slots. Servers queue "a few more" than their
# slots and some never answer what they cannot queue; beyond this, waiting in order of urgency at
# the daemon is better than waiting in the server's queue.
IN_HAND_PER_SLOT = 2
# What a byte that crosses zones is worth in seconds of latency: at the users' prices a crossing
# upload of 60 KB costs about as much as a quarter of a second.
CROSSING_S_PER_BYTE = 4e-6
# What a new connection is worth in seconds of latency, by the same prices.
CONNECTION_S = 0.03
# Latency of a crossing itself, there and back, in seconds.
CROSSING_S = 0.003


@dataclass(frozen=True)
class Candidate:
    """A server that may take a request, and when its answer is expected."""

    backend: Backend
    expected_latency_s: float


def expected_latency_s(
    service_time_s: float, latency_factor: float, in_hand: int, slots: int
) -> float:
    """Return the expected time to an answer for one more request, in seconds."""
    return service_time_s * latency_factor * max(1.0, (in_hand + 1) / max(1, slots))


def free_capacity(backend: Backend, in_hand: int) -> int:
    """Return how many more requests a server may be given."""
    return max(1, backend.slots) * IN_HAND_PER_SLOT - in_hand


class BackendSelector:
    """Choose among the servers of a service."""

    def __init__(
        self,
        zone: str,
        estimates: LatencyEstimates,
        loads: InFlightCounts,
        outliers: OutlierDetector,
        random: Random,
    ) -> None:
        self._zone = zone
        self._estimates = estimates
        self._loads = loads
        self._outliers = outliers
        self._random = random
        # Whether a connection to a server is open already; the path of a request knows.
        self.has_idle_connection: Callable[[Backend], bool] = lambda _: True

    def select(
        self,
        backends: Iterable[Backend],
        route: str,
        size_bytes: int,
        now_s: float,
        avoid: Collection[str] = (),
    ) -> Candidate | None:
        """Return the best server that has room, None when none has."""
        best: Candidate | None = None
        best_cost = float("inf")
        service_time_s = self._estimates.service_time_s(route)
        for backend in backends:
            in_hand = self._loads.total(backend.id)
            if (
                backend.id in avoid
                or free_capacity(backend, in_hand) <= 0
                or not self._outliers.admits(backend.id, self._loads.own_count(backend.id), now_s)
            ):
                continue
            latency_factor = self._estimates.latency_factor(backend.id, now_s)
            expect_s = expected_latency_s(service_time_s, latency_factor, in_hand, backend.slots)
            cost = expect_s / max(0.05, 1.0 - self._outliers.failure_rate(backend.id)) ** 2
            if backend.zone != self._zone:
                cost += CROSSING_S + size_bytes * CROSSING_S_PER_BYTE
            if not self.has_idle_connection(backend):
                cost += CONNECTION_S
            # Equal costs are drawn, so that daemons do not all choose the same server.
            cost *= self._random.uniform(1.0, 1.1)
            if cost < best_cost:
                best, best_cost = Candidate(backend, expect_s), cost
        return best

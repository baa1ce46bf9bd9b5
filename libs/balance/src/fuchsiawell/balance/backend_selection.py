"""Select a backend server by expected latency, failure rate and the price of traffic."""

from __future__ import annotations

from dataclasses import dataclass
from operator import itemgetter
from typing import TYPE_CHECKING

from fuchsiawell.balance.response_sizes import ResponseSizes
from fuchsiawell.balance.server_loads import ServerLoads
from fuchsiawell.balance.server_occupancy import ServerOccupancy
from fuchsiawell.balance.zone_room import (
    MIN_PRICED_BYTES,
    ROOM_LATENCY_RATIO,
    ZoneLoads,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable
    from random import Random

    from fuchsiawell.balance.in_flight import InFlightCounts
    from fuchsiawell.balance.latency_estimates import LatencyEstimates
    from fuchsiawell.balance.outlier_detection import OutlierDetector
    from fuchsiawell.routing import Backend

__all__ = ["BackendSelector", "Candidate", "expected_latency_s", "free_capacity"]

# Servers queue only a few requests more than their slots, and some never respond to requests that
# they cannot queue. Further requests wait in the daemon's admission queue, in order of urgency.
IN_FLIGHT_PER_SLOT = 2
# Price of traffic between availability zones, as latency: at the prices in the requirements an
# upload of 60 KB to another zone, or a response as long, costs about as much as 250 ms.
CROSS_ZONE_S_PER_BYTE = 4e-6
# Price of a new connection, as latency, at the same prices.
NEW_CONNECTION_S = 0.03
# Round-trip time to another availability zone.
CROSS_ZONE_RTT_S = 0.003


@dataclass(frozen=True)
class Candidate:
    """A server that may take a request, and the expected latency of the response."""

    backend: Backend
    expected_latency_s: float


def expected_latency_s(
    service_time_s: float, latency_factor: float, in_flight: int, slots: int
) -> float:
    """Return the expected latency of one more request at a server."""
    return service_time_s * latency_factor * max(1.0, (in_flight + 1) / max(1, slots))


def free_capacity(backend: Backend, in_flight: int) -> int:
    """Return how many more requests a server may get; zero or less when it is full."""
    return max(1, backend.slots) * IN_FLIGHT_PER_SLOT - in_flight


class BackendSelector:
    """Select among the servers of a service."""

    def __init__(
        self,
        zone: str,
        estimates: LatencyEstimates,
        in_flight_counts: InFlightCounts,
        outlier_detector: OutlierDetector,
        random: Random,
        server_loads: ServerLoads | None = None,
        response_sizes: ResponseSizes | None = None,
    ) -> None:
        self._zone = zone
        self._estimates = estimates
        self._in_flight_counts = in_flight_counts
        self._outlier_detector = outlier_detector
        self._random = random
        self._server_loads = ServerLoads() if server_loads is None else server_loads
        self._response_sizes = ResponseSizes() if response_sizes is None else response_sizes
        self._occupancy = ServerOccupancy(in_flight_counts, self._server_loads)
        # Whether the daemon has an idle connection to a server; set by the application.
        self.has_idle_connection: Callable[[Backend], bool] = lambda _: True

    def select(
        self,
        backends: Iterable[Backend],
        route: str,
        body_bytes: int,
        now_s: float,
        avoid: Collection[str] = (),
        capacity: Callable[[Backend, int], int] = free_capacity,
        target_s: float = 0.0,
    ) -> Candidate | None:
        """Return the server with the lowest cost, None when none has free capacity.

        `capacity` returns how many more requests a server may get, given those in flight. With
        large bodies, servers of this daemon's zone that are expected to answer well within
        `target_s` go before those of zones that have hardly more room.
        """
        best: Candidate | None = None
        best_cost = float("inf")
        size_bytes = self._size_bytes(route, body_bytes)
        zone_loads = ZoneLoads() if size_bytes >= MIN_PRICED_BYTES else None
        best_by_zone: dict[str, tuple[float, Candidate]] = {}
        service_time_s = self._estimates.service_time_s(route)
        for backend in backends:
            in_flight = self._occupancy.total(backend.id, backend.incarnation_id, now_s)
            if zone_loads is not None:
                zone_loads.add(backend, in_flight)
            if (
                backend.id in avoid
                or capacity(backend, in_flight) <= 0
                or not self._outlier_detector.admits(
                    backend.id, self._in_flight_counts.own_count(backend.id), now_s
                )
            ):
                continue
            latency_factor = self._latency_factor(backend, now_s)
            latency_s = expected_latency_s(service_time_s, latency_factor, in_flight, backend.slots)
            cost = self._cost_s(backend, latency_s, size_bytes)
            # Random, so that daemons do not all select the same server among equals.
            cost *= self._random.uniform(1.0, 1.1)
            if cost < best_cost:
                best, best_cost = Candidate(backend, latency_s), cost
            if zone_loads is not None and (
                backend.zone not in best_by_zone or cost < best_by_zone[backend.zone][0]
            ):
                best_by_zone[backend.zone] = cost, Candidate(backend, latency_s)
        near = best_by_zone.get(self._zone)
        if (
            zone_loads is None
            or near is None
            or near[1].expected_latency_s >= ROOM_LATENCY_RATIO * target_s
        ):
            return best
        takers = (z for z in best_by_zone if zone_loads.takes_from(z, self._zone))
        return min((best_by_zone[zone] for zone in takers), key=itemgetter(0))[1]

    def cost_s(self, backend: Backend, route: str, body_bytes: int, now_s: float) -> float:
        """Return the cost of a server by which servers are compared, without its random part."""
        latency_s = expected_latency_s(
            self._estimates.service_time_s(route),
            self._latency_factor(backend, now_s),
            self._occupancy.total(backend.id, backend.incarnation_id, now_s),
            backend.slots,
        )
        return self._cost_s(backend, latency_s, self._size_bytes(route, body_bytes))

    def zone_loads(
        self, backends: Iterable[Backend], route: str, body_bytes: int, now_s: float
    ) -> ZoneLoads | None:
        """Return the loads by which zones are compared, None if the request is small."""
        if self._size_bytes(route, body_bytes) < MIN_PRICED_BYTES:
            return None
        loads = ZoneLoads()
        for backend in backends:
            loads.add(backend, self._occupancy.total(backend.id, backend.incarnation_id, now_s))
        return loads

    def _size_bytes(self, route: str, body_bytes: int) -> int:
        """Return the size of a request's body and of the response that is expected."""
        return body_bytes + self._response_sizes.expected_bytes(route)

    def _cost_s(self, backend: Backend, latency_s: float, size_bytes: int) -> float:
        cost = latency_s / max(0.05, 1.0 - self._outlier_detector.failure_rate(backend.id)) ** 2
        if backend.zone != self._zone:
            cost += CROSS_ZONE_RTT_S + size_bytes * CROSS_ZONE_S_PER_BYTE
        if not self.has_idle_connection(backend):
            cost += NEW_CONNECTION_S
        return cost

    def _latency_factor(self, backend: Backend, now_s: float) -> float:
        """Return the latency factor; factors of all daemons only of servers without own paces.

        With both, requests were later than with the servers' own paces alone (docs/POLICY.md).
        """
        if not self._server_loads.names_pace(backend.incarnation_id):
            return self._estimates.latency_factor(backend.id, now_s)
        correction = self._server_loads.pace_correction(backend.incarnation_id, now_s)
        own_factor = self._estimates.own_latency_factor(backend.id, now_s)
        return own_factor if correction is None else own_factor * correction

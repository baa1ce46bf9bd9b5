"""Traffic splitting: distribute a route's requests over its services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from fuchsiawell.routing.configuration import Route, WeightedService

__all__ = ["TrafficSplitter"]

# Steps of the golden ratio modulo 1 cover the unit interval evenly after any number of steps.
GOLDEN_RATIO_STEP = 0.6180339887498949


class TrafficSplitter:
    """Select services by a low-discrepancy sequence, so that shares hold for few requests too.

    Each daemon starts at a random point of the sequence for each route. Otherwise many daemons with
    few requests each would all start with the same service.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._point_by_route: dict[str, float] = {}

    def next_service(self, route: Route) -> str:
        """Return the name of the service for the route's next request."""
        traffic_split = route.traffic_split
        if len(traffic_split) == 1:
            return traffic_split[0].service
        point = self._point_by_route.get(route.name)
        if point is None:
            point = self._random.random()
        self._point_by_route[route.name] = (point + GOLDEN_RATIO_STEP) % 1.0
        return _service_at(traffic_split, point).service


def _service_at(traffic_split: tuple[WeightedService, ...], point: float) -> WeightedService:
    remaining = point * sum(target.weight for target in traffic_split)
    for target in traffic_split:
        remaining -= target.weight
        if remaining < 0:
            return target
    return next(target for target in reversed(traffic_split) if target.weight)

"""Deal a route's requests among its services in proportion to their weights."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from fuchsiawell.routing.configuration import Route, WeightedService

__all__ = ["TrafficSplitter"]

# Steps by the golden ratio spread evenly over the unit interval, whatever the number of steps.
STEP = 0.6180339887498949


class TrafficSplitter:
    """Deal by a low-discrepancy sequence, so that shares hold over short spans too.

    Each daemon starts at a random point: many daemons with few requests each would otherwise all
    begin with the same part.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._point: dict[str, float] = {}

    def next_service(self, route: Route) -> str:
        """Return the service for the route's next request."""
        traffic_split = route.traffic_split
        if len(traffic_split) == 1:
            return traffic_split[0].service
        point = self._point.get(route.name)
        if point is None:
            point = self._random.random()
        self._point[route.name] = (point + STEP) % 1.0
        return _part_at(traffic_split, point).service


def _part_at(traffic_split: tuple[WeightedService, ...], point: float) -> WeightedService:
    left = point * sum(part.weight for part in traffic_split)
    for part in traffic_split:
        left -= part.weight
        if left < 0:
            return part
    return next(part for part in reversed(traffic_split) if part.weight)

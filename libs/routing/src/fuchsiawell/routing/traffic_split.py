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

    def next_service(self, route: Route) -> str | None:
        """Return the service for the route's next request; None if no weight is positive.

        A weight that is not positive stands for no requests, as in a configuration that takes a
        service out of a split.
        """
        targets = [target for target in route.traffic_split if target.weight > 0]
        if not targets:
            return None
        if len(targets) == 1:
            return targets[0].service
        point = self._point_by_route.get(route.name)
        if point is None:
            point = self._random.random()
        self._point_by_route[route.name] = (point + GOLDEN_RATIO_STEP) % 1.0
        return _service_at(targets, point)


def _service_at(targets: list[WeightedService], point: float) -> str:
    # Relative to the largest weight, as the sum of large weights could overflow.
    largest = max(target.weight for target in targets)
    shares = [target.weight / largest for target in targets]
    remaining = point * sum(shares)
    for target, share in zip(targets, shares, strict=True):
        remaining -= share
        if remaining < 0:
            return target.service
    return targets[-1].service

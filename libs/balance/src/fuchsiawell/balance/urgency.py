"""Urgency classes of the routes of a service, and the measured demand of each class."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from fuchsiawell.routing import Route

__all__ = ["ClassDemand", "UrgencyClasses", "urgency_classes"]

# A route of equal priority is less urgent from this ratio of the target latencies on.
TARGET_RATIO = 2.0
# Only a route of this priority, the highest, asks for room that others of its service leave to it.
# Services without one are served as if all their routes were alike.
URGENT_PRIORITY = 0
# Demand decays with this time constant, so that a reserve ends within about a second after the
# requests that it is kept for.
DECAY_S = 1.0
# Added to the decayed requests of a class of which one arrived within DECAY_S. A daemon sees a few
# urgent requests a second, and those that happen to have seen too few of late would fill the room
# that all others leave.
MARGIN_REQUESTS = 0.5
# A daemon that has just started has seen less than the decayed number counts on. From this part of
# it on, what it has seen is extrapolated.
MIN_OBSERVED_PART = 0.1
# A class is present while its decayed number of requests is above this: 3 s after a single one. A
# daemon that gets one urgent request a second would otherwise often take the class for absent.
MIN_PRESENT_REQUESTS = 0.05


# A class takes part in the order among classes if its requests are at least this share of those of
# the service, over about SHARE_DECAY_S, and not fewer than MIN_SHARE_REQUESTS: a few test requests
# must not change how others are served.
MIN_REQUEST_SHARE, SHARE_DECAY_S = 0.15, 5.0
MIN_SHARE_REQUESTS = 3.0


@dataclass(frozen=True)
class UrgencyClasses:
    """Urgency class of each route of a service; 0 is the most urgent."""

    class_by_route: Mapping[str, int]
    count: int

    def class_of(self, route: str) -> int:
        """Return the class of a route; one that no longer leads to the service is the last."""
        return self.class_by_route.get(route, self.count - 1)


def urgency_classes(service: str, routes: Iterable[Route]) -> UrgencyClasses:
    """Return the classes of the routes that lead to a service.

    A class begins at the next priority, or at twice the lowest target latency of its predecessor.
    """
    leading = [
        route
        for route in routes
        if any(part.service == service and part.weight > 0 for part in route.traffic_split)
    ]
    leading.sort(key=lambda route: (route.priority, route.target_latency))
    if not leading or leading[0].priority != URGENT_PRIORITY:
        return UrgencyClasses({route.name: 0 for route in leading}, 1)
    class_by_route: dict[str, int] = {}
    current, first = 0, None
    for route in leading:
        if first is None:
            first = route
        elif (
            route.priority > first.priority
            or route.target_latency >= TARGET_RATIO * first.target_latency
        ):
            current, first = current + 1, route
        class_by_route.setdefault(route.name, current)
    return UrgencyClasses(class_by_route, current + 1)


@dataclass
class _Demand:
    requests: float = 0.0
    work_s: float = 0.0
    updated_s: float = 0.0
    # Requests that decay with SHARE_DECAY_S.
    share_requests: float = 0.0


class ClassDemand:
    """Rates of requests and work of one service at this daemon, by urgency class."""

    def __init__(self) -> None:
        self._by_class: dict[int, _Demand] = {}
        self._first_s: float | None = None

    def record(self, urgency: int, work_s: float, now_s: float) -> None:
        """Record the arrival of a request and its expected work."""
        if self._first_s is None:
            self._first_s = now_s
        demand = self._by_class.setdefault(urgency, _Demand())
        kept = math.exp(-max(0.0, now_s - demand.updated_s) / DECAY_S)
        demand.requests = demand.requests * kept + 1.0
        demand.work_s = demand.work_s * kept + work_s
        demand.share_requests = self._share_requests(demand, now_s) + 1.0
        demand.updated_s = now_s

    def rate_per_s(self, urgency: int, now_s: float) -> float:
        """Return the requests of a class per second."""
        demand = self._by_class.get(urgency)
        return 0.0 if demand is None else self._kept(demand, now_s) * demand.requests / DECAY_S

    def mean_work_s(self, now_s: float, urgency: int | None = None) -> float:
        """Return the mean work of requests of a class, or of all; 0.0 without recent ones."""
        requests = work_s = 0.0
        for other, demand in self._by_class.items():
            if urgency is None or other == urgency:
                kept = self._kept(demand, now_s)
                requests += kept * demand.requests
                work_s += kept * demand.work_s
        return work_s / requests if requests else 0.0

    def busy_above(self, urgency: int, now_s: float) -> float:
        """Return how many slots the more urgent classes keep busy on average, with a margin."""
        work_s = 0.0
        for other, demand in self._by_class.items():
            if other < urgency and demand.requests:
                requests = self._kept(demand, now_s) * demand.requests
                if now_s - demand.updated_s < DECAY_S:
                    requests += min(MARGIN_REQUESTS, requests)
                work_s += requests * demand.work_s / demand.requests
        return work_s / (DECAY_S * self._observed_part(now_s))

    def any_above(self, urgency: int, now_s: float) -> bool:
        """Return whether a more urgent class is present."""
        return any(other < urgency for other in self._present(now_s))

    def count_present(self, now_s: float) -> int:
        """Return how many classes have a share of the requests that is worth an order."""
        requests = [self._share_requests(demand, now_s) for demand in self._by_class.values()]
        least = max(MIN_SHARE_REQUESTS, MIN_REQUEST_SHARE * sum(requests))
        return sum(number >= least for number in requests)

    def _observed_part(self, now_s: float) -> float:
        """Return which part of the usual decayed number the time since the first request gives."""
        observed_s = 0.0 if self._first_s is None else now_s - self._first_s
        return max(MIN_OBSERVED_PART, 1.0 - math.exp(-observed_s / DECAY_S))

    def _present(self, now_s: float) -> list[int]:
        return [
            urgency
            for urgency, demand in self._by_class.items()
            if self._kept(demand, now_s) * demand.requests >= MIN_PRESENT_REQUESTS
        ]

    @staticmethod
    def _share_requests(demand: _Demand, now_s: float) -> float:
        age_s = max(0.0, now_s - demand.updated_s)
        return demand.share_requests * math.exp(-age_s / SHARE_DECAY_S)

    @staticmethod
    def _kept(demand: _Demand, now_s: float) -> float:
        return math.exp(-max(0.0, now_s - demand.updated_s) / DECAY_S)

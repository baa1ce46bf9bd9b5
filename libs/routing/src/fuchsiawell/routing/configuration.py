"""The active configuration: routes, services and limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from datetime import timedelta

__all__ = ["ClientLimits", "Configuration", "Idempotency", "Route", "Service", "WeightedService"]


class Idempotency(StrEnum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "allowed"
    NON_IDEMPOTENT = "forbidden"


@dataclass(frozen=True)
class WeightedService:
    """A service of a route and its weight in the distribution of the route's requests.

    A weight that is not positive stands for no requests.
    """

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """The services for the requests of a host and path prefix, and the rules for these requests."""

    name: str
    host: str
    path_prefix: str
    idempotency: Idempotency
    timeout: timedelta
    target_latency: timedelta
    # 0 is the most urgent.
    priority: int
    max_attempts: int
    traffic_split: tuple[WeightedService, ...]


@dataclass(frozen=True)
class Service:
    """A set of backend servers that serve the same requests."""

    name: str
    # Whether each key is owned by one backend server at a time.
    sharded: bool
    max_connections: int
    warm_up: timedelta | None
    # How long a server is cold after a start during traffic; None: as long as it says itself.
    cold_start: timedelta | None = None
    # Requests per second that a cold server tolerates from all daemons together; None: no bound.
    cold_per_s: float | None = None


@dataclass(frozen=True)
class ClientLimits:
    """Limits on the size of clients' requests, and timeouts of their connections."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: timedelta
    idle_timeout: timedelta


@dataclass(frozen=True)
class Configuration:
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: ClientLimits
    # What could not be read and was left out or replaced by a default.
    problems: tuple[str, ...] = field(default=(), compare=False)
    routes_by_host: Mapping[str, tuple[Route, ...]] = field(init=False, compare=False)

    def __post_init__(self) -> None:
        """Index the routes by host, longest prefix first."""
        routes_by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            routes_by_host.setdefault(route.host, []).append(route)
        ordered = {
            host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
            for host, routes in routes_by_host.items()
        }
        object.__setattr__(self, "routes_by_host", ordered)

    def routes_to(self, service: str) -> list[Route]:
        """Return the routes that send requests to a service, also those with a weight of 0."""
        return [
            route
            for route in self.routes
            if any(part.service == service for part in route.traffic_split)
        ]

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix; None when none matches."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

"""The configuration in force: routes, services, limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from datetime import timedelta

__all__ = ["ClientLimits", "Configuration", "WeightedService", "Idempotency", "Route", "Service"]


class Idempotency(StrEnum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "allowed"
    NON_IDEMPOTENT = "forbidden"


@dataclass(frozen=True)
class WeightedService:
    """One service of a route and its share of the route's requests."""

    service: str
    weight: int


@dataclass(frozen=True)
class Route:
    """Where requests of a host and path go, and what may be done with them."""

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
    """A set of backend servers that do the same work."""

    name: str
    # Whether each key is held by one server at a time.
    sharded: bool
    max_connections: int
    warm_up: timedelta | None


@dataclass(frozen=True)
class ClientLimits:
    """What a client may send, and how long it may take or stay idle."""

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
    routes_by_host: Mapping[str, tuple[Route, ...]] = field(init=False, compare=False)

    def __post_init__(self) -> None:
        """Index routes by host, longest prefix first."""
        routes_by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            routes_by_host.setdefault(route.host, []).append(route)
        ordered = {
            host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
            for host, routes in routes_by_host.items()
        }
        object.__setattr__(self, "routes_by_host", ordered)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix that begins the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

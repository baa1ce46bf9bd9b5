"""Count requests for keys by their work, as this daemon estimates it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.shards import KeyCounter

if TYPE_CHECKING:
    from fuchsiawell.gateway.session.state import Session

__all__ = ["count_key", "counts_work", "slowest_service_time_s"]


def counts_work(session: Session, service: str) -> bool:
    """Return whether requests for a service count by work: routes of different urgency meet there.

    Elsewhere each request counts as one. Daemons differ in what they take for the slowest route,
    and routes that get requests only now and then would make all others count for too little.
    """
    return session.class_rooms.classes(service).count > 1


def slowest_service_time_s(session: Session, service: str) -> float | None:
    """Return the usual service time of the slowest route to a service; None without routes.

    Where requests count by work, the initial estimate of a route without responses counts only if
    no route has any: it may be many times the work of the routes in use, whose requests would then
    count as nothing.
    """
    configuration, estimates = session.configuration, session.latency_estimates
    routes = configuration.routes_to(service) if configuration is not None else []
    if counts_work(session, service):
        routes = [route for route in routes if estimates.is_measured(route.name)] or routes
    return max((estimates.service_time_s(route.name) for route in routes), default=None)


def count_key(session: Session, service: str, key: int, route: str) -> None:
    """Count a request for a key, by its work where routes of different urgency meet."""
    units = 1
    if counts_work(session, service):
        service_time_s = session.latency_estimates.service_time_s(route)
        slowest_s = slowest_service_time_s(session, service) or service_time_s
        units = session.key_work.count(service, service_time_s, slowest_s)
    session.key_counters.setdefault(service, KeyCounter()).count(key, units)

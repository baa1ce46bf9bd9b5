"""What entries and the configuration say of cold servers, and when servers become warm."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from fuchsiawell.balance import ColdBound

if TYPE_CHECKING:
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.routing import Backend

__all__ = [
    "cold_bound",
    "cold_permit_rate_per_s",
    "log_cold",
    "mark_zone_cold",
    "record_cold_entry",
    "record_warm_servers",
    "warm_spread_s",
]

# Daemons turn to a server that has become warm at times spread over this: four rounds of load
# reports, after which each sees the requests of those before it.
MAX_WARM_SPREAD_S = 0.3


def warm_spread_s(daemon: str) -> float:
    """Return by how much a daemon prolongs each cold time."""
    return MAX_WARM_SPREAD_S * zlib.crc32(daemon.encode()) / 2**32


def cold_bound(session: Session, backend_id: str) -> ColdBound | None:
    """Return what the configuration says of a cold server, None if its service has no bound."""
    backend = session.directory.by_id.get(backend_id)
    if backend is None or session.configuration is None:
        return None
    service = session.configuration.services.get(backend.service)
    if service is None or service.cold_per_s is None:
        return None
    start_s = 0.0 if service.cold_start is None else service.cold_start.total_seconds()
    return ColdBound(start_s, service.cold_per_s)


def cold_permit_rate_per_s(session: Session, backend_id: str) -> float | None:
    """Return the rate of permits while a server is cold: its own limit, if that is lower."""
    bound = cold_bound(session, backend_id)
    if bound is None:
        return None
    limit = session.rate_limits.latest(backend_id)
    if limit is None or limit.rate_per_s is None:
        return bound.rate_per_s
    return min(bound.rate_per_s, limit.rate_per_s)


def record_cold_entry(session: Session, backend: Backend, is_new: bool) -> None:
    """Record the cold time in the entry of a server; `is_new` for another incarnation."""
    cold_servers, now_s = session.cold_servers, session.now_s
    incarnation_id = backend.incarnation_id
    was_cold = cold_servers.is_cold(backend.id, incarnation_id, now_s)
    cold_s = None if backend.cold is None else backend.cold.total_seconds()
    cold_servers.record_entry(backend.id, incarnation_id, cold_s, is_new, now_s)
    if not was_cold and cold_servers.is_cold(backend.id, incarnation_id, now_s):
        log_cold(session, backend.id, incarnation_id, "entry")


def mark_zone_cold(session: Session, zone: str) -> None:
    """Treat all servers of a zone as just started, until their entries say otherwise."""
    for backend in session.directory.by_id.values():
        bound = cold_bound(session, backend.id) if backend.zone == zone else None
        if bound is not None:
            until_s = session.now_s + bound.start_s
            session.cold_servers.mark(backend.id, backend.incarnation_id, until_s)
            log_cold(session, backend.id, backend.incarnation_id, "zone taken back")


def log_cold(session: Session, backend_id: str, incarnation_id: str, source: str) -> None:
    """Log that a server is cold, and by what this daemon knows it."""
    left_s = session.cold_servers.remaining_s(backend_id, incarnation_id, session.now_s)
    session.request_log.write(
        "server cold",
        server=backend_id,
        incarnation=incarnation_id,
        left_ms=round(left_s * 1000),
        source=source,
    )


def record_warm_servers(session: Session) -> None:
    """Discard the waits for permits of servers that are no longer cold."""
    for backend_id in session.cold_servers.remove_warm(session.now_s):
        session.permit_waits.forget(backend_id)
        session.request_log.write("server warm", server=backend_id)

"""Requests in flight at servers, by counts of daemons and by what servers say of their load."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.balance.in_flight import InFlightCounts
    from fuchsiawell.balance.server_loads import ServerLoads

__all__ = ["ServerOccupancy"]


class ServerOccupancy:
    """Combine both sources; without loads from servers the counts stand alone."""

    def __init__(self, in_flight_counts: InFlightCounts, server_loads: ServerLoads) -> None:
        self._in_flight_counts = in_flight_counts
        self._server_loads = server_loads

    def total(self, backend_id: str, incarnation_id: str, now_s: float) -> int:
        """Return the requests at a server: those counted, or those that it named if more."""
        counted = self._in_flight_counts.total(backend_id)
        load = self._server_loads.recent(incarnation_id, now_s)
        return counted if load is None else max(counted, load.running + load.waiting)

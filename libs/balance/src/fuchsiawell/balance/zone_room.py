"""Keep large requests in their zone while other zones have hardly more room."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.routing import Backend

__all__ = ["MIN_PRICED_BYTES", "ROOM_LATENCY_RATIO", "ZoneLoads"]

# Below this size the price of another zone is lower than the random part of a server's cost.
MIN_PRICED_BYTES = 1024
# Part of a zone's load below which another must be to get requests of it. Counts are up to 0.14 s
# old and differ by chance: with 1.0 zones send each other what each could serve itself.
TAKER_LOAD_RATIO = 0.8
# A zone has room while its best server is expected to answer within this part of the target: work
# times vary. With 1.0, 0.005 more are late where one zone has half of the room that it needs.
ROOM_LATENCY_RATIO = 0.75


class ZoneLoads:
    """Requests in flight per slot of a service's servers, by zone."""

    def __init__(self) -> None:
        self._in_flight_by_zone: dict[str, int] = {}
        self._slots_by_zone: dict[str, int] = {}

    def add(self, backend: Backend, in_flight: int) -> None:
        """Add a server."""
        zone = backend.zone
        self._in_flight_by_zone[zone] = self._in_flight_by_zone.get(zone, 0) + in_flight
        self._slots_by_zone[zone] = self._slots_by_zone.get(zone, 0) + max(1, backend.slots)

    def load(self, zone: str) -> float:
        """Return the requests in flight per slot; 0 without servers."""
        slots = self._slots_by_zone.get(zone, 0)
        return self._in_flight_by_zone[zone] / slots if slots else 0.0

    def takes_from(self, zone: str, origin: str) -> bool:
        """Return whether servers of `zone` may take requests while `origin` has room.

        Of two zones at most one takes requests of the other.
        """
        return zone == origin or self.load(zone) < TAKER_LOAD_RATIO * self.load(origin)

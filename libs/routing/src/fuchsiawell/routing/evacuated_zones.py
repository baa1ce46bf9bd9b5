"""Zones whose servers are to get no more requests."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["EvacuatedZones"]

# Bounds the memory that malformed keys can take; a deployment has a few zones.
MAX_ZONES = 256


class EvacuatedZones(Mapping[str, float]):
    """The monotonic time by zone from which the daemon counts its evacuation."""

    def __init__(self) -> None:
        self._start_s_by_zone: dict[str, float] = {}

    def __getitem__(self, zone: str) -> float:
        return self._start_s_by_zone[zone]

    def __contains__(self, zone: object) -> bool:
        return zone in self._start_s_by_zone

    def __iter__(self) -> Iterator[str]:
        return iter(self._start_s_by_zone)

    def __len__(self) -> int:
        return len(self._start_s_by_zone)

    def add(self, zone: str, start_s: float) -> bool:
        """Add a zone; return whether there was room for it."""
        if len(self) >= MAX_ZONES:
            return False
        self._start_s_by_zone[zone] = start_s
        return True

    def remove(self, zone: str) -> bool:
        """Remove a zone; return whether it was known."""
        return self._start_s_by_zone.pop(zone, None) is not None

"""Since which era of the store this daemon has known its changes, and of which eras maps are."""

from __future__ import annotations

__all__ = ["EraKnowledge"]


class EraKnowledge:
    """Since when this daemon knows what the store may forget at the beginning of an era."""

    def __init__(self) -> None:
        self._since_era: int | None = None
        self._map_era_by_service: dict[str, int] = {}

    def record_listing(self, era: int | None) -> None:
        """Record a listing of the store."""
        if self._since_era is None:
            self._since_era = era

    def since_before(self, era: int) -> int | None:
        """Return since which earlier era this daemon has known the store, None if since none."""
        if self._since_era is None or self._since_era >= era:
            return None
        return self._since_era

    def record_map_era(self, service: str, era: int) -> None:
        """Record in which era the term of a service's map began; a copy may name an earlier one."""
        self._map_era_by_service[service] = max(era, self._map_era_by_service.get(service, era))

    def map_era(self, service: str) -> int | None:
        """Return the latest of these eras, None if the store names none."""
        return self._map_era_by_service.get(service)

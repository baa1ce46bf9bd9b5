"""Since which era of the store this daemon has known its changes."""

from __future__ import annotations

__all__ = ["EraKnowledge"]


class EraKnowledge:
    """Since when this daemon knows what the store may forget at the beginning of an era."""

    def __init__(self) -> None:
        self._since_era: int | None = None

    def record_listing(self, era: int | None) -> None:
        """Record a listing of the store."""
        if self._since_era is None:
            self._since_era = era

    def since_before(self, era: int) -> int | None:
        """Return since which earlier era this daemon has known the store, None if since none."""
        if self._since_era is None or self._since_era >= era:
            return None
        return self._since_era

"""Since which era of the store this daemon has known its changes."""

from __future__ import annotations

__all__ = ["EraKnowledge"]

# A daemon that has not heard from the store for longer may lack changes of the time before an era
# began; a granter goes on for as long.
MAX_GAP_S = 12.0


class EraKnowledge:
    """Whether this daemon knows what the store may have forgotten at the beginning of an era."""

    def __init__(self) -> None:
        self._since_era: int | None = None

    def record_listing(self, era: int | None, age_s: float) -> None:
        """Record a listing of the store; until then, knowledge was `age_s` seconds old."""
        if era is None or (self._since_era is not None and age_s < MAX_GAP_S):
            return
        self._since_era = era

    def covers_time_before(self, era: int, age_s: float) -> bool:
        """Return whether all that the store held just before an era is known.

        The daemon may not have heard of that era yet; its knowledge is `age_s` seconds old.
        """
        return self._since_era is not None and self._since_era < era and age_s < MAX_GAP_S

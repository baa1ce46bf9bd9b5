"""Since which era of the store this daemon has known its changes."""

from __future__ import annotations

__all__ = ["EraKnowledge"]

# A daemon that has not heard from the store for longer may lack changes of the time before an era
# began. The store is away for a moment then, and a call may fail late.
MAX_GAP_S = 5.0


class EraKnowledge:
    """Whether this daemon knows what the store may have forgotten at the beginning of an era."""

    def __init__(self) -> None:
        self._since_era: int | None = None

    def record_listing(self, era: int | None, age_s: float) -> None:
        """Record a listing of the store; until then, knowledge was `age_s` seconds old."""
        if era is None or (self._since_era is not None and age_s < MAX_GAP_S):
            return
        self._since_era = era

    def since_before(self, era: int, age_s: float) -> int | None:
        """Return since which era all is known that the store held until `era`, None if it is not.

        The daemon may not have heard of that era yet; its knowledge is `age_s` seconds old.
        """
        if self._since_era is None or self._since_era >= era or age_s >= MAX_GAP_S:
            return None
        return self._since_era

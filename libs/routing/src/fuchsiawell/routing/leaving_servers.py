"""Backend servers that have said that they leave."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = ["LeavingServers"]

# How long it is known of a server that is not listed: an entry may return after a store outage.
UNLISTED_RETENTION_S = 60.0


@dataclass
class _Leaving:
    since_s: float
    listed_s: float


class LeavingServers:
    """Incarnations that leave: a later entry or response that does not say so undoes nothing.

    An incarnation is named "server id/incarnation number"; times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._by_incarnation: dict[str, _Leaving] = {}

    def record(self, incarnation_id: str, now_s: float) -> bool:
        """Record that an incarnation leaves; return whether that was not known."""
        if incarnation_id in self._by_incarnation:
            return False
        self._by_incarnation[incarnation_id] = _Leaving(now_s, now_s)
        return True

    def since_s(self, incarnation_id: str) -> float | None:
        """Return the time of the first record of an incarnation, None if there is none."""
        leaving = self._by_incarnation.get(incarnation_id)
        return None if leaving is None else leaving.since_s

    def since_s_by_incarnation(self) -> dict[str, float]:
        """Return the times of the first records."""
        return {name: leaving.since_s for name, leaving in self._by_incarnation.items()}

    def retain(self, listed: Collection[str], now_s: float) -> None:
        """Discard incarnations that have not been listed for UNLISTED_RETENTION_S."""
        for incarnation_id, leaving in list(self._by_incarnation.items()):
            if incarnation_id in listed:
                leaving.listed_s = now_s
            elif now_s - leaving.listed_s > UNLISTED_RETENTION_S:
                del self._by_incarnation[incarnation_id]

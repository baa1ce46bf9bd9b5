"""Check that a server gets next to nothing from a daemon during a rest that it asked it for."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict

__all__ = ["RestAudit"]

# Requests count from this time after the server's response, and this many are tolerated.
TOLD_DELAY_S = 0.5
MAX_REQUESTS = 2


class RestAudit:
    """Rests that servers named to daemons, and the requests that reached them.

    Each rest is a window of its own, whatever the server says later. Servers are named by
    incarnation; times are seconds of one clock.
    """

    def __init__(self) -> None:
        self._arrivals: dict[tuple[str, str], list[float]] = defaultdict(list)
        self._rests: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
        self._disturbances: list[tuple[str, float, float]] = []

    def record_rest(self, incarnation_id: str, daemon: str, seconds: float, now_s: float) -> None:
        """Record that a server answers a daemon 503 and names a rest."""
        self._rests[incarnation_id, daemon].append((now_s, now_s + seconds))

    def record_arrival(self, incarnation_id: str, daemon: str, now_s: float) -> None:
        """Record a request that a daemon sent to a server."""
        self._arrivals[incarnation_id, daemon].append(now_s)

    def record_disturbance(self, daemon: str, start_s: float, end_s: float) -> None:
        """Record that a daemon was restarted, frozen or cut off, which excuses its rests."""
        self._disturbances.append((daemon, start_s, end_s))

    def violations(self) -> list[str]:
        """Return the fullest window of each server and daemon with too many requests, as text."""
        found = []
        for (incarnation_id, daemon), rests in self._rests.items():
            arrivals = self._arrivals[incarnation_id, daemon]
            worst = max(
                (
                    (_count(arrivals, start_s, end_s), start_s, end_s)
                    for start_s, end_s in rests
                    if not self._excused(daemon, start_s, end_s)
                ),
                default=(0, 0.0, 0.0),
            )
            if worst[0] > MAX_REQUESTS:
                count, start_s, end_s = worst
                found.append(
                    f"{incarnation_id} got {count} requests from {daemon} in its rest from "
                    f"{start_s:.3f} to {end_s:.3f}; {MAX_REQUESTS} allowed"
                )
        return found

    def _excused(self, daemon: str, start_s: float, end_s: float) -> bool:
        return any(
            name == daemon and from_s <= end_s and until_s >= start_s
            for name, from_s, until_s in self._disturbances
        )


def _count(arrivals: list[float], start_s: float, end_s: float) -> int:
    """Return how many arrivals count for a rest."""
    first = bisect_right(arrivals, start_s + TOLD_DELAY_S)
    return max(0, bisect_left(arrivals, end_s) - first)

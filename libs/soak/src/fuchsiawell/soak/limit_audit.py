"""Check that limited servers get no more than they said, in each sliding window of time."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

__all__ = ["LimitAudit"]

WINDOW_S = 4.0
# A server may get this many times what its limit allows in a window, plus SLACK_REQUESTS.
TOLERANCE, SLACK_REQUESTS = 1.5, 5.0
# A daemon's requests count from this time after it passed on a response that names the limit.
TOLD_DELAY_S = 0.5
# Windows count that end later than this after the server first named a limit; a daemon that was
# disturbed does not count until this long after.
CONTACT_S = 3.0


@dataclass
class _Server:
    # Times from which a limit holds, in order; None: no limit.
    limits: list[tuple[float, float | None]] = field(default_factory=list)
    told_s: dict[str, float] = field(default_factory=dict)
    arrivals: list[tuple[float, str]] = field(default_factory=list)


class LimitAudit:
    """Requests that reached servers, what these had said, and which daemons had been told.

    Servers are named by incarnation; times are seconds of one clock.
    """

    def __init__(self) -> None:
        self._by_incarnation: dict[str, _Server] = {}
        self._disturbances: list[tuple[str, float, float]] = []

    def record_limit(self, incarnation_id: str, rate_per_s: float | None, now_s: float) -> None:
        """Record that a server names a limit from now on, or none any more."""
        server = self._server(incarnation_id)
        if not server.limits or server.limits[-1][1] is None:
            server.told_s.clear()
        server.limits.append((now_s, rate_per_s))

    def record_told(self, incarnation_id: str, daemon: str, now_s: float) -> None:
        """Record that a daemon passed on a response that names a limit."""
        self._server(incarnation_id).told_s.setdefault(daemon, now_s)

    def record_arrival(self, incarnation_id: str, daemon: str, now_s: float) -> None:
        """Record a request that a daemon sent to a server; it counts if the daemon was told."""
        server = self._server(incarnation_id)
        told_s = server.told_s.get(daemon)
        if told_s is not None and now_s >= told_s + TOLD_DELAY_S:
            server.arrivals.append((now_s, daemon))

    def record_disturbance(self, daemon: str, start_s: float, end_s: float) -> None:
        """Record that a daemon was restarted, frozen or cut off, which excuses it for a while."""
        self._disturbances.append((daemon, start_s, end_s + CONTACT_S))

    def violations(self) -> list[str]:
        """Return the first window of each server that holds too many requests, as text."""
        found = []
        for incarnation_id, server in self._by_incarnation.items():
            window: deque[float] = deque()
            for at_s, daemon in server.arrivals:
                if self.excused(daemon, at_s):
                    continue
                window.append(at_s)
                while window[0] <= at_s - WINDOW_S:
                    window.popleft()
                allowed = TOLERANCE * _allowance(server, at_s) + SLACK_REQUESTS
                if at_s >= server.limits[0][0] + CONTACT_S and len(window) > allowed:
                    found.append(
                        f"{incarnation_id} got {len(window)} requests in {WINDOW_S:g} s until "
                        f"{at_s:.3f} from daemons that it had told; {allowed:.1f} allowed"
                    )
                    break
        return found

    def excused(self, daemon: str, at_s: float) -> bool:
        """Return whether a daemon was disturbed at a time or shortly before."""
        return any(
            name == daemon and start_s <= at_s <= end_s
            for name, start_s, end_s in self._disturbances
        )

    def _server(self, incarnation_id: str) -> _Server:
        return self._by_incarnation.setdefault(incarnation_id, _Server())


def _allowance(server: _Server, until_s: float) -> float:
    """Return how many requests the limits of the window allow; infinite if one was absent."""
    total = 0.0
    start_s = until_s - WINDOW_S
    for index, (from_s, rate_per_s) in enumerate(server.limits):
        # What a server says first counts for the whole window.
        begin_s = start_s if index == 0 else max(start_s, from_s)
        end_s = server.limits[index + 1][0] if index + 1 < len(server.limits) else until_s
        duration_s = min(end_s, until_s) - begin_s
        if duration_s <= 0:
            continue
        if rate_per_s is None:
            return float("inf")
        total += rate_per_s * duration_s
    return total

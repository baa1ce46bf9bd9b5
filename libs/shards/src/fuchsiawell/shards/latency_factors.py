"""How fast servers are, from all daemons' reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["LatencyFactors"]

# Weight of one daemon's report: about ten of them, three a second from each, make the picture.
REPORT_WEIGHT = 0.1
LEAST_SLOWNESS = 0.1


class LatencyFactors:
    """Average the slowness that daemons report, in hundredths of the usual."""

    def __init__(self) -> None:
        self._by_id: dict[int, float] = {}

    def apply_report(self, paces: Mapping[int, int]) -> None:
        """Take a daemon's report, by short id of the server."""
        for server, hundredths in paces.items():
            known = self._by_id.get(server, 1.0)
            self._by_id[server] = known + REPORT_WEIGHT * (hundredths / 100 - known)

    def latency_factor(self, server: int) -> float:
        """Return how many times longer than usual a server takes."""
        return max(LEAST_SLOWNESS, self._by_id.get(server, 1.0))

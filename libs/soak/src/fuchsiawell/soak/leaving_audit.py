"""Check that servers that say they leave get no requests from daemons that have passed that on."""

from __future__ import annotations

from collections import defaultdict

__all__ = ["LeavingAudit"]

# A request that a client sent this long after an answer that says it must not reach the server.
DRAIN_S = 2.0


class LeavingAudit:
    """Answers that say that a server leaves, and requests that reached it, by daemon.

    Servers are named by incarnation; times are seconds of one clock.
    """

    def __init__(self) -> None:
        self._told_s: dict[tuple[str, str], list[float]] = defaultdict(list)
        self._sent: dict[str, tuple[str, float]] = {}
        self._arrivals: list[tuple[str, str, float, float]] = []
        self._disturbances: list[tuple[str, float, float]] = []

    def record_told(self, incarnation_id: str, daemon: str, now_s: float) -> None:
        """Record that a daemon passed on an answer that says that the server leaves."""
        self._told_s[incarnation_id, daemon].append(now_s)

    def record_sent(self, request_id: str, daemon: str, now_s: float) -> None:
        """Record that a client sends a request to a daemon."""
        self._sent[request_id] = daemon, now_s

    def record_arrival(
        self, incarnation_id: str, request_id: str, now_s: float, sender: str = ""
    ) -> None:
        """Record that a request reached a server.

        It counts for the daemon that sent it, or else for the client's daemon.
        """
        daemon, sent_s = self._sent.get(request_id, ("", now_s))
        name = sender or daemon
        if (incarnation_id, name) in self._told_s:
            self._arrivals.append((incarnation_id, name, sent_s, now_s))

    def record_disturbance(self, daemon: str, start_s: float, end_s: float) -> None:
        """Record a restart or freeze of a daemon: what it passed on before no longer counts."""
        self._disturbances.append((daemon, start_s, end_s))

    def violations(self) -> list[str]:
        """Return the first request of each daemon and server that came too late, as text."""
        found: dict[tuple[str, str], str] = {}
        for incarnation_id, daemon, sent_s, at_s in self._arrivals:
            since_s = max(
                (e for name, start_s, e in self._disturbances if name == daemon and start_s < at_s),
                default=float("-inf"),
            )
            told_s = next((t for t in self._told_s[incarnation_id, daemon] if t > since_s), at_s)
            if sent_s > told_s + DRAIN_S:
                found.setdefault(
                    (incarnation_id, daemon),
                    f"{incarnation_id} got a request that a client sent {sent_s - told_s:.3f} s "
                    f"after {daemon} had passed on that it leaves, at {at_s:.3f}",
                )
        return list(found.values())

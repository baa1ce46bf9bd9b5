"""Determine when the grants of a backend server have expired, from the calls sent to it."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["GrantExpiryTracker", "GrantTiming"]


@dataclass(frozen=True)
class GrantTiming:
    """Durations of grants and of their renewal."""

    # From the arrival of the grant at the server.
    ttl_s: float = 2.5
    # Three renewals are sent within the TTL of a grant.
    renew_interval_s: float = 0.7
    # The clock of a server may run slow by this ratio.
    max_clock_drift: float = 0.02
    # From the end of a call to its arrival: the network may deliver it after an aborted connection.
    max_delivery_delay_s: float = 0.3
    # How long a granter renews grants when it can no longer reach the store and has not received a
    # newer term. Longer than the usual outages of the store (9 s).
    renew_without_store_s: float = 12.0

    @property
    def max_ttl_s(self) -> float:
        """Longest time from the end of the call until the grant has expired at the server."""
        return self.ttl_s * (1 + self.max_clock_drift) + self.max_delivery_delay_s


class GrantExpiryTracker:
    """Track by server incarnation when a grant may last have reached it."""

    def __init__(self, timing: GrantTiming, predecessor_until_s: float) -> None:
        self._timing = timing
        self._last_call_end_s: dict[str, float] = {}
        self._unanswered_at_s: dict[str, float] = {}
        self._accepted: set[str] = set()
        # Until then the previous granter may have sent renewals with older fences.
        self._predecessor_until_s = predecessor_until_s

    def record_predecessor_stopped(self, now_s: float) -> None:
        """Record that the previous granter has received this term or has stopped."""
        self._predecessor_until_s = min(self._predecessor_until_s, now_s)

    def record_accepted(self, incarnation_id: str, now_s: float) -> None:
        """Record a grant that the server accepted; it refuses older fences from now on."""
        self._last_call_end_s[incarnation_id] = now_s
        self._accepted.add(incarnation_id)

    def record_unanswered(self, incarnation_id: str, now_s: float) -> None:
        """Record a grant whose call ended without a response; it may still take effect."""
        self._last_call_end_s[incarnation_id] = now_s
        self._unanswered_at_s[incarnation_id] = now_s

    def release_complete_at(self, incarnation_id: str, now_s: float) -> float:
        """Return when released keys may be granted to another server.

        This is `now_s`, unless a grant may still be under way to the server.
        """
        unanswered_at_s = self._unanswered_at_s.get(incarnation_id)
        free_at_s = (
            now_s
            if unanswered_at_s is None
            else max(now_s, unanswered_at_s + self._timing.max_ttl_s)
        )
        if incarnation_id not in self._accepted:
            # A grant of the previous granter may still arrive; the server would accept its fence.
            return max(free_at_s, self._predecessor_until_s + self._timing.max_ttl_s)
        return free_at_s

    def grants_expired_at(self, incarnation_id: str, now_s: float) -> float:
        """Return when all grants of a server that does not respond have expired."""
        last_call_end_s = self._last_call_end_s.get(incarnation_id, now_s)
        self._last_call_end_s[incarnation_id] = last_call_end_s
        if incarnation_id not in self._accepted:
            last_call_end_s = max(last_call_end_s, self._predecessor_until_s)
        return last_call_end_s + self._timing.max_ttl_s

    def forget(self, incarnation_id: str) -> None:
        """Discard an incarnation that owns no keys."""
        self._last_call_end_s.pop(incarnation_id, None)
        self._unanswered_at_s.pop(incarnation_id, None)
        self._accepted.discard(incarnation_id)

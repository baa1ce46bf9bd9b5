"""When a backend server surely holds no keys any more, from what was sent to it."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["GrantExpiryTracker", "GrantTiming"]


@dataclass(frozen=True)
class GrantTiming:
    """How long grants last and how long they may be sent without the store, in seconds."""

    # Life of a grant, from its arrival at the server.
    ttl_s: float = 2.5
    # Time between renewals; three are sent in the life of a grant.
    renew_interval_s: float = 0.7
    # A server's clock may run this much slow.
    max_clock_drift: float = 0.02
    # What may pass between the end of a call and its arrival: links after an aborted connection.
    max_delivery_delay_s: float = 0.3
    # How long a granter that hears neither the store nor a newer term goes on renewing: longer
    # than the store's usual outages (9 s).
    renew_without_store_s: float = 12.0

    @property
    def max_ttl_s(self) -> float:
        """Longest time from the end of a grant's call until it has surely run out."""
        return self.ttl_s * (1 + self.max_clock_drift) + self.max_delivery_delay_s


class GrantExpiryTracker:
    """Remember for each server life the last moment at which a grant may have reached it."""

    def __init__(self, timing: GrantTiming, predecessor_until: float) -> None:
        self._timing = timing
        self._ended_at: dict[str, float] = {}
        self._unanswered_at: dict[str, float] = {}
        self._confirmed: set[str] = set()
        # Until then a predecessor may have sent renewals under older fences.
        self._predecessor_until = predecessor_until

    def record_predecessor_stopped(self, now_s: float) -> None:
        """Note that the predecessor knows of this term or is gone."""
        self._predecessor_until = min(self._predecessor_until, now_s)

    def record_accepted(self, incarnation_id: str, now_s: float) -> None:
        """Note a grant that the server accepted: older fences are refused from now on."""
        self._ended_at[incarnation_id] = now_s
        self._confirmed.add(incarnation_id)

    def record_unanswered(self, incarnation_id: str, now_s: float) -> None:
        """Note a grant whose call ended at `now_s` without an answer; it may still take effect."""
        self._ended_at[incarnation_id] = now_s
        self._unanswered_at[incarnation_id] = now_s

    def release_complete_at(self, incarnation_id: str, now_s: float) -> float:
        """Return when released keys are surely free: at once, but for grants still on their way."""
        late = self._unanswered_at.get(incarnation_id)
        free_at = now_s if late is None else max(now_s, late + self._timing.max_ttl_s)
        if incarnation_id not in self._confirmed:
            # A predecessor's grant could still come in, under a fence the server has not passed.
            return max(free_at, self._predecessor_until + self._timing.max_ttl_s)
        return free_at

    def grants_expired_at(self, incarnation_id: str, now_s: float) -> float:
        """Return when a server that does not answer surely holds nothing."""
        ended_at = self._ended_at.get(incarnation_id, now_s)
        self._ended_at[incarnation_id] = ended_at
        if incarnation_id not in self._confirmed:
            ended_at = max(ended_at, self._predecessor_until)
        return ended_at + self._timing.max_ttl_s

    def forget(self, incarnation_id: str) -> None:
        """Drop a server life that holds nothing."""
        self._ended_at.pop(incarnation_id, None)
        self._unanswered_at.pop(incarnation_id, None)
        self._confirmed.discard(incarnation_id)

"""Determine when the grants of a backend server have expired, from the calls sent to it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

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
    """Track when a grant may last have reached a server incarnation.

    Granters of earlier terms may have sent renewals with older fences, each until a time of its
    own. A server refuses them for the keys on which it has accepted a fence of this term.
    """

    def __init__(self, timing: GrantTiming, renews_until_s: Mapping[str, float]) -> None:
        self._timing = timing
        self._last_call_end_s: dict[str, float] = {}
        self._unanswered_at_s: dict[str, float] = {}
        # The ranges on which each incarnation has accepted a fence, both ends inclusive.
        self._accepted: dict[str, list[tuple[int, int]]] = {}
        self._renews_until_s = dict(renews_until_s)

    def record_granter_stopped(self, name: str, now_s: float) -> None:
        """Record that a granter has received this term or has stopped; others may go on."""
        if name in self._renews_until_s:
            self._renews_until_s[name] = min(self._renews_until_s[name], now_s)

    def remaining_s_by_granter(self, now_s: float) -> dict[str, float]:
        """Return for how long each granter of earlier terms that may still renew may do so."""
        return {
            name: until_s - now_s
            for name, until_s in self._renews_until_s.items()
            if until_s > now_s
        }

    def record_accepted(self, incarnation_id: str, first: int, last: int, now_s: float) -> None:
        """Record a grant that the server accepted; it refuses older fences on these keys now."""
        self._last_call_end_s[incarnation_id] = now_s
        if not self._has_accepted(incarnation_id, first, last):
            ranges = self._accepted.get(incarnation_id, [])
            self._accepted[incarnation_id] = _with_range(ranges, first, last)

    def record_unanswered(self, incarnation_id: str, now_s: float) -> None:
        """Record a grant whose call ended without a response; it may still take effect."""
        self._last_call_end_s[incarnation_id] = now_s
        self._unanswered_at_s[incarnation_id] = now_s

    def release_complete_at(
        self, incarnation_id: str, first: int, last: int, now_s: float
    ) -> float:
        """Return when released keys may be granted to another server.

        This is `now_s`, unless a grant may still be under way to the server.
        """
        unanswered_at_s = self._unanswered_at_s.get(incarnation_id)
        free_at_s = (
            now_s
            if unanswered_at_s is None
            else max(now_s, unanswered_at_s + self._timing.max_ttl_s)
        )
        if not self._has_accepted(incarnation_id, first, last):
            # A grant of an earlier granter may still arrive; the server would accept its fence.
            return max(free_at_s, self._earlier_grants_until_s + self._timing.max_ttl_s)
        return free_at_s

    def grants_expired_at(
        self, incarnation_id: str, ranges: Iterable[tuple[int, int]], now_s: float
    ) -> float:
        """Return when all grants of ranges to a server that does not respond have expired."""
        last_call_end_s = self._last_call_end_s.get(incarnation_id, now_s)
        self._last_call_end_s[incarnation_id] = last_call_end_s
        if not all(self._has_accepted(incarnation_id, first, last) for first, last in ranges):
            last_call_end_s = max(last_call_end_s, self._earlier_grants_until_s)
        return last_call_end_s + self._timing.max_ttl_s

    def forget(self, incarnation_id: str) -> None:
        """Discard an incarnation that owns no keys."""
        self._last_call_end_s.pop(incarnation_id, None)
        self._unanswered_at_s.pop(incarnation_id, None)
        self._accepted.pop(incarnation_id, None)

    @property
    def _earlier_grants_until_s(self) -> float:
        return max(self._renews_until_s.values(), default=float("-inf"))

    def _has_accepted(self, incarnation_id: str, first: int, last: int) -> bool:
        return any(a <= first and last <= b for a, b in self._accepted.get(incarnation_id, ()))


def _with_range(ranges: list[tuple[int, int]], first: int, last: int) -> list[tuple[int, int]]:
    """Return disjoint ranges with one added, joined with those that it overlaps or touches."""
    joined = [(a, b) for a, b in ranges if a <= last + 1 and first <= b + 1]
    kept = [key_range for key_range in ranges if key_range not in joined]
    first = min([first, *(a for a, _ in joined)])
    last = max([last, *(b for _, b in joined)])
    return sorted([*kept, (first, last)])

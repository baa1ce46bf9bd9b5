"""Rate limits that backend servers name for all daemons together."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = ["RateLimit", "RateLimits"]

# The age in a report does not count its time on the way, so that what daemons tell each other again
# and again would seem new. A report of what is known counts only if it is newer by more than that.
MAX_REPORT_DELAY_S = 0.1


@dataclass(frozen=True)
class RateLimit:
    """What one incarnation of a server last said of its limit."""

    incarnation_id: str
    # Requests per second from all daemons; None: the server no longer names a limit.
    rate_per_s: float | None
    # When a daemon got the response that says so, in monotonic seconds of this daemon.
    named_s: float


class RateLimits:
    """The limits known to this daemon, by server; those that have ended are kept for their time."""

    def __init__(self) -> None:
        self._by_id: dict[str, RateLimit] = {}

    def rate_per_s(self, backend_id: str, incarnation_id: str) -> float | None:
        """Return the limit of a server incarnation, None if it has none."""
        known = self._by_id.get(backend_id)
        if known is None or known.incarnation_id != incarnation_id:
            return None
        return known.rate_per_s

    def latest(self, backend_id: str) -> RateLimit | None:
        """Return what is known of a server, None if it never named a limit."""
        return self._by_id.get(backend_id)

    @property
    def limited_ids(self) -> set[str]:
        """Return the ids of the servers that have a limit."""
        return {
            backend_id for backend_id, limit in self._by_id.items() if limit.rate_per_s is not None
        }

    def record_named(
        self, backend_id: str, incarnation_id: str, rate_per_s: float, sent_s: float, now_s: float
    ) -> bool:
        """Record a response that names a limit, to a request sent at `sent_s`; whether it changed.

        Responses may overtake each other: a limit that was raised while the request was in flight
        is taken from the next response.
        """
        known = self._by_id.get(backend_id)
        if known is not None and known.incarnation_id == incarnation_id:
            lower = known.rate_per_s is None or rate_per_s <= known.rate_per_s
            if sent_s < known.named_s and not lower:
                return False
        self._by_id[backend_id] = RateLimit(incarnation_id, rate_per_s, now_s)
        return (
            known is None
            or known.incarnation_id != incarnation_id
            or known.rate_per_s != rate_per_s
        )

    def record_ended(
        self, backend_id: str, incarnation_id: str, sent_s: float, now_s: float
    ) -> bool:
        """Record a response without a limit, to a request sent at `sent_s`; whether one ended.

        A response to a request sent before the limit was known may have been written before the
        limit began.
        """
        known = self._by_id.get(backend_id)
        if (
            known is None
            or known.incarnation_id != incarnation_id
            or known.rate_per_s is None
            or sent_s < known.named_s
        ):
            return False
        self._by_id[backend_id] = RateLimit(incarnation_id, None, now_s)
        return True

    def apply_report(self, backend_id: str, limit: RateLimit) -> bool:
        """Apply what another daemon knows of a server; return whether the limit changed."""
        known = self._by_id.get(backend_id)
        if known is None:
            self._by_id[backend_id] = limit
            return limit.rate_per_s is not None
        same = (known.incarnation_id, known.rate_per_s) == (limit.incarnation_id, limit.rate_per_s)
        if limit.named_s <= known.named_s + (MAX_REPORT_DELAY_S if same else 0.0):
            return False
        self._by_id[backend_id] = limit
        return not same

    def retain(self, incarnation_ids: Collection[str]) -> None:
        """Discard what is known of all other incarnations."""
        self._by_id = {
            backend_id: limit
            for backend_id, limit in self._by_id.items()
            if limit.incarnation_id in incarnation_ids
        }

    def forget(self, backend_id: str) -> None:
        """Discard what is known of a server that has restarted."""
        self._by_id.pop(backend_id, None)

"""Which servers are cold: they have started lately and tolerate few requests for some time."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

__all__ = ["MAX_COLD_S", "ColdBound", "ColdServers"]

# A longer time counts as one of this length: an invalid value must not keep requests from a server
# for good.
MAX_COLD_S = 60.0


@dataclass(frozen=True)
class ColdBound:
    """What a service says of its cold servers."""

    # How long a server is cold after a start during traffic.
    start_s: float
    # Requests per second that a cold server tolerates from all daemons together.
    rate_per_s: float


@dataclass(frozen=True)
class _Cold:
    incarnation_id: str
    # End of the cold time, or its beginning if only the service's `start_s` tells its length.
    at_s: float
    is_start: bool = False
    # Whether it is only suspected that the server has restarted.
    suspected: bool = False


class ColdServers:
    """The cold servers known to this daemon, by server; bounded by the caller's `retain`.

    What is recorded takes effect only for servers whose service has a bound, so that entries may
    arrive before the configuration.
    """

    def __init__(self, bound_of: Callable[[str], ColdBound | None], spread_s: float = 0.0) -> None:
        """Take the bound of a server's service, and the time by which each cold time is prolonged.

        The prolongation differs between daemons, so that they do not all turn to a server in the
        moment in which it becomes warm.
        """
        self._bound_of = bound_of
        self._spread_s = spread_s
        self._by_id: dict[str, _Cold] = {}
        # Servers to which a connection failed and that have not responded since.
        self._unreachable_ids: set[str] = set()
        # No cold time that was recorded ends later.
        self._latest_end_s = float("-inf")

    def record_entry(
        self, backend_id: str, incarnation_id: str, cold_s: float | None, is_new: bool, now_s: float
    ) -> None:
        """Record what an entry says; `is_new` if the incarnation was not known, None: nothing."""
        known = self._by_id.get(backend_id)
        if is_new:
            # The failure may have been that of an earlier incarnation.
            self._unreachable_ids.discard(backend_id)
        if known is not None and known.incarnation_id != incarnation_id:
            del self._by_id[backend_id]
            known = None
        if cold_s is None:
            if is_new and known is None:
                self._set(backend_id, _Cold(incarnation_id, now_s, is_start=True))
        elif cold_s > 0.0:
            if known is not None and known.suspected:
                del self._by_id[backend_id]
            self._prolong(backend_id, incarnation_id, now_s + min(cold_s, MAX_COLD_S))
        elif known is not None and (known.is_start or known.at_s > now_s):
            self._by_id[backend_id] = replace(known, at_s=now_s, is_start=False)

    def mark(self, backend_id: str, incarnation_id: str, until_s: float) -> None:
        """Treat a server as cold until a time, or until an entry says that it is warm."""
        self._prolong(backend_id, incarnation_id, until_s)

    def record_named(
        self, backend_id: str, incarnation_id: str, cold_s: float, now_s: float
    ) -> bool:
        """Record a cold time that a response or a daemon names; return whether it was not known."""
        if cold_s <= 0.0 or self._bound_of(backend_id) is None:
            return False
        was_cold = self.is_cold(backend_id, incarnation_id, now_s)
        self._prolong(backend_id, incarnation_id, now_s + min(cold_s, MAX_COLD_S))
        return not was_cold

    def record_unreachable(self, backend_id: str) -> None:
        """Record that a connection could not be opened: the server may restart meanwhile.

        It counts as cold from now on: otherwise each daemon would send it requests until the first
        response.
        """
        if self._bound_of(backend_id) is not None:
            self._unreachable_ids.add(backend_id)

    def record_response(self, backend_id: str, incarnation_id: str, now_s: float) -> bool:
        """Record a response; return whether it makes the server count as restarted."""
        if backend_id not in self._unreachable_ids:
            return False
        self._unreachable_ids.discard(backend_id)
        bound = self._bound_of(backend_id)
        known = self._by_id.get(backend_id)
        if bound is None or (known is not None and self._end_s(known, bound) > now_s):
            return False
        self._set(backend_id, _Cold(incarnation_id, now_s, is_start=True, suspected=True))
        return True

    def is_cold(self, backend_id: str, incarnation_id: str, now_s: float) -> bool:
        """Return whether a server incarnation is cold."""
        return self.remaining_s(backend_id, incarnation_id, now_s) > 0.0

    def remaining_s(self, backend_id: str, incarnation_id: str, now_s: float) -> float:
        """Return how long a server incarnation is still cold, 0.0 if it is warm."""
        known = self._by_id.get(backend_id)
        is_unreachable = backend_id in self._unreachable_ids
        if known is not None and known.incarnation_id != incarnation_id:
            known = None
        if known is None and not is_unreachable:
            return 0.0
        bound = self._bound_of(backend_id)
        if bound is None:
            return 0.0
        remaining_s = bound.start_s if is_unreachable else 0.0
        if known is not None:
            remaining_s = max(remaining_s, self._end_s(known, bound) + self._spread_s - now_s)
        return remaining_s

    def rate_per_s(self, backend_id: str, incarnation_id: str, now_s: float) -> float | None:
        """Return the requests per second that a cold server tolerates, None for a warm one."""
        bound = self._bound_of(backend_id)
        if bound is None or not self.is_cold(backend_id, incarnation_id, now_s):
            return None
        return bound.rate_per_s

    def any_cold(self, now_s: float) -> bool:
        """Return whether any server may be cold."""
        return bool(self._unreachable_ids) or (bool(self._by_id) and now_s < self._latest_end_s)

    def count(self, now_s: float) -> int:
        """Return the number of cold servers."""
        return len(self._unreachable_ids) + sum(
            self.is_cold(backend_id, known.incarnation_id, now_s)
            for backend_id, known in self._by_id.items()
            if backend_id not in self._unreachable_ids
        )

    def remove_warm(self, now_s: float) -> list[str]:
        """Remove the servers that are no longer cold and return their ids."""
        warm_ids = []
        for backend_id, known in list(self._by_id.items()):
            bound = self._bound_of(backend_id)
            # The configuration may still name a bound.
            end_s = known.at_s + MAX_COLD_S if bound is None else self._end_s(known, bound)
            if end_s + self._spread_s <= now_s:
                del self._by_id[backend_id]
                if bound is not None:
                    warm_ids.append(backend_id)
        return warm_ids

    def retain(self, backend_ids: Collection[str]) -> None:
        """Discard what is known of all other servers."""
        self._by_id = {
            backend_id: known
            for backend_id, known in self._by_id.items()
            if backend_id in backend_ids
        }
        self._unreachable_ids.intersection_update(backend_ids)

    def _prolong(self, backend_id: str, incarnation_id: str, until_s: float) -> None:
        """Record the end of a cold time, unless a later one is known."""
        known = self._by_id.get(backend_id)
        bound = self._bound_of(backend_id)
        if known is not None and known.incarnation_id == incarnation_id:
            known_end_s = known.at_s if bound is None else self._end_s(known, bound)
            if known_end_s >= until_s:
                return
        self._set(backend_id, _Cold(incarnation_id, until_s))

    def _set(self, backend_id: str, cold: _Cold) -> None:
        self._by_id[backend_id] = cold
        end_s = cold.at_s + (MAX_COLD_S if cold.is_start else 0.0) + self._spread_s
        self._latest_end_s = max(self._latest_end_s, end_s)

    def _end_s(self, cold: _Cold, bound: ColdBound) -> float:
        return cold.at_s + (min(bound.start_s, MAX_COLD_S) if cold.is_start else 0.0)

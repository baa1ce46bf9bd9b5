"""Passive outlier ejection: judges servers by the results of requests, without health checks."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["OutlierDetector"]

# Consecutive failures after which a server is ejected: it gets no new requests for a while.
FAILURES_TO_EJECT = 3
# The ejection time doubles with each failed trial, up to the usual length of an outage.
BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
# Weight of a new result in the moving average of the failure rate.
SAMPLE_WEIGHT = 0.12


@dataclass
class _ServerResults:
    consecutive_failures: int = 0
    failure_rate: float = 0.0
    ejected_until_s: float = 0.0
    last_failure_s: float = 0.0
    ejection_s: float = 0.0
    unreachable: bool = False


class OutlierDetector:
    """Eject servers that fail and readmit them by single trial requests."""

    def __init__(self) -> None:
        self._results_by_id: dict[str, _ServerResults] = {}

    def admits(self, backend_id: str, in_flight: int, now_s: float) -> bool:
        """Return whether a server may get a request; after an ejection, one trial at a time."""
        results = self._results_by_id.get(backend_id)
        if results is None or results.ejection_s == 0.0:
            return True
        if now_s < results.ejected_until_s:
            return False
        return in_flight == 0

    def is_ejected(self, backend_id: str) -> bool:
        """Return whether a server is ejected, or has not answered a trial request since."""
        results = self._results_by_id.get(backend_id)
        return results is not None and results.ejection_s > 0.0

    def admits_owner(self, backend_id: str, in_flight: int, now_s: float) -> bool:
        """Return whether the owner of a key may get a request.

        Only an unreachable owner is ejected: no other server may execute requests for its keys,
        so failed responses do not count.
        """
        results = self._results_by_id.get(backend_id)
        return (
            results is None or not results.unreachable or self.admits(backend_id, in_flight, now_s)
        )

    def failure_rate(self, backend_id: str) -> float:
        """Return the moving average of failed requests, 0.0 to 1.0."""
        results = self._results_by_id.get(backend_id)
        return results.failure_rate if results else 0.0

    def record_success(self, backend_id: str) -> None:
        """Record a successful request; it ends an ejection."""
        results = self._results_by_id.get(backend_id)
        if results is not None:
            results.consecutive_failures = 0
            results.unreachable = False
            results.ejection_s = 0.0
            results.failure_rate -= SAMPLE_WEIGHT * results.failure_rate

    def record_failure(self, backend_id: str, now_s: float, unreachable: bool = False) -> bool:
        """Record a failed request; return whether it starts an ejection.

        A server that is unreachable is ejected at the first failure.
        """
        results = self._results_by_id.setdefault(backend_id, _ServerResults())
        results.consecutive_failures += 1
        results.last_failure_s = now_s
        results.unreachable = unreachable
        results.failure_rate += SAMPLE_WEIGHT * (1.0 - results.failure_rate)
        if (
            results.consecutive_failures < FAILURES_TO_EJECT
            and not unreachable
            and results.ejection_s == 0.0
        ):
            return False
        if now_s < results.ejected_until_s:
            return False
        results.ejection_s = min(MAX_EJECTION_S, max(BASE_EJECTION_S, results.ejection_s * 2))
        results.ejected_until_s = now_s + results.ejection_s
        return True

    def discard_failures_since(self, since_s: float) -> None:
        """Discard the results of servers that failed since a time at which none was reached."""
        for backend_id, results in list(self._results_by_id.items()):
            if results.last_failure_s >= since_s:
                del self._results_by_id[backend_id]

    def forget(self, backend_id: str) -> None:
        """Discard the results of a server that was removed."""
        self._results_by_id.pop(backend_id, None)

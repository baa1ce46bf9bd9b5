"""Passive outlier ejection: judges servers by the results of requests, without health checks."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["OutlierDetector"]

FAILURES_TO_EJECT = 3
# The ejection time doubles with each failed trial, up to the usual length of an outage.
BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
# Weight of a new result in the moving average of the failure rate.
SAMPLE_WEIGHT = 0.12


@dataclass
class _Record:
    consecutive_failures: int = 0
    failure_rate: float = 0.0
    ejected_until_s: float = 0.0
    ejection_s: float = 0.0
    unreachable: bool = False


class OutlierDetector:
    """Eject servers that fail and readmit them by single trial requests."""

    def __init__(self) -> None:
        self._record_by_id: dict[str, _Record] = {}

    def admits(self, backend_id: str, in_flight: int, now_s: float) -> bool:
        """Return whether a server may get a request; after an ejection, one trial at a time."""
        record = self._record_by_id.get(backend_id)
        if record is None or record.ejection_s == 0.0:
            return True
        if now_s < record.ejected_until_s:
            return False
        return in_flight == 0

    def admits_owner(self, backend_id: str, in_flight: int, now_s: float) -> bool:
        """Return whether the owner of a key may get a request.

        Only an unreachable owner is ejected: no other server may execute requests for its keys,
        so failed responses do not count.
        """
        record = self._record_by_id.get(backend_id)
        return record is None or not record.unreachable or self.admits(backend_id, in_flight, now_s)

    def failure_rate(self, backend_id: str) -> float:
        """Return the moving average of failed requests, 0.0 to 1.0."""
        record = self._record_by_id.get(backend_id)
        return record.failure_rate if record else 0.0

    def record_success(self, backend_id: str) -> None:
        """Record a successful request; it ends an ejection."""
        record = self._record_by_id.get(backend_id)
        if record is not None:
            record.consecutive_failures = 0
            record.unreachable = False
            record.ejection_s = 0.0
            record.failure_rate -= SAMPLE_WEIGHT * record.failure_rate

    def failed(self, backend_id: str, now_s: float, unreachable: bool = False) -> bool:
        """Record a failed request; return whether it starts an ejection.

        A server that is unreachable is ejected at the first failure.
        """
        record = self._record_by_id.setdefault(backend_id, _Record())
        record.consecutive_failures += 1
        record.unreachable = unreachable
        record.failure_rate += SAMPLE_WEIGHT * (1.0 - record.failure_rate)
        if (
            record.consecutive_failures < FAILURES_TO_EJECT
            and not unreachable
            and record.ejection_s == 0.0
        ):
            return False
        if now_s < record.ejected_until_s:
            return False
        record.ejection_s = min(MAX_EJECTION_S, max(BASE_EJECTION_S, record.ejection_s * 2))
        record.ejected_until_s = now_s + record.ejection_s
        return True

    def forget(self, backend_id: str) -> None:
        """Discard the record of a server that was removed."""
        self._record_by_id.pop(backend_id, None)

"""Keep requests away from servers that fail, with a way back; no health checks needed."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["OutlierDetector"]

# Failures in a row after which a server gets no more new requests for a while.
FAILURES_IN_A_ROW = 3
# First and longest pause in seconds; the longest is a usual length of an outage.
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 4.0
# Weight of a new result in the share of failures.
SAMPLE_WEIGHT = 0.12


@dataclass
class _Record:
    in_a_row: int = 0
    share: float = 0.0
    paused_until: float = 0.0
    pause_s: float = 0.0
    unreachable: bool = False


class OutlierDetector:
    """Judge servers by the results of their requests."""

    def __init__(self) -> None:
        self._by_id: dict[str, _Record] = {}

    def admits(self, backend_id: str, outstanding: int, now_s: float) -> bool:
        """Whether a server may get a request; after a pause one trial at a time."""
        record = self._by_id.get(backend_id)
        if record is None or record.pause_s == 0.0:
            return True
        if now_s < record.paused_until:
            return False
        return outstanding == 0

    def admits_owner(self, backend_id: str, outstanding: int, now_s: float) -> bool:
        """Whether a server that cannot be replaced may get a request.

        Failures of its answers do not count: nobody else holds its keys.
        """
        record = self._by_id.get(backend_id)
        return (
            record is None or not record.unreachable or self.admits(backend_id, outstanding, now_s)
        )

    def failure_rate(self, backend_id: str) -> float:
        """Return the share of recent requests that failed, 0 to 1."""
        record = self._by_id.get(backend_id)
        return record.share if record else 0.0

    def record_success(self, backend_id: str) -> None:
        """Take a good result; it ends a pause."""
        record = self._by_id.get(backend_id)
        if record is not None:
            record.in_a_row = 0
            record.unreachable = False
            record.pause_s = 0.0
            record.share -= SAMPLE_WEIGHT * record.share

    def failed(self, backend_id: str, now_s: float, unreachable: bool = False) -> bool:
        """Take a failure; returns whether a pause begins. An unreachable server pauses at once."""
        record = self._by_id.setdefault(backend_id, _Record())
        record.in_a_row += 1
        record.unreachable = unreachable
        record.share += SAMPLE_WEIGHT * (1.0 - record.share)
        if record.in_a_row < FAILURES_IN_A_ROW and not unreachable and record.pause_s == 0.0:
            return False
        if now_s < record.paused_until:
            return False
        record.pause_s = min(LONGEST_PAUSE_S, max(FIRST_PAUSE_S, record.pause_s * 2))
        record.paused_until = now_s + record.pause_s
        return True

    def forget(self, backend_id: str) -> None:
        """Drop what is known of a server that is gone."""
        self._by_id.pop(backend_id, None)

"""How long requests are expected to wait for a permit, from the last denials."""

from __future__ import annotations

__all__ = ["PermitWaits"]


class PermitWaits:
    """Expected waits by server and priority; without a denial there is none."""

    def __init__(self) -> None:
        self._until_s_by_id: dict[str, dict[int, float]] = {}

    def record_denied(self, backend_id: str, priority: int, wait_s: float, now_s: float) -> None:
        """Record that a request was denied a permit and should wait for `wait_s`."""
        self._until_s_by_id.setdefault(backend_id, {})[priority] = now_s + wait_s

    def expected_wait_s(self, backend_id: str, priority: int, now_s: float) -> float:
        """Return the wait of a request; a denial holds for requests that are no more urgent."""
        until_s_by_priority = self._until_s_by_id.get(backend_id)
        if until_s_by_priority is None:
            return 0.0
        waits_s = [
            until_s - now_s
            for denied, until_s in until_s_by_priority.items()
            if denied <= priority and until_s > now_s
        ]
        return max(waits_s, default=0.0)

    def is_waiting(self, backend_id: str, now_s: float) -> bool:
        """Return whether requests of every priority that was denied must wait."""
        until_s_by_priority = self._until_s_by_id.get(backend_id)
        return until_s_by_priority is not None and min(until_s_by_priority.values()) > now_s

    def forget(self, backend_id: str) -> None:
        """Discard the waits of a server whose limit has changed."""
        self._until_s_by_id.pop(backend_id, None)

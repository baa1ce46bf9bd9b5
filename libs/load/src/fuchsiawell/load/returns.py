"""Times at which refused callers come back, spread so that they find a free slot."""

from __future__ import annotations

__all__ = ["ReturnSchedule"]


class ReturnSchedule:
    """Give each refused caller a later time than the one before, at the server's own pace.

    Callers that obey cannot return all at once, so an outage is not followed by a second one.
    """

    def __init__(self, max_s: float) -> None:
        self._max_s = max_s
        self._next_s = 0.0

    def take(self, now_s: float, earliest_s: float, spacing_s: float) -> float:
        """Return seconds from now, at least `earliest_s` unless that exceeds the maximum."""
        first_s = min(earliest_s, self._max_s)
        self._next_s = max(self._next_s, now_s + first_s) + spacing_s
        wait_s = self._next_s - now_s
        if wait_s > self._max_s:
            self._next_s = now_s + first_s  # start another round over the same span
            return self._max_s
        return wait_s

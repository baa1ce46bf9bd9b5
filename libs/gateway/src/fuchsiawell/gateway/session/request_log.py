"""Log decisions on requests, with a rate limit that bounds the volume under load."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.core import Clock, EventLog

__all__ = ["RequestLog"]

# Token bucket: average rate and burst. At about 250 bytes a line the rate is 10 KB/s.
LINES_PER_S = 40.0
BURST_LINES = 200.0


class RequestLog:
    """Write lines while tokens last; the number of dropped lines is logged later."""

    def __init__(self, log: EventLog, clock: Clock) -> None:
        self._log = log
        self._clock = clock
        self._tokens = BURST_LINES
        self._refilled_at_s = clock.monotonic()
        self._dropped = 0

    def write(self, name: str, **fields: object) -> None:
        """Log one decision, or count it as dropped when no token is left."""
        now_s = self._clock.monotonic()
        self._tokens = min(BURST_LINES, self._tokens + (now_s - self._refilled_at_s) * LINES_PER_S)
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            self._dropped += 1
            return
        self._tokens -= 1.0
        if self._dropped:
            self._log.event("request lines left out", count=self._dropped)
            self._dropped = 0
        self._log.event(name, **fields)

"""Record the bodies that attempts send and receive: sizes by route, bytes between zones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.gateway.execute.outcome import (
    MIN_SERVER_ERROR_STATUS,
    NotExecuted,
    Outcome,
    Response,
)

if TYPE_CHECKING:
    from fuchsiawell.gateway.execute.attempt import Attempt
    from fuchsiawell.gateway.session.state import Session

__all__ = ["TrafficRecords"]


class TrafficRecords:
    """Record the traffic of attempts."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def record_sent(self, attempt: Attempt, outcome: Outcome | None) -> None:
        """Count a request's body, unless it was not sent; `outcome` is None after an error."""
        if not (isinstance(outcome, NotExecuted) and outcome.step != "answer"):
            self._count(attempt, attempt.request.body.size_bytes)

    def record_received(self, attempt: Attempt, response: Response) -> None:
        """Record a response that has been received, or passed on as far as it came."""
        head, remainder = response.head, response.remainder
        received = length = len(response.body)
        if remainder is not None:
            received = length = remainder.received_bytes
            if head.content_length is not None:
                length = head.content_length
        self._count(attempt, received)
        if head.status < MIN_SERVER_ERROR_STATUS:
            # The bodies of failures tell nothing of the route's.
            self._session.response_sizes.record(attempt.request.route.name, length)

    def _count(self, attempt: Attempt, size_bytes: int) -> None:
        if attempt.crosses_zones and size_bytes:
            route = attempt.request.route.name
            self._session.metrics.count("cross_zone_bytes", route, size_bytes)

"""Latest times at which a request may start, and times after which a refused one may return."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.gateway.execute.client_request import ClientRequest
    from fuchsiawell.gateway.session.state import Session

__all__ = ["MAX_RETRY_AFTER_S", "RequestTiming"]

# Bounds of the retry-after time of a refused request, before jitter.
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.15, 1.0
# Bound of the retry-after time of a request that the limits or rests of servers do not let through.
MAX_KNOWN_RETRY_AFTER_S = 10.0
# A request is refused when less than this part of its usual service time is left.
MIN_TIME_LEFT_FRACTION = 0.9
# In a stop, a request whose deadline is too late is sent to a server only with this much time left,
# or with this many times its usual service time, whichever is longer.
MIN_STOP_TIME_S, STOP_TIME_FACTOR = 1.0, 4.0


class RequestTiming:
    """Times of requests by the estimated service times of their routes."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def latest_start_s(self, request: ClientRequest, latency_factor: float = 1.0) -> float:
        """Return the latest start time that leaves enough time before the deadline."""
        work_s = latency_factor * self.service_time_s(request)
        end_s = request.deadline_s
        if self._session.requests_end_s is not None:
            end_s = min(end_s, self._session.requests_end_s)
        return end_s - MIN_TIME_LEFT_FRACTION * work_s

    def ends_before_stop(self, request: ClientRequest) -> bool:
        """Return whether a request that starts now ends before a stop of this daemon ends it."""
        requests_end_s = self._session.requests_end_s
        if requests_end_s is None or request.deadline_s <= requests_end_s:
            return True
        time_s = max(MIN_STOP_TIME_S, STOP_TIME_FACTOR * self.service_time_s(request))
        return self._session.now_s + time_s <= requests_end_s

    def latest_on_time_start_s(self, request: ClientRequest, latency_factor: float = 1.0) -> float:
        """Return the latest start time that meets the target latency of the route.

        `latency_factor` is that of the server, above 1.0 if it is slower than usual.
        """
        target_latency_s = request.route.target_latency.total_seconds()
        return request.arrived_s + target_latency_s - latency_factor * self.service_time_s(request)

    def retry_after_s(self, expected_wait_s: float = 0.0) -> float:
        """Return a retry-after time with jitter, so that clients do not all retry together."""
        base_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, expected_wait_s))
        return base_s * self._session.random.uniform(0.8, 1.4)

    def retry_after_wait_s(self, wait_s: float) -> float:
        """Return the retry-after time after a known wait; clients return one after the other."""
        base_s = min(MAX_KNOWN_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return base_s * self._session.random.uniform(1.0, 1.4)

    def service_time_s(self, request: ClientRequest) -> float:
        """Return the usual service time of a request, without queueing."""
        return self._session.latency_estimates.service_time_s(request.route.name)

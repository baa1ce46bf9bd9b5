"""Permits that requests to rate-limited and cold servers need."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.gateway.execute.backend_client import target_of

if TYPE_CHECKING:
    from fuchsiawell.gateway.execute.backend_client import Target
    from fuchsiawell.gateway.execute.client_request import ClientRequest
    from fuchsiawell.gateway.execute.permit_client import PermitClient
    from fuchsiawell.gateway.execute.request_timing import RequestTiming
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.routing import Backend

__all__ = ["PermitAdmission"]

# A request that can no longer be on time waits at most this long for a permit.
LATE_PERMIT_WAIT_S = 0.2


class PermitAdmission:
    """Which servers need permits, how long these take, and how one is acquired."""

    def __init__(self, session: Session, permits: PermitClient, timing: RequestTiming) -> None:
        self._session = session
        self._permits = permits
        self._timing = timing

    def is_required(self, target: Target) -> bool:
        """Return whether a request to a server needs a permit."""
        return self._is_limited(target) or self.is_cold(target)

    def is_cold(self, target: Target) -> bool:
        """Return whether a server is cold."""
        cold_servers, now_s = self._session.cold_servers, self._session.now_s
        return cold_servers.any_cold(now_s) and cold_servers.is_cold(
            target.backend_id, target.incarnation_id, now_s
        )

    def limited(self, backends: list[Backend]) -> set[str]:
        """Return the ids of the servers whose requests need permits."""
        limited_ids = self._session.rate_limits.limited_ids
        return self.cold(backends) | {
            backend.id
            for backend in backends
            if backend.id in limited_ids and self._is_limited(target_of(backend))
        }

    def cold(self, backends: list[Backend]) -> set[str]:
        """Return the ids of the servers that are cold."""
        cold_servers, now_s = self._session.cold_servers, self._session.now_s
        if not cold_servers.any_cold(now_s):
            return set()
        return {
            backend.id
            for backend in backends
            if cold_servers.is_cold(backend.id, backend.incarnation_id, now_s)
        }

    def wait_s(self, backend_id: str, request: ClientRequest) -> float:
        """Return the expected wait for a permit."""
        session = self._session
        return session.permit_waits.expected_wait_s(
            backend_id, request.route.priority, session.now_s
        )

    def max_wait_s(self, request: ClientRequest) -> float:
        """Return how long a permit is worth waiting for."""
        now_s = self._session.now_s
        on_time_s = self._timing.latest_on_time_start_s(request) - now_s
        if on_time_s > 0.0:
            return on_time_s
        return max(0.0, min(LATE_PERMIT_WAIT_S, self._timing.latest_start_s(request) - now_s))

    async def acquire(self, request: ClientRequest, target: Target, has_alternative: bool) -> bool:
        """Get a permit to send one request now; with an alternative without any wait.

        A cold server with a limit of its own needs two, as daemons that do not know that it is cold
        ask only for that of the limit.
        """
        priority = request.route.priority
        if self._is_limited(target):
            max_wait_s = 0.0 if has_alternative else self.max_wait_s(request)
            if await self._permits.acquire(target.backend_id, priority, max_wait_s) > 0.0:
                return False
        if self.is_cold(target):
            max_wait_s = 0.0 if has_alternative else self.max_wait_s(request)
            return await self._permits.acquire_cold(target, priority, max_wait_s) == 0.0
        return True

    def _is_limited(self, target: Target) -> bool:
        limits = self._session.rate_limits
        return limits.rate_per_s(target.backend_id, target.incarnation_id) is not None

"""The granter's view of a service's servers: incarnations, latency factors and service time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.balance import MIN_RATE_PER_S, short_id
from fuchsiawell.gateway.session.cold_entries import cold_permit_rate_per_s
from fuchsiawell.gateway.session.key_counting import slowest_service_time_s
from fuchsiawell.shards import LatencyFactors, Member, Owner

if TYPE_CHECKING:
    from fuchsiawell.gateway.control.owner_health import OwnerHealth
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.routing import Backend

__all__ = ["ServerView"]

# Service time assumed before there is a configuration.
DEFAULT_SERVICE_TIME_S = 0.1
# The first map is made once no server has joined for JOIN_SETTLE_S, or after JOIN_TIMEOUT_S in all.
JOIN_SETTLE_S, JOIN_TIMEOUT_S = 0.9, 4.0
JOIN_CHECK_INTERVAL_S = 0.2


class ServerView:
    """The servers of one service, as the session has them."""

    def __init__(self, service: str, session: Session, health: OwnerHealth) -> None:
        self._service = service
        self._session = session
        self._health = health
        self.latency_factors = LatencyFactors()

    def members(self) -> list[Member]:
        """Return the responsive servers that may own keys, ordered by id."""
        members = [
            Member(_owner(backend), self._capacity(backend), self._max_rate_per_s(backend))
            for backend in self._session.directory.ready_backends(self._service)
            if not self._health.is_unresponsive(_owner(backend))
        ]
        return sorted(members, key=lambda member: member.owner.backend_id)

    async def wait_for_first_members(self) -> list[Member]:
        """Return the members once the servers that start together have joined."""
        started_s = changed_s = self._session.now_s
        count = 0
        while True:
            members = self.members()
            now_s = self._session.now_s
            if len(members) != count:
                count, changed_s = len(members), now_s
            ready = now_s - changed_s >= JOIN_SETTLE_S or now_s - started_s >= JOIN_TIMEOUT_S
            if members and ready:
                return members
            await asyncio.sleep(JOIN_CHECK_INTERVAL_S)

    @staticmethod
    def unbounded(members: list[Member]) -> list[Member]:
        """Return the members without a bound on their rate, all if each has one."""
        return [member for member in members if member.max_rate_per_s is None] or members

    def _max_rate_per_s(self, backend: Backend) -> float | None:
        """Return the rate of keys that a cold server gets permits for."""
        session = self._session
        if not session.cold_servers.is_cold(backend.id, backend.incarnation_id, session.now_s):
            return None
        rate_per_s = cold_permit_rate_per_s(session, backend.id)
        if rate_per_s is None:
            return None
        # Permits count requests, the rates of keys count work.
        mean_weight = session.key_work.mean_weight(self._service)
        return max(MIN_RATE_PER_S, rate_per_s) * mean_weight

    def _capacity(self, backend: Backend) -> float:
        """Return the seconds of service time that a server executes per second."""
        capacity = backend.slots / self.latency_factors.latency_factor(short_id(backend.id))
        rate_per_s = self._session.rate_limits.rate_per_s(
            backend.id, _owner(backend).incarnation_id
        )
        if rate_per_s is None:
            return capacity
        # The limit counts requests, the rates of keys count work.
        mean_work_s = self.service_time_s() * self._session.key_work.mean_weight(self._service)
        return min(capacity, max(MIN_RATE_PER_S, rate_per_s) * mean_work_s)

    def has_restarted(self, owner: Owner) -> bool:
        """Return whether a later incarnation of the server has started."""
        return self.latest_incarnation(owner) != owner

    def latest_incarnation(self, owner: Owner) -> Owner:
        """Return the latest incarnation of the server.

        It owns none of the earlier one's keys, but a grant meant for that one may have reached it:
        only its response to a release proves that it does not own the range.
        """
        backend = self._session.directory.by_id.get(owner.backend_id)
        if backend is None or backend.incarnation <= owner.incarnation:
            return owner
        return _owner(backend)

    def service_time_s(self) -> float:
        """Return the usual service time of the slowest route to the service."""
        service_time_s = slowest_service_time_s(self._session, self._service)
        return DEFAULT_SERVICE_TIME_S if service_time_s is None else service_time_s


def _owner(backend: Backend) -> Owner:
    return Owner(backend.id, backend.incarnation, backend.host, backend.port)

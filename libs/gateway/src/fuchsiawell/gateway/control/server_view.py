"""What the granter knows of a service's servers: their latest lives, their paces, their work."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.balance import short_id
from fuchsiawell.shards import LatencyFactors, Member, Owner

if TYPE_CHECKING:
    from fuchsiawell.gateway.control.owner_health import OwnerHealth
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.routing import Backend

__all__ = ["ServerView"]

# Work time assumed before a configuration is known, in seconds.
FIRST_WORK_S = 0.1


class ServerView:
    """Read the servers of one service from the session."""

    def __init__(self, service: str, session: Session, health: OwnerHealth) -> None:
        self._service = service
        self._session = session
        self._health = health
        self.paces = LatencyFactors()

    def members(self) -> list[Member]:
        """Return the servers that may be given keys."""
        members = [
            Member(_owner(backend), backend.slots / self.paces.slowness(short_id(backend.id)))
            for backend in self._session.directory.usable(self._service)
            if not self._health.down(_owner(backend))
        ]
        return sorted(members, key=lambda member: member.owner.backend_id)

    def replaced(self, owner: Owner) -> bool:
        """Whether the server has begun a later life."""
        return self.current_life(owner) != owner

    def current_life(self, owner: Owner) -> Owner:
        """Return the server's latest life.

        It holds nothing of the earlier one's, but a grant meant for that one may have reached it:
        only its answer to a release proves that it does not hold the keys.
        """
        backend = self._session.directory.by_id.get(owner.backend_id)
        if backend is None or backend.born <= owner.born:
            return owner
        return _owner(backend)

    def work_s(self) -> float:
        """Return the usual work time of the service's longest route, in seconds."""
        configuration = self._session.configuration
        if configuration is None:
            return FIRST_WORK_S
        times = [
            self._session.estimates.work_s(route.name)
            for route in configuration.routes
            if any(part.service == self._service for part in route.traffic_split)
        ]
        return max(times, default=FIRST_WORK_S)


def _owner(backend: Backend) -> Owner:
    return Owner(backend.id, backend.born, backend.host, backend.port)

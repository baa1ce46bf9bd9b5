"""Whether this daemon may send work of a shard to its backend server right now."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from fuchsiawell.core import NotRunReason
from fuchsiawell.ownership import Fence, InFlight, ShardState, Ticket

if TYPE_CHECKING:
    from fuchsiawell.core import DaemonId, ShardId
    from fuchsiawell.daemon.cell_state import CellState

__all__ = ["AssignedAuthority", "Authority"]


class Authority(ABC):
    """Decide at the last moment before the first byte is sent, and count what is in flight."""

    @abstractmethod
    def permit(self, shard: ShardId) -> Fence | NotRunReason:
        """Return the fence to send with at this instant, or why nothing may be sent."""

    @abstractmethod
    def enter(self, shard: ShardId, fence: Fence) -> Ticket:
        """Count a request in, at the instant of its fence."""

    @abstractmethod
    def leave(self, ticket: Ticket, may_run_until_s: float | None = None) -> None:
        """Count a request out; with a monotonic time if it may still run up to then."""


class AssignedAuthority(Authority):
    """Trust the assignment record as it was read; for tests of the data path alone."""

    def __init__(self, daemon: DaemonId, state: CellState) -> None:
        self._daemon = daemon
        self._state = state
        self._in_flight = InFlight()

    def permit(self, shard: ShardId) -> Fence | NotRunReason:
        """Allow whatever the record assigns to this daemon."""
        assignment = self._state.assignment
        record = assignment.shards_by_id.get(shard) if assignment is not None else None
        if assignment is None or record is None or record.owner is None:
            return NotRunReason.NO_OWNER
        if record.state is ShardState.MOVING:
            return NotRunReason.MOVING
        server = assignment.servers_by_id[record.owner]
        if server.leader != self._daemon:
            return NotRunReason.NO_LEADER
        return Fence(server.id, server.address, server.term, record.epoch)

    def enter(self, shard: ShardId, fence: Fence) -> Ticket:
        """Count a request in."""
        revision = self._state.assignment.revision if self._state.assignment else 0
        return self._in_flight.enter(shard, revision)

    def leave(self, ticket: Ticket, may_run_until_s: float | None = None) -> None:
        """Count a request out."""
        self._in_flight.leave(ticket, may_run_until_s)

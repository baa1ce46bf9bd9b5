"""Whether this daemon may send work of a shard to its backend server right now."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.core import NotRunReason
from fuchsiawell.ownership import ShardState

if TYPE_CHECKING:
    from fuchsiawell.core import DaemonId, ShardId
    from fuchsiawell.daemon.cell_state import CellState

__all__ = ["AssignedAuthority", "Authority", "Permit"]


@dataclass(frozen=True, slots=True)
class Permit:
    """Allow one request now; the fence travels with it to the backend server."""

    term: int
    epoch: int


class Authority(ABC):
    """Decide at the last moment before the first byte is sent."""

    @abstractmethod
    def permit(self, shard: ShardId) -> Permit | NotRunReason:
        """Return the fence to send with, or why nothing may be sent."""


class AssignedAuthority(Authority):
    """Trust the assignment record as it was read; for tests of the data path alone."""

    def __init__(self, daemon: DaemonId, state: CellState) -> None:
        self._daemon = daemon
        self._state = state

    def permit(self, shard: ShardId) -> Permit | NotRunReason:
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
        return Permit(server.term, record.epoch)

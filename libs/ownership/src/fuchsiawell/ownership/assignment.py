"""The record of a cell: who owns each shard and which daemon leads each backend server."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum, unique
from typing import TYPE_CHECKING

from fuchsiawell.core import CellName, DaemonId, ServerId, ServiceName, ShardId, shard_of

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = [
    "FIRST_PIN_INDEX",
    "Assignment",
    "Route",
    "ServerRecord",
    "ServerState",
    "ShardRecord",
    "ShardState",
    "assignment_key",
]

FIRST_PIN_INDEX = 1_000_000  # shards from here on hold one pinned key each


@unique
class ShardState(StrEnum):
    """Say where a shard stands between two owners."""

    ASSIGNED = "assigned"  # `owner` owns it under `epoch`
    MOVING = "moving"  # `owner` must release it, or be fenced off, before `moving_to` gets it
    UNASSIGNED = "unassigned"  # nobody owns it, and no grant of an earlier epoch is in force


@unique
class ServerState(StrEnum):
    """Say what may be sent to a backend server."""

    ACTIVE = "active"
    JOINING = "joining"  # serves, and gets its shards a few at a time until it has its share
    DRAINING = "draining"  # finishes what it has, gets no new shard, its shards move away
    LOST = "lost"  # its grants are proved lapsed or fenced off


@dataclass(frozen=True, slots=True)
class ShardRecord:
    """Hold one shard's owner; epochs only go up."""

    owner: ServerId | None
    epoch: int
    state: ShardState
    moving_to: ServerId | None = None


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """Hold one backend server's leader; terms only go up."""

    id: ServerId
    service: ServiceName
    address: str  # IP number and port
    zone: str
    leader: DaemonId | None
    term: int
    state: ServerState
    checks_fence: bool  # refuses work whose term or epoch is lower than granted
    successor: DaemonId | None = None  # set: `leader` must stop sending, then this daemon leads


@dataclass(frozen=True, slots=True)
class Route:
    """Say where a key's requests go: its shard, owner and leader with their fences."""

    shard: ShardId
    record: ShardRecord
    server: ServerRecord | None  # None: the shard has no owner


@dataclass(frozen=True)
class Assignment:
    """Hold all decisions of a cell's controller; one value in the store.

    A change is made only once the store has confirmed the write of the whole record. `revision`
    is the store's and not part of the value. A member leads its servers only in the incarnation
    that the record names: one that lapsed or started again needs new terms first.
    """

    cell: CellName
    controller: DaemonId | None
    controller_term: int
    members: tuple[DaemonId, ...]  # daemons whose majority declares another lost, sorted
    shard_count_by_service: dict[ServiceName, int] = field(default_factory=dict)
    servers_by_id: dict[ServerId, ServerRecord] = field(default_factory=dict)
    shards_by_id: dict[ShardId, ShardRecord] = field(default_factory=dict)
    pins_by_key: dict[tuple[ServiceName, str], ShardId] = field(default_factory=dict)
    incarnations_by_member: dict[DaemonId, int] = field(default_factory=dict)
    members_version: int = 1  # goes up by one with each change of `members`
    revision: int = 0

    def shard_for(self, service: ServiceName, key: str) -> ShardId | None:
        """Return the key's shard, its own if it is pinned; `None` for an unknown service."""
        pin = self.pins_by_key.get((service, key))
        if pin is not None:
            return pin
        return self.hash_shard_for(service, key)

    def hash_shard_for(self, service: ServiceName, key: str) -> ShardId | None:
        """Return the key's shard as if it were not pinned; `None` for an unknown service."""
        count = self.shard_count_by_service.get(service)
        return None if count is None else shard_of(service, key, count)

    def route(self, service: ServiceName, key: str) -> Route | None:
        """Return the way to the key's owner; `None` for an unknown service."""
        shard = self.shard_for(service, key)
        if shard is None:
            return None
        record = self.shards_by_id.get(shard)
        if record is None:
            return Route(shard, ShardRecord(None, 0, ShardState.UNASSIGNED), None)
        server = None if record.owner is None else self.servers_by_id.get(record.owner)
        return Route(shard, record, server)

    def led_by(self, daemon: DaemonId) -> Iterator[ServerRecord]:
        """Yield the servers that `daemon` leads."""
        return (server for server in self.servers_by_id.values() if server.leader == daemon)

    def shards_of(self, server: ServerId) -> Iterator[tuple[ShardId, ShardRecord]]:
        """Yield the shards that `server` owns, those it is to release included."""
        return ((id, shard) for id, shard in self.shards_by_id.items() if shard.owner == server)


def assignment_key(cell: CellName) -> str:
    """Return the store's key of the cell's assignment record."""
    return f"cells/{cell}/assignment"

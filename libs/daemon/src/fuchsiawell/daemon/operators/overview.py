"""An assignment record counted for operators: owners, leaders, terms."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.ownership import ShardState

if TYPE_CHECKING:
    from fuchsiawell.ownership import Assignment

__all__ = ["Overview", "ServerRow", "ServiceRow", "overview"]


@dataclass(frozen=True, slots=True)
class ServerRow:
    """Hold one backend server: who leads it under which term, and how much it owns."""

    id: str
    service: str
    zone: str
    state: str
    leader: str | None
    term: int
    checks_fence: bool
    shards: int  # that it owns, those it is to release included
    releasing: int  # of these, the ones that are to move away


@dataclass(frozen=True, slots=True)
class ServiceRow:
    """Hold one service's shards by state."""

    name: str
    shards: int
    moving: int
    unassigned: int  # refused as not run until a server takes them
    pinned_keys: int


@dataclass(frozen=True, slots=True)
class Overview:
    """Hold what the record of a cell says, without its shards one by one."""

    cell: str
    revision: int
    controller: str | None
    controller_term: int
    members: list[str]
    servers: list[ServerRow]
    services: list[ServiceRow]


def overview(assignment: Assignment) -> Overview:
    """Count the shards of each server and service; rows are in order of name."""
    shards = assignment.shards_by_id.values()
    owned = Counter(shard.owner for shard in shards)
    releasing = Counter(shard.owner for shard in shards if shard.state is ShardState.MOVING)
    servers = [
        ServerRow(
            id=id,
            service=server.service,
            zone=server.zone,
            state=server.state.value,
            leader=server.leader,
            term=server.term,
            checks_fence=server.checks_fence,
            shards=owned[id],
            releasing=releasing[id],
        )
        for id, server in sorted(assignment.servers_by_id.items())
    ]
    return Overview(
        cell=assignment.cell,
        revision=assignment.revision,
        controller=assignment.controller,
        controller_term=assignment.controller_term,
        members=list(assignment.members),
        servers=servers,
        services=_services(assignment),
    )


def _services(assignment: Assignment) -> list[ServiceRow]:
    counts = Counter((id.service, shard.state) for id, shard in assignment.shards_by_id.items())
    pins = Counter(service for service, _ in assignment.pins_by_key)
    return [
        ServiceRow(
            name=name,
            shards=sum(counts[name, state] for state in ShardState),
            moving=counts[name, ShardState.MOVING],
            unassigned=counts[name, ShardState.UNASSIGNED],
            pinned_keys=pins[name],
        )
        for name in sorted(assignment.shard_count_by_service)
    ]

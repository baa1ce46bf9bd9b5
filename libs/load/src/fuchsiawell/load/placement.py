"""Find owners for shards that have none, or whose owner is leaving."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.load.service_view import ServiceView, Unit
from fuchsiawell.ownership.assignment import ServerState, ShardState
from fuchsiawell.ownership.evidence import MoveShard

if TYPE_CHECKING:
    from fuchsiawell.core import ServiceName, ShardId
    from fuchsiawell.load.cell_load import CellLoad
    from fuchsiawell.ownership.assignment import Assignment, ShardRecord

__all__ = ["evacuate"]


def evacuate(load: CellLoad, assignment: Assignment) -> list[MoveShard]:
    """Return a move to the idlest active server for each shard that needs one, busiest first.

    One batch, whatever was lost: a server, a zone. It spends no budget, as these shards are out
    of service or about to be.
    """
    moves: list[MoveShard] = []
    for service in assignment.shard_count_by_service:
        view = ServiceView(service, assignment, load)
        if not view.busy_by_server:
            continue
        homeless = _homeless(service, load, assignment)
        # Shards without any known load are spread evenly too.
        least = view.mean_load() / max(1, assignment.shard_count_by_service[service])
        for busy, shard in sorted(homeless, key=lambda item: (-item[0], item[1])):
            target = view.idlest_first()[0]
            view.apply(Unit(shard, None, max(busy, least)), None, target)
            moves.append(MoveShard(shard, target))
    return moves


def _homeless(
    service: ServiceName, load: CellLoad, assignment: Assignment
) -> list[tuple[float, ShardId]]:
    return [
        (load.busy_by_shard.get(id, 0.0), id)
        for id, record in assignment.shards_by_id.items()
        if id.service == service and _needs_owner(record, assignment)
    ]


def _needs_owner(record: ShardRecord, assignment: Assignment) -> bool:
    if record.state is ShardState.MOVING:
        return False
    owner = None if record.owner is None else assignment.servers_by_id.get(record.owner)
    return owner is None or owner.state in (ServerState.DRAINING, ServerState.LOST)

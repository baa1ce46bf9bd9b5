"""Decide which server owns each shard."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from fuchsiawell.core import ShardId
from fuchsiawell.ownership.assignment import (
    FIRST_PIN_INDEX,
    ServerState,
    ShardRecord,
    ShardState,
)
from fuchsiawell.ownership.evidence import MoveShard, PinKey, Released, ServerReached, UnpinKey

if TYPE_CHECKING:
    from fuchsiawell.core import ServerId, ServiceName
    from fuchsiawell.ownership.draft import Draft
    from fuchsiawell.ownership.evidence import CellSettings, Fact, Request

__all__ = [
    "add_shards",
    "drain_servers",
    "fill_joining_servers",
    "finish_moves",
    "grant_requests",
    "place_shards",
]

JOINED_SHARE = 0.75  # of the mean number of shards; a joining server with so many has joined
JOIN_STEPS = 8  # batches in which a joining server gets its share


def add_shards(draft: Draft, settings: CellSettings) -> None:
    """Add the shards of services that are new; a service's shard count never changes."""
    for service, count in settings.shard_count_by_service.items():
        if service in draft.shard_count_by_service:
            continue
        draft.shard_count_by_service[service] = count
        for index in range(count):
            draft.shards_by_id[ShardId(service, index)] = ShardRecord(
                None, 0, ShardState.UNASSIGNED
            )


def finish_moves(draft: Draft, facts: frozenset[Fact]) -> None:
    """Assign the shards that their owners have released."""
    for id, shard in sorted(draft.shards_by_id.items()):
        if shard.state is not ShardState.MOVING or Released(id, shard.epoch) not in facts:
            continue
        target = shard.moving_to if draft.is_usable(shard.moving_to) else _least(draft, id.service)
        if target is not None:
            draft.assign(id, target)


def place_shards(draft: Draft) -> None:
    """Assign, in one go, every shard that has no owner or whose owner is proved lost."""
    for service in sorted(draft.shard_count_by_service):
        _place_service(draft, service)


def drain_servers(draft: Draft) -> None:
    """Move the shards of leaving servers away, and moves towards such servers elsewhere."""
    for id, shard in sorted(draft.shards_by_id.items()):
        if shard.owner is None:
            continue
        owner = draft.servers_by_id.get(shard.owner)
        leaving = owner is not None and owner.state is ServerState.DRAINING
        if shard.state is ShardState.ASSIGNED and not leaving:
            continue
        if shard.state is ShardState.MOVING and draft.is_usable(shard.moving_to):
            continue
        target = _least(draft, id.service, besides=shard.owner)
        if target is not None:
            draft.move(id, target)


def grant_requests(draft: Draft, requests: tuple[Request, ...]) -> None:
    """Begin what the balancer or an operator asked for; requests no longer valid are ignored."""
    for request in requests:
        match request:
            case MoveShard(shard, to):
                _begin_move(draft, shard, to)
            case PinKey(service, key, to):
                _pin(draft, service, key, to)
            case UnpinKey(service, key):
                _unpin(draft, service, key)


def fill_joining_servers(draft: Draft, facts: frozenset[Fact]) -> None:
    """Move the next few shards to each joining server that was reached, from the fullest ones."""
    for server in sorted(draft.servers_by_id.values(), key=lambda s: s.id):
        reached = ServerReached(server.id, server.term) in facts
        if reached and server.state is ServerState.JOINING and draft.is_usable(server.id):
            _fill(draft, server.id, server.service)


def _place_service(draft: Draft, service: ServiceName) -> None:
    counts = draft.shard_counts(service)
    usable = draft.usable_servers(service)
    for id, shard in sorted(draft.shards_by_id.items()):
        if id.service != service or not _is_free(draft, shard):
            continue
        if draft.is_usable(shard.moving_to) and shard.moving_to is not None:
            draft.assign(id, shard.moving_to)
        elif usable:
            target = min(usable, key=lambda server: (counts[server], server))
            counts[target] += 1
            draft.assign(id, target)
        else:
            draft.shards_by_id[id] = ShardRecord(None, shard.epoch, ShardState.UNASSIGNED)


def _is_free(draft: Draft, shard: ShardRecord) -> bool:
    if shard.owner is None:
        return True
    owner = draft.servers_by_id.get(shard.owner)
    return owner is None or owner.state is ServerState.LOST


def _least(draft: Draft, service: ServiceName, besides: ServerId | None = None) -> ServerId | None:
    counts = draft.shard_counts(service)
    usable = [server for server in draft.usable_servers(service) if server != besides]
    return min(usable, key=lambda server: (counts[server], server), default=None)


def _begin_move(draft: Draft, shard: ShardId, to: ServerId) -> None:
    record = draft.shards_by_id.get(shard)
    if record is None or record.state is not ShardState.ASSIGNED or record.owner == to:
        return
    if draft.is_usable(to) and draft.servers_by_id[to].service == shard.service:
        draft.move(shard, to)
        draft.rebalanced = True


def _pin(draft: Draft, service: ServiceName, key: str, to: ServerId) -> None:
    """Give the key a shard of its own at its present owner, and move that one."""
    if (service, key) in draft.pins_by_key:
        _begin_move(draft, draft.pins_by_key[service, key], to)
        return
    parent = draft.hash_shard(service, key)
    record = None if parent is None else draft.shards_by_id[parent]
    if record is None or record.state is not ShardState.ASSIGNED:
        return
    pinned = ShardId(service, _free_pin_index(draft, service))
    draft.pins_by_key[service, key] = pinned
    draft.shards_by_id[pinned] = replace(record, epoch=max(record.epoch, draft.fresh_number))
    _begin_move(draft, pinned, to)


def _unpin(draft: Draft, service: ServiceName, key: str) -> None:
    """Bring the pinned key to the owner of its shard, then drop the pin."""
    pinned = draft.pins_by_key.get((service, key))
    parent = draft.hash_shard(service, key)
    if pinned is None or parent is None:
        return
    ours, theirs = draft.shards_by_id[pinned], draft.shards_by_id[parent]
    if ShardState.ASSIGNED not in (ours.state, theirs.state) or ours.state is not theirs.state:
        return
    if ours.owner == theirs.owner:
        del draft.pins_by_key[service, key]
        del draft.shards_by_id[pinned]
    elif theirs.owner is not None:
        _begin_move(draft, pinned, theirs.owner)


def _free_pin_index(draft: Draft, service: ServiceName) -> int:
    used = {shard.index for shard in draft.shards_by_id if shard.service == service}
    index = FIRST_PIN_INDEX
    while index in used:
        index += 1
    return index


def _fill(draft: Draft, server: ServerId, service: ServiceName) -> None:
    counts = draft.shard_counts(service)
    owners = {*draft.usable_servers(service), server}
    mean = sum(counts[owner] for owner in owners) / len(owners)
    if counts[server] >= JOINED_SHARE * mean:
        draft.set_state(server, ServerState.ACTIVE)
        return
    for _ in range(max(1, int(mean / JOIN_STEPS))):
        donor = max(owners, key=lambda owner: (counts[owner], owner))
        shard = _movable(draft, donor, service)
        if shard is None or counts[donor] <= counts[server] + 1:
            draft.set_state(server, ServerState.ACTIVE)
            return
        draft.move(shard, server)
        draft.rebalanced = True
        counts[donor] -= 1
        counts[server] += 1


def _movable(draft: Draft, owner: ServerId, service: ServiceName) -> ShardId | None:
    return next(
        (
            id
            for id, shard in sorted(draft.shards_by_id.items())
            if id.service == service
            and id.index < FIRST_PIN_INDEX
            and shard.owner == owner
            and shard.state is ShardState.ASSIGNED
        ),
        None,
    )

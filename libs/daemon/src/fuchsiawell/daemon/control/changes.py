"""What a new assignment record changed, for the log."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from fuchsiawell.ownership import ShardState

if TYPE_CHECKING:
    from fuchsiawell.core import EventLog
    from fuchsiawell.ownership import Assignment, ServerRecord

__all__ = ["log_changes"]


def log_changes(log: EventLog, before: Assignment | None, after: Assignment) -> None:
    """Log each server that changed, and the shards that did by their new owner."""
    servers = {} if before is None else before.servers_by_id
    for id, server in after.servers_by_id.items():
        if servers.get(id) != server:
            _log_server(log, after.revision, server)
    for id in servers.keys() - after.servers_by_id.keys():
        log.event("server removed", server=id, revision=after.revision)
    if before is None or before.members != after.members:
        log.event("members", members=after.members, revision=after.revision)
    if before is None or before.controller != after.controller:
        log.event("controller", daemon=after.controller, revision=after.revision)
    for owner, count in _moved(before, after).items():
        log.event("shards assigned", server=owner, count=count, revision=after.revision)


def _log_server(log: EventLog, revision: int, server: ServerRecord) -> None:
    log.event(
        "server assigned",
        server=server.id,
        leader=server.leader,
        term=server.term,
        state=server.state.value,
        successor=server.successor,
        revision=revision,
    )


def _moved(before: Assignment | None, after: Assignment) -> Counter[str]:
    counts: Counter[str] = Counter()
    for id, shard in after.shards_by_id.items():
        known = None if before is None else before.shards_by_id.get(id)
        if shard.state is ShardState.ASSIGNED and (known is None or known.epoch != shard.epoch):
            counts[str(shard.owner)] += 1
    return counts

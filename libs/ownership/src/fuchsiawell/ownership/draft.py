"""A changeable copy of the assignment record, in which one decision is put together."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from fuchsiawell.core import shard_of
from fuchsiawell.ownership.assignment import (
    Assignment,
    ServerRecord,
    ServerState,
    ShardRecord,
    ShardState,
)

if TYPE_CHECKING:
    from fuchsiawell.core import DaemonId, ServerId, ServiceName, ShardId

__all__ = ["Draft"]


class Draft:
    """Change a record step by step; terms and epochs go up by construction."""

    def __init__(self, assignment: Assignment) -> None:
        self._original = assignment
        self.controller = assignment.controller
        self.controller_term = assignment.controller_term
        self.members = assignment.members
        self.members_version = assignment.members_version
        self.incarnations_by_member = dict(assignment.incarnations_by_member)
        self.shard_count_by_service = dict(assignment.shard_count_by_service)
        self.servers_by_id = dict(assignment.servers_by_id)
        self.shards_by_id = dict(assignment.shards_by_id)
        self.pins_by_key = dict(assignment.pins_by_key)
        self.zones_by_daemon: dict[DaemonId, str] = {}
        self.rebalanced = False  # whether a change was made that no loss forced

    @property
    def fresh_number(self) -> int:
        """Return a term or epoch above every earlier one of a server or shard since removed.

        Each write raises a term or epoch by one at most, so none exceeds the record's revision.
        """
        return self._original.revision + 1

    def finish(self) -> Assignment | None:
        """Return the changed record, or `None` where nothing changed."""
        changed = replace(
            self._original,
            controller=self.controller,
            controller_term=self.controller_term,
            members=self.members,
            members_version=self.members_version,
            incarnations_by_member=self.incarnations_by_member,
            shard_count_by_service=self.shard_count_by_service,
            servers_by_id=self.servers_by_id,
            shards_by_id=self.shards_by_id,
            pins_by_key=self.pins_by_key,
        )
        return None if changed == self._original else changed

    def lead(self, server: ServerRecord, leader: DaemonId | None) -> None:
        """Give the server a leader under the next term, once in this draft."""
        term = self._original.servers_by_id.get(server.id, server).term + 1
        self.servers_by_id[server.id] = replace(
            self.servers_by_id[server.id], leader=leader, term=term, successor=None
        )

    def set_state(self, server: ServerId, state: ServerState) -> None:
        """Change what may be sent to the server."""
        self.servers_by_id[server] = replace(self.servers_by_id[server], state=state)

    def assign(self, shard: ShardId, owner: ServerId) -> None:
        """Give a shard that nobody can run any more to `owner`, under the next epoch."""
        epoch = self.shards_by_id[shard].epoch + 1
        self.shards_by_id[shard] = ShardRecord(owner, epoch, ShardState.ASSIGNED)

    def move(self, shard: ShardId, to: ServerId) -> None:
        """Ask the present owner to release the shard for `to`."""
        self.shards_by_id[shard] = replace(
            self.shards_by_id[shard], state=ShardState.MOVING, moving_to=to
        )

    def hash_shard(self, service: ServiceName, key: str) -> ShardId | None:
        """Return the shard of the key when it is not pinned; `None` for an unknown service."""
        count = self.shard_count_by_service.get(service)
        return None if count is None else shard_of(service, key, count)

    def is_usable(self, server: ServerId | None) -> bool:
        """Tell whether shards may be given to the server."""
        record = None if server is None else self.servers_by_id.get(server)
        return (
            record is not None
            and record.leader is not None
            and record.state in (ServerState.ACTIVE, ServerState.JOINING)
        )

    def usable_servers(self, service: ServiceName) -> list[ServerId]:
        """Return the servers that may take any number of shards, joining ones only if alone."""
        usable = [s for s in self.servers_by_id.values() if self.is_usable(s.id)]
        of_service = [s for s in usable if s.service == service]
        active = [s.id for s in of_service if s.state is ServerState.ACTIVE]
        return sorted(active or [s.id for s in of_service])

    def shard_counts(self, service: ServiceName) -> Counter[ServerId]:
        """Return how many shards each server has, or will have once its moves are made."""
        counts: Counter[ServerId] = Counter()
        for id, shard in self.shards_by_id.items():
            server = shard.moving_to or shard.owner
            if id.service == service and server is not None:
                counts[server] += 1
        return counts

    def led_counts(self) -> Counter[DaemonId]:
        """Return how many servers each daemon leads, or will lead after hand-over."""
        counts: Counter[DaemonId] = Counter()
        for server in self.servers_by_id.values():
            leader = server.successor or server.leader
            if leader is not None:
                counts[leader] += 1
        return counts

"""Decide the state of each backend server from the host list and the leaders' facts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.core import ServerId, ServiceName
from fuchsiawell.ownership.assignment import ServerRecord, ServerState
from fuchsiawell.ownership.evidence import ServerDraining, ServerLost, ServerReturned
from fuchsiawell.platform import ENTRY_ROLE, Host, HostState

if TYPE_CHECKING:
    from fuchsiawell.ownership.draft import Draft
    from fuchsiawell.ownership.evidence import CellSettings, Evidence, Fact

__all__ = ["list_servers", "mark_servers"]


def list_servers(
    draft: Draft, evidence: Evidence, settings: CellSettings, facts: frozenset[Fact] = frozenset()
) -> None:
    """Follow the platform's host list, which lags: it may add and drain, never declare lost."""
    first_time = not draft.servers_by_id
    for host in evidence.hosts:
        if host.role == ENTRY_ROLE or ServiceName(host.role) not in settings.shard_count_by_service:
            continue
        known = draft.servers_by_id.get(ServerId(host.id))
        if known is None and host.state is HostState.LIVE:
            state = ServerState.ACTIVE if first_time else ServerState.JOINING
            _add(draft, host, state, settings)
        elif known is not None:
            _follow(draft, known, host, facts)
    listed = {host.id for host in evidence.hosts}
    for server in list(draft.servers_by_id.values()):
        if evidence.hosts and server.id not in listed and _is_done(draft, server):
            del draft.servers_by_id[server.id]


def mark_servers(draft: Draft, facts: frozenset[Fact]) -> None:
    """Follow what the leaders of the present terms found in their own exchanges."""
    for server in list(draft.servers_by_id.values()):
        id, term = server.id, server.term
        if ServerLost(id, term) in facts and server.state is not ServerState.LOST:
            draft.set_state(id, ServerState.LOST)
        elif ServerReturned(id, term) in facts and server.state is ServerState.LOST:
            draft.set_state(id, ServerState.JOINING)
            draft.lead(server, server.leader)
        elif ServerDraining(id, term) in facts and server.state is not ServerState.LOST:
            draft.set_state(id, ServerState.DRAINING)


def _add(draft: Draft, host: Host, state: ServerState, settings: CellSettings) -> None:
    service = ServiceName(host.role)
    draft.servers_by_id[ServerId(host.id)] = ServerRecord(
        id=ServerId(host.id),
        service=service,
        address=host.address,
        zone=host.zone,
        leader=None,
        term=draft.fresh_number - 1,  # its first leader gets the next one
        state=state,
        checks_fence=settings.checks_fence_by_service.get(service, False),
    )


def _follow(draft: Draft, known: ServerRecord, host: Host, facts: frozenset[Fact]) -> None:
    if host.state is HostState.LEAVING and known.state is not ServerState.LOST:
        draft.set_state(known.id, ServerState.DRAINING)
        return
    says_so_itself = ServerDraining(known.id, known.term) in facts
    if known.state is ServerState.DRAINING and _is_done(draft, known) and not says_so_itself:
        draft.set_state(known.id, ServerState.JOINING)


def _is_done(draft: Draft, server: ServerRecord) -> bool:
    """Tell whether the server was given up and has nothing left."""
    gone = server.state in (ServerState.LOST, ServerState.DRAINING)
    return gone and not any(shard.owner == server.id for shard in draft.shards_by_id.values())

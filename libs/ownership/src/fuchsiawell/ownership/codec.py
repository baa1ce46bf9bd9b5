"""The assignment record as bytes, for the store and for daemons."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import msgpack

from fuchsiawell.core import CellName, DaemonId, FuchsiawellError, ServerId, ServiceName, ShardId
from fuchsiawell.ownership.assignment import (
    Assignment,
    ServerRecord,
    ServerState,
    ShardRecord,
    ShardState,
)

__all__ = ["FORMAT", "AssignmentFormatError", "decode_assignment", "encode_assignment"]

FORMAT = 1  # raised when the layout changes; a reader refuses what it does not know


class AssignmentFormatError(FuchsiawellError):
    """Report bytes that are not an assignment record of a known format."""


def encode_assignment(assignment: Assignment) -> bytes:
    """Return the record as msgpack, without its revision; equal records give equal bytes."""
    servers = [_server_fields(server) for _, server in sorted(assignment.servers_by_id.items())]
    shards = [
        [id.service, id.index, shard.owner, shard.epoch, shard.state.value, shard.moving_to]
        for id, shard in sorted(assignment.shards_by_id.items())
    ]
    pins = [
        [service, key, shard.index]
        for (service, key), shard in sorted(assignment.pins_by_key.items())
    ]
    return bytes(
        msgpack.packb(
            [
                FORMAT,
                assignment.cell,
                assignment.controller,
                assignment.controller_term,
                list(assignment.members),
                dict(sorted(assignment.shard_count_by_service.items())),
                servers,
                shards,
                pins,
                dict(sorted(assignment.incarnations_by_member.items())),
                assignment.members_version,
            ]
        )
    )


def decode_assignment(value: bytes, revision: int, peer: str) -> Assignment:
    """Return the record that `peer` sent, or raise `AssignmentFormatError`."""
    try:
        found, *fields = msgpack.unpackb(value)
        if found != FORMAT:
            raise ValueError(f"format {found}, this program reads {FORMAT}")
        return replace(_from_fields(fields), revision=revision)
    except (ValueError, TypeError, KeyError, IndexError, msgpack.UnpackException) as error:
        raise AssignmentFormatError("decode assignment", peer, str(error)) from error


def _from_fields(fields: list[Any]) -> Assignment:
    cell, controller, controller_term, members, counts, servers, shards, pins, *rest = fields
    incarnations, members_version = rest
    return Assignment(
        cell=CellName(cell),
        controller=None if controller is None else DaemonId(controller),
        controller_term=controller_term,
        members=tuple(DaemonId(member) for member in members),
        shard_count_by_service={ServiceName(name): count for name, count in counts.items()},
        servers_by_id={ServerId(server[0]): _server(server) for server in servers},
        shards_by_id={ShardId(ServiceName(s[0]), s[1]): _shard(s) for s in shards},
        pins_by_key={
            (ServiceName(service), key): ShardId(ServiceName(service), index)
            for service, key, index in pins
        },
        incarnations_by_member={DaemonId(name): count for name, count in incarnations.items()},
        members_version=members_version,
    )


def _server_fields(server: ServerRecord) -> list[Any]:
    place = [server.id, server.service, server.address, server.zone]
    return [
        *place,
        server.leader,
        server.term,
        server.state.value,
        server.checks_fence,
        server.successor,
    ]


def _server(fields: list[Any]) -> ServerRecord:
    id, service, address, zone, leader, term, state, checks_fence, successor = fields
    return ServerRecord(
        id, service, address, zone, leader, term, ServerState(state), bool(checks_fence), successor
    )


def _shard(fields: list[Any]) -> ShardRecord:
    _, _, owner, epoch, state, moving_to = fields
    return ShardRecord(owner, epoch, ShardState(state), moving_to)

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiawell.core import CellName, DaemonId, ServerId, ServiceName, ShardId
from fuchsiawell.ownership import (
    Assignment,
    AssignmentFormatError,
    ServerRecord,
    ServerState,
    ShardRecord,
    ShardState,
    decode_assignment,
    encode_assignment,
)

SERVICE = ServiceName("penwatch")
SERVER = ServerRecord(
    ServerId("s1"), SERVICE, "127.0.0.1:1", "vuda", DaemonId("d1"), 4, ServerState.ACTIVE, True
)
SHARD = ShardId(SERVICE, 0)
ASSIGNMENT = Assignment(
    cell=CellName("viti-west"),
    controller=DaemonId("d1"),
    controller_term=3,
    members=(DaemonId("d1"), DaemonId("d2")),
    shard_count_by_service={SERVICE: 1},
    servers_by_id={SERVER.id: SERVER},
    shards_by_id={SHARD: ShardRecord(SERVER.id, 7, ShardState.MOVING, ServerId("s2"))},
    pins_by_key={(SERVICE, "pen-7"): ShardId(SERVICE, 1_000_000)},
    revision=12,
)


def test_a_record_survives_the_round_trip() -> None:
    value = encode_assignment(ASSIGNMENT)
    assert decode_assignment(value, 12, "store") == ASSIGNMENT
    assert encode_assignment(replace(ASSIGNMENT, revision=99)) == value


@given(st.binary(max_size=200))
def test_foreign_bytes_are_refused_with_step_and_peer(value: bytes) -> None:
    with pytest.raises(AssignmentFormatError, match="decode assignment at store"):
        decode_assignment(value, 1, "store")


def test_a_pinned_key_has_a_shard_of_its_own() -> None:
    assert ASSIGNMENT.shard_for(SERVICE, "pen-7") == ShardId(SERVICE, 1_000_000)
    assert ASSIGNMENT.shard_for(SERVICE, "pen-8") == SHARD
    route = ASSIGNMENT.route(SERVICE, "pen-8")
    assert route is not None
    assert route.server == SERVER

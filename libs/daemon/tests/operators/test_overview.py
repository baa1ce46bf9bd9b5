from __future__ import annotations

from fuchsiawell.core import CellName, DaemonId, ServerId, ServiceName, ShardId
from fuchsiawell.daemon.operators import overview
from fuchsiawell.ownership import Assignment, ServerRecord, ServerState, ShardRecord, ShardState

SERVICE = ServiceName("penwatch")
S1, S2, D1 = ServerId("s1"), ServerId("s2"), DaemonId("d1")


def test_shards_are_counted_by_server_and_by_service() -> None:
    servers = {
        id: ServerRecord(id, SERVICE, "127.0.0.1:1", "vuda", D1, 4, ServerState.ACTIVE, True)
        for id in (S2, S1)
    }
    shards = {
        ShardId(SERVICE, 0): ShardRecord(S1, 7, ShardState.ASSIGNED),
        ShardId(SERVICE, 1): ShardRecord(S1, 8, ShardState.MOVING, S2),
        ShardId(SERVICE, 2): ShardRecord(None, 9, ShardState.UNASSIGNED),
    }
    assignment = Assignment(
        CellName("viti-west"), D1, 3, (D1,), {SERVICE: 3}, servers, shards, revision=12
    )
    seen = overview(assignment)
    assert [(row.id, row.shards, row.releasing) for row in seen.servers] == [
        ("s1", 2, 1),
        ("s2", 0, 0),
    ]
    (service,) = seen.services
    assert (service.shards, service.moving, service.unassigned) == (3, 1, 1)
    assert (seen.controller, seen.controller_term, seen.revision) == ("d1", 3, 12)

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from callers import ask

from fuchsiawell.ownership import ShardState

if TYPE_CHECKING:
    from cell import Cell


async def test_no_copy_is_sent_once_the_key_is_moving(cell: Cell) -> None:
    server = cell.server_of("pen-1")
    server.swallow = 1
    headers = {"fuchsiawell-deadline-ms": "1200"}
    asking = asyncio.create_task(
        ask(cell.settings[1].caller_address, "/penwatch/status/pen-1", headers=headers)
    )
    async with asyncio.timeout(5):
        while not server.requests:
            await asyncio.sleep(0.01)
    for application in cell.applications:
        held = application.state.assignment
        assert held is not None
        shard = held.shard_for(held.servers_by_id[server.id].service, "pen-1")
        assert shard is not None
        moving = replace(held.shards_by_id[shard], state=ShardState.MOVING)
        shards = {**held.shards_by_id, shard: moving}
        application.state.offer_assignment(
            replace(held, shards_by_id=shards, revision=held.revision + 1000)
        )
    answer = await asking
    assert answer.headers["fuchsiawell-outcome"] != "answered"
    assert len(server.requests) == 1

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from callers import Answer, ask

if TYPE_CHECKING:
    from cell import Cell, EchoServer

KEY = "pen-1"


async def status(cell: Cell, what: str, entry: int = 2) -> Answer:
    address = cell.settings[entry].caller_address
    headers = {"fuchsiawell-deadline-ms": "700"}
    return await ask(address, f"/penwatch/status/{KEY}/{what}", headers=headers)


async def crash_with(cell: Cell, server: EchoServer, *requests: str) -> None:
    """Let the server's process end while it runs `requests`, and start it again."""
    server.delay_s = 5.0
    before = len(server.requests)
    running = [asyncio.create_task(status(cell, what)) for what in requests]
    while len(server.requests) < before + len(requests):
        await asyncio.sleep(0.01)
    await cell.crash(server)
    server.delay_s = 0.0
    await asyncio.gather(*running)
    await cell.restart(server)


async def test_a_request_that_crashed_two_servers_is_refused_and_others_run(cell: Cell) -> None:
    server = cell.server_of(KEY)
    await crash_with(cell, server, "poison", "innocent")
    assert (await status(cell, "innocent")).status == 200
    await crash_with(cell, server, "poison")
    refused = await status(cell, "poison", 0)
    assert json.loads(refused.body)["reason"] == "convicted"
    assert (refused.status, refused.headers["fuchsiawell-outcome"]) == (422, "not-run")
    assert (await status(cell, "innocent")).status == 200

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from callers import ask

from fuchsiawell.core import NotRun, NotRunReason, Step

if TYPE_CHECKING:
    import pytest
    from cell import Cell

    from fuchsiawell.core import Outcome
    from fuchsiawell.transport import ServerExchange


async def test_a_leader_that_is_not_ready_yet_is_asked_again(
    cell: Cell, monkeypatch: pytest.MonkeyPatch
) -> None:
    leader = cell.applications[0]._leader
    serve = leader._run
    refusals = [NotRun(NotRunReason.NOT_READY, Step.ADMIT, "d0")] * 3

    async def not_ready_at_first(exchange: ServerExchange) -> Outcome | None:
        await asyncio.sleep(0)
        return refusals.pop() if refusals else await serve(exchange)

    monkeypatch.setattr(leader, "_run", not_ready_at_first)
    key = next(f"pen-{n}" for n in range(99) if cell.server_of(f"pen-{n}").id == "s0")
    answer = await ask(cell.settings[2].caller_address, f"/penwatch/status/{key}")
    assert answer.status == 200
    assert refusals == []

from __future__ import annotations

from random import Random

from fuchsiawell.core import ManualClock
from fuchsiawell.platform import CallBudget, CallKind, open_store
from fuchsiawell.standins.faults import Refuse, ScriptedFaults
from fuchsiawell.standins.memory_store import MemoryStore
from fuchsiawell.standins.serving import running
from fuchsiawell.standins.store_server import store_app


async def test_retries_count_against_the_budget() -> None:
    memory = MemoryStore(ManualClock())
    async with running(store_app(memory)) as address:
        memory.plan = ScriptedFaults([Refuse(), Refuse()])
        budget = CallBudget(reads_per_s=3, writes_per_s=1, max_wait_s=0.0)
        opened = open_store(address, ManualClock(), Random(1), budget)
        assert (await opened.store.get("a")).is_ok()
        assert opened.metrics.calls.by_kind[CallKind.GET] == memory.counts.reads == 3
        assert opened.retries.by_kind[CallKind.GET] == 2
        assert (await opened.store.list("")).is_err()
        await opened.store.close()

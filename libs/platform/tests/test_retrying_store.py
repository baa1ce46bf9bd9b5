from __future__ import annotations

import asyncio
from random import Random

from result import Ok

from fuchsiawell.platform import ABSENT, RetryBudget, RetryingStore
from fuchsiawell.standins.faults import LoseAnswer, Refuse, ScriptedFaults, SettableFaults
from fuchsiawell.standins.manual_time import ManualTime
from fuchsiawell.standins.memory_store import MemoryStore


def _store(memory: MemoryStore, time: ManualTime, budget: RetryBudget) -> RetryingStore:
    return RetryingStore(memory, Random(1), budget, sleep=time.sleep)


async def test_a_read_is_repeated_after_a_pause() -> None:
    time = ManualTime()
    memory = MemoryStore(time, ScriptedFaults([Refuse(), LoseAnswer()]))
    store = _store(memory, time, RetryBudget())
    read = asyncio.ensure_future(store.get("a"))
    await time.settle()
    assert memory.counts.reads == 1
    await time.run(1.0)
    assert read.result() == Ok(None)
    assert (memory.counts.reads, store.retries.reads) == (3, 2)


async def test_a_write_is_sent_once() -> None:
    time = ManualTime()
    memory = MemoryStore(time, ScriptedFaults([LoseAnswer()]))
    store = _store(memory, time, RetryBudget())
    assert (await store.put("a", b"1", ABSENT)).is_err()
    assert memory.counts.writes == 1


async def test_an_outage_brings_no_more_retries_than_the_budget() -> None:
    time = ManualTime()
    faults = SettableFaults()
    faults.set(Refuse())
    memory = MemoryStore(time, faults)
    store = _store(memory, time, RetryBudget(share=0.1, reserve=3))
    for _ in range(200):
        read = asyncio.ensure_future(store.get("a"))
        await time.run(10.0)
        assert read.result().is_err()
    assert memory.counts.reads == 200 + store.retries.reads
    assert store.retries.reads <= 3 + 0.1 * 200

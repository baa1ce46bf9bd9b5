from __future__ import annotations

import asyncio

from result import Ok

from fuchsiawell.platform import ABSENT, BudgetedStore, CallBudget, CallKind, Unavailable
from fuchsiawell.standins.faults import LoseAnswer, Refuse, ScriptedFaults
from fuchsiawell.standins.manual_time import ManualTime
from fuchsiawell.standins.memory_store import MemoryStore


def _store(time: ManualTime, budget: CallBudget) -> tuple[BudgetedStore, MemoryStore]:
    memory = MemoryStore(time, sleep=time.sleep)
    return BudgetedStore(memory, time, budget, time.sleep), memory


async def test_calls_over_the_budget_wait_and_then_are_refused_unsent() -> None:
    time = ManualTime()
    budget = CallBudget(reads_per_s=10, writes_per_s=1, burst_s=0.1, max_wait_s=0.25)
    store, memory = _store(time, budget)
    reads = [asyncio.ensure_future(store.get("a")) for _ in range(5)]
    await time.settle()
    assert memory.counts.reads == 1
    await time.run(0.11)
    assert memory.counts.reads == 2
    await time.run(1.0)
    assert memory.counts.reads == 3
    results = [read.result() for read in reads]
    assert results[:3] == [Ok(None)] * 3
    assert all(isinstance(result.unwrap_err(), Unavailable) for result in results[3:])
    assert store.metrics.over_budget.by_kind[CallKind.GET] == 2
    assert store.metrics.calls.reads == 3


async def test_reads_and_writes_have_budgets_of_their_own() -> None:
    budget = CallBudget(reads_per_s=1, writes_per_s=1, max_wait_s=0.0)
    store, memory = _store(ManualTime(), budget)
    await store.get("a")
    assert (await store.list("")).is_err()
    assert (await store.put("a", b"1", ABSENT)).is_ok()
    assert (await store.grant_lease(1.0)).is_err()
    assert (memory.counts.reads, memory.counts.writes) == (1, 1)


async def test_a_waiting_watch_counts_as_one_call() -> None:
    time = ManualTime()
    store, _ = _store(time, CallBudget(reads_per_s=1, writes_per_s=1, max_wait_s=0.0))
    watch = asyncio.ensure_future(store.watch("a", ABSENT, 60.0))
    await time.run(30.0)
    assert store.metrics.calls.by_kind[CallKind.WATCH] == 1
    assert (await store.get("a")).is_ok()
    await time.run(30.0)
    assert watch.result() == Ok(None)


async def test_a_wait_that_is_cancelled_gives_its_turn_back() -> None:
    time = ManualTime()
    budget = CallBudget(reads_per_s=1, writes_per_s=1, max_wait_s=1.0)
    store, _ = _store(time, budget)
    await store.get("a")
    waiting = asyncio.ensure_future(store.get("a"))
    await time.settle()
    waiting.cancel()
    await time.settle()
    assert (await asyncio.gather(store.get("a"), time.run(1.0)))[0] == Ok(None)


async def test_errors_are_counted_by_kind() -> None:
    store, memory = _store(ManualTime(), CallBudget(reads_per_s=9, writes_per_s=9))
    memory.plan = ScriptedFaults([Refuse(), LoseAnswer()])
    await store.get("a")
    await store.put("a", b"", ABSENT)
    assert store.metrics.unavailable.by_kind[CallKind.GET] == 1
    assert store.metrics.answers_lost.by_kind[CallKind.PUT] == 1

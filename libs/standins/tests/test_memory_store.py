from __future__ import annotations

import asyncio

import pytest
from result import Err, Ok

from fuchsiawell.core import ManualClock
from fuchsiawell.platform import (
    ABSENT,
    MAX_VALUE_BYTES,
    AnswerLost,
    CallKind,
    Conflict,
    LeaseLapsed,
    Record,
    Revision,
    Unavailable,
)
from fuchsiawell.standins.faults import (
    DropWatch,
    Fault,
    LapseLeases,
    LoseAnswer,
    LoseRequest,
    Refuse,
    ScriptedFaults,
)
from fuchsiawell.standins.memory_store import MemoryStore


@pytest.fixture
def store() -> MemoryStore:
    return MemoryStore(ManualClock())


async def test_a_write_needs_the_current_revision(store: MemoryStore) -> None:
    first = (await store.put("a", b"1", ABSENT)).unwrap()
    assert await store.put("a", b"2", ABSENT) == Err(Conflict(first))
    second = (await store.put("a", b"2", first.revision)).unwrap()
    assert second.revision > first.revision
    assert await store.get("a") == Ok(second)


async def test_a_key_written_again_after_removal_gets_a_newer_revision(store: MemoryStore) -> None:
    first = (await store.put("a", b"1", ABSENT)).unwrap()
    assert await store.delete("a", Revision(9)) == Err(Conflict(first))
    assert await store.delete("a", first.revision) == Ok(None)
    assert await store.get("a") == Ok(None)
    assert (await store.put("a", b"1", ABSENT)).unwrap().revision > first.revision


async def test_list_is_ordered_and_by_prefix(store: MemoryStore) -> None:
    for key in ("b/2", "b/1", "c"):
        await store.put(key, b"", ABSENT)
    assert [record.key for record in (await store.list("b/")).unwrap()] == ["b/1", "b/2"]


async def test_a_key_goes_with_its_lease() -> None:
    clock = ManualClock()
    store = MemoryStore(clock)
    lease = (await store.grant_lease(1.0)).unwrap()
    written = (await store.put("a", b"1", ABSENT, lease)).unwrap()
    clock.advance(0.9)
    assert await store.renew_lease(lease) == Ok(None)
    clock.advance(0.9)
    assert await store.get("a") == Ok(written)
    clock.advance(0.1)
    assert await store.get("a") == Ok(None)
    assert await store.renew_lease(lease) == Err(LeaseLapsed(lease))
    assert await store.put("a", b"2", ABSENT, lease) == Err(LeaseLapsed(lease))


async def test_a_watch_ends_with_the_next_write(store: MemoryStore) -> None:
    watch = asyncio.ensure_future(store.watch("a", ABSENT, 60.0))
    await asyncio.sleep(0)
    await store.put("b", b"", ABSENT)
    written = (await store.put("a", b"1", ABSENT)).unwrap()
    assert await watch == Ok(written)
    assert await store.watch("a", ABSENT, 60.0) == Ok(written)
    assert await store.watch("a", written.revision, 0.0) == Ok(None)


async def test_a_value_over_the_limit_is_refused(store: MemoryStore) -> None:
    result = await store.put("a", b"x" * (MAX_VALUE_BYTES + 1), ABSENT)
    assert isinstance(result.unwrap_err(), Unavailable)
    assert (await store.put("a", b"x" * MAX_VALUE_BYTES, ABSENT)).is_ok()


@pytest.mark.parametrize(
    ("fault", "error", "found"),
    [
        (Refuse(), Unavailable, None),
        (LoseRequest(), AnswerLost, None),
        (LoseAnswer(), AnswerLost, b"1"),
    ],
)
async def test_faults_of_a_write(fault: Fault, error: type, found: bytes | None) -> None:
    store = MemoryStore(ManualClock(), ScriptedFaults([fault]))
    assert isinstance((await store.put("a", b"1", ABSENT)).unwrap_err(), error)
    record: Record | None = (await store.get("a")).unwrap()
    assert (record and record.value) == found


async def test_leases_lapse_and_watches_drop_on_demand() -> None:
    plan = ScriptedFaults([DropWatch()], {CallKind.WATCH})
    store = MemoryStore(ManualClock(), plan)
    assert isinstance((await store.watch("a", ABSENT, 60.0)).unwrap_err(), AnswerLost)
    lease = (await store.grant_lease(60.0)).unwrap()
    store.plan = ScriptedFaults([LapseLeases()])
    assert await store.renew_lease(lease) == Err(LeaseLapsed(lease))


async def test_calls_are_counted_by_kind(store: MemoryStore) -> None:
    await store.put("a", b"1", ABSENT)
    await store.get("a")
    await store.list("")
    assert (store.counts.writes, store.counts.reads) == (1, 2)
    assert store.counts.by_kind[CallKind.LIST] == 1

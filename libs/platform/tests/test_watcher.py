from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from result import Ok, Result

from fuchsiawell.platform import ABSENT, Record, Revision, StoreError, watch_key
from fuchsiawell.standins.faults import DropWatch, Refuse, ScriptedFaults
from fuchsiawell.standins.manual_time import ManualTime
from fuchsiawell.standins.memory_store import MemoryStore

if TYPE_CHECKING:
    from fuchsiawell.platform import Store


async def _follow(
    store: Store, time: ManualTime, seen: list[bytes], errors: list[object] | None = None
) -> None:
    report = None if errors is None else errors.append
    watch = watch_key(store, "a", time, Random(1), on_error=report, sleep=time.sleep)
    async for record in watch:
        seen.append(record.value)


async def test_each_newer_record_is_delivered() -> None:
    time = ManualTime()
    memory = MemoryStore(time, sleep=time.sleep)
    seen: list[bytes] = []
    following = asyncio.ensure_future(_follow(memory, time, seen))
    revision = ABSENT
    for value in (b"1", b"2", b"3"):
        revision = (await memory.put("a", value, revision)).unwrap().revision
        await time.run(100.0)
    following.cancel()
    assert seen == [b"1", b"2", b"3"]


async def test_outages_are_survived_with_growing_pauses() -> None:
    time = ManualTime()
    memory = MemoryStore(time, ScriptedFaults([DropWatch(), *[Refuse()] * 30]), time.sleep)
    seen: list[bytes] = []
    errors: list[object] = []
    following = asyncio.ensure_future(_follow(memory, time, seen, errors))
    await time.run(1.0)
    assert 3 <= len(errors) <= 8
    await time.run(100.0)
    assert len(errors) == 31
    await memory.put("a", b"1", ABSENT)
    await time.settle()
    following.cancel()
    assert seen == [b"1"]


class _BackwardStore(MemoryStore):
    """Answer watches with whatever revision comes next, older ones included."""

    revisions = (5, 3, 5, 7, 6)

    async def watch(
        self, key: str, after: Revision, timeout_s: float
    ) -> Result[Record | None, StoreError]:
        if not self.revisions:
            await asyncio.Event().wait()
        revision, *rest = self.revisions
        self.revisions = tuple(rest)
        return Ok(Record(key, str(revision).encode(), Revision(revision)))


async def test_an_older_record_is_never_delivered_after_a_newer_one() -> None:
    time = ManualTime()
    seen: list[bytes] = []
    following = asyncio.ensure_future(_follow(_BackwardStore(time), time, seen))
    await time.run(60.0)
    following.cancel()
    assert seen == [b"5", b"7"]

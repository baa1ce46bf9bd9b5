"""The stand-in store must not lose a change that comes as a watch ends."""

from __future__ import annotations

import asyncio
from datetime import timedelta

from fuchsiawell.standins import MemoryStore, VirtualClock, run_in_virtual_time


def test_watch_returns_a_change_that_comes_at_the_end_of_its_wait() -> None:
    async def run() -> None:
        store = MemoryStore(VirtualClock())
        after = store.revision
        asyncio.get_running_loop().call_later(1.0, store.put, "config", b"1")
        changes = await store.watch("", after, timedelta(seconds=1))
        assert [item.key for item in changes.items] == ["config"] or changes.as_of == after

    run_in_virtual_time(run())

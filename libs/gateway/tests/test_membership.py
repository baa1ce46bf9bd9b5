"""A daemon enters the store, and leaves it in time."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from fuchsiawell.core import ManualClock
from fuchsiawell.gateway.control.membership import Membership
from fuchsiawell.gateway.control.store_keys import DAEMONS_PREFIX, decode_peer
from fuchsiawell.standins import MemoryStore

from parts import session


class SilentStore(MemoryStore):
    """Never answers the end of a lease."""

    async def end_lease(self, lease: int) -> None:
        await asyncio.Event().wait()


async def _entered(store: MemoryStore, clock: ManualClock) -> Membership:
    made = session(clock)
    membership = Membership(made, store)
    task = asyncio.create_task(membership.run())
    while await store.get(DAEMONS_PREFIX + "d-1") is None:
        await asyncio.sleep(0)
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
    return membership


async def test_an_entry_tells_who_and_where_and_goes_with_the_daemon() -> None:
    clock = ManualClock(1000.0)
    store = MemoryStore(clock)
    membership = await _entered(store, clock)
    item = await store.get(DAEMONS_PREFIX + "d-1")
    assert item is not None
    assert item.value is not None
    assert decode_peer(item.value) == session(clock).me
    await membership.leave(5.0)
    assert await store.get(DAEMONS_PREFIX + "d-1") is None


async def test_a_silent_store_does_not_hold_a_stop_up() -> None:
    clock = ManualClock(1000.0)
    membership = await _entered(SilentStore(clock), clock)
    async with asyncio.timeout(5):
        await membership.leave(0.0)

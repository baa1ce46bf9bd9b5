"""A daemon removes its store entry when it stops; an unresponsive store must not delay the stop."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from fuchsiawell.core import ManualClock
from fuchsiawell.gateway.control.membership import Membership
from fuchsiawell.gateway.control.store_keys import DAEMONS_PREFIX, decode_peer
from fuchsiawell.standins import MemoryStore

from builders import session


class UnresponsiveStore(MemoryStore):
    """Never respond to the end of a lease."""

    async def revoke_lease(self, lease_id: int) -> None:
        await asyncio.Event().wait()


async def _registered(store: MemoryStore, clock: ManualClock) -> Membership:
    local_session = session(clock)
    membership = Membership(local_session, store)
    task = asyncio.create_task(membership.run())
    while await store.get(DAEMONS_PREFIX + "d-1") is None:
        await asyncio.sleep(0)
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
    return membership


async def test_entry_describes_the_daemon_and_is_removed_when_it_leaves() -> None:
    clock = ManualClock(1000.0)
    store = MemoryStore(clock)
    membership = await _registered(store, clock)
    item = await store.get(DAEMONS_PREFIX + "d-1")
    assert item is not None
    assert item.value is not None
    assert decode_peer(item.key, item.value) == session(clock).local_peer
    await membership.leave(5.0)
    assert await store.get(DAEMONS_PREFIX + "d-1") is None


async def test_unresponsive_store_does_not_delay_a_stop() -> None:
    clock = ManualClock(1000.0)
    membership = await _registered(UnresponsiveStore(clock), clock)
    async with asyncio.timeout(5):
        await membership.leave(0.0)

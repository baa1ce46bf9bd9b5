from __future__ import annotations

import asyncio
from contextlib import suppress

import pytest

from fuchsiawell.core import ManualClock
from fuchsiawell.gateway.control import store_watcher as module
from fuchsiawell.gateway.control.store_keys import DAEMONS_PREFIX, GRANTER_KEY, encode_peer
from fuchsiawell.gateway.control.store_watcher import StoreWatcher
from fuchsiawell.gateway.session.state import Peer
from fuchsiawell.standins import MemoryStore

from builders import FakeRecordDecoder, session


@pytest.fixture(autouse=True)
def no_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("REWATCH_DELAY_S", "MIN_RETRY_DELAY_S", "MAX_RETRY_DELAY_S"):
        monkeypatch.setattr(module, name, 0.0)


class Bed:
    def __init__(self) -> None:
        self.clock = ManualClock(1000.0)
        self.session = session(self.clock)
        self.store = MemoryStore(self.clock)
        self.watcher = StoreWatcher(self.session, self.store, FakeRecordDecoder())

    async def until(self, condition) -> None:
        task = asyncio.create_task(self.watcher.run())
        while not condition():
            await asyncio.sleep(0)
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task


async def test_existing_entries_and_later_changes_are_applied() -> None:
    bed = Bed()
    bed.store.put("config", b"1")
    bed.store.put("servers/i-1", b"good")
    await bed.until(lambda: "i-1" in bed.session.directory.by_id)
    bed.store.put("config", b"2")
    bed.store.put(GRANTER_KEY, b"d-2")
    await bed.until(lambda: bed.session.granter == "d-2")
    assert bed.session.configuration.version == 2
    bed.store.remove("servers/i-1")
    await bed.until(lambda: not bed.session.directory.by_id)


async def test_after_lost_history_the_store_is_listed_again_and_removed_servers_go() -> None:
    bed = Bed()
    bed.store.put("servers/i-1", b"good")
    await bed.until(lambda: "i-1" in bed.session.directory.by_id)
    bed.store.remove("servers/i-1")
    bed.store.put("servers/i-2", b"good")
    bed.store.compact_history()
    await bed.until(lambda: set(bed.session.directory.by_id) == {"i-2"})


async def test_unreadable_entries_are_ignored() -> None:
    bed = Bed()
    bed.store.put("config", b"1")
    bed.store.put("servers/i-1", b"good")
    bed.store.put("servers/i-2", b"bad")
    await bed.until(lambda: bed.session.configuration is not None)
    bed.store.put("config", b"broken")
    bed.store.put("servers/i-1", b"bad")
    bed.store.put(DAEMONS_PREFIX + "d-3", b"junk")
    bed.store.put(DAEMONS_PREFIX + "d-4", encode_peer(Peer("d-4", "x", "127.0.0.1", 1)))
    await bed.until(lambda: "d-4" in bed.session.peers_by_name)
    assert bed.session.configuration.version == 1
    assert set(bed.session.directory.by_id) == {"i-1"}
    assert set(bed.session.peers_by_name) == {"d-4"}


async def test_servers_missing_after_a_store_outage_are_kept_for_a_while() -> None:
    bed = Bed()
    bed.store.put("servers/i-1", b"good")
    await bed.until(lambda: "i-1" in bed.session.directory.by_id)
    bed.store.unavailable = True
    bed.store.remove("servers/i-1")
    await bed.until(lambda: bed.watcher._store_unavailable)
    bed.store.unavailable = False
    await bed.until(lambda: not bed.watcher._store_unavailable)
    assert "i-1" in bed.session.directory.by_id
    bed.clock.advance(2.5)
    bed.watcher.expire_backends()
    assert not bed.session.directory.by_id

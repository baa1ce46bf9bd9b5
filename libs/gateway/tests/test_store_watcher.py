"""A daemon must not act on stale or unreadable store entries.

Entries become stale if the store loses its history, and are missing for a while after an outage.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import replace
from typing import TYPE_CHECKING

import msgpack
import pytest

from fuchsiawell.core import ManualClock
from fuchsiawell.gateway.control import store_watcher as module
from fuchsiawell.gateway.control.store_keys import (
    DAEMONS_PREFIX,
    GRANTER_KEY,
    SHARDS_PREFIX,
    encode_peer,
)
from fuchsiawell.gateway.control.store_watcher import StoreWatcher
from fuchsiawell.gateway.ports import Item, StoreChanges
from fuchsiawell.gateway.session.state import Peer
from fuchsiawell.shards import Member, Owner, encode_map, initial_map
from fuchsiawell.standins import MemoryStore

from builders import FakeRecordDecoder, log_events, session

if TYPE_CHECKING:
    from datetime import timedelta


@pytest.fixture(autouse=True)
def no_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("REWATCH_DELAY_S", "MIN_RETRY_DELAY_S", "MAX_RETRY_DELAY_S"):
        monkeypatch.setattr(module, name, 0.0)


class Harness:
    def __init__(self) -> None:
        self.clock = ManualClock(1000.0)
        self.session = session(self.clock)
        self.store = MemoryStore(self.clock)
        self.watcher = StoreWatcher(self.session, self.store, FakeRecordDecoder())

    async def run_until(self, condition) -> None:
        task = asyncio.create_task(self.watcher.run())
        while not condition():
            await asyncio.sleep(0)
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task


async def test_existing_entries_and_later_changes_are_applied() -> None:
    harness = Harness()
    harness.store.put("config", b"1")
    harness.store.put("servers/i-1", b"good")
    await harness.run_until(lambda: "i-1" in harness.session.directory.by_id)
    harness.store.put("config", b"2")
    harness.store.put(GRANTER_KEY, b"d-2")
    await harness.run_until(lambda: harness.session.granter == "d-2")
    assert harness.session.configuration.version == 2
    harness.store.remove("servers/i-1")
    await harness.run_until(lambda: not harness.session.directory.by_id)


async def test_after_lost_history_the_store_is_listed_again_and_removed_servers_go() -> None:
    harness = Harness()
    harness.store.put("servers/i-1", b"good")
    await harness.run_until(lambda: "i-1" in harness.session.directory.by_id)
    harness.store.remove("servers/i-1")
    harness.store.put("servers/i-2", b"good")
    harness.store.compact_history()
    await harness.run_until(lambda: set(harness.session.directory.by_id) == {"i-2"})


async def test_unreadable_entries_are_ignored() -> None:
    harness = Harness()
    harness.store.put("config", b"1")
    harness.store.put("servers/i-1", b"good")
    harness.store.put("servers/i-2", b"bad")
    await harness.run_until(lambda: harness.session.configuration is not None)
    harness.store.put("config", b"broken")
    harness.store.put("servers/i-1", b"bad")
    harness.store.put(DAEMONS_PREFIX + "d-3", b"junk")
    harness.store.put(DAEMONS_PREFIX + "d-4", encode_peer(Peer("d-4", "x", "127.0.0.1", 1)))
    await harness.run_until(lambda: "d-4" in harness.session.peers_by_name)
    assert harness.session.configuration.version == 1
    assert set(harness.session.directory.by_id) == {"i-1"}
    assert set(harness.session.peers_by_name) == {"d-4"}


async def test_servers_missing_after_a_store_outage_are_kept_for_a_while() -> None:
    harness = Harness()
    harness.store.put("servers/i-1", b"good")
    await harness.run_until(lambda: "i-1" in harness.session.directory.by_id)
    harness.store.unavailable = True
    harness.store.remove("servers/i-1")
    await harness.run_until(lambda: harness.watcher._store_unavailable)
    harness.store.unavailable = False
    await harness.run_until(lambda: not harness.watcher._store_unavailable)
    assert "i-1" in harness.session.directory.by_id
    harness.clock.advance(2.5)
    harness.watcher.expire_backends()
    assert not harness.session.directory.by_id


async def test_log_says_from_where_a_configuration_came_and_how_old_knowledge_was() -> None:
    harness = Harness()
    await harness.run_until(lambda: harness.watcher._as_of is not None)
    harness.clock.advance(1.7)
    harness.store.put("config", b"2")
    await harness.run_until(lambda: harness.session.configuration is not None)
    (event,) = log_events(harness.session, "configuration taken")
    assert (event["source"], event["unconfirmed_ms"]) == ("store", 1700)


class ReplayingStore(MemoryStore):
    """Its first page is read before a server leaves, a later page after; the watch repeats all."""

    async def list(self, prefix: str) -> StoreChanges:
        return StoreChanges([Item("servers/i-1", b"leaving", 5)], 3)

    async def watch(self, prefix: str, after: int, wait: timedelta) -> StoreChanges:
        changes = [Item("servers/i-1", b"good", 4), Item("servers/i-2", b"good", 6)]
        return StoreChanges(changes, 6)


# Guards against a server that gets requests again although its leaving was known: changes that are
# older than the listing came after it.
async def test_change_older_than_the_listed_entry_is_ignored() -> None:
    harness = Harness()
    harness.store = ReplayingStore(harness.clock)
    harness.watcher = StoreWatcher(harness.session, harness.store, FakeRecordDecoder())
    await harness.run_until(lambda: "i-2" in harness.session.directory.by_id)
    assert harness.session.directory.by_id["i-1"].draining


class RaisingDecoder(FakeRecordDecoder):
    """Raises an error that is no ValueError, as deeply nested records do."""

    def decode_configuration(self, value: bytes):
        if value == b"nested":
            raise RecursionError("maximum recursion depth exceeded")
        return super().decode_configuration(value)

    def decode_backend(self, key: str, value: bytes):
        if value == b"nested":
            raise KeyError("nested")
        return super().decode_backend(key, value)


# Guards against one entry that ends the process of each daemon, with all its requests (issue 26):
# an error that is not expected of an entry ended the control loop.
async def test_entry_that_cannot_be_applied_is_logged_and_the_others_are_applied() -> None:
    harness = Harness()
    harness.watcher = StoreWatcher(harness.session, harness.store, RaisingDecoder())
    put = harness.store.put
    put("config", b"1")
    put("servers/i-1", b"good")
    put(GRANTER_KEY, b"d-2")
    put("servers/i-0", b"nested")
    await harness.run_until(lambda: harness.session.granter == "d-2")
    odd_entries = {
        "config": b"nested",
        "servers/i-1": b"nested",
        GRANTER_KEY: b"\xff\xfe",
        SHARDS_PREFIX + "s": msgpack.packb([1, "s", "d-1", 1, 2, [], [{}]]),
        DAEMONS_PREFIX + "d-5": msgpack.packb([["d-5"], "x", "127.0.0.1", 1]),
        DAEMONS_PREFIX + "d-6": msgpack.packb(["d-6", "x", "127.0.0.1", 65536]),
        DAEMONS_PREFIX + "d-7": msgpack.packb(["d-7", "x", "127.0.0.1", 1, "a", float("nan")]),
        DAEMONS_PREFIX + "d-8": msgpack.packb(["d-8", "x", "a..b", 1]),
        DAEMONS_PREFIX + "d-9": b"\x91" * 100_000,
    }
    for key, value in odd_entries.items():
        put(key, value)
    put("servers/i-2", b"good")
    await harness.run_until(lambda: "i-2" in harness.session.directory.by_id)
    assert harness.session.configuration.version == 1
    assert harness.session.granter == "d-2"
    assert set(harness.session.directory.by_id) == {"i-1", "i-2"}
    assert not harness.session.shard_maps
    assert not harness.session.peers_by_name
    logged = [event for event in log_events(harness.session, "store entry not applied")]
    assert {event["key"] for event in logged} >= {
        "config",
        "servers/i-1",
        "servers/i-0",
        GRANTER_KEY,
    }
    assert {event["step"] for event in logged} == {"apply"}
    assert all(event["error"] and event["revision"] for event in logged)
    assert harness.session.metrics.total("entries_not_applied") == len(logged)


# Guards against a map or a daemon that is replaced by an entry under the key of another one.
async def test_entry_under_the_key_of_another_is_ignored() -> None:
    harness = Harness()
    sound = Peer("d-2", "x", "10.0.0.2", 9000)
    shard_map = initial_map("s", "d-2", [Member(Owner("i-1", 1, "10.0.0.1", 80), 1.0)])
    harness.store.put(DAEMONS_PREFIX + "d-2", encode_peer(sound))
    harness.store.put(SHARDS_PREFIX + "s", encode_map(shard_map))
    odd = {
        DAEMONS_PREFIX + "d-3": encode_peer(replace(sound, host="10.0.0.3")),
        DAEMONS_PREFIX + "d-4": encode_peer(replace(sound, name="d-4", zone="z" * 300)),
        SHARDS_PREFIX + "t": encode_map(replace(shard_map, term=9)),
    }
    for key, value in odd.items():
        harness.store.put(key, value)
    harness.store.put("servers/i-1", b"good")
    await harness.run_until(lambda: "i-1" in harness.session.directory.by_id)
    assert harness.session.peers_by_name == {"d-2": sound}
    assert harness.session.shard_maps == {"s": shard_map}

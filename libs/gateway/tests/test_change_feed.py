"""A daemon misses store changes if its hub fails, loses the store or no longer has them all.

The hub must report a gap then, and the daemon must watch the store itself.
"""

from __future__ import annotations

import asyncio
import tracemalloc
from contextlib import suppress
from math import isfinite
from random import Random
from typing import TYPE_CHECKING, Any, cast

import msgpack
import pytest

from fuchsiawell.core import ManualClock
from fuchsiawell.gateway.control import change_relay
from fuchsiawell.gateway.control.change_feed import ChangeFeed, FeedLostError, FeedUpdate
from fuchsiawell.gateway.control.change_frames import (
    Confirmation,
    Follow,
    FrameReader,
    Gap,
    KeepAlive,
    Poll,
    encode_frame,
)
from fuchsiawell.gateway.control.change_relay import MAX_KEPT_BATCHES, ChangeRelay
from fuchsiawell.gateway.control.store_keys import GRANTER_KEY
from fuchsiawell.gateway.control.store_watcher import StoreWatcher
from fuchsiawell.gateway.ports import Item, StoreChanges
from fuchsiawell.gateway.session.state import Peer
from fuchsiawell.httpio import Channel, open_channel
from fuchsiawell.standins import MemoryStore

from builders import FakeRecordDecoder, session

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from datetime import timedelta


FRAMES = (
    Follow("d-1", 5),
    Poll(7.5),
    Confirmation(7.5, 0.25),
    KeepAlive(),
    Gap(),
    StoreChanges([Item("a", b"1", 5, 3), Item("b", None, 6)], 6),
)

# Far beyond the time that any of these tests takes.
LATER_S = 2000.0


def _feed(name: str = "d-1") -> ChangeFeed:
    return ChangeFeed(name, ManualClock(1000.0))


def _changes(revision: int) -> StoreChanges:
    return StoreChanges([Item("config", b"%d" % revision, revision)], revision)


class Hub:
    """A change relay that listens on a loopback port."""

    def __init__(self) -> None:
        self.relay = ChangeRelay(session(name="d-hub"))
        self.peer = Peer("d-hub", "x", "127.0.0.1", 0)
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Channel(self.relay.accept), "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.peer = Peer("d-hub", "x", "127.0.0.1", port)


@pytest.fixture
async def hub() -> AsyncIterator[Hub]:
    started = Hub()
    await started.open()
    yield started
    started.relay.close()
    assert started.server is not None
    started.server.close()


@pytest.mark.parametrize(
    "frame",
    [Follow("d-1", 7), Poll(1.5), Confirmation(1.5, 0.25), KeepAlive(), Gap(), _changes(3)],
)
async def test_frame_received_in_two_parts_decodes_to_the_original(frame: Any) -> None:
    channel = Channel()
    data = encode_frame(frame)
    channel.data_received(data[:3])
    reading = asyncio.create_task(FrameReader(channel).next())
    await asyncio.sleep(0)
    channel.data_received(data[3:])
    assert await reading == frame


@pytest.mark.parametrize("data", [b"\xff\xff\xff\xff", b"\0\0\0\1\xc1", b"\0\0\0\1\x90"])
async def test_malformed_frame_raises_value_error(data: bytes) -> None:
    channel = Channel()
    channel.data_received(data)
    with pytest.raises(ValueError, match="frame"):
        await FrameReader(channel).next()


# Guards against a hub's frame of another release, or a damaged one, that ends a follower's control
# loop and so its process, with all its requests (issue 26).
@pytest.mark.parametrize("seed", range(4))
async def test_frame_that_decodes_has_values_that_can_be_relayed(seed: int) -> None:
    random = Random(seed)
    odd_values = (None, True, -1, 2**64 - 1, 1.5, float("nan"), "x", b"x", [], [[]], {}, {"x": 1})
    decoded = 0
    for _ in range(1000):
        row = msgpack.unpackb(encode_frame(random.choice(FRAMES))[4:])
        node, key = row, random.randrange(len(row))
        while isinstance(node[key], list) and node[key] and random.random() < 0.7:
            node = node[key]
            key = random.randrange(len(node))
        node[key] = random.choice(odd_values)
        data = msgpack.packb(row)
        reader = FrameReader(channel := Channel())
        channel.data_received(len(data).to_bytes(4, "big") + data)
        try:
            frame = await reader.next()
        except ValueError:
            continue
        decoded += 1
        assert frame is not None
        assert encode_frame(frame)
        match frame:
            case StoreChanges(items, as_of):
                assert 0 <= as_of < 2**63
                for item in items:
                    assert isinstance(item.key, str)
                    assert isinstance(item.value, bytes | None)
                    assert min(item.revision, item.lease) >= 0
                    assert max(item.revision, item.lease) < 2**63
            case Follow(name, after):
                assert isinstance(name, str)
                assert 0 <= after < 2**63
            case Poll(sent_s):
                assert isfinite(sent_s)
            case Confirmation(polled_s, age_s):
                assert isfinite(polled_s - age_s)
    assert decoded


async def test_follower_gets_missed_and_later_changes(hub: Hub) -> None:
    hub.relay.reset(5)
    hub.relay.publish(_changes(6))
    hub.relay.publish(_changes(7))
    feed = _feed()
    assert await feed.next(hub.peer, 6, LATER_S) == FeedUpdate(_changes(7))
    hub.relay.publish(_changes(8))
    assert await feed.next(hub.peer, 7, LATER_S) == FeedUpdate(_changes(8))


async def test_follower_ahead_of_its_hub_gets_only_newer_changes(hub: Hub) -> None:
    hub.relay.reset(5)
    both = StoreChanges([*_changes(6).items, *_changes(7).items], 7)
    hub.relay.publish(both)
    assert await _feed().next(hub.peer, 6, LATER_S) == FeedUpdate(_changes(7))


# Guards against a follower on a slow link that falls behind in a storm of large configurations: its
# hub sends it each version, also those that a newer one has replaced (CONFIG, scale-1 of
# koro-feedline-grown).
async def test_follower_that_is_behind_gets_only_the_newest_version_of_a_key(hub: Hub) -> None:
    hub.relay.reset(5)
    for revision in range(6, 10):
        hub.relay.publish(_changes(revision))
    update = await _feed().next(hub.peer, 5, LATER_S)
    assert [item.revision for item in update.changes.items] == [9]


# Guards against a host whose memory fills with versions that newer ones have replaced.
async def test_replaced_versions_are_not_kept(hub: Hub) -> None:
    version_bytes = 1024 * 1024
    hub.relay.reset(5)
    tracemalloc.start()
    try:
        for revision in range(6, 6 + MAX_KEPT_BATCHES):
            item = Item("config", bytes(version_bytes), revision)
            hub.relay.publish(StoreChanges([item], revision))
        del item
        kept_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert kept_bytes < 2 * version_bytes
    update = await _feed().next(hub.peer, 5, LATER_S)
    assert [item.revision for item in update.changes.items] == [5 + MAX_KEPT_BATCHES]


@pytest.mark.parametrize("case", ["too old", "store lost", "never listed"])
async def test_hub_without_all_requested_changes_reports_a_gap(hub: Hub, case: str) -> None:
    if case != "never listed":
        hub.relay.reset(5)
    if case == "too old":
        for revision in range(6, 8 + MAX_KEPT_BATCHES):
            hub.relay.publish(_changes(revision))
    if case == "store lost":
        hub.relay.on_store_lost()
    with pytest.raises(FeedLostError, match="changes are missing"):
        await _feed().next(hub.peer, 5, LATER_S)


async def test_hub_that_regained_the_store_serves_only_followers_without_a_gap(hub: Hub) -> None:
    hub.relay.reset(5)
    hub.relay.publish(_changes(6))
    hub.relay.on_store_lost()
    hub.relay.publish(_changes(7))
    assert await _feed().next(hub.peer, 6, LATER_S) == FeedUpdate(_changes(7))
    with pytest.raises(FeedLostError, match="changes are missing"):
        await _feed("d-2").next(hub.peer, 5, LATER_S)


async def test_hub_that_loses_the_store_ends_the_feeds_of_its_followers(hub: Hub) -> None:
    hub.relay.reset(5)
    feed = _feed()
    waiting = asyncio.create_task(feed.next(hub.peer, 5, LATER_S))
    while not hub.relay._tasks:
        await asyncio.sleep(0)
    hub.relay.on_store_lost()
    with pytest.raises(FeedLostError):
        await waiting


async def test_poll_is_answered_with_the_age_of_what_the_hub_knows(hub: Hub) -> None:
    hub.relay.reset(5)
    hub.relay.confirm(999.25)
    update = await _feed().next(hub.peer, 5, LATER_S)
    assert update == FeedUpdate(StoreChanges([], 5), 999.25)


# Guards against knowledge that counts as confirmed for seconds to come: the clock of a suspended
# host stands still, while its hub confirms later and later times.
async def test_confirmation_after_a_suspension_is_not_ahead_of_the_own_clock(hub: Hub) -> None:
    hub.relay.reset(5)
    feed = _feed()
    waiting = asyncio.create_task(feed.next(hub.peer, 5, LATER_S))
    while not hub.relay.has_followers or hub.relay._followers[0].polled_s is None:
        await asyncio.sleep(0)
    hub.relay.confirm(1005.0)
    assert (await waiting).current_until_s == 1000.0


# Guards against knowledge that ages by the time until the next poll at each hub of a chain.
async def test_newer_confirmation_is_sent_without_another_poll(hub: Hub) -> None:
    hub.relay.reset(5)
    hub.relay.confirm(999.25)
    clock = ManualClock(1000.0)
    feed = ChangeFeed("d-1", clock)
    await feed.next(hub.peer, 5, LATER_S)
    polled_s = feed._next_poll_s
    clock.advance(0.2)
    hub.relay.confirm(1000.125)
    update = await feed.next(hub.peer, 5, LATER_S)
    assert update == FeedUpdate(StoreChanges([], 5), 1000.125)
    assert feed._next_poll_s == polled_s


async def test_follower_of_an_earlier_release_gets_keep_alives(
    hub: Hub, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(change_relay, "KEEP_ALIVE_S", 0.0)
    hub.relay.reset(5)
    channel = await open_channel(hub.peer.host, hub.peer.port, 1.0)
    channel.write(encode_frame(Follow("d-1", 5)))
    assert await FrameReader(channel).next() == KeepAlive()
    channel.close()


class CountingStore(MemoryStore):
    watches = 0

    async def watch(self, prefix: str, after: int, wait: timedelta) -> StoreChanges:
        self.watches += 1
        return await super().watch(prefix, after, wait)


class FakeHubs:
    """Return a hub until it has failed over."""

    def __init__(self, hub: Peer) -> None:
        self.hub: Peer | None = hub
        self.failovers = 0

    def refresh(self) -> None:
        """Keep the hub."""

    def fail_over(self, why: str) -> None:
        self.failovers += 1
        self.hub = None

    def upstream(self, follower_names: object) -> None:
        """Return None: there is one group."""


class Harness:
    """A store watcher with a store of its own and a hub."""

    def __init__(self, hub: Hub) -> None:
        self.clock = ManualClock(1000.0)
        self.session = session(self.clock)
        self.store = CountingStore(self.clock)
        self.watcher = StoreWatcher(self.session, self.store, FakeRecordDecoder())
        self.hubs = FakeHubs(hub.peer)
        self.relay = ChangeRelay(self.session)
        self.watcher.use_hubs(cast("Any", self.hubs), self.relay)

    async def run_until(self, condition: Any) -> None:
        task = asyncio.create_task(self.watcher.run())
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0)
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task


async def test_changes_from_the_hub_are_applied_without_watching_the_store(hub: Hub) -> None:
    harness = Harness(hub)
    harness.store.put("config", b"1")
    listed = (await harness.store.list("")).as_of
    hub.relay.reset(listed)
    hub.relay.publish(StoreChanges([Item("config", b"2", listed + 1)], listed + 1))
    await harness.run_until(
        lambda: (c := harness.session.configuration) is not None and c.version == 2
    )
    assert harness.store.watches == 0


async def test_store_is_watched_after_the_hub_fails(hub: Hub) -> None:
    harness = Harness(hub)
    harness.store.put("config", b"1")
    # The hub is given up when the store has responded: otherwise it is not the hub that fails.
    await harness.run_until(lambda: harness.hubs.failovers == 1)
    assert harness.store.watches > 0
    harness.store.put("config", b"2")
    await harness.run_until(
        lambda: (c := harness.session.configuration) is not None and c.version == 2
    )


async def test_granter_watches_the_store_itself(hub: Hub) -> None:
    harness = Harness(hub)
    hub.relay.reset(0)
    harness.store.put(GRANTER_KEY, b"d-1")
    await harness.run_until(lambda: harness.store.watches > 0)
    assert harness.hubs.failovers == 0


# Guards against a hub in another era than its follower, for which all revisions look well.
async def test_hub_in_another_era_is_a_gap(hub: Hub) -> None:
    hub.relay.reset(5, 1)
    hub.relay.publish(_changes(6))
    feed = _feed()
    assert (await feed.next(hub.peer, 5, LATER_S, 1)).changes == _changes(6)
    hub.relay.reset(5, 2)
    hub.relay.publish(_changes(6))
    hub.relay.publish(_changes(7))
    for _ in range(2):
        with pytest.raises(FeedLostError, match="changes are missing"):
            await feed.next(hub.peer, 6, LATER_S, 1)
    assert (await feed.next(hub.peer, 6, LATER_S, 2)).changes == _changes(7)


# Guards against a daemon of an earlier release, which follows without an era, that goes on with its
# hub into the next one.
async def test_follower_without_an_era_is_served_until_the_next(hub: Hub) -> None:
    hub.relay.reset(5, 1)
    hub.relay.publish(_changes(6))
    feed = _feed()
    assert (await feed.next(hub.peer, 5, LATER_S)).changes == _changes(6)
    hub.relay.reset(5, 2)
    hub.relay.publish(_changes(7))
    with pytest.raises(FeedLostError, match="changes are missing"):
        await feed.next(hub.peer, 6, LATER_S)

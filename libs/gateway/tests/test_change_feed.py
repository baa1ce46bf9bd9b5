"""Daemons follow the store through a hub, and by themselves when the hub fails them."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, Any, cast

import pytest

from fuchsiawell.core import ManualClock
from fuchsiawell.gateway.control import change_feed, change_relay
from fuchsiawell.gateway.control.change_feed import ChangeFeed, FeedLostError
from fuchsiawell.gateway.control.change_frames import Alive, Follow, FrameReader, Gap, encode_frame
from fuchsiawell.gateway.control.change_relay import KEPT, ChangeRelay
from fuchsiawell.gateway.control.store_keys import GRANTER_KEY
from fuchsiawell.gateway.control.store_watcher import StoreWatcher
from fuchsiawell.gateway.ports import Item, StoreEvents
from fuchsiawell.gateway.session.state import Peer
from fuchsiawell.httpio import Channel
from fuchsiawell.standins import MemoryStore

from parts import PlainRecords, session

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from datetime import timedelta


def _events(revision: int) -> StoreEvents:
    return StoreEvents([Item("config", b"%d" % revision, revision)], revision)


class Hub:
    """A relay on a loopback port."""

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
    made = Hub()
    await made.open()
    yield made
    made.relay.close()
    assert made.server is not None
    made.server.close()


@pytest.mark.parametrize("frame", [Follow("d-1", 7), Alive(), Gap(), _events(3)])
async def test_each_frame_arrives_as_it_was_sent_even_in_pieces(frame: Any) -> None:
    channel = Channel()
    data = encode_frame(frame)
    channel.data_received(data[:3])
    reading = asyncio.create_task(FrameReader(channel).next())
    await asyncio.sleep(0)
    channel.data_received(data[3:])
    assert await reading == frame


@pytest.mark.parametrize("data", [b"\xff\xff\xff\xff", b"\0\0\0\1\xc1", b"\0\0\0\1\x90"])
async def test_anything_else_is_no_frame(data: bytes) -> None:
    channel = Channel()
    channel.data_received(data)
    with pytest.raises(ValueError, match="frame"):
        await FrameReader(channel).next()


async def test_a_follower_gets_what_it_missed_and_what_comes(hub: Hub) -> None:
    hub.relay.begin(5)
    hub.relay.publish(_events(6))
    hub.relay.publish(_events(7))
    feed = ChangeFeed("d-1")
    assert await feed.next(hub.peer, 6) == _events(7)
    hub.relay.publish(_events(8))
    assert await feed.next(hub.peer, 7) == _events(8)


async def test_a_follower_ahead_of_its_hub_gets_only_what_is_newer(hub: Hub) -> None:
    hub.relay.begin(5)
    both = StoreEvents([*_events(6).items, *_events(7).items], 7)
    hub.relay.publish(both)
    assert await ChangeFeed("d-1").next(hub.peer, 6) == _events(7)


@pytest.mark.parametrize("case", ["too old", "out of touch", "never in touch"])
async def test_a_hub_without_complete_news_says_so(hub: Hub, case: str) -> None:
    if case != "never in touch":
        hub.relay.begin(5)
    if case == "too old":
        for revision in range(6, 8 + KEPT):
            hub.relay.publish(_events(revision))
    if case == "out of touch":
        hub.relay.on_store_lost()
    with pytest.raises(FeedLostError, match="not complete"):
        await ChangeFeed("d-1").next(hub.peer, 5)


async def test_a_hub_back_in_touch_goes_on_without_a_gap(hub: Hub) -> None:
    hub.relay.begin(5)
    hub.relay.publish(_events(6))
    hub.relay.on_store_lost()
    hub.relay.publish(_events(7))
    assert await ChangeFeed("d-1").next(hub.peer, 6) == _events(7)
    with pytest.raises(FeedLostError, match="not complete"):
        await ChangeFeed("d-2").next(hub.peer, 5)


async def test_a_hub_that_loses_touch_lets_its_followers_go(hub: Hub) -> None:
    hub.relay.begin(5)
    feed = ChangeFeed("d-1")
    waiting = asyncio.create_task(feed.next(hub.peer, 5))
    while not hub.relay._tasks:
        await asyncio.sleep(0)
    hub.relay.on_store_lost()
    with pytest.raises(FeedLostError):
        await waiting


async def test_signs_of_life_come_without_news(hub: Hub, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(change_relay, "ALIVE_S", 0.0)
    hub.relay.begin(5)
    assert await ChangeFeed("d-1").next(hub.peer, 5) == StoreEvents([], 5)


async def test_a_silent_hub_is_given_up(hub: Hub, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(change_relay, "ALIVE_S", 1000.0)
    monkeypatch.setattr(change_feed, "SILENT_S", 0.0)
    hub.relay.begin(5)
    with pytest.raises(FeedLostError, match="silent"):
        await ChangeFeed("d-1").next(hub.peer, 5)


class CountingStore(MemoryStore):
    """Counts watches."""

    watches = 0

    async def watch(self, prefix: str, after: int, wait: timedelta) -> StoreEvents:
        self.watches += 1
        return await super().watch(prefix, after, wait)


class FakeHubs:
    """Names a hub until it is given up."""

    def __init__(self, hub: Peer) -> None:
        self.hub: Peer | None = hub
        self.given_up = 0

    def give_up(self, why: str) -> None:
        self.given_up += 1
        self.hub = None


class Bed:
    """A follower with a store of its own and a hub."""

    def __init__(self, hub: Hub) -> None:
        self.clock = ManualClock(1000.0)
        self.session = session(self.clock)
        self.store = CountingStore(self.clock)
        self.follower = StoreWatcher(self.session, self.store, PlainRecords())
        self.hubs = FakeHubs(hub.peer)
        self.relay = ChangeRelay(self.session)
        self.follower.use_hubs(cast("Any", self.hubs), self.relay)

    async def until(self, condition: Any) -> None:
        task = asyncio.create_task(self.follower.run())
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0)
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task


async def test_news_come_through_the_hub_without_a_call_to_the_store(hub: Hub) -> None:
    bed = Bed(hub)
    bed.store.put("config", b"1")
    listed = (await bed.store.list("")).as_of
    hub.relay.begin(listed)
    hub.relay.publish(StoreEvents([Item("config", b"2", listed + 1)], listed + 1))
    await bed.until(lambda: (c := bed.session.configuration) is not None and c.version == 2)
    assert bed.store.watches == 0


async def test_without_a_working_hub_the_store_is_watched(hub: Hub) -> None:
    bed = Bed(hub)
    bed.store.put("config", b"1")
    await bed.until(lambda: bed.store.watches > 0)
    assert bed.hubs.given_up == 1
    bed.store.put("config", b"2")
    await bed.until(lambda: (c := bed.session.configuration) is not None and c.version == 2)


async def test_a_granter_always_watches_the_store_itself(hub: Hub) -> None:
    bed = Bed(hub)
    hub.relay.begin(0)
    bed.store.put(GRANTER_KEY, b"d-1")
    await bed.until(lambda: bed.store.watches > 0)
    assert bed.hubs.given_up == 0

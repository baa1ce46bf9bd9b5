"""A follower of a hub misses changes if connections break, the store fails or its history is lost.

Random sequences of these faults and of changes; the follower must end with the store's servers.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from random import Random
from typing import TYPE_CHECKING, Any, cast

import pytest

from fuchsiawell.core import ManualClock
from fuchsiawell.gateway.control import store_watcher as store_watcher_module
from fuchsiawell.gateway.control.change_relay import ChangeRelay
from fuchsiawell.gateway.control.store_watcher import StoreWatcher
from fuchsiawell.gateway.session.state import Peer
from fuchsiawell.httpio import Channel
from fuchsiawell.standins import MemoryStore

from builders import FakeRecordDecoder, session

if TYPE_CHECKING:
    from collections.abc import Callable

STEPS = 60


class FixedHubs:
    """Return the same hub always."""

    def __init__(self, port: int) -> None:
        self.hub = Peer("d-hub", "x", "127.0.0.1", port)
        self.failovers = 0

    def fail_over(self, why: str) -> None:
        self.failovers += 1


class Harness:
    """A store, a hub that watches it, and a follower of the hub."""

    def __init__(self) -> None:
        self.clock = ManualClock(1000.0)
        self.store = MemoryStore(self.clock)
        self.hub_session = session(self.clock, "d-hub")
        self.relay = ChangeRelay(self.hub_session)
        self.hub = StoreWatcher(self.hub_session, self.store, FakeRecordDecoder())
        self.session = session(self.clock)
        self.follower = StoreWatcher(self.session, self.store, FakeRecordDecoder())
        self.channels: list[Channel] = []

    def accept(self, channel: Channel) -> None:
        self.channels.append(channel)
        self.relay.accept(channel)


@pytest.fixture(autouse=True)
def no_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in (
        "REWATCH_DELAY_S",
        "KNOWN_REWATCH_DELAY_S",
        "MIN_RETRY_DELAY_S",
        "MAX_RETRY_DELAY_S",
    ):
        monkeypatch.setattr(store_watcher_module, name, 0.0)


@pytest.mark.parametrize("seed", range(12))
async def test_follower_ends_with_the_contents_of_the_store(seed: int) -> None:
    random, harness = Random(seed), Harness()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Channel(harness.accept), "127.0.0.1", 0)
    hubs = FixedHubs(server.sockets[0].getsockname()[1])
    harness.hub.use_hubs(cast("Any", _NoHubs()), harness.relay)
    harness.follower.use_hubs(cast("Any", hubs), ChangeRelay(harness.session))
    tasks = [asyncio.create_task(f.run()) for f in (harness.hub, harness.follower)]
    expected: set[str] = set()
    for _ in range(STEPS):
        _random_step(random, harness, expected)
        harness.clock.advance(random.uniform(0.0, 2.0))
        for _ in range(random.randrange(8)):
            await asyncio.sleep(0)
    harness.store.unavailable = False
    harness.store.put("servers/last", b"good")
    expected.add("last")
    await _advance_until(harness, lambda: set(harness.session.directory.by_id) >= expected)
    harness.clock.advance(10.0)
    harness.follower.expire_backends()
    assert set(harness.session.directory.by_id) == expected
    for task in tasks:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
    harness.relay.close()
    server.close()


class _NoHubs:
    hub = None


def _random_step(random: Random, harness: Harness, expected: set[str]) -> None:
    match random.randrange(9):
        case 0 | 1 | 2 | 3:
            name = f"i-{random.randrange(20)}"
            harness.store.put(f"servers/{name}", b"good")
            expected.add(name)
        case 4 | 5 if expected:
            name = random.choice(sorted(expected))
            harness.store.remove(f"servers/{name}")
            expected.discard(name)
        case 6 if harness.channels:
            harness.channels[-1].abort()
        case 7:
            harness.store.unavailable = not harness.store.unavailable
        case 8:
            harness.store.compact_history()


async def _advance_until(harness: Harness, condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not condition():
            harness.clock.advance(0.01)
            await asyncio.sleep(0)

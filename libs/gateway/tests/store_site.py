"""A store, its watchers in several daemons, and faults between them, in virtual time."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import TYPE_CHECKING, Any, cast

from fuchsiawell.gateway.control.change_relay import ChangeRelay
from fuchsiawell.gateway.control.hubs import UPSTREAM_RETRY_S
from fuchsiawell.gateway.control.store_watcher import StoreWatcher
from fuchsiawell.gateway.ports import (
    HistoryLostError,
    Store,
    StoreChanges,
    StoreUnavailableError,
    Write,
)
from fuchsiawell.gateway.session.state import Peer
from fuchsiawell.standins import MemoryNetwork, MemoryStore, VirtualClock, run_in_virtual_time

from builders import FakeRecordDecoder, session

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence
    from collections.abc import Set as AbstractSet
    from datetime import timedelta

    from fuchsiawell.core import Clock

__all__ = ["SiteDaemon", "StoreLink", "StoreSite", "run_site"]

CALL_TIMEOUT_S, CONNECT_TIMEOUT_S = 0.9, 0.6
# How long after its wait a watch without a response fails, as in the platform's adapter.
WATCH_MARGIN_S = 0.7
# A connection is used again within this time, as in the platform's adapter.
MAX_IDLE_S = 1.0
# Items of a listing that one call returns.
PAGE_ITEMS = 50


class StoreLink(Store):
    """A daemon's link to the store.

    While `silent`, nothing passes, and calls fail late. After `break_connection`, the open
    connection no longer carries anything, but new ones do. The next `calls_to_lose` calls get no
    response.
    """

    def __init__(self, store: MemoryStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._last_used_s = float("-inf")
        self.silent = False
        # So many of the next calls get no response.
        self.calls_to_lose = 0
        self._broken = self._connected = False
        # Calls by kind, those that failed too; a listing counts once for each of its pages.
        self.calls: Counter[str] = Counter()

    @property
    def watches(self) -> int:
        return self.calls["watch"]

    def break_connection(self) -> None:
        self._broken = True

    async def get(self, key: str) -> Any:
        return await self._call("get", lambda: self._store.get(key), CALL_TIMEOUT_S)

    async def list(self, prefix: str) -> StoreChanges:
        listing = await self._call("list", lambda: self._store.list(prefix), CALL_TIMEOUT_S)
        self.calls["list"] += (len(listing.items) - 1) // PAGE_ITEMS
        return listing

    async def watch(self, prefix: str, after: int, wait: timedelta) -> StoreChanges:
        return await self._call(
            "watch",
            lambda: self._store.watch(prefix, after, wait),
            wait.total_seconds() + WATCH_MARGIN_S,
        )

    async def write(self, writes: Sequence[Write], remove: Sequence[str] = ()) -> int:
        return await self._call("write", lambda: self._store.write(writes, remove), CALL_TIMEOUT_S)

    async def open_lease(self, ttl: timedelta) -> int:
        return await self._call("open lease", lambda: self._store.open_lease(ttl), CALL_TIMEOUT_S)

    async def renew_lease(self, lease_id: int) -> None:
        await self._call("keep lease", lambda: self._store.renew_lease(lease_id), CALL_TIMEOUT_S)

    async def revoke_lease(self, lease_id: int) -> None:
        await self._call("end lease", lambda: self._store.revoke_lease(lease_id), CALL_TIMEOUT_S)

    async def _call(self, step: str, call: Callable[[], Awaitable[Any]], timeout_s: float) -> Any:
        self.calls[step] += 1
        if self._clock.monotonic() - self._last_used_s >= MAX_IDLE_S:
            self._broken = self._connected = False
        try:
            if not self._connected:
                await self._connect(step)
            lost = self.silent or self.calls_to_lose > 0
            self.calls_to_lose = max(0, self.calls_to_lose - 1)
            async with asyncio.timeout(timeout_s):
                era = self.era
                result = await call()
                if lost or self.silent or self._broken:
                    await asyncio.Event().wait()
                self.observe_era(step, "store", self._store.era)
                if step == "watch" and era is not None and self.era != era:
                    raise HistoryLostError
                return result
        except TimeoutError as error:
            self._broken = self._connected = False
            raise StoreUnavailableError(step, "store", "no answer in time", True) from error
        finally:
            self._last_used_s = self._clock.monotonic()

    async def _connect(self, step: str) -> None:
        if self.silent:
            # What is lost is sent again only after this time.
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise StoreUnavailableError(step, "store", "connect: timed out", False)
        self._connected = True


class FixedHubs:
    """The hubs of a daemon, in its group and in the first: the next one is used after a failure."""

    def __init__(self, hubs: list[Peer | None], upstreams: list[Peer | None], clock: Clock) -> None:
        self._hubs = hubs
        self._upstreams = upstreams
        self._clock = clock
        self.failovers = 0
        self._upstream_failed_s: dict[str, float] = {}

    def refresh(self) -> None:
        """Keep the hubs."""

    @property
    def hub(self) -> Peer | None:
        return self._hubs[self.failovers % len(self._hubs)]

    @property
    def group_hubs(self) -> list[Peer]:
        return [hub for hub in self._hubs if hub is not None]

    def fail_over(self, why: str) -> None:
        self.failovers += 1

    def upstream(self, follower_names: AbstractSet[str]) -> Peer | None:
        due_s = self._clock.monotonic() - UPSTREAM_RETRY_S
        for peer in self._upstreams:
            if peer is None or self._upstream_failed_s.get(peer.name, due_s) > due_s:
                continue
            if peer.name not in follower_names:
                return peer
        return None

    def fail_upstream(self, failed: str, why: str) -> None:
        self._upstream_failed_s[failed] = self._clock.monotonic()


def _peers(names: list[str | None]) -> list[Peer | None]:
    return [name and Peer(name, "x", name, 0) for name in names]


class SiteDaemon:
    """The part of a daemon that learns changes of the store."""

    def __init__(
        self, site: StoreSite, name: str, hubs: list[str | None], upstreams: list[str | None]
    ) -> None:
        self.name = name
        self.link = StoreLink(site.store, site.clock)
        self.session = session(cast("Any", site.clock), name)
        self.relay = ChangeRelay(self.session)
        self.watcher = StoreWatcher(self.session, self.link, FakeRecordDecoder())
        self.hubs = FixedHubs(_peers(hubs), _peers(upstreams), site.clock)
        self.watcher.use_hubs(cast("Any", self.hubs), self.relay)
        site.network.listen(name, self.relay.accept)
        self.task: asyncio.Task[None] | None = None

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 if none is known."""
        configuration = self.session.configuration
        return 0 if configuration is None else configuration.version

    def start(self) -> None:
        self.task = asyncio.create_task(self.watcher.run())


class StoreSite:
    """Daemons that learn the changes of one store."""

    def __init__(self, monkeypatch: Any) -> None:
        self.clock = VirtualClock()
        self.random = Random(1)
        self.store = MemoryStore(self.clock)
        self.network = MemoryNetwork()
        self.daemons: list[SiteDaemon] = []
        for module in ("change_feed", "recollection"):
            monkeypatch.setattr(
                f"fuchsiawell.gateway.control.{module}.open_channel", self._open_channel
            )

    def add(
        self,
        name: str,
        hubs: list[str | None] | None = None,
        upstreams: list[str | None] | None = None,
    ) -> SiteDaemon:
        """Start a daemon that uses these hubs in turn; None is the store itself.

        As a hub of its group it uses `upstreams`, hubs of another group.
        """
        daemon = SiteDaemon(self, name, hubs or [None], upstreams or [None])
        self.daemons.append(daemon)
        daemon.start()
        return daemon

    def configure(self, version: int) -> float:
        """Write a version of the configuration; return when the store acknowledged it."""
        self.store.put("config", b"%d" % version)
        return self.clock.monotonic()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds, checked each 10 ms."""
        async with asyncio.timeout(30):
            while not condition():
                await asyncio.sleep(0.01)

    async def age_until(self, condition: Callable[[], bool], since_s: float) -> float:
        """Return the time from `since_s` until a condition holds."""
        await self.wait_until(condition)
        return self.clock.monotonic() - since_s

    async def age_of_change(self, daemon: SiteDaemon, version: int) -> float:
        """Write a version; return the time from its acknowledgement until a daemon has it."""
        acknowledged_s = self.configure(version)
        return await self.age_until(lambda: daemon.version == version, acknowledged_s)

    async def stop(self) -> None:
        """End all daemons."""
        tasks = [daemon.task for daemon in self.daemons if daemon.task is not None]
        for daemon in self.daemons:
            daemon.relay.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _open_channel(self, host: str, port: int, timeout_s: float) -> Any:
        # A daemon connects from its own task.
        task = asyncio.current_task()
        client = next((d.name for d in self.daemons if d.task is task), "")
        return await self.network.open(client, host, timeout_s)


def run_site(monkeypatch: Any, scenario: Callable[[StoreSite], Awaitable[None]]) -> None:
    """Run a scenario in virtual time, at a site with version 1 of the configuration."""

    async def run() -> None:
        site = StoreSite(monkeypatch)
        site.configure(1)
        try:
            await scenario(site)
        finally:
            await site.stop()

    run_in_virtual_time(run())

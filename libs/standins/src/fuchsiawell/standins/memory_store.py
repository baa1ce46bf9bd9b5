"""A key-value store in memory, with leases, history and faults on demand."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.gateway.ports import (
    ConflictError,
    HistoryLostError,
    Item,
    LeaseLostError,
    Store,
    StoreChanges,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Sequence
    from datetime import timedelta

    from fuchsiawell.core import Clock
    from fuchsiawell.gateway.ports import Write

__all__ = ["MemoryStore"]

PEER = "memory-store"


@dataclass
class _Lease:
    life_s: float
    ends_s: float


class MemoryStore(Store):
    """Keep everything in memory; `away` refuses calls, `lose_answers` does them without a word."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.revision = 1
        self._items: dict[str, Item] = {}
        self._events: list[Item] = []
        self._forgotten = 0
        self._leases: dict[int, _Lease] = {}
        self._changed = asyncio.Event()
        self.unavailable = False
        self.lose_answers = 0
        self.calls = 0

    async def get(self, key: str) -> Item | None:
        """Return a key's item."""
        self._begin("get")
        return self._items.get(key)

    async def list(self, prefix: str) -> StoreChanges:
        """Return all items under a prefix."""
        self._begin("list")
        items = [item for key, item in sorted(self._items.items()) if key.startswith(prefix)]
        return StoreChanges(items, self.revision)

    async def watch(self, prefix: str, after: int, wait: timedelta) -> StoreChanges:
        """Return the next changes under a prefix."""
        self._begin("watch")
        try:
            async with asyncio.timeout(wait.total_seconds()):
                while True:
                    if after < self._forgotten:
                        raise HistoryLostError
                    events = [
                        item
                        for item in self._events
                        if item.revision > after and item.key.startswith(prefix)
                    ]
                    if events:
                        return StoreChanges(events, self.revision)
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return StoreChanges([], self.revision)

    async def write(self, writes: Sequence[Write], remove: Sequence[str] = ()) -> int:
        """Write all or nothing."""
        self._begin("write")
        for write in writes:
            known = self._items.get(write.key)
            revision = known.revision if known is not None else 0
            if write.expected_revision is not None and write.expected_revision != revision:
                raise ConflictError
            if write.lease and write.lease not in self._leases:
                raise LeaseLostError
        for write in writes:
            self.put(write.key, write.value, write.lease)
        for key in remove:
            self.remove(key)
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreUnavailableError("write", PEER, "answer lost", maybe_applied=True)
        return self.revision

    async def open_lease(self, ttl: timedelta) -> int:
        """Return a new lease."""
        self._begin("open lease")
        number = len(self._leases) + self.revision * 1000
        life_s = ttl.total_seconds()
        self._leases[number] = _Lease(life_s, self._clock.monotonic() + life_s)
        return number

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease."""
        self._begin("keep lease")
        known = self._leases.get(lease)
        if known is None:
            raise LeaseLostError
        known.ends_s = self._clock.monotonic() + known.life_s

    async def revoke_lease(self, lease: int) -> None:
        """End a lease."""
        self._begin("end lease")
        self._drop_lease(lease)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write without conditions, as the operator and the servers do."""
        self.revision += 1
        item = Item(key, value, self.revision, lease)
        self._items[key] = item
        self._events.append(item)
        self._changed.set()
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._events.append(Item(key, None, self.revision))
            self._changed.set()

    def compact_history(self) -> None:
        """Drop all events; watches from before must list anew."""
        self._events.clear()
        self._forgotten = self.revision
        self._changed.set()

    def expire_leases(self) -> None:
        """End the leases whose time is over."""
        now_s = self._clock.monotonic()
        for number in [n for n, lease in self._leases.items() if lease.ends_s <= now_s]:
            self._drop_lease(number)

    def _drop_lease(self, number: int) -> None:
        if self._leases.pop(number, None) is not None:
            for key in [key for key, item in self._items.items() if item.lease == number]:
                self.remove(key)

    def _begin(self, step: str) -> None:
        self.calls += 1
        self.expire_leases()
        if self.unavailable:
            raise StoreUnavailableError(step, PEER, "away", maybe_applied=False)

"""In-memory key-value store with leases, change history and fault injection."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
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
    from collections.abc import Mapping, Sequence
    from datetime import timedelta

    from fuchsiawell.core import Clock
    from fuchsiawell.gateway.ports import Write

__all__ = ["MemoryStore", "StoreCopy"]

PEER = "memory-store"


@dataclass(frozen=True)
class _Lease:
    ttl_s: float
    expires_at_s: float


@dataclass(frozen=True)
class StoreCopy:
    """All that a store held at a time."""

    revision: int
    items: Mapping[str, Item]
    events: Sequence[Item]
    leases: Mapping[int, _Lease]


class MemoryStore(Store):
    """Keep all data in memory and inject faults on request.

    While `unavailable` is set, all calls fail and are not executed. The next `responses_to_lose`
    writes are executed, but fail as if their responses were lost.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.revision = 1
        self._items: dict[str, Item] = {}
        self._events: list[Item] = []
        self._compacted_revision = 0
        self._leases: dict[int, _Lease] = {}
        self._changed = asyncio.Event()
        self.unavailable = False
        self.responses_to_lose = 0
        self.call_count = 0

    @property
    def items(self) -> Mapping[str, Item]:
        """All keys, also while the store is unavailable."""
        return self._items

    async def get(self, key: str) -> Item | None:
        self._start_call("get")
        return self._items.get(key)

    async def list(self, prefix: str) -> StoreChanges:
        self._start_call("list")
        items = [item for key, item in sorted(self._items.items()) if key.startswith(prefix)]
        return StoreChanges(items, self.revision)

    async def watch(self, prefix: str, after: int, wait: timedelta) -> StoreChanges:
        self._start_call("watch")
        era = self.era
        try:
            async with asyncio.timeout(wait.total_seconds()):
                while not (events := self._events_after(prefix, after)):
                    self._changed.clear()
                    await self._changed.wait()
                    if self.era != era:
                        reason = "connection closed"
                        raise StoreUnavailableError("watch", PEER, reason, maybe_applied=True)
        except TimeoutError:
            # A change may have come at the very end of the wait.
            events = self._events_after(prefix, after)
        return StoreChanges(events, self.revision)

    async def write(self, writes: Sequence[Write], remove: Sequence[str] = ()) -> int:
        """Apply all writes and removals, or none."""
        self._start_call("write")
        for write in writes:
            revision = self._revision_of(write.key)
            if write.expected_revision is not None and write.expected_revision != revision:
                raise ConflictError
            if any(self._revision_of(key) != expected for key, expected in write.guards):
                raise ConflictError
            if write.lease and write.lease not in self._leases:
                raise LeaseLostError
        for write in writes:
            self.put(write.key, write.value, write.lease)
        for key in remove:
            self.remove(key)
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            raise StoreUnavailableError("write", PEER, "response lost", maybe_applied=True)
        return self.revision

    async def open_lease(self, ttl: timedelta) -> int:
        self._start_call("open lease")
        lease_id = len(self._leases) + self.revision * 1000
        ttl_s = ttl.total_seconds()
        self._leases[lease_id] = _Lease(ttl_s, self._clock.monotonic() + ttl_s)
        return lease_id

    async def renew_lease(self, lease_id: int) -> None:
        self._start_call("keep lease")
        lease = self._leases.get(lease_id)
        if lease is None:
            raise LeaseLostError
        self._leases[lease_id] = replace(lease, expires_at_s=self._clock.monotonic() + lease.ttl_s)

    async def revoke_lease(self, lease_id: int) -> None:
        self._start_call("end lease")
        self._remove_lease(lease_id)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key unconditionally, as the operator and servers do; return the revision."""
        self.revision += 1
        item = Item(key, value, self.revision, lease)
        self._items[key] = item
        self._events.append(item)
        self._changed.set()
        return self.revision

    def remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._events.append(Item(key, None, self.revision))
            self._changed.set()

    def copy(self) -> StoreCopy:
        """Return a copy of all that the store holds."""
        return StoreCopy(self.revision, dict(self._items), list(self._events), dict(self._leases))

    def restore(self, copy: StoreCopy) -> None:
        """Come back from an older copy, in the next era: later changes and leases are lost."""
        now_s = self._clock.monotonic()
        self.era = (self.era or 0) + 1
        self.revision = copy.revision
        self._items, self._events = dict(copy.items), list(copy.events)
        self._leases = {
            lease_id: replace(lease, expires_at_s=now_s + lease.ttl_s)
            for lease_id, lease in copy.leases.items()
        }
        self._changed.set()

    def compact_history(self) -> None:
        """Discard all change events; watches from an earlier revision raise HistoryLostError."""
        self._events.clear()
        self._compacted_revision = self.revision
        self._changed.set()

    def expire_leases(self) -> None:
        """Remove expired leases and their keys."""
        now_s = self._clock.monotonic()
        for lease_id in [n for n, lease in self._leases.items() if lease.expires_at_s <= now_s]:
            self._remove_lease(lease_id)

    def _events_after(self, prefix: str, after: int) -> Sequence[Item]:
        if not self._compacted_revision <= after <= self.revision:
            raise HistoryLostError
        return [
            item for item in self._events if item.revision > after and item.key.startswith(prefix)
        ]

    def _revision_of(self, key: str) -> int:
        item = self._items.get(key)
        return 0 if item is None else item.revision

    def _remove_lease(self, lease_id: int) -> None:
        if self._leases.pop(lease_id, None) is not None:
            for key in [key for key, item in self._items.items() if item.lease == lease_id]:
                self.remove(key)

    def _start_call(self, step: str) -> None:
        self.call_count += 1
        self.expire_leases()
        if self.unavailable:
            reason = "store is unavailable"
            raise StoreUnavailableError(step, PEER, reason, maybe_applied=False, refused=True)

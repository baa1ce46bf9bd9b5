"""One daemon's view of a store that can come back from an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from fuchsiawell.gateway.ports import (
    HistoryLostError,
    LeaseLostError,
    Store,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Sequence
    from datetime import timedelta

    from fuchsiawell.gateway.ports import Item, StoreChanges, Write
    from fuchsiawell.standins.memory_store import MemoryStore

__all__ = ["DaemonStore"]

PEER = "memory-store"


class DaemonStore(Store):
    """Pass calls to a store that several daemons share, and note its era as an adapter does."""

    def __init__(self, store: MemoryStore) -> None:
        self._store = store

    async def get(self, key: str) -> Item | None:
        item: Item | None = await self._call("get", self._store.get(key))
        return item

    async def list(self, prefix: str) -> StoreChanges:
        listing: StoreChanges = await self._call("list", self._store.list(prefix))
        return listing

    async def watch(self, prefix: str, after: int, wait: timedelta) -> StoreChanges:
        era = self.era
        changes: StoreChanges = await self._call("watch", self._store.watch(prefix, after, wait))
        if self._has_left(era):
            raise HistoryLostError
        return changes

    async def write(self, writes: Sequence[Write], remove: Sequence[str] = ()) -> int:
        era = self.era
        revision: int = await self._call("write", self._store.write(writes, remove))
        if self._has_left(era):
            raise StoreUnavailableError("write", PEER, "era has ended", maybe_applied=True)
        return revision

    async def open_lease(self, ttl: timedelta) -> int:
        lease_id: int = await self._call("open lease", self._store.open_lease(ttl))
        return lease_id

    async def renew_lease(self, lease_id: int) -> None:
        era = self.era
        await self._call("keep lease", self._store.renew_lease(lease_id))
        if self._has_left(era):
            raise LeaseLostError

    async def revoke_lease(self, lease_id: int) -> None:
        await self._call("end lease", self._store.revoke_lease(lease_id))

    def _has_left(self, era: int | None) -> bool:
        return era is not None and self.era != era

    async def _call(self, step: str, call: Awaitable[Any]) -> Any:
        try:
            return await call
        finally:
            # Errors of the store name the era too, but a store that is away names nothing.
            if not self._store.unavailable:
                self.observe_era(step, PEER, self._store.era)

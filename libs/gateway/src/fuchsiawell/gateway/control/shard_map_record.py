"""The stored shard map of one service: read, compare and swap."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.store_keys import SHARDS_PREFIX
from fuchsiawell.gateway.ports import ConflictError, StoreUnavailableError, Write
from fuchsiawell.shards import decode_map, encode_map

if TYPE_CHECKING:
    from fuchsiawell.core import EventLog
    from fuchsiawell.gateway.ports import Item, Store
    from fuchsiawell.shards import ShardMap

__all__ = ["GrantingLostError", "ShardMapRecord"]

# Pause before a call to a store that did not answer, in seconds.
RETRY_S = 0.2


class GrantingLostError(Exception):
    """Another daemon grants now."""


class ShardMapRecord:
    """Write the map only over the revision that was read or written last."""

    def __init__(self, service: str, store: Store, log: EventLog) -> None:
        self._key = SHARDS_PREFIX + service
        self._store = store
        self._log = log
        self._revision = 0

    async def read(self) -> ShardMap | None:
        """Return the stored map and note its revision; raises StoreUnavailableError, ValueError."""
        item = await self._store.get(self._key)
        self._revision = item.revision if item is not None else 0
        return None if item is None or item.value is None else decode_map(item.value)

    async def replace(self, new_map: ShardMap) -> bool:
        """Write a map once; returns whether the record was still the one read."""
        write = Write(self._key, encode_map(new_map), expected_revision=self._revision)
        try:
            self._revision = await self._store.write([write])
        except ConflictError:
            return False
        return True

    async def persist(self, new_map: ShardMap) -> None:
        """Write a map, however long the store is away; raises GrantingLostError."""
        while True:
            try:
                if await self.replace(new_map):
                    return
            except StoreUnavailableError as error:
                self._log.warning(
                    "shard map not stored yet",
                    step=error.step,
                    peer=error.peer,
                    reason=error.reason,
                )
                await asyncio.sleep(RETRY_S)
                continue
            # An earlier try whose answer was lost may have been carried out.
            item = await self._item()
            if item is None or item.value != encode_map(new_map):
                raise GrantingLostError
            self._revision = item.revision
            return

    async def confirm(self, term: int) -> None:
        """Return once the store says that the term still holds; raises GrantingLostError."""
        item = await self._item()
        if item is None or item.value is None or decode_map(item.value).term != term:
            raise GrantingLostError

    async def end(self, last_map: ShardMap) -> None:
        """Say that the term's granting has ended in order, so that the next one need not wait."""
        try:
            await self.replace(replace(last_map, granter=""))
        except StoreUnavailableError as error:
            self._log.warning(
                "end of granting not stored", step=error.step, peer=error.peer, reason=error.reason
            )

    async def _item(self) -> Item | None:
        while True:
            try:
                return await self._store.get(self._key)
            except StoreUnavailableError as error:
                self._log.warning(
                    "shard map not read yet", step=error.step, peer=error.peer, reason=error.reason
                )
                await asyncio.sleep(RETRY_S)

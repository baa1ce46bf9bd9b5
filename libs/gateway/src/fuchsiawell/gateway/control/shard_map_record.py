"""The stored shard map of one service, written by compare-and-swap."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.last_owners import MAX_COUNTED_ERA
from fuchsiawell.gateway.control.store_keys import (
    MAP_ERAS_PREFIX,
    PAST_GRANTERS_PREFIX,
    SHARDS_PREFIX,
    decode_map_era,
    decode_stored_map,
)
from fuchsiawell.gateway.ports import ConflictError, StoreUnavailableError, Write
from fuchsiawell.shards import (
    MapVersionError,
    decode_past_granters,
    encode_map,
    encode_past_granters,
)

if TYPE_CHECKING:
    from fuchsiawell.core import EventLog
    from fuchsiawell.gateway.ports import Item, Store
    from fuchsiawell.shards import PastGranters, ShardMap

__all__ = ["GrantingLostError", "ShardMapRecord"]

# Delay before a failed call to the store is repeated.
RETRY_DELAY_S = 0.2
# Interval between reads of a map that cannot be read, which someone has to mend.
UNREADABLE_RETRY_S = 1.0


class GrantingLostError(Exception):
    """Another daemon is the granter now."""


class ShardMapRecord:
    """Write the map only if the stored revision is the one that was last read or written.

    A store that came back from an older copy gives out revisions again, so nothing is written by
    what was read in an earlier era. `guards` are keys whose revisions show that the granter's lease
    has not ended; the first write in a new era, of which this daemon does not know yet, fails by
    them.
    """

    def __init__(
        self, service: str, store: Store, log: EventLog, guards: tuple[tuple[str, int], ...] = ()
    ) -> None:
        self.service = service
        # Era of the store in which the map was read.
        self.era: int | None = None
        self._key = SHARDS_PREFIX + service
        self._past_key = PAST_GRANTERS_PREFIX + service
        self._map_era_key = MAP_ERAS_PREFIX + service
        self._store = store
        self._log = log
        self.guards = guards
        self._revision = 0

    async def read(self) -> ShardMap | None:
        """Return the stored map once it can be read, None if absent; raises StoreUnavailableError.

        Owners and fencing tokens are in none but the stored map, so nothing is granted without it.
        Raises MapVersionError if a daemon of a later release can read it.
        """
        logged_revision = 0
        while True:
            item = await self._store.get(self._key)
            self.era = self._store.era
            self._revision = item.revision if item is not None else 0
            if item is None or item.value is None:
                return None
            try:
                return decode_stored_map(self._key, item.value)
            except MapVersionError:
                raise
            except ValueError as error:
                if self._revision != logged_revision:
                    self._log.warning(
                        "stored shard map unreadable, its service is not granted",
                        key=self._key,
                        revision=self._revision,
                        reason=str(error),
                    )
                logged_revision = self._revision
            await asyncio.sleep(UNREADABLE_RETRY_S)

    async def read_past_granters(self) -> PastGranters | None:
        """Return the stored record; None if it is absent or cannot be read."""
        item = await self._store.get(self._past_key)
        if item is None or item.value is None:
            return None
        try:
            return decode_past_granters(item.value)
        except ValueError as error:
            self._log.warning(
                "record of past granters unreadable, waiting for any that may be left",
                key=self._past_key,
                revision=item.revision,
                reason=str(error),
            )
            return None

    async def read_map_era(self) -> int | None:
        """Return the era in which the term of the stored map began.

        None if the era is counted, or the store does not name it: a daemon of an earlier release
        has written the map.
        """
        if self.era is None or self.era <= MAX_COUNTED_ERA:
            return None
        item = await self._store.get(self._map_era_key)
        if item is None or item.value is None:
            return None
        try:
            return decode_map_era(item.value)
        except ValueError as error:
            self._log.warning(
                "era of the shard map unreadable, taken for an earlier one",
                key=self._map_era_key,
                revision=item.revision,
                reason=str(error),
            )
            return None

    async def compare_and_swap(self, new_map: ShardMap, past: PastGranters | None = None) -> bool:
        """Write a map once; return whether the revision matched.

        The first map of a term is written with the record of past granters and, if terms do not
        show it, its era. Raises GrantingLostError if the store has come back from an older copy.
        """
        if self._store.era != self.era:
            raise GrantingLostError
        write = Write(self._key, encode_map(new_map), 0, self._revision, self.guards)
        records = [] if past is None else [Write(self._past_key, encode_past_granters(past))]
        if past is not None and self.era is not None and self.era > MAX_COUNTED_ERA:
            records.append(Write(self._map_era_key, str(self.era).encode()))
        try:
            self._revision = await self._store.write([*records, write])
        except ConflictError:
            return False
        return True

    async def persist(self, new_map: ShardMap) -> None:
        """Write a map, retrying while the store is unavailable; raises GrantingLostError."""
        while True:
            try:
                if await self.compare_and_swap(new_map):
                    return
            except StoreUnavailableError as error:
                self._log.warning(
                    "shard map not stored, retrying",
                    step=error.step,
                    peer=error.peer,
                    reason=error.reason,
                )
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            # An earlier attempt whose response was lost may have been executed.
            await self.confirm_stored(new_map)
            return

    async def confirm_stored(self, stored_map: ShardMap) -> None:
        """Return once the store confirms that it has just this map; raises GrantingLostError."""
        item = await self._get_item()
        if self._store.era != self.era or item is None or item.value != encode_map(stored_map):
            raise GrantingLostError
        self._revision = item.revision

    async def confirm(self, term: int) -> None:
        """Return once the store confirms that `term` is current; raises GrantingLostError."""
        item = await self._get_item()
        if self._store.era != self.era or item is None or item.value is None:
            raise GrantingLostError
        try:
            stored_map = decode_stored_map(self._key, item.value)
        except ValueError as error:
            raise GrantingLostError from error
        if stored_map.term != term:
            raise GrantingLostError

    async def record_end(self, last_map: ShardMap, past: PastGranters) -> None:
        """Record that this term ended cleanly, so that the next granter need not wait for it."""
        try:
            await self.compare_and_swap(replace(last_map, granter=""), past)
        except GrantingLostError:
            self._log.event("end of granting not stored", why="the store was replaced by a copy")
        except StoreUnavailableError as error:
            self._log.warning(
                "end of granting not stored, the next granter waits",
                step=error.step,
                peer=error.peer,
                reason=error.reason,
            )

    async def _get_item(self) -> Item | None:
        while True:
            try:
                return await self._store.get(self._key)
            except StoreUnavailableError as error:
                self._log.warning(
                    "shard map not read, retrying",
                    step=error.step,
                    peer=error.peer,
                    reason=error.reason,
                )
                await asyncio.sleep(RETRY_DELAY_S)

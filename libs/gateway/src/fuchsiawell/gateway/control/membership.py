"""Tell the other daemons, through the store, that this one is here."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.store_keys import DAEMONS_PREFIX, encode_peer
from fuchsiawell.gateway.ports import LeaseEndedError, StoreUnavailableError, Write

if TYPE_CHECKING:
    from fuchsiawell.gateway.ports import Store
    from fuchsiawell.gateway.session.state import Session

__all__ = ["Membership"]

# A daemon that is gone is forgotten after this time. Nothing waits for it: hubs and granters that
# fell silent are noticed by those that need them, and a retry share too small is safe.
LEASE_LIFE = timedelta(seconds=9)
KEEP_S = 3.0
RETRY_S = 0.5


class Membership:
    """Hold this daemon's entry under a lease."""

    def __init__(self, session: Session, store: Store) -> None:
        self._session = session
        self._store = store
        self._lease: int | None = None

    async def run(self) -> None:
        """Enter and keep the entry for ever."""
        while True:
            try:
                if self._lease is None:
                    await self._enter()
                else:
                    await self._store.keep_lease(self._lease)
                await asyncio.sleep(KEEP_S)
            except LeaseEndedError:
                self._session.log.event("daemon entry lapsed")
                self._lease = None
            except StoreUnavailableError as error:
                self._session.metrics.count("store_failures", error.step)
                await asyncio.sleep(RETRY_S * self._session.random.uniform(0.7, 1.3))

    async def leave(self, limit_s: float) -> None:
        """Take the entry away before a planned stop, within `limit_s` seconds."""
        if self._lease is None:
            return
        try:
            async with asyncio.timeout(limit_s):
                await self._store.end_lease(self._lease)
        except TimeoutError:
            self._session.log.warning(
                "daemon entry left to lapse", step="end lease", peer="store", reason="no time left"
            )
        except StoreUnavailableError as error:
            self._session.log.warning(
                "daemon entry left to lapse", step=error.step, peer=error.peer, reason=error.reason
            )

    async def _enter(self) -> None:
        settings = self._session.settings
        lease = await self._store.open_lease(LEASE_LIFE)
        me = self._session.me
        key = DAEMONS_PREFIX + settings.daemon
        await self._store.write([Write(key, encode_peer(me), lease)])
        self._lease = lease

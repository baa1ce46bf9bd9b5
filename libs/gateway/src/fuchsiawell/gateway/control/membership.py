"""Register this daemon in the store, so that the other daemons find it."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from datetime import timedelta
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.store_keys import DAEMONS_PREFIX, encode_peer
from fuchsiawell.gateway.ports import LeaseLostError, StoreUnavailableError, Write

if TYPE_CHECKING:
    from fuchsiawell.gateway.ports import Store
    from fuchsiawell.gateway.session.state import Session

__all__ = ["Membership"]

# The entry of a lost daemon expires after this time. Nothing waits for that: daemons that need a
# hub or granter detect its loss themselves, and too small a share of the retry budget is safe.
LEASE_TTL = timedelta(seconds=9)
LEASE_RENEWAL_S = 3.0
RETRY_DELAY_S = 0.5
# Registrations of all daemons after the store came back from an older copy; each makes two calls.
REGISTRATIONS_PER_S = 65.0


class Membership:
    """Maintain this daemon's entry, which is written under a lease."""

    def __init__(self, session: Session, store: Store) -> None:
        self._session = session
        self._store = store
        self._lease_id: int | None = None
        # Era of the store that gave the lease.
        self._lease_era: int | None = None
        self._era_changed = asyncio.Event()

    def on_new_era(self) -> None:
        """Write the entry again soon: the store came back from an older copy."""
        self._era_changed.set()

    async def run(self) -> None:
        """Write the entry and renew its lease until cancelled."""
        while True:
            try:
                if self._lease_id is not None and self._store.era != self._lease_era:
                    self._lease_id = None
                    await asyncio.sleep(self._registration_delay_s())
                self._era_changed.clear()
                if self._lease_id is None:
                    await self._register()
                else:
                    await self._store.renew_lease(self._lease_id)
                with suppress(TimeoutError):
                    async with asyncio.timeout(LEASE_RENEWAL_S):
                        await self._era_changed.wait()
            except LeaseLostError:
                self._session.log.event("daemon entry lapsed")
                self._lease_id = None
            except StoreUnavailableError as error:
                self._session.metrics.count("store_failures", error.step)
                await asyncio.sleep(RETRY_DELAY_S * self._session.random.uniform(0.7, 1.3))

    async def leave(self, timeout_s: float) -> None:
        """Remove the entry before a planned stop; give up after `timeout_s`."""
        if self._lease_id is None or self._store.era != self._lease_era:
            # The id of a lease of an earlier era may be another daemon's by now.
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._store.revoke_lease(self._lease_id)
        except TimeoutError:
            self._session.log.warning(
                "daemon entry not removed, it will expire",
                step="end lease",
                peer="store",
                reason="timed out",
            )
        except StoreUnavailableError as error:
            self._session.log.warning(
                "daemon entry not removed, it will expire",
                step=error.step,
                peer=error.peer,
                reason=error.reason,
            )

    async def _register(self) -> None:
        settings = self._session.settings
        lease_id = await self._store.open_lease(LEASE_TTL)
        self._lease_era = self._store.era
        local_peer = self._session.local_peer
        key = DAEMONS_PREFIX + settings.daemon
        await self._store.write([Write(key, encode_peer(local_peer), lease_id)])
        self._lease_id = lease_id

    def _registration_delay_s(self) -> float:
        """Return a random delay, so that not all daemons call a restored store at once."""
        longest_s = min(LEASE_RENEWAL_S, self._session.daemon_count / REGISTRATIONS_PER_S)
        return longest_s * self._session.random.random()

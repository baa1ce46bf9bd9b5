"""Bring the store back from older copies, while all else goes on."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.store_keys import OWN_PREFIX
from fuchsiawell.soak.site import CONFIGURATION_KEY

if TYPE_CHECKING:
    from random import Random

    from fuchsiawell.gateway.ports import Item
    from fuchsiawell.soak.faults import Faults
    from fuchsiawell.soak.site import SoakSite
    from fuchsiawell.standins import StoreCopy

__all__ = ["StoreRollbacks"]

COPY_INTERVAL_S = 0.2
# Age of the copy, the time for which the store is away, and the time until the operator and the
# servers have written again what the copy lacks.
COPY_AGE_S, AWAY_S, REWRITE_S = (0.2, 4.0), (0.05, 1.0), 1.0
# Part of these times in which daemons are restarted.
RESTART_RATIO = 0.4
# Time between two of them.
PAUSE_S = (3.0, 9.0)


class StoreRollbacks:
    """Keep copies of the store and put one in its place now and then."""

    def __init__(self, site: SoakSite, faults: Faults) -> None:
        self._site = site
        self._faults = faults
        self._copies: list[StoreCopy] = []
        self._restarts: list[asyncio.Task[None]] = []

    async def run(self, random: Random, restarts: Random) -> None:
        """Come back from older copies until cancelled; ends with all written again.

        In some of these times daemons are restarted, as `restarts` says.
        """
        try:
            while True:
                pause_s = random.uniform(*PAUSE_S)
                for _ in range(round(pause_s / COPY_INTERVAL_S)):
                    await asyncio.sleep(COPY_INTERVAL_S)
                    self._copies = [*self._copies, self._site.store.copy()][-20:]
                await self._roll_back(random, restarts)
        finally:
            await asyncio.gather(*self._restarts)

    async def _roll_back(self, random: Random, restarts: Random) -> None:
        site, store = self._site, self._site.store
        started_s = site.clock.monotonic()
        copies = round(random.uniform(*COPY_AGE_S) / COPY_INTERVAL_S)
        copy = self._copies[max(0, len(self._copies) - 1 - copies)]
        store.unavailable = True
        if restarts.random() < RESTART_RATIO:
            restart = self._faults.restart_daemons(restarts)
            self._restarts.append(asyncio.create_task(restart))
        try:
            await asyncio.sleep(random.uniform(*AWAY_S))
        finally:
            store.unavailable = False
            site.contact.record_disturbance(None, started_s, site.clock.monotonic())
        known = {key: i for key, i in store.items.items() if not key.startswith(OWN_PREFIX)}
        store.restore(copy)
        self._copies.clear()
        site.removed_keys.clear()
        restored_at = store.revision
        if known.get(CONFIGURATION_KEY) != copy.items.get(CONFIGURATION_KEY):
            site.version_audit.record_lost(started_s, site.clock.monotonic())
        keys = [key for key in {*known, *copy.items} if not key.startswith(OWN_PREFIX)]
        changed = [key for key in sorted(keys) if known.get(key) != copy.items.get(key)]
        try:
            for key in random.sample(changed, len(changed)):
                await asyncio.sleep(random.uniform(0.0, REWRITE_S / len(changed)))
                self._write_again(key, known.get(key), restored_at)
        finally:
            for key in changed:
                self._write_again(key, known.get(key), restored_at)
            site.evacuation_audit.record_disturbance(None, started_s, site.clock.monotonic())

    def _write_again(self, key: str, item: Item | None, restored_at: int) -> None:
        """Write or remove a key as its writer last did, unless that has done so again."""
        store = self._site.store
        current = store.items.get(key)
        if current is not None and current.revision > restored_at:
            return
        if item is None or item.value is None or key in self._site.removed_keys:
            store.remove(key)
        elif current is None or current.value != item.value:
            store.put(key, item.value)
            if key == CONFIGURATION_KEY:
                now_s = self._site.clock.monotonic()
                self._site.version_audit.record_written(self._site.version, now_s)

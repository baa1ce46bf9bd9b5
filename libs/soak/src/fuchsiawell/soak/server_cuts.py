"""Cuts of daemons from all servers: one, several, or all but one at once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.soak.proxy import CutMode

if TYPE_CHECKING:
    from random import Random

    from fuchsiawell.soak.site import SoakSite

__all__ = ["ServerCuts"]


class ServerCuts:
    """Cut daemons off for some seconds; one daemon at least is never cut."""

    def __init__(self, site: SoakSite) -> None:
        self._site = site

    async def run(self, random: Random) -> None:
        """Cut daemons in series, until cancelled; the cuts overlap."""
        site = self._site
        async with asyncio.TaskGroup() as cuts:
            while True:
                await asyncio.sleep(random.uniform(0.5, 3.0))
                names = [d.name for d in site.daemons if d.name not in site.cut_modes]
                if len(names) < 2:
                    continue
                cuts.create_task(self._cut(_choose_modes(names, random), random.uniform(5.0, 10.0)))
                await asyncio.sleep(0)

    async def cut_alone(self, random: Random) -> None:
        """Cut daemons off once, with no other fault at the same time."""
        modes = _choose_modes([daemon.name for daemon in self._site.daemons], random)
        await self._cut(modes, random.uniform(6.0, 7.0), alone=True)

    async def _cut(self, modes: dict[str, CutMode], duration_s: float, alone: bool = False) -> None:
        site = self._site
        started_s = site.clock.monotonic()
        try:
            for name, mode in modes.items():
                site.cut_from_servers(name, mode)
            await asyncio.sleep(duration_s)
        finally:
            ended_s = site.clock.monotonic()
            site.recover_audit.record_cut(set(modes), started_s, ended_s, alone)
            for name in modes:
                await site.reconnect_to_servers(name)
                site.limit_audit.record_disturbance(name, started_s, ended_s)
                site.rest_audit.record_disturbance(name, started_s, ended_s)


def _choose_modes(names: list[str], random: Random) -> dict[str, CutMode]:
    """Choose one, several, or all but one of the daemons, and how each is cut off."""
    count = random.choice((1, random.randrange(1, len(names)), len(names) - 1))
    return {name: random.choice(list(CutMode)) for name in random.sample(names, count)}

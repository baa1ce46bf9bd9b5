"""One soak of a seed: a site, clients, faults, then calm, then the verdict."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from fuchsiawell.soak.clients import Clients
from fuchsiawell.soak.daemons import PROGRAM
from fuchsiawell.soak.faults import FAULTS, Faults
from fuchsiawell.soak.site import SoakSite

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["Size", "Verdict", "soak"]

# After the last fault, every daemon must serve every region of keys again within this time, in
# seconds. Far above the few seconds it takes: the verdict must not depend on the machine's speed.
RECOVERY_S = 90.0
PROBED_KEYS = range(0, 65536, 4096)


@dataclass(frozen=True)
class Size:
    """How large a soak is."""

    servers: int = 5
    daemons: int = 3
    clients: int = 12
    faults: int = 14
    gap_s: float = 0.8
    program: tuple[str, ...] = PROGRAM


@dataclass(frozen=True)
class Verdict:
    """What one seed showed."""

    seed: int
    broken: tuple[str, ...]
    statuses: dict[int, int]
    faults: tuple[str, ...]


async def soak(seed: int, folder: Path, size: Size) -> Verdict:
    """Run one seed; logs of the daemons stay in `folder`."""
    random = Random(seed)
    site = SoakSite(folder, random)
    told: list[str] = []
    try:
        await site.start(size.servers, size.daemons, size.program)
        clients = Clients(site.daemons, site.promises, Random(seed + 1))
        load = asyncio.create_task(clients.run(size.clients, 0.02))
        faults = Faults(site)
        running: list[asyncio.Task[None]] = []
        for _ in range(size.faults):
            await asyncio.sleep(size.gap_s * random.uniform(0.2, 1.8))
            fault = random.choice(FAULTS)
            told.append(fault.__name__)
            running.append(asyncio.ensure_future(fault(faults)))
        await asyncio.gather(*running)
        site.calm()
        await _recover(site, clients)
        clients.stop()
        await load
    finally:
        await site.stop()
    broken = tuple(site.promises.conclude())
    return Verdict(seed, broken, dict(site.promises.statuses), tuple(told))


async def _recover(site: SoakSite, clients: Clients) -> None:
    waiting = [(daemon, key) for daemon in site.daemons for key in PROBED_KEYS]
    try:
        async with asyncio.timeout(RECOVERY_S):
            while waiting:
                daemon, key = waiting[0]
                if (await clients.ask(daemon, key)).status == 200:
                    waiting.pop(0)
                else:
                    await asyncio.sleep(0.1)
    except TimeoutError:
        daemon, key = waiting[0]
        site.promises.broken.append(f"{daemon.name} does not serve key {key} again")

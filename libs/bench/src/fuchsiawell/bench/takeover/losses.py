"""Time out of service after a loss, in virtual time on the world of the fault matrix."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random
from statistics import median
from typing import TYPE_CHECKING

from fuchsiawell.bench.faults.world import CHECKED, World
from fuchsiawell.bench.measurement import Measurement
from fuchsiawell.bench.once.virtual import LoopClock, run_virtual
from fuchsiawell.core import DaemonId, ServerId

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

__all__ = ["measure_losses"]

SEEDS = 10
TARGET_S = 3.0
WARM_UP_S = 5.0
PHASE_S = 0.2  # the loss comes at any phase of the heartbeats
AFTER_S = 8.0
REST_S = 10.0
STORE_DELAYS_S = {"store_up": 0.001, "store_slow": 0.3}
LOST_ZONE = "saweni"


@dataclass(frozen=True, slots=True)
class _Run:
    out_of_service_s: float
    writes: int


async def _lose_daemon(world: World) -> None:
    await world.daemons[DaemonId("d1")].kill()


async def _lose_server(world: World) -> None:
    world.servers[ServerId("p1")].kill()


async def _lose_zone(world: World) -> None:
    for daemon in world.daemons.values():
        if daemon.zone == LOST_ZONE:
            await daemon.kill()
    for server in world.servers.values():
        if server.zone == LOST_ZONE:
            server.kill()


LOSSES: dict[str, Callable[[World], Awaitable[None]]] = {
    "daemon": _lose_daemon,
    "server": _lose_server,
    "zone": _lose_zone,
}


def measure_losses() -> Iterator[Measurement]:
    """Yield the time without an answer for any key, and the store writes of each loss."""
    for store, delay_s in STORE_DELAYS_S.items():
        for name, lose in LOSSES.items():
            runs = [run_virtual(_lose(seed, lose, delay_s)) for seed in range(SEEDS)]
            gaps = [run.out_of_service_s for run in runs]
            prefix = f"takeover/{name}/{store}"
            yield Measurement(f"{prefix}/takeover_s/median", median(gaps), "s", TARGET_S, SEEDS)
            yield Measurement(f"{prefix}/takeover_s/worst", max(gaps), "s", TARGET_S, SEEDS)
            writes = max(run.writes for run in runs)
            yield Measurement(f"{prefix}/store_writes/worst", writes, "writes", None, SEEDS)
    rest = run_virtual(_rest())
    yield Measurement("takeover/rest/store_writes_per_s", rest, "1/s", None, 1)


async def _started(seed: int) -> World:
    world = World(LoopClock(), Random(seed))
    await world.start()
    await asyncio.sleep(WARM_UP_S + PHASE_S * seed / SEEDS)
    return world


async def _lose(seed: int, lose: Callable[[World], Awaitable[None]], delay_s: float) -> _Run:
    world = await _started(seed)
    world.parts.store.delay_s = delay_s
    began_s, writes = world.clock.monotonic(), world.writes
    await lose(world)
    await asyncio.sleep(AFTER_S)
    gap_s = world.callers.gap_s(CHECKED, began_s, world.clock.monotonic())
    found = _Run(gap_s, world.writes - writes)
    await world.stop()
    return found


async def _rest() -> float:
    world = await _started(0)
    writes = world.writes
    await asyncio.sleep(REST_S)
    found = (world.writes - writes) / REST_S
    await world.stop()
    return found

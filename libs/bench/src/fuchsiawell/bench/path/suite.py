"""Measure the path with real processes on the loopback address."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING

from fuchsiawell.bench.measurement import Measurement
from fuchsiawell.bench.path.callers import Load, drive
from fuchsiawell.bench.path.cpu import cpu_s, resident_bytes
from fuchsiawell.core import FuchsiawellError
from fuchsiawell.standins.demo.site import ServiceShape, Site, SiteShape
from fuchsiawell.standins.process import ProcessGroup, free_port

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiawell.standins.process import ManagedProcess

__all__ = ["run"]

SHAPE = SiteShape(
    zones=("lautoka", "saweni", "vuda"), daemons=3, services=(ServiceShape("penwatch", 12),)
)
CONFIGURATION = Path("examples/viti-west/configuration.json")
TARGETS = [f"/penwatch/pen-status/pen-{n}" for n in range(48)]
CALLERS = 24
WARM_UP_REQUESTS = 1_200
REQUESTS = 12_000
READY_TIMEOUT_S = 30.0
REST_S = 5.0
US_PER_S = 1_000_000
BYTES_PER_MB = 1_000_000


@dataclass(frozen=True, slots=True)
class _Cost:
    load: Load
    cpu_s: float

    @property
    def cpu_us(self) -> float:
        return self.cpu_s / self.load.requests * US_PER_S


def run() -> Iterator[Measurement]:
    """Yield the cost of a request over all daemons on its path, and at rest."""
    with TemporaryDirectory(prefix="fuchsiawell-bench-") as name, ProcessGroup(Path(name)) as group:
        yield from asyncio.run(_measure(group, Path(name)))


async def _measure(group: ProcessGroup, directory: Path) -> list[Measurement]:
    bare = await _bare(group)
    site = Site(SHAPE, group, directory, CONFIGURATION)
    await site.start()
    daemons = [daemon.process for daemon in site.daemons if daemon.process is not None]
    addresses = [daemon.door.caller_address for daemon in site.daemons]
    await _until_served(addresses)
    path = await _cost(daemons, addresses)
    rest_s = await _rest(daemons)
    memory = max(resident_bytes(daemon.pid) for daemon in daemons) / BYTES_PER_MB
    n = path.load.requests
    return [
        Measurement("path/cpu_us_per_request", path.cpu_us, "us", bare.cpu_us, n),
        Measurement("path/cpu_ratio", path.cpu_us / bare.cpu_us, "times", 1.0, n),
        Measurement("path/p50_ms", path.load.wait_ms(50), "ms", bare.load.wait_ms(50), n),
        Measurement("path/p99_ms", path.load.wait_ms(99), "ms", bare.load.wait_ms(99), n),
        Measurement("path/requests_per_s", n / path.load.seconds, "1/s", n / bare.load.seconds, n),
        Measurement("path/rest_cpu_percent", rest_s / REST_S * 100, "%", None, len(daemons)),
        Measurement("path/resident_mb", memory, "MB", None, len(daemons)),
    ]


async def _bare(group: ProcessGroup) -> _Cost:
    port = free_port()
    arguments = ["--port", str(port)]
    process = group.start_module("bare", "fuchsiawell.bench.path.bare", arguments, port)
    await process.wait_until_ready()
    return await _cost([process], [process.address])


async def _cost(processes: list[ManagedProcess], addresses: list[str]) -> _Cost:
    await drive(addresses, TARGETS, CALLERS, WARM_UP_REQUESTS)
    before_s = sum(cpu_s(process.pid) for process in processes)
    load = await drive(addresses, TARGETS, CALLERS, REQUESTS)
    return _Cost(load, sum(cpu_s(process.pid) for process in processes) - before_s)


async def _until_served(addresses: list[str]) -> None:
    """Wait until every key of the measurement has an owner; fail with the last refusal."""
    give_up_at_s = time.monotonic() + READY_TIMEOUT_S
    while True:
        try:
            for address in addresses:
                await drive([address], TARGETS, len(TARGETS), len(TARGETS))
        except (OSError, FuchsiawellError):
            if time.monotonic() > give_up_at_s:
                raise
            await asyncio.sleep(0.1)
        else:
            return


async def _rest(processes: list[ManagedProcess]) -> float:
    """Return the processor seconds of the busiest process while nobody calls."""
    before_s = [cpu_s(process.pid) for process in processes]
    await asyncio.sleep(REST_S)
    return max(
        cpu_s(process.pid) - before for process, before in zip(processes, before_s, strict=True)
    )

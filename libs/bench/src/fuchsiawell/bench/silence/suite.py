"""Let the open connections to a host go silent under load, on the loopback address."""

from __future__ import annotations

import asyncio
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING

from fuchsiawell.bench.measurement import Measurement
from fuchsiawell.bench.silence.load import ConstantLoad, Request
from fuchsiawell.bench.silence.relayed_site import RelayedSite
from fuchsiawell.core import FuchsiawellError
from fuchsiawell.standins.demo.site import ServiceShape, SiteShape
from fuchsiawell.standins.process import ProcessGroup

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["run"]

SHAPE = SiteShape(
    zones=("lautoka", "saweni", "vuda"), daemons=3, services=(ServiceShape("penwatch", 3),)
)
CONFIGURATION = Path("examples/viti-west/configuration.json")
TARGETS = [f"/penwatch/pen-status/pen-{n}" for n in range(24)]
TARGET_S = 3.0
READY_TIMEOUT_S = 30.0
CALM_S = 2.0
AFTER_S = 7.0
DISTURBED_S = 0.5  # an answer that took longer counts as not flowing yet


@dataclass(frozen=True, slots=True)
class _Run:
    recovery_s: float
    not_answered: int


def run() -> Iterator[Measurement]:
    """Yield the slowest recovery, and the requests not answered in all runs together."""
    with TemporaryDirectory(prefix="fuchsiawell-bench-") as name, ProcessGroup(Path(name)) as group:
        site = RelayedSite(SHAPE, group, Path(name), CONFIGURATION)
        runs = asyncio.run(_measure(site))
    for kind, found in runs.items():
        recovery_s = max(run.recovery_s for run in found)
        lost = sum(run.not_answered for run in found)
        n = len(found)
        yield Measurement(f"silence/{kind}_recovery_s", recovery_s, "s", TARGET_S, n)
        yield Measurement(f"silence/{kind}_not_answered", lost, "requests", None, n)


async def _measure(site: RelayedSite) -> dict[str, list[_Run]]:
    async with AsyncExitStack() as stack:
        await site.open_relays(stack)
        await site.start()
        load = ConstantLoad([daemon.door.caller_address for daemon in site.daemons], TARGETS)
        running = asyncio.create_task(load.run())
        try:
            servers = [await _silence(site, load, backend.id) for backend in site.backends]
            peers = [await _silence(site, load, daemon.id) for daemon in site.daemons]
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
    return {"server": servers, "peer": peers}


async def _silence(site: RelayedSite, load: ConstantLoad, id: str) -> _Run:
    """Silence what is open to a host; a server's keys are those that it answered just before."""
    calm = await _calm(load)
    keys = {request.target for request in calm if request.server == id}
    if id in {daemon.id for daemon in site.daemons}:
        keys = set(TARGETS)
    if not keys or not site.relays[id].open:
        raise FuchsiawellError("silence", id, "has no keys or no connections")
    began_s = time.monotonic()
    site.relays[id].silence_open()
    await asyncio.sleep(AFTER_S)
    after = [one for one in load.requests if one.target in keys and one.ended_s > began_s]
    disturbed = [one for one in after if _is_disturbed(one)]
    recovery_s = max((one.ended_s - began_s for one in disturbed), default=0.0)
    return _Run(recovery_s, sum(one.status != 200 for one in disturbed))


def _is_disturbed(request: Request) -> bool:
    return request.status != 200 or request.ended_s - request.sent_s > DISTURBED_S


async def _calm(load: ConstantLoad) -> list[Request]:
    """Wait until every key has been answered without disturbance for a while."""
    give_up_at_s = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < give_up_at_s:
        load.requests.clear()
        await asyncio.sleep(CALM_S)
        seen = {request.target for request in load.requests}
        if len(seen) == len(TARGETS) and not any(map(_is_disturbed, load.requests)):
            return list(load.requests)
    raise FuchsiawellError("silence", "load", f"not calm in {READY_TIMEOUT_S} s")

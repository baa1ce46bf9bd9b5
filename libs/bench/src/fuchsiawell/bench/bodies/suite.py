"""Pass long bodies through real processes on the loopback address."""

from __future__ import annotations

import asyncio
import hashlib
import json
import time
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING

from fuchsiawell.bench.bodies.exchange import BodyError, exchange
from fuchsiawell.bench.measurement import Measurement
from fuchsiawell.bench.path.cpu import resident_bytes
from fuchsiawell.standins.demo.site import ServiceShape, Site, SiteShape
from fuchsiawell.standins.process import ProcessGroup

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

__all__ = ["run"]

SHAPE = SiteShape(
    zones=("lautoka", "saweni", "vuda"), daemons=3, services=(ServiceShape("reelhouse", 3),)
)
CONFIGURATION = Path("examples/viti-west/configuration.json")
BYTES_PER_MB = 1_000_000
BODY_BYTES = 200 * BYTES_PER_MB
BLOCK_BYTES = 50_000
TARGET_GROWTH_MB = 16.0
PAUSE_S = 2.0  # longer than a whole body takes where nothing holds it back
READY_TIMEOUT_S = 30.0
SAMPLE_S = 0.02
TOKEN = "reel"
BLOCK = Random(1).randbytes(BLOCK_BYTES)


@dataclass(frozen=True, slots=True)
class _Cost:
    growth_mb: float
    mb_per_s: float


def run() -> Iterator[Measurement]:
    """Yield a daemon's greatest growth and the slowest passage, one key through each daemon."""
    for name, passage in (("upload", _upload), ("download", _download)):
        cost, n = _on_new_site(passage)
        yield Measurement(f"bodies/{name}_growth_mb", cost.growth_mb, "MB", TARGET_GROWTH_MB, n)
        yield Measurement(f"bodies/{name}_mb_per_s", cost.mb_per_s, "MB/s", None, n)
    cost, n = _on_new_site(partial(_download, pause_s=PAUSE_S))
    name = "bodies/paused_download_growth_mb"
    yield Measurement(name, cost.growth_mb, "MB", TARGET_GROWTH_MB, n)


def _on_new_site(passage: Callable[[str, int], Awaitable[float]]) -> tuple[_Cost, int]:
    with TemporaryDirectory(prefix="fuchsiawell-bench-") as name, ProcessGroup(Path(name)) as group:
        site = Site(SHAPE, group, Path(name), CONFIGURATION)
        return asyncio.run(_measure(site, passage)), len(site.daemons)


async def _measure(site: Site, passage: Callable[[str, int], Awaitable[float]]) -> _Cost:
    await site.start()
    pids = [daemon.process.pid for daemon in site.daemons if daemon.process is not None]
    addresses = [daemon.door.caller_address for daemon in site.daemons]
    for address in addresses:
        await _until_passed(passage, address)
    before = [resident_bytes(pid) for pid in pids]
    costs = [await _cost(pids, before, passage(address, BODY_BYTES)) for address in addresses]
    return _Cost(max(cost.growth_mb for cost in costs), min(cost.mb_per_s for cost in costs))


async def _upload(address: str, size: int) -> float:
    """Return the seconds that it took."""
    blocks = size // BLOCK_BYTES
    fields = {"content-length": str(size)}
    body = (BLOCK for _ in range(blocks))
    answer = await exchange(address, "POST /reelhouse/clip-upload/reel-0", fields, body)
    if answer.status != 200:
        raise BodyError("upload", address, f"answer {answer.status}: {answer.start[:200]!r}")
    told = json.loads(answer.start)
    if (told["body_bytes"], told["digest"]) != (size, _digest(BLOCK, size)):
        raise BodyError("upload", address, f"{told['body_bytes']} bytes, {told['digest']}")
    return answer.taken_s


async def _download(address: str, size: int, pause_s: float = 0.0) -> float:
    """Return the seconds that it took."""
    fields = {"standin-token": TOKEN, "standin-answer-bytes": str(size)}
    target = "GET /reelhouse/clip/reel-0"
    answer = await exchange(address, target, fields, pause_s=pause_s)
    if answer.status != 200:
        raise BodyError("download", address, f"answer {answer.status}: {answer.start[:200]!r}")
    unit = hashlib.sha256(TOKEN.encode()).digest()
    if (answer.size, answer.digest) != (size, _digest(unit, size)):
        raise BodyError("download", address, f"{answer.size} bytes, {answer.digest}")
    return answer.taken_s


def _digest(unit: bytes, size: int) -> str:
    """Return the digest of `unit` repeated up to `size` bytes."""
    whole, rest = divmod(size, len(unit))
    digest = hashlib.sha256()
    for _ in range(whole):
        digest.update(unit)
    digest.update(unit[:rest])
    return digest.hexdigest()


async def _until_passed(passage: Callable[[str, int], Awaitable[float]], address: str) -> None:
    """Wait until the key has an owner; fail with the last refusal."""
    give_up_at_s = time.monotonic() + READY_TIMEOUT_S
    while True:
        try:
            await passage(address, BLOCK_BYTES)
        except (OSError, BodyError):
            if time.monotonic() > give_up_at_s:
                raise
            await asyncio.sleep(0.1)
        else:
            return


async def _cost(pids: list[int], before: list[int], passage: Awaitable[float]) -> _Cost:
    passing = asyncio.ensure_future(passage)
    growth = 0
    while not passing.done():
        await asyncio.wait([passing], timeout=SAMPLE_S)
        now = [resident_bytes(pid) for pid in pids]
        growth = max(growth, *(a - b for a, b in zip(now, before, strict=True)))
    return _Cost(growth / BYTES_PER_MB, BODY_BYTES / BYTES_PER_MB / await passing)

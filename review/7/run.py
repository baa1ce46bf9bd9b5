"""Two servers hold the same keys after a drill in which the daemon that grants keys is killed."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins2.ownership import overlaps  # noqa: E402
from standins2.site import Daemon, Site, operator_config, route, service  # noqa: E402

if TYPE_CHECKING:
    from standins2.backend import Backend

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DAEMONS, SERVERS, CLIENTS = 5, 8, 20
AWAY_S, COPY_AGE_S, MOVE_TIMEOUT_S = 0.1, 2.0, 20.0
# Rule OWNER: "hold the same keys for over half a second, with requests or without".
MAX_OVERLAP_S = 0.5
GRANTER_KEY = "fuchsiawell/granter"


class Clients:
    """Send requests, nearly half of them for 200 keys that change each two seconds."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._random = random.Random(7)
        self._started_s = time.monotonic()
        self.stop = asyncio.Event()

    def _key(self) -> int:
        if self._random.random() < 0.45:
            period = int((time.monotonic() - self._started_s) / 2.0)
            return (period * 20011 + self._random.randrange(200)) % 65536
        return self._random.randrange(65536)

    async def run(self, number: int) -> None:
        daemon = self._site.daemons[number % DAEMONS]
        while not self.stop.is_set():
            await self._site.send(daemon, "/pen/1", key=self._key())
            await asyncio.sleep(0.005)


def granter_of(site: Site) -> Daemon:
    item = site.store.items[GRANTER_KEY]
    return next(d for d in site.daemons if item.value == d.name.encode())


async def next_move(site: Site) -> None:
    """Wait until a server has applied the grant of keys that another one has just released.

    The grant is not answered yet: servers run in this process.
    """
    moved = asyncio.Event()
    released: list[tuple[str, int, int]] = []
    record = site.record

    def watch(what: str, **fields: object) -> None:
        record(what, **fields)
        if what not in ("granted", "released"):
            return
        server, first, last = str(fields["server"]), int(str(fields["first"])), fields["last"]
        if what == "released":
            released.append((server, first, int(str(last))))
        elif any(s != server and (f, t) == (first, last) for s, f, t in released):
            if not moved.is_set() and TROUBLE:
                granter = granter_of(site)
                granter.signal(signal.SIGKILL)
                record("granter killed", daemon=granter.name)
            moved.set()

    servers: list[Backend] = list(site.servers.values())
    for server in servers:
        server.record = watch
    async with asyncio.timeout(MOVE_TIMEOUT_S):
        await moved.wait()


async def play(site: Site) -> None:
    config = operator_config(
        7, [route("r-1", "/pen/", "safe", "penwatch")], [service("penwatch", sharded=True)]
    )
    await site.start(DAEMONS, config)
    for number in range(SERVERS):
        zone = f"z{number % 2}"
        await site.add_server(
            f"i-{number}", "penwatch", zone=zone, sharded=True, work_s=0.06, slots=2
        )
    for daemon in site.daemons:
        await daemon.wait_ready()
    clients = Clients(site)
    running = [asyncio.create_task(clients.run(n)) for n in range(CLIENTS)]
    await asyncio.sleep(6.0)
    copy = site.store.copy()
    site.record("copy", revision=copy[0])
    await asyncio.sleep(COPY_AGE_S)
    await next_move(site)
    if TROUBLE:
        site.store.away = True
        site.store.reset_connections()
        site.record("away")
        await asyncio.sleep(AWAY_S)
        site.store.roll_back(copy)
        site.store.away = False
        site.record("back", era=site.store.era, revision=site.store.revision)
    await asyncio.sleep(7.0)
    clients.stop.set()
    await asyncio.gather(*running)


def begun_by_both(site: Site, start_s: float, end_s: float, first: int, last: int) -> set[str]:
    """Return the servers that began requests for some keys in a time."""
    return {
        str(fields["server"])
        for at_s, what, fields in site.lines
        if what == "runs" and start_s <= at_s <= end_s and first <= int(str(fields["key"])) <= last
    }


async def main() -> int:
    site = Site(HERE / "record.txt")
    try:
        await play(site)
    except (OSError, TimeoutError) as error:
        print(f"could not run: {error!r}")
        return 2
    finally:
        await site.stop()
    served = sum(answer.status == 200 for _, answer in site.answered.values())
    print(f"{len(site.sent)} requests sent, {served} served")
    if served < 100:
        return 2
    broken = False
    for overlap in overlaps(site.lines):
        start_s, end_s, keys = overlap.start_s, overlap.end_s, (overlap.first, overlap.last)
        print(
            f"keys {keys[0]} to {keys[1]}: {' and '.join(overlap.servers)} held them for "
            f"{overlap.seconds:.3f} s from {start_s:.3f}; requests began at "
            f"{sorted(begun_by_both(site, start_s, end_s, *keys))}"
        )
        broken |= overlap.seconds > MAX_OVERLAP_S
    print("OWNER broken" if broken else "OWNER held")
    return int(broken)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))

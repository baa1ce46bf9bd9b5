"""One run: a cell of daemons and servers, with callers that ask all the time."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from itertools import pairwise
from typing import TYPE_CHECKING, Any

from fuchsiawell.bench.faults.checker import Checker
from fuchsiawell.bench.faults.daemon import CELL, Daemon, WorldParts
from fuchsiawell.bench.faults.server import Server, Work
from fuchsiawell.config import (
    Configuration,
    Goal,
    Kind,
    Service,
    configuration_key,
    encode_configuration,
)
from fuchsiawell.core import DaemonId, NotRunReason, ServerId, ServiceName
from fuchsiawell.ownership import ShardState, assignment_key, decode_assignment, encode_assignment
from fuchsiawell.platform import ABSENT, ENTRY_ROLE, Host, HostState, Revision
from fuchsiawell.standins.backend.grants import Fence
from fuchsiawell.standins.memory_store import MemoryStore

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from random import Random

    from fuchsiawell.core import Clock
    from fuchsiawell.ownership import Assignment
    from fuchsiawell.platform import Record

__all__ = ["CHECKED", "UNCHECKED", "Callers", "World"]

CHECKED = ServiceName("penwatch")
UNCHECKED = ServiceName("reelhouse")
ZONE_BY_DAEMON = {"d0": "lautoka", "d1": "saweni", "d2": "vuda", "d3": "lautoka", "d4": "saweni"}
SERVERS = (
    ("p0", CHECKED, "lautoka"),
    ("p1", CHECKED, "saweni"),
    ("p2", CHECKED, "vuda"),
    ("p3", CHECKED, "saweni"),
    ("r0", UNCHECKED, "lautoka"),
    ("r1", UNCHECKED, "saweni"),
    ("r2", UNCHECKED, "vuda"),
)
SHARD_COUNT = 12
DEADLINE_S = 1.0
KEYS = 4  # of each service
CALLERS = 2  # for each key, so that requests for it overlap
STAGGER_S = 0.07  # between the first requests of two callers, so that they do not keep step
PAUSE_S = 0.06  # of a caller between two requests
SHORT_WORK_S, LONG_WORK_S = 0.02, 0.5
LONG_EVERY = 7  # each so many requests, one is long
RETRY_S = 0.02


@dataclass
class Callers:
    """What callers saw."""

    outcomes: Counter[str] = field(default_factory=Counter)
    answered_s_by_key: dict[str, list[float]] = field(default_factory=dict)

    def gap_s(self, service: str, from_s: float, to_s: float) -> float:
        """Return the longest time without an answer for any key of the service."""
        gaps = [0.0]
        for key, times in self.answered_s_by_key.items():
            if key.startswith(service):
                marks = [from_s, *(t for t in times if from_s <= t <= to_s), to_s]
                gaps += [later - sooner for sooner, later in pairwise(marks)]
        return max(gaps)


class World:
    """Build the cell, run it, and hold what a fault or a step needs to get at."""

    def __init__(self, clock: Clock, random: Random) -> None:
        self.clock = clock
        self.random = random
        self.checker = Checker(name for name, service, _ in SERVERS if service == UNCHECKED)
        self.callers = Callers()
        self.parts = WorldParts(clock, MemoryStore(clock))
        self.parts.store.on_record = self._on_record
        self.daemons = self.parts.daemons
        self.servers = self.parts.servers
        self.made: Assignment | None = None
        self.writes = 0
        self._tasks: list[asyncio.Task[Any]] = []
        for name, service, zone in SERVERS:
            checks = service == CHECKED
            self.servers[ServerId(name)] = Server(name, zone, checks, clock, self.checker)
        for name, zone in ZONE_BY_DAEMON.items():
            self.daemons[DaemonId(name)] = Daemon(name, zone, self.parts)
        self.parts.hosts.shown = self.hosts()

    @property
    def record(self) -> Assignment:
        """Return the assignment that the store holds."""
        assert self.made is not None
        return self.made

    @property
    def controller(self) -> Daemon:
        """Return the daemon that the record names as controller."""
        assert self.record.controller is not None
        return self.daemons[self.record.controller]

    def spawn(self, run: Coroutine[Any, Any, Any]) -> None:
        """Run a task until the end of the run."""
        self._tasks.append(asyncio.create_task(run))

    def hosts(self) -> list[Host]:
        """Return the true list of hosts."""
        entries = [
            Host(id, ENTRY_ROLE, id, zone, HostState.LIVE) for id, zone in ZONE_BY_DAEMON.items()
        ]
        servers = [Host(id, role, id, zone, HostState.LIVE) for id, role, zone in SERVERS]
        return [*entries, *servers]

    async def start(self) -> None:
        """Bring the cell up and begin to call."""
        await self.accept(1)
        for daemon in self.daemons.values():
            daemon.start()
        for service in (CHECKED, UNCHECKED):
            for n in range(KEYS * CALLERS):
                self._tasks.append(asyncio.create_task(self._call_forever(service, n)))

    async def stop(self) -> None:
        """End everything."""
        for task in self._tasks:
            task.cancel()
        for server in self.servers.values():
            server.kill()
            server.resume()
        for daemon in self.daemons.values():
            daemon.resume()
            await daemon.kill()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def accept(self, version: int) -> bool:
        """Put a configuration in force as an operator does; return whether it was taken."""
        key = configuration_key(CELL)
        store = self.parts.store.store
        held = (await store.get(key)).unwrap()
        revision = ABSENT if held is None else held.revision
        made = await store.put(key, _configuration(version), Revision(revision))
        return made.is_ok()

    def serves(self) -> bool:
        """Tell whether every shard has an owner whose leader may send."""
        if self.made is None:
            return False
        for id, shard in self.made.shards_by_id.items():
            server = None if shard.owner is None else self.made.servers_by_id.get(shard.owner)
            if shard.state is not ShardState.ASSIGNED or server is None or server.leader is None:
                return False
            leader = self.daemons.get(server.leader)
            if leader is None or not leader.alive or leader.paused:
                return False
            if isinstance(leader.control.authority.permit(id), NotRunReason):
                return False
        return True

    def _on_record(self, record: Record) -> None:
        if record.key != assignment_key(CELL):
            return
        made = decode_assignment(record.value, record.revision, "store")
        self.made = made
        self.writes += 1
        self.checker.on_write(record, made, self.clock.monotonic())

    def check_held(self) -> None:
        """Check that what live daemons hold was made."""
        for daemon in self.daemons.values():
            held = daemon.state.assignment
            if daemon.alive and held is not None:
                value = encode_assignment(held)
                self.checker.on_held(daemon.name, held.revision, value, self.clock.monotonic())

    async def _call_forever(self, service: ServiceName, caller: int) -> None:
        await asyncio.sleep(caller * STAGGER_S)
        name = f"{caller % KEYS}"
        key = f"{service}/{name}"
        times = self.callers.answered_s_by_key.setdefault(key, [])
        number = 0
        while True:
            number += 1
            work_s = LONG_WORK_S if number % LONG_EVERY == 0 else SHORT_WORK_S
            outcome = await self._request(service, name, work_s)
            self.callers.outcomes[outcome] += 1
            if outcome == "answered":
                times.append(self.clock.monotonic())
            await asyncio.sleep(PAUSE_S)

    async def _request(self, service: ServiceName, name: str, work_s: float) -> str:
        """Ask through any entry that answers, again while it is proved that nothing ran."""
        limit_s = self.clock.monotonic() + DEADLINE_S
        while self.clock.monotonic() < limit_s:
            entry = self.random.choice(list(self.daemons.values()))
            attempt = asyncio.create_task(self._attempt(entry, service, name, work_s, limit_s))
            self._tasks.append(attempt)
            done, _ = await asyncio.wait([attempt], timeout=limit_s - self.clock.monotonic())
            outcome = attempt.result() if done else "unknown"  # a leader may still get to it
            if outcome != "not run":
                return outcome
            await asyncio.sleep(RETRY_S)
        return "not run"

    async def _attempt(
        self, entry: Daemon, service: ServiceName, name: str, work_s: float, limit_s: float
    ) -> str:
        held = entry.state.assignment
        if not entry.alive or entry.paused or held is None:
            return "not run"
        route = held.route(service, name)
        if route is None or route.server is None or route.server.leader is None:
            return "not run"
        leader = self.daemons[route.server.leader]
        if not await self.parts.network.travel(entry, leader):
            return "not run"
        return await self._send(leader, service, name, work_s, limit_s)

    async def _send(
        self, leader: Daemon, service: ServiceName, name: str, work_s: float, limit_s: float
    ) -> str:
        control = leader.control
        held = leader.state.assignment
        shard = None if held is None else held.shard_for(service, name)
        left_s = limit_s - self.clock.monotonic()
        if shard is None or left_s <= 0:
            return "not run"
        fence = control.authority.permit(shard)
        if isinstance(fence, NotRunReason):
            return "not run"
        ticket = control.authority.enter(shard, fence)
        work = Work(f"{service}/{name}", Fence(str(shard), fence.term, fence.epoch), work_s, left_s)
        call = asyncio.create_task(self._exchange(leader, self.servers[fence.server], work))
        self._tasks.append(call)
        done, _ = await asyncio.wait([call], timeout=left_s)
        ended = call.result() if done else "unknown"
        control.authority.leave(ticket, None if ended in ("answered", "refused") else limit_s)
        return {"answered": "answered", "refused": "not run"}.get(ended, "unknown")

    async def _exchange(self, leader: Daemon, server: Server, work: Work) -> str:
        network = self.parts.network
        if not await network.travel(leader, server):
            await asyncio.sleep(DEADLINE_S)
            return "unknown"
        ended = await server.run(work)
        if not await network.travel(server, leader) or ended == "stopped":
            return "unknown"
        return ended


def _configuration(version: int) -> bytes:
    kind = Kind("check", True, DEADLINE_S, 1_000)
    services = {
        name: Service(name, SHARD_COUNT, 4, checks, True, Goal.UNAVAILABLE_TIME)
        for name, checks in ((CHECKED, True), (UNCHECKED, False))
    }
    for service in services.values():
        service.kinds_by_name[kind.name] = kind
    zones = ("lautoka", "saweni", "vuda")
    return encode_configuration(Configuration(version, CELL, "here", zones, services))

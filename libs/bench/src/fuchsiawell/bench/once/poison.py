"""One request that crashes every server that runs it, resent for ever among innocent ones."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from fuchsiawell.bench.once.virtual import LoopClock, run_virtual
from fuchsiawell.bench.once.world import SERVICE
from fuchsiawell.core import ServerId
from fuchsiawell.once import Convicted, Convictions, Isolation, Suspects, suspect_digest
from fuchsiawell.standins.memory_store import MemoryStore

if TYPE_CHECKING:
    from fuchsiawell.once import Flight

__all__ = ["PoisonResult", "run_poison"]

KEYS = 20
SERVERS = 20
MOVED_S = 1.5  # from the loss of a server until another one owns its keys
RUN_S = 120.0
FOUND_S = 0.05  # from a broken connection until the server is found lost


@dataclass(slots=True)
class PoisonResult:
    """Count servers that the poison took and innocent requests that were refused."""

    servers_lost: int = 0
    innocents_refused: int = 0
    innocents_answered: int = 0
    poison_refused: int = 0
    others_lost: int = 0  # servers that died for another cause


@dataclass(slots=True, eq=False)
class _Daemon:
    """One daemon's suspects and the isolation of the servers that it leads."""

    suspects: Suspects
    isolation: Isolation
    convictions: Convictions


@dataclass(slots=True, eq=False)
class _Server:
    id: ServerId
    alive: asyncio.Event = field(default_factory=asyncio.Event)


class Poison:
    """Keys move to the next server and the next daemon whenever their server is lost."""

    def __init__(self, seed: int, with_daemon: bool, other_losses: bool) -> None:
        self._random = Random(seed)
        self._with_daemon = with_daemon
        self._other_losses = other_losses
        self._store = MemoryStore(LoopClock())
        self._daemons = [self._daemon() for _ in range(3)]
        self._leader = 0
        self._owner = 0
        self._down_until_s = 0.0
        self._crashed = asyncio.Event()
        self._poison = suspect_digest(SERVICE, "pen-0", b"poison")
        self.result = PoisonResult()

    async def run(self) -> PoisonResult:
        """Run for a while and return the counts."""
        tasks = [asyncio.create_task(self._innocents(n)) for n in range(KEYS)]
        tasks.append(asyncio.create_task(self._resend_poison()))
        if self._other_losses:
            tasks.append(asyncio.create_task(self._lose_others()))
        await asyncio.sleep(RUN_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return self.result

    def _daemon(self) -> _Daemon:
        clock = LoopClock()
        suspects = Suspects(clock)
        convictions = Convictions(self._store, "convictions", clock, suspects)
        return _Daemon(suspects, Isolation(suspects), convictions)

    async def _innocents(self, number: int) -> None:
        while True:
            await asyncio.sleep(self._random.expovariate(5.0))
            content = f"drop {self._random.randrange(3)}".encode()
            digest = suspect_digest(SERVICE, f"pen-{number}", content)
            await self._ask(digest, number)

    async def _resend_poison(self) -> None:
        await asyncio.sleep(2.0)
        while True:
            await self._ask(self._poison, 0)
            await asyncio.sleep(self._random.uniform(0.0, 0.5))

    async def _ask(self, digest: bytes, number: int) -> None:
        await asyncio.sleep(max(0.0, self._down_until_s - LoopClock().monotonic()))
        daemon, server = self._daemons[self._leader], ServerId(f"s{self._owner}")
        flight = await daemon.isolation.enter(server, digest)
        if isinstance(flight, Convicted):
            self.result.poison_refused += digest == self._poison
            self.result.innocents_refused += digest != self._poison
            return
        await self._run(daemon, flight)

    async def _run(self, daemon: _Daemon, flight: Flight) -> None:
        crashed = self._crashed
        if flight.digest == self._poison:
            await asyncio.sleep(self._random.uniform(0.0, 0.02))
            await self._crash(daemon, flight, poison=True)
            return
        try:
            await asyncio.wait_for(crashed.wait(), self._random.uniform(0.005, 0.03))
        except TimeoutError:
            daemon.isolation.answered(flight)
            self.result.innocents_answered += 1
            return
        daemon.isolation.broke(flight)

    async def _lose_others(self) -> None:
        while True:
            await asyncio.sleep(self._random.uniform(10.0, 30.0))
            if LoopClock().monotonic() > self._down_until_s:
                self.result.others_lost += 1
                await self._crash(self._daemons[self._leader], None, poison=False)

    async def _crash(self, daemon: _Daemon, flight: Flight | None, poison: bool) -> None:
        """Break every connection, then find the server lost and move its keys on."""
        server = ServerId(f"s{self._owner}")
        self.result.servers_lost += poison
        self._down_until_s = LoopClock().monotonic() + MOVED_S
        self._crashed.set()
        self._crashed = asyncio.Event()
        if flight is not None:
            daemon.isolation.broke(flight)
        await asyncio.sleep(FOUND_S)
        report = daemon.isolation.server_lost(server)
        await daemon.convictions.share()
        if self._with_daemon:
            self._daemons[self._leader] = self._daemon()
        else:
            for other in self._daemons:
                if other is not daemon:
                    other.suspects.take(report)
        self._owner = (self._owner + 1) % SERVERS
        self._leader = (self._leader + 1) % len(self._daemons)
        await self._daemons[self._leader].convictions.refresh()


def run_poison(seed: int, *, with_daemon: bool = False, other_losses: bool = False) -> PoisonResult:
    """Run in virtual time; with `with_daemon` the leader is lost with each server."""

    async def main() -> PoisonResult:
        return await Poison(seed, with_daemon, other_losses).run()

    return run_virtual(main())

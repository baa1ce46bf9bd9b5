"""Faults of daemons and of the store, one after another, from a seed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.standins.faults import Fault, Hang, LoseAnswer, LoseRequest, Refuse, Slow

if TYPE_CHECKING:
    from fuchsiawell.bench.once.chaos import Chaos
    from fuchsiawell.bench.once.world import LeaderProcess
    from fuchsiawell.core import ShardId

__all__ = ["FaultInjector"]

DETECTED_S = 1.0  # a lost daemon is replaced after this time
RIGHT_S = 0.7  # a paused daemon finds its right lapsed after this time


class FaultInjector:
    """Crash, pause, hand over and disturb the store until cancelled."""

    def __init__(self, chaos: Chaos) -> None:
        self._chaos = chaos
        self._random = chaos.random
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Inject a fault now and then."""
        faults = [self._crash, self._pause, self._hand_over, self._disturb_store]
        while True:
            await asyncio.sleep(self._random.expovariate(1 / self._chaos.settings.fault_every_s))
            fault = self._random.choice(faults)
            self._chaos.result.faults[fault.__name__.strip("_")] += 1
            task = asyncio.create_task(fault())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _living(self) -> list[LeaderProcess]:
        leaders = dict.fromkeys(self._chaos.leader_by_shard.values())
        return [p for p in leaders if not p.dead and p.right and p.awake.is_set()]

    async def _crash(self) -> None:
        living = self._living()
        if len(living) < 2:
            return
        victim = self._random.choice(living)
        await asyncio.sleep(self._random.uniform(0.0, 0.05))  # at any step of what it is doing
        victim.crash()
        await self._replace(victim)

    async def _pause(self) -> None:
        living = self._living()
        if len(living) < 2:
            return
        victim = self._random.choice(living)
        victim.awake.clear()
        pause_s = self._random.uniform(0.1, 3.0)
        if pause_s < RIGHT_S:
            await asyncio.sleep(pause_s)
            victim.awake.set()
            return
        replacing = asyncio.create_task(self._replace(victim))
        await asyncio.sleep(pause_s)
        victim.right = False
        victim.ledger.close_all()
        victim.awake.set()
        await replacing

    async def _replace(self, lost: LeaderProcess) -> None:
        """Give the shards of a lost process to others, one of them a new process of its daemon."""
        shards = [s for s, p in self._chaos.leader_by_shard.items() if p is lost]
        fresh = self._chaos.start_process(lost.name)
        await asyncio.sleep(DETECTED_S)
        if not lost.dead:
            lost.right = False  # nobody is replaced while it has the right to act
        await fresh.open()
        others = [p for p in self._living() if p is not lost]
        heirs = {shard: self._random.choice([fresh, *others]) for shard in shards}
        await asyncio.gather(*(self._chaos.appoint(heirs[s], s, 0.0) for s in shards))

    async def _hand_over(self) -> None:
        living = self._living()
        if len(living) < 2:
            return
        giver, taker = self._random.sample(living, 2)
        shards = [s for s, p in self._chaos.leader_by_shard.items() if p is giver]
        if not shards:
            return
        shard = self._random.choice(shards)
        await self._give(shard, giver, taker)

    async def _give(self, shard: ShardId, giver: LeaderProcess, taker: LeaderProcess) -> None:
        given = giver.give(shard)
        await asyncio.sleep(self._random.uniform(0.001, 0.05))
        if self._chaos.leader_by_shard.get(shard) is not giver:
            return
        if taker.dead or not taker.right:
            if not giver.dead and giver.right:
                await self._chaos.appoint(giver, shard, 0.0)
            return
        self._chaos.term += 1
        self._chaos.former_by_shard[shard] = giver
        self._chaos.leader_by_shard[shard] = taker
        taker.take(shard, self._chaos.servers[shard.index], self._chaos.term, given)

    async def _disturb_store(self) -> None:
        faults: list[Fault] = [Refuse(), LoseAnswer(), LoseRequest(), Slow(0.2), Hang(0.3)]
        faults.append(Hang(0.3, takes_effect=True))
        self._chaos.plan.set(self._random.choice(faults))
        await asyncio.sleep(self._random.uniform(0.2, 3.0))
        self._chaos.plan.set(Slow(self._chaos.settings.store_s))

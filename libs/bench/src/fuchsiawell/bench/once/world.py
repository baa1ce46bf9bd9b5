"""A small world for never-repeat requests: servers that count, leaders that crash and return."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar

from result import Err

from fuchsiawell.bench.once.virtual import LoopClock
from fuchsiawell.core import ServerId, ServiceName, ShardId
from fuchsiawell.core.headers import RefusalCause
from fuchsiawell.once import (
    Journal,
    JournalLimits,
    KeptAnswer,
    Ledger,
    LedgerLimits,
    Mint,
    OnceRunner,
    Refused,
    Scope,
    Stopped,
    StoppedBy,
    journal_key,
    journal_prefix,
)
from fuchsiawell.platform import Store

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from random import Random
    from typing import Any

    from result import Result

    from fuchsiawell.once import HandOver
    from fuchsiawell.platform import LeaseId, Record, Revision, StoreError, WriteError

__all__ = [
    "CELL",
    "CORRECT",
    "SERVICE",
    "CountingServer",
    "LeaderProcess",
    "Parts",
    "ProcessStore",
    "shard_id",
]

CELL = "viti-west"
SERVICE = ServiceName("dropline")
T = TypeVar("T")

STORE_RETRY_S = 0.2


def shard_id(index: int) -> ShardId:
    """Return one of the shards of the world, which has one for each server."""
    return ShardId(SERVICE, index)


class CountingServer:
    """Check the fence when work starts, as a backend server that checks does, and count it."""

    def __init__(self, id: str, random: Random) -> None:
        self.id = ServerId(id)
        self.term = 0
        self._random = random

    async def run(
        self, term: int, token: str, deadline_s: float, on_run: Callable[[], None]
    ) -> KeptAnswer | Refused:
        """Queue, check, run and answer; goes on when the leader's connection is gone."""
        if self._random.random() < 0.05:
            await asyncio.sleep(self._random.expovariate(1.0))  # a late copy in the queue
        if term != self.term:
            return Refused(RefusalCause.FENCE)
        if LoopClock().monotonic() > deadline_s:
            return Refused(RefusalCause.DEADLINE)
        if self._random.random() < 0.02:
            return Refused(self._random.choice([RefusalCause.SHED, RefusalCause.DRAIN]))
        on_run()
        await asyncio.sleep(self._random.uniform(0.002, 0.02))
        return KeptAnswer(200, (), token.encode())


class ProcessStore(Store):
    """Let calls land even if their process crashed, and answer only while it is not paused."""

    def __init__(self, inner: Store) -> None:
        self._inner = inner
        self.awake = asyncio.Event()
        self.awake.set()

    async def get(self, key: str) -> Result[Record | None, StoreError]:
        """Read one key."""
        return await self._call(self._inner.get(key))

    async def list(self, prefix: str) -> Result[list[Record], StoreError]:
        """Read all keys of a prefix."""
        return await self._call(self._inner.list(prefix))

    async def put(
        self, key: str, value: bytes, expected: Revision, lease: LeaseId | None = None
    ) -> Result[Record, WriteError]:
        """Write one key."""
        return await self._call(self._inner.put(key, value, expected, lease))

    async def delete(self, key: str, expected: Revision) -> Result[None, WriteError]:
        """Remove one key."""
        return await self._call(self._inner.delete(key, expected))

    async def watch(
        self, key: str, after: Revision, timeout_s: float
    ) -> Result[Record | None, StoreError]:
        """Wait for a newer value."""
        return await self._call(self._inner.watch(key, after, timeout_s))

    async def grant_lease(self, ttl_s: float) -> Result[LeaseId, StoreError]:
        """Start a lease."""
        return await self._call(self._inner.grant_lease(ttl_s))

    async def renew_lease(self, lease: LeaseId) -> Result[None, WriteError]:
        """Extend a lease."""
        return await self._call(self._inner.renew_lease(lease))

    async def close(self) -> None:
        """Leave the shared store open."""

    async def _call(self, call: Coroutine[Any, Any, T]) -> T:
        answer = await asyncio.shield(asyncio.ensure_future(call))
        await self.awake.wait()
        return answer


@dataclass(frozen=True, slots=True)
class Parts:
    """Choose the code under test, so that a faulty variant can be shown to be caught."""

    runner: type[OnceRunner] = OnceRunner
    journal: type[Journal] = Journal


CORRECT = Parts()


@dataclass(eq=False)
class LeaderProcess:
    """One process of a daemon: what it leads, with the real ledger, journal and runner."""

    name: str
    number: int
    store: Store
    journal_limits: JournalLimits
    ledger_limits: LedgerLimits
    parts: Parts
    terms_by_shard: dict[ShardId, int] = field(default_factory=dict)
    right: bool = True
    dead: bool = False

    def __post_init__(self) -> None:
        clock = LoopClock()
        nonce = f"{self.name}.{self.number}".encode().ljust(8, b"-")[:8]
        self.own_store = ProcessStore(self.store)
        self.ledger = Ledger(clock, Mint(nonce, nonce * 3), self.ledger_limits)
        key = journal_key(CELL, self.name)
        self.journal = self.parts.journal(
            self.own_store, key, nonce, clock, limits=self.journal_limits
        )
        self.runner = self.parts.runner(self.ledger, self.journal, clock, self.may_act, self.name)
        self.gone = asyncio.Event()  # set when its connections break

    @property
    def awake(self) -> asyncio.Event:
        """Return the event that is clear while the process is paused."""
        return self.own_store.awake

    def may_act(self, shard: ShardId) -> bool:
        """Tell whether the process, by its own clock, still has the right to act."""
        return self.right and not self.dead and shard in self.terms_by_shard

    async def open(self) -> None:
        """Open the journal, however often the store fails."""
        opened = await self.journal.open()
        while isinstance(opened, Err):
            await asyncio.sleep(STORE_RETRY_S)
            opened = await self.journal.open()

    async def lead(self, shard: ShardId, server: CountingServer, term: int, wait_s: float) -> None:
        """Fence off earlier leaders at the server, read the journals, and open the shard."""
        await asyncio.sleep(wait_s)
        if server.term >= term:
            return
        server.term = term
        stopped = Stopped(StoppedBy.FENCED, LoopClock().monotonic())
        read = await self.journal.read_others(journal_prefix(CELL))
        while isinstance(read, Err):
            await asyncio.sleep(STORE_RETRY_S)
            read = await self.journal.read_others(journal_prefix(CELL))
        self.terms_by_shard[shard] = term
        self.ledger.take_over([Scope(shard)], stopped, read.ok_value)
        self.runner.scopes_opened()

    def crash(self) -> None:
        """Stop at once; what was sent goes on at the servers and in the store."""
        self.dead = True
        self.awake.clear()
        self.gone.set()

    def give(self, shard: ShardId) -> HandOver:
        """Stop leading a shard and return what the next leader must know."""
        self.terms_by_shard.pop(shard, None)
        return self.ledger.hand_over([Scope(shard)])

    def take(self, shard: ShardId, server: CountingServer, term: int, given: HandOver) -> None:
        """Lead a shard that was handed over in full."""
        server.term = term
        self.terms_by_shard[shard] = term
        self.ledger.accept(given)
        self.runner.scopes_opened()

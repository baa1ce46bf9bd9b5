"""What never-repeat requests cost: added latency, processor time, writes of the store."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, replace
from random import Random
from statistics import fmean, quantiles
from typing import TYPE_CHECKING

from fuchsiawell.bench.measurement import Measurement
from fuchsiawell.bench.once.virtual import LoopClock, run_virtual
from fuchsiawell.bench.once.world import CORRECT, SERVICE, LeaderProcess, shard_id
from fuchsiawell.core import Answered, Deadline
from fuchsiawell.once import (
    Exchanged,
    JournalLimits,
    KeptAnswer,
    LedgerLimits,
    OnceRequest,
    Scope,
    Stopped,
    StoppedBy,
    content_digest,
)
from fuchsiawell.standins.faults import SettableFaults, Slow
from fuchsiawell.standins.memory_store import MemoryStore

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ["measure_costs"]

STORE_S = 0.003  # the platform answers in milliseconds
SERVER_S = 0.01
SHARD = shard_id(0)
SHARED_WRITES_PER_S = 300.0  # of the several hundred that the store gives, all leaders together
FLEET_DAEMONS = 1_700
ANSWER = KeptAnswer(200, (), b"x" * 200)


@dataclass(frozen=True, slots=True)
class Load:
    """Choose what a cell of leaders is asked to do."""

    minted: bool
    per_s: float  # never-repeat requests of each leader
    daemons: int
    seconds: float = 20.0
    share_of: int | None = None  # leaders that share the writes; `daemons` unless given


@dataclass(frozen=True, slots=True)
class Cost:
    """Hold what a load cost."""

    latencies_s: tuple[float, ...]
    writes: int
    intents: int
    seconds: float


async def _exchange(may_send: Callable[[], bool]) -> Exchanged:
    assert may_send()
    await asyncio.sleep(SERVER_S)
    return Exchanged(Answered(200), ANSWER)


async def _leader(store: MemoryStore, number: int, writes_per_s: float) -> LeaderProcess:
    limits = JournalLimits(writes_per_s=writes_per_s, patience_s=60.0)
    ledger = LedgerLimits(max_records=1_000_000)
    leader = LeaderProcess(f"d{number}", number, store, limits, ledger, CORRECT)
    await leader.open()
    leader.terms_by_shard[SHARD] = 1
    leader.ledger.take_over([Scope(SHARD)], Stopped(StoppedBy.NEVER_LED, 0.0))
    return leader


def _request(leader: LeaderProcess, number: int, minted: bool) -> OnceRequest:
    content = content_digest(SERVICE, "drop", "POST", "/", b"5 kg")
    key = f"pen-{number % 50}"
    id = (leader.ledger.issue(SHARD, key) or "") if minted else f"r{number}"
    return OnceRequest(SERVICE, key, SHARD, id, content, 60.0)


async def _serve(leader: LeaderProcess, request: OnceRequest, latencies_s: list[float]) -> None:
    started_s = LoopClock().monotonic()
    await leader.runner.run(request, Deadline.after(LoopClock(), 120.0), _exchange)
    latencies_s.append(LoopClock().monotonic() - started_s)


async def _run(load: Load, seed: int) -> Cost:
    random, plan = Random(seed), SettableFaults()
    store = MemoryStore(LoopClock(), plan)
    plan.set(Slow(STORE_S))
    share = SHARED_WRITES_PER_S / (load.share_of or load.daemons)
    leaders = [await _leader(store, n, share) for n in range(load.daemons)]
    opened = store.counts.writes
    latencies_s: list[float] = []
    tasks = []
    for number in range(int(load.per_s * load.seconds * load.daemons)):
        await asyncio.sleep(random.expovariate(load.per_s * load.daemons))
        leader = random.choice(leaders)
        request = _request(leader, number, load.minted)
        tasks.append(asyncio.create_task(_serve(leader, request, latencies_s)))
    await asyncio.gather(*tasks)
    writes = store.counts.writes - opened
    intents = sum(leader.journal.intents for leader in leaders)
    await asyncio.gather(*(leader.journal.close() for leader in leaders))
    return Cost(tuple(latencies_s), writes, intents, load.seconds)


def _cost(load: Load, seed: int = 1) -> Cost:
    return run_virtual(_run(load, seed))


def measure_costs() -> Iterator[Measurement]:
    """Yield latency, writes and processor time, each beside repeatable work."""
    yield from _latency()
    yield from _writes()
    yield from _processor_time()


def _latency() -> Iterator[Measurement]:
    for name, load in {
        "minted/50_per_s": Load(minted=True, per_s=50, daemons=1, share_of=12),
        "journal/1_per_s": Load(minted=False, per_s=1, daemons=1, share_of=12, seconds=300),
        "journal/50_per_s": Load(minted=False, per_s=50, daemons=1, share_of=12),
        "journal/500_per_s": Load(minted=False, per_s=500, daemons=1, share_of=12),
        "journal/fleet": Load(
            minted=False, per_s=50, daemons=1, share_of=FLEET_DAEMONS, seconds=60
        ),
    }.items():
        cost = _cost(load)
        count = len(cost.latencies_s)
        added_ms = [1000 * (latency_s - SERVER_S) for latency_s in cost.latencies_s]
        p99 = quantiles(added_ms, n=100)[98]
        mean = fmean(added_ms)
        yield Measurement(f"never_repeat_overhead/{name}/mean", mean, "ms", 0.0, count)
        yield Measurement(f"never_repeat_overhead/{name}/p99", p99, "ms", 0.0, count)
        if cost.writes:
            grouped = cost.intents / cost.writes
            yield Measurement(
                f"intents_per_store_write/{name}", grouped, "intents", 1.0, cost.writes
            )


def _writes() -> Iterator[Measurement]:
    sizes = (3, 6, 9, 12)
    for minted, name in ((False, "journal"), (True, "minted")):
        rates = []
        for daemons in sizes:
            cost = _cost(Load(minted=minted, per_s=5, daemons=daemons))
            rates.append(cost.writes / cost.seconds)
            measure = f"store_writes_per_s/{name}/{daemons}_daemons"
            yield Measurement(measure, rates[-1], "1/s", 0.0, len(cost.latencies_s))
        slope = _slope(sizes, rates)
        yield Measurement(f"store_writes_per_s/{name}/slope", slope, "1/s/daemon", 0.0, len(sizes))
        fleet = slope * FLEET_DAEMONS
        yield Measurement(
            f"store_writes_per_s/{name}/at_{FLEET_DAEMONS}",
            fleet,
            "1/s",
            SHARED_WRITES_PER_S,
            len(sizes),
        )


def _slope(sizes: tuple[int, ...], rates: list[float]) -> float:
    middle, mean = fmean(sizes), fmean(rates)
    rise = sum((size - middle) * (rate - mean) for size, rate in zip(sizes, rates, strict=True))
    return rise / sum((size - middle) ** 2 for size in sizes)


def _processor_time() -> Iterator[Measurement]:
    count = 20_000
    bare_us = run_virtual(_repeatable_us(count))
    for minted, name in ((True, "minted"), (False, "journal")):
        spent_us = run_virtual(_never_repeat_us(count, minted))
        measure = f"never_repeat_overhead/{name}/cpu"
        yield Measurement(measure, spent_us, "us", bare_us, count)


async def _repeatable_us(count: int) -> float:
    started_s = time.process_time()
    for _ in range(0, count, 100):
        await asyncio.gather(*(_exchange(lambda: True) for _ in range(100)))
    return 1e6 * (time.process_time() - started_s) / count


async def _never_repeat_us(count: int, minted: bool) -> float:
    leader = await _leader(MemoryStore(LoopClock()), 0, 1000.0)
    latencies_s: list[float] = []
    requests = [replace(_request(leader, n, minted), resend_window_s=5.0) for n in range(count)]
    started_s = time.process_time()
    for first in range(0, count, 100):
        batch = requests[first : first + 100]
        await asyncio.gather(*(_serve(leader, request, latencies_s) for request in batch))
    spent_us = 1e6 * (time.process_time() - started_s) / count
    await leader.journal.close()
    return spent_us

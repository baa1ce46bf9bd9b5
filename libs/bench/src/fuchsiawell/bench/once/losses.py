"""What callers are told after a leader is lost, and while the store is down, by kind of id."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from random import Random
from typing import TYPE_CHECKING

from fuchsiawell.bench.measurement import Measurement
from fuchsiawell.bench.once.virtual import LoopClock, run_virtual
from fuchsiawell.bench.once.world import (
    CORRECT,
    SERVICE,
    CountingServer,
    LeaderProcess,
    shard_id,
)
from fuchsiawell.core import Answered, Deadline, Outcome, Unknown
from fuchsiawell.once import (
    Exchanged,
    JournalLimits,
    KeptAnswer,
    LedgerLimits,
    OnceRequest,
    OutagePolicy,
    content_digest,
)
from fuchsiawell.standins.faults import Refuse, SettableFaults
from fuchsiawell.standins.memory_store import MemoryStore

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ["measure_losses"]

SHARD = shard_id(0)
EACH = 200
OUTAGE_S = 30.0
RESEND_WINDOW_S = 60.0
STEP_S = 0.1
CONTENT = content_digest(SERVICE, "drop", "POST", "/", b"5 kg")


@dataclass(frozen=True, slots=True)
class _Case:
    name: str
    minted: bool
    clean: bool


class _Cell:
    """Two daemons that lead one server, one after the other."""

    def __init__(self, goes_on: bool = False) -> None:
        self.plan = SettableFaults()
        self.store = MemoryStore(LoopClock(), self.plan)
        self.server = CountingServer("s0", Random(1))
        self.goes_on = goes_on
        self.leader = self._process("d0", 0)
        self.next = self._process("d1", 1)

    async def start(self) -> None:
        """Let the first daemon lead."""
        for process in (self.leader, self.next):
            await process.open()
        await self.leader.lead(SHARD, self.server, 1, 0.0)
        if self.goes_on:
            self.leader.journal.declare({SHARD: RESEND_WINDOW_S})
            await asyncio.sleep(1.0)

    async def lose(self, clean: bool) -> None:
        """Let the second daemon lead."""
        if clean:
            self.next.take(SHARD, self.server, 2, self.leader.give(SHARD))
        else:
            self.leader.crash()
            await self.next.lead(SHARD, self.server, 2, 1.0)
        self.leader = self.next

    def request(self, number: int, minted: bool) -> OnceRequest:
        """Return a request that was not sent before."""
        id = (self.leader.ledger.issue(SHARD, "pen-4") or "") if minted else f"r{number}"
        policy = OutagePolicy.GO_ON if self.goes_on else OutagePolicy.REFUSE
        return OnceRequest(SERVICE, "pen-4", SHARD, id, CONTENT, RESEND_WINDOW_S, on_outage=policy)

    async def ask(self, request: OnceRequest) -> Outcome:
        """Send one copy to whoever leads."""
        deadline = Deadline.after(LoopClock(), 2.0)
        return (await self.leader.runner.run(request, deadline, _exchange)).outcome

    def _process(self, name: str, number: int) -> LeaderProcess:
        limits = JournalLimits(patience_s=0.2)
        return LeaderProcess(name, number, self.store, limits, LedgerLimits(), CORRECT)


async def _exchange(may_send: Callable[[], bool]) -> Exchanged:
    assert may_send()
    return Exchanged(Answered(200), KeptAnswer(200, (), b"dropped"))


def measure_losses() -> Iterator[Measurement]:
    """Yield the share of unknown after a loss, and the time without service of an outage."""
    for case in (
        _Case("journal", minted=False, clean=False),
        _Case("minted", minted=True, clean=False),
        _Case("journal_clean", minted=False, clean=True),
        _Case("minted_clean", minted=True, clean=True),
    ):
        shares = run_virtual(_unknown_shares(case))
        for population, share in shares.items():
            yield Measurement(f"unknown_share/{case.name}/{population}", share, "share", 0.0, EACH)
    for name, minted, goes_on in (
        ("refuse", False, False),
        ("continue", False, True),
        ("minted", True, False),
    ):
        during_s, after_s = run_virtual(_outage(minted, goes_on))
        count = int(OUTAGE_S / STEP_S)
        yield Measurement(f"unavailable_s/{name}/store_outage_30_s", during_s, "s", OUTAGE_S, count)
        yield Measurement(f"unavailable_s/{name}/loss_after_outage", after_s, "s", 0.0, count)


async def _unknown_shares(case: _Case) -> dict[str, float]:
    cell = _Cell()
    await cell.start()
    answered = [cell.request(n, case.minted) for n in range(EACH)]
    unused = [cell.request(EACH + n, case.minted) for n in range(EACH)]
    for request in answered:
        await cell.ask(request)
    await cell.lose(case.clean)
    fresh = [cell.request(2 * EACH + n, case.minted) for n in range(EACH)]
    groups = {"answered_before": answered, "id_got_before": unused, "new": fresh}
    return {name: await _unknown_share(cell, requests) for name, requests in groups.items()}


async def _unknown_share(cell: _Cell, requests: list[OnceRequest]) -> float:
    outcomes = [await cell.ask(request) for request in requests]
    return sum(isinstance(outcome, Unknown) for outcome in outcomes) / len(outcomes)


async def _outage(minted: bool, goes_on: bool) -> tuple[float, float]:
    """Return the seconds without service in an outage, and after an unclean loss that follows."""
    cell = _Cell(goes_on)
    await cell.start()
    await cell.ask(cell.request(0, minted))
    cell.plan.set(Refuse())
    during_s = await _unavailable_s(cell, minted, OUTAGE_S, 1)
    cell.plan.clear()
    started_s = LoopClock().monotonic()
    await cell.lose(clean=False)
    takeover_s = LoopClock().monotonic() - started_s
    return during_s, takeover_s + await _unavailable_s(cell, minted, 2 * RESEND_WINDOW_S, 10_000)


async def _unavailable_s(cell: _Cell, minted: bool, seconds: float, first: int) -> float:
    served = 0
    started_s = LoopClock().monotonic()
    asked = [
        asyncio.create_task(_ask_at(cell, started_s + n * STEP_S, first + n, minted))
        for n in range(int(seconds / STEP_S))
    ]
    served = sum(isinstance(outcome, Answered) for outcome in await asyncio.gather(*asked))
    return (len(asked) - served) * STEP_S


async def _ask_at(cell: _Cell, at_s: float, number: int, minted: bool) -> Outcome:
    await asyncio.sleep(at_s - LoopClock().monotonic())
    return await cell.ask(replace(cell.request(number, minted)))

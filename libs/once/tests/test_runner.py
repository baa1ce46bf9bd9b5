from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from fuchsiawell.bench.once.virtual import LoopClock, run_virtual
from fuchsiawell.core import (
    Answered,
    Deadline,
    NotRun,
    NotRunReason,
    ServiceName,
    ShardId,
    Step,
    Unknown,
)
from fuchsiawell.core.headers import RefusalCause
from fuchsiawell.once.journal import Journal
from fuchsiawell.once.ledger import Ledger
from fuchsiawell.once.minted import Mint
from fuchsiawell.once.records import KeptAnswer, Scope, Stopped, StoppedBy
from fuchsiawell.once.requests import OnceRequest
from fuchsiawell.once.rules import (
    Attempt,
    ConnectionBroke,
    DeadlinePassed,
    NeverSent,
    Refused,
    WholeAnswer,
    outcome_of,
)
from fuchsiawell.once.runner import Exchanged, OnceResult, OnceRunner
from fuchsiawell.standins.faults import Hang, ScriptedFaults
from fuchsiawell.standins.memory_store import MemoryStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.once.rules import End

DROPS = ServiceName("dropline")
SHARD = ShardId(DROPS, 3)
ANSWER = KeptAnswer(200, (), b"dropped")
REQUEST = OnceRequest(DROPS, "pen-4", SHARD, "r1", b"content1", 600.0)
MOVING = NeverSent(NotRunReason.MOVING, Step.SEND)


class Leader:
    """One leader with a server that runs whatever bytes reach it."""

    def __init__(self) -> None:
        clock = LoopClock()
        self.store = MemoryStore(clock)
        self.journal = Journal(self.store, "journal", b"n" * 8, clock)
        self.ledger = Ledger(clock, Mint(b"n" * 8, b"s" * 16))
        self.right = True
        self.runner = OnceRunner(self.ledger, self.journal, clock, lambda _: self.right, "a")
        self.executions = 0
        self.end: End = WholeAnswer(200)
        self.takes_s = 0.1

    async def opened(self) -> Leader:
        await self.journal.open()
        self.open()
        return self

    def open(self) -> None:
        self.ledger.take_over([Scope(SHARD)], Stopped(StoppedBy.NEVER_LED, 0.0))
        self.runner.scopes_opened()

    async def exchange(self, may_send: Callable[[], bool]) -> Exchanged:
        if not may_send():
            return Exchanged(outcome_of(MOVING, "a"))
        self.executions += 1
        await asyncio.sleep(self.takes_s)
        answer = ANSWER if isinstance(self.end, WholeAnswer) else None
        return Exchanged(outcome_of(self.end, "a"), answer)

    async def run(self, request: OnceRequest = REQUEST, budget_s: float = 5.0) -> OnceResult:
        deadline = Deadline.after(LoopClock(), budget_s)
        return await self.runner.run(request, deadline, self.exchange)


def test_copies_of_one_id_run_once_and_hear_the_same() -> None:
    async def main() -> None:
        leader = await Leader().opened()
        results = await asyncio.gather(*(leader.run() for _ in range(5)))
        results.append(await leader.run())
        assert results == [OnceResult(Answered(200), ANSWER)] * 6
        assert leader.executions == 1
        assert leader.runner.running(SHARD) == 0

    run_virtual(main())


def test_unknown_stays_unknown_and_refused_runs_after_the_quiet_time() -> None:
    async def main() -> None:
        leader = await Leader().opened()
        leader.end = ConnectionBroke("reset")
        assert isinstance((await leader.run()).outcome, Unknown)
        leader.end = WholeAnswer(200)
        assert isinstance((await leader.run()).outcome, Unknown)
        second = replace(REQUEST, id="r2")
        leader.end = Refused(RefusalCause.SHED)
        assert isinstance((await leader.run(second)).outcome, NotRun)
        leader.end = WholeAnswer(200)
        again = (await leader.run(second)).outcome
        assert isinstance(again, NotRun) and again.reason is NotRunReason.SHED
        await asyncio.sleep(REQUEST.lingers_s)
        assert (await leader.run(second)).outcome == Answered(200)

    run_virtual(main())


def test_a_first_copy_that_was_refused_may_be_sent_again_at_once() -> None:
    async def main() -> None:
        leader = await Leader().opened()
        leader.end = Refused(RefusalCause.SHED)
        first = replace(REQUEST, attempt=Attempt.FIRST)
        assert isinstance((await leader.run(first)).outcome, NotRun)
        leader.end = WholeAnswer(200)
        assert (await leader.run()).outcome == Answered(200)

    run_virtual(main())


def test_nothing_is_sent_before_the_intent_nor_past_the_deadline() -> None:
    async def main() -> None:
        leader = await Leader().opened()
        leader.store.plan = ScriptedFaults([Hang(30.0)])
        result = await leader.run(budget_s=0.5)
        assert result.outcome == NotRun(NotRunReason.DEADLINE, Step.INTENT, "a", 15.0)
        assert leader.executions == 0

    run_virtual(main())


def test_nothing_is_sent_once_the_right_to_act_has_lapsed() -> None:
    async def main() -> None:
        leader = await Leader().opened()
        leader.right = False
        outcome = (await leader.run()).outcome
        assert isinstance(outcome, NotRun) and outcome.reason is NotRunReason.MOVING
        assert leader.executions == 0

    run_virtual(main())


def test_a_leader_without_the_right_to_act_vouches_for_no_refusal() -> None:
    async def main() -> None:
        leader = await Leader().opened()
        leader.end = Refused(RefusalCause.SHED)
        task = asyncio.create_task(leader.run())
        await asyncio.sleep(0.05)
        leader.right = False
        for outcome in ((await task).outcome, (await leader.run()).outcome):
            assert isinstance(outcome, NotRun) and outcome.reason is NotRunReason.MOVING

    run_virtual(main())


def test_requests_wait_for_a_scope_and_prove_nothing_without_it() -> None:
    async def main() -> None:
        leader = Leader()
        await leader.journal.open()
        waiting = asyncio.create_task(leader.run())
        impatient = await leader.run(replace(REQUEST, id="r2"), budget_s=0.5)
        assert isinstance(impatient.outcome, Unknown)
        first = replace(REQUEST, id="r3", attempt=Attempt.FIRST)
        assert isinstance((await leader.run(first, budget_s=0.5)).outcome, NotRun)
        leader.open()
        assert (await waiting).outcome == Answered(200)

    run_virtual(main())


def test_a_caller_that_leaves_cancels_only_what_nobody_else_waits_for() -> None:
    async def main() -> None:
        leader = await Leader().opened()
        first, second = asyncio.create_task(leader.run()), asyncio.create_task(leader.run())
        await asyncio.sleep(0.05)
        first.cancel()
        assert (await second).outcome == Answered(200)
        alone = asyncio.create_task(leader.run(replace(REQUEST, id="r2")))
        await asyncio.sleep(0.05)
        alone.cancel()
        await asyncio.sleep(0.01)
        assert leader.runner.running(SHARD) == 0
        assert isinstance((await leader.run(replace(REQUEST, id="r2"))).outcome, Unknown)
        assert leader.executions == 2

    run_virtual(main())


def test_a_caller_that_leaves_before_the_intent_leaves_nothing_behind() -> None:
    async def main() -> None:
        leader = await Leader().opened()
        gone = asyncio.create_task(leader.run())
        await asyncio.sleep(0)
        gone.cancel()
        await asyncio.sleep(0.1)
        assert len(leader.ledger) == 0 and leader.executions == 0

    run_virtual(main())


def test_a_second_copy_waits_no_longer_than_its_own_deadline() -> None:
    async def main() -> None:
        leader = await Leader().opened()
        leader.takes_s, leader.end = 3.0, DeadlinePassed()
        first = asyncio.create_task(leader.run())
        await asyncio.sleep(0.1)
        assert isinstance((await leader.run(budget_s=0.2)).outcome, Unknown)
        assert LoopClock().monotonic() < 1.0
        assert isinstance((await first).outcome, Unknown)

    run_virtual(main())

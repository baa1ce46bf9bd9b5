"""Many never-repeat requests under faults at every step; counts what must never happen."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field, replace
from random import Random
from typing import TYPE_CHECKING

from fuchsiawell.bench.once.faults import FaultInjector
from fuchsiawell.bench.once.virtual import LoopClock, run_virtual
from fuchsiawell.bench.once.world import (
    CORRECT,
    SERVICE,
    CountingServer,
    LeaderProcess,
    Parts,
    shard_id,
)
from fuchsiawell.core import (
    Answered,
    Deadline,
    NotRun,
    NotRunReason,
    Outcome,
    ShardId,
    Step,
    Unknown,
)
from fuchsiawell.once import (
    REROUTE_REASONS,
    AnswerCut,
    Attempt,
    ConnectionBroke,
    DeadlinePassed,
    Exchanged,
    JournalLimits,
    KeptAnswer,
    LedgerLimits,
    OnceRequest,
    Refused,
    WholeAnswer,
    content_digest,
    outcome_of,
    outcome_told,
)
from fuchsiawell.standins.faults import SettableFaults, Slow
from fuchsiawell.standins.memory_store import MemoryStore

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["ChaosResult", "ChaosSettings", "run_chaos"]

DEADLINE_S = 2.0
LATE_S = 8.0  # the longest time that a copy spends on its way
RESEND_WINDOW_S = 60.0
MAX_ATTEMPTS = 4
ISSUE_TRIES = 50  # then the caller makes an id of its own


@dataclass(frozen=True, slots=True)
class ChaosSettings:
    """Choose the size and the seed of a run."""

    requests: int
    seed: int
    rate_per_s: float = 200.0
    daemons: int = 3
    servers: int = 4
    fault_every_s: float = 1.0
    store_s: float = 0.003  # the store's time for a call between its faults
    parts: Parts = CORRECT


@dataclass(slots=True)
class ChaosResult:
    """Count, for one run, what happened and what must not have happened."""

    requests: int = 0
    executions: int = 0
    duplicates: int = 0
    false_not_run: int = 0
    wrong_answers: int = 0
    told: Counter[str] = field(default_factory=Counter)  # by kind of id and outcome
    faults: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True, eq=False)
class _Work:
    """Hold one request as its caller and its server see it."""

    token: str
    request: OnceRequest
    minted: bool
    runs: int = 0
    told_not_run: bool = False  # and not sent again since


class Chaos:
    """Drive callers, entry daemons and faults around the real ledger, journal and runner."""

    def __init__(self, settings: ChaosSettings) -> None:
        self.settings = settings
        self.random = Random(settings.seed)
        self.result = ChaosResult()
        self.plan = SettableFaults()
        self.plan.set(Slow(settings.store_s))
        self.store = MemoryStore(LoopClock(), self.plan)
        self.servers = [
            CountingServer(f"s{n}", Random(settings.seed + n)) for n in range(settings.servers)
        ]
        self.leader_by_shard: dict[ShardId, LeaderProcess] = {}
        self.former_by_shard: dict[ShardId, LeaderProcess] = {}
        self.term = 0
        self._works_by_token: dict[str, _Work] = {}
        self._processes: list[LeaderProcess] = []

    async def run(self) -> ChaosResult:
        """Run all requests to their ends and return the counts."""
        await self._start_leaders()
        injector = FaultInjector(self)
        faults = asyncio.create_task(injector.run())
        callers = set()
        for number in range(self.settings.requests):
            await asyncio.sleep(self.random.expovariate(self.settings.rate_per_s))
            callers.add(asyncio.create_task(self._caller(number)))
            callers = {task for task in callers if not task.done()}
        await asyncio.wait(callers)
        await asyncio.sleep(2 * LATE_S)
        faults.cancel()
        await asyncio.gather(*(process.journal.close() for process in self._processes))
        self._count()
        return self.result

    def start_process(self, name: str) -> LeaderProcess:
        """Return a new process of a daemon."""
        limits = JournalLimits(writes_per_s=30.0, patience_s=0.5)
        ledger = LedgerLimits(issued_use_s=30.0, issued_resend_s=30.0)
        number = len(self._processes)
        process = LeaderProcess(name, number, self.store, limits, ledger, self.settings.parts)
        self._processes.append(process)
        return process

    async def appoint(self, process: LeaderProcess, shard: ShardId, wait_s: float) -> None:
        """Make a process the leader of a shard after an unclean loss."""
        self.term += 1
        former = self.leader_by_shard.get(shard)
        if former is not None:
            self.former_by_shard[shard] = former
        self.leader_by_shard[shard] = process
        await process.lead(shard, self.servers[shard.index], self.term, wait_s)

    async def _start_leaders(self) -> None:
        processes = [self.start_process(f"d{n}") for n in range(self.settings.daemons)]
        for process in processes:
            await process.open()
        for index in range(self.settings.servers):
            await self.appoint(processes[index % len(processes)], shard_id(index), 0.0)

    async def _caller(self, number: int) -> None:
        work = await self._new_work(number)
        attempts = 1 + (self.random.random() < 0.03)  # some callers send twice without a reason
        marks = self.random.random() < 0.3
        outcome: Outcome | None = None
        for attempt in range(MAX_ATTEMPTS):
            if isinstance(outcome, Answered) and attempt >= attempts:
                return
            if attempt and not isinstance(outcome, Answered) and self.random.random() < 0.4:
                return
            work.told_not_run = False
            first = marks and attempt == 0
            outcome = await self._attempt(work, Attempt.FIRST if first else Attempt.UNMARKED)
            await asyncio.sleep(self._pause_s(outcome))

    def _pause_s(self, outcome: Outcome | None) -> float:
        if isinstance(outcome, NotRun) and outcome.retry_after_s is not None:
            return outcome.retry_after_s * self.random.choice([0.1, 1.0])
        return self.random.uniform(0.0, 2.0)

    async def _new_work(self, number: int) -> _Work:
        token, key = f"t{number}", f"pen-{self.random.randrange(40)}"
        shard = shard_id(self.random.randrange(self.settings.servers))
        minted = self.random.random() < 0.5
        id = await self._issued_id(shard, key) if minted else token
        request = OnceRequest(
            SERVICE,
            key,
            shard,
            id or token,
            content_digest(SERVICE, "drop", "POST", key, token.encode()),
            RESEND_WINDOW_S,
            lingers_s=LATE_S + DEADLINE_S,
        )
        work = _Work(token, request, minted and id is not None)
        self._works_by_token[token] = work
        return work

    async def _issued_id(self, shard: ShardId, key: str) -> str | None:
        """Ask the leader for an id, and use it a little later."""
        for _ in range(ISSUE_TRIES):
            id = self.leader_by_shard[shard].ledger.issue(shard, key)
            if id is not None:
                await asyncio.sleep(self.random.uniform(0.0, 1.0))
                return id
            await asyncio.sleep(0.1)
        return None

    async def _attempt(self, work: _Work, attempt: Attempt) -> Outcome | None:
        """Send one copy; none where the caller gave up before it heard anything."""
        copy = asyncio.create_task(self._entry(work, attempt))
        patience_s = self.random.choice([None, None, None, self.random.uniform(0.0, 1.0)])
        await asyncio.wait({copy}, timeout=patience_s)
        if not copy.done():
            return None  # the copy goes on
        outcome = copy.result()
        self._hear(work, outcome)
        return outcome

    def _hear(self, work: _Work, outcome: Outcome) -> None:
        kind = "minted" if work.minted else "free-form"
        self.result.told[f"{kind} {type(outcome).__name__}"] += 1
        if isinstance(outcome, NotRun):
            work.told_not_run = True
            self.result.false_not_run += work.runs > 0

    async def _entry(self, work: _Work, attempt: Attempt) -> Outcome:
        """Do as an entry daemon does: find the leader, ask again where that is proved harmless."""
        request = replace(work.request, attempt=attempt)
        deadline = Deadline.after(LoopClock(), DEADLINE_S)
        outcome: Outcome = NotRun(NotRunReason.DEADLINE, Step.ROUTE, "entry")
        while (left_s := deadline.remaining_s(LoopClock())) > 0:
            outcome = await self._forward(work, request, left_s)
            if not isinstance(outcome, NotRun) or outcome.reason not in REROUTE_REASONS:
                break
            await asyncio.sleep(0.1)
        return outcome_told(outcome, attempt)

    async def _forward(self, work: _Work, request: OnceRequest, left_s: float) -> Outcome:
        """Send over a stream that may be slow; past the deadline the copy arrives unheard."""
        process = self._route(request.shard)
        if process.dead:
            return NotRun(NotRunReason.UNREACHABLE, Step.FORWARD, process.name)
        late = self.random.random() < 0.02
        delay_s = self.random.uniform(0.1, LATE_S) if late else self.random.uniform(0.0005, 0.002)
        arriving = asyncio.create_task(self._arrive(work, request, process, delay_s, left_s))
        await asyncio.wait({arriving}, timeout=left_s + 0.05)
        if arriving.done():
            return arriving.result()
        return Unknown(Step.FORWARD, process.name, "no answer before the deadline")

    def _route(self, shard: ShardId) -> LeaderProcess:
        if shard in self.former_by_shard and self.random.random() < 0.05:
            return self.former_by_shard[shard]  # news of the change has not arrived
        return self.leader_by_shard[shard]

    async def _arrive(
        self,
        work: _Work,
        request: OnceRequest,
        process: LeaderProcess,
        delay_s: float,
        left_s: float,
    ) -> Outcome:
        await asyncio.sleep(delay_s)
        if process.dead:
            return Unknown(Step.FORWARD, process.name, "connection broke")
        running = asyncio.create_task(self._lead(work, request, process, left_s))
        gone = asyncio.create_task(process.gone.wait())
        await asyncio.wait({running, gone}, return_when=asyncio.FIRST_COMPLETED)
        gone.cancel()
        if running.done():
            return running.result()
        running.cancel()
        return Unknown(Step.FORWARD, process.name, "connection broke")

    async def _lead(
        self, work: _Work, request: OnceRequest, process: LeaderProcess, left_s: float
    ) -> Outcome:
        await process.awake.wait()
        deadline = Deadline.after(LoopClock(), left_s)
        result = await process.runner.run(
            request, deadline, lambda may_send: self._exchange(work, process, deadline, may_send)
        )
        await process.awake.wait()
        if result.answer is not None:
            self.result.wrong_answers += result.answer.body != work.token.encode()
        return result.outcome

    async def _exchange(
        self,
        work: _Work,
        process: LeaderProcess,
        deadline: Deadline,
        may_send: Callable[[], bool],
    ) -> Exchanged:
        """Queue, connect, send and wait for the answer, with a fault at any of these steps."""
        await asyncio.sleep(self.random.uniform(0.0, 0.005))
        await process.awake.wait()
        if self.random.random() < 0.01:
            return Exchanged(NotRun(NotRunReason.SHED, Step.ADMIT, process.name, 0.1))
        if self.random.random() < 0.01:
            return Exchanged(NotRun(NotRunReason.UNREACHABLE, Step.CONNECT, process.name))
        if not may_send():
            return Exchanged(NotRun(NotRunReason.MOVING, Step.SEND, process.name))
        term = process.terms_by_shard[work.request.shard]
        server = self.servers[work.request.shard.index]
        running = asyncio.create_task(self._serve(work, server, term, deadline.at_s))
        breaks_s = self.random.uniform(0.0, 0.03) if self.random.random() < 0.03 else None
        left_s = max(0.0, deadline.remaining_s(LoopClock()))
        await asyncio.wait({running}, timeout=left_s if breaks_s is None else breaks_s)
        await process.awake.wait()
        if not running.done():
            end = DeadlinePassed() if breaks_s is None else ConnectionBroke("reset")
            return Exchanged(outcome_of(end, server.id))
        reply = running.result()
        if isinstance(reply, Refused):
            return Exchanged(outcome_of(reply, server.id))
        if self.random.random() < 0.02:
            return Exchanged(outcome_of(AnswerCut(200, "reset"), server.id))
        return Exchanged(outcome_of(WholeAnswer(200), server.id), reply)

    async def _serve(
        self, work: _Work, server: CountingServer, term: int, deadline_s: float
    ) -> KeptAnswer | Refused:
        await asyncio.sleep(self.random.uniform(0.0, 0.002))
        return await server.run(term, work.token, deadline_s, lambda: self._count_run(work))

    def _count_run(self, work: _Work) -> None:
        work.runs += 1
        self.result.false_not_run += work.told_not_run

    def _count(self) -> None:
        self.result.requests = len(self._works_by_token)
        runs = [work.runs for work in self._works_by_token.values()]
        self.result.executions = sum(runs)
        self.result.duplicates = sum(count - 1 for count in runs if count > 1)


def run_chaos(settings: ChaosSettings) -> ChaosResult:
    """Run in virtual time; the same settings give the same result."""

    async def main() -> ChaosResult:
        return await Chaos(settings).run()

    return run_virtual(main())

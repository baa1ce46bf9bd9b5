"""Take one copy of a never-repeat request from its arrival at the leader to its outcome."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.core import Answered, NotRun, NotRunReason, Outcome, Step, Unknown
from fuchsiawell.once.journal import NotRecorded, Recorded, Unjournaled
from fuchsiawell.once.records import (
    Conflict,
    Decision,
    InProgress,
    KeptAnswer,
    NotOpen,
    Record,
    RecordState,
    Refuse,
    Replay,
    Run,
    UnknownBefore,
)
from fuchsiawell.once.rules import REROUTE_REASONS, outcome_unseen

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine
    from typing import Any

    from fuchsiawell.core import Clock, Deadline, ShardId
    from fuchsiawell.once.journal import Journal
    from fuchsiawell.once.ledger import Ledger
    from fuchsiawell.once.requests import OnceRequest

__all__ = ["Exchanged", "OnceResult", "OnceRunner"]

RETRY_SOON_S = 1.0  # after which scopes and store are usually back


@dataclass(frozen=True, slots=True)
class Exchanged:
    """Hold how an exchange with a server ended; `answer` is none if not whole, or too large."""

    outcome: Outcome  # of `outcome_of`
    answer: KeptAnswer | None = None


@dataclass(frozen=True, slots=True)
class OnceResult:
    """Hold what to tell the caller; with `Answered`, the answer unless it was too large to keep."""

    outcome: Outcome
    answer: KeptAnswer | None = None


class OnceRunner:
    """Run each id at most once, and tell every copy of it the same."""

    def __init__(
        self,
        ledger: Ledger,
        journal: Journal,
        clock: Clock,
        may_act: Callable[[ShardId], bool],
        peer: str,
    ) -> None:
        """Take this daemon's name for outcomes, and `may_act`.

        That is asked right before bytes leave, and before a refusal is told: without the right to
        act, another leader may have run what this one knows nothing of.
        """
        self._ledger = ledger
        self._journal = journal
        self._clock = clock
        self._may_act = may_act
        self._peer = peer
        self._tasks_by_record: dict[Record, asyncio.Task[OnceResult]] = {}
        self._waiters_by_record: dict[Record, int] = {}
        self._opened = asyncio.Event()

    def scopes_opened(self) -> None:
        """Wake the requests that wait for a scope, after the ledger opened one."""
        self._opened.set()
        self._opened = asyncio.Event()

    def running(self, shard: ShardId) -> int:
        """Return the requests of a shard that have not ended, to be awaited before a hand-over."""
        return sum(record.shard == shard for record in self._tasks_by_record)

    async def issue(self, shard: ShardId, key: str, deadline: Deadline) -> str | None:
        """Return an id for a later request, once the scope is open; none at the deadline."""
        issued = self._ledger.issue(shard, key)
        while issued is None and await self._wait_for_opening(deadline):
            issued = self._ledger.issue(shard, key)
        return issued

    async def run(
        self,
        request: OnceRequest,
        deadline: Deadline,
        exchange: Callable[[Callable[[], bool]], Awaitable[Exchanged]],
    ) -> OnceResult:
        """Run the request through `exchange`, or tell what is known of earlier copies.

        `exchange` queues, connects, calls the function it is given right before the first byte
        leaves, and returns `NotRun` if that returns false. It keeps the deadline itself. A
        cancelled caller cancels it, unless another copy of the same id waits.
        """
        match await self._decide(request, deadline):
            case Run(ticket, needs_intent):
                steps = self._execute(request, ticket, needs_intent, deadline, exchange)
                self._start(ticket, steps)
                return await self._await_end(ticket, None)
            case InProgress(ticket):
                return await self._await_end(ticket, max(0.0, deadline.remaining_s(self._clock)))
            case Replay(answer):
                return OnceResult(Answered(answer.status), answer)
            case UnknownBefore(detail):
                return OnceResult(Unknown(Step.ADMIT, self._peer, detail))
            case Conflict():
                return self._refused(request.shard, NotRunReason.ID_CONFLICT, None)
            case Refuse(reason, retry_after_s):
                return self._refused(request.shard, reason, retry_after_s)
            case NotOpen():
                refusal = NotRun(NotRunReason.MOVING, Step.ADMIT, self._peer, RETRY_SOON_S)
                return OnceResult(outcome_unseen(refusal, request.attempt))

    async def _decide(self, request: OnceRequest, deadline: Deadline) -> Decision:
        while True:
            decision = self._ledger.begin(request)
            if not isinstance(decision, NotOpen) or not await self._wait_for_opening(deadline):
                return decision

    async def _wait_for_opening(self, deadline: Deadline) -> bool:
        left_s = deadline.remaining_s(self._clock)
        if left_s <= 0:
            return False
        try:
            await asyncio.wait_for(self._opened.wait(), left_s)
        except TimeoutError:
            return False
        return True

    def _start(self, ticket: Record, steps: Coroutine[Any, Any, OnceResult]) -> None:
        task = asyncio.create_task(steps)
        self._tasks_by_record[ticket] = task
        task.add_done_callback(lambda _: self._abandon(ticket))

    async def _await_end(self, ticket: Record, timeout_s: float | None) -> OnceResult:
        task = self._tasks_by_record[ticket]
        self._waiters_by_record[ticket] = self._waiters_by_record.get(ticket, 0) + 1
        try:
            await asyncio.wait({task}, timeout=timeout_s)
        except asyncio.CancelledError:
            if self._waiters_by_record[ticket] == 1:
                task.cancel()
            raise
        finally:
            self._leave(ticket)
        if task.done() and not task.cancelled():
            return task.result()
        return OnceResult(Unknown(Step.RUN, self._peer, "the first copy had not ended"))

    def _leave(self, ticket: Record) -> None:
        self._waiters_by_record[ticket] -= 1
        if self._waiters_by_record[ticket] == 0:
            del self._waiters_by_record[ticket]

    async def _execute(
        self,
        request: OnceRequest,
        ticket: Record,
        needs_intent: bool,
        deadline: Deadline,
        exchange: Callable[[Callable[[], bool]], Awaitable[Exchanged]],
    ) -> OnceResult:
        refused = await self._record_intent(request, ticket, deadline) if needs_intent else None
        if refused is not None:
            return self._end(request, ticket, Exchanged(refused))
        ended = await exchange(lambda: self._send(ticket, deadline))
        return self._end(request, ticket, ended)

    async def _record_intent(
        self, request: OnceRequest, ticket: Record, deadline: Deadline
    ) -> NotRun | None:
        left_s = deadline.remaining_s(self._clock)
        try:
            recorded = await asyncio.wait_for(self._journal.record(request), left_s)
        except TimeoutError:
            return NotRun(NotRunReason.DEADLINE, Step.INTENT, self._peer)
        match recorded:
            case NotRecorded(reason):
                return NotRun(reason, Step.INTENT, self._peer, RETRY_SOON_S)
            case Recorded() | Unjournaled():
                self._ledger.intent_recorded(ticket)
        return None

    def _send(self, ticket: Record, deadline: Deadline) -> bool:
        if deadline.passed(self._clock) or not self._may_act(ticket.shard):
            return False
        return self._ledger.send(ticket)

    def _end(self, request: OnceRequest, ticket: Record, exchanged: Exchanged) -> OnceResult:
        outcome = exchanged.outcome
        match outcome:
            case Answered():
                self._ledger.answered(ticket, exchanged.answer)
                return OnceResult(outcome, exchanged.answer)
            case NotRun(reason, step, peer, retry_after_s):
                quiet_s = 0.0 if reason in REROUTE_REASONS else request.quiet_s
                self._forget(ticket, reason, quiet_s)
                if quiet_s > 0:
                    retry_after_s = max(retry_after_s or 0.0, quiet_s)
                refusal = NotRun(reason, step, peer, retry_after_s)
                return OnceResult(self._vouched(ticket.shard, refusal))
            case Unknown():
                self._ledger.unknown(ticket)
        return OnceResult(outcome)

    def _forget(self, ticket: Record, reason: NotRunReason, quiet_s: float) -> None:
        self._ledger.not_run(ticket, reason, quiet_s)
        if quiet_s == 0:
            self._journal.retract(ticket.identity)

    def _abandon(self, ticket: Record) -> None:
        """Release a ticket; end it if its exchange was cancelled or failed without an end."""
        del self._tasks_by_record[ticket]
        if ticket.state is RecordState.SENT:
            self._ledger.unknown(ticket)
        elif ticket.unsent:
            self._forget(ticket, NotRunReason.CANCELLED, 0.0)

    def _refused(
        self, shard: ShardId, reason: NotRunReason, retry_after_s: float | None
    ) -> OnceResult:
        refusal = NotRun(reason, Step.ADMIT, self._peer, retry_after_s)
        return OnceResult(self._vouched(shard, refusal))

    def _vouched(self, shard: ShardId, refusal: NotRun) -> NotRun:
        if self._may_act(shard):
            return refusal
        return NotRun(NotRunReason.MOVING, refusal.step, self._peer, RETRY_SOON_S)

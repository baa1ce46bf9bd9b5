"""A store client that keeps to its share of the service's rates."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar

from result import Err, Result

from fuchsiawell.platform.calls import READS, CallCounts, CallKind
from fuchsiawell.platform.store import AnswerLost, Store, StoreError, Unavailable
from fuchsiawell.platform.token_bucket import TokenBucket
from fuchsiawell.platform.wrapped_store import WrappedStore

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiawell.core import Clock

__all__ = ["BudgetedStore", "CallBudget", "StoreMetrics"]

PEER = "call budget"

T = TypeVar("T")
E = TypeVar("E")


@dataclass(frozen=True, slots=True)
class CallBudget:
    """Hold this client's share of the service's rates, in calls a second."""

    reads_per_s: float
    writes_per_s: float
    burst_s: float = 1.0  # seconds of the rate that may be used at once
    max_wait_s: float = 0.5  # longest wait for a turn before a call is refused


@dataclass(slots=True)
class StoreMetrics:
    """Count what became of the calls."""

    calls: CallCounts = field(default_factory=CallCounts)  # sent to the service
    over_budget: CallCounts = field(default_factory=CallCounts)  # refused here
    unavailable: CallCounts = field(default_factory=CallCounts)
    answers_lost: CallCounts = field(default_factory=CallCounts)
    waited_s: float = 0.0  # time in all that calls waited for their turn


class BudgetedStore(WrappedStore):
    """Let calls wait for their turn, and refuse as not made those that would wait too long.

    A watch counts as one read, however long it waits.
    """

    def __init__(
        self,
        inner: Store,
        clock: Clock,
        budget: CallBudget,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        super().__init__(inner)
        self._sleep = sleep
        self._max_wait_s = budget.max_wait_s
        self._reads = _bucket(clock, budget.reads_per_s, budget.burst_s)
        self._writes = _bucket(clock, budget.writes_per_s, budget.burst_s)
        self.metrics = StoreMetrics()

    async def _call(
        self, kind: CallKind, call: Callable[[], Awaitable[Result[T, E]]]
    ) -> Result[T, E | StoreError]:
        bucket = self._reads if kind in READS else self._writes
        wait_s = bucket.reserve(self._max_wait_s)
        if wait_s is None:
            self.metrics.over_budget.add(kind)
            return Err(Unavailable(kind, PEER, f"no turn within {self._max_wait_s} s"))
        if wait_s > 0:
            await self._wait(bucket, wait_s)
        self.metrics.calls.add(kind)
        result = await call()
        self._count_errors(kind, result)
        return result

    async def _wait(self, bucket: TokenBucket, wait_s: float) -> None:
        self.metrics.waited_s += wait_s
        try:
            await self._sleep(wait_s)
        except asyncio.CancelledError:
            bucket.give_back()
            raise

    def _count_errors(self, kind: CallKind, result: Result[T, E]) -> None:
        match result:
            case Err(Unavailable()):
                self.metrics.unavailable.add(kind)
            case Err(AnswerLost()):
                self.metrics.answers_lost.add(kind)


def _bucket(clock: Clock, rate_per_s: float, burst_s: float) -> TokenBucket:
    return TokenBucket(clock, rate_per_s, max(1.0, rate_per_s * burst_s))

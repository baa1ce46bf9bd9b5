"""A store client that repeats reads which failed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

from result import Err, Result

from fuchsiawell.platform.backoff import Backoff, BackoffSettings, RetryBudget
from fuchsiawell.platform.calls import CallCounts, CallKind
from fuchsiawell.platform.store import AnswerLost, Store, StoreError, Unavailable
from fuchsiawell.platform.wrapped_store import WrappedStore

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

__all__ = ["RetryingStore"]

RETRIED = frozenset({CallKind.GET, CallKind.LIST})  # watches have their own loop, see `watch_key`
MAX_ATTEMPTS = 4

T = TypeVar("T")
E = TypeVar("E")


class RetryingStore(WrappedStore):
    """Repeat reads with jittered pauses within a retry budget; writes pass through once."""

    def __init__(
        self,
        inner: Store,
        random: Random,
        budget: RetryBudget | None = None,
        backoff: BackoffSettings | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        super().__init__(inner)
        self._random = random
        self._budget = budget or RetryBudget()
        self._backoff = backoff
        self._sleep = sleep
        self.retries = CallCounts()

    async def _call(
        self, kind: CallKind, call: Callable[[], Awaitable[Result[T, E]]]
    ) -> Result[T, E | StoreError]:
        if kind not in RETRIED:
            return await call()
        self._budget.note_call()
        backoff = Backoff(self._random, self._backoff)
        for _ in range(MAX_ATTEMPTS - 1):
            result = await call()
            if not _failed(result) or not self._budget.take():
                return result
            self.retries.add(kind)
            await self._sleep(backoff.next_s())
        return await call()


def _failed(result: Result[T, E]) -> bool:
    return isinstance(result, Err) and isinstance(result.err_value, Unavailable | AnswerLost)

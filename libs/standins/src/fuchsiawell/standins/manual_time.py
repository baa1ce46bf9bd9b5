"""Time that tests move by hand, with sleeps that end as it passes."""

from __future__ import annotations

import asyncio
import heapq
from itertools import count

from fuchsiawell.core import ManualClock

__all__ = ["ManualTime"]

SETTLE_TURNS = 50  # turns of the loop after which what a wake-up caused has happened


class ManualTime(ManualClock):
    """Stand still until told to run; pass `sleep` to code that waits."""

    def __init__(self, start_s: float = 0.0) -> None:
        super().__init__(start_s)
        self._sleeps: list[tuple[float, int, asyncio.Future[None]]] = []
        self._numbers = count()

    async def sleep(self, seconds: float) -> None:
        """Wait until `seconds` have passed on this clock."""
        if seconds <= 0:
            await asyncio.sleep(0)
            return
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        due_s = self.monotonic() + seconds
        heapq.heappush(self._sleeps, (due_s, next(self._numbers), done))
        await done

    async def run(self, seconds: float) -> None:
        """Let `seconds` pass, and everything that was due in that time happen in order."""
        end_s = self.monotonic() + seconds
        await self.settle()
        while self._sleeps and self._sleeps[0][0] <= end_s:
            due_s, _, done = heapq.heappop(self._sleeps)
            if done.done():
                continue
            self.advance(max(0.0, due_s - self.monotonic()))
            done.set_result(None)
            await self.settle()
        self.advance(max(0.0, end_s - self.monotonic()))
        await self.settle()

    async def settle(self) -> None:
        """Let everything happen that needs no time."""
        for _ in range(SETTLE_TURNS):
            await asyncio.sleep(0)

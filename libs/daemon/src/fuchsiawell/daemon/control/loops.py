"""Steps that a daemon repeats for as long as it runs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiawell.core import EventLog

__all__ = ["Loops"]


class Loops:
    """Own the tasks of repeated steps; a step that fails is logged and taken again."""

    def __init__(self, log: EventLog, sleep: Callable[[float], Awaitable[None]]) -> None:
        self._log = log
        self._sleep = sleep
        self._tasks: list[asyncio.Task[None]] = []

    def every(self, period_s: float, name: str, step: Callable[[], Awaitable[None]]) -> None:
        """Take the step at once, and again `period_s` after each time that it ended."""
        self._tasks.append(asyncio.create_task(self._repeat(period_s, name, step), name=name))

    async def stop(self) -> None:
        """Cancel all tasks and wait for their end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def _repeat(
        self, period_s: float, name: str, step: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            try:
                await step()
            except Exception as error:
                # Whatever it was: a daemon without one of its loops would look alive and do harm.
                self._log.warning("step failed", step=name, detail=repr(error))
            await self._sleep(period_s)

"""The slots of a backend server and the queue before them."""

from __future__ import annotations

import asyncio
from collections import deque

__all__ = ["Slots"]


class Slots:
    """Let `count` pieces of work run at once; later ones wait in order of arrival."""

    def __init__(self, count: int, queue_limit: int) -> None:
        self.count = count
        self._queue_limit = queue_limit
        self._waiting: deque[asyncio.Future[None]] = deque()
        self.running = 0
        self.peak_running = 0

    @property
    def queued(self) -> int:
        """Return how many wait for a slot."""
        return len(self._waiting)

    @property
    def full(self) -> bool:
        """Tell whether one more could neither run nor wait."""
        return self.running >= self.count and self.queued >= self._queue_limit

    async def acquire(self) -> None:
        """Take a slot; a caller that is cancelled while it waits leaves the queue."""
        if self.running < self.count:
            self._start()
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.release()
            else:
                self._waiting.remove(turn)
            raise

    def release(self) -> None:
        """Give a slot back; the one that waits longest takes it at once."""
        self.running -= 1
        if self._waiting and self.running < self.count:
            turn = self._waiting.popleft()
            self._start()
            turn.set_result(None)

    def _start(self) -> None:
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)

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

    def request(self) -> asyncio.Future[None]:
        """Return a turn that is done once it has a slot; give it up by `withdraw`."""
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if self.running < self.count:
            self._start(turn)
        else:
            self._waiting.append(turn)
        return turn

    def withdraw(self, turn: asyncio.Future[None]) -> None:
        """Leave the queue, or give back a slot that came too late to be used."""
        if turn in self._waiting:
            self._waiting.remove(turn)
        elif not turn.cancelled():
            self.release()

    def release(self) -> None:
        """Give a slot back; the one that waits longest takes it at once."""
        self.running -= 1
        if self._waiting:
            self._start(self._waiting.popleft())

    def _start(self, turn: asyncio.Future[None]) -> None:
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        turn.set_result(None)

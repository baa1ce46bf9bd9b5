"""Waiting for a slot of one backend server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.load import Admission, Admit, Entry, Queued, QueueSettings, Shed

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiawell.core import Clock
    from fuchsiawell.load import Progress, ShedEntry

__all__ = ["Gate"]

MIN_CHECK_S = 0.002  # between two looks at the queue, so that looking never becomes the load
MAX_CHECK_S = 1.0


class Gate:
    """Run the decisions of `Admission` for tasks that wait, and keep its timer."""

    def __init__(self, settings: QueueSettings, clock: Clock) -> None:
        self.slots = settings.slots
        self._admission = Admission(settings)
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._waiting: dict[Entry, asyncio.Future[Shed | None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def queued(self) -> int:
        """Count the requests that wait."""
        return self._admission.queued

    @property
    def running(self) -> int:
        """Count the requests that hold a slot."""
        return self._admission.running

    def limit(self) -> int:
        """Return the slots in use now, fewer than all while the server starts or sheds."""
        return self._admission.limit(self._clock.monotonic())

    def expected_s(self, kind: str) -> float:
        """Return how long a request of this kind is expected to hold a slot."""
        return self._admission.expected_s(kind)

    async def enter(self, entry: Entry) -> Shed | None:
        """Wait for a slot; return `None` once it is held, or why the request is refused.

        A slot that is held must be given back by `leave` or `refused`, also after cancellation.
        """
        decision = self._admission.offer(entry, self._clock.monotonic())
        match decision:
            case Admit():
                return None
            case Shed():
                return decision
            case Queued(displaced):
                self._refuse(displaced)
                return await self._wait(entry)

    def leave(self, entry: Entry, *, measured: bool) -> None:
        """Give a slot back; `measured` where the request ended with its whole answer."""
        self._apply(self._admission.finish(entry, self._clock.monotonic(), measured=measured))

    def refused(self, entry: Entry, pause_s: float) -> None:
        """Give back the slot of a request that the server itself shed."""
        self._apply(self._admission.refused(entry, self._clock.monotonic(), pause_s))

    def close(self) -> None:
        """Stop the timer; tasks that wait must be cancelled."""
        if self._timer is not None:
            self._timer.cancel()

    async def _wait(self, entry: Entry) -> Shed | None:
        future: asyncio.Future[Shed | None] = self._loop.create_future()
        self._waiting[entry] = future
        self._arm()
        try:
            return await future
        except asyncio.CancelledError:
            if not self._admission.cancel(entry) and self._was_started(future):
                self.leave(entry, measured=False)
            raise
        finally:
            self._waiting.pop(entry, None)

    def _was_started(self, future: asyncio.Future[Shed | None]) -> bool:
        return future.done() and not future.cancelled() and future.result() is None

    def _apply(self, progress: Progress) -> None:
        for entry in progress.start:
            self._tell(entry, None)
        self._refuse(progress.shed)
        self._arm()

    def _refuse(self, shed: Iterable[ShedEntry]) -> None:
        for refused in shed:
            self._tell(refused.entry, refused.shed)

    def _tell(self, entry: Entry, decision: Shed | None) -> None:
        future = self._waiting.pop(entry, None)
        if future is not None and not future.done():
            future.set_result(decision)
        elif decision is None:
            # Its task was cancelled in this turn of the loop, and will not use the slot.
            self._apply(self._admission.finish(entry, self._clock.monotonic(), measured=False))

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now_s = self._clock.monotonic()
        check_s = self._admission.next_check_s(now_s)
        if check_s is not None:
            delay_s = max(MIN_CHECK_S, min(MAX_CHECK_S, check_s - now_s))
            self._timer = self._loop.call_later(delay_s, self._expire)

    def _expire(self) -> None:
        self._timer = None
        self._apply(self._admission.expire(self._clock.monotonic()))

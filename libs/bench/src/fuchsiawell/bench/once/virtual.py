"""An event loop whose time jumps to the next timer, so that hours of waiting take no time."""

from __future__ import annotations

import asyncio
import selectors
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING, Any, TypeVar

from fuchsiawell.core import Clock

if TYPE_CHECKING:
    from collections.abc import Coroutine

__all__ = ["LoopClock", "VirtualLoop", "run_virtual"]

T = TypeVar("T")
EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class _JumpingSelector(selectors.SelectSelector):
    """Advance the loop's time in place of waiting."""

    elapsed_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        events = super().select(0)
        if not events and timeout is None:
            raise RuntimeError("every task waits for something that never comes")
        if not events and timeout is not None:
            self.elapsed_s += max(0.0, timeout)
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run tasks in the order of their timers without waiting; sockets are not for it."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the seconds of virtual time since the loop was made."""
        return self._jumping.elapsed_s


class LoopClock(Clock):
    """Read the time of the running loop."""

    def now(self) -> datetime:
        """Return a fixed date plus the loop's time."""
        return EPOCH + timedelta(seconds=self.monotonic())

    def monotonic(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run `main` in a virtual loop of its own and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)

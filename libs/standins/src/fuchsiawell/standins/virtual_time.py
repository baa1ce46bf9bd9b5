"""Event loop with virtual time, so that long waits take no real time."""

from __future__ import annotations

import asyncio
import selectors
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING, Any

from fuchsiawell.core import Clock

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

__all__ = ["VirtualClock", "VirtualTimeLoop", "run_in_virtual_time"]


class _SkippingSelector(selectors.SelectSelector):
    """Never block: advance the time of the loop instead."""

    elapsed_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError("every task waits for something that cannot happen any more")
        self.elapsed_s += timeout
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose time goes on only while nothing can run."""

    def __init__(self) -> None:
        self._virtual_selector = _SkippingSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.elapsed_s


class VirtualClock(Clock):
    """The time of the running loop; starts at 0 s."""

    def now(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=self.monotonic())

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()


def run_in_virtual_time(
    main: Coroutine[Any, Any, None],
    create_loop: Callable[[], VirtualTimeLoop] = VirtualTimeLoop,
) -> None:
    """Run a coroutine to its end; a wait takes no real time. Sockets must not be used."""
    with asyncio.Runner(loop_factory=create_loop) as runner:
        runner.run(main)

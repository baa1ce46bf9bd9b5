"""Run a control loop: start it again when it fails, and report it when that does not help."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from fuchsiawell.gateway.session.state import Session

__all__ = ["run_control_loop"]

# A loop that fails this often within the window is broken.
MAX_FAILURES = 8
FAILURE_WINDOW_S = 60.0
# Delay before a loop is started again; doubles with each failure in the window.
MIN_RESTART_DELAY_S, MAX_RESTART_DELAY_S = 0.25, 5.0


async def run_control_loop(
    name: str,
    run: Callable[[], Coroutine[None, None, None]],
    session: Session,
    on_broken: Callable[[str], None],
) -> None:
    """Run a loop until cancelled; call `on_broken` and return once it fails again and again.

    The requests of the daemon go on: ending the process at once would cut all of them.
    """
    failures_s: deque[float] = deque()
    while True:
        reason = "it returned"
        try:
            await run()
        except asyncio.CancelledError as error:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            # Of something that the loop awaited.
            reason = repr(error)
        except Exception as error:
            reason = repr(error)
        failures_s.append(session.now_s)
        while session.now_s - failures_s[0] > FAILURE_WINDOW_S:
            failures_s.popleft()
        broken = len(failures_s) >= MAX_FAILURES
        session.metrics.count("control_loop_failures", name)
        session.log.warning(
            "control loop ended",
            loop=name,
            reason=reason,
            failures=len(failures_s),
            next="stop of the daemon" if broken else "restart",
        )
        if broken:
            on_broken(name)
            return
        delay_s = MIN_RESTART_DELAY_S * 2 ** (len(failures_s) - 1)
        await asyncio.sleep(min(MAX_RESTART_DELAY_S, delay_s))

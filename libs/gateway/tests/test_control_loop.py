"""A control loop that fails must not cut the requests of its daemon.

Guards against a process that ends at once when a control loop raises, with all requests on it, and
against a loop that is broken without anyone noticing (issue 26).
"""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from fuchsiawell.gateway.control.control_loop import MAX_FAILURES, run_control_loop
from fuchsiawell.standins import VirtualClock, run_in_virtual_time

from builders import log_events, session


class Loop:
    """Fails the given number of times, then runs until it is cancelled."""

    def __init__(self, failures: int, interval_s: float = 0.0, returns: bool = False) -> None:
        self.failures_left = failures
        self.interval_s = interval_s
        self.returns = returns
        self.starts = 0
        self.running = False

    async def run(self) -> None:
        self.starts += 1
        await asyncio.sleep(self.interval_s)
        if self.failures_left:
            self.failures_left -= 1
            if self.returns:
                return
            raise KeyError("odd entry")
        self.running = True
        await asyncio.Event().wait()


def run_loop(loop: Loop, seconds: float) -> tuple[Any, list[str]]:
    """Run a loop for some virtual seconds; return the session and the loops reported broken."""
    broken: list[str] = []
    local_session = session()

    async def run() -> None:
        local_session.clock = cast("Any", VirtualClock())
        task = asyncio.create_task(
            run_control_loop("test loop", loop.run, local_session, broken.append)
        )
        await asyncio.sleep(seconds)
        if not broken:
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task

    run_in_virtual_time(run())
    return local_session, broken


@pytest.mark.parametrize("returns", [False, True])
def test_loop_that_fails_is_logged_and_started_again(returns: bool) -> None:
    loop = Loop(failures=2, returns=returns)
    local_session, broken = run_loop(loop, 5.0)
    assert (loop.starts, loop.running, broken) == (3, True, [])
    events = log_events(local_session, "control loop ended")
    assert [(event["loop"], event["failures"]) for event in events] == [
        ("test loop", 1),
        ("test loop", 2),
    ]
    assert all(("odd entry" in event["reason"]) != returns for event in events)
    assert local_session.metrics.total("control_loop_failures") == 2


def test_loop_that_fails_again_and_again_is_reported_broken_once() -> None:
    loop = Loop(failures=1000)
    local_session, broken = run_loop(loop, 300.0)
    assert (loop.starts, broken) == (MAX_FAILURES, ["test loop"])
    assert log_events(local_session, "control loop ended")[-1]["next"] == "stop of the daemon"


def test_rare_failures_do_not_add_up() -> None:
    loop = Loop(failures=1000, interval_s=30.0)
    _, broken = run_loop(loop, 30.0 * MAX_FAILURES * 3)
    assert not broken
    assert loop.starts > MAX_FAILURES


# Guards against a loop that is gone without anyone noticing, when something that it awaits is
# cancelled.
async def test_a_loop_that_ends_by_a_cancelled_future_is_started_again() -> None:
    starts = 0

    async def run() -> None:
        nonlocal starts
        starts += 1
        if starts == 1:
            future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            future.cancel()
            await future
        await asyncio.Event().wait()

    broken: list[str] = []
    task = asyncio.create_task(run_control_loop("test loop", run, session(), broken.append))
    await asyncio.wait({task}, timeout=1.0)
    assert (starts, task.done(), broken) == (2, False, [])
    task.cancel()
    await asyncio.wait({task})
    assert task.cancelled()

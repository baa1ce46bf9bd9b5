from __future__ import annotations

import asyncio
import io
import json

from fuchsiawell.core import LamportClock, SystemClock, open_event_log
from fuchsiawell.daemon.control.loops import Loops


async def test_a_step_that_fails_is_logged_and_taken_again() -> None:
    stream = io.StringIO()
    loops = Loops(open_event_log("d1", SystemClock(), LamportClock(), stream=stream), asyncio.sleep)
    taken = asyncio.Event()
    failures = [RuntimeError("first"), AssertionError("second")]

    async def step() -> None:
        if failures:
            raise failures.pop(0)
        taken.set()

    loops.every(0.0, "step", step)
    async with asyncio.timeout(10.0):
        await taken.wait()
    await loops.stop()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    details = [line["detail"] for line in lines]
    assert details == ["RuntimeError('first')", "AssertionError('second')"]
    assert {line["step"] for line in lines} == {"step"}

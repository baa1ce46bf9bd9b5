from __future__ import annotations

import asyncio

from fuchsiawell.core import RequestId, SystemClock
from fuchsiawell.daemon.leader.gate import Gate
from fuchsiawell.load import Entry, QueueSettings, Shed, ShedCause

CLOCK = SystemClock()


def entry(name: str, budget_s: float = 60.0) -> Entry:
    return Entry(RequestId(name), "kind", name, CLOCK.monotonic() + budget_s)


async def test_a_request_waits_for_the_slot_of_another() -> None:
    gate = Gate(QueueSettings(1), CLOCK)
    first = entry("first")
    assert await gate.enter(first) is None
    second = asyncio.create_task(gate.enter(entry("second")))
    await asyncio.sleep(0)
    assert not second.done()
    gate.leave(first, measured=True)
    assert await second is None
    gate.close()


async def test_a_cancelled_request_leaves_the_queue() -> None:
    gate = Gate(QueueSettings(1), CLOCK)
    first = entry("first")
    await gate.enter(first)
    second = asyncio.create_task(gate.enter(entry("second")))
    await asyncio.sleep(0)
    second.cancel()
    await asyncio.gather(second, return_exceptions=True)
    assert gate.queued == 0
    gate.leave(first, measured=True)
    assert gate.running == 0
    gate.close()


async def test_a_slot_given_to_a_request_that_is_being_cancelled_comes_back() -> None:
    gate = Gate(QueueSettings(1), CLOCK)
    first = entry("first")
    await gate.enter(first)
    second = asyncio.create_task(gate.enter(entry("second")))
    await asyncio.sleep(0)
    gate.leave(first, measured=True)
    second.cancel()  # after the slot was given, before the task runs again
    await asyncio.gather(second, return_exceptions=True)
    assert gate.running == 0
    gate.close()


async def test_a_full_queue_refuses_at_once_and_says_when_to_come_back() -> None:
    gate = Gate(QueueSettings(1, max_queued=1), CLOCK)
    await gate.enter(entry("first"))
    waiting = asyncio.create_task(gate.enter(entry("second")))
    await asyncio.sleep(0)
    refused = await gate.enter(entry("second"))
    assert isinstance(refused, Shed)
    assert refused.cause is ShedCause.FULL
    assert refused.retry_after_s > 0
    waiting.cancel()
    gate.close()

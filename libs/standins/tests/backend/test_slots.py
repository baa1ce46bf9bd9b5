from __future__ import annotations

from fuchsiawell.standins.backend.slots import Slots


async def test_turns_are_given_in_order_and_those_who_leave_are_passed_over() -> None:
    slots = Slots(1, queue_limit=3)
    turns = [slots.request() for _ in range(4)]
    assert (turns[0].done(), slots.queued, slots.full) == (True, 3, True)
    slots.withdraw(turns[2])
    assert (slots.queued, slots.full) == (2, False)
    slots.release()
    assert turns[1].done()
    slots.withdraw(turns[1])
    assert turns[3].done()
    assert (slots.running, slots.queued, slots.peak_running) == (1, 0, 1)

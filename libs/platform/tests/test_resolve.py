from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from fuchsiawell.core import Deadline
from fuchsiawell.platform import (
    ABSENT,
    AnswerLost,
    CallKind,
    Conflict,
    LeaseId,
    LeaseLapsed,
    Record,
    Revision,
    Unavailable,
    WriteError,
    resolve_put,
)
from fuchsiawell.standins.faults import (
    Fault,
    FaultPlan,
    Hang,
    LoseAnswer,
    LoseRequest,
    NoFault,
    RandomFaults,
    Refuse,
    ScriptedFaults,
)
from fuchsiawell.standins.manual_time import ManualTime
from fuchsiawell.standins.memory_store import MemoryStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

DEADLINE_S = 5.0
FAULTS: list[Fault] = [Refuse(), LoseRequest(), LoseAnswer(), Hang(1.0), Hang(1.0, True)]


async def _resolve(
    memory: MemoryStore, time: ManualTime, value: bytes = b"mine", lease: LeaseId | None = None
) -> Result[Record, WriteError]:
    deadline = Deadline.after(time, DEADLINE_S)
    random = Random(1)
    write = asyncio.ensure_future(
        resolve_put(memory, "a", value, ABSENT, deadline, time, random, lease, time.sleep)
    )
    await time.run(DEADLINE_S * 2)
    return write.result()


@pytest.mark.parametrize("fault", [LoseAnswer(), LoseRequest(), Hang(1.0), Hang(1.0, True)])
async def test_a_lost_answer_is_found_out_and_the_write_counts_once(fault: Fault) -> None:
    time = ManualTime()
    memory = MemoryStore(time, ScriptedFaults([fault], {CallKind.PUT}), time.sleep)
    assert await _resolve(memory, time) == Ok(Record("a", b"mine", Revision(1)))


async def test_a_certain_refusal_is_passed_on() -> None:
    time = ManualTime()
    memory = MemoryStore(time, ScriptedFaults([Refuse()]), time.sleep)
    assert isinstance((await _resolve(memory, time)).unwrap_err(), Unavailable)
    other = (await memory.put("a", b"other", ABSENT)).unwrap()
    assert await _resolve(memory, time) == Err(Conflict(other))
    assert memory.counts.by_kind[CallKind.GET] == 0


async def test_a_store_that_stays_away_leaves_it_unknown_at_the_deadline() -> None:
    time = ManualTime()
    memory = MemoryStore(time, ScriptedFaults([LoseAnswer(), *[Refuse()] * 1000]), time.sleep)
    error = (await _resolve(memory, time)).unwrap_err()
    assert isinstance(error, AnswerLost)
    assert error.detail == "the deadline passed"


async def test_another_write_that_covers_the_traces_leaves_it_unknown() -> None:
    time = ManualTime()

    class OtherWriter(FaultPlan):
        def decide(self, kind: CallKind, key: str) -> Fault:
            if kind is CallKind.PUT and memory.plan is self:
                return LoseAnswer()
            if kind is CallKind.GET:
                memory.plan = ScriptedFaults([])
                memory._put("a", b"other", Revision(1), None)
            return NoFault()

    memory = MemoryStore(time, OtherWriter(), time.sleep)
    assert isinstance((await _resolve(memory, time)).unwrap_err(), AnswerLost)


async def test_a_lapsed_lease_is_certain_only_at_the_first_try() -> None:
    time = ManualTime()
    memory = MemoryStore(time, sleep=time.sleep)
    gone = LeaseId("gone")
    assert await _resolve(memory, time, lease=gone) == Err(LeaseLapsed(gone))
    memory.plan = ScriptedFaults([LoseRequest()], {CallKind.PUT})
    assert isinstance((await _resolve(memory, time, lease=gone)).unwrap_err(), AnswerLost)


@given(seed=st.integers(0, 2**32), share=st.sampled_from([0.2, 0.5, 0.9]))
def test_it_never_guesses(seed: int, share: float) -> None:
    """Two writers race through faults: each `Ok` is in the history, each certain error is not."""

    async def race() -> None:
        time = ManualTime()
        memory = MemoryStore(time, RandomFaults(Random(seed), share, FAULTS), time.sleep)
        history = _recorded(memory)
        writes = [
            asyncio.ensure_future(
                resolve_put(
                    memory, "a", value, ABSENT, Deadline.after(time, 9.0), time, Random(seed),
                    None, time.sleep,
                )
            )
            for value in (b"first", b"second")
        ]  # fmt: skip
        await time.run(30.0)
        for value, write in zip((b"first", b"second"), writes, strict=True):
            match write.result():
                case Ok(record):
                    assert record.value == value
                    assert record.value in history()
                case Err(AnswerLost()):
                    pass
                case Err():
                    assert value not in history()
        assert len(history()) <= 1

    asyncio.run(race())


def _recorded(memory: MemoryStore) -> Callable[[], list[bytes]]:
    written: list[bytes] = []
    put = memory._put

    def recording(
        key: str, value: bytes, expected: Revision, lease: LeaseId | None
    ) -> Result[Record, WriteError]:
        result = put(key, value, expected, lease)
        if result.is_ok():
            written.append(value)
        return result

    memory._put = recording  # type: ignore[method-assign]
    return lambda: written

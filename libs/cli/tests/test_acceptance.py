from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING

import pytest

from fuchsiawell.cli.accept import accept_into
from fuchsiawell.cli.acceptance import (
    ChangedMeanwhile,
    NotWritten,
    OutOfDate,
    Refused,
    Waiting,
    WriteUnknown,
    commit,
    in_force,
    prepare,
)
from fuchsiawell.cli.exits import Exit
from fuchsiawell.cli.hazards import Consent
from fuchsiawell.config import (
    Configuration,
    Goal,
    Kind,
    Service,
    configuration_key,
    encode_configuration,
)
from fuchsiawell.core import CellName, ManualClock, ServiceName
from fuchsiawell.platform import ABSENT, CallKind
from fuchsiawell.standins.faults import (
    LoseAnswer,
    LoseRequest,
    Refuse,
    ScriptedFaults,
    SettableFaults,
)
from fuchsiawell.standins.memory_store import MemoryStore

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiawell.standins.faults import Fault

NAME = ServiceName("penwatch")
LEVEL = Kind("level", True, 1.0, 0)
SERVICE = Service(NAME, 128, 4, True, True, Goal.IMBALANCE, kinds_by_name={"level": LEVEL})
FIRST = Configuration(0, CellName("viti-west"), "fiji", ("vuda",), {NAME: SERVICE})
CONSENT = Consent()
MOST_WRITES = 20  # in 10 s with pauses that grow from 25 ms to 1 s at least


def waiting(meanwhile: Callable[[], Awaitable[None]] | None = None) -> Waiting:
    clock = ManualClock()

    async def sleep(seconds: float) -> None:
        clock.advance(seconds)
        if meanwhile is not None:
            await meanwhile()

    return Waiting(clock, Random(1), sleep)


def with_slots(slots: int, version: int) -> Configuration:
    return replace(FIRST, version=version, services_by_name={NAME: replace(SERVICE, slots=slots)})


async def store_with(configuration: Configuration) -> MemoryStore:
    store = MemoryStore(ManualClock())
    key = configuration_key(configuration.cell)
    (await store.put(key, encode_configuration(configuration), ABSENT)).unwrap()
    return store


async def in_store(store: MemoryStore) -> Configuration | None:
    store.plan = ScriptedFaults([])
    return (await in_force(store, FIRST)).unwrap()[0]


async def test_versions_go_up_by_one_from_nothing() -> None:
    store = MemoryStore(ManualClock())
    assert await accept_into(store, FIRST, CONSENT, waiting()) is Exit.DONE
    assert await in_store(store) == replace(FIRST, version=1)
    assert await accept_into(store, with_slots(5, 1), CONSENT, waiting()) is Exit.DONE
    assert await in_store(store) == with_slots(5, 2)


async def test_a_file_made_from_another_version_is_a_conflict_that_shows_the_difference() -> None:
    store = await store_with(with_slots(9, 3))
    error = (await prepare(store, with_slots(5, 2), CONSENT)).unwrap_err()
    assert isinstance(error, OutOfDate)
    assert (error.made_from, error.in_force) == (2, 3)
    assert [str(change) for change in error.differences] == ["services[penwatch].slots: 5 -> 9"]


async def test_of_two_operators_at_once_the_second_sees_the_first_ones_change() -> None:
    store = await store_with(with_slots(4, 1))
    first = (await prepare(store, with_slots(8, 1), CONSENT)).unwrap()
    second = (await prepare(store, with_slots(16, 1), CONSENT)).unwrap()
    assert (await commit(store, first, waiting())).unwrap() == 2
    error = (await commit(store, second, waiting())).unwrap_err()
    assert isinstance(error, ChangedMeanwhile)
    assert error.version == 2
    assert [str(change) for change in error.differences] == ["services[penwatch].slots: 4 -> 8"]
    assert await in_store(store) == with_slots(8, 2)


@pytest.mark.parametrize(
    "faults", [[LoseAnswer()], [LoseRequest()], [LoseAnswer(), Refuse()], [LoseRequest()] * 3]
)
async def test_a_lost_answer_is_resolved_and_the_change_written_once(faults: list[Fault]) -> None:
    store = await store_with(with_slots(4, 1))
    plan = (await prepare(store, with_slots(8, 1), CONSENT)).unwrap()
    store.plan = ScriptedFaults(faults, [CallKind.PUT])
    assert (await commit(store, plan, waiting())).unwrap() == 2
    assert await in_store(store) == with_slots(8, 2)


async def test_a_lost_answer_before_another_operators_write_is_a_conflict() -> None:
    store = await store_with(with_slots(4, 1))
    ours, theirs = [
        (await prepare(store, with_slots(slots, 1), CONSENT)).unwrap() for slots in (8, 16)
    ]

    async def meanwhile() -> None:
        (await commit(store, theirs, waiting())).unwrap()

    store.plan = ScriptedFaults([LoseRequest(), Refuse()], [CallKind.PUT, CallKind.GET])
    error = (await commit(store, ours, waiting(meanwhile))).unwrap_err()
    assert isinstance(error, ChangedMeanwhile)
    assert await in_store(store) == with_slots(16, 2)


async def test_a_lost_answer_under_two_later_versions_stays_unknown() -> None:
    store = await store_with(with_slots(4, 1))
    ours = (await prepare(store, with_slots(8, 1), CONSENT)).unwrap()

    async def meanwhile() -> None:
        plan = (await prepare(store, with_slots(16, 2), CONSENT)).unwrap()
        (await commit(store, plan, waiting())).unwrap()

    store.plan = ScriptedFaults([LoseAnswer(), Refuse()], [CallKind.PUT, CallKind.GET])
    error = (await commit(store, ours, waiting(meanwhile))).unwrap_err()
    assert isinstance(error, WriteUnknown)


async def test_a_refused_write_changed_nothing_and_says_so() -> None:
    store = await store_with(with_slots(4, 1))
    store.plan = ScriptedFaults([Refuse()], [CallKind.PUT])
    plan = (await prepare(store, with_slots(8, 1), CONSENT)).unwrap()
    assert isinstance((await commit(store, plan, waiting())).unwrap_err(), NotWritten)
    assert await in_store(store) == with_slots(4, 1)


async def test_answers_that_stay_lost_end_as_unknown_and_never_as_accepted(
    capsys: pytest.CaptureFixture[str],
) -> None:
    store = await store_with(with_slots(4, 1))
    faults = SettableFaults()
    faults.set(LoseRequest(), [CallKind.PUT])
    store.plan = faults
    assert await accept_into(store, with_slots(8, 1), CONSENT, waiting()) is Exit.UNKNOWN
    printed = capsys.readouterr()
    assert "Accepted" not in printed.out
    assert "Outcome unknown" in printed.err
    assert store.counts.writes <= MOST_WRITES
    assert await in_store(store) == with_slots(4, 1)


async def test_a_store_that_cannot_be_read_is_an_error_with_step_and_peer() -> None:
    store = MemoryStore(ManualClock(), ScriptedFaults([Refuse()]))
    error = (await prepare(store, FIRST, CONSENT)).unwrap_err()
    assert isinstance(error, NotWritten)
    assert (error.step, error.peer) == ("get", "store")


async def test_what_would_break_keys_in_force_is_refused() -> None:
    store = await store_with(with_slots(4, 1))
    smaller = replace(FIRST, version=1, services_by_name={NAME: replace(SERVICE, shard_count=64)})
    error = (await prepare(store, smaller, CONSENT)).unwrap_err()
    assert isinstance(error, Refused)
    kept = (await prepare(store, smaller, Consent(keep_shards=True))).unwrap()
    assert kept.differences == []


async def test_the_same_rules_again_write_nothing(capsys: pytest.CaptureFixture[str]) -> None:
    store = await store_with(with_slots(4, 1))
    for version in (0, 1):
        assert await accept_into(store, with_slots(4, version), CONSENT, waiting()) is Exit.DONE
        assert "Nothing to change: version 1" in capsys.readouterr().out
    assert await in_store(store) == with_slots(4, 1)


async def test_bytes_in_the_store_that_are_no_configuration_are_left_alone() -> None:
    store = MemoryStore(ManualClock())
    (await store.put(configuration_key(FIRST.cell), b"{}", ABSENT)).unwrap()
    error = (await prepare(store, FIRST, CONSENT)).unwrap_err()
    assert isinstance(error, NotWritten)
    assert error.step == "decode configuration"

from __future__ import annotations

from random import Random

import pytest

from fuchsiawell.core import ManualClock
from fuchsiawell.platform import CallKind
from fuchsiawell.standins.faults import (
    CapacityFaults,
    FirstOf,
    LoseAnswer,
    NoFault,
    RandomFaults,
    Refuse,
    ScriptedFaults,
    SettableFaults,
    Slow,
)


def test_a_script_is_followed_once_and_only_for_its_kinds() -> None:
    plan = ScriptedFaults([Refuse(), LoseAnswer()], {CallKind.PUT})
    kinds = [CallKind.GET, CallKind.PUT, CallKind.PUT, CallKind.PUT]
    faults = [plan.decide(kind, "a") for kind in kinds]
    assert faults == [NoFault(), Refuse(), LoseAnswer(), NoFault()]


def test_equal_seeds_give_equal_faults_for_the_asked_share() -> None:
    def draw(seed: int) -> list[object]:
        plan = RandomFaults(Random(seed), 0.3, [Refuse(), LoseAnswer()])
        return [plan.decide(CallKind.GET, "a") for _ in range(1000)]

    assert draw(1) == draw(1) != draw(2)
    assert 250 <= sum(fault != NoFault() for fault in draw(1)) <= 350


def test_the_fault_set_last_holds_until_cleared() -> None:
    plan = SettableFaults()
    plan.set(Refuse(), [CallKind.PUT])
    assert plan.decide(CallKind.PUT, "a") == Refuse()
    assert plan.decide(CallKind.GET, "a") == NoFault()
    plan.clear()
    assert plan.decide(CallKind.PUT, "a") == NoFault()


def test_calls_over_the_capacity_wait_and_then_are_refused() -> None:
    clock = ManualClock()
    plan = CapacityFaults(clock, reads_per_s=10, writes_per_s=2, max_wait_s=0.15)
    reads = [plan.decide(CallKind.GET, "a") for _ in range(3)]
    assert reads == [NoFault(), Slow(pytest.approx(0.1)), Refuse()]  # type: ignore[arg-type]
    assert plan.decide(CallKind.PUT, "a") == NoFault()
    clock.advance(0.1)
    assert plan.decide(CallKind.LIST, "a") == Slow(pytest.approx(0.1))  # type: ignore[arg-type]


def test_the_first_plan_with_a_fault_decides() -> None:
    first, second = SettableFaults(), SettableFaults()
    plan = FirstOf(first, second)
    second.set(LoseAnswer())
    assert plan.decide(CallKind.GET, "a") == LoseAnswer()
    first.set(Refuse())
    assert plan.decide(CallKind.GET, "a") == Refuse()

from __future__ import annotations

from fuchsiawell.load.budget import Budget


def test_allows_a_minutes_worth_at_once_and_refills_with_time() -> None:
    budget = Budget(6.0, 0.0)
    assert [budget.take(0.0) for _ in range(8)] == [True] * 6 + [False] * 2
    assert not budget.has(9.0)
    assert budget.has(10.1)
    assert budget.take(10.1)
    assert not budget.take(10.1)


def test_saves_up_no_more_than_one_minute() -> None:
    budget = Budget(3.0, 0.0)
    assert [budget.take(3_600.0) for _ in range(4)] == [True] * 3 + [False]

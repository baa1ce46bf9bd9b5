"""Guards against retries of many daemons that together overload a service."""

from __future__ import annotations

from fuchsiawell.balance import RetryBudget, RetryRules

RULES = RetryRules(ratio=0.2, slack=60.0, window_s=10.0)


def exhaust(budget: RetryBudget, daemon_count: int, now_s: float) -> int:
    count = 0
    while budget.try_acquire("s", daemon_count, now_s):
        count += 1
    return count


def test_retries_of_all_daemons_stay_within_the_shared_budget() -> None:
    total = 0
    for _ in range(11):
        budget = RetryBudget(RULES)
        for number in range(100):
            budget.record_request("s", number / 100)
        total += exhaust(budget, 11, 1.0)
    assert total <= 0.2 * 1100 + 60


def test_budget_is_available_again_after_the_window() -> None:
    budget = RetryBudget(RULES)
    first = exhaust(budget, 1, 0.0)
    assert first > 0
    assert exhaust(budget, 1, 9.9) == 0
    assert exhaust(budget, 1, 10.1) == first


def test_each_service_has_its_own_budget() -> None:
    budget = RetryBudget(RULES)
    exhaust(budget, 1, 0.0)
    assert budget.try_acquire("other", 1, 0.0)

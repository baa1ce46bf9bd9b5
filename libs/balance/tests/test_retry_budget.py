from __future__ import annotations

from fuchsiawell.balance import RetryBudget, RetryRules

RULES = RetryRules(ratio=0.2, slack=60.0, window_s=10.0)


def spent(budget: RetryBudget, daemons: int, now_s: float) -> int:
    count = 0
    while budget.try_acquire("s", daemons, now_s):
        count += 1
    return count


def test_all_daemons_together_stay_within_the_shared_budget() -> None:
    total = 0
    for _ in range(11):
        budget = RetryBudget(RULES)
        for number in range(100):
            budget.record_request("s", number / 100)
        total += spent(budget, 11, 1.0)
    assert total <= 0.2 * 1100 + 60


def test_the_window_slides() -> None:
    budget = RetryBudget(RULES)
    first = spent(budget, 1, 0.0)
    assert first > 0
    assert spent(budget, 1, 9.9) == 0
    assert spent(budget, 1, 10.1) == first


def test_services_have_budgets_of_their_own() -> None:
    budget = RetryBudget(RULES)
    spent(budget, 1, 0.0)
    assert budget.try_acquire("other", 1, 0.0)

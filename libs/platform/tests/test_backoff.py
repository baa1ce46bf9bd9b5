from __future__ import annotations

from random import Random

from fuchsiawell.platform import Backoff, BackoffSettings, RetryBudget


def test_pauses_grow_within_their_bounds_and_start_over() -> None:
    backoff = Backoff(Random(1), BackoffSettings(first_s=0.1, longest_s=0.4))
    pauses = [backoff.next_s() for _ in range(5)]
    for pause_s, span_s in zip(pauses, (0.1, 0.2, 0.4, 0.4, 0.4), strict=True):
        assert span_s / 2 <= pause_s <= span_s
    backoff.reset()
    assert backoff.next_s() <= 0.1


def test_clients_with_other_seeds_pause_differently() -> None:
    assert len({Backoff(Random(seed)).next_s() for seed in range(20)}) == 20


def test_a_budget_saves_up_no_more_than_its_reserve() -> None:
    budget = RetryBudget(share=0.5, reserve=2)
    for _ in range(100):
        budget.note_call()
    assert [budget.take() for _ in range(3)] == [True, True, False]
    budget.note_call()
    budget.note_call()
    assert [budget.take() for _ in range(2)] == [True, False]

from __future__ import annotations

import pytest

from fuchsiawell.core import ManualClock
from fuchsiawell.platform import TokenBucket


def test_a_burst_is_free_and_later_calls_wait_their_turn() -> None:
    bucket = TokenBucket(ManualClock(), rate_per_s=10, burst=2)
    waits = [bucket.reserve(max_wait_s=1.0) for _ in range(4)]
    assert waits == pytest.approx([0.0, 0.0, 0.1, 0.2])


def test_a_call_that_would_wait_too_long_takes_no_turn() -> None:
    clock = ManualClock()
    bucket = TokenBucket(clock, rate_per_s=10, burst=1)
    assert bucket.reserve(0.0) == 0.0
    assert bucket.reserve(0.05) is None
    clock.advance(0.1)
    assert bucket.reserve(0.0) == 0.0


def test_never_more_than_the_rate_over_a_long_time() -> None:
    clock = ManualClock()
    bucket = TokenBucket(clock, rate_per_s=100, burst=10)
    granted = 0
    for _ in range(10_000):
        clock.advance(0.001)
        granted += bucket.reserve(0.0) is not None
    assert 995 <= granted <= 1_010


def test_a_token_given_back_serves_the_next_call() -> None:
    bucket = TokenBucket(ManualClock(), rate_per_s=1, burst=1)
    assert bucket.reserve(0.0) == 0.0
    bucket.give_back()
    assert bucket.reserve(0.0) == 0.0


@pytest.mark.parametrize(("rate", "burst"), [(0, 1), (1, 0)])
def test_a_budget_that_allows_nothing_is_refused(rate: float, burst: float) -> None:
    with pytest.raises(ValueError, match="allow no call"):
        TokenBucket(ManualClock(), rate, burst)

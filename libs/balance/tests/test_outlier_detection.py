from __future__ import annotations

from fuchsiawell.balance import OutlierDetector


def test_three_failures_in_a_row_pause_a_server() -> None:
    outliers = OutlierDetector()
    assert not outliers.failed("s", 0.0)
    assert not outliers.failed("s", 0.0)
    assert outliers.failed("s", 0.0)
    assert not outliers.admits("s", 0, 0.1)


def test_failures_between_successes_pause_nothing() -> None:
    outliers = OutlierDetector()
    for _ in range(10):
        outliers.failed("s", 0.0)
        outliers.record_success("s")
    assert outliers.admits("s", 5, 0.0)
    assert outliers.failure_rate("s") > 0.3


def test_after_the_pause_one_trial_at_a_time() -> None:
    outliers = OutlierDetector()
    outliers.failed("s", 0.0, unreachable=True)
    assert outliers.admits("s", 0, 0.6)
    assert not outliers.admits("s", 1, 0.6)
    outliers.record_success("s")
    assert outliers.admits("s", 1, 0.6)


def test_a_holder_of_keys_is_asked_on_while_it_can_be_reached() -> None:
    """Recorded day inc-c198 (Koro): full servers that reset connections were taken for lost."""
    outliers = OutlierDetector()
    for _ in range(5):
        outliers.failed("s", 0.0)
    assert not outliers.admits("s", 0, 0.1)
    assert outliers.admits_owner("s", 3, 0.1)
    outliers.failed("s", 5.0, unreachable=True)
    assert not outliers.admits_owner("s", 0, 5.1)


def test_pauses_grow_to_a_bound() -> None:
    outliers = OutlierDetector()
    now_s = 0.0
    for _ in range(8):
        outliers.failed("s", now_s, unreachable=True)
        now_s += 4.0
        assert outliers.admits("s", 0, now_s)

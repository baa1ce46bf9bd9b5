from __future__ import annotations

import pytest

from fuchsiawell.balance import LatencyEstimates


def test_a_slow_server_shows_after_a_few_answers() -> None:
    estimates = LatencyEstimates()
    for turn in range(10):
        estimates.observe("r", "usual", 1.0, 0.1, float(turn) / 10)
    for turn in range(8):
        estimates.observe("r", "slow", 1.0, 0.5, 1.0 + turn / 10)
    assert estimates.latency_factor("slow", 2.0) > 2.0
    assert estimates.latency_factor("usual", 2.0) < 1.5


def test_slowness_of_an_unused_server_fades() -> None:
    estimates = LatencyEstimates()
    estimates.record_overdue("s", 8.0, 0.0)
    assert estimates.latency_factor("s", 0.0) == pytest.approx(8.0)
    assert estimates.latency_factor("s", 60.0) < 1.1


def test_queueing_is_not_taken_for_work() -> None:
    estimates = LatencyEstimates()
    for _ in range(50):
        estimates.observe("r", "s", 3.0, 0.3, 0.0)
    assert estimates.service_time_s("r") == pytest.approx(0.1, rel=0.3)


def test_a_later_life_begins_anew() -> None:
    estimates = LatencyEstimates()
    estimates.record_overdue("s", 8.0, 0.0)
    estimates.forget("s")
    assert estimates.latency_factor("s", 0.0) == 1.0

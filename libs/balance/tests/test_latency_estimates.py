from __future__ import annotations

import pytest

from fuchsiawell.balance import LatencyEstimates


def test_slow_server_is_detected_after_a_few_responses() -> None:
    estimates = LatencyEstimates()
    for number in range(10):
        estimates.record_response("r", "usual", 1.0, 0.1, float(number) / 10)
    for number in range(8):
        estimates.record_response("r", "slow", 1.0, 0.5, 1.0 + number / 10)
    assert estimates.latency_factor("slow", 2.0) > 2.0
    assert estimates.latency_factor("usual", 2.0) < 1.5


def test_latency_factor_of_an_unused_server_decays() -> None:
    estimates = LatencyEstimates()
    estimates.record_overdue("s", 8.0, 0.0)
    assert estimates.latency_factor("s", 0.0) == pytest.approx(8.0)
    assert estimates.latency_factor("s", 60.0) < 1.1


def test_expected_queueing_does_not_raise_the_service_time() -> None:
    estimates = LatencyEstimates()
    for _ in range(50):
        estimates.record_response("r", "s", 3.0, 0.3, 0.0)
    assert estimates.service_time_s("r") == pytest.approx(0.1, rel=0.3)


def test_forgotten_server_starts_with_the_usual_latency() -> None:
    estimates = LatencyEstimates()
    estimates.record_overdue("s", 8.0, 0.0)
    estimates.forget("s")
    assert estimates.latency_factor("s", 0.0) == 1.0

from __future__ import annotations

import pytest

from fuchsiawell.load.estimate import ServiceTimes


def test_expects_the_initial_time_until_one_is_measured() -> None:
    times = ServiceTimes(0.2)
    assert times.mean_s("status") == 0.2
    times.record("status", 0.05)
    assert times.mean_s("status") == 0.05
    assert times.mean_s("booking") == 0.2
    times.forget()
    assert times.mean_s("status") == 0.2


def test_follows_a_change_and_its_deviation_settles() -> None:
    times = ServiceTimes(0.2)
    for service_s in [0.05] * 20 + [0.4] * 100:
        times.record("status", service_s)
    assert times.mean_s("status") == pytest.approx(0.4, rel=0.01)
    assert times.deviation_s("status") < 0.01


def test_no_request_is_expected_to_take_no_time() -> None:
    times = ServiceTimes(0.2)
    times.record("status", 0.0)
    assert times.mean_s("status") > 0

from __future__ import annotations

import pytest

from fuchsiawell.shards import KeyCounter, KeyRates


def test_steady_counts_give_their_rate() -> None:
    rates = KeyRates()
    for step in range(40):
        rates.add({5: 10}, step * 0.5)
    assert rates.rates(19.5)[5] == pytest.approx(20.0, rel=0.2)


def test_old_counts_decay() -> None:
    rates = KeyRates()
    rates.add({5: 10}, 0.0)
    assert rates.rates(60.0) == {}


def test_flush_returns_the_busiest_keys_and_clears_the_counts() -> None:
    counter = KeyCounter()
    for key in range(1000):
        counter.count(key)
    counter.count(7)
    report = counter.flush()
    assert len(report) < 1000
    assert report[7] == 2
    assert counter.flush() == {}


def test_hot_key_is_detected_within_seconds_and_a_single_request_is_not() -> None:
    rates = KeyRates()
    for step in range(20):
        rates.add({5: 1}, step * 0.5)
    steady_rate = rates.rates(9.5)[5]
    for step in range(20, 24):
        rates.add({5: 10}, step * 0.5)
    assert rates.rates(11.5)[5] > 3 * steady_rate
    rates.add({6: 1}, 11.5)
    assert rates.rates(11.5)[6] < 0.5


def test_cold_key_is_detected_within_seconds() -> None:
    rates = KeyRates()
    for step in range(40):
        rates.add({5: 10}, step * 0.5)
    assert rates.rates(22.5)[5] < 5.0

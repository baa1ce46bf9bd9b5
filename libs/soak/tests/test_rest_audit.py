"""The audit of rests counts as the rule does: each rest is a window of its own."""

from __future__ import annotations

import pytest

from fuchsiawell.soak.rest_audit import RestAudit


def audit(*rests: tuple[float, float], arrivals: tuple[float, ...]) -> RestAudit:
    checked = RestAudit()
    for at_s, seconds in rests:
        checked.record_rest("i-1/1", "d-1", seconds, at_s)
    for at_s in arrivals:
        checked.record_arrival("i-1/1", "d-1", at_s)
    return checked


def test_third_request_in_a_rest_is_a_violation() -> None:
    assert not audit((10.0, 3.0), arrivals=(11.0, 12.0)).violations()
    [violation] = audit((10.0, 3.0), arrivals=(11.0, 12.0, 12.9)).violations()
    assert violation.startswith("i-1/1 got 3 requests from d-1 in its rest from 10.000 to 13.000")


@pytest.mark.parametrize("arrivals", [(10.1, 10.2, 10.5), (13.0, 13.1, 13.2)])
def test_requests_in_the_first_half_second_and_after_the_end_do_not_count(
    arrivals: tuple[float, ...],
) -> None:
    assert not audit((10.0, 3.0), arrivals=arrivals).violations()


def test_shorter_rest_that_is_named_later_does_not_end_an_earlier_one() -> None:
    assert audit((10.0, 6.0), (10.2, 0.7), arrivals=(12.0, 13.0, 14.0)).violations()


def test_requests_of_other_daemons_and_to_other_incarnations_do_not_count() -> None:
    checked = audit((10.0, 3.0), arrivals=(11.0, 11.1))
    checked.record_arrival("i-1/1", "d-2", 11.2)
    checked.record_arrival("i-1/2", "d-1", 11.2)
    assert not checked.violations()


def test_rest_of_a_disturbed_daemon_is_excused() -> None:
    checked = audit((10.0, 3.0), arrivals=(11.0, 11.1, 11.2))
    checked.record_disturbance("d-2", 10.0, 12.0)
    assert checked.violations()
    checked.record_disturbance("d-1", 8.0, 10.1)
    assert not checked.violations()

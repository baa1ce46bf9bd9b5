"""Guards the selection against slow, partly failing, full and remote servers."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from fuchsiawell.balance import BackendSelector, InFlightCounts, LatencyEstimates, OutlierDetector
from fuchsiawell.routing import Backend


def backend(name: str, zone: str = "a", slots: int = 2) -> Backend:
    return Backend(name, "s", "10.0.0.1", 80, zone, slots, 1, False)


@pytest.fixture
def selection() -> tuple[BackendSelector, LatencyEstimates, InFlightCounts, OutlierDetector]:
    estimates, in_flight_counts, outlier_detector = (
        LatencyEstimates(),
        InFlightCounts(),
        OutlierDetector(),
    )
    return (
        BackendSelector("a", estimates, in_flight_counts, outlier_detector, Random(1)),
        estimates,
        in_flight_counts,
        outlier_detector,
    )


def select(selector: BackendSelector, backends: list[Backend], size: int = 0) -> str | None:
    candidate = selector.select(backends, "r", size, 0.0)
    return None if candidate is None else candidate.backend.id


def test_slow_server_is_not_selected(selection) -> None:
    selector, estimates, _, _ = selection
    estimates.record_overdue("slow", 6.0, 0.0)
    both = [backend("slow"), backend("usual")]
    assert Counter(select(selector, both) for _ in range(50)) == {"usual": 50}


def test_partly_failing_server_is_not_selected(selection) -> None:
    selector, _, _, outlier_detector = selection
    for _ in range(6):
        outlier_detector.record_failure("grey", 0.0)
        outlier_detector.record_success("grey")
    both = [backend("grey"), backend("sound")]
    assert Counter(select(selector, both) for _ in range(50)) == {"sound": 50}


def test_requests_spread_over_free_slots(selection) -> None:
    selector, _, in_flight_counts, _ = selection
    three = [backend("x"), backend("y"), backend("z")]
    for _ in range(6):
        selected = select(selector, three)
        assert selected is not None
        in_flight_counts.started(selected)
    assert [in_flight_counts.own_count(b.id) for b in three] == [2, 2, 2]


def test_none_when_all_servers_are_full(selection) -> None:
    selector, _, in_flight_counts, _ = selection
    for _ in range(4):
        in_flight_counts.started("x")
    assert select(selector, [backend("x")]) is None


def test_upload_stays_in_its_zone_while_that_has_free_capacity(selection) -> None:
    selector, _, in_flight_counts, _ = selection
    both = [backend("near"), backend("far", zone="b")]
    for _ in range(3):
        in_flight_counts.started("near")
    assert select(selector, both, size=60_000) == "near"
    in_flight_counts.started("near")
    assert select(selector, both, size=60_000) == "far"


def test_server_with_an_idle_connection_is_preferred(selection) -> None:
    """Many daemons with few requests each would otherwise open a connection for each request."""
    selector, _, _, _ = selection
    selector.has_idle_connection = lambda server: server.id == "open"
    both = [backend("closed"), backend("open")]
    assert Counter(select(selector, both) for _ in range(50)) == {"open": 50}

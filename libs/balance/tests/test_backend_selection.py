"""The patterns that the choice of a server answers: slow, grey, full and distant servers."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from fuchsiawell.balance import BackendSelector, InFlightCounts, LatencyEstimates, OutlierDetector
from fuchsiawell.routing import Backend


def backend(name: str, zone: str = "a", slots: int = 2) -> Backend:
    return Backend(name, "s", "10.0.0.1", 80, zone, slots, 1, False)


@pytest.fixture
def parts() -> tuple[BackendSelector, LatencyEstimates, InFlightCounts, OutlierDetector]:
    estimates, loads, outliers = LatencyEstimates(), InFlightCounts(), OutlierDetector()
    return BackendSelector("a", estimates, loads, outliers, Random(1)), estimates, loads, outliers


def select(chooser: BackendSelector, backends: list[Backend], size: int = 0) -> str | None:
    candidate = chooser.select(backends, "r", size, 0.0)
    return None if candidate is None else candidate.backend.id


def test_a_slow_server_gets_little(parts) -> None:
    chooser, estimates, _, _ = parts
    estimates.record_overdue("slow", 6.0, 0.0)
    both = [backend("slow"), backend("usual")]
    assert Counter(select(chooser, both) for _ in range(50)) == {"usual": 50}


def test_a_server_that_fails_part_of_its_requests_gets_less(parts) -> None:
    chooser, _, _, outliers = parts
    for _ in range(6):
        outliers.failed("grey", 0.0)
        outliers.record_success("grey")
    both = [backend("grey"), backend("sound")]
    assert Counter(select(chooser, both) for _ in range(50)) == {"sound": 50}


def test_work_spreads_over_free_slots(parts) -> None:
    chooser, _, loads, _ = parts
    three = [backend("x"), backend("y"), backend("z")]
    for _ in range(6):
        chosen = select(chooser, three)
        assert chosen is not None
        loads.started(chosen)
    assert [loads.own_count(b.id) for b in three] == [2, 2, 2]


def test_full_servers_get_nothing(parts) -> None:
    chooser, _, loads, _ = parts
    for _ in range(4):
        loads.started("x")
    assert select(chooser, [backend("x")]) is None


def test_an_upload_stays_in_its_zone_while_that_has_room(parts) -> None:
    chooser, _, loads, _ = parts
    both = [backend("near"), backend("far", zone="b")]
    for _ in range(3):
        loads.started("near")
    assert select(chooser, both, size=60_000) == "near"
    loads.started("near")
    assert select(chooser, both, size=60_000) == "far"


def test_among_like_servers_one_with_an_open_connection_is_chosen(parts) -> None:
    """Load pattern: many daemons with few requests each, which would open one for each."""
    chooser, _, _, _ = parts
    chooser.has_idle_connection = lambda server: server.id == "open"
    both = [backend("closed"), backend("open")]
    assert Counter(select(chooser, both) for _ in range(50)) == {"open": 50}

from __future__ import annotations

from fuchsiawell.balance import InFlightCounts, short_id


def test_own_requests_and_reports_add_up() -> None:
    loads = InFlightCounts()
    loads.started("s")
    loads.apply_report("other", {short_id("s"): 3}, 0.0)
    loads.apply_report("third", {short_id("s"): 1}, 0.0)
    assert loads.total("s") == 5
    loads.finished("s")
    assert loads.total("s") == 4
    assert loads.own_report() == {}


def test_a_new_report_replaces_the_last() -> None:
    loads = InFlightCounts()
    loads.apply_report("other", {short_id("s"): 3}, 0.0)
    loads.apply_report("other", {}, 0.1)
    assert loads.total("s") == 0


def test_a_silent_daemon_is_forgotten() -> None:
    loads = InFlightCounts()
    loads.apply_report("other", {short_id("s"): 3}, 0.0)
    loads.expire(0.5)
    assert loads.total("s") == 3
    loads.expire(1.5)
    assert loads.total("s") == 0


def test_sources_can_be_added_up_for_another_daemon() -> None:
    loads = InFlightCounts()
    loads.started("s")
    loads.apply_report("d-2", {short_id("s"): 3}, 0.0)
    loads.apply_report("d-3", {short_id("t"): 1}, 0.0)
    assert loads.combined_report(["d-2", "d-unknown"]) == {short_id("s"): 4}
    assert loads.full_report() == {short_id("s"): 4, short_id("t"): 1}
    loads.discard_report("d-2")
    assert loads.full_report() == {short_id("s"): 1, short_id("t"): 1}

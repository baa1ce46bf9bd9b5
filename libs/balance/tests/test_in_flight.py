from __future__ import annotations

from fuchsiawell.balance import InFlightCounts, short_id


def test_total_is_own_requests_plus_reports() -> None:
    counts = InFlightCounts()
    counts.started("s")
    counts.apply_report("other", {short_id("s"): 3}, 0.0)
    counts.apply_report("third", {short_id("s"): 1}, 0.0)
    assert counts.total("s") == 5
    counts.finished("s")
    assert counts.total("s") == 4
    assert counts.own_report() == {}


def test_new_report_replaces_the_last() -> None:
    counts = InFlightCounts()
    counts.apply_report("other", {short_id("s"): 3}, 0.0)
    counts.apply_report("other", {}, 0.1)
    assert counts.total("s") == 0


def test_report_expires_when_not_renewed() -> None:
    counts = InFlightCounts()
    counts.apply_report("other", {short_id("s"): 3}, 0.0)
    counts.expire(0.5)
    assert counts.total("s") == 3
    counts.expire(1.5)
    assert counts.total("s") == 0


def test_combined_report_skips_unknown_sources() -> None:
    counts = InFlightCounts()
    counts.started("s")
    counts.apply_report("d-2", {short_id("s"): 3}, 0.0)
    counts.apply_report("d-3", {short_id("t"): 1}, 0.0)
    assert counts.combined_report(["d-2", "d-unknown"]) == {short_id("s"): 4}
    assert counts.full_report() == {short_id("s"): 4, short_id("t"): 1}
    counts.discard_report("d-2")
    assert counts.full_report() == {short_id("s"): 1, short_id("t"): 1}


# Guards against requests that hang in a cut and look like load to the other daemons.
def test_own_requests_are_left_out_of_reports_when_servers_do_not_have_them() -> None:
    counts = InFlightCounts()
    counts.started("s")
    counts.apply_report("d-2", {short_id("s"): 3}, 0.0)
    counts.reports_own = False
    assert counts.own_report() == {}
    assert counts.combined_report(["d-2"]) == {short_id("s"): 3}
    assert counts.full_report() == {short_id("s"): 3}
    assert counts.total("s") == 4

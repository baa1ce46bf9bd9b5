from __future__ import annotations

from random import Random

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


# Guards against sums that drift from the reports which they are kept up to date with.
def test_totals_are_the_sum_of_the_reports_that_are_left() -> None:
    random, counts = Random(1), InFlightCounts()
    servers = [f"i-{number}" for number in range(6)]
    reports: dict[str, tuple[float, dict[str, int]]] = {}
    for step in range(2000):
        now_s, source = step * 0.1, f"d-{random.randrange(8)}"
        match random.randrange(3):
            case 0:
                counts.discard_report(source)
                reports.pop(source, None)
            case 1:
                counts.expire(now_s)
                reports = {name: old for name, old in reports.items() if now_s - old[0] <= 1.0}
            case 2:
                report = {name: random.randrange(4) for name in random.sample(servers, 3)}
                counts.apply_report(source, {short_id(s): c for s, c in report.items()}, now_s)
                reports[source] = now_s, report
        for server in servers:
            assert counts.total(server) == sum(old.get(server, 0) for _, old in reports.values())

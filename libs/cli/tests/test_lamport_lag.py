from __future__ import annotations

from datetime import UTC, datetime, timedelta

import pytest

from fuchsiawell.cli.lamport_lag import Counted, Curve, catch_up
from fuchsiawell.cli.log_lines import LogLine
from fuchsiawell.cli.merge import clock_steps, merge

START = datetime(2026, 1, 1, tzinfo=UTC)
RATE = 50  # counts a second of the running daemon d1


def line(process: str, lamport: int, event: str, at_s: float) -> LogLine:
    return LogLine(START + timedelta(seconds=at_s), lamport, process, event, "info", {}, "")


def running(seconds: int) -> list[LogLine]:
    return [line("d1", RATE * s + 1, f"d1 at {s}", s) for s in range(seconds)]


def order(*logs: list[LogLine]) -> list[str]:
    return [found.event for found in merge(logs)]


@pytest.mark.parametrize("skew_s", [0.0, -40.0, 40.0])
def test_a_daemon_that_starts_late_stands_where_it_started(skew_s: float) -> None:
    fresh = [
        line("d2", 1, "started", 20.2 + skew_s),
        line("d2", 21 * RATE + 30, "joined", 21.6 + skew_s),
    ]
    found = order(running(40), fresh)
    assert found.index("d1 at 20") + 1 == found.index("started")
    assert found.index("d1 at 21") + 1 == found.index("joined")


def test_a_paused_daemon_wakes_where_it_woke_and_no_clock_is_blamed() -> None:
    paused = [
        line("d2", 5 * RATE + 2, "before", 5.1),
        line("d2", 5 * RATE + 3, "right lapsed", 15.3),
        line("d2", 15 * RATE + 35, "right to act", 15.7),
    ]
    found = order(running(40), paused)
    assert found.index("d1 at 5") + 1 == found.index("before")
    assert found.index("d1 at 15") + 1 == found.index("right lapsed")
    assert not clock_steps(merge([running(40), paused]))


def test_a_quiet_daemon_that_kept_up_is_left_where_its_count_is() -> None:
    quiet = [line("d2", 7 * RATE, "early", 6.9), line("d2", 30 * RATE, "late", 29.9)]
    events = [Counted(found.lamport, found) for found in quiet]
    assert catch_up(events, [Curve([Counted(f.lamport, f) for f in running(40)])]) == events


def test_without_another_log_nothing_changes() -> None:
    events = [Counted(f.lamport, f) for f in running(3)]
    assert catch_up(events, []) == events
    assert catch_up(events, [Curve([])]) == events

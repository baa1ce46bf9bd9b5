from __future__ import annotations

from datetime import UTC, datetime, timedelta

import pytest

from fuchsiawell.cli.lamport_lag import CountCurve, CountedLine, raise_lagging_counts
from fuchsiawell.cli.log_lines import LogLine
from fuchsiawell.cli.merge import find_clock_lags, merge

START = datetime(2026, 1, 1, tzinfo=UTC)
COUNTS_PER_SECOND = 50  # of the running daemon d1


def line(process: str, lamport: int, event: str, at_s: float) -> LogLine:
    return LogLine(START + timedelta(seconds=at_s), lamport, process, event, "info", {}, "")


def running_daemon_log(seconds: int) -> list[LogLine]:
    return [line("d1", COUNTS_PER_SECOND * s + 1, f"d1 at {s}", s) for s in range(seconds)]


def merged_event_names(*logs: list[LogLine]) -> list[str]:
    return [log_line.event for log_line in merge(logs)]


@pytest.mark.parametrize("skew_s", [0.0, -40.0, 40.0])
def test_late_started_daemon_is_placed_at_its_start_time(skew_s: float) -> None:
    late_starter = [
        line("d2", 1, "started", 20.2 + skew_s),
        line("d2", 21 * COUNTS_PER_SECOND + 30, "joined", 21.6 + skew_s),
    ]
    names = merged_event_names(running_daemon_log(40), late_starter)
    assert names.index("d1 at 20") + 1 == names.index("started")
    assert names.index("d1 at 21") + 1 == names.index("joined")


def test_suspended_daemon_is_placed_at_its_resume_time_without_clock_lag() -> None:
    suspended = [
        line("d2", 5 * COUNTS_PER_SECOND + 2, "before", 5.1),
        line("d2", 5 * COUNTS_PER_SECOND + 3, "lease expired", 15.3),
        line("d2", 15 * COUNTS_PER_SECOND + 35, "lease acquired", 15.7),
    ]
    names = merged_event_names(running_daemon_log(40), suspended)
    assert names.index("d1 at 5") + 1 == names.index("before")
    assert names.index("d1 at 15") + 1 == names.index("lease expired")
    assert not find_clock_lags(merge([running_daemon_log(40), suspended]))


def test_rarely_logging_daemon_without_lag_keeps_its_counts() -> None:
    rare_lines = [
        line("d2", 7 * COUNTS_PER_SECOND, "early", 6.9),
        line("d2", 30 * COUNTS_PER_SECOND, "late", 29.9),
    ]
    events = [CountedLine(log_line.lamport, log_line) for log_line in rare_lines]
    assert (
        raise_lagging_counts(
            events,
            [
                CountCurve(
                    [CountedLine(log_line.lamport, log_line) for log_line in running_daemon_log(40)]
                )
            ],
        )
        == events
    )


def test_counts_are_unchanged_without_another_log() -> None:
    events = [CountedLine(log_line.lamport, log_line) for log_line in running_daemon_log(3)]
    assert raise_lagging_counts(events, []) == events
    assert raise_lagging_counts(events, [CountCurve([])]) == events

from __future__ import annotations

from fuchsiawell.standins.demo.attempts import Attempt, Ending, Phase, judge
from fuchsiawell.standins.demo.report import (
    failure_lines,
    phase_table,
    planned_stop_lines,
    verdict_lines,
)
from fuchsiawell.standins.demo.timeline import caller_lines

PHASE = Phase("daemon killed", 0.0, 10.0)
ATTEMPTS = [
    Attempt("penwatch", "pen-status", None, False, 0.0, 1.0, Ending.ANSWERED),
    Attempt("penwatch", "pen-status", None, False, 0.0, 1.5, Ending.BROKEN, "reset"),
    Attempt("dropline", "feed-drop", "a", False, 0.0, 2.5, Ending.NOT_RUN, "no-leader"),
]


def test_the_table_counts_every_ending() -> None:
    head, row = phase_table(ATTEMPTS, [PHASE])
    assert head.split()[:3] == ["phase", "answered", "not"]
    assert row.split() == ["daemon", "killed", "1", "1", "0", "1", "0", "0", "0", "2.5", "s"]


def test_failures_are_named_by_cause_and_time() -> None:
    assert failure_lines(ATTEMPTS) == [
        "     1 x penwatch/pen-status broken: reset",
        "     1 x dropline/feed-drop not run: no-leader",
    ]
    assert caller_lines(PHASE, ATTEMPTS) == [
        "callers: first failure 1.50 s after the loss: penwatch/pen-status broken",
        "callers: last failure 2.50 s after the loss: dropline/feed-drop not run",
    ]


def test_what_planned_stops_left_unanswered_is_told() -> None:
    lines = planned_stop_lines(ATTEMPTS, PHASE)
    assert lines == ["not answered meanwhile: 2 of 3 (target 0)"]


def test_the_verdict_says_whether_the_promises_were_kept() -> None:
    assert verdict_lines(judge(ATTEMPTS, []))[-1] == "none of these four happened"
    wrong = Attempt("a", "b", None, False, 0.0, 1.0, Ending.WRONG)
    assert verdict_lines(judge([wrong], []))[-1] == "PROMISES BROKEN"

from __future__ import annotations

from fuchsiawell.standins.backend import Execution
from fuchsiawell.standins.demo.attempts import (
    Attempt,
    Ending,
    Phase,
    count_by_phase,
    failing_time_s,
    judge,
)


def _attempt(id: str | None, ended_at_s: float, ending: Ending, upload: bool = False) -> Attempt:
    return Attempt("dropline", "feed-drop", id, upload, ended_at_s - 0.1, ended_at_s, ending)


def _execution(id: str | None, at_s: float) -> Execution:
    return Execution(1, "s", "r", id, "/a/b/c", None, None, None, 0, at_s)


def test_each_broken_promise_is_found() -> None:
    attempts = [
        _attempt("once", 2.0, Ending.ANSWERED),
        _attempt("twice", 2.0, Ending.UNKNOWN),
        _attempt("denied", 2.0, Ending.NOT_RUN),
        _attempt(None, 2.0, Ending.WRONG),
        _attempt(None, 2.0, Ending.WRONG, upload=True),
    ]
    executions = [_execution(id, 1.0) for id in ("once", "twice", "twice", "denied", None, None)]
    verdict = judge(attempts, executions)
    assert verdict.duplicates == ("twice",)
    assert verdict.false_not_run == ("denied",)
    assert (verdict.wrong_answers, verdict.broken_uploads) == (1, 1)
    assert (verdict.never_repeat_ids, verdict.executions, verdict.kept) == (3, 6, False)
    assert verdict.never_repeat_ran == 3


def test_a_request_that_ran_only_after_it_was_refused_was_refused_truly() -> None:
    attempts = [_attempt("a", 1.0, Ending.NOT_RUN), _attempt("a", 3.0, Ending.ANSWERED)]
    assert judge(attempts, [_execution("a", 2.0)]).kept
    assert judge([_attempt("a", 1.0, Ending.NOT_RUN)], []).kept


def test_endings_count_in_the_phase_that_saw_them() -> None:
    phases = [Phase("calm", 0.0, 10.0), Phase("loss", 10.0, 20.0)]
    attempts = [
        _attempt(None, 5.0, Ending.ANSWERED),
        _attempt(None, 10.5, Ending.BROKEN),
        _attempt(None, 12.5, Ending.NOT_RUN),
        _attempt(None, 15.0, Ending.ANSWERED),
    ]
    counts = count_by_phase(attempts, phases)
    assert counts["calm"] == {Ending.ANSWERED: 1}
    assert counts["loss"] == {Ending.BROKEN: 1, Ending.NOT_RUN: 1, Ending.ANSWERED: 1}
    assert [failing_time_s(attempts, phase) for phase in phases] == [0.0, 2.5]

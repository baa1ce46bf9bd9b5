from __future__ import annotations

import io

from fuchsiawell.core import LamportClock, ManualClock, open_event_log
from fuchsiawell.daemon.entry.limits import CallerLimits
from fuchsiawell.daemon.log_budget import LogBudget


def test_one_caller_cannot_take_what_others_need() -> None:
    limits = CallerLimits(8)
    assert [limits.enter("greedy") for _ in range(4)] == [True, True, False, False]
    assert limits.enter("other")
    limits.leave("greedy")
    assert limits.enter("greedy")


def test_all_callers_together_are_bounded() -> None:
    limits = CallerLimits(4)
    assert [limits.enter(str(n)) for n in range(6)] == [True] * 4 + [False] * 2
    limits.leave("0")
    assert limits.enter("6")
    assert limits.in_flight == 4


def test_a_flood_of_events_is_counted_and_not_logged() -> None:
    clock, stream = ManualClock(), io.StringIO()
    log = open_event_log("budget", clock, LamportClock(), stream=stream)
    budget = LogBudget(log, clock, most_per_s=2)
    for _ in range(10):
        budget.event("refused")
    clock.advance(1)
    budget.event("refused")
    lines = stream.getvalue().splitlines()
    assert len(lines) == 3
    assert '"left_out_before":8' in lines[-1]

from __future__ import annotations

import pytest

from fuchsiawell.load.returns import ReturnSchedule


def test_gives_each_caller_a_later_time_at_the_servers_pace() -> None:
    schedule = ReturnSchedule(max_s=5.0)
    assert [schedule.take(10.0, 1.0, 0.1) for _ in range(3)] == pytest.approx([1.1, 1.2, 1.3])
    assert schedule.take(11.0, 0.0, 0.1) == pytest.approx(0.4)


def test_never_exceeds_the_maximum_and_spreads_anew_over_the_same_span() -> None:
    schedule = ReturnSchedule(max_s=2.0)
    times = [schedule.take(0.0, 0.5, 0.4) for _ in range(20)]
    assert max(times) == 2.0
    assert min(times) >= 0.5
    assert len({round(time, 6) for time in times}) > 3


def test_a_wait_beyond_the_maximum_is_cut_to_it() -> None:
    assert ReturnSchedule(max_s=2.0).take(0.0, 60.0, 0.1) == 2.0

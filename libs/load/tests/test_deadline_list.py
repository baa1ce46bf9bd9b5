from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiawell.load.deadline_list import DeadlineList


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(1, 5)), max_size=40), st.integers(0, 9))
def test_agrees_with_a_sorted_list(entries: list[tuple[int, int]], limit: int) -> None:
    items: DeadlineList[int] = DeadlineList()
    for number, (deadline_s, work_s) in enumerate(entries):
        items.add(number, float(deadline_s), float(work_s))
    order = sorted(range(len(entries)), key=lambda number: (entries[number][0], number))
    assert [item for item, _ in items] == order
    ahead = [number for number in order if entries[number][0] <= limit]
    assert items.work_ahead_s(float(limit)) == sum(entries[number][1] for number in ahead)
    assert items.last_until(float(limit)) == (ahead[-1] if ahead else None)
    assert items.first() == (order[0] if order else None)
    for number in order[::2]:
        assert items.remove(number) == entries[number][1]
    assert [item for item, _ in items] == order[1::2]


def test_removing_what_is_not_there_is_an_error() -> None:
    with pytest.raises(KeyError):
        DeadlineList[str]().remove("a")

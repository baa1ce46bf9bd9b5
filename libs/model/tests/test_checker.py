from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import pytest

from fuchsiawell.model import checker
from fuchsiawell.model.checker import SearchIncompleteError, Spec, Step, check, find_violation

if TYPE_CHECKING:
    from collections.abc import Iterator


class Pair(NamedTuple):
    a: int = 0
    b: int = 0


def steps(pair: Pair) -> Iterator[Step]:
    if pair.a < 3:
        yield Step("a", pair._replace(a=pair.a + 1))
    if pair.b < 3:
        yield Step("b", pair._replace(b=pair.b + 1))


def spec(sum_below: int, goal: int = 3) -> Spec:
    return Spec(
        "pair",
        Pair(),
        steps,
        {"sum": lambda pair: pair.a + pair.b < sum_below},
        {"goal": lambda pair: pair.a == goal},
    )


def test_valid_property_is_checked_in_all_states() -> None:
    finding = check(spec(7))
    assert finding.holds
    assert finding.states == 16


def test_violated_property_has_shortest_trace() -> None:
    finding = check(spec(2))
    assert not finding.holds
    assert len(finding.violations["sum"].labels) == 2
    trace = find_violation(spec(2), "sum")
    assert trace is not None
    assert len(trace.labels) == 2
    assert find_violation(spec(7), "sum") is None


def test_unreached_goal_fails_the_specification() -> None:
    finding = check(spec(7, goal=9))
    assert finding.unreached_goals == ("goal",)
    assert not finding.holds


def test_search_beyond_max_states_raises(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(checker, "MAX_STATES", 5)
    with pytest.raises(SearchIncompleteError):
        check(spec(7))
    with pytest.raises(SearchIncompleteError):
        find_violation(spec(7), "sum")

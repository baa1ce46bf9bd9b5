from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import pytest

from fuchsiawell.model import checker
from fuchsiawell.model.checker import Spec, SpecIncompleteError, Step, check, reaches

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


def spec(limit: int, goal: int = 3) -> Spec:
    return Spec(
        "pair",
        Pair(),
        steps,
        {"sum": lambda pair: pair.a + pair.b < limit},
        {"goal": lambda pair: pair.a == goal},
    )


def test_a_property_that_holds_is_searched_to_the_end() -> None:
    finding = check(spec(7))
    assert finding.holds
    assert finding.states == 16


def test_a_broken_property_comes_with_a_shortest_trace() -> None:
    finding = check(spec(2))
    assert not finding.holds
    assert len(finding.broken["sum"].labels) == 2
    trace = reaches(spec(2), "sum")
    assert trace is not None
    assert len(trace.labels) == 2
    assert reaches(spec(7), "sum") is None


def test_a_goal_that_is_never_reached_fails_the_specification() -> None:
    finding = check(spec(7, goal=9))
    assert finding.missed_goals == ("goal",)
    assert not finding.holds


def test_a_search_that_is_cut_short_proves_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(checker, "MAX_STATES", 5)
    with pytest.raises(SpecIncompleteError):
        check(spec(7))
    with pytest.raises(SpecIncompleteError):
        reaches(spec(7), "sum")

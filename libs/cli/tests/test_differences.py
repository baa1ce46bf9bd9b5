from __future__ import annotations

from dataclasses import replace

from fuchsiawell.cli.differences import differences
from fuchsiawell.config import Configuration, Goal, Kind, Service
from fuchsiawell.core import CellName, ServiceName

NAME = ServiceName("penwatch")
LEVEL = Kind("level", True, 1.0, 0)
SERVICE = Service(NAME, 128, 4, True, True, Goal.IMBALANCE, kinds_by_name={"level": LEVEL})
RULES = Configuration(1, CellName("c"), "r", ("a", "b"), {NAME: SERVICE})


def lines(before: Configuration | None, after: Configuration | None) -> list[str]:
    return [str(difference) for difference in differences(before, after)]


def test_equal_rules_do_not_differ_whatever_their_version() -> None:
    assert lines(RULES, replace(RULES, version=9)) == []


def test_each_changed_rule_is_one_line_with_its_place() -> None:
    kinds = {"level": replace(LEVEL, deadline_s=2.0, max_answer_bytes=10)}
    after = replace(
        RULES, zones=("a",), services_by_name={NAME: replace(SERVICE, kinds_by_name=kinds)}
    )
    assert lines(RULES, after) == [
        "services[penwatch].kinds[level].deadline_s: 1.0 -> 2.0",
        "services[penwatch].kinds[level].max_answer_bytes: (absent) -> 10",
        "zones: a, b -> a",
    ]


def test_what_comes_or_goes_whole_is_one_line() -> None:
    fewer = replace(RULES, services_by_name={NAME: replace(SERVICE, kinds_by_name={})})
    assert lines(fewer, RULES) == ["services[penwatch].kinds[level]: (absent) -> (present)"]
    assert lines(RULES, replace(RULES, services_by_name={})) == [
        "services[penwatch]: (present) -> (absent)"
    ]
    assert lines(None, RULES) == ["configuration: (absent) -> (present)"]

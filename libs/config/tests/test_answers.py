from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiawell.config.answers import read_answers

EXAMPLES = Path(__file__).parents[3] / "examples"
PENWATCH = "services[penwatch]"
DROP = "services[dropline].kinds[feed-drop]"


def document() -> dict[str, Any]:
    found: dict[str, Any] = json.loads((EXAMPLES / "viti-west/answers.json").read_text())
    drop = found["services"][1]["kinds"][0]  # as a site whose callers choose the ids has it
    drop |= {"ids_from": "caller", "while_store_is_down": "continue"}
    return found


def mistakes(found: Any) -> dict[str, str]:
    error = read_answers(json.dumps(found), "answers.json").unwrap_err()
    return {mistake.question: str(mistake) for mistake in error.mistakes}


def test_all_mistakes_are_listed_at_once_each_with_its_question() -> None:
    found = document()
    found["zones"] = ["vuda", "vuda"]
    found["colour"] = "red"
    penwatch, dropline = found["services"][:2]
    penwatch["backend_servers"] = "many"
    penwatch["kinds"][0]["deadline_s"] = 0
    drop = dropline["kinds"][0]
    drop["share_answers"] = "yes"
    drop["resend_minutes"] = 0.01
    assert mistakes(found).keys() == {
        "zones",
        "colour",
        f"{PENWATCH}.backend_servers",
        f"{PENWATCH}.kinds[pen-status].deadline_s",
        f"{DROP}.share_answers",
        f"{DROP}.resend_minutes",
    }


def test_a_mistake_says_what_was_found_and_what_would_be_right() -> None:
    found = document()
    found["services"][0]["requests_at_once"] = 0
    assert mistakes(found)[f"{PENWATCH}.requests_at_once"] == (
        f"{PENWATCH}.requests_at_once: found 0; right would be a whole number from 1 to 10000"
    )


@pytest.mark.parametrize(
    ("service", "changes", "question"),
    [
        (0, {"servers_check_who_orders": "no", "servers_stop_at_deadline": "no"}, "stop_at"),
        (0, {"connections": 3}, "connections"),
    ],
)
def test_contradictions_of_a_service(service: int, changes: dict[str, Any], question: str) -> None:
    found = document()
    found["services"][service] |= changes
    assert question in str(mistakes(found).keys())


@pytest.mark.parametrize(
    ("changes", "question"),
    [
        ({"resend_minutes": None}, "resend_minutes"),
        ({"ids_from": None}, "ids_from"),
        ({"while_store_is_down": None}, "while_store_is_down"),
        ({"ids_from": "router"}, "while_store_is_down"),
        ({"may_repeat": "yes"}, "resend_minutes"),
        ({"may_repeat": "yes"}, "ids_from"),
    ],
)
def test_contradictions_of_a_kind(changes: dict[str, Any], question: str) -> None:
    found = document()
    found["services"][1]["kinds"][0] |= changes
    assert f"{DROP}.{question}" in mistakes(found)


def test_work_without_the_store_needs_servers_that_check() -> None:
    found = document()
    found["services"][1]["servers_check_who_orders"] = "no"
    assert mistakes(found).keys() == {f"{DROP}.while_store_is_down"}


def test_doubled_names_are_refused() -> None:
    found = document()
    found["services"][1]["name"] = "penwatch"
    found["services"][0]["kinds"][1]["name"] = "pen-status"
    assert {"services", f"{PENWATCH}.kinds"} <= mistakes(found).keys()


@pytest.mark.parametrize("text", ["", "[", "NaN", "[1]", "null", "[" * 100_000])
def test_documents_that_are_no_answers(text: str) -> None:
    assert read_answers(text, "file").unwrap_err().mistakes[0].question == "document"


def test_a_question_answered_twice_is_noted() -> None:
    error = read_answers('{"site": "a", "site": "b"}', "file").unwrap_err()
    assert any(str(m).startswith("site: answered 2 times") for m in error.mistakes)


@given(st.recursive(st.none() | st.integers() | st.text(), st.lists, max_leaves=5))
def test_any_wrong_entry_is_noted_and_never_raised(entry: Any) -> None:
    found = document()
    found["services"].append(entry)
    assert mistakes(found)

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiawell.config.answers import read_answers

EXAMPLES = Path(__file__).parents[3] / "examples"
PENWATCH_PATH = "services[penwatch]"
FEED_DROP_PATH = "services[dropline].kinds[feed-drop]"


def document() -> dict[str, Any]:
    answers: dict[str, Any] = json.loads((EXAMPLES / "viti-west/answers.json").read_text())
    feed_drop = answers["services"][1]["kinds"][0]  # changed to ids assigned by callers
    feed_drop |= {"ids_from": "caller", "while_store_is_down": "continue"}
    return answers


def errors_by_question(answers: Any) -> dict[str, str]:
    error = read_answers(json.dumps(answers), "answers.json").unwrap_err()
    return {invalid.question: str(invalid) for invalid in error.errors}


def test_all_errors_are_reported_at_once_by_question() -> None:
    answers = document()
    answers["zones"] = ["vuda", "vuda"]
    answers["colour"] = "red"
    penwatch, dropline = answers["services"][:2]
    penwatch["backend_servers"] = "many"
    penwatch["kinds"][0]["deadline_s"] = 0
    feed_drop = dropline["kinds"][0]
    feed_drop["share_answers"] = "yes"
    feed_drop["resend_minutes"] = 0.01
    assert errors_by_question(answers).keys() == {
        "zones",
        "colour",
        f"{PENWATCH_PATH}.backend_servers",
        f"{PENWATCH_PATH}.kinds[pen-status].deadline_s",
        f"{FEED_DROP_PATH}.share_answers",
        f"{FEED_DROP_PATH}.resend_minutes",
    }


def test_error_states_found_and_expected_answer() -> None:
    answers = document()
    answers["services"][0]["requests_at_once"] = 0
    assert errors_by_question(answers)[f"{PENWATCH_PATH}.requests_at_once"] == (
        f"{PENWATCH_PATH}.requests_at_once: found 0; expected a whole number from 1 to 10000"
    )


@pytest.mark.parametrize(
    ("service", "changes", "question"),
    [
        (0, {"servers_check_who_orders": "no", "servers_stop_at_deadline": "no"}, "stop_at"),
        (0, {"connections": 3}, "connections"),
    ],
)
def test_conflicting_service_answers_are_rejected(
    service: int, changes: dict[str, Any], question: str
) -> None:
    answers = document()
    answers["services"][service] |= changes
    assert question in str(errors_by_question(answers).keys())


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
def test_conflicting_kind_answers_are_rejected(changes: dict[str, Any], question: str) -> None:
    answers = document()
    answers["services"][1]["kinds"][0] |= changes
    assert f"{FEED_DROP_PATH}.{question}" in errors_by_question(answers)


def test_continue_without_store_requires_servers_that_check_who_orders() -> None:
    answers = document()
    answers["services"][1]["servers_check_who_orders"] = "no"
    assert errors_by_question(answers).keys() == {f"{FEED_DROP_PATH}.while_store_is_down"}


def test_duplicate_names_are_rejected() -> None:
    answers = document()
    answers["services"][1]["name"] = "penwatch"
    answers["services"][0]["kinds"][1]["name"] = "pen-status"
    assert {"services", f"{PENWATCH_PATH}.kinds"} <= errors_by_question(answers).keys()


@pytest.mark.parametrize("text", ["", "[", "NaN", "[1]", "null", "[" * 100_000])
def test_invalid_document_is_reported_as_document_error(text: str) -> None:
    assert read_answers(text, "file").unwrap_err().errors[0].question == "document"


def test_duplicate_answer_is_reported() -> None:
    error = read_answers('{"site": "a", "site": "b"}', "file").unwrap_err()
    assert any(str(invalid).startswith("site: answered 2 times") for invalid in error.errors)


@given(st.recursive(st.none() | st.integers() | st.text(), st.lists, max_leaves=5))
def test_any_invalid_service_entry_is_reported_without_raising(entry: Any) -> None:
    answers = document()
    answers["services"].append(entry)
    assert errors_by_question(answers)

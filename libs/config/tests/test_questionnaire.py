from __future__ import annotations

import json

from fuchsiawell.config.answers import read_answers
from fuchsiawell.config.questionnaire import (
    KIND_QUESTIONS,
    SERVICE_QUESTIONS,
    SITE_QUESTIONS,
    empty_questionnaire,
)


def test_every_question_is_explained_and_empty() -> None:
    form = json.loads(empty_questionnaire())
    service = form["services"][0]
    kind = service["kinds"][0]
    for entry, questions in (
        (form, SITE_QUESTIONS),
        (service, SERVICE_QUESTIONS),
        (kind, KIND_QUESTIONS),
    ):
        for question in questions:
            assert question.right in entry[f"? {question.name}"]
            assert entry[question.name] is None or question.name in ("services", "kinds")


def test_the_empty_form_read_back_names_each_question_that_needs_an_answer() -> None:
    error = read_answers(empty_questionnaire(), "form").unwrap_err()
    asked = {mistake.question.rpartition(".")[2] for mistake in error.mistakes}
    optional = {"answer_mb", "resend_minutes", "ids_from", "while_store_is_down"}
    lists = {"services", "kinds"}
    questions = (*SITE_QUESTIONS, *SERVICE_QUESTIONS, *KIND_QUESTIONS)
    assert asked == {question.name for question in questions} - optional - lists

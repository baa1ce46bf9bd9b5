from __future__ import annotations

import json

from fuchsiawell.config.answers import read_answers
from fuchsiawell.config.questionnaire import (
    KIND_QUESTIONS,
    SERVICE_QUESTIONS,
    SITE_QUESTIONS,
    empty_questionnaire,
)


def test_every_question_has_explanation_and_no_answer() -> None:
    form = json.loads(empty_questionnaire())
    service = form["services"][0]
    kind = service["kinds"][0]
    for entry, questions in (
        (form, SITE_QUESTIONS),
        (service, SERVICE_QUESTIONS),
        (kind, KIND_QUESTIONS),
    ):
        for question in questions:
            assert question.expected in entry[f"? {question.name}"]
            assert entry[question.name] is None or question.name in ("services", "kinds")


def test_empty_questionnaire_reports_each_required_question() -> None:
    error = read_answers(empty_questionnaire(), "form").unwrap_err()
    reported = {invalid.question.rpartition(".")[2] for invalid in error.errors}
    optional = {"answer_mb", "resend_minutes", "ids_from", "while_store_is_down"}
    lists = {"services", "kinds"}
    questions = (*SITE_QUESTIONS, *SERVICE_QUESTIONS, *KIND_QUESTIONS)
    assert reported == {question.name for question in questions} - optional - lists

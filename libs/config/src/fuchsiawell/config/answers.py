"""Parse and validate the answers to the questionnaire, with all errors in one report."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pydantic import ValidationError
from result import Err, Ok, Result

from fuchsiawell.config.conflicts import (
    KIND_CONFLICT_RULES,
    SERVICE_CONFLICT_RULES,
    ConflictRule,
    violated_rules,
)
from fuchsiawell.config.questionnaire import (
    EXPLANATION_MARK,
    KIND_QUESTIONS,
    SERVICE_QUESTIONS,
    SITE_QUESTIONS,
    IdsFrom,
    Question,
    YesNo,
)

if TYPE_CHECKING:
    from fuchsiawell.config.configuration import Goal, StoreOutage

__all__ = [
    "Answers",
    "AnswersError",
    "InvalidAnswer",
    "KindAnswers",
    "ServiceAnswers",
    "read_answers",
]

MAX_SHOWN_CHARS = 40  # of an invalid answer in an error message
TOO_DEEP_REASON = "nested too deeply"


@dataclass(frozen=True, slots=True)
class KindAnswers:
    name: str
    may_repeat: YesNo
    deadline_s: float
    upload_mb: float
    answer_mb: float | None
    share_answers: YesNo
    resend_minutes: float | None
    ids_from: IdsFrom | None
    while_store_is_down: StoreOutage | None


@dataclass(frozen=True, slots=True)
class ServiceAnswers:
    name: str
    backend_servers: int
    requests_at_once: int
    connections: int
    new_connection_ms: float
    servers_check_who_orders: YesNo
    servers_stop_at_deadline: YesNo
    matters_most: Goal
    kinds: tuple[KindAnswers, ...]


@dataclass(frozen=True, slots=True)
class Answers:
    """Answers that passed all checks, each on its own and all together."""

    revises: int
    site: str
    region: str
    zones: tuple[str, ...]
    services: tuple[ServiceAnswers, ...]


@dataclass(frozen=True, slots=True)
class InvalidAnswer:
    """One validation error."""

    question: str  # with its path, as in services[penwatch].kinds[drop].deadline_s
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.question}: {self.found}; expected {self.expected}"


@dataclass(frozen=True, slots=True)
class AnswersError:
    """All validation errors of one answers file."""

    step: str
    peer: str  # the path of the file
    errors: tuple[InvalidAnswer, ...]

    def __str__(self) -> str:
        lines = "\n".join(f"  {error}" for error in self.errors)
        return f"{self.step} at {self.peer} failed with {len(self.errors)} errors:\n{lines}"


def read_answers(text: str | bytes, peer: str) -> Result[Answers, AnswersError]:
    """Parse answers in JSON from the file `peer`; the error lists all invalid answers."""
    parser = _AnswersParser()
    answers = parser.parse(text)
    if answers is None or parser.errors:
        return Err(AnswersError("read answers", peer, tuple(parser.errors)))
    return Ok(answers)


class _AnswersParser:
    """Parse the document and collect all errors instead of stopping at the first."""

    def __init__(self) -> None:
        self.errors: list[InvalidAnswer] = []

    def parse(self, text: str | bytes) -> Answers | None:
        """Return the answers, or `None` if a required answer is invalid; see `errors`."""
        try:
            raw = json.loads(
                text, object_pairs_hook=self._object_from_pairs, parse_constant=_reject_constant
            )
        except (ValueError, RecursionError) as error:
            reason = TOO_DEEP_REASON if isinstance(error, RecursionError) else str(error)
            self._add_error(
                "document",
                f"not JSON ({reason})",
                "a form as printed by `fuchsiawell questionnaire`",
            )
            return None
        return self._parse_site(raw)

    def _parse_site(self, raw: Any) -> Answers | None:
        valid = self._valid_answers(raw, SITE_QUESTIONS, "")
        self._reject_duplicates("zones", "zone", valid.get("zones", []))
        entries = valid.get("services", [])
        self._reject_duplicates("services", "service", _names(entries))
        services = [
            self._parse_service(entry, f"services[{_label(entry, index)}]")
            for index, entry in enumerate(entries)
        ]
        complete = [service for service in services if service is not None]
        if len(valid) < len(SITE_QUESTIONS) or len(complete) < len(services):
            return None
        return Answers(**valid | {"zones": tuple(valid["zones"]), "services": tuple(complete)})

    def _parse_service(self, raw: Any, path: str) -> ServiceAnswers | None:
        valid = self._valid_answers(raw, SERVICE_QUESTIONS, f"{path}.")
        self._add_conflicts(SERVICE_CONFLICT_RULES, valid, path)
        entries = valid.get("kinds", [])
        self._reject_duplicates(f"{path}.kinds", "kind", _names(entries))
        kinds = [
            self._parse_kind(entry, f"{path}.kinds[{_label(entry, index)}]", valid)
            for index, entry in enumerate(entries)
        ]
        complete = [kind for kind in kinds if kind is not None]
        if len(valid) < len(SERVICE_QUESTIONS) or len(complete) < len(kinds):
            return None
        return ServiceAnswers(**valid | {"kinds": tuple(complete)})

    def _parse_kind(self, raw: Any, path: str, service: dict[str, Any]) -> KindAnswers | None:
        valid = self._valid_answers(raw, KIND_QUESTIONS, f"{path}.")
        self._add_conflicts(KIND_CONFLICT_RULES, service | valid, path)
        return KindAnswers(**valid) if len(valid) == len(KIND_QUESTIONS) else None

    def _valid_answers(
        self, raw: Any, questions: tuple[Question, ...], prefix: str
    ) -> dict[str, Any]:
        """Return the answers that are valid on their own, and add an error for each other one."""
        by_name = {question.name: question for question in questions}
        if not isinstance(raw, dict):
            self._add_error(
                prefix.rstrip(".") or "document",
                _describe(raw),
                "a JSON object with one answer per question",
            )
            return {}
        for name in sorted(raw.keys() - by_name.keys()):
            self._add_error(f"{prefix}{name}", "no such question", f"one of {', '.join(by_name)}")
        valid = {}
        for name, question in by_name.items():
            try:
                # Strict validators accept the value of an enumeration from JSON only.
                value = json.dumps(raw.get(name))
                valid[name] = question.validator.validate_json(value, strict=True)
            except ValidationError:
                self._add_error(f"{prefix}{name}", _describe(raw.get(name)), question.expected)
        return valid

    def _object_from_pairs(self, pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        kept = [(name, value) for name, value in pairs if not name.startswith(EXPLANATION_MARK)]
        for name, count in Counter(name for name, _ in kept).items():
            if count > 1:
                self._add_error(name, f"answered {count} times in one entry", "one answer")
        return dict(kept)

    def _add_conflicts(
        self, rules: tuple[ConflictRule, ...], answers: dict[str, Any], path: str
    ) -> None:
        for rule in violated_rules(rules, answers):
            self._add_error(f"{path}.{rule.question}", rule.found, rule.expected)

    def _reject_duplicates(self, question: str, noun: str, names: list[str]) -> None:
        for name, count in Counter(names).items():
            if count > 1:
                self._add_error(
                    question, f"{noun} {name} occurs {count} times", f"one {noun} per name"
                )

    def _add_error(self, question: str, found: str, expected: str) -> None:
        self.errors.append(InvalidAnswer(question, found, expected))


def _names(entries: list[Any]) -> list[str]:
    names = (entry.get("name") for entry in entries if isinstance(entry, dict))
    return [name for name in names if isinstance(name, str)]


def _label(entry: Any, index: int) -> str:
    name = entry.get("name") if isinstance(entry, dict) else None
    return name if isinstance(name, str) and name else str(index + 1)


def _describe(value: Any) -> str:
    if value is None:
        return "not answered"
    text = json.dumps(value, ensure_ascii=False)
    return f"found {text if len(text) <= MAX_SHOWN_CHARS else text[:MAX_SHOWN_CHARS] + '...'}"


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")

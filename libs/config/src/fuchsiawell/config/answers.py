"""The answers to the questionnaire, read with every mistake listed at once."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pydantic import ValidationError
from result import Err, Ok, Result

from fuchsiawell.config.conflicts import (
    KIND_CONTRADICTIONS,
    SERVICE_CONTRADICTIONS,
    Contradiction,
    clashing,
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

__all__ = ["Answers", "AnswersError", "KindAnswers", "Mistake", "ServiceAnswers", "read_answers"]

MAX_SHOWN_CHARS = 40  # of a wrong answer
MAX_DEPTH_MESSAGE = "nested too deeply"


@dataclass(frozen=True, slots=True)
class KindAnswers:
    """Hold the answers about one kind of request."""

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
    """Hold the answers about one service."""

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
    """Hold answers that are right one by one and do not contradict each other."""

    revises: int
    site: str
    region: str
    zones: tuple[str, ...]
    services: tuple[ServiceAnswers, ...]


@dataclass(frozen=True, slots=True)
class Mistake:
    """Name a question, what was found there, and what would be right."""

    question: str  # with its place, as in services[penwatch].kinds[drop].deadline_s
    found: str
    right: str

    def __str__(self) -> str:
        """Return the mistake as one line."""
        return f"{self.question}: {self.found}; right would be {self.right}"


@dataclass(frozen=True, slots=True)
class AnswersError:
    """List every mistake in the answers."""

    step: str
    peer: str  # the file
    mistakes: tuple[Mistake, ...]

    def __str__(self) -> str:
        """Return the mistakes, one a line."""
        lines = "\n".join(f"  {mistake}" for mistake in self.mistakes)
        return f"{self.step} at {self.peer}, {len(self.mistakes)} to mend:\n{lines}"


def read_answers(text: str | bytes, peer: str) -> Result[Answers, AnswersError]:
    """Read answers in JSON that came from `peer`; an error lists all mistakes."""
    reader = _Reader()
    answers = reader.document(text)
    if answers is None or reader.mistakes:
        return Err(AnswersError("read answers", peer, tuple(reader.mistakes)))
    return Ok(answers)


class _Reader:
    """Walk the document and collect mistakes instead of stopping at the first."""

    def __init__(self) -> None:
        self.mistakes: list[Mistake] = []

    def document(self, text: str | bytes) -> Answers | None:
        """Read the whole document; `None` if anything that is needed is wrong."""
        try:
            raw = json.loads(
                text, object_pairs_hook=self._take_pairs, parse_constant=_refuse_constant
            )
        except (ValueError, RecursionError) as error:
            reason = MAX_DEPTH_MESSAGE if isinstance(error, RecursionError) else str(error)
            self._note("document", f"not JSON ({reason})", "what `fuchsiawell questionnaire` shows")
            return None
        return self._site(raw)

    def _site(self, raw: Any) -> Answers | None:
        good = self._answers(raw, SITE_QUESTIONS, "")
        self._refuse_doubled("zones", "zone", good.get("zones", []))
        entries = good.get("services", [])
        self._refuse_doubled("services", "service", _names(entries))
        services = [
            self._service(entry, f"services[{_label(entry, at)}]")
            for at, entry in enumerate(entries)
        ]
        whole = [service for service in services if service is not None]
        if len(good) < len(SITE_QUESTIONS) or len(whole) < len(services):
            return None
        return Answers(**good | {"zones": tuple(good["zones"]), "services": tuple(whole)})

    def _service(self, raw: Any, place: str) -> ServiceAnswers | None:
        good = self._answers(raw, SERVICE_QUESTIONS, f"{place}.")
        self._note_clashes(SERVICE_CONTRADICTIONS, good, place)
        entries = good.get("kinds", [])
        self._refuse_doubled(f"{place}.kinds", "kind", _names(entries))
        kinds = [
            self._kind(entry, f"{place}.kinds[{_label(entry, at)}]", good)
            for at, entry in enumerate(entries)
        ]
        whole = [kind for kind in kinds if kind is not None]
        if len(good) < len(SERVICE_QUESTIONS) or len(whole) < len(kinds):
            return None
        return ServiceAnswers(**good | {"kinds": tuple(whole)})

    def _kind(self, raw: Any, place: str, service: dict[str, Any]) -> KindAnswers | None:
        good = self._answers(raw, KIND_QUESTIONS, f"{place}.")
        self._note_clashes(KIND_CONTRADICTIONS, service | good, place)
        return KindAnswers(**good) if len(good) == len(KIND_QUESTIONS) else None

    def _answers(self, raw: Any, questions: tuple[Question, ...], prefix: str) -> dict[str, Any]:
        """Return the answers that are right by themselves, and note the others."""
        by_name = {question.name: question for question in questions}
        if not isinstance(raw, dict):
            self._note(prefix.rstrip(".") or "document", _shown(raw), "an entry with its questions")
            return {}
        for name in sorted(raw.keys() - by_name.keys()):
            self._note(f"{prefix}{name}", "no such question", f"one of {', '.join(by_name)}")
        good = {}
        for name, question in by_name.items():
            try:
                # Strict forms take an enumeration's value from JSON only.
                value = json.dumps(raw.get(name))
                good[name] = question.form.validate_json(value, strict=True)
            except ValidationError:
                self._note(f"{prefix}{name}", _shown(raw.get(name)), question.right)
        return good

    def _take_pairs(self, pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        kept = [(name, value) for name, value in pairs if not name.startswith(EXPLANATION_MARK)]
        for name, count in Counter(name for name, _ in kept).items():
            if count > 1:
                self._note(name, f"answered {count} times in one place", "one answer")
        return dict(kept)

    def _note_clashes(
        self, rules: tuple[Contradiction, ...], answers: dict[str, Any], place: str
    ) -> None:
        for rule in clashing(rules, answers):
            self._note(f"{place}.{rule.question}", rule.found, rule.right)

    def _refuse_doubled(self, question: str, what: str, names: list[str]) -> None:
        for name, count in Counter(names).items():
            if count > 1:
                self._note(question, f"{what} {name} stands {count} times", f"one {what} a name")

    def _note(self, question: str, found: str, right: str) -> None:
        self.mistakes.append(Mistake(question, found, right))


def _names(entries: list[Any]) -> list[str]:
    names = (entry.get("name") for entry in entries if isinstance(entry, dict))
    return [name for name in names if isinstance(name, str)]


def _label(entry: Any, at: int) -> str:
    name = entry.get("name") if isinstance(entry, dict) else None
    return name if isinstance(name, str) and name else str(at + 1)


def _shown(value: Any) -> str:
    if value is None:
        return "not answered"
    text = json.dumps(value, ensure_ascii=False)
    return f"found {text if len(text) <= MAX_SHOWN_CHARS else text[:MAX_SHOWN_CHARS] + '...'}"


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not a number of JSON")

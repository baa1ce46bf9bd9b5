"""The questionnaire for a new team, worded for readers who do not know the router."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import StrEnum, unique
from typing import Annotated, Any

from pydantic import Field, TypeAdapter

from fuchsiawell.config.configuration import Goal, StoreOutage
from fuchsiawell.config.validation import Name

__all__ = [
    "EXPLANATION_MARK",
    "KIND_QUESTIONS",
    "SERVICE_QUESTIONS",
    "SITE_QUESTIONS",
    "IdsFrom",
    "Question",
    "YesNo",
    "empty_questionnaire",
]

# An entry whose name starts with this explains the next entry and is not an answer.
EXPLANATION_MARK = "?"


@unique
class YesNo(StrEnum):
    YES = "yes"
    NO = "no"

    def __bool__(self) -> bool:
        return self is YesNo.YES


@unique
class IdsFrom(StrEnum):
    """Who assigns the ids of non-idempotent requests, as answered in the questionnaire."""

    CALLER = "caller"
    ROUTER = "router"


@dataclass(frozen=True, slots=True)
class Question:
    """One question; `expected` describes in words the answers that `validator` accepts."""

    name: str
    explanation: str
    expected: str
    validator: TypeAdapter[Any]


NAME_ANSWER = TypeAdapter[Any](Name)
YES_NO_ANSWER = TypeAdapter[Any](YesNo)
LIST_ANSWER = TypeAdapter[Any](Annotated[list[Any], Field(min_length=1)])


def _integer(minimum: int, maximum: int | None = None) -> TypeAdapter[Any]:
    return TypeAdapter(Annotated[int, Field(ge=minimum, le=maximum)])


def _zero_or_above(maximum: float) -> TypeAdapter[Any]:
    return TypeAdapter(Annotated[float, Field(ge=0, le=maximum)])


def _positive(maximum: float) -> TypeAdapter[Any]:
    return TypeAdapter(Annotated[float, Field(gt=0, le=maximum)])


def _positive_or_null(maximum: float) -> TypeAdapter[Any]:
    return TypeAdapter(Annotated[float, Field(gt=0, le=maximum)] | None)


SITE_QUESTIONS = (
    Question(
        "revises",
        "Which version of the configuration does this change start from? `fuchsiawell status` "
        "and `fuchsiawell accept` show it. 0 for the first one. It keeps two people who make "
        "changes at the same time from undoing each other's work.",
        "a whole number, 0 for the first configuration",
        _integer(0),
    ),
    Question(
        "site",
        "A short name for your site, as it will stand in addresses and reports.",
        "small letters, digits and hyphens, as in viti-west",
        NAME_ANSWER,
    ),
    Question(
        "region",
        "The region that the site is in. Places in one region reach each other in a few "
        "thousandths of a second.",
        "small letters, digits and hyphens, as in fiji",
        NAME_ANSWER,
    ),
    Question(
        "zones",
        "The availability zones: places that can lose power or network without the others "
        "losing theirs, such as two towns or two buildings. With three or more, the loss of one "
        "leaves the rest working.",
        'a list of different names, as in ["lautoka", "saweni", "vuda"]',
        TypeAdapter[Any](Annotated[list[Name], Field(min_length=1)]),
    ),
    Question(
        "services",
        "Your services; one entry for each, copied as needed.",
        "a list with at least one service",
        LIST_ANSWER,
    ),
)

SERVICE_QUESTIONS = (
    Question(
        "name",
        "The name of the service, as callers write it in the address of a request.",
        "small letters, digits and hyphens, as in penwatch; no two services alike",
        NAME_ANSWER,
    ),
    Question(
        "backend_servers",
        "Roughly how many backend servers (the machines that do the work) does it have?",
        "a whole number from 1 to 128",
        _integer(1, 128),
    ),
    Question(
        "requests_at_once",
        "How many requests can one backend server work on at the same moment?",
        "a whole number from 1 to 10000",
        _integer(1, 10_000),
    ),
    Question(
        "connections",
        "How many open connections does one backend server accept? If nobody knows, 130.",
        "a whole number from 2 to 100000, not below requests_at_once",
        _integer(2, 100_000),
    ),
    Question(
        "new_connection_ms",
        "How long does it take to open a connection to a backend server, in thousandths of a "
        "second? If nobody knows, 1.",
        "a number from 0 to 10000",
        _zero_or_above(10_000),
    ),
    Question(
        "servers_check_who_orders",
        "Do its backend servers check who gives them an order? Yes, if they take the numbers "
        "that come with a request and refuse it when they have seen a higher one. If you are "
        "not sure, say no: it costs waiting time after a failure, and a wrong yes can cost a "
        "doubled order.",
        '"yes" or "no"',
        YES_NO_ANSWER,
    ),
    Question(
        "servers_stop_at_deadline",
        "Do its backend servers drop work whose time is up, instead of finishing it late?",
        '"yes" or "no"',
        YES_NO_ANSWER,
    ),
    Question(
        "matters_most",
        "What hurts more: that some servers are much busier than others, so that answers are "
        "slow on busy days (imbalance), or that a key cannot be served for some seconds "
        "(unavailable-time)?",
        '"imbalance" or "unavailable-time"',
        TypeAdapter[Any](Goal),
    ),
    Question(
        "kinds",
        "The kinds of request that the service takes; one entry for each.",
        "a list with at least one kind",
        LIST_ANSWER,
    ),
)

KIND_QUESTIONS = (
    Question(
        "name",
        "The name of this kind of request, as callers write it in its address.",
        "small letters, digits and hyphens, as in silo-level; no two of a service alike",
        NAME_ANSWER,
    ),
    Question(
        "may_repeat",
        "Would nobody be harmed if the same request ran twice? Looking something up may repeat. "
        "Taking a deposit or dropping feed must never repeat.",
        '"yes" or "no"',
        YES_NO_ANSWER,
    ),
    Question(
        "deadline_s",
        "After how many seconds is the answer of no use to the caller any more?",
        "a number of seconds above 0 and up to 3600, as in 2.5",
        _positive(3_600),
    ),
    Question(
        "upload_mb",
        "How large can what the caller sends be, in megabytes? 0 if callers send no body.",
        "a number of megabytes from 0 to 100000",
        _zero_or_above(100_000),
    ),
    Question(
        "answer_mb",
        "How large can the answer be, in megabytes? null if there need be no bound.",
        "a number of megabytes above 0 and up to 100000, or null",
        _positive_or_null(100_000),
    ),
    Question(
        "share_answers",
        "If several callers ask exactly the same of one key at the same moment, may one answer "
        "serve them all? Yes for a price or a level, no if each request does something.",
        '"yes" or "no"; "yes" only where may_repeat is "yes"',
        YES_NO_ANSWER,
    ),
    Question(
        "resend_minutes",
        "Only where the request must never repeat, else null: for how many minutes after the "
        "first try may a caller send the same request again to learn what became of it?",
        "a number of minutes up to 10080 and not below deadline_s where may_repeat is "
        '"no", else null',
        _positive_or_null(10_080),
    ),
    Question(
        "ids_from",
        'Only where the request must never repeat, else null. "caller": callers make up an id '
        "for each request; every request then costs a write to the platform's store. "
        '"router": callers first get an id from the router; no write, faster, and after the '
        "loss of an entry host some callers are told that the outcome is unknown.",
        '"caller" or "router" where may_repeat is "no", else null',
        TypeAdapter[Any](IdsFrom | None),
    ),
    Question(
        "while_store_is_down",
        'Only where ids_from is "caller", else null: the platform\'s store is down, so nothing '
        'can be written down before the work runs. "refuse": callers are told that it was not '
        'run. "continue": it runs, still at most once; but after any loss of an entry host its '
        "callers are told that the outcome is unknown for resend_minutes. Work that must go on "
        'through an outage is better served by ids_from "router".',
        '"refuse" or "continue" where ids_from is "caller", else null; "continue" only where '
        'servers_check_who_orders is "yes"',
        TypeAdapter[Any](StoreOutage | None),
    ),
)


def empty_questionnaire() -> str:
    """Return the questionnaire as JSON: each question with its explanation, all answers null."""
    kind = _empty_form(KIND_QUESTIONS)
    service = _empty_form(SERVICE_QUESTIONS) | {"kinds": [kind]}
    site = _empty_form(SITE_QUESTIONS) | {"services": [service]}
    instructions = {
        EXPLANATION_MARK: "Answer each question in place of null. Lines whose name starts with "
        f"{EXPLANATION_MARK} explain the next one; keep or delete them. Then run "
        "`fuchsiawell configure` with this file."
    }
    return json.dumps(instructions | site, indent=2, ensure_ascii=False) + "\n"


def _empty_form(questions: tuple[Question, ...]) -> dict[str, Any]:
    form: dict[str, Any] = {}
    for question in questions:
        explanation = f"{question.explanation} Answer: {question.expected}."
        form[f"{EXPLANATION_MARK} {question.name}"] = explanation
        form[question.name] = None
    return form

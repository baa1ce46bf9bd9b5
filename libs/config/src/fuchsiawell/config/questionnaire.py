"""The questions that a new team answers, in words that need no training."""

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

EXPLANATION_MARK = "?"  # entries whose name starts so explain the next one and are not answers


@unique
class YesNo(StrEnum):
    """Answer a plain question."""

    YES = "yes"
    NO = "no"

    def __bool__(self) -> bool:
        """Tell whether the answer is yes."""
        return self is YesNo.YES


@unique
class IdsFrom(StrEnum):
    """Say who makes the ids of never-repeat requests."""

    CALLER = "caller"
    ROUTER = "router"


@dataclass(frozen=True, slots=True)
class Question:
    """Ask for one thing; `right` says in words what `form` takes."""

    name: str
    explanation: str
    right: str
    form: TypeAdapter[Any]


NAME = TypeAdapter[Any](Name)
YES_NO = TypeAdapter[Any](YesNo)
ENTRIES = TypeAdapter[Any](Annotated[list[Any], Field(min_length=1)])


def _whole(least: int, most: int | None = None) -> TypeAdapter[Any]:
    return TypeAdapter(Annotated[int, Field(ge=least, le=most)])


def _up_to(most: float) -> TypeAdapter[Any]:
    return TypeAdapter(Annotated[float, Field(ge=0, le=most)])


def _above_zero(most: float) -> TypeAdapter[Any]:
    return TypeAdapter(Annotated[float, Field(gt=0, le=most)])


def _above_zero_or_null(most: float) -> TypeAdapter[Any]:
    return TypeAdapter(Annotated[float, Field(gt=0, le=most)] | None)


SITE_QUESTIONS = (
    Question(
        "revises",
        "Which version of the configuration does this change start from? `fuchsiawell status` "
        "and `fuchsiawell accept` show it. 0 for the first one. It keeps two people who make "
        "changes at the same time from undoing each other's work.",
        "a whole number, 0 for the first configuration",
        _whole(0),
    ),
    Question(
        "site",
        "A short name for your site, as it will stand in addresses and reports.",
        "small letters, digits and hyphens, as in viti-west",
        NAME,
    ),
    Question(
        "region",
        "The region that the site is in. Places in one region reach each other in a few "
        "thousandths of a second.",
        "small letters, digits and hyphens, as in fiji",
        NAME,
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
        ENTRIES,
    ),
)

SERVICE_QUESTIONS = (
    Question(
        "name",
        "The name of the service, as callers write it in the address of a request.",
        "small letters, digits and hyphens, as in penwatch; no two services alike",
        NAME,
    ),
    Question(
        "backend_servers",
        "Roughly how many backend servers (the machines that do the work) does it have?",
        "a whole number from 1 to 128",
        _whole(1, 128),
    ),
    Question(
        "requests_at_once",
        "How many requests can one backend server work on at the same moment?",
        "a whole number from 1 to 10000",
        _whole(1, 10_000),
    ),
    Question(
        "connections",
        "How many open connections does one backend server accept? If nobody knows, 130.",
        "a whole number from 2 to 100000, not below requests_at_once",
        _whole(2, 100_000),
    ),
    Question(
        "new_connection_ms",
        "How long does it take to open a connection to a backend server, in thousandths of a "
        "second? If nobody knows, 1.",
        "a number from 0 to 10000",
        _up_to(10_000),
    ),
    Question(
        "servers_check_who_orders",
        "Do its backend servers check who gives them an order? Yes, if they take the numbers "
        "that come with a request and refuse it when they have seen a higher one. If you are "
        "not sure, say no: it costs waiting time after a failure, and a wrong yes can cost a "
        "doubled order.",
        '"yes" or "no"',
        YES_NO,
    ),
    Question(
        "servers_stop_at_deadline",
        "Do its backend servers drop work whose time is up, instead of finishing it late?",
        '"yes" or "no"',
        YES_NO,
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
        ENTRIES,
    ),
)

KIND_QUESTIONS = (
    Question(
        "name",
        "The name of this kind of request, as callers write it in its address.",
        "small letters, digits and hyphens, as in silo-level; no two of a service alike",
        NAME,
    ),
    Question(
        "may_repeat",
        "Would nobody be harmed if the same request ran twice? Looking something up may repeat. "
        "Taking a deposit or dropping feed must never repeat.",
        '"yes" or "no"',
        YES_NO,
    ),
    Question(
        "deadline_s",
        "After how many seconds is the answer of no use to the caller any more?",
        "a number of seconds above 0 and up to 3600, as in 2.5",
        _above_zero(3_600),
    ),
    Question(
        "upload_mb",
        "How large can what the caller sends be, in megabytes? 0 if callers send no body.",
        "a number of megabytes from 0 to 100000",
        _up_to(100_000),
    ),
    Question(
        "answer_mb",
        "How large can the answer be, in megabytes? null if there need be no bound.",
        "a number of megabytes above 0 and up to 100000, or null",
        _above_zero_or_null(100_000),
    ),
    Question(
        "share_answers",
        "If several callers ask exactly the same of one key at the same moment, may one answer "
        "serve them all? Yes for a price or a level, no if each request does something.",
        '"yes" or "no"; "yes" only where may_repeat is "yes"',
        YES_NO,
    ),
    Question(
        "resend_minutes",
        "Only where the request must never repeat, else null: for how many minutes after the "
        "first try may a caller send the same request again to learn what became of it?",
        "a number of minutes up to 10080 and not below deadline_s where may_repeat is "
        '"no", else null',
        _above_zero_or_null(10_080),
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
    """Return the questionnaire as JSON, each question explained and not answered."""
    kind = _form(KIND_QUESTIONS)
    service = _form(SERVICE_QUESTIONS) | {"kinds": [kind]}
    site = _form(SITE_QUESTIONS) | {"services": [service]}
    head = {
        EXPLANATION_MARK: "Answer each question in place of null. Lines whose name starts with "
        f"{EXPLANATION_MARK} explain the next one; keep or delete them. Then run "
        "`fuchsiawell configure` with this file."
    }
    return json.dumps(head | site, indent=2, ensure_ascii=False) + "\n"


def _form(questions: tuple[Question, ...]) -> dict[str, Any]:
    form: dict[str, Any] = {}
    for question in questions:
        explanation = f"{question.explanation} Answer: {question.right}."
        form[f"{EXPLANATION_MARK} {question.name}"] = explanation
        form[question.name] = None
    return form

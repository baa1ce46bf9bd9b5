"""Rules for answers that are valid one by one but conflict with each other."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from fuchsiawell.config.configuration import StoreOutage
from fuchsiawell.config.questionnaire import IdsFrom

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

__all__ = [
    "KIND_CONFLICT_RULES",
    "SECONDS_PER_MINUTE",
    "SERVICE_CONFLICT_RULES",
    "ConflictRule",
    "violated_rules",
]

SECONDS_PER_MINUTE = 60.0


@dataclass(frozen=True, slots=True)
class ConflictRule:
    """One rule; `is_violated` gets the answers named in `inputs`, in that order."""

    question: str  # reported as the one to change first
    inputs: tuple[str, ...]
    is_violated: Callable[..., bool]
    found: str
    expected: str


def violated_rules(
    rules: tuple[ConflictRule, ...], answers: Mapping[str, Any]
) -> Iterator[ConflictRule]:
    """Yield the rules that `answers` violate; a rule with a missing input is skipped."""
    for rule in rules:
        values = [answers[name] for name in rule.inputs if name in answers]
        if len(values) == len(rule.inputs) and rule.is_violated(*values):
            yield rule


SERVICE_CONFLICT_RULES = (
    ConflictRule(
        "servers_stop_at_deadline",
        ("servers_check_who_orders", "servers_stop_at_deadline"),
        lambda checks, stops: not checks and not stops,
        "servers that neither check who orders nor stop at the deadline cannot be kept from "
        "running old work beside a new owner",
        '"yes" for servers_check_who_orders, servers_stop_at_deadline or both, once the servers '
        "do so",
    ),
    ConflictRule(
        "connections",
        ("connections", "requests_at_once"),
        lambda connections, at_once: connections < at_once,
        "fewer connections than requests at once",
        "at least requests_at_once",
    ),
)

# Required where may_repeat is "no", forbidden where it is "yes": (question, valid values).
NON_IDEMPOTENT_QUESTIONS = (
    ("resend_minutes", "a number of minutes, not below deadline_s"),
    ("ids_from", '"caller" or "router"'),
)

KIND_CONFLICT_RULES = (
    ConflictRule(
        "share_answers",
        ("may_repeat", "share_answers"),
        lambda may_repeat, share: not may_repeat and bool(share),
        "one answer cannot serve several requests that each do something once",
        '"no" where may_repeat is "no"',
    ),
    *(
        ConflictRule(
            name,
            ("may_repeat", name),
            lambda may_repeat, answer: not may_repeat and answer is None,
            "not answered although the request must never repeat",
            expected,
        )
        for name, expected in NON_IDEMPOTENT_QUESTIONS
    ),
    *(
        ConflictRule(
            name,
            ("may_repeat", name),
            lambda may_repeat, answer: bool(may_repeat) and answer is not None,
            "answered although the request may repeat",
            'null, or "no" for may_repeat',
        )
        for name, _ in NON_IDEMPOTENT_QUESTIONS
    ),
    ConflictRule(
        "while_store_is_down",
        ("ids_from", "while_store_is_down"),
        lambda ids_from, outage: ids_from is IdsFrom.CALLER and outage is None,
        "not answered although each request costs a write to the store",
        '"refuse" or "continue"',
    ),
    ConflictRule(
        "while_store_is_down",
        ("ids_from", "while_store_is_down"),
        lambda ids_from, outage: ids_from is not IdsFrom.CALLER and outage is not None,
        "answered although these requests need no store",
        'null, or "caller" for ids_from',
    ),
    ConflictRule(
        "resend_minutes",
        ("deadline_s", "resend_minutes"),
        lambda deadline_s, minutes: (
            minutes is not None and minutes * SECONDS_PER_MINUTE < deadline_s
        ),
        "callers could not ask again about a request that is still running",
        "at least deadline_s, in minutes",
    ),
    ConflictRule(
        "while_store_is_down",
        ("while_store_is_down", "servers_check_who_orders"),
        lambda outage, checks: outage is StoreOutage.CONTINUE and not checks,
        "without the store, only servers that check who orders can be kept from running it twice",
        '"refuse", or "yes" for servers_check_who_orders once the servers do so',
    ),
)

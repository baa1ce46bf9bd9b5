"""Answers that are right one by one and cannot all hold."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from fuchsiawell.config.configuration import StoreOutage
from fuchsiawell.config.questionnaire import IdsFrom

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

__all__ = ["KIND_CONTRADICTIONS", "MINUTE_S", "SERVICE_CONTRADICTIONS", "Contradiction", "clashing"]

MINUTE_S = 60.0


@dataclass(frozen=True, slots=True)
class Contradiction:
    """Name the answers that clash when `clashes` holds of them, in their order."""

    question: str  # the one to change first
    needs: tuple[str, ...]
    clashes: Callable[..., bool]
    found: str
    right: str


def clashing(
    rules: tuple[Contradiction, ...], answers: Mapping[str, Any]
) -> Iterator[Contradiction]:
    """Yield the rules that `answers` break, leaving out those that need an absent answer."""
    for rule in rules:
        known = [answers[name] for name in rule.needs if name in answers]
        if len(known) == len(rule.needs) and rule.clashes(*known):
            yield rule


SERVICE_CONTRADICTIONS = (
    Contradiction(
        "servers_stop_at_deadline",
        ("servers_check_who_orders", "servers_stop_at_deadline"),
        lambda checks, stops: not checks and not stops,
        "servers that neither check who orders nor stop at the deadline cannot be kept from "
        "running old work beside a new owner",
        '"yes" for servers_check_who_orders, servers_stop_at_deadline or both, once the servers '
        "do so",
    ),
    Contradiction(
        "connections",
        ("connections", "requests_at_once"),
        lambda connections, at_once: connections < at_once,
        "fewer connections than requests at once",
        "at least requests_at_once",
    ),
)

NEVER_REPEAT_ANSWERS = (
    ("resend_minutes", "a number of minutes, not below deadline_s"),
    ("ids_from", '"caller" or "router"'),
)

KIND_CONTRADICTIONS = (
    Contradiction(
        "share_answers",
        ("may_repeat", "share_answers"),
        lambda repeat, share: not repeat and bool(share),
        "one answer cannot serve several requests that each do something once",
        '"no" where may_repeat is "no"',
    ),
    *(
        Contradiction(
            name,
            ("may_repeat", name),
            lambda repeat, answer: not repeat and answer is None,
            "not answered although the request must never repeat",
            right,
        )
        for name, right in NEVER_REPEAT_ANSWERS
    ),
    *(
        Contradiction(
            name,
            ("may_repeat", name),
            lambda repeat, answer: bool(repeat) and answer is not None,
            "answered although the request may repeat",
            'null, or "no" for may_repeat',
        )
        for name, _ in NEVER_REPEAT_ANSWERS
    ),
    Contradiction(
        "while_store_is_down",
        ("ids_from", "while_store_is_down"),
        lambda ids, outage: ids is IdsFrom.CALLER and outage is None,
        "not answered although each request costs a write to the store",
        '"refuse" or "continue"',
    ),
    Contradiction(
        "while_store_is_down",
        ("ids_from", "while_store_is_down"),
        lambda ids, outage: ids is not IdsFrom.CALLER and outage is not None,
        "answered although these requests need no store",
        'null, or "caller" for ids_from',
    ),
    Contradiction(
        "resend_minutes",
        ("deadline_s", "resend_minutes"),
        lambda deadline_s, minutes: minutes is not None and minutes * MINUTE_S < deadline_s,
        "callers could not ask again about a request that is still running",
        "at least deadline_s, in minutes",
    ),
    Contradiction(
        "while_store_is_down",
        ("while_store_is_down", "servers_check_who_orders"),
        lambda outage, checks: outage is StoreOutage.CONTINUE and not checks,
        "without the store, only servers that check who orders can be kept from running it twice",
        '"refuse", or "yes" for servers_check_who_orders once the servers do so',
    ),
)

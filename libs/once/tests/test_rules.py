from __future__ import annotations

from random import Random

import pytest

from fuchsiawell.core import Answered, NotRun, NotRunReason, Outcome, Step, Unknown
from fuchsiawell.core.headers import RefusalCause
from fuchsiawell.once.rules import (
    AnswerCut,
    Attempt,
    Backoff,
    ConnectionBroke,
    DeadlinePassed,
    End,
    GiveUp,
    NeverSent,
    Refused,
    RetryAfter,
    RetryBudget,
    WholeAnswer,
    decide_retry,
    outcome_of,
    outcome_told,
    outcome_unseen,
)

SHED = NotRun(NotRunReason.SHED, Step.ADMIT, "a", 1.0)


@pytest.mark.parametrize(
    ("end", "outcome"),
    [
        (
            NeverSent(NotRunReason.UNREACHABLE, Step.CONNECT),
            NotRun(NotRunReason.UNREACHABLE, Step.CONNECT, "a"),
        ),
        (Refused(RefusalCause.FENCE), NotRun(NotRunReason.FENCED, Step.RUN, "a")),
        (Refused(RefusalCause.SHED, 2.0), NotRun(NotRunReason.SHED, Step.RUN, "a", 2.0)),
        (ConnectionBroke("reset"), Unknown(Step.RUN, "a", "reset")),
        (DeadlinePassed(), Unknown(Step.RUN, "a", "deadline passed before an answer")),
        (AnswerCut(200, "eof"), Unknown(Step.ANSWER, "a", "answer cut: eof")),
        (WholeAnswer(503), Answered(503)),
    ],
)
def test_each_end_has_one_outcome(end: End, outcome: Outcome) -> None:
    assert outcome_of(end, "a") == outcome


@pytest.mark.parametrize("cause", list(RefusalCause))
def test_every_refusal_cause_is_a_proof(cause: RefusalCause) -> None:
    assert isinstance(outcome_of(Refused(cause), "a"), NotRun)


def test_refusal_without_the_ledger_proves_nothing_of_earlier_copies() -> None:
    assert outcome_unseen(SHED, Attempt.REPEATABLE) == SHED
    assert outcome_unseen(SHED, Attempt.FIRST) == SHED
    assert isinstance(outcome_unseen(SHED, Attempt.UNMARKED), Unknown)
    assert isinstance(outcome_unseen(SHED, Attempt.RESEND), Unknown)


def test_the_entry_daemon_vouches_only_for_what_a_ledger_saw() -> None:
    by_ledger = NotRun(NotRunReason.DEADLINE, Step.INTENT, "a")
    assert outcome_told(by_ledger, Attempt.UNMARKED) == by_ledger
    assert outcome_told(SHED, Attempt.UNMARKED) == SHED
    for unseen in (
        NotRun(NotRunReason.NO_LEADER, Step.ROUTE, "a"),
        NotRun(NotRunReason.DEADLINE, Step.ROUTE, "a"),
        NotRun(NotRunReason.CALLER_LIMIT, Step.ACCEPT, "a"),
    ):
        assert isinstance(outcome_told(unseen, Attempt.UNMARKED), Unknown)
        assert outcome_told(unseen, Attempt.FIRST) == unseen


def retry(outcome: Outcome, attempt: Attempt, budget: RetryBudget, left_s: float = 5.0) -> object:
    return decide_retry(outcome, attempt, 1, left_s, budget, Backoff(), Random(1))


def test_only_repeatable_work_is_tried_again() -> None:
    lost = Unknown(Step.RUN, "a", "reset")
    assert isinstance(retry(lost, Attempt.REPEATABLE, RetryBudget(0.1, 1)), RetryAfter)
    for attempt in (Attempt.FIRST, Attempt.UNMARKED, Attempt.RESEND):
        assert retry(lost, attempt, RetryBudget(0.1, 1)) == GiveUp()


def test_answers_and_final_refusals_are_not_tried_again() -> None:
    budget = RetryBudget(0.1, 1)
    assert retry(Answered(500), Attempt.REPEATABLE, budget) == GiveUp()
    assert retry(SHED, Attempt.REPEATABLE, budget) == GiveUp()


def test_retries_stay_within_deadline_and_wish_of_the_server() -> None:
    moving = NotRun(NotRunReason.MOVING, Step.ADMIT, "a", 0.5)
    assert retry(moving, Attempt.REPEATABLE, RetryBudget(0.1, 1), 0.4) == GiveUp()
    assert retry(moving, Attempt.REPEATABLE, RetryBudget(0.1, 1), 0.6) == RetryAfter(0.5)


def test_retries_are_a_share_of_traffic() -> None:
    budget = RetryBudget(0.25, 2)
    taken = [budget.take() for _ in range(3)]
    assert taken == [True, True, False]
    for _ in range(4):
        budget.count_first_try()
    assert [budget.take(), budget.take()] == [True, False]


def test_backoff_stays_below_its_bound() -> None:
    random = Random(3)
    delays = [Backoff(0.02, 1.0).delay_s(tries, random) for tries in range(1, 100)]
    assert max(delays) <= 1.0 and delays[0] <= 0.02

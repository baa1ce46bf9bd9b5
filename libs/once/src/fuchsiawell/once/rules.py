"""How each end of a request becomes one of the three outcomes, and when it may be tried again."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto, unique
from typing import TYPE_CHECKING

from fuchsiawell.core import Answered, NotRun, NotRunReason, Outcome, Step, Unknown
from fuchsiawell.core.headers import RefusalCause

if TYPE_CHECKING:
    from random import Random

__all__ = [
    "AnswerCut",
    "Attempt",
    "Backoff",
    "ConnectionBroke",
    "DeadlinePassed",
    "End",
    "GiveUp",
    "NeverSent",
    "REROUTE_REASONS",
    "Refused",
    "RetryAfter",
    "RetryBudget",
    "RetryDecision",
    "WholeAnswer",
    "decide_retry",
    "outcome_of",
    "outcome_told",
    "outcome_unseen",
]

# Another leader may take the work at once; the entry daemon asks it before it tells the caller.
REROUTE_REASONS = frozenset(
    {
        NotRunReason.FENCED,
        NotRunReason.MOVING,
        NotRunReason.NO_LEADER,
        NotRunReason.NO_OWNER,
        NotRunReason.NOT_READY,
        NotRunReason.STOPPING,
        NotRunReason.UNREACHABLE,
    }
)
RETRYABLE_REASONS = REROUTE_REASONS | {NotRunReason.REFUSED_BY_SERVER}
UNSEEN_REASONS = REROUTE_REASONS | {
    NotRunReason.CALLER_LIMIT,
    NotRunReason.TOO_SLOW,
}
ENTRY_STEPS = frozenset({Step.ACCEPT, Step.ROUTE, Step.FORWARD})
REASON_BY_CAUSE = {
    RefusalCause.FENCE: NotRunReason.FENCED,
    RefusalCause.DEADLINE: NotRunReason.DEADLINE,
    RefusalCause.SHED: NotRunReason.SHED,
    RefusalCause.DRAIN: NotRunReason.REFUSED_BY_SERVER,
}


@dataclass(frozen=True, slots=True)
class NeverSent:
    """No byte of the request was handed to a connection, or the connection was never made."""

    reason: NotRunReason
    step: Step
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Refused:
    """The server proved by `Header.REFUSED` that it did not run the request."""

    cause: RefusalCause
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class ConnectionBroke:
    """At least one byte may have left and the connection ended before an answer began."""

    detail: str


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """At least one byte may have left and no answer began before the deadline."""


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """The answer arrived up to its framed end."""

    status: int


@dataclass(frozen=True, slots=True)
class AnswerCut:
    """An answer began and ended before its framed end."""

    status: int
    detail: str


End = NeverSent | Refused | ConnectionBroke | DeadlinePassed | WholeAnswer | AnswerCut


def outcome_of(end: End, peer: str) -> Outcome:
    """Return what the caller is told about one exchange with `peer`.

    The rule is the same for repeatable and never-repeat work: bytes that may have left without a
    whole answer or a proof of refusal are `Unknown`.
    """
    match end:
        case NeverSent(reason, step, retry_after_s):
            return NotRun(reason, step, peer, retry_after_s)
        case Refused(cause, retry_after_s):
            return NotRun(REASON_BY_CAUSE[cause], Step.RUN, peer, retry_after_s)
        case ConnectionBroke(detail):
            return Unknown(Step.RUN, peer, detail)
        case DeadlinePassed():
            return Unknown(Step.RUN, peer, "deadline passed before an answer")
        case WholeAnswer(status):
            return Answered(status)
        case AnswerCut(_, detail):
            return Unknown(Step.ANSWER, peer, f"answer cut: {detail}")


@unique
class Attempt(Enum):
    """Say what is known of earlier copies of a request."""

    REPEATABLE = auto()
    FIRST = auto()  # the caller states that it never sent this id before
    UNMARKED = auto()
    RESEND = auto()


def outcome_unseen(refusal: NotRun, attempt: Attempt) -> Outcome:
    """Return what to tell the caller where no leader's ledger vouches for the refusal.

    That is where the entry daemon refuses by itself, and where a leader refused for one of
    `REROUTE_REASONS` and no other took the work. An earlier copy of a never-repeat request may
    have run or may still do so, unless this is stated to be the first copy.
    """
    match attempt:
        case Attempt.REPEATABLE | Attempt.FIRST:
            return refusal
        case Attempt.UNMARKED | Attempt.RESEND:
            detail = f"{refusal.reason}: this copy was not run, an earlier one may have been"
            return Unknown(refusal.step, refusal.peer, detail)


def outcome_told(outcome: Outcome, attempt: Attempt) -> Outcome:
    """Return what the entry daemon tells the caller at the end of all its tries."""
    match outcome:
        case NotRun(reason) if reason in UNSEEN_REASONS:
            return outcome_unseen(outcome, attempt)
        case NotRun(NotRunReason.DEADLINE, step) if step in ENTRY_STEPS:
            return outcome_unseen(outcome, attempt)
    return outcome


class RetryBudget:
    """Allow retries as a share of recent first tries, so that retries cannot multiply load."""

    def __init__(self, share: float, burst: float) -> None:
        """Allow `share` retries a first try, saving up at most `burst` retries."""
        self._share = share
        self._burst = burst
        self._saved = burst

    def count_first_try(self) -> None:
        """Earn the share of one first try."""
        self._saved = min(self._burst, self._saved + self._share)

    def take(self) -> bool:
        """Spend one retry if the budget has one."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True


@dataclass(frozen=True, slots=True)
class Backoff:
    """Space retries apart: full jitter below a doubling bound."""

    first_s: float = 0.02
    most_s: float = 1.0

    def delay_s(self, tries: int, random: Random) -> float:
        """Return the pause after `tries` failed tries, at least 1."""
        bound_s = min(self.most_s, self.first_s * 2.0 ** min(tries - 1, 32))
        return random.uniform(0, bound_s)


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """Try again after `delay_s`."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Tell the caller the outcome of the last try."""


RetryDecision = RetryAfter | GiveUp


def decide_retry(
    outcome: Outcome,
    attempt: Attempt,
    tries: int,
    remaining_s: float,
    budget: RetryBudget,
    backoff: Backoff,
    random: Random,
) -> RetryDecision:
    """Decide whether work that ended with `outcome` is tried again by the router itself."""
    if attempt is not Attempt.REPEATABLE or not _worth_retrying(outcome):
        return GiveUp()
    delay_s = backoff.delay_s(tries, random)
    if isinstance(outcome, NotRun) and outcome.retry_after_s is not None:
        delay_s = max(delay_s, outcome.retry_after_s)
    if delay_s >= remaining_s or not budget.take():
        return GiveUp()
    return RetryAfter(delay_s)


def _worth_retrying(outcome: Outcome) -> bool:
    match outcome:
        case Answered():
            return False
        case NotRun(reason=reason):
            return reason in RETRYABLE_REASONS
        case Unknown():
            return True

"""What callers tried and what came of it, judged against what servers ran."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from enum import StrEnum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from fuchsiawell.standins.backend import Execution

__all__ = ["Attempt", "Ending", "Phase", "Verdict", "count_by_phase", "failing_time_s", "judge"]


@unique
class Ending(StrEnum):
    """Say how an attempt ended for its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    BROKEN = "broken"  # the connection ended, or stayed silent, without a whole answer
    UNSENT = "unsent"  # no daemon took the connection
    ERROR = "error"  # a whole answer that reports a failure of the backend server
    WRONG = "wrong"  # a whole answer that belongs to another request, or to another body


FAILURES = frozenset(Ending) - {Ending.ANSWERED}


@dataclass(frozen=True, slots=True)
class Attempt:
    """Hold one request as its caller saw it; times are monotonic seconds of this host."""

    service: str
    kind: str
    id: str | None  # the idempotency key of never-repeat requests
    upload: bool
    started_at_s: float
    ended_at_s: float
    ending: Ending
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Phase:
    """Name a span of the demo."""

    name: str
    started_at_s: float
    ended_at_s: float


@dataclass(frozen=True, slots=True)
class Verdict:
    """Hold what must never happen, counted; all zero if the promises were kept."""

    duplicates: tuple[str, ...]  # ids that ran more than once
    false_not_run: tuple[str, ...]  # ids called not run although they had started
    wrong_answers: int
    broken_uploads: int  # answered as whole with another digest than was sent
    never_repeat_ids: int  # ids that were sent, for scale
    never_repeat_ran: int  # ids that ran; with few, the counts of duplicates say little
    executions: int

    @property
    def kept(self) -> bool:
        """Tell whether every promise was kept."""
        return not (
            self.duplicates or self.false_not_run or self.wrong_answers or self.broken_uploads
        )


def judge(attempts: Sequence[Attempt], executions: Iterable[Execution]) -> Verdict:
    """Compare what callers were told with every execution that the servers recorded."""
    starts_by_id: dict[str, list[float]] = defaultdict(list)
    executed = 0
    for execution in executions:
        executed += 1
        if execution.idempotency_key is not None:
            starts_by_id[execution.idempotency_key].append(execution.started_at_s)
    wrong = [attempt for attempt in attempts if attempt.ending is Ending.WRONG]
    return Verdict(
        duplicates=tuple(sorted(id for id, starts in starts_by_id.items() if len(starts) > 1)),
        false_not_run=tuple(
            sorted(
                {
                    attempt.id
                    for attempt in attempts
                    if attempt.id is not None
                    and attempt.ending is Ending.NOT_RUN
                    and any(at_s < attempt.ended_at_s for at_s in starts_by_id[attempt.id])
                }
            )
        ),
        wrong_answers=sum(not attempt.upload for attempt in wrong),
        broken_uploads=sum(attempt.upload for attempt in wrong),
        never_repeat_ids=len({attempt.id for attempt in attempts if attempt.id is not None}),
        never_repeat_ran=sum(bool(starts) for starts in starts_by_id.values()),
        executions=executed,
    )


def count_by_phase(
    attempts: Iterable[Attempt], phases: Sequence[Phase]
) -> dict[str, Counter[Ending]]:
    """Count endings by the phase in which the attempt ended."""
    counts: dict[str, Counter[Ending]] = {phase.name: Counter() for phase in phases}
    for attempt in attempts:
        for phase in phases:
            if phase.started_at_s <= attempt.ended_at_s < phase.ended_at_s:
                counts[phase.name][attempt.ending] += 1
    return counts


def failing_time_s(attempts: Iterable[Attempt], phase: Phase) -> float:
    """Return the time from the start of the phase to the end of its last failure, 0 if none."""
    last_s = max(
        (
            attempt.ended_at_s
            for attempt in attempts
            if attempt.ending in FAILURES
            and phase.started_at_s <= attempt.ended_at_s < phase.ended_at_s
        ),
        default=phase.started_at_s,
    )
    return last_s - phase.started_at_s

"""Send a request to a second server when the first takes long; the first good response wins."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from fuchsiawell.balance import SecondAttemptDenial
from fuchsiawell.gateway.execute.outcome import (
    MIN_SERVER_ERROR_STATUS,
    NotExecuted,
    Outcome,
    OutcomeUnknown,
    Response,
)
from fuchsiawell.gateway.execute.request_timing import RequestTiming

if TYPE_CHECKING:
    from fuchsiawell.gateway.execute.attempt import Attempt, AttemptSender
    from fuchsiawell.gateway.execute.backend_client import Target
    from fuchsiawell.gateway.execute.client_request import ClientRequest
    from fuchsiawell.gateway.execute.placement import Placement
    from fuchsiawell.gateway.session.state import Session

__all__ = ["AttemptRace"]

# Second attempts use at most this part of the retry budget; the rest is left to failures.
RETRY_BUDGET_SHARE = 0.5


@dataclass
class _Race:
    """The attempts of a request that run side by side, the first one first."""

    request: ClientRequest
    delay_s: float
    task_by_attempt: list[tuple[Attempt, asyncio.Task[Outcome]]]
    winner: Attempt | None = None
    # Whether an attempt has won or all have failed, rather than the client having left.
    decided: bool = False


class AttemptRace:
    """Send a request to a server and, if a second attempt is due and allowed, to another one."""

    def __init__(self, session: Session, sender: AttemptSender, placement: Placement) -> None:
        self._session = session
        self._sender = sender
        self._placement = placement
        self._timing = RequestTiming(session)
        # Cancelled attempts whose connections are being closed.
        self._ending: set[asyncio.Task[Outcome]] = set()

    async def send(self, request: ClientRequest, target: Target) -> tuple[Target, Outcome]:
        """Return the outcome that counts for the request, and the server that it is from."""
        session = self._session
        first = self._sender.begin(request, target)
        if not session.second_attempts.applies_to(request.service):
            return target, await self._sender.send(first)
        may_have_second = self._may_have_second(request)
        if may_have_second:
            delay_s = session.second_attempts.delay_s(request.route.name, session.now_s)
            if delay_s is not None:
                return await self._race(first, delay_s)
        outcome = await self._sender.send(first)
        self._record_first(first, outcome, may_have_second)
        return target, outcome

    def _may_have_second(self, request: ClientRequest) -> bool:
        configuration = self._session.configuration
        service = configuration.services.get(request.service) if configuration else None
        return (
            service is not None
            and not service.sharded
            and request.idempotent
            and request.order is None
            and request.body.replayable
            and request.body.fully_buffered
            and request.attempts < request.max_attempts
        )

    async def _race(self, first: Attempt, delay_s: float) -> tuple[Target, Outcome]:
        race = _Race(first.request, delay_s, [])
        first_task = self._start(race, first)
        try:
            done, _ = await asyncio.wait([first_task], timeout=delay_s)
            second = None if done else self._begin_second(first)
            if second is not None:
                self._start(race, second)
            attempt, outcome = await self._decide(race)
            race.decided = True
            return attempt.target, outcome
        finally:
            self._close(race)

    def _start(self, race: _Race, attempt: Attempt) -> asyncio.Task[Outcome]:
        task = asyncio.get_running_loop().create_task(self._sender.send(attempt))
        race.task_by_attempt.append((attempt, task))
        return task

    async def _decide(self, race: _Race) -> tuple[Attempt, Outcome]:
        """Wait for the first good response; return the most telling failure if there is none."""
        while True:
            left = [task for _, task in race.task_by_attempt if not task.done()]
            for attempt, task in race.task_by_attempt:
                if task.done() and not _raised(task) and _is_good(task.result()):
                    race.winner = attempt
                    return attempt, task.result()
            if not left:
                # An error of the daemon comes before a failure of a server: it is raised here.
                failed = [(attempt, task.result()) for attempt, task in race.task_by_attempt]
                return min(failed, key=lambda pair: _rank(pair[1]))
            await asyncio.wait(left, return_when=asyncio.FIRST_COMPLETED)

    def _begin_second(self, first: Attempt) -> Attempt | None:
        """Return the second attempt of a request, None if a limit denies it."""
        session, request = self._session, first.request
        placed = self._place_second(request)
        if isinstance(placed, SecondAttemptDenial):
            session.metrics.count("second_attempts_denied", placed)
            return None
        second = self._sender.begin(request, placed)
        request.attempted_backends.append(placed.backend_id)
        session.second_attempts.record_sent(request.service, second.expected_work_s, session.now_s)
        session.metrics.count("second_attempts_sent", request.service)
        return second

    def _place_second(self, request: ClientRequest) -> Target | SecondAttemptDenial:
        session, now_s = self._session, self._session.now_s
        if session.poison_detector.is_suspected(request.fingerprint, now_s):
            return SecondAttemptDenial.SUSPECTED
        if now_s >= self._timing.latest_start_s(request):
            return SecondAttemptDenial.TIME
        denial = session.second_attempts.denied_by(
            request.service,
            session.latency_estimates.service_time_s(request.route.name),
            len(session.admission_queue(request.service)),
            now_s,
        )
        if denial is not None:
            return denial
        target = self._placement.place_alternative(request, request.tried_backends)
        if target is None:
            return SecondAttemptDenial.NO_SERVER
        if not session.retry_budget.try_acquire(
            request.service, session.daemon_count, now_s, RETRY_BUDGET_SHARE
        ):
            self._placement.release(target)
            return SecondAttemptDenial.RETRY_BUDGET
        return target

    def _close(self, race: _Race) -> None:
        """Cancel what still runs, which closes its connection, and record all attempts."""
        for attempt, task in race.task_by_attempt:
            if attempt is race.winner:
                continue
            if not task.done():
                self._record_cancelled(race, attempt)
                task.cancel()
            self._ending.add(task)
            task.add_done_callback(partial(self._discard, attempt))
        if race.decided:
            self._record(race)

    def _discard(self, attempt: Attempt, task: asyncio.Task[Outcome]) -> None:
        """Drop the outcome of an attempt that lost, or whose client has left."""
        self._ending.discard(task)
        if task.cancelled():
            # A task that is cancelled before it runs has not released its slot.
            self._sender.release(attempt)
        elif (error := task.exception()) is not None:
            self._session.metrics.count("internal_errors", "attempt")
            self._session.request_log.write(
                "internal error",
                request=attempt.request.request_id,
                step="attempt",
                server=attempt.target.backend_id,
                error=repr(error),
            )
        elif isinstance(outcome := task.result(), Response) and outcome.remainder is not None:
            outcome.remainder.close()

    def _record_cancelled(self, race: _Race, attempt: Attempt) -> None:
        if race.winner is not None:
            now_s = self._session.now_s
            self._session.latency_estimates.record_cancelled(
                attempt.request.route.name,
                attempt.target.backend_id,
                attempt.queueing_factor,
                now_s - attempt.started_s,
                now_s,
            )

    def _record_first(self, first: Attempt, outcome: Outcome | None, is_sample: bool) -> None:
        """Record the work, and as a sample the time, of a first attempt.

        `outcome` is None if it was cancelled or failed in this daemon.
        """
        session, request = self._session, first.request
        took_s = session.now_s - first.started_s
        match outcome:
            case NotExecuted():
                return
            case Response(head) if head.status >= MIN_SERVER_ERROR_STATUS:
                is_sample = False
            case OutcomeUnknown(timed_out=False):
                is_sample = False
        if is_sample:
            session.second_attempts.record_time(request.route.name, took_s, session.now_s)
        work_s = took_s / first.queueing_factor
        session.second_attempts.record_work(request.service, work_s, session.now_s)

    def _record(self, race: _Race) -> None:
        """Record how the attempts of a request ended."""
        session, request, now_s = self._session, race.request, self._session.now_s
        first, first_task = race.task_by_attempt[0]
        has_outcome = first_task.done() and not _raised(first_task)
        self._record_first(first, first_task.result() if has_outcome else None, is_sample=True)
        if len(race.task_by_attempt) == 1:
            return
        second, second_task = race.task_by_attempt[1]
        won = race.winner is second
        # The work of a second attempt that lost may be as long as that of the first.
        work_s = now_s - (second.started_s if won else first.started_s)
        session.second_attempts.record_ended(
            request.service, won, work_s - second.expected_work_s, now_s
        )
        if won:
            session.metrics.count("second_attempts_won", request.service)
        wasted_s = sum(now_s - a.started_s for a in (first, second) if a is not race.winner)
        session.metrics.count("second_attempts_wasted_ms", request.service, round(wasted_s * 1000))
        session.request_log.write(
            "second attempt",
            request=request.request_id,
            route=request.route.name,
            service=request.service,
            age_ms=round((now_s - request.arrived_s) * 1000),
            why="no answer within the usual time",
            after_ms=round(race.delay_s * 1000),
            took_ms=round((now_s - second.started_s) * 1000),
            won="second" if won else "first" if race.winner is first else "none",
            server=first.target.backend_id,
            end=_end(first_task),
            second_server=second.target.backend_id,
            second_end=_end(second_task),
        )


def _is_good(outcome: Outcome) -> bool:
    """Return whether an outcome is passed on to the client without another attempt."""
    return isinstance(outcome, Response) and (
        outcome.remainder is not None or outcome.head.status < MIN_SERVER_ERROR_STATUS
    )


def _rank(outcome: Outcome) -> int:
    """Return the order of failures: the request was or may have been executed if one says so."""
    match outcome:
        case Response():
            return 0
        case OutcomeUnknown(timed_out=True):
            return 1
        case OutcomeUnknown():
            return 2
        case NotExecuted(step="connect"):
            return 4
        case NotExecuted():
            return 3


def _raised(task: asyncio.Task[Outcome]) -> bool:
    """Return whether an attempt that has ended failed in this daemon."""
    return task.cancelled() or task.exception() is not None


def _end(task: asyncio.Task[Outcome]) -> str:
    """Return how an attempt ended, for logs."""
    if not task.done():
        return "cancelled"
    if _raised(task):
        return "internal error"
    match task.result():
        case Response(head):
            return f"status {head.status}"
        case NotExecuted(reason=reason) | OutcomeUnknown(reason=reason):
            return reason

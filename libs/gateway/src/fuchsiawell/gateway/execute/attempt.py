"""One attempt of a request at one server, and what its outcome says of the server."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from fuchsiawell.gateway.execute.outcome import NotExecuted, Outcome, OutcomeUnknown, Response
from fuchsiawell.gateway.execute.traffic_records import TrafficRecords
from fuchsiawell.gateway.session.in_flight_request import InFlightRequest

if TYPE_CHECKING:
    from fuchsiawell.gateway.execute.backend_client import BackendClient, Target
    from fuchsiawell.gateway.execute.client_request import ClientRequest
    from fuchsiawell.gateway.execute.crash_reports import CrashReports
    from fuchsiawell.gateway.execute.placement import Placement
    from fuchsiawell.gateway.session.state import Session

__all__ = ["Attempt", "AttemptSender"]


@dataclass
class Attempt:
    """One attempt of a request at a server; times are monotonic seconds."""

    request: ClientRequest
    target: Target
    started_s: float
    # Slowdown that is expected from what is in flight at the server.
    queueing_factor: float
    # Expected duration without that slowdown: the work at the server.
    expected_work_s: float
    # Whether the server is in another availability zone.
    crosses_zones: bool = False
    # Whether it holds a slot of the server.
    holds_slot: bool = True


class AttemptSender:
    """Send requests to servers and record how the servers respond."""

    def __init__(
        self,
        session: Session,
        backend_client: BackendClient,
        placement: Placement,
        crash_reports: CrashReports,
    ) -> None:
        self._session = session
        self._backend_client = backend_client
        self._placement = placement
        self._crash_reports = crash_reports
        self._traffic = TrafficRecords(session)
        self._last_attempt_id = 0

    def begin(self, request: ClientRequest, target: Target) -> Attempt:
        """Return an attempt at a server in whose slot a request was placed; `send` must follow."""
        session = self._session
        started_s = session.now_s
        in_flight = session.occupancy.total(target.backend_id, target.incarnation_id, started_s)
        backend = session.directory.by_id.get(target.backend_id)
        slots = backend.slots if backend is not None else 1
        queueing_factor = max(1.0, in_flight / slots)
        service_time_s = session.latency_estimates.service_time_s(request.route.name)
        latency_factor = session.latency_estimates.latency_factor(target.backend_id, started_s)
        return Attempt(
            request,
            target,
            started_s,
            queueing_factor,
            service_time_s * latency_factor,
            crosses_zones=backend is not None and backend.zone != session.settings.zone,
        )

    async def send(self, attempt: Attempt) -> Outcome:
        """Send the request and release the slot at the end of the attempt."""
        session, request, target = self._session, attempt.request, attempt.target
        session.metrics.count("server_requests", target.backend_id)
        self._last_attempt_id += 1
        attempt_id = self._last_attempt_id
        session.in_flight[attempt_id] = InFlightRequest(
            target.backend_id,
            target.incarnation_id,
            request.fingerprint,
            attempt.started_s,
            attempt.expected_work_s * attempt.queueing_factor,
            request.service,
            request.route.name,
        )
        outcome: Outcome | None = None
        try:
            with self._placement.bodies.sending(target, request.body.size_bytes):
                outcome = await self._backend_client.send(
                    target,
                    request.head,
                    request.body,
                    request.request_id,
                    request.deadline_s,
                    request.idempotent,
                )
        except BaseException:
            self.release(attempt)
            raise
        finally:
            del session.in_flight[attempt_id]
            self._traffic.record_sent(attempt, outcome)
        remainder = outcome.remainder if isinstance(outcome, Response) else None
        if isinstance(outcome, Response) and remainder is not None and not remainder.for_memory:
            remainder.on_close = partial(self._end_remainder, attempt, outcome)
        else:
            # A server that has sent a response which is not long has done its work; a slow client
            # must not keep its slot because the response is passed on in pieces.
            self.release(attempt)
            if isinstance(outcome, Response) and remainder is not None:
                remainder.on_close = partial(self._traffic.record_received, attempt, outcome)
            elif isinstance(outcome, Response):
                self._traffic.record_received(attempt, outcome)
        took_s = session.now_s - attempt.started_s
        session.metrics.observe("backend_time", took_s)
        self._record_outcome(request, target, outcome, attempt.queueing_factor, took_s)
        return outcome

    def release(self, attempt: Attempt) -> None:
        """Release the slot of an attempt, once."""
        if attempt.holds_slot:
            attempt.holds_slot = False
            self._placement.release(attempt.target)

    def _end_remainder(self, attempt: Attempt, response: Response) -> None:
        self.release(attempt)
        self._traffic.record_received(attempt, response)

    def _record_outcome(
        self,
        request: ClientRequest,
        target: Target,
        outcome: Outcome,
        queueing_factor: float,
        took_s: float,
    ) -> None:
        session = self._session
        if target.trial and isinstance(outcome, Response):
            session.server_rests.record_answered(target.incarnation_id, session.now_s)
            session.wake_for_free_slots()
        match outcome:
            case NotExecuted(server_rests=True) | OutcomeUnknown(server_rests=True):
                # The rest takes the place of an ejection.
                return
            case Response(remainder=remainder) if remainder is not None:
                # Whether the server has responded is known at the end of the remainder.
                remainder.on_end = lambda end: self._record_outcome(
                    request, target, end, queueing_factor, took_s
                )
            case Response(head) if head.status < 500:
                session.outlier_detector.record_success(target.backend_id)
                session.latency_estimates.record_response(
                    request.route.name, target.backend_id, queueing_factor, took_s, session.now_s
                )
            case NotExecuted(step="connect", overloaded=False):
                if session.outlier_detector.record_failure(
                    target.backend_id, session.now_s, unreachable=True
                ):
                    self._record_ejection(target, outcome.reason)
            case NotExecuted(address_reassigned=True):
                session.outlier_detector.record_failure(
                    target.backend_id, session.now_s, unreachable=True
                )
                self._record_ejection(target, "its address belongs to another server")
            case NotExecuted(misdirected=True):
                return
            case OutcomeUnknown(timed_out=False):
                self._crash_reports.start_probe(request, target)
                if session.outlier_detector.record_failure(target.backend_id, session.now_s):
                    self._record_ejection(target, outcome.reason)
            case _:
                if session.outlier_detector.record_failure(target.backend_id, session.now_s):
                    self._record_ejection(target, "consecutive failures")

    def _record_ejection(self, target: Target, reason: str) -> None:
        # Metric and event are named "pause" for an ejection; operators match both names.
        self._session.metrics.count("server_pauses", target.backend_id)
        self._session.log.event(
            "server paused", server=target.backend_id, peer=target.peer, why=reason
        )

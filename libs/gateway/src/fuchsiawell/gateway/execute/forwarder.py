"""Forward a request: find its route, place it at a server, retry, return the response."""

from __future__ import annotations

import asyncio
import zlib
from typing import TYPE_CHECKING

from fuchsiawell.gateway.execute.attempt import AttemptSender
from fuchsiawell.gateway.execute.client_request import ClientRequest
from fuchsiawell.gateway.execute.outcome import (
    MIN_SERVER_ERROR_STATUS,
    NotExecuted,
    Outcome,
    OutcomeUnknown,
    Response,
)
from fuchsiawell.gateway.execute.refusal import (
    Refusal,
    bad_gateway,
    not_executed,
    stopping,
    timed_out,
    unknown_route,
)
from fuchsiawell.gateway.execute.request_timing import RequestTiming
from fuchsiawell.gateway.execute.second_attempt import AttemptRace
from fuchsiawell.gateway.session.key_counting import count_key
from fuchsiawell.httpio import first_value

if TYPE_CHECKING:
    from fuchsiawell.gateway.execute.backend_client import BackendClient
    from fuchsiawell.gateway.execute.body import RequestBody
    from fuchsiawell.gateway.execute.crash_reports import CrashReports
    from fuchsiawell.gateway.execute.placement import Placement
    from fuchsiawell.gateway.execute.relay_messages import RelayOrder
    from fuchsiawell.gateway.execute.relaying import Relaying
    from fuchsiawell.gateway.ports import BackendProtocol
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.httpio import RequestHead

__all__ = ["ClientRequest", "Forwarder"]

# Used when the client sends no deadline; a shorter timeout of the route takes precedence.
DEFAULT_TIMEOUT_S = 30.0
# Retry-after while no configuration is known, and for a suspected poison request.
DEFAULT_RETRY_AFTER_S = 0.5
# Time for a grant to reach the new owner after this daemon has learned of the assignment.
GRANT_DELIVERY_S = 0.03
# No retry with less time left than this part of the usual service time: it would be pointless.
MIN_RETRY_TIME_FRACTION = 0.4


class Forwarder:
    """Forward client requests to backend servers."""

    def __init__(
        self,
        session: Session,
        protocol: BackendProtocol,
        backend_client: BackendClient,
        placement: Placement,
        crash_reports: CrashReports,
        relaying: Relaying | None = None,
    ) -> None:
        self._session = session
        self._protocol = protocol
        self._race = AttemptRace(
            session, AttemptSender(session, backend_client, placement, crash_reports), placement
        )
        self._placement = placement
        self._crash_reports = crash_reports
        self._relaying = relaying
        self._timing = RequestTiming(session)

    def prepare(
        self, head: RequestHead, body: RequestBody, now_s: float, order: RelayOrder | None = None
    ) -> ClientRequest | Refusal:
        """Find the route, service and deadline of a request that arrived at `now_s`.

        `order` is given if another daemon has sent it.
        """
        session = self._session
        configuration = session.configuration
        if configuration is None:
            return not_executed("no configuration yet", DEFAULT_RETRY_AFTER_S)
        metadata = self._protocol.parse_request(head)
        if metadata.request_id is None:
            return Refusal(400, "request without an id")
        host = (first_value(head.fields, b"host") or b"").decode("latin-1").lower()
        path = head.target.split(b"?", 1)[0].decode("latin-1")
        route = configuration.find_route(host.partition(":")[0], path)
        if route is None:
            return unknown_route(f"no route for {host}{path}", metadata.request_id)
        if order is not None and order.version == configuration.version:
            service: str | None = order.service
        else:
            service = session.traffic_splitter.next_service(route)
        if service is None:
            return not_executed(f"route {route.name} has no service", DEFAULT_RETRY_AFTER_S)
        timeout_s = (
            DEFAULT_TIMEOUT_S if metadata.timeout is None else metadata.timeout.total_seconds()
        )
        return ClientRequest(
            head=head,
            request_id=metadata.request_id,
            route=route,
            service=service,
            key=metadata.key,
            body=body,
            arrived_s=now_s - (0.0 if order is None else order.age_ms / 1000),
            deadline_s=now_s + min(timeout_s, route.timeout.total_seconds()),
            fingerprint=0,
            order=order,
            may_relay=self._relaying is not None and order is None,
            counted=order is not None and order.counted,
        )

    async def serve(self, request: ClientRequest) -> Response | Refusal:
        """Return a server's response, or a refusal that states whether the request was executed."""
        session = self._session
        route = request.route
        request.fingerprint = zlib.crc32(
            request.body.buffered, zlib.crc32(request.head.target, zlib.crc32(route.host.encode()))
        )
        if request.order is None:
            session.metrics.count("requests", route.name)
        if session.poison_detector.is_poison(request.fingerprint, session.now_s):
            self._log("refused", request, why="crashes servers")
            return not_executed(
                "suspected poison request: it crashes the servers that execute it",
                DEFAULT_RETRY_AFTER_S,
            )
        return await self._serve_with_retries(request)

    async def _serve_with_retries(self, request: ClientRequest) -> Response | Refusal:
        """Retry until there is a response; a 5xx response is kept in case all retries fail."""
        outcome: Outcome | None = None
        error_response: Response | None = None
        while True:
            if self._relaying is not None and self._relaying.is_due(request):
                if request.reached_server and not self._acquire_retry(request):
                    return error_response or self._final_refusal(request, outcome)
                answer = await self._relaying.send(request)
                if isinstance(answer, Response):
                    if not self._is_retried(request, answer):
                        return answer
                    error_response = answer
                    continue
                if isinstance(answer, Refusal):
                    if request.maybe_executed and answer.retry_after is not None:
                        answer = bad_gateway(answer.reason)
                    return error_response or answer
                if answer is not None:
                    outcome = answer
                    if not self._may_retry(request, outcome):
                        return error_response or self._final_refusal(request, outcome)
                continue
            self._count(request)
            target = await self._placement.place(request)
            if target is None:
                continue
            if isinstance(target, Refusal):
                self._log("not placed", request, why=target.reason, tries=request.attempts)
                if request.maybe_executed:
                    return error_response or bad_gateway(target.reason)
                return target
            if not self._timing.ends_before_stop(request):
                # It was queued for too long.
                self._placement.release(target)
                if request.maybe_executed:
                    return error_response or bad_gateway("daemon is stopping")
                return stopping()
            if request.attempts and not self._acquire_retry(request):
                self._placement.release(target)
                return error_response or self._final_refusal(request, outcome)
            request.attempted_backends.append(target.backend_id)
            maybe_executed_before, request.maybe_executed = request.maybe_executed, True
            target, outcome = await self._race.send(request, target)
            if not (isinstance(outcome, NotExecuted) and outcome.step == "connect"):
                request.reached_server = True
            match outcome:
                case Response(head) if self._is_retried(request, outcome):
                    error_response, request.served_by = outcome, target
                    self._log(
                        "try failed",
                        request,
                        server=target.backend_id,
                        step="answer",
                        peer=target.peer,
                        why=f"status {head.status}",
                        maybe_ran=True,
                    )
                    continue
                case Response():
                    request.served_by = target
                    self._crash_reports.clear(request.fingerprint)
                    return outcome
                case NotExecuted():
                    request.maybe_executed = maybe_executed_before
            self._log(
                "try failed",
                request,
                server=target.backend_id,
                step=outcome.step,
                peer=outcome.peer,
                why=outcome.reason,
                maybe_ran=isinstance(outcome, OutcomeUnknown),
            )
            if not self._may_retry(request, outcome):
                return error_response or self._final_refusal(request, outcome)
            if isinstance(outcome, NotExecuted) and outcome.misdirected:
                # The grant to the new owner may still be in transit.
                request.refusals_by_fence[target.fence] += 1
                await asyncio.sleep(GRANT_DELIVERY_S)

    def _is_retried(self, request: ClientRequest, response: Response) -> bool:
        """Return whether there is to be another attempt after a response of a server."""
        return (
            response.remainder is None
            and response.head.status >= MIN_SERVER_ERROR_STATUS
            and self._may_execute_again(request)
        )

    def _count(self, request: ClientRequest) -> None:
        """Count a request once for the retry budget and the rates of keys."""
        if request.counted:
            return
        request.counted = True
        session = self._session
        session.retry_budget.record_request(request.service, session.now_s)
        session.class_rooms.record_request(request.service, request.route.name)
        if request.key is not None:
            count_key(session, request.service, request.key, request.route.name)

    def _acquire_retry(self, request: ClientRequest) -> bool:
        session = self._session
        if session.retry_budget.try_acquire(request.service, session.daemon_count, session.now_s):
            return True
        self._log("no retry", request, why="retry budget", tries=request.attempts)
        return False

    def _may_retry(self, request: ClientRequest, outcome: NotExecuted | OutcomeUnknown) -> bool:
        if isinstance(outcome, OutcomeUnknown):
            return not outcome.timed_out and self._may_execute_again(request)
        if not request.body.replayable or request.attempts > request.max_attempts + 1:
            return False
        return self._has_time_to_retry(request)

    def _may_execute_again(self, request: ClientRequest) -> bool:
        """Return whether a request that was or may have been executed may be executed again."""
        return (
            request.idempotent
            and request.body.replayable
            and request.attempts < request.max_attempts
            and self._has_time_to_retry(request)
        )

    def _has_time_to_retry(self, request: ClientRequest) -> bool:
        remaining_s = request.deadline_s - self._session.now_s
        return (
            remaining_s
            > MIN_RETRY_TIME_FRACTION
            * self._session.latency_estimates.service_time_s(request.route.name)
        )

    def _final_refusal(self, request: ClientRequest, outcome: Outcome | None) -> Refusal:
        """Return the refusal after the last attempt, 503 only if no attempt was executed."""
        match outcome:
            case OutcomeUnknown(timed_out=True):
                return timed_out(outcome.reason)
            case OutcomeUnknown() | NotExecuted() if request.maybe_executed:
                return bad_gateway(outcome.reason)
            case NotExecuted():
                return not_executed(outcome.reason, self._placement.retry_after_for(request))
            case _:
                return bad_gateway("no response")

    def _log(self, name: str, request: ClientRequest, **fields: object) -> None:
        self._session.request_log.write(
            name,
            request=request.request_id,
            route=request.route.name,
            service=request.service,
            key=request.key,
            age_ms=round((self._session.now_s - request.arrived_s) * 1000),
            **fields,
        )

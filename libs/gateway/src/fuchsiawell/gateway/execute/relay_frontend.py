"""Serve the requests that other daemons, which reach no server, send here."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.gateway.execute.client_request import ClientRequest
from fuchsiawell.gateway.execute.frontend import Frontend
from fuchsiawell.gateway.execute.outcome import Response
from fuchsiawell.gateway.execute.refusal import Refusal
from fuchsiawell.gateway.execute.relay_messages import (
    RelayAnswer,
    RelayOrder,
    RelayReply,
    RelayUnavailable,
    decode_order,
    encode_message,
    without_private_fields,
)
from fuchsiawell.httpio import HeadLimits

if TYPE_CHECKING:
    from fuchsiawell.gateway.execute.body import RequestBody
    from fuchsiawell.httpio import Fields, RequestHead

__all__ = ["RelayFrontend"]

# Longer than daemons keep idle connections to each other.
IDLE_TIMEOUT_S = 20.0
HEAD_TIMEOUT_S = 3.0
# The fields that a daemon adds to the head of a client's request fit.
ADDED_HEADER_BYTES = 2048


class RelayFrontend(Frontend):
    """Answer requests of daemons; nothing is sent through a further daemon."""

    def _prepare_request(
        self, head: RequestHead, body: RequestBody, started_s: float
    ) -> ClientRequest | Refusal:
        try:
            order = decode_order(head.fields)
        except ValueError as error:
            return Refusal(400, f"not an order of a daemon: {error}")
        refusal = self._refuse(order)
        if refusal is not None:
            return refusal
        return self._forwarder.prepare(without_private_fields(head), body, started_s, order)

    def _refuse(self, order: RelayOrder) -> RelayUnavailable | None:
        """Return why a request should go through another daemon, None if it can be served here."""
        session = self._session
        if session.stopping:
            return RelayUnavailable(503, "stopping")
        if session.reachability.cut_off:
            return RelayUnavailable(503, "reaches no server")
        version = session.configuration.version if session.configuration else 0
        if version < order.min_version or session.configuration is None:
            reason = f"configuration {version} is older than {order.min_version}"
            return RelayUnavailable(503, reason, answer=RelayAnswer.OUTDATED)
        return None

    def _record_result(
        self, request: ClientRequest | Refusal, result: Response | Refusal, took_s: float
    ) -> None:
        # The daemon that got the request from its client counts it as answered.
        reply = self._reply(request, result)
        self._session.metrics.count("hops_served", reply.answer)
        if isinstance(result, Response):
            return
        self._session.request_log.write(
            "hop not served",
            request=request.request_id if isinstance(request, ClientRequest) else None,
            route=request.route.name if isinstance(request, ClientRequest) else None,
            status=result.status,
            answer=reply.answer,
            why=result.reason,
            took_ms=round(took_s * 1000),
        )

    def _response_fields(
        self, request: ClientRequest | Refusal, result: Response | Refusal
    ) -> Fields:
        fields = super()._response_fields(request, result)
        return [*fields, encode_message(self._reply(request, result))]

    def _reply(self, request: ClientRequest | Refusal, result: Response | Refusal) -> RelayReply:
        session = self._session
        version = session.configuration.version if session.configuration else 0
        known = request if isinstance(request, ClientRequest) else None
        attempted = tuple(known.attempted_backends) if known else ()
        if isinstance(result, Response):
            server = known.served_by if known else None
            return RelayReply(
                RelayAnswer.SERVED,
                version,
                server=server.backend_id if server else "",
                incarnation=server.incarnation_id if server else "",
                attempted=attempted,
            )
        retry_after_ms = (
            None if result.retry_after is None else round(result.retry_after.total_seconds() * 1000)
        )
        return RelayReply(
            self._refusal_kind(result),
            version,
            result.reason,
            retry_after_ms,
            attempted=attempted,
        )

    def _refusal_kind(self, refusal: Refusal) -> RelayAnswer:
        """Return whether another daemon may do better: only if nothing was executed."""
        session = self._session
        if isinstance(refusal, RelayUnavailable):
            return refusal.answer
        not_executed = refusal.status == 503
        if not_executed and (session.reachability.cut_off or session.stopping):
            return RelayAnswer.UNAVAILABLE
        return RelayAnswer.REFUSED

    def _head_limits(self) -> HeadLimits:
        limits = super()._head_limits()
        return HeadLimits(
            IDLE_TIMEOUT_S, HEAD_TIMEOUT_S, limits.max_header_bytes + ADDED_HEADER_BYTES
        )

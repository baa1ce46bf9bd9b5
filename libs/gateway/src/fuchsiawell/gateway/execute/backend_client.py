"""Send one request to one backend server and classify the outcome."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING

from fuchsiawell.gateway.execute.body_sending import (
    body_error,
    cancel_sending,
    start_sending,
)
from fuchsiawell.gateway.execute.connection_pool import CONNECT_TIMEOUT_S
from fuchsiawell.gateway.execute.outcome import (
    MIN_SERVER_ERROR_STATUS,
    NotExecuted,
    Outcome,
    OutcomeUnknown,
    Response,
)
from fuchsiawell.gateway.execute.response_reading import drain, read_response
from fuchsiawell.httpio import (
    ClientConnection,
    Exchange,
    InvalidResponseError,
    RequestHead,
    ResponseHead,
)

if TYPE_CHECKING:
    from fuchsiawell.balance import Reachability
    from fuchsiawell.core import Clock
    from fuchsiawell.gateway.control.cold_tracker import ColdTracker
    from fuchsiawell.gateway.control.leaving_tracker import LeavingTracker
    from fuchsiawell.gateway.control.limit_tracker import LimitTracker
    from fuchsiawell.gateway.control.load_tracker import LoadTracker
    from fuchsiawell.gateway.control.rest_tracker import RestTracker
    from fuchsiawell.gateway.execute.body import RequestBody
    from fuchsiawell.gateway.execute.connection_pool import ConnectionPool
    from fuchsiawell.gateway.execute.held_bytes import Holding
    from fuchsiawell.gateway.ports import BackendProtocol, ResponseMetadata
    from fuchsiawell.routing import Backend

__all__ = ["BackendClient", "Target", "target_of"]

# A connection that was given up earlier tells nothing of the server, as the request had no more
# time: between regions a connection takes up to about 0.1 s.
MIN_CONNECT_WAIT_S = 0.2
# A timeout that comes later shows that the process stood still.
MAX_CONNECT_WAIT_S = CONNECT_TIMEOUT_S + 0.2


@dataclass(frozen=True)
class Target:
    """Incarnation of a server to send a request to."""

    backend_id: str
    incarnation_id: str
    host: str
    port: int
    # Fencing token of the assignment of the request's key, 0 if the service is not sharded.
    fence: int = 0
    # Whether this is the single request that a server gets after a rest.
    trial: bool = field(default=False, compare=False)

    @property
    def peer(self) -> str:
        """Return its address for logs."""
        return f"{self.host}:{self.port}"


def target_of(backend: Backend) -> Target:
    """Return a server of a service without keys as a target."""
    return Target(backend.id, backend.incarnation_id, backend.host, backend.port)


class BackendClient:
    """Send requests over pooled connections."""

    def __init__(
        self,
        pool: ConnectionPool,
        protocol: BackendProtocol,
        clock: Clock,
        limit_tracker: LimitTracker,
        rest_tracker: RestTracker,
        leaving_tracker: LeavingTracker,
        reachability: Reachability,
        cold_tracker: ColdTracker | None = None,
        load_tracker: LoadTracker | None = None,
    ) -> None:
        self._pool = pool
        self._protocol = protocol
        self._clock = clock
        self._limit_tracker = limit_tracker
        self._rest_tracker = rest_tracker
        self._leaving_tracker = leaving_tracker
        self._reachability = reachability
        self._cold_tracker = cold_tracker
        self._load_tracker = load_tracker

    async def send(
        self,
        target: Target,
        head: RequestHead,
        body: RequestBody,
        request_id: str,
        deadline_s: float,
        idempotent: bool,
    ) -> Outcome:
        """Send a request and wait for the response until the monotonic time `deadline_s`.

        Cancelling the call resets the connection; so does a malformed rest of the body, for which
        BadRequestError is raised.
        """
        started_s = self._clock.monotonic()
        try:
            async with asyncio.timeout(deadline_s - started_s):
                connection = await self._pool.acquire(
                    target.incarnation_id,
                    target.host,
                    target.port,
                    require_fresh=not idempotent,
                    request_id=request_id,
                )
        except OSError as error:
            self._record_failure(target)
            overloaded = isinstance(error, ConnectionResetError)
            waited_s = self._clock.monotonic() - started_s
            is_doubtful = overloaded or (
                isinstance(error, TimeoutError)
                and not MIN_CONNECT_WAIT_S <= waited_s <= MAX_CONNECT_WAIT_S
            )
            if self._cold_tracker is not None and not is_doubtful:
                self._cold_tracker.record_unreachable(target.backend_id)
            return NotExecuted(
                "connect", target.peer, str(error) or "timed out", overloaded=overloaded
            )
        if self._rest_tracker.is_resting(target.incarnation_id):
            # The server has named the rest while the connection was being opened.
            self._pool.release(target.incarnation_id, connection, connection.idle_since_s)
            return NotExecuted("rest", target.peer, "server rests", server_rests=True)
        remaining = timedelta(seconds=deadline_s - self._clock.monotonic())
        fields = self._protocol.forwarded_fields(head.fields, remaining, target.backend_id)
        length_bytes = len(body.buffered) if body.fully_buffered else body.length_bytes
        send_task: asyncio.Task[None] | None = None
        completed = False
        sent_s = self._clock.monotonic()
        try:
            async with asyncio.timeout(remaining.total_seconds()):
                outgoing = RequestHead(head.method, head.target, fields)
                exchange = connection.start(outgoing, length_bytes)
                send_task = await start_sending(exchange, body, connection)
                outcome = await self._receive(
                    target, connection, exchange, request_id, body.holding
                )
            completed = True
            if isinstance(outcome, Response) and outcome.remainder is not None:
                # The server may need the rest of the request to end its response.
                outcome.remainder.sending, send_task = send_task, None
            return outcome
        except TimeoutError:
            if not self._reachability.reached_since(sent_s):
                self._record_failure(target)
            return OutcomeUnknown("answer", target.peer, "no answer in time", timed_out=True)
        except (OSError, InvalidResponseError) as error:
            if (error_of_body := body_error(send_task)) is not None:
                raise error_of_body from error
            self._record_failure(target)
            if connection.exchange_count > 1:
                self._pool.discard(target.incarnation_id)
            return OutcomeUnknown("answer", target.peer, str(error) or type(error).__name__)
        finally:
            await cancel_sending(send_task)
            if not completed:
                connection.abort()

    def _record_failure(self, target: Target) -> None:
        self._reachability.record_failure(target.backend_id, self._clock.monotonic())

    def _return_connection(
        self,
        target: Target,
        connection: ClientConnection,
        exchange: Exchange,
        answered_s: float,
    ) -> None:
        """Release or close a connection after a complete response."""
        if exchange.reusable:
            self._pool.release(target.incarnation_id, connection, answered_s)
        else:
            connection.abort()

    async def _receive(
        self,
        target: Target,
        connection: ClientConnection,
        exchange: Exchange,
        request_id: str,
        holding: Holding,
    ) -> Outcome:
        received: list[ResponseMetadata] = []
        sent_s = self._clock.monotonic()

        def matches_request(head: ResponseHead) -> bool:
            received[:] = [self._protocol.parse_response(head)]
            return received[0].request_id in (request_id, None)

        head = await exchange.read_response_head(matches_request)
        answered_s = self._clock.monotonic()
        if connection.exchange_count == 1:
            self._reachability.record_connected(target.backend_id, answered_s)
        else:
            self._reachability.record_response(target.backend_id, answered_s)
        metadata = received[0]
        if metadata.request_id is None and connection.exchange_count > 1:
            raise InvalidResponseError("response without a request id on a reused connection")
        self._limit_tracker.record_response(
            target.backend_id, target.incarnation_id, metadata, sent_s
        )
        self._leaving_tracker.record_response(target.backend_id, target.incarnation_id, metadata)
        if self._cold_tracker is not None:
            self._cold_tracker.record_response(target.backend_id, target.incarnation_id, metadata)
        self._rest_tracker.record_response(target.backend_id, target.incarnation_id, metadata)
        if self._load_tracker is not None:
            self._load_tracker.record_response(target.backend_id, target.incarnation_id, metadata)
        failure = _failure(target, head, metadata)
        if failure is not None or head.status >= MIN_SERVER_ERROR_STATUS:
            # Another attempt may follow.
            connection.exclude(request_id)
        if failure is not None:
            if await drain(exchange):
                self._return_connection(target, connection, exchange, answered_s)
            else:
                connection.abort()
            return failure
        release = partial(self._return_connection, target, connection, exchange, answered_s)
        return await read_response(head, exchange, connection, release, holding)


def _failure(
    target: Target, head: ResponseHead, metadata: ResponseMetadata
) -> NotExecuted | OutcomeUnknown | None:
    """Return the outcome of a response that must not be passed on, None for any other."""
    server_rests = metadata.rest is not None and metadata.rest > timedelta(0)
    if metadata.not_executed:
        address_reassigned = (
            metadata.server_id is not None and metadata.server_id != target.backend_id
        )
        return NotExecuted(
            "answer",
            target.peer,
            f"status {head.status}",
            metadata.misdirected,
            address_reassigned,
            server_rests=server_rests,
        )
    if head.status < 400 and not metadata.signed:
        return OutcomeUnknown("answer", target.peer, f"status {head.status} without signature")
    if head.status in (408, 421, 429, 503):
        # These statuses mean that nothing was executed, which this response does not confirm.
        return OutcomeUnknown(
            "answer",
            target.peer,
            f"status {head.status} without proof of no execution",
            server_rests=server_rests,
        )
    return None

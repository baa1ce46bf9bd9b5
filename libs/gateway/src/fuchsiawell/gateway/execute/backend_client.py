"""Send one request to one backend server and classify the outcome."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING

from fuchsiawell.gateway.execute.outcome import NotExecuted, Outcome, OutcomeUnknown, Response
from fuchsiawell.gateway.execute.remainder import Remainder
from fuchsiawell.httpio import (
    BadRequestError,
    ClientConnection,
    Exchange,
    InvalidResponseError,
    RequestHead,
    ResponseHead,
)

if TYPE_CHECKING:
    from fuchsiawell.core import Clock
    from fuchsiawell.gateway.control.leaving_tracker import LeavingTracker
    from fuchsiawell.gateway.control.limit_tracker import LimitTracker
    from fuchsiawell.gateway.control.rest_tracker import RestTracker
    from fuchsiawell.gateway.execute.body import RequestBody
    from fuchsiawell.gateway.execute.connection_pool import ConnectionPool
    from fuchsiawell.gateway.ports import BackendProtocol, ResponseMetadata

__all__ = ["BackendClient", "Target"]

# Responses up to this size are read completely before any part is sent to the client: if one is
# truncated, the client can still get an error status, or the request another attempt.
MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024
# Time to read the body of a response that is not passed on, so that its connection can be reused.
DRAIN_TIMEOUT_S = 0.1
# Bodies up to this size are sent before reading the response; longer ones concurrently with it.
MAX_INLINE_BODY_BYTES = 16 * 1024


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
    ) -> None:
        self._pool = pool
        self._protocol = protocol
        self._clock = clock
        self._limit_tracker = limit_tracker
        self._rest_tracker = rest_tracker
        self._leaving_tracker = leaving_tracker

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
        try:
            async with asyncio.timeout(deadline_s - self._clock.monotonic()):
                connection = await self._pool.acquire(
                    target.incarnation_id, target.host, target.port, require_fresh=not idempotent
                )
        except OSError as error:
            overloaded = isinstance(error, ConnectionResetError)
            return NotExecuted(
                "connect", target.peer, str(error) or "timed out", overloaded=overloaded
            )
        if self._rest_tracker.is_resting(target.incarnation_id):
            # The server has named the rest while the connection was being opened.
            self._pool.release(target.incarnation_id, connection)
            return NotExecuted("rest", target.peer, "server rests", server_rests=True)
        remaining = timedelta(seconds=deadline_s - self._clock.monotonic())
        fields = self._protocol.forwarded_fields(head.fields, remaining, target.backend_id)
        length_bytes = len(body.buffered) if body.fully_buffered else body.length_bytes
        send_task: asyncio.Task[None] | None = None
        completed = False
        try:
            async with asyncio.timeout(remaining.total_seconds()):
                outgoing = RequestHead(head.method, head.target, fields)
                exchange = connection.start(outgoing, length_bytes)
                if body.fully_buffered and len(body.buffered) <= MAX_INLINE_BODY_BYTES:
                    await _send_body(exchange, body, connection)
                else:
                    send_task = asyncio.get_running_loop().create_task(
                        _send_body(exchange, body, connection)
                    )
                outcome = await self._receive(target, connection, exchange, request_id)
            completed = True
            return outcome
        except TimeoutError:
            return OutcomeUnknown("answer", target.peer, "no answer in time", timed_out=True)
        except (OSError, InvalidResponseError) as error:
            if send_task is not None and (body_error := _body_error(send_task)) is not None:
                raise body_error from error
            if connection.exchange_count > 1:
                self._pool.discard(target.incarnation_id)
            return OutcomeUnknown("answer", target.peer, str(error) or type(error).__name__)
        finally:
            if send_task is not None:
                await _cancel(send_task)
            if not completed:
                connection.abort()

    def _return_connection(
        self, target: Target, connection: ClientConnection, exchange: Exchange
    ) -> None:
        """Release or close a connection after a complete response."""
        if exchange.reusable:
            self._pool.release(target.incarnation_id, connection)
        else:
            connection.abort()

    async def _receive(
        self, target: Target, connection: ClientConnection, exchange: Exchange, request_id: str
    ) -> Outcome:
        received: list[ResponseMetadata] = []
        sent_s = self._clock.monotonic()

        def matches_request(head: ResponseHead) -> bool:
            received[:] = [self._protocol.parse_response(head)]
            return received[0].request_id in (request_id, None)

        head = await exchange.read_response_head(matches_request)
        metadata = received[0]
        if metadata.request_id is None and connection.exchange_count > 1:
            raise InvalidResponseError("response without a request id on a reused connection")
        self._limit_tracker.record_response(
            target.backend_id, target.incarnation_id, metadata, sent_s
        )
        self._leaving_tracker.record_response(target.backend_id, target.incarnation_id, metadata)
        self._rest_tracker.record_response(target.backend_id, target.incarnation_id, metadata)
        failure = _failure(target, head, metadata)
        if failure is not None:
            if await _drain(exchange):
                self._return_connection(target, connection, exchange)
            else:
                connection.abort()
            return failure
        buffered = bytearray()
        while len(buffered) <= MAX_BUFFERED_RESPONSE_BYTES:
            chunk = await exchange.read_body_chunk()
            if chunk is None:
                self._return_connection(target, connection, exchange)
                return Response(head, bytes(buffered))
            buffered += chunk
        release = partial(self._return_connection, target, connection, exchange)
        remainder = Remainder(head, bytes(buffered), exchange, connection, release)
        return Response(head, b"", remainder)


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


async def _drain(exchange: Exchange) -> bool:
    """Read the body of a response that is not passed on; return whether its end has come."""
    read_bytes = 0
    try:
        async with asyncio.timeout(DRAIN_TIMEOUT_S):
            while read_bytes <= MAX_BUFFERED_RESPONSE_BYTES:
                chunk = await exchange.read_body_chunk()
                if chunk is None:
                    return True
                read_bytes += len(chunk)
    except TimeoutError:
        return False
    return False


async def _send_body(exchange: Exchange, body: RequestBody, connection: ClientConnection) -> None:
    try:
        if body.buffered:
            await exchange.send_body_chunk(body.buffered)
        if not body.fully_buffered:
            while (chunk := await body.read_chunk()) is not None:
                await exchange.send_body_chunk(chunk)
        await exchange.finish_body()
    except ConnectionError:
        # The server may have responded all the same; the read of the response decides.
        return
    except BadRequestError:
        # The server would wait for the rest until the deadline.
        connection.abort()
        raise


def _body_error(send_task: asyncio.Task[None]) -> BadRequestError | None:
    """Return the error of the client's body that has ended the sending, if any."""
    if not send_task.done() or send_task.cancelled():
        return None
    error = send_task.exception()
    return error if isinstance(error, BadRequestError) else None


async def _cancel(send_task: asyncio.Task[None]) -> None:
    send_task.cancel()
    try:
        await send_task
    except (asyncio.CancelledError, BadRequestError, ConnectionError):
        return

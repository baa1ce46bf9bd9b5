"""Send one request to another daemon, which sends it to a server."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING

from fuchsiawell.gateway.config.settings import relay_address
from fuchsiawell.gateway.execute.body_sending import (
    body_error,
    cancel_sending,
    start_sending,
)
from fuchsiawell.gateway.execute.connection_pool import ConnectionPool
from fuchsiawell.gateway.execute.outcome import NotExecuted, OutcomeUnknown, Response
from fuchsiawell.gateway.execute.refusal import Refusal
from fuchsiawell.gateway.execute.relay_messages import (
    PRIVATE_FIELDS,
    RelayAnswer,
    RelayReply,
    decode_reply,
    encode_message,
)
from fuchsiawell.gateway.execute.response_reading import drain, read_response
from fuchsiawell.httpio import InvalidResponseError, RequestHead, end_to_end_fields

if TYPE_CHECKING:
    from fuchsiawell.core import Clock
    from fuchsiawell.gateway.execute.client_request import ClientRequest
    from fuchsiawell.gateway.execute.held_bytes import Holding
    from fuchsiawell.gateway.execute.relay_messages import RelayOrder
    from fuchsiawell.gateway.ports import BackendProtocol
    from fuchsiawell.gateway.session.state import Peer
    from fuchsiawell.httpio import BufferMeter, ClientConnection, Exchange, ResponseHead

__all__ = ["RelayClient", "RelayOutcome"]

# Another daemon is asked if a connection takes longer.
CONNECT_TIMEOUT_S = 0.25
# Another daemon is asked if one does not say in this time whether it takes a long body.
GO_AHEAD_TIMEOUT_S = 0.5
# Idle connections kept to one daemon, and to all together.
MAX_IDLE_PER_RELAY, MAX_IDLE_CONNECTIONS = 8, 64
# Interval of checks for connections that have been idle for too long, while there are any.
EVICTION_INTERVAL_S = 2.0

RelayOutcome = Response | Refusal | NotExecuted | OutcomeUnknown


class RelayClient:
    """Send requests over kept connections to other daemons."""

    def __init__(
        self, protocol: BackendProtocol, clock: Clock, meter: BufferMeter | None = None
    ) -> None:
        self._protocol = protocol
        self._clock = clock
        self._pool = ConnectionPool(
            clock,
            max_idle_per_server=MAX_IDLE_PER_RELAY,
            max_idle=MAX_IDLE_CONNECTIONS,
            meter=meter,
        )
        self._eviction: asyncio.TimerHandle | None = None

    @property
    def idle_count(self) -> int:
        """Return the number of connections that are kept for further requests."""
        return self._pool.idle_count

    async def send(
        self, relay: Peer, request: ClientRequest, order: RelayOrder
    ) -> tuple[RelayOutcome, RelayReply | None]:
        """Send a request and wait for the answer until its deadline.

        `NotExecuted` means that nothing was executed and another daemon may be asked. The reply is
        None if none has come. Cancelling the call resets the connection; so does a malformed rest
        of the body, for which BadRequestError is raised.
        """
        address = relay_address(relay.host, relay.port)
        relay_id = f"{relay.name}/{relay.start_id}"
        try:
            async with asyncio.timeout(request.deadline_s - self._clock.monotonic()):
                connection = await self._pool.acquire(
                    relay_id,
                    address.host,
                    address.port,
                    require_fresh=not request.idempotent,
                    timeout_s=CONNECT_TIMEOUT_S,
                )
        except OSError as error:
            reason = str(error) or "timed out"
            return NotExecuted("connect to relay", str(address), reason), None
        return await self._exchange(relay_id, connection, request, order)

    def close(self) -> None:
        """Close all kept connections."""
        if self._eviction is not None:
            self._eviction.cancel()
            self._eviction = None
        self._pool.close()

    async def _exchange(
        self,
        relay_id: str,
        connection: ClientConnection,
        request: ClientRequest,
        order: RelayOrder,
    ) -> tuple[RelayOutcome, RelayReply | None]:
        body, peer = request.body, connection.peer
        remaining = timedelta(seconds=request.deadline_s - self._clock.monotonic())
        fields = self._protocol.relayed_fields(request.head.fields, remaining)
        streamed = not body.fully_buffered
        if streamed:
            # What is sent of it beyond the buffer cannot be sent to another relay.
            fields = [*fields, (b"expect", b"100-continue")]
        fields = [*fields, encode_message(order)]
        outgoing = RequestHead(request.head.method, request.head.target, fields)
        length_bytes = len(body.buffered) if body.fully_buffered else body.length_bytes
        send_task: asyncio.Task[None] | None = None
        awaits_go_ahead = streamed
        completed = False
        try:
            async with asyncio.timeout(remaining.total_seconds()):
                exchange = connection.start(outgoing, length_bytes)
                if not streamed or await _body_wanted(exchange):
                    awaits_go_ahead = False
                    send_task = await start_sending(exchange, body, connection)
                result = await self._receive(relay_id, connection, exchange, body.holding)
            completed = True
            answer, _ = result
            if isinstance(answer, Response) and answer.remainder is not None:
                # The relay may need the rest of the request to end its response.
                answer.remainder.sending, send_task = send_task, None
            return result
        except TimeoutError:
            if awaits_go_ahead:
                return NotExecuted("go-ahead of relay", peer, "timed out"), None
            return OutcomeUnknown("relay", peer, "no answer in time", timed_out=True), None
        except (OSError, InvalidResponseError) as error:
            if awaits_go_ahead:
                # A relay executes nothing before it has the whole request or a part of its body.
                reason = str(error) or type(error).__name__
                return NotExecuted("go-ahead of relay", peer, reason), None
            if (error_of_body := body_error(send_task)) is not None:
                raise error_of_body from error
            if connection.exchange_count > 1:
                self._pool.discard(relay_id)
            return OutcomeUnknown("relay", peer, str(error) or type(error).__name__), None
        finally:
            await cancel_sending(send_task)
            if not completed:
                connection.abort()

    async def _receive(
        self,
        relay_id: str,
        connection: ClientConnection,
        exchange: Exchange,
        holding: Holding,
    ) -> tuple[RelayOutcome, RelayReply]:
        head = await exchange.read_response_head(lambda _: True)
        answered_s = self._clock.monotonic()
        try:
            reply = decode_reply(head.fields)
        except ValueError as error:
            raise InvalidResponseError(f"status {head.status}, reply invalid: {error}") from error
        release = partial(self._release, relay_id, connection, exchange, answered_s)
        if reply.answer is RelayAnswer.SERVED:
            response = await read_response(_public(head), exchange, connection, release, holding)
            return response, reply
        if await drain(exchange):
            release()
        else:
            connection.abort()
        if reply.answer in (RelayAnswer.UNAVAILABLE, RelayAnswer.OUTDATED):
            return NotExecuted("relay", connection.peer, reply.reason), reply
        retry_after = (
            None if reply.retry_after_ms is None else timedelta(milliseconds=reply.retry_after_ms)
        )
        return Refusal(head.status, reply.reason, retry_after), reply

    def _release(
        self, relay_id: str, connection: ClientConnection, exchange: Exchange, answered_s: float
    ) -> None:
        """Keep or close a connection after a complete response."""
        if not exchange.reusable:
            connection.abort()
            return
        self._pool.release(relay_id, connection, answered_s)
        self._schedule_eviction()

    def _schedule_eviction(self) -> None:
        if self._eviction is None:
            loop = asyncio.get_running_loop()
            self._eviction = loop.call_later(EVICTION_INTERVAL_S, self._evict)

    def _evict(self) -> None:
        self._eviction = None
        self._pool.evict_stale()
        if self._pool.idle_count:
            self._schedule_eviction()


async def _body_wanted(exchange: Exchange) -> bool:
    """Return whether the relay wants the body; raises TimeoutError if it does not say so soon."""
    async with asyncio.timeout(GO_AHEAD_TIMEOUT_S):
        return await exchange.body_wanted()


def _public(head: ResponseHead) -> ResponseHead:
    """Return a head without what is meant for this daemon only."""
    return replace(head, fields=end_to_end_fields(head.fields, PRIVATE_FIELDS))

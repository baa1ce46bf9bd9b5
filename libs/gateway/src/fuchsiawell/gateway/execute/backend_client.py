"""Send one request to one server and tell what became of it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from fuchsiawell.gateway.execute.outcome import Answer, NotRun, Outcome, Unknown
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
    from fuchsiawell.gateway.execute.body import Body
    from fuchsiawell.gateway.execute.connection_pool import ConnectionPool
    from fuchsiawell.gateway.ports import BackendProtocol, ResponseMetadata

__all__ = ["BackendClient", "Target"]

# Answers up to this size are read whole before any of it goes to the client, in bytes: one that
# breaks off can then still become a true failure, or a try elsewhere.
WHOLE_BYTES = 256 * 1024
# Bodies up to this size are written at once, in bytes; longer ones while the answer is awaited.
AT_ONCE_BYTES = 16 * 1024


@dataclass(frozen=True)
class Target:
    """The server life to send to."""

    backend_id: str
    life: str
    host: str
    port: int
    # The fence under which the server holds the request's key, 0 where it needs none.
    fence: int = 0

    @property
    def peer(self) -> str:
        """Its address, for logs."""
        return f"{self.host}:{self.port}"


class BackendClient:
    """Send requests over kept connections."""

    def __init__(self, pools: ConnectionPool, protocol: BackendProtocol, clock: Clock) -> None:
        self._pools = pools
        self._protocol = protocol
        self._clock = clock

    async def send(
        self,
        target: Target,
        head: RequestHead,
        body: Body,
        request_id: str,
        due_s: float,
        idempotent: bool,
    ) -> Outcome:
        """Send a request that must be answered by `due_s`; cancelling it resets the connection."""
        try:
            async with asyncio.timeout(due_s - self._clock.monotonic()):
                connection = await self._pools.take(
                    target.life, target.host, target.port, fresh=not idempotent
                )
        except OSError as error:
            full = isinstance(error, ConnectionResetError)
            return NotRun("connect", target.peer, str(error) or "timed out", full=full)
        left = timedelta(seconds=due_s - self._clock.monotonic())
        fields = self._protocol.forwarded_fields(head.fields, left, target.backend_id)
        length = len(body.held) if body.whole else body.length
        sender: asyncio.Task[None] | None = None
        finished = False
        try:
            async with asyncio.timeout(left.total_seconds()):
                outgoing = RequestHead(head.method, head.target, fields)
                exchange = connection.start(outgoing, length)
                if body.whole and len(body.held) <= AT_ONCE_BYTES:
                    await _send_body(exchange, body)
                else:
                    sender = asyncio.get_running_loop().create_task(_send_body(exchange, body))
                outcome = await self._receive(target, connection, exchange, request_id)
            finished = True
            return outcome
        except TimeoutError:
            return Unknown("answer", target.peer, "no answer in time", timed_out=True)
        except (OSError, InvalidResponseError) as error:
            if connection.exchange_count > 1:
                self._pools.distrust(target.life)
            return Unknown("answer", target.peer, str(error) or type(error).__name__)
        finally:
            if sender is not None:
                await _stop(sender)
            if not finished:
                connection.abort()

    def settle(self, target: Target, connection: ClientConnection, exchange: Exchange) -> None:
        """Keep or close a connection after a whole answer."""
        if exchange.reusable:
            self._pools.give_back(target.life, connection)
        else:
            connection.abort()

    async def _receive(
        self, target: Target, connection: ClientConnection, exchange: Exchange, request_id: str
    ) -> Outcome:
        facts: list[ResponseMetadata] = []

        def belongs(head: ResponseHead) -> bool:
            facts[:] = [self._protocol.parse_response(head)]
            return facts[0].request_id in (request_id, None)

        head = await exchange.read_response_head(belongs)
        fact = facts[0]
        if fact.request_id is None and connection.exchange_count > 1:
            raise InvalidResponseError("answer without an id on a used connection")
        held = bytearray()
        while len(held) <= WHOLE_BYTES or head.close_delimited:
            piece = await exchange.read_body_chunk()
            if piece is None:
                self.settle(target, connection, exchange)
                return _judge(target, head, fact, bytes(held))
            held += piece
        return Answer(head, bytes(held), exchange)


def _judge(target: Target, head: ResponseHead, fact: ResponseMetadata, body: bytes) -> Outcome:
    if fact.not_executed:
        elsewhere = fact.server_id is not None and fact.server_id != target.backend_id
        return NotRun("answer", target.peer, f"status {head.status}", fact.misdirected, elsewhere)
    if head.status < 400 and not fact.signed:
        return Unknown("answer", target.peer, f"status {head.status} without signature")
    if head.status in (408, 421, 429, 503):
        # These promise that nothing ran, which this answer does not say.
        return Unknown("answer", target.peer, f"status {head.status} that promises nothing")
    return Answer(head, body)


async def _send_body(exchange: Exchange, body: Body) -> None:
    try:
        if body.held:
            await exchange.send_body_chunk(body.held)
        if not body.whole:
            while (piece := await body.rest()) is not None:
                await exchange.send_body_chunk(piece)
        await exchange.finish_body()
    except ConnectionError:
        # The answer may have come all the same; reading it tells.
        return


async def _stop(sender: asyncio.Task[None]) -> None:
    sender.cancel()
    try:
        await sender
    except (asyncio.CancelledError, BadRequestError, ConnectionError):
        return

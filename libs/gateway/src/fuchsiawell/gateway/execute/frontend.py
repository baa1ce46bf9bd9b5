"""Serve the connections of clients."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.gateway.execute.body import Body
from fuchsiawell.gateway.execute.forwarder import ClientRequest
from fuchsiawell.gateway.execute.outcome import Answer
from fuchsiawell.gateway.execute.refusal import Refusal, failed, not_executed, timed_out
from fuchsiawell.httpio import (
    BadRequestError,
    Channel,
    HeadLimits,
    InvalidResponseError,
    ServerConnection,
    end_to_end_fields,
)

if TYPE_CHECKING:
    from fuchsiawell.gateway.execute.forwarder import Forwarder
    from fuchsiawell.gateway.ports import BackendProtocol
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.httpio import RequestHead

__all__ = ["Frontend"]

# Limits before a configuration is known: those of a usual one.
FIRST_LIMITS = HeadLimits(idle_timeout_s=15.0, head_timeout_s=3.0, max_header_bytes=16384)
FIRST_BODY_BYTES = 64 * 1024 * 1024
# Time for a client to send the rest of a body that was answered early, in seconds.
LEFT_OVER_S = 2.0
# Time for the answers to requests that a stop ends, in seconds.
LAST_ANSWERS_S = 0.15
# When a client whose request was ended by a stop may ask another daemon: at once.
AFTER_STOP_S = 0.05
# A connection stays open this long beyond the announced idle time: a request may cross its close.
IDLE_SLACK_S = 1.0


class Frontend:
    """Accept clients and answer their requests."""

    def __init__(self, session: Session, relay: Forwarder, protocol: BackendProtocol) -> None:
        self._session = session
        self._relay = relay
        self._protocol = protocol
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle: dict[Channel, ServerConnection] = {}
        self._all_answered = asyncio.Event()
        # Limits of the requests that are being served; a stop moves them to now.
        self._served: set[asyncio.Timeout] = set()
        self.busy = 0

    def accept(self, channel: Channel) -> None:
        """Serve a new connection."""
        task = asyncio.get_running_loop().create_task(self._serve(channel))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close_idle(self) -> None:
        """Close connections on which no request is being served or has begun to arrive."""
        for channel, connection in list(self._idle.items()):
            if not connection.next_request_started:
                channel.close()

    async def wait_idle(self, limit_s: float) -> None:
        """Wait until no request is being served; after `limit_s` seconds the rest is given up."""
        if await self._idle_within(limit_s):
            return
        self._session.log.warning("requests cut by the stop", count=self.busy)
        now_s = asyncio.get_running_loop().time()
        for limit in list(self._served):
            limit.reschedule(now_s)
        await self._idle_within(LAST_ANSWERS_S)

    async def _idle_within(self, limit_s: float) -> bool:
        self._all_answered.clear()
        if not self.busy:
            return True
        try:
            async with asyncio.timeout(limit_s):
                await self._all_answered.wait()
        except TimeoutError:
            return False
        return True

    async def _serve(self, channel: Channel) -> None:
        connection = ServerConnection(channel, self._limits())
        try:
            while True:
                self._idle[channel] = connection
                try:
                    head = await connection.next_request()
                except BadRequestError as error:
                    await self._refuse_form(connection, error)
                    return
                finally:
                    self._idle.pop(channel, None)
                if head is None:
                    return
                self.busy += 1
                try:
                    if not await self._answer(connection, channel, head):
                        return
                finally:
                    self.busy -= 1
                    if not self.busy:
                        self._all_answered.set()
        except (ConnectionError, asyncio.CancelledError):
            # The client left; what was sent for it has been reset.
            self._session.metrics.count("clients_gone")
        except Exception as error:
            self._session.log.warning(
                "internal error", step="answer", peer=channel.peer, error=repr(error)
            )
        finally:
            channel.close()

    async def _answer(
        self, connection: ServerConnection, channel: Channel, head: RequestHead
    ) -> bool:
        """Answer one request; returns whether the connection can go on."""
        session = self._session
        task = asyncio.current_task()
        assert task is not None
        channel.on_disconnect = lambda: _cancel(task)
        started_s = session.now_s
        if channel.at_eof:
            raise ConnectionResetError("client left")
        configuration = session.configuration
        limit = configuration.limits.max_body_bytes if configuration else FIRST_BODY_BYTES
        body = Body(connection, limit)
        request = self._relay.accept(head, body, started_s)
        try:
            result = await self._result(request, channel)
        except (ConnectionError, asyncio.CancelledError):
            self._record_left(request, session.now_s - started_s)
            raise
        channel.on_disconnect = None
        close_after = session.stopping or not connection.body_complete
        await self._send(connection, request, result, close_after)
        self._record(request, result, session.now_s - started_s)
        if not connection.body_complete:
            await self._drop_rest(connection)
        return not close_after

    async def _result(self, request: ClientRequest | Refusal, channel: Channel) -> Answer | Refusal:
        """Return what the client is told; raises only when the client has left."""
        if isinstance(request, Refusal):
            return request
        limit = asyncio.timeout(None)
        self._served.add(limit)
        try:
            async with limit:
                return await self._serve_whole(request)
        except TimeoutError as error:
            if limit.expired():
                return self._cut(request)
            return self._internal_error(request, error)
        except BadRequestError as error:
            return Refusal(error.status, str(error))
        except asyncio.CancelledError as error:
            if _cancelled_from_outside():
                raise
            return self._internal_error(request, error)
        except Exception as error:
            # A broken connection is the client's only if the client has left.
            if isinstance(error, ConnectionError) and channel.at_eof:
                raise
            return self._internal_error(request, error)
        finally:
            self._served.discard(limit)

    async def _serve_whole(self, request: ClientRequest) -> Answer | Refusal:
        try:
            async with asyncio.timeout(request.due_s - self._session.now_s):
                await request.body.hold()
        except TimeoutError:
            return timed_out("the body did not arrive in time")
        return await self._relay.serve(request)

    def _cut(self, request: ClientRequest) -> Refusal:
        """Return what is true of a request that this daemon's stop ends."""
        if request.maybe_ran:
            return timed_out("the daemon stops")
        return not_executed("the daemon stops", AFTER_STOP_S)

    def _internal_error(self, request: ClientRequest, error: BaseException) -> Refusal:
        """Answer a fault of our own: it must neither go unseen nor leave the client waiting."""
        self._session.log.warning(
            "internal error", request=request.request_id, step="serve", error=repr(error)
        )
        return failed("internal error")

    async def _send(
        self,
        connection: ServerConnection,
        request: ClientRequest | Refusal,
        result: Answer | Refusal,
        close_after: bool,
    ) -> None:
        if isinstance(result, Refusal):
            request_id = request.request_id if isinstance(request, ClientRequest) else None
            fields = self._protocol.refusal_fields(request_id, result.retry_after)
            await connection.send_response(result.status, fields, b"", close_after)
            return
        fields = end_to_end_fields(result.head.fields)
        if result.rest is None:
            await connection.send_response(result.head.status, fields, result.body, close_after)
            return
        await connection.start_response(
            result.head.status, fields, result.head.content_length, close_after
        )
        try:
            await connection.send_body_chunk(result.body)
            while (piece := await result.rest.read_body_chunk()) is not None:
                await connection.send_body_chunk(piece)
        except InvalidResponseError as error:
            # The client must see that the answer is not whole.
            connection.channel.abort()
            raise ConnectionResetError(f"answer broke off: {error}") from error
        await connection.finish_response()

    async def _refuse_form(self, connection: ServerConnection, error: BadRequestError) -> None:
        self._session.requests_log.write(
            "request refused", why=str(error), status=error.status, step="head"
        )
        self._session.metrics.count("refusals", "malformed")
        await connection.send_response(error.status, [], b"", close_after=True)

    async def _drop_rest(self, connection: ServerConnection) -> None:
        try:
            async with asyncio.timeout(LEFT_OVER_S):
                while await connection.read_body_chunk() is not None:
                    pass
        except (TimeoutError, BadRequestError, ConnectionError):
            return

    def _record(
        self, request: ClientRequest | Refusal, result: Answer | Refusal, took_s: float
    ) -> None:
        session = self._session
        session.metrics.observe("request_time", took_s)
        if isinstance(result, Answer):
            session.metrics.count("answers", str(result.head.status))
            return
        session.metrics.count("refusals", str(result.status))
        session.requests_log.write(
            "request refused",
            request=request.request_id if isinstance(request, ClientRequest) else None,
            route=request.route.name if isinstance(request, ClientRequest) else None,
            status=result.status,
            why=result.reason,
            took_ms=round(took_s * 1000),
            come_back_ms=(
                None
                if result.retry_after is None
                else round(result.retry_after.total_seconds() * 1000)
            ),
        )

    def _record_left(self, request: ClientRequest | Refusal, took_s: float) -> None:
        if isinstance(request, Refusal):
            return
        self._session.requests_log.write(
            "client left",
            request=request.request_id,
            route=request.route.name,
            tries=len(request.tried),
            took_ms=round(took_s * 1000),
        )

    def _limits(self) -> HeadLimits:
        configuration = self._session.configuration
        if configuration is None:
            return FIRST_LIMITS
        limits = configuration.limits
        return HeadLimits(
            idle_timeout_s=limits.idle_timeout.total_seconds() + IDLE_SLACK_S,
            head_timeout_s=limits.header_timeout.total_seconds(),
            max_header_bytes=limits.max_header_bytes,
        )


def _cancelled_from_outside() -> bool:
    """Return whether the running task was told to stop, rather than something it awaited."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()

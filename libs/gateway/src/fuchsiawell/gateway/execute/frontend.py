"""Serve client connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.gateway.execute.body import MemoryShortError, RequestBody
from fuchsiawell.gateway.execute.client_request import ClientRequest
from fuchsiawell.gateway.execute.held_bytes import HeldBytes
from fuchsiawell.gateway.execute.refusal import (
    Refusal,
    bad_gateway,
    not_executed,
    stopping,
    timed_out,
)
from fuchsiawell.gateway.execute.relay_messages import PRIVATE_FIELDS, without_private_fields
from fuchsiawell.gateway.execute.request_records import RequestRecords
from fuchsiawell.gateway.execute.request_timing import MAX_RETRY_AFTER_S, RequestTiming
from fuchsiawell.httpio import (
    CLIENT_TIMEOUTS,
    BadRequestError,
    Channel,
    HeadLimits,
    InvalidResponseError,
    LingerLimits,
    ServerConnection,
    end_to_end_fields,
)

if TYPE_CHECKING:
    from fuchsiawell.gateway.execute.forwarder import Forwarder
    from fuchsiawell.gateway.execute.held_bytes import Holding
    from fuchsiawell.gateway.execute.outcome import Response
    from fuchsiawell.gateway.ports import BackendProtocol
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.httpio import Fields, RequestHead

__all__ = ["Frontend"]

# Limits until a configuration is known: those of a typical configuration.
DEFAULT_HEAD_LIMITS = HeadLimits(idle_timeout_s=15.0, head_timeout_s=3.0, max_header_bytes=16384)
DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024
# For a client to send the remainder of a request after its response, and to read the response.
LINGER_LIMITS = LingerLimits(silence_s=2.0, total_s=10.0, max_bytes=DEFAULT_MAX_BODY_BYTES)
# Time to send the responses to requests that are cancelled by a stop.
FINAL_RESPONSE_TIMEOUT_S = 0.15
# Clients whose requests this daemon failed to send to a server can retry at another daemon.
INTERNAL_ERROR_RETRY_AFTER_S = 0.25
# Time a connection stays open beyond the announced idle timeout: a request may be in transit.
IDLE_SLACK_S = 1.0


class Frontend:
    """Accept client connections and respond to their requests."""

    def __init__(
        self,
        session: Session,
        forwarder: Forwarder,
        protocol: BackendProtocol,
        held: HeldBytes | None = None,
    ) -> None:
        self._session = session
        self._held = held or HeldBytes(session)
        self._timing = RequestTiming(session)
        self._forwarder = forwarder
        self._protocol = protocol
        self._records = RequestRecords(session)
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle: dict[Channel, ServerConnection] = {}
        # Set by a stop: connections are closed instead of waiting for a further request.
        self._closing_idle = False
        # Timeouts of the requests in flight; a stop reschedules them to the current time.
        self._request_timeouts: set[asyncio.Timeout] = set()
        self.in_flight = 0

    def create_channel(self) -> Channel:
        """Return the channel for a new connection, which is served once it is open."""
        return Channel(self.accept, CLIENT_TIMEOUTS)

    def accept(self, channel: Channel) -> None:
        """Serve a new connection."""
        channel.meter = self._held
        self._held.count_connection(1)
        task = asyncio.get_running_loop().create_task(self._serve_connection(channel))
        self._tasks.add(task)
        task.add_done_callback(self._end_connection)

    def _end_connection(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._held.count_connection(-1)

    def close_idle(self) -> None:
        """Close connections with no request in flight and none partly received, also later ones."""
        self._closing_idle = True
        for channel, connection in list(self._idle.items()):
            if not connection.next_request_started:
                channel.close()

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait until all connections have ended, with their responses sent.

        After `timeout_s`, cancel the requests in flight and close connections on which a request
        is incomplete.
        """
        if await self._idle_within(timeout_s):
            return
        self._session.log.warning(
            "requests cut by the stop", count=self.in_flight, connections=len(self._tasks)
        )
        self._session.requests_end_s = self._session.now_s
        for channel in list(self._idle):
            channel.close()
        now_s = asyncio.get_running_loop().time()
        for timeout in list(self._request_timeouts):
            timeout.reschedule(now_s)
        await self._idle_within(FINAL_RESPONSE_TIMEOUT_S)

    async def _idle_within(self, timeout_s: float) -> bool:
        """Return whether all connections end within the time."""
        try:
            async with asyncio.timeout(timeout_s):
                while self._tasks:
                    await asyncio.wait(self._tasks)
        except TimeoutError:
            return False
        return True

    async def _serve_connection(self, channel: Channel) -> None:
        try:
            await self._serve_requests(channel)
            channel.close()
            await channel.wait_closed()
        except (ConnectionError, asyncio.CancelledError):
            # The client disconnected; connections to servers for its request have been reset.
            self._session.metrics.count("clients_gone")
        except Exception as error:
            self._session.log.warning(
                "internal error", step="answer", peer=channel.peer, error=repr(error)
            )
        finally:
            channel.close()

    async def _serve_requests(self, channel: Channel) -> None:
        """Serve the requests of a connection until it is to be closed."""
        connection = ServerConnection(channel, self._head_limits)
        while not self._closing_idle or connection.next_request_started:
            self._idle[channel] = connection
            try:
                head = await connection.next_request()
            except BadRequestError as error:
                await self._refuse_malformed(connection, error)
                return
            finally:
                self._idle.pop(channel, None)
            if head is None:
                self._records.unread(connection, "idle timeout or last response")
                return
            self.in_flight += 1
            try:
                with self._held.hold(channel) as holding:
                    reusable = await self._handle_request(connection, channel, head, holding)
            finally:
                self.in_flight -= 1
            if not connection.body_complete:
                await channel.close_after_peer(LINGER_LIMITS)
            if not reusable:
                return

    async def _handle_request(
        self, connection: ServerConnection, channel: Channel, head: RequestHead, holding: Holding
    ) -> bool:
        """Respond to one request; returns whether the connection can be reused."""
        session = self._session
        task = asyncio.current_task()
        assert task is not None
        channel.on_disconnect = lambda: _cancel(task)
        started_s = session.now_s
        if channel.at_eof:
            raise ConnectionResetError("client left")
        request = self._prepare(connection, head, started_s, holding)
        step = "serve"
        try:
            result = await self._serve_request(connection, request)
            channel.on_disconnect = None
            # The close would drop a further request that has begun to arrive.
            is_last = session.stopping and not connection.next_request_started
            close_after = is_last or not connection.body_complete
            step = "send"
            await self._send(connection, request, result, close_after)
        except (Exception, asyncio.CancelledError) as error:
            self._records.unanswered(connection, request, step, error, started_s)
            raise
        self._record_result(request, result, session.now_s - started_s)
        return not close_after

    def _record_result(
        self, request: ClientRequest | Refusal, result: Response | Refusal, took_s: float
    ) -> None:
        self._records.result(request, result, took_s)

    def _prepare(
        self, connection: ServerConnection, head: RequestHead, started_s: float, holding: Holding
    ) -> ClientRequest | Refusal:
        """Return the request to serve, or the response if it is refused; raises no errors."""
        session = self._session
        configuration = session.configuration
        max_body_bytes = (
            configuration.limits.max_body_bytes if configuration else DEFAULT_MAX_BODY_BYTES
        )
        try:
            body = RequestBody(connection, max_body_bytes, holding)
            request = self._prepare_request(head, body, started_s)
        except Exception as error:
            self._records.internal_error(connection, None, "prepare", error)
            # Nothing has been sent to a server yet.
            return not_executed("internal error", INTERNAL_ERROR_RETRY_AFTER_S)
        if isinstance(request, ClientRequest) and not self._timing.ends_before_stop(request):
            return stopping()
        return request

    def _prepare_request(
        self, head: RequestHead, body: RequestBody, started_s: float
    ) -> ClientRequest | Refusal:
        return self._forwarder.prepare(without_private_fields(head), body, started_s)

    async def _serve_request(
        self, connection: ServerConnection, request: ClientRequest | Refusal
    ) -> Response | Refusal:
        """Return the response for the client; raises only when the client has disconnected."""
        if isinstance(request, Refusal):
            return request
        timeout = asyncio.timeout(None)
        self._request_timeouts.add(timeout)
        try:
            async with timeout:
                return await self._read_body_and_serve(request)
        except TimeoutError as error:
            if timeout.expired():
                return self._stop_refusal(request)
            return self._internal_error(connection, request, error)
        except BadRequestError as error:
            return Refusal(error.status, str(error))
        except asyncio.CancelledError as error:
            if _current_task_cancelled():
                raise
            return self._internal_error(connection, request, error)
        except Exception as error:
            # A ConnectionError is the client's only if the client has disconnected.
            if isinstance(error, ConnectionError) and connection.channel.at_eof:
                raise
            return self._internal_error(connection, request, error)
        finally:
            self._request_timeouts.discard(timeout)

    async def _read_body_and_serve(self, request: ClientRequest) -> Response | Refusal:
        try:
            async with asyncio.timeout(request.deadline_s - self._session.now_s):
                await request.body.buffer(
                    self._session.clock.monotonic, self._timing.latest_start_s(request)
                )
        except TimeoutError:
            return timed_out("request body did not arrive before the deadline")
        except MemoryShortError:
            self._held.record_refused()
            return not_executed("memory short", self._timing.retry_after_s(MAX_RETRY_AFTER_S))
        if not self._timing.ends_before_stop(request):
            # Its body took too long to arrive.
            return stopping()
        result = await self._forwarder.serve(request)
        if isinstance(result, Refusal) or result.remainder is None:
            # A slow client may take the response for longer.
            request.body.discard()
        return result

    def _stop_refusal(self, request: ClientRequest) -> Refusal:
        """Return the refusal for a request that is cancelled by the stop of this daemon."""
        if request.maybe_executed:
            return timed_out("daemon is stopping")
        return stopping()

    def _internal_error(
        self, connection: ServerConnection, request: ClientRequest, error: BaseException
    ) -> Refusal:
        """Log a fault of the daemon and return a refusal, so that the client gets a response."""
        self._records.internal_error(connection, request, "serve", error)
        if request.maybe_executed:
            return bad_gateway("internal error")
        return not_executed("internal error", INTERNAL_ERROR_RETRY_AFTER_S)

    async def _send(
        self,
        connection: ServerConnection,
        request: ClientRequest | Refusal,
        result: Response | Refusal,
        close_after: bool,
    ) -> None:
        """Send the response, or 502 if it cannot be sent and no part of it has been."""
        try:
            await self._send_result(connection, request, result, close_after)
        except ConnectionError:
            raise
        except Exception as error:
            if not connection.awaits_response:
                # A close without a reset could look like the end of the response.
                connection.channel.abort()
                raise
            self._records.internal_error(connection, request, "send", error)
            await connection.send_response(502, [], b"", close_after)

    async def _send_result(
        self,
        connection: ServerConnection,
        request: ClientRequest | Refusal,
        result: Response | Refusal,
        close_after: bool,
    ) -> None:
        fields = self._response_fields(request, result)
        if isinstance(result, Refusal):
            await connection.send_response(result.status, fields, b"", close_after)
            return
        if result.remainder is None:
            await connection.send_response(result.head.status, fields, result.body, close_after)
            return
        assert isinstance(request, ClientRequest)
        channel, task = connection.channel, asyncio.current_task()
        assert task is not None
        remaining_s = request.deadline_s - self._session.now_s
        timeout = asyncio.timeout(None)
        self._request_timeouts.add(timeout)
        channel.on_disconnect = lambda: _cancel(task)
        try:
            await connection.start_response(
                result.head.status, fields, result.head.content_length, close_after
            )
            async with timeout:
                await result.remainder.pass_on(connection, remaining_s)
        except (InvalidResponseError, TimeoutError) as error:
            # Abort, so that the client detects the truncated response.
            channel.abort()
            raise ConnectionResetError(f"response truncated: {error or 'stop'}") from error
        finally:
            channel.on_disconnect = None
            self._request_timeouts.discard(timeout)
            result.remainder.close()
        await connection.finish_response()

    def _response_fields(
        self, request: ClientRequest | Refusal, result: Response | Refusal
    ) -> Fields:
        if isinstance(result, Refusal):
            request_id = request.request_id if isinstance(request, ClientRequest) else None
            return self._protocol.refusal_fields(request_id, result.retry_after)
        return end_to_end_fields(result.head.fields, PRIVATE_FIELDS)

    async def _refuse_malformed(self, connection: ServerConnection, error: BadRequestError) -> None:
        self._records.malformed(error.status, str(error))
        await connection.send_response(error.status, [], b"", close_after=True)
        await connection.channel.close_after_peer(LINGER_LIMITS)

    def _head_limits(self) -> HeadLimits:
        configuration = self._session.configuration
        if configuration is None:
            return DEFAULT_HEAD_LIMITS
        limits = configuration.limits
        return HeadLimits(
            idle_timeout_s=limits.idle_timeout.total_seconds() + IDLE_SLACK_S,
            head_timeout_s=limits.header_timeout.total_seconds(),
            max_header_bytes=limits.max_header_bytes,
        )


def _current_task_cancelled() -> bool:
    """Return whether the current task was cancelled, rather than a future that it awaited."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()

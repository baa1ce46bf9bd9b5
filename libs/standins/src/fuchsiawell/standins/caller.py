"""A caller that trusts nothing: it tells whole answers from cut, refused and missing ones."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import h11

from fuchsiawell.core.headers import Header

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

__all__ = [
    "Broken",
    "CallResult",
    "Caller",
    "CallerRequest",
    "NotRun",
    "Unknown",
    "Unsent",
    "Whole",
]

READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Describe a request; a streamed body needs its length in `headers`, else it is chunked."""

    method: str
    path: str  # with the query
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    stream: Callable[[], AsyncIterator[bytes]] | None = None  # in place of `body`


@dataclass(frozen=True, slots=True)
class Whole:
    """Report an answer that ended as its own framing says."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """Report that the router said the request was not run."""

    status: int
    reason: str
    step: str  # of the request, at which it was refused
    issued_id: str | None = None  # to send the request with


@dataclass(frozen=True, slots=True)
class Unknown:
    """Report that the router said the outcome is unknown."""

    step: str
    detail: str


@dataclass(frozen=True, slots=True)
class Unsent:
    """Report that no connection could be opened, so that nothing was sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class Broken:
    """Report a connection that ended, or stayed silent, without a whole answer."""

    detail: str


CallResult = Whole | NotRun | Unknown | Unsent | Broken


class Caller:
    """Send one request at a time over a connection that is kept between requests."""

    def __init__(self, address: str, timeout_s: float) -> None:
        """Call `address` (IP number and port); a result comes within `timeout_s`."""
        self.address = address
        self._timeout_s = timeout_s
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._http = h11.Connection(h11.CLIENT)

    async def call(self, request: CallerRequest) -> CallResult:
        """Send a request and return what came back."""
        try:
            async with asyncio.timeout(self._timeout_s):
                return await self._call(request)
        except TimeoutError:
            self.close()
            return Broken("no whole answer in time")

    def close(self) -> None:
        """Drop the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def _call(self, request: CallerRequest) -> CallResult:
        try:
            reader, writer = await self._connected()
        except OSError as error:
            return Unsent(str(error))
        sending = asyncio.ensure_future(self._send(request, writer))
        try:
            answer = await self._receive(reader)
        except (OSError, h11.ProtocolError) as error:
            self.close()
            return Broken(f"{type(error).__name__}: {error}")
        finally:
            await self._stop(sending)
        self._make_ready()
        return _judge(answer)

    async def _connected(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._reader is not None and self._writer is not None and not self._reader.at_eof():
            return self._reader, self._writer
        self.close()
        host, port = self.address.rsplit(":", 1)
        self._reader, self._writer = await asyncio.open_connection(host, int(port))
        self._http = h11.Connection(h11.CLIENT)
        return self._reader, self._writer

    async def _send(self, request: CallerRequest, writer: asyncio.StreamWriter) -> None:
        fields = {"host": self.address, **request.headers}
        if request.stream is None:
            fields["content-length"] = str(len(request.body))
        elif "content-length" not in fields:
            fields["transfer-encoding"] = "chunked"
        head = h11.Request(method=request.method, target=request.path, headers=list(fields.items()))
        writer.write(self._http.send(head) or b"")
        if request.stream is None:
            if request.body:
                writer.write(self._http.send(h11.Data(data=request.body)) or b"")
        else:
            async for chunk in request.stream():
                writer.write(self._http.send(h11.Data(data=chunk)) or b"")
                await writer.drain()
        writer.write(self._http.send(h11.EndOfMessage()) or b"")
        await writer.drain()

    async def _receive(self, reader: asyncio.StreamReader) -> Whole:
        status, headers = 0, {}
        parts: list[bytes] = []
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
                if not {"content-length", "transfer-encoding"} & headers.keys():
                    raise h11.RemoteProtocolError("an answer that only its connection's end ends")
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return Whole(status, headers, b"".join(parts))
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("closed without an answer")

    async def _stop(self, sending: asyncio.Future[None]) -> None:
        """End the sending, which may be under way when the answer comes early."""
        if not sending.done():
            sending.cancel()
        await asyncio.wait([sending])
        if sending.cancelled() or sending.exception() is not None:
            self.close()

    def _make_ready(self) -> None:
        """Prepare the connection for the next request, or drop it."""
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self.close()


def _judge(answer: Whole) -> CallResult:
    match answer.headers.get(Header.OUTCOME):
        case "not-run":
            page = _page(answer.body)
            issued_id = answer.headers.get(Header.ISSUED_ID)
            return NotRun(answer.status, page.get("reason", "?"), page.get("step", "?"), issued_id)
        case "unknown":
            page = _page(answer.body)
            return Unknown(page.get("step", "?"), page.get("detail", "?"))
        case _:
            return answer


def _page(body: bytes) -> dict[str, str]:
    """Return the fields of the router's own answer, none if it cannot be read."""
    try:
        fields = json.loads(body)
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}

"""A renewal under an old fence must not reach another incarnation of a server.

That happens if the server restarts at the same address and the client reconnects. The tests use
real connections.
"""

from __future__ import annotations

import asyncio
import contextlib
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import pytest

from fuchsiawell.gateway.control.grant_client import GrantCallError, GrantClient
from fuchsiawell.gateway.control.leaving_tracker import LeavingTracker
from fuchsiawell.gateway.control.peers import PeerMessenger
from fuchsiawell.gateway.ports import BackendProtocol, KeyGrant, ResponseMetadata
from fuchsiawell.httpio import RequestHead, first_value
from fuchsiawell.shards import Assignment, Owner

from builders import backend, session

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

TTL = timedelta(seconds=2)
EMPTY_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


class FakeProtocol(BackendProtocol):
    def grant(
        self, grant: KeyGrant, backend_id: str, peer: str, call_id: str
    ) -> tuple[RequestHead, bytes]:
        fields = [(b"host", b"a"), (b"id", call_id.encode())]
        return RequestHead(b"POST", b"/grant", fields), str(grant.fence).encode()

    def release(self, first: int, last: int, fence: int, backend_id: str, peer: str):
        return RequestHead(b"POST", b"/release", [(b"host", b"a")]), b""

    def parse_request(self, head):
        raise NotImplementedError

    def forwarded_fields(self, fields, remaining, backend_id):
        raise NotImplementedError

    def relayed_fields(self, fields, remaining):
        raise NotImplementedError

    def parse_response(self, head):
        call_id = first_value(head.fields, b"id")
        return ResponseMetadata(
            call_id.decode() if call_id else None,
            False,
            False,
            False,
            leaving=(b"leaving", b"1") in head.fields,
        )

    def refusal_fields(self, request_id, retry_after):
        raise NotImplementedError

    def handover(self, head):
        return None


def grant_client(owner: Owner, local_session: Any) -> GrantClient:
    leaving_tracker = LeavingTracker(local_session, PeerMessenger(local_session))
    return GrantClient(
        owner, FakeProtocol(), leaving_tracker, local_session.reachability, local_session.clock
    )


async def test_after_a_lost_connection_only_higher_fences_are_sent() -> None:
    """In soak seed 7 a renewal under an old fence reached the next incarnation of the server."""
    received_fences: list[bytes] = []
    writers: list[asyncio.StreamWriter] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        while head := await reader.readuntil(b"\r\n\r\n"):
            length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
            received_fences.append(await reader.readexactly(length))
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    owner = Owner("i-1", 1, "127.0.0.1", server.sockets[0].getsockname()[1])
    client = grant_client(owner, session())
    assert await client.grant(Assignment(0, 9, 5, owner), TTL, None) == 200
    assert await client.grant(Assignment(10, 19, 6, owner), TTL, None) == 200
    writers[0].close()
    while client._connection.usable:
        await asyncio.sleep(0.001)
    with pytest.raises(GrantCallError) as caught:
        await client.grant(Assignment(0, 9, 5, owner), TTL, None)
    assert not caught.value.sent
    assert await client.grant(Assignment(20, 29, 7, owner), TTL, None) == 200
    with pytest.raises(GrantCallError):
        await client.grant(Assignment(10, 19, 6, owner), TTL, None)
    assert received_fences == [b"5", b"6", b"7"]
    client.abort()
    server.close()


# Guards against a granter that renews the grants of a server which says in its responses to them
# that it leaves.
@pytest.mark.parametrize("call", ["grant", "release"])
async def test_response_to_a_grant_or_release_says_that_the_server_leaves(call: str) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nleaving: 1\r\ncontent-length: 0\r\n\r\n")

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    owner = Owner("i-1", 1, "127.0.0.1", port)
    granting_session = session()
    granting_session.update_backend(backend("i-1", port))
    client = grant_client(owner, granting_session)
    if call == "grant":
        await client.grant(Assignment(0, 9, 5, owner), TTL, None)
    else:
        await client.release(0, 9, 5)
    assert granting_session.directory.by_id["i-1"].draining
    client.abort()
    server.close()


# Guards against keys that are granted again while their old owner works on them: a second copy of
# the response to one release came late and was taken for the response to the next.
async def test_late_copy_of_a_response_does_not_end_the_next_release() -> None:
    calls = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal calls
        while await reader.readuntil(b"\r\n\r\n"):
            calls += 1
            if calls == 1:
                writer.write(EMPTY_RESPONSE)
                continue
            # The copy arrives while the second release waits for the work of the owner.
            writer.write(EMPTY_RESPONSE if len(connections) == 1 else b"")
            await asyncio.sleep(0.2)
            finished.set()
            writer.write(EMPTY_RESPONSE)

    def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Any:
        connections.append(writer)
        return serve(reader, writer)

    connections: list[asyncio.StreamWriter] = []
    finished = asyncio.Event()
    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    owner = Owner("i-1", 1, "127.0.0.1", server.sockets[0].getsockname()[1])
    client = grant_client(owner, session())
    await client.release(0, 9, 5)
    await client.release(10, 19, 6)
    assert finished.is_set()
    client.abort()
    server.close()


def response(status: int, call_id: bytes | None) -> bytes:
    named = b"" if call_id is None else b"id: " + call_id + b"\r\n"
    return b"HTTP/1.1 %d x\r\n%scontent-length: 0\r\n\r\n" % (status, named)


class CopyingOwner:
    """An owner of keys that writes each response once more, before the next one."""

    def __init__(self, statuses: list[int], names_calls: bool) -> None:
        self._statuses = statuses
        self._names_calls = names_calls
        # The response to a call waits for it, its copy does not.
        self.may_respond = asyncio.Event()
        self._connections: list[asyncio.StreamWriter] = []

    @asynccontextmanager
    async def running(self) -> AsyncIterator[GrantClient]:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        owner = Owner("i-1", 1, "127.0.0.1", server.sockets[0].getsockname()[1])
        client = grant_client(owner, session())
        try:
            yield client
        finally:
            client.abort()
            server.close()
            for writer in self._connections:
                writer.close()
                with contextlib.suppress(ConnectionError):
                    await writer.wait_closed()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.append(writer)
        copy = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                await reader.readexactly(1)
                fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
                writer.write(copy)
                if copy:
                    await self.may_respond.wait()
                copy = response(self._statuses.pop(0), fields[b"id"] if self._names_calls else None)
                writer.write(copy)


# Guards against a grant that counts as accepted though its owner has refused it, and the reverse: a
# second copy of the response to the grant before came late.
@pytest.mark.parametrize(("first", "second"), [(200, 409), (409, 200)])
async def test_late_copy_of_a_response_is_not_the_response_to_the_next_grant(
    first: int, second: int
) -> None:
    server = CopyingOwner([first, second], names_calls=True)
    server.may_respond.set()
    async with server.running() as client:
        owner = client.owner
        assert await client.grant(Assignment(0, 9, 5, owner), TTL, None) == first
        assert await client.grant(Assignment(10, 19, 6, owner), TTL, None) == second


# Guards against keys that are released and granted to another server while a renewal is still under
# way to their owner: the renewal counted as ended.
async def test_late_copy_of_a_response_does_not_end_the_next_grant() -> None:
    server = CopyingOwner([200, 200], names_calls=True)
    async with server.running() as client:
        await client.grant(Assignment(0, 9, 5, client.owner), TTL, None)
        grant = asyncio.create_task(client.grant(Assignment(0, 9, 5, client.owner), TTL, None))
        ended, _ = await asyncio.wait([grant], timeout=0.1)
        assert not ended
        server.may_respond.set()
        assert await grant == 200


# The same at an owner that names no call in its responses: the grant may still take effect.
async def test_two_responses_to_one_grant_leave_its_outcome_open() -> None:
    server = CopyingOwner([200, 409], names_calls=False)
    server.may_respond.set()
    async with server.running() as client:
        await client.grant(Assignment(0, 9, 5, client.owner), TTL, None)
        with pytest.raises(GrantCallError) as caught:
            await client.grant(Assignment(10, 19, 6, client.owner), TTL, None)
        assert caught.value.sent

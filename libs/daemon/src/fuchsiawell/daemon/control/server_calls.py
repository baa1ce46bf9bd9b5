"""Calls of a leader to its backend servers, over HTTP, and what their answers prove."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from aiosonic import HTTPClient, TCPConnector
from aiosonic.connection import Connection
from aiosonic.exceptions import AiosonicError
from aiosonic.pools import PoolConfig

from fuchsiawell.core.headers import ServerPath
from fuchsiawell.daemon.control.interfaces import Calls
from fuchsiawell.ownership import (
    Event,
    GrantInstalled,
    GrantLapsed,
    GrantRefused,
    GrantRenewed,
    InstallGrant,
    NoAnswer,
    ProbeAnswered,
    ProbeServer,
    ReleaseFailed,
    ReleaseShard,
    RenewGrant,
    ShardReleased,
)
from fuchsiawell.ownership.server_leadership import CALL_TIMEOUT_S

if TYPE_CHECKING:
    from fuchsiawell.core import DaemonId, ServerId
    from fuchsiawell.ownership import Action

__all__ = ["ServerCalls"]

RELEASE_TIMEOUT_S = 5.0  # the server answers once nothing of the shard runs; asked again after
RELEASES_AT_ONCE = 4  # to one server; with the calls for grants within its control connections
CONNECTIONS = 6  # to one server
MAX_IDLE_MS = 4_000  # shorter than the keep-alive of common servers
MS_PER_S = 1000
CALL_ERRORS = (AiosonicError, OSError, EOFError, ValueError, asyncio.LimitOverrunError)


class _FreshConnection(Connection):  # type: ignore[misc]
    """Serve no call after a failed one, whose answer may still come."""

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: Any
    ) -> None:
        if error is not None:
            self.keep = False
            self.close()
        await super().__aexit__(kind, error, trace)


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    fields: dict[str, Any]

    @property
    def clock_ms(self) -> int | None:
        clock_ms = self.fields.get("clock_ms")
        return clock_ms if isinstance(clock_ms, int) else None


class ServerCalls(Calls):
    """Carry out actions; every call ends in an event."""

    def __init__(self, own_id: DaemonId) -> None:
        self._own_id = own_id
        self._releases_by_server: dict[ServerId, asyncio.Semaphore] = {}
        self._clients_by_address: dict[str, HTTPClient] = {}

    async def close(self) -> None:
        """Close connections."""
        for client in self._clients_by_address.values():
            await client.aclose()
        self._clients_by_address.clear()

    async def perform(self, action: Action) -> Event:
        """Make one call and return what came of it."""
        match action:
            case ProbeServer():
                return await self._probe(action)
            case InstallGrant():
                return await self._install(action)
            case RenewGrant():
                return await self._renew(action)
            case ReleaseShard():
                return await self._release(action)

    async def _probe(self, action: ProbeServer) -> Event:
        path = ServerPath.GRANT if action.checks_fence else ServerPath.HEALTH
        answer = await self._exchange(action.address, path, None, CALL_TIMEOUT_S)
        if answer is None:
            return NoAnswer(action.server, action.term, action.call)
        return ProbeAnswered(action.server, action.term, action.call, answer.clock_ms)

    async def _install(self, action: InstallGrant) -> Event:
        fields = {
            "leader": self._own_id,
            "term": action.term,
            "call": action.call,
            "clock_ms": action.clock_ms,
            "ttl_ms": int(action.ttl_s * MS_PER_S),
            "run_ms": int(action.run_s * MS_PER_S),
            "epochs": {str(shard): epoch for shard, epoch in action.epochs_by_shard.items()},
        }
        answer = await self._exchange(action.address, ServerPath.GRANT, fields, CALL_TIMEOUT_S)
        return _grant_event(action, answer, GrantInstalled)

    async def _renew(self, action: RenewGrant) -> Event:
        fields = {
            "term": action.term,
            "call": action.call,
            "clock_ms": action.clock_ms,
            "ttl_ms": int(action.ttl_s * MS_PER_S),
            "run_ms": int(action.run_s * MS_PER_S),
        }
        answer = await self._exchange(action.address, ServerPath.RENEW, fields, CALL_TIMEOUT_S)
        return _grant_event(action, answer, GrantRenewed)

    async def _release(self, action: ReleaseShard) -> Event:
        fields = {"term": action.term, "shard": str(action.shard)}
        limit = self._releases_by_server.setdefault(
            action.server, asyncio.Semaphore(RELEASES_AT_ONCE)
        )
        async with limit:
            answer = await self._exchange(
                action.address, ServerPath.RELEASE, fields, RELEASE_TIMEOUT_S
            )
        released = answer is not None and answer.status == HTTPStatus.OK
        kind = ShardReleased if released else ReleaseFailed
        return kind(action.server, action.term, action.shard, action.epoch)

    async def _exchange(
        self, address: str, path: str, fields: dict[str, Any] | None, timeout_s: float
    ) -> _Answer | None:
        """Return the answer, `None` without a whole one in time."""
        url = f"http://{address}{path}"
        client = self._client(address)
        try:
            async with asyncio.timeout(timeout_s):
                if fields is None:
                    response = await client.get(url)
                else:
                    response = await client.post(url, json=fields)
                return _Answer(response.status_code, _fields(await response.content()))
        except TimeoutError:
            # What made one connection silent may have struck the idle ones to this server too.
            await client.aclose()
            return None
        except CALL_ERRORS:
            return None

    def _client(self, address: str) -> HTTPClient:
        client = self._clients_by_address.get(address)
        if client is None:
            config = PoolConfig(size=CONNECTIONS, max_conn_idle_ms=MAX_IDLE_MS)
            client = HTTPClient(
                TCPConnector(pool_configs={":default": config}, connection_cls=_FreshConnection),
                trust_env=False,
                follow=False,
            )
            self._clients_by_address[address] = client
        return client


def _grant_event(
    action: InstallGrant | RenewGrant,
    answer: _Answer | None,
    confirmed: type[GrantInstalled | GrantRenewed],
) -> Event:
    server, term, call = action.server, action.term, action.call
    if answer is None:
        return NoAnswer(server, term, call)
    match answer.status:
        case HTTPStatus.OK:
            return confirmed(server, term, call, answer.clock_ms)
        case HTTPStatus.GONE:
            return GrantLapsed(server, term, call, answer.clock_ms)
        case _:
            return GrantRefused(server, term, call)


def _fields(body: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(body)
    except ValueError:
        return {}  # any answer is a sign of life; foreign ones tell no clock
    return fields if isinstance(fields, dict) else {}

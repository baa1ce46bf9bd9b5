"""One daemon's connection to a server for granting and releasing keys."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.gateway.ports import KeyGrant
from fuchsiawell.httpio import ClientConnection, InvalidResponseError, ResponseHead, connect

if TYPE_CHECKING:
    from datetime import timedelta

    from fuchsiawell.gateway.ports import BackendProtocol
    from fuchsiawell.shards import Assignment, Owner

__all__ = ["GrantCallError", "GrantClient", "Released"]

# Longest wait for the answer to a grant, in seconds: some lost packets on a link, and well under
# the time between renewals.
GRANT_S = 0.6
CONNECT_S = 0.5
# Longest wait for a release, whose answer comes when the running work has ended.
RELEASE_S = 3.0


class GrantCallError(Exception):
    """A grant or release got no usable answer; carries whether it may still take effect."""

    def __init__(self, step: str, peer: str, reason: str, sent: bool) -> None:
        super().__init__(f"{step} at {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
        self.sent = sent


@dataclass(frozen=True)
class Released:
    """Keys that a server gave back."""

    handover: str | None


class GrantClient:
    """Calls to one server life. Grants share a connection; releases wait on one of their own."""

    def __init__(self, owner: Owner, protocol: BackendProtocol) -> None:
        self.owner = owner
        self._protocol = protocol
        self._connection: ClientConnection | None = None
        # Kept from the last release.
        self._spare: ClientConnection | None = None
        # The highest fence sent, and the highest sent on earlier connections: those fences may have
        # been taken by an earlier life, so that the one behind this connection needs newer ones.
        self._highest = 0
        self._floor = 0
        self._lock = asyncio.Lock()

    async def grant(self, holding: Assignment, life: timedelta, handover: str | None) -> int:
        """Grant or renew a holding; returns the answer's status."""
        grant = KeyGrant(holding.first, holding.last, holding.fence, life, handover)
        head, body = self._protocol.grant(grant, self.owner.backend_id, self.owner.peer)
        async with self._lock:
            await self._ensure_connection("grant")
            if holding.fence <= self._floor:
                raise GrantCallError(
                    "grant", self.owner.peer, "connection was lost: needs a new fence", sent=False
                )
            connection = self._connection
            assert connection is not None
            self._highest = max(self._highest, holding.fence)
            try:
                async with asyncio.timeout(GRANT_S):
                    exchange = connection.start(head, len(body))
                    await exchange.send_body_chunk(body)
                    await exchange.finish_body()
                    answer = await exchange.read_response_head(lambda _: True)
                    while await exchange.read_body_chunk() is not None:
                        pass
                if not exchange.reusable:
                    connection.close()
                    self._connection = None
                return answer.status
            except (OSError, InvalidResponseError) as error:
                self.drop()
                reason = str(error) or "no answer in time"
                raise GrantCallError("grant", self.owner.peer, reason, sent=True) from error

    async def release(self, first: int, last: int, fence: int) -> Released:
        """Take keys back; returns when their work has ended."""
        head, body = self._protocol.release(
            first, last, fence, self.owner.backend_id, self.owner.peer
        )
        connection, self._spare = self._spare, None
        if connection is None or not connection.usable:
            connection = await self._connect("release")
        try:
            async with asyncio.timeout(RELEASE_S):
                exchange = connection.start(head, len(body))
                await exchange.send_body_chunk(body)
                await exchange.finish_body()
                answer: ResponseHead = await exchange.read_response_head(lambda _: True)
                while await exchange.read_body_chunk() is not None:
                    pass
        except (OSError, InvalidResponseError) as error:
            connection.abort()
            reason = str(error) or "no answer in time"
            raise GrantCallError("release", self.owner.peer, reason, sent=True) from error
        if exchange.reusable and self._spare is None:
            self._spare = connection
        else:
            connection.close()
        if answer.status != 200:
            raise GrantCallError("release", self.owner.peer, f"status {answer.status}", sent=True)
        return Released(self._protocol.handover(answer))

    async def reach(self) -> bool:
        """Whether the server accepts a connection; the connection is kept for grants."""
        async with self._lock:
            try:
                await self._ensure_connection("probe")
            except GrantCallError:
                return False
            return True

    def drop(self) -> None:
        """Reset the connection, so that what is on its way gets lost."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _ensure_connection(self, step: str) -> None:
        """Open a connection if there is none, behind which there may be another life."""
        if self._connection is not None and self._connection.usable:
            return
        self.drop()
        self._connection = await self._connect(step)
        self._floor = self._highest

    async def _connect(self, step: str) -> ClientConnection:
        try:
            return await connect(self.owner.host, self.owner.port, CONNECT_S)
        except OSError as error:
            reason = f"connect: {error or 'timed out'}"
            raise GrantCallError(step, self.owner.peer, reason, sent=False) from error

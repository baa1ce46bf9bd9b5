"""Client with which the granter grants key ranges to one backend server and releases them."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.gateway.ports import KeyGrant
from fuchsiawell.httpio import ClientConnection, InvalidResponseError, ResponseHead, connect

if TYPE_CHECKING:
    from collections.abc import Iterator
    from datetime import timedelta

    from fuchsiawell.balance import Reachability
    from fuchsiawell.core import Clock
    from fuchsiawell.gateway.control.leaving_tracker import LeavingTracker
    from fuchsiawell.gateway.ports import BackendProtocol
    from fuchsiawell.httpio import RequestHead
    from fuchsiawell.shards import Assignment, Owner

__all__ = ["GrantCallError", "GrantClient", "Released"]

# Leaves time for some lost packets on a link, and is well below the interval between renewals.
GRANT_TIMEOUT_S = 0.6
CONNECT_TIMEOUT_S = 0.5
# A server responds to a release only when the running requests for the range have ended.
RELEASE_TIMEOUT_S = 3.0
# A server responds to a grant within milliseconds; later, it may be unreachable.
GRANT_OVERDUE_S = 0.25


class GrantCallError(Exception):
    """A grant or release got no usable response; `sent` tells whether it may still take effect."""

    def __init__(self, step: str, peer: str, reason: str, sent: bool) -> None:
        super().__init__(f"{step} at {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
        self.sent = sent


@dataclass(frozen=True)
class Released:
    """Response to a release; `handover` is what the server left for the next owner, if anything."""

    handover: str | None


class GrantClient:
    """Calls to one incarnation of a server.

    Grants share a connection, on which a second copy of a response may come late: their ids tell
    whose it is. Each release has its own, as a server need not name the id, and a copy would be
    taken for the response to the next release, and the keys for free.
    """

    def __init__(
        self,
        owner: Owner,
        protocol: BackendProtocol,
        leaving_tracker: LeavingTracker,
        reachability: Reachability,
        clock: Clock,
    ) -> None:
        self.owner = owner
        self._protocol = protocol
        self._leaving_tracker = leaving_tracker
        self._reachability = reachability
        self._clock = clock
        self._connection: ClientConnection | None = None
        # The highest fencing token sent, and the highest one sent on earlier connections. An
        # earlier incarnation may have received that one, so this connection needs higher ones.
        self._highest_fence = 0
        self._highest_stale_fence = 0
        self._grant_count = 0
        self._lock = asyncio.Lock()

    async def grant(self, assignment: Assignment, ttl: timedelta, handover: str | None) -> int:
        """Grant or renew an assignment; return the response status. Raises GrantCallError."""
        grant = KeyGrant(assignment.first, assignment.last, assignment.fence, ttl, handover)
        self._grant_count += 1
        call_id = f"grant-{assignment.fence}-{self._grant_count}"
        head, body = self._protocol.grant(grant, self.owner.backend_id, self.owner.peer, call_id)
        async with self._lock:
            with self._expected_response():
                return await self._grant(assignment, head, body, call_id)

    async def _grant(
        self, assignment: Assignment, head: RequestHead, body: bytes, call_id: str
    ) -> int:
        await self._ensure_connection("grant")
        if assignment.fence <= self._highest_stale_fence:
            raise GrantCallError(
                "grant",
                self.owner.peer,
                "connection was lost, a new fence is needed",
                sent=False,
            )
        connection = self._connection
        assert connection is not None
        self._highest_fence = max(self._highest_fence, assignment.fence)
        try:
            async with asyncio.timeout(GRANT_TIMEOUT_S):
                exchange = connection.start(head, len(body))
                await exchange.send_body_chunk(body)
                await exchange.finish_body()
                response = await exchange.read_response_head(
                    lambda r: self._protocol.parse_response(r).request_id in (call_id, None)
                )
                self._record_response(connection, response)
                while await exchange.read_body_chunk() is not None:
                    pass
            if exchange.followed_by_bytes:
                raise InvalidResponseError("more than one response to a grant")
            if not exchange.reusable:
                connection.close()
                self._connection = None
            return response.status
        except (OSError, InvalidResponseError) as error:
            self._abort_grants()
            self._record_failure()
            reason = str(error) or "no answer in time"
            raise GrantCallError("grant", self.owner.peer, reason, sent=True) from error

    async def release(self, first: int, last: int, fence: int) -> Released:
        """Release a range; return when its requests have ended. Raises GrantCallError."""
        head, body = self._protocol.release(
            first, last, fence, self.owner.backend_id, self.owner.peer
        )
        connection = await self._connect("release")
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                exchange = connection.start(head, len(body))
                await exchange.send_body_chunk(body)
                await exchange.finish_body()
                response: ResponseHead = await exchange.read_response_head(lambda _: True)
                self._record_response(connection, response)
                while await exchange.read_body_chunk() is not None:
                    pass
        except (OSError, InvalidResponseError) as error:
            connection.abort()
            if not isinstance(error, TimeoutError):
                # A release may wait for long requests.
                self._record_failure()
            reason = str(error) or "no answer in time"
            raise GrantCallError("release", self.owner.peer, reason, sent=True) from error
        except asyncio.CancelledError:
            connection.abort()
            raise
        connection.close()
        if response.status != 200:
            raise GrantCallError("release", self.owner.peer, f"status {response.status}", sent=True)
        return Released(self._protocol.handover(response))

    async def is_reachable(self) -> bool:
        """Return whether the server accepts a connection, which is kept for grants."""
        async with self._lock:
            try:
                await self._ensure_connection("probe")
            except GrantCallError:
                return False
            return True

    def abort(self) -> None:
        """Abort the connection, so that a grant in transit is lost."""
        self._abort_grants()

    def _abort_grants(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    @contextmanager
    def _expected_response(self) -> Iterator[None]:
        call_id = self._reachability.start_call(
            self.owner.backend_id, self._clock.monotonic() + GRANT_OVERDUE_S
        )
        try:
            yield
        finally:
            self._reachability.end_call(call_id)

    def _record_failure(self) -> None:
        self._reachability.record_failure(self.owner.backend_id, self._clock.monotonic())

    def _record_response(self, connection: ClientConnection, head: ResponseHead) -> None:
        now_s = self._clock.monotonic()
        if connection.exchange_count == 1:
            self._reachability.record_connected(self.owner.backend_id, now_s)
        else:
            self._reachability.record_response(self.owner.backend_id, now_s)
        self._leaving_tracker.record_response(
            self.owner.backend_id, self.owner.incarnation_id, self._protocol.parse_response(head)
        )

    async def _ensure_connection(self, step: str) -> None:
        """Connect if needed; another incarnation may accept the new connection."""
        if self._connection is not None and self._connection.usable:
            return
        self._abort_grants()
        self._connection = await self._connect(step)
        self._highest_stale_fence = self._highest_fence

    async def _connect(self, step: str) -> ClientConnection:
        try:
            return await connect(self.owner.host, self.owner.port, CONNECT_TIMEOUT_S)
        except OSError as error:
            self._record_failure()
            reason = f"connect: {error or 'timed out'}"
            raise GrantCallError(step, self.owner.peer, reason, sent=False) from error

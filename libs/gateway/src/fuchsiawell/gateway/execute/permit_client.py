"""Get permits for requests to rate-limited and cold servers from the issuers of these servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from fuchsiawell.balance import rendezvous_order
from fuchsiawell.gateway.control.issuer_table import ISSUERS_PER_SERVER
from fuchsiawell.gateway.control.peer_messages import (
    ColdPermitReply,
    ColdPermitRequest,
    PermitReply,
    PermitRequest,
    PermitStatus,
)
from fuchsiawell.gateway.session.cold_entries import cold_permit_rate_per_s

if TYPE_CHECKING:
    from fuchsiawell.gateway.control.cold_permit_service import ColdPermitService
    from fuchsiawell.gateway.control.limit_tracker import LimitTracker
    from fuchsiawell.gateway.control.peers import PeerMessenger
    from fuchsiawell.gateway.control.permit_service import PermitService
    from fuchsiawell.gateway.execute.backend_client import Target
    from fuchsiawell.gateway.session.state import Session

__all__ = ["PermitClient"]

# Many round trips between availability zones; between regions one takes up to about 0.1 s.
REPLY_TIMEOUT_S = 0.15
# How often an issuer is asked before it counts as silent, as datagrams may be lost, and for how
# long it is not asked then.
ASKS_PER_ISSUER = 2
SILENT_ISSUER_S = 2.0
# Wait after which a request may be tried again that no issuer has replied to.
NO_ISSUER_WAIT_S = 1.0
# No denial is remembered for a shorter time, so that a request is not asked for in a loop.
MIN_WAIT_S = 0.02

# Returns a message of a number and a rank; None if the server no longer needs permits.
_Compose = Callable[[int, int], PermitRequest | ColdPermitRequest | None]
_Reply = PermitReply | ColdPermitReply


class PermitClient:
    """Ask for one permit a request; the permit is used at once."""

    def __init__(
        self,
        session: Session,
        peers: PeerMessenger,
        limit_tracker: LimitTracker,
        service: PermitService,
        cold_service: ColdPermitService,
    ) -> None:
        self._session = session
        self._peers = peers
        self._limit_tracker = limit_tracker
        self._service = service
        self._cold_service = cold_service
        service.on_own_reply = cold_service.on_own_reply = self.on_reply
        self._waiting: dict[int, asyncio.Queue[_Reply]] = {}
        # A restarted daemon must not take replies that are meant for the one before.
        self._last_number = session.random.getrandbits(31)
        # By daemon and kind of request: earlier releases do not reply to those for cold servers.
        self._silent_until_s: dict[tuple[str, str], float] = {}
        self._issuers_by_id: dict[str, list[str]] = {}
        self._peers_version = -1

    async def acquire(self, backend_id: str, priority: int, max_wait_s: float) -> float:
        """Return 0.0 with a permit to send one request now, else the time to wait before the next.

        A denial is remembered, so that requests that would get one too are not asked for.
        """
        max_wait_s = max(0.0, max_wait_s)

        def compose(number: int, rank: int) -> PermitRequest | None:
            limit = self._limit_tracker.report(backend_id)
            if limit is None or limit.rate_per_s is None:
                return None
            return PermitRequest(number, limit, priority, round(max_wait_s * 1000), rank)

        wait_s = await self._ask_issuers(backend_id, "limit", compose, max_wait_s)
        return self._remember(backend_id, priority, wait_s)

    async def acquire_cold(self, target: Target, priority: int, max_wait_s: float) -> float:
        """Return what `acquire` does, for a server that is cold."""
        max_wait_s = max(0.0, max_wait_s)

        def compose(number: int, rank: int) -> ColdPermitRequest | None:
            backend_id, incarnation_id = target.backend_id, target.incarnation_id
            rate_per_s = cold_permit_rate_per_s(self._session, backend_id)
            if rate_per_s is None:
                return None
            return ColdPermitRequest(
                number,
                backend_id,
                incarnation_id,
                rate_per_s,
                priority,
                round(max_wait_s * 1000),
                rank,
            )

        wait_s = await self._ask_issuers(target.backend_id, "cold", compose, max_wait_s)
        return self._remember(target.backend_id, priority, wait_s)

    def on_reply(self, reply: _Reply) -> None:
        """Pass a reply on to the request that waits for it."""
        waiting = self._waiting.get(reply.number)
        if waiting is not None:
            waiting.put_nowait(reply)

    def _remember(self, backend_id: str, priority: int, wait_s: float) -> float:
        """Remember a denial; return the time to wait."""
        if wait_s > 0.0:
            wait_s = max(MIN_WAIT_S, wait_s) * self._session.random.uniform(1.0, 1.2)
            self._session.permit_waits.record_denied(
                backend_id, priority, wait_s, self._session.now_s
            )
        return wait_s

    async def _ask_issuers(
        self, backend_id: str, kind: str, compose: _Compose, max_wait_s: float
    ) -> float:
        session = self._session
        for rank, issuer in enumerate(self._issuers(backend_id)):
            if self._silent_until_s.get((issuer, kind), 0.0) > session.now_s:
                continue
            for _ in range(ASKS_PER_ISSUER):
                wait_s = await self._ask(issuer, rank, compose, max_wait_s)
                if wait_s is not None:
                    return wait_s
            self._silent_until_s[issuer, kind] = session.now_s + SILENT_ISSUER_S
            session.request_log.write("permit issuer silent", server=backend_id, daemon=issuer)
        return NO_ISSUER_WAIT_S

    async def _ask(
        self, issuer: str, rank: int, compose: _Compose, max_wait_s: float
    ) -> float | None:
        """Return the wait as `acquire` does, None without a reply."""
        session = self._session
        number = self._last_number + 1
        message = compose(number, rank)
        if message is None:
            return 0.0
        self._last_number = number
        replies = self._waiting[number] = asyncio.Queue()
        asked_s = session.now_s
        try:
            if issuer == session.settings.daemon:
                if isinstance(message, PermitRequest):
                    self._service.request(issuer, message)
                else:
                    self._cold_service.request(issuer, message)
            elif (peer := session.peers_by_name.get(issuer)) is not None:
                self._peers.send([peer], message)
            else:
                return None
            reply = await _next_reply(replies, REPLY_TIMEOUT_S)
            if reply is not None and reply.status is PermitStatus.QUEUED:
                reply = await _next_reply(replies, max_wait_s + REPLY_TIMEOUT_S)
                if reply is None:
                    return max(MIN_WAIT_S, max_wait_s)
        finally:
            del self._waiting[number]
        if reply is None:
            return None
        if isinstance(reply, PermitReply):
            self._limit_tracker.apply_report(issuer, reply.limit)
        too_old = session.now_s - asked_s > max_wait_s + 2 * REPLY_TIMEOUT_S
        if reply.status is PermitStatus.GRANTED and not too_old:
            return 0.0
        return max(MIN_WAIT_S, reply.wait_ms / 1000)

    def _issuers(self, backend_id: str) -> list[str]:
        session = self._session
        if session.peers_version != self._peers_version:
            self._peers_version = session.peers_version
            self._issuers_by_id.clear()
        issuers = self._issuers_by_id.get(backend_id)
        if issuers is None:
            names = {*session.peers_by_name, session.settings.daemon}
            issuers = rendezvous_order(backend_id, names, ISSUERS_PER_SERVER)
            self._issuers_by_id[backend_id] = issuers
        return issuers


async def _next_reply(replies: asyncio.Queue[_Reply], timeout_s: float) -> _Reply | None:
    try:
        async with asyncio.timeout(timeout_s):
            return await replies.get()
    except TimeoutError:
        return None

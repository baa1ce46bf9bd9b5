"""Issue permits for the rate-limited servers whose issuer this daemon is."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.balance import PermitDecision, PermitIssuer, PermitTicket
from fuchsiawell.gateway.control.peer_messages import (
    PermitReply,
    PermitRequest,
    PermitStatus,
    RateLimitReport,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.gateway.control.limit_tracker import LimitTracker
    from fuchsiawell.gateway.control.peers import PeerMessenger
    from fuchsiawell.gateway.session.state import Session

__all__ = ["ISSUERS_PER_SERVER", "PermitService"]

# The second issuer of a server is asked by daemons to which the first does not reply.
ISSUERS_PER_SERVER = 2
# Share of the server's rate and burst, by rank. Daemons may disagree about which issuers respond,
# so that both issue at the same time; together they must stay below the 1.5 times of its limit,
# and the few requests more, that a server tolerates.
SHARE_BY_RANK = (1.0, 0.3)
BURST_BY_RANK = (2.0, 1.0)
# After a change of the daemons others may use the issuer before it for about this long, the time
# within which all in touch with the store learn of the change. A new first issuer waits for that.
TAKEOVER_DELAY_S = 2.0
# An issuer that nobody has asked for this long is dropped.
ISSUER_TTL_S = 30.0

# Server id, incarnation id and rank.
_IssuerKey = tuple[str, str, int]


class PermitService:
    """Decide on requests for permits; a server's limit is taken from whoever heard it last."""

    def __init__(self, session: Session, peers: PeerMessenger, limit_tracker: LimitTracker) -> None:
        self._session = session
        self._peers = peers
        self._limit_tracker = limit_tracker
        self._issuers: dict[_IssuerKey, PermitIssuer] = {}
        self._timers: dict[_IssuerKey, asyncio.TimerHandle] = {}
        # Receives the replies to this daemon's own requests.
        self.on_own_reply: Callable[[PermitReply], None] | None = None

    def request(self, asker: str, message: PermitRequest) -> None:
        """Decide on a request now, or reply that it is queued."""
        session, limit = self._session, message.limit
        now_s = session.now_s
        self._limit_tracker.apply_report(asker, limit)
        known = session.rate_limits.latest(limit.backend_id)
        rate_per_s = limit.rate_per_s
        if known is not None and known.incarnation_id == limit.incarnation_id:
            rate_per_s = known.rate_per_s
        ticket = PermitTicket(
            message.priority, now_s + message.max_wait_ms / 1000, message.number, asker
        )
        if rate_per_s is None:
            self._reply(limit, PermitDecision(ticket, granted=True))
            return
        key = (limit.backend_id, limit.incarnation_id, min(max(message.rank, 0), 1))
        issuer = self._issuer(key, rate_per_s)
        decisions = issuer.request(ticket, now_s)
        if all(decision.ticket is not ticket for decision in decisions):
            self._send(limit, asker, message.number, PermitStatus.QUEUED, 0.0)
        self._finish(key, decisions)

    def close(self) -> None:
        """Stop deciding; queued requests get no reply."""
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()

    def _issuer(self, key: _IssuerKey, rate_per_s: float) -> PermitIssuer:
        now_s = self._session.now_s
        issuer = self._issuers.get(key)
        if issuer is None:
            self._issuers = {
                other_key: other
                for other_key, other in self._issuers.items()
                if now_s - other.last_asked_s <= ISSUER_TTL_S
            }
            backend_id, incarnation_id, rank = key
            start_s = now_s
            if rank == 0:
                start_s = max(now_s, self._session.peers_changed_s + TAKEOVER_DELAY_S)
            issuer = PermitIssuer(rate_per_s, SHARE_BY_RANK[rank], BURST_BY_RANK[rank], start_s)
            self._issuers[key] = issuer
            self._session.log.event(
                "issuing permits",
                server=backend_id,
                incarnation=incarnation_id,
                rank=rank,
                per_s=rate_per_s,
            )
        else:
            issuer.set_rate(rate_per_s, now_s)
        return issuer

    def _poll(self, key: _IssuerKey) -> None:
        self._timers.pop(key, None)
        issuer = self._issuers.get(key)
        if issuer is not None:
            self._finish(key, issuer.poll(self._session.now_s))

    def _finish(self, key: _IssuerKey, decisions: list[PermitDecision]) -> None:
        """Send the decisions, and set the timer for the next one."""
        backend_id, incarnation_id, _ = key
        for decision in decisions:
            self._reply(RateLimitReport(backend_id, incarnation_id, None, 0), decision)
        timer = self._timers.pop(key, None)
        if timer is not None:
            timer.cancel()
        due_s = self._issuers[key].next_due_s()
        if due_s is not None:
            delay_s = max(0.0, due_s - self._session.now_s)
            loop = asyncio.get_running_loop()
            self._timers[key] = loop.call_later(delay_s, self._poll, key)

    def _reply(self, limit: RateLimitReport, decision: PermitDecision) -> None:
        status = PermitStatus.GRANTED if decision.granted else PermitStatus.DENIED
        self._session.metrics.count(f"permits_{status.value}", limit.backend_id)
        ticket = decision.ticket
        self._send(limit, ticket.asker, ticket.number, status, decision.wait_s)

    def _send(
        self, limit: RateLimitReport, asker: str, number: int, status: PermitStatus, wait_s: float
    ) -> None:
        """Send a reply with the limit of the server as it is known now."""
        session = self._session
        known = self._limit_tracker.report(limit.backend_id) or limit
        reply = PermitReply(number, status, round(wait_s * 1000), known)
        if asker == session.settings.daemon:
            if self.on_own_reply is not None:
                self.on_own_reply(reply)
        elif (peer := session.peers_by_name.get(asker)) is not None:
            self._peers.send([peer], reply)

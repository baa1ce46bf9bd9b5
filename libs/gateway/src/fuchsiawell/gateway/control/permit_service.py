"""Issue permits for the rate-limited servers whose issuer this daemon is."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.balance import PermitDecision, PermitTicket
from fuchsiawell.gateway.control.issuer_table import IssuerKey, IssuerTable
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

__all__ = ["PermitService"]


class PermitService:
    """Decide on requests for permits; a server's limit is taken from whoever heard it last."""

    def __init__(self, session: Session, peers: PeerMessenger, limit_tracker: LimitTracker) -> None:
        self._session = session
        self._peers = peers
        self._limit_tracker = limit_tracker
        self._issuers = IssuerTable(
            session, self._send_queued, self._send_decision, self._log_created
        )
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
        key = IssuerKey(limit.backend_id, limit.incarnation_id, min(max(message.rank, 0), 1))
        self._issuers.request(key, rate_per_s, ticket)

    def close(self) -> None:
        """Stop deciding; queued requests get no reply."""
        self._issuers.close()

    def _log_created(self, key: IssuerKey, rate_per_s: float) -> None:
        self._session.log.event(
            "issuing permits",
            server=key.backend_id,
            incarnation=key.incarnation_id,
            rank=key.rank,
            per_s=rate_per_s,
        )

    def _send_queued(self, key: IssuerKey, ticket: PermitTicket) -> None:
        limit = RateLimitReport(key.backend_id, key.incarnation_id, None, 0)
        self._send(limit, ticket.asker, ticket.number, PermitStatus.QUEUED, 0.0)

    def _send_decision(self, key: IssuerKey, decision: PermitDecision) -> None:
        self._reply(RateLimitReport(key.backend_id, key.incarnation_id, None, 0), decision)

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

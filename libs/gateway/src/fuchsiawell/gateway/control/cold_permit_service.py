"""Issue permits for the cold servers whose issuer this daemon is."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.balance import PermitDecision, PermitTicket
from fuchsiawell.gateway.control.issuer_table import IssuerKey, IssuerTable
from fuchsiawell.gateway.control.peer_messages import (
    ColdPermitReply,
    ColdPermitRequest,
    PermitStatus,
)
from fuchsiawell.gateway.session.cold_entries import cold_permit_rate_per_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.gateway.control.peers import PeerMessenger
    from fuchsiawell.gateway.session.state import Session

__all__ = ["ColdPermitService"]


class ColdPermitService:
    """Decide on requests for permits, whether this daemon takes the server to be cold or not."""

    def __init__(self, session: Session, peers: PeerMessenger) -> None:
        self._session = session
        self._peers = peers
        self._issuers = IssuerTable(
            session, self._send_queued, self._send_decision, self._log_created
        )
        # Receives the replies to this daemon's own requests.
        self.on_own_reply: Callable[[ColdPermitReply], None] | None = None

    def request(self, asker: str, message: ColdPermitRequest) -> None:
        """Decide on a request now, or reply that it is queued."""
        known_per_s = cold_permit_rate_per_s(self._session, message.backend_id)
        rate_per_s = message.rate_per_s
        if known_per_s is not None:
            rate_per_s = min(rate_per_s, known_per_s)
        latest_s = self._session.now_s + message.max_wait_ms / 1000
        ticket = PermitTicket(message.priority, latest_s, message.number, asker)
        # Daemons may know different incarnations for a moment; their requests reach one server.
        key = IssuerKey(message.backend_id, "", min(message.rank, 1))
        self._issuers.request(key, rate_per_s, ticket)

    def close(self) -> None:
        """Stop deciding; queued requests get no reply."""
        self._issuers.close()

    def _log_created(self, key: IssuerKey, rate_per_s: float) -> None:
        self._session.request_log.write(
            "issuing cold permits", server=key.backend_id, rank=key.rank, per_s=rate_per_s
        )

    def _send_queued(self, _: IssuerKey, ticket: PermitTicket) -> None:
        self._send(ticket.asker, ColdPermitReply(ticket.number, PermitStatus.QUEUED, 0))

    def _send_decision(self, key: IssuerKey, decision: PermitDecision) -> None:
        status = PermitStatus.GRANTED if decision.granted else PermitStatus.DENIED
        self._session.metrics.count(f"cold_permits_{status.value}", key.backend_id)
        wait_ms = round(decision.wait_s * 1000)
        self._send(decision.ticket.asker, ColdPermitReply(decision.ticket.number, status, wait_ms))

    def _send(self, asker: str, reply: ColdPermitReply) -> None:
        session = self._session
        if asker == session.settings.daemon:
            if self.on_own_reply is not None:
                self.on_own_reply(reply)
        elif (peer := session.peers_by_name.get(asker)) is not None:
            self._peers.send([peer], reply)

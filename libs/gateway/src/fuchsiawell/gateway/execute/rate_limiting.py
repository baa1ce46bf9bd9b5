"""The parts of a daemon that keep the rate limits of servers together with the other daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.limit_tracker import LimitTracker
from fuchsiawell.gateway.control.peer_messages import PermitReply, PermitRequest, RateLimitReport
from fuchsiawell.gateway.control.permit_service import PermitService
from fuchsiawell.gateway.execute.permit_client import PermitClient

if TYPE_CHECKING:
    from fuchsiawell.gateway.control.peers import PeerMessenger
    from fuchsiawell.gateway.session.state import Session

__all__ = ["RateLimiting"]


class RateLimiting:
    """Limits heard from servers, permits issued for some of them, and permits asked for."""

    def __init__(self, session: Session, peers: PeerMessenger) -> None:
        self.tracker = LimitTracker(session, peers)
        self._service = PermitService(session, peers, self.tracker)
        self.permits = PermitClient(session, peers, self.tracker, self._service)
        peers.on_limit_message = self._apply

    def close(self) -> None:
        """Stop issuing permits."""
        self._service.close()

    def _apply(self, sender: str, message: RateLimitReport | PermitRequest | PermitReply) -> None:
        match message:
            case RateLimitReport():
                self.tracker.apply_report(sender, message)
            case PermitRequest():
                self._service.request(sender, message)
            case PermitReply():
                self.permits.on_reply(message)

"""The parts of a daemon that keep the limits of servers together with the other daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.cold_permit_service import ColdPermitService
from fuchsiawell.gateway.control.cold_tracker import ColdTracker
from fuchsiawell.gateway.control.limit_tracker import LimitTracker
from fuchsiawell.gateway.control.peer_messages import (
    ColdPermitReply,
    ColdPermitRequest,
    PermitReply,
    PermitRequest,
    RateLimitReport,
    ServerColdReport,
)
from fuchsiawell.gateway.control.permit_service import PermitService
from fuchsiawell.gateway.execute.permit_client import PermitClient

if TYPE_CHECKING:
    from fuchsiawell.gateway.control.peer_messages import LimitMessage
    from fuchsiawell.gateway.control.peers import PeerMessenger
    from fuchsiawell.gateway.session.state import Session

__all__ = ["RateLimiting"]


class RateLimiting:
    """Limits and cold times heard of, permits issued for some servers, and permits asked for."""

    def __init__(self, session: Session, peers: PeerMessenger) -> None:
        self.tracker = LimitTracker(session, peers)
        self._service = PermitService(session, peers, self.tracker)
        self.cold_tracker = ColdTracker(session, peers)
        self._cold_service = ColdPermitService(session, peers)
        self.permits = PermitClient(session, peers, self.tracker, self._service, self._cold_service)
        peers.on_limit_message = self._apply

    def close(self) -> None:
        """Stop issuing permits."""
        self._service.close()
        self._cold_service.close()

    def _apply(self, sender: str, message: LimitMessage) -> None:
        match message:
            case RateLimitReport():
                self.tracker.apply_report(sender, message)
            case PermitRequest():
                self._service.request(sender, message)
            case ColdPermitRequest():
                self._cold_service.request(sender, message)
            case ServerColdReport():
                self.cold_tracker.apply_report(sender, message)
            case PermitReply() | ColdPermitReply():
                self.permits.on_reply(message)

"""Track what responses and other daemons say of cold servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.peer_messages import ServerColdReport
from fuchsiawell.gateway.session.cold_entries import log_cold

if TYPE_CHECKING:
    from fuchsiawell.gateway.control.peers import PeerMessenger
    from fuchsiawell.gateway.ports import ResponseMetadata
    from fuchsiawell.gateway.session.state import Session

__all__ = ["ColdTracker"]


class ColdTracker:
    """Record cold times, and tell the other daemons of those that this one did not know."""

    def __init__(self, session: Session, peers: PeerMessenger) -> None:
        self._session = session
        self._peers = peers

    def record_response(
        self, backend_id: str, incarnation_id: str, metadata: ResponseMetadata
    ) -> None:
        """Record a response; one that something else at the server's address sent says nothing."""
        names_other = metadata.server_id not in (None, backend_id)
        if names_other or (metadata.misdirected and metadata.server_id is None):
            return
        session = self._session
        now_s = session.now_s
        cold_s = 0.0 if metadata.cold is None else metadata.cold.total_seconds()
        named = session.cold_servers.record_named(backend_id, incarnation_id, cold_s, now_s)
        if session.cold_servers.record_response(backend_id, incarnation_id, now_s):
            log_cold(session, backend_id, incarnation_id, "unreachable before")
        if named:
            log_cold(session, backend_id, incarnation_id, "server")
            report = ServerColdReport(backend_id, incarnation_id, round(cold_s * 1000))
            self._peers.broadcast(report)

    def record_unreachable(self, backend_id: str) -> None:
        """Record that a connection to a server could not be opened."""
        self._session.cold_servers.record_unreachable(backend_id)

    def apply_report(self, sender: str, report: ServerColdReport) -> None:
        """Apply what another daemon heard from a server."""
        session = self._session
        backend = session.directory.by_id.get(report.backend_id)
        if backend is None or _start(report.incarnation_id) < backend.incarnation:
            return
        # A later incarnation than the known one runs at the address to which requests are sent.
        incarnation_id = backend.incarnation_id
        if session.cold_servers.record_named(
            backend.id, incarnation_id, report.left_ms / 1000, session.now_s
        ):
            log_cold(session, backend.id, incarnation_id, sender)


def _start(incarnation_id: str) -> int:
    """Return the start of an incarnation by its id, -1 if it has none."""
    start = incarnation_id.rpartition("/")[2]
    return int(start) if start.isascii() and start.isdigit() and len(start) < 20 else -1

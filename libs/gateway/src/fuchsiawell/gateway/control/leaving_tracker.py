"""Track the backend servers that say in their responses that they leave, and tell other daemons."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.peer_messages import ServerLeavingReport

if TYPE_CHECKING:
    from fuchsiawell.gateway.control.peers import PeerMessenger
    from fuchsiawell.gateway.ports import ResponseMetadata
    from fuchsiawell.gateway.session.state import Session

__all__ = ["LeavingTracker"]

# A report to all daemons is delayed by a random time, up to this much for each daemon: of those
# that hear it from the server at the same time, most learn first that another has reported it.
MAX_REPORT_DELAY_PER_DAEMON_S = 0.0005
# The granter is told again while the server owns keys, as datagrams may be lost.
REMINDER_INTERVAL_S = 0.4
MAX_REMINDERS = 10


class LeavingTracker:
    """Record servers that leave, from responses to requests and to grants, and from daemons."""

    def __init__(self, session: Session, peers: PeerMessenger) -> None:
        self._session = session
        self._peers = peers
        # Reports to all daemons that are still to be sent, by incarnation.
        self._pending: dict[str, asyncio.TimerHandle] = {}
        peers.on_leaving_report = self.apply_report

    def record_response(
        self, backend_id: str, incarnation_id: str, metadata: ResponseMetadata
    ) -> None:
        """Record what a response from the address of a server says.

        A server that has taken over the address refuses requests for another one as misdirected,
        so such a response counts only if it names the server that was meant.
        """
        names_other = metadata.server_id not in (None, backend_id)
        unnamed = metadata.misdirected and metadata.server_id is None
        if not metadata.leaving or names_other or unnamed:
            return
        session = self._session
        session.metrics.count("leaving_named", backend_id)
        if not session.record_leaving(backend_id, incarnation_id, "server"):
            return
        report = ServerLeavingReport(backend_id, incarnation_id)
        self._remind_granter(report, MAX_REMINDERS)
        max_delay_s = MAX_REPORT_DELAY_PER_DAEMON_S * session.daemon_count
        self._pending[incarnation_id] = asyncio.get_running_loop().call_later(
            session.random.uniform(0.0, max_delay_s), self._broadcast, report
        )

    def apply_report(self, sender: str, report: ServerLeavingReport) -> None:
        """Apply what another daemon heard from a server."""
        pending = self._pending.pop(report.incarnation_id, None)
        if pending is not None:
            pending.cancel()
        self._session.record_leaving(report.backend_id, report.incarnation_id, sender)

    def _broadcast(self, report: ServerLeavingReport) -> None:
        del self._pending[report.incarnation_id]
        self._peers.broadcast(report)

    def _remind_granter(self, report: ServerLeavingReport, reminders: int) -> None:
        """Tell the granter that an owner of keys leaves, again and again until they have moved."""
        session = self._session
        if reminders == 0 or not any(
            owner.incarnation_id == report.incarnation_id
            for shard_map in session.shard_maps.values()
            for owner in shard_map.owners
        ):
            return
        granter = session.peers_by_name.get(session.granter or "")
        if granter is not None:
            self._peers.send([granter], report)
        asyncio.get_running_loop().call_later(
            REMINDER_INTERVAL_S, self._remind_granter, report, reminders - 1
        )

"""Report queued work to the other daemons: directly, or through hubs when grouped."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.balance import subtract_work
from fuchsiawell.gateway.control.queue_messages import (
    GroupQueuedWorkReport,
    QueuedWorkReport,
    TotalQueuedWorkReport,
)

if TYPE_CHECKING:
    from fuchsiawell.gateway.control.hubs import HubSelector
    from fuchsiawell.gateway.control.peers import PeerMessenger
    from fuchsiawell.gateway.control.queue_messages import QueueReport
    from fuchsiawell.gateway.session.state import Session

__all__ = ["QueueReporter"]

# Twice the interval of load reports: rows are about twice as long, and queues live for longer.
REPORT_INTERVAL_S = 0.14
# Unchanged work is repeated this often: twice within the time after which a report expires, so
# that one lost datagram does not end it.
REPEAT_INTERVAL_S = 0.42
# Source name of the work that the hub relays.
HUB_TOTAL = "total"


class QueueReporter:
    """Send reports of queued work while something waits, and apply those of other daemons."""

    def __init__(self, session: Session, peers: PeerMessenger, hubs: HubSelector) -> None:
        self._session = session
        self._peers = peers
        self._hubs = hubs
        self._last_work: dict[int, list[int]] = {}
        self._last_total: dict[int, list[int]] = {}
        self._last_report_s = 0.0
        # Work last reported to the hub; subtracted from the total that it relays.
        self._reported_to_hub: dict[int, list[int]] = {}

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Send what waits, if anything does or if an earlier report must be withdrawn."""
        session, hubs = self._session, self._hubs
        session.queued_work.expire(session.now_s)
        repeat_due = session.now_s - self._last_report_s >= REPEAT_INTERVAL_S
        if repeat_due:
            self._last_report_s = session.now_s
        own = session.class_rooms.own_queued_work()
        followers = hubs.followers if hubs.grouped else []
        work = session.queued_work.combined_report(own, [peer.name for peer in followers])
        if work != self._last_work or (work and repeat_due):
            self._last_work = work
            if not hubs.grouped:
                self._peers.broadcast(QueuedWorkReport(work))
            elif (hub := hubs.hub) is not None:
                self._reported_to_hub = work
                self._peers.send([hub], QueuedWorkReport(work))
            else:
                session.queued_work.discard_report(HUB_TOTAL)
                self._peers.send(hubs.other_hubs, GroupQueuedWorkReport(work))
        if not followers:
            self._last_total = {}
            return
        total = session.queued_work.full_report(own)
        if total != self._last_total or (total and repeat_due):
            self._last_total = total
            self._peers.send(followers, TotalQueuedWorkReport(total))

    def apply(self, sender: str, message: QueueReport) -> None:
        """Apply a report from another daemon."""
        session, hubs = self._session, self._hubs
        match message:
            case QueuedWorkReport(work):
                session.queued_work.apply_report(sender, work, session.now_s)
            case GroupQueuedWorkReport(work):
                if hubs.grouped and hubs.hub is None:
                    session.queued_work.apply_report(_group_source(sender), work, session.now_s)
            case TotalQueuedWorkReport(work):
                if (hub := hubs.hub) is not None and hub.name == sender:
                    others = subtract_work(work, self._reported_to_hub)
                    session.queued_work.apply_report(HUB_TOTAL, others, session.now_s)


def _group_source(hub: str) -> str:
    return f"group of {hub}"

"""Report latency factors of servers to the other daemons: directly, or through hubs."""

from __future__ import annotations

import asyncio
from itertools import islice
from typing import TYPE_CHECKING

from fuchsiawell.balance import MAX_GROUP_SAMPLES, MIN_SHARED_FACTOR, short_id
from fuchsiawell.gateway.control.pace_messages import (
    GroupPaceReport,
    PaceReport,
    TotalPaceReport,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from fuchsiawell.gateway.control.hubs import HubSelector
    from fuchsiawell.gateway.control.pace_messages import PaceMessage, PaceRows
    from fuchsiawell.gateway.control.peers import PeerMessenger
    from fuchsiawell.gateway.session.state import Peer, Session

__all__ = ["PaceReporter"]

REPORT_INTERVAL_S = 0.5
# A row takes up to 12 bytes, so that a datagram fits into one packet.
MAX_ROWS_PER_DATAGRAM = 100
# Hubs send followers no smaller factors: these use none below MIN_SHARED_FACTOR, and totals of all
# servers would cost a hub of 20 daemons 66 KB/s.
MIN_SENT_PERCENT = 200
# Source name of the factors that the hub relays.
HUB_TOTAL = "total"
# Servers whose shared factor is used are logged, the slowest of them, in one line at most in this
# time.
SLOW_LOG_INTERVAL_S, MAX_LOGGED_SERVERS = 5.0, 5


class PaceReporter:
    """Send this daemon's samples, relay those of others as a hub, and apply reports."""

    def __init__(self, session: Session, peers: PeerMessenger, hubs: HubSelector) -> None:
        self._session = session
        self._peers = peers
        self._hubs = hubs
        self._last_report_s = session.now_s
        self._slow_logged_s = float("-inf")
        # Short ids of the servers that followers were told to be slow and may still take for slow.
        self._slow_ids: set[int] = set()

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            if self._session.settings.share_server_paces:
                self.report_once()
            else:
                # Samples must be recent when the setting is turned on.
                self._session.latency_estimates.samples.flush()

    def report_once(self) -> None:
        """Send what is new since the last report, and combine what is known."""
        session, hubs = self._session, self._hubs
        paces, now_s, own_name = session.latency_estimates.shared, session.now_s, self._own_name
        own_rows, followers = self._own_rows(), hubs.followers
        if not hubs.grouped:
            paces.apply(own_name, own_rows, now_s)
            self._send(list(session.peers_by_name.values()), PaceReport, own_rows)
        elif (hub := hubs.hub) is not None:
            self._send([hub], PaceReport, own_rows)
        else:
            # The totals of a former hub contain what now arrives from followers and other hubs.
            paces.discard_source(HUB_TOTAL)
            paces.apply(own_name, own_rows, now_s)
            sources = {own_name, *(peer.name for peer in followers)}
            group_rows = paces.combined(now_s, sources, self._last_report_s)
            self._send(hubs.other_hubs, GroupPaceReport, group_rows)
        if followers:
            total_rows = paces.combined(now_s, since_s=self._last_report_s)
            self._send(followers, TotalPaceReport, self._relayed(total_rows))
        self._last_report_s = now_s
        paces.refresh(now_s)
        self._log_slow_servers()

    def apply(self, sender: str, message: PaceMessage) -> None:
        """Apply a report of another daemon."""
        session, hubs = self._session, self._hubs
        if sender not in session.peers_by_name or not session.settings.share_server_paces:
            return
        session.metrics.count("pace_reports", type(message).__name__)
        paces, now_s = session.latency_estimates.shared, session.now_s
        match message:
            case PaceReport(rows):
                paces.apply(sender, rows, now_s)
            case GroupPaceReport(rows):
                if hubs.grouped and hubs.hub is None:
                    paces.apply(f"group of {sender}", rows, now_s, MAX_GROUP_SAMPLES)
            case TotalPaceReport(rows):
                if hubs.on_hub_report(sender):
                    max_samples = MAX_GROUP_SAMPLES * session.daemon_count
                    paces.apply(HUB_TOTAL, rows, now_s, max_samples)
                    paces.refresh(now_s)

    @property
    def _own_name(self) -> str:
        return self._session.settings.daemon

    def _own_rows(self) -> PaceRows:
        """Return this daemon's samples; none while it is cut off from servers."""
        session = self._session
        samples = session.latency_estimates.samples.flush()
        if session.reachability.cut_off or not session.in_flight_counts.reports_own:
            return {}
        return {short_id(backend_id): row for backend_id, row in samples.items()}

    def _relayed(self, total_rows: PaceRows) -> PaceRows:
        """Return the rows that followers may use, and those that end what they were told."""
        slow_ids = {key for key, (percent, _) in total_rows.items() if percent >= MIN_SENT_PERCENT}
        relayed_ids = slow_ids | self._slow_ids
        # A server without new samples may still be slow at the followers.
        paces, now_s = self._session.latency_estimates.shared, self._session.now_s
        unconfirmed_ids = {
            key for key in self._slow_ids - total_rows.keys() if paces.get(key, now_s) is not None
        }
        self._slow_ids = slow_ids | unconfirmed_ids
        return {key: row for key, row in total_rows.items() if key in relayed_ids}

    def _send(
        self, peers: Collection[Peer], kind: Callable[[PaceRows], PaceMessage], rows: PaceRows
    ) -> None:
        remaining = iter(rows.items())
        while part := dict(islice(remaining, MAX_ROWS_PER_DATAGRAM)):
            self._peers.send(peers, kind(part))

    def _log_slow_servers(self) -> None:
        session, now_s = self._session, self._session.now_s
        if now_s - self._slow_logged_s < SLOW_LOG_INTERVAL_S:
            return
        percent_by_id = {
            backend_id: round(100 * shared.latency_factor)
            for backend_id in session.directory.by_id
            if (shared := session.latency_estimates.shared.get(short_id(backend_id), now_s))
            is not None
            and shared.latency_factor >= MIN_SHARED_FACTOR
        }
        if percent_by_id:
            self._slow_logged_s = now_s
            slowest = sorted(percent_by_id.items(), key=lambda item: -item[1])
            session.log.event(
                "slow servers",
                count=len(slowest),
                slowest_percent=dict(slowest[:MAX_LOGGED_SERVERS]),
            )
